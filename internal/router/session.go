package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/session"
)

const (
	heartbeatTimeout = 1200 * time.Millisecond
	claimTimeout     = 4 * time.Second
	endPatience      = 60 * time.Second // how long the end of a claim is repeated
)

// renewSession is the thread that renews the session and takes up new settings.
func (s *Server) renewSession(ctx context.Context) {
	for ctx.Err() == nil {
		sent := s.now()
		attempt, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		beat := s.session.Heartbeat()
		beat.Quarantine = s.quarantine.Version()
		response, err := s.group.AskOnce(attempt, control.Request{Heartbeat: &beat})
		cancel()
		pause := session.FastHeartbeatInterval
		if err == nil && response.Kind == control.ResponseOK && response.Heartbeat != nil {
			pause = s.takeReply(sent, *response.Heartbeat)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// takeReply syncs new settings, passes settings and lease to the core, and returns when to call again.
func (s *Server) takeReply(sent time.Duration, reply control.HeartbeatReply) time.Duration {
	if reply.Quarantine != nil {
		s.quarantine.ApplyUpdate(reply.Quarantine)
	}
	step := s.session.HandleReply(sent, reply)
	if step.RejectReason != "" {
		s.log.Warn("heartbeat reply not used", zap.String("problem", step.RejectReason))
		return step.NextHeartbeatIn
	}
	if step.ToSync != nil {
		if err := s.disk.save(*step.ToSync); err != nil {
			s.log.Error("settings could not be synced; the version is not acknowledged", zap.Error(err))
			return s.file.Router.HeartbeatEvery
		}
		s.session.MarkSynced(*step.ToSync)
		s.post(core.EventSettings{Version: step.ToSync.Version, Tree: step.ToSync.Tree})
		s.log.Info("settings taken up", zap.Uint64("settings_version", step.ToSync.Version))
	}
	s.post(step.Lease)
	if step.Peers != nil {
		s.announcer.SetPeers(peerAddresses(step.Peers))
		s.post(core.EventPeerRouters{Names: peerNames(step.Peers)})
	}
	return step.NextHeartbeatIn
}

// closeSession ends the session at a planned stop, so that nobody waits for its lease.
func (s *Server) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	beat := s.session.ClosingHeartbeat()
	_, _ = s.group.AskOnce(ctx, control.Request{Heartbeat: &beat}) // otherwise the lease runs out by itself
}

// claim asks the ledger and reports the outcome to the core.
func (s *Server) claim(ctx context.Context, action core.ActionClaim) {
	attempt, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	started := time.Now()
	response, err := s.group.Ask(attempt, control.Request{Claim: &action.Claim})
	s.metrics.claimSeconds.Observe(time.Since(started).Seconds())
	event := core.EventClaim{ID: action.ID, ClaimID: action.Claim.ClaimID}
	if err != nil || response.Claim == nil {
		event.Failed = true
	} else {
		event.Outcome = *response.Claim
	}
	s.post(event)
}

// endClaim reports the end of a claim until a leader has committed it. If that fails for long, the session
// ends and the ledger marks the claim unknown, which is always safe.
func (s *Server) endClaim(ctx context.Context, action core.ActionEndClaim) {
	attempt, cancel := context.WithTimeout(ctx, endPatience)
	defer cancel()
	if _, err := s.group.Ask(attempt, control.Request{End: &action.End}); err != nil && action.End.Kind != ledger.EndUnknown {
		s.log.Warn("end of a claim not confirmed", zap.String("claim", action.End.ClaimID), zap.Error(err))
	}
}
