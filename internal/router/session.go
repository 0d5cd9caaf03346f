package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/settings"
)

const (
	heartbeatTimeout = 1200 * time.Millisecond
	eagerPeriod      = 20 * time.Millisecond // until the first lease, and when a version waits
	claimTimeout     = 4 * time.Second
	endPatience      = 60 * time.Second // how long the end of a claim is repeated
)

// renewSession is the thread that renews the session and takes up new settings.
func (s *Server) renewSession(ctx context.Context) {
	var epoch uint64
	for ctx.Err() == nil {
		sent := s.now()
		attempt, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		response, err := s.group.Once(attempt, control.Request{Heartbeat: s.heartbeat(epoch)})
		cancel()
		pause := eagerPeriod
		if err == nil && response.Kind == control.ResponseOK && response.Heartbeat != nil {
			epoch = response.Heartbeat.Epoch
			pause = s.takeReply(sent, response.Heartbeat)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (s *Server) heartbeat(epoch uint64) *control.Heartbeat {
	return &control.Heartbeat{
		Router: s.file.Name, Incarnation: s.incarnation, Zone: s.file.Zone, Address: s.file.Router.Listen,
		Epoch: epoch, Acked: s.disk.saved.Version, HasSettings: s.disk.saved.Version > 0,
	}
}

// takeReply syncs new settings, passes settings and lease to the core, and returns when to call again.
func (s *Server) takeReply(sent time.Duration, reply *control.HeartbeatReply) time.Duration {
	tree, changed, ok := s.nextTree(reply)
	if !ok {
		return eagerPeriod
	}
	if changed {
		if err := s.disk.save(reply.Version, tree); err != nil {
			s.log.Error("settings could not be synced; the version is not acknowledged", zap.Error(err))
			return s.file.Router.HeartbeatEvery
		}
		s.post(core.EventSettings{Version: reply.Version, Tree: tree})
		s.log.Info("settings taken up", zap.Uint64("settings_version", reply.Version))
	}
	s.post(core.EventLease{Epoch: reply.Epoch, Until: sent + reply.Lease})
	if changed || reply.Lease == 0 {
		return eagerPeriod
	}
	return s.file.Router.HeartbeatEvery
}

// nextTree returns the tree of the reply's version. It is not ok when the edits do not fit what is held, or
// the reply is older.
func (s *Server) nextTree(reply *control.HeartbeatReply) (tree settings.Tree, changed, ok bool) {
	held := s.disk.saved
	switch {
	case reply.Version < held.Version:
		s.log.Warn("older settings refused", zap.Uint64("offered", reply.Version), zap.Uint64("held", held.Version))
		return tree, false, false
	case reply.Version == held.Version && held.Version > 0:
		return held.Tree, false, true
	case reply.Tree != nil:
		return *reply.Tree, true, true
	case reply.Base != held.Version:
		return tree, false, false
	}
	next, problems := held.Tree.Apply(reply.Edits)
	if len(problems) > 0 {
		s.log.Error("settings edits do not fit", zap.Stringer("problem", problems[0]))
		return tree, false, false
	}
	return next, true, true
}

// closeSession ends the session at a planned stop, so that nobody waits for its lease.
func (s *Server) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	beat := s.heartbeat(0)
	beat.Closing = true
	if held := s.view.Load(); held != nil {
		beat.Epoch = held.epoch
	}
	_, _ = s.group.Once(ctx, control.Request{Heartbeat: beat}) // otherwise the lease runs out by itself
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
func (s *Server) endClaim(ctx context.Context, action core.ActionEnd) {
	attempt, cancel := context.WithTimeout(ctx, endPatience)
	defer cancel()
	if _, err := s.group.Ask(attempt, control.Request{End: &action.End}); err != nil && action.End.Kind != ledger.EndUnknown {
		s.log.Warn("end of a claim not confirmed", zap.String("claim", action.End.ClaimID), zap.Error(err))
	}
}
