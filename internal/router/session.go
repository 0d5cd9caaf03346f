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
	endClaimTimeout  = 60 * time.Second // how long reporting the end of a claim is retried
)

// renewSession periodically sends heartbeats to control and applies the replies.
func (s *Server) renewSession(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := s.now()
		requestCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		heartbeat := s.session.Heartbeat()
		heartbeat.Quarantine, heartbeat.Tunnel = s.quarantine.Version(), s.file.Router.TunnelAddress
		response, err := s.control.AskOnce(requestCtx, control.Request{Heartbeat: &heartbeat})
		cancel()
		delay := session.FastHeartbeatInterval
		if err == nil && response.Kind == control.ResponseOK && response.Heartbeat != nil {
			delay = s.applyReply(sentAt, *response.Heartbeat)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// applyReply stores new settings, passes settings, lease and peers to the core, and returns the time until the next
// heartbeat.
func (s *Server) applyReply(sentAt time.Duration, reply control.HeartbeatReply) time.Duration {
	if reply.Quarantine != nil {
		s.quarantine.ApplyUpdate(reply.Quarantine)
	}
	s.paths.setPeers(s.file.Zone, reply.Tunnels)
	actions := s.session.HandleReply(sentAt, reply)
	if actions.RejectReason != "" {
		s.log.Warn("ignoring heartbeat reply", zap.String("problem", actions.RejectReason))
		return actions.NextHeartbeatIn
	}
	if actions.ToSync != nil {
		if err := s.disk.save(*actions.ToSync); err != nil {
			s.log.Error("failed to store settings; not acknowledging the version", zap.Error(err))
			return s.file.Router.HeartbeatInterval
		}
		s.session.MarkSynced(*actions.ToSync)
		s.post(core.EventSettings{Version: actions.ToSync.Version, Tree: actions.ToSync.Tree})
		s.log.Info("settings applied", zap.Uint64("settings_version", actions.ToSync.Version))
	}
	s.post(actions.Lease)
	if actions.Peers != nil {
		s.announcer.SetPeers(peerAddresses(actions.Peers))
		s.streams.SetPeers(recordHolders(actions.Peers))
		s.post(core.EventPeerRouters{Names: peerNames(actions.Peers)})
	}
	return actions.NextHeartbeatIn
}

// closeSession ends the session when the router drains, so that nobody has to wait for its lease to expire.
func (s *Server) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	heartbeat := s.session.ClosingHeartbeat()
	_, _ = s.control.AskOnce(ctx, control.Request{Heartbeat: &heartbeat}) // on failure the lease expires
}

// claim requests a claim from the run ledger and reports the outcome to the core.
func (s *Server) claim(ctx context.Context, action core.ActionClaim) {
	requestCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	started := time.Now()
	response, err := s.control.Ask(requestCtx, control.Request{Claim: &action.Claim})
	s.metrics.claimSeconds.Observe(time.Since(started).Seconds())
	event := core.EventClaim{ID: action.ID, ClaimID: action.Claim.ClaimID}
	if err != nil || response.Claim == nil {
		event.Failed = true
	} else {
		event.Outcome = *response.Claim
	}
	s.post(event)
}

// endClaim reports the end of a claim and retries until a leader has committed it or endClaimTimeout has passed. An end
// that is never reported is safe: the ledger marks the claim unknown when the session expires.
func (s *Server) endClaim(ctx context.Context, action core.ActionEndClaim) {
	requestCtx, cancel := context.WithTimeout(ctx, endClaimTimeout)
	defer cancel()
	if _, err := s.control.Ask(requestCtx, control.Request{End: &action.End}); err != nil && action.End.Kind != ledger.EndUnknown {
		s.log.Warn("failed to confirm the end of a claim", zap.String("claim", action.End.ClaimID), zap.Error(err))
	}
}
