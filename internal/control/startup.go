package control

import (
	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// Stages of the start of a control process, in the usual order.
const (
	stageRestored = iota // the state is restored from the data folder, or the folder is empty
	stageLeader          // a leader is known
	stageCurrent         // this replica leads with a valid lease, so that it answers gateways
)

func newStartup() *node.Startup {
	return node.NewStartup("kitetiller_control_startup", "restored", "leader", "current")
}

// recordStartup records the stages that the replica has reached. It runs in the goroutine that owns the replica.
func (s *Server) recordStartup() {
	now := s.now()
	if leader := s.replica.leaderAddress(); s.startup.At(stageLeader) == 0 && leader != "" {
		s.startup.Record(stageLeader, now)
		s.log.Info(events.LeaderKnown, zap.String("leader", leader), zap.Duration(events.FieldElapsed, now), zap.Duration("restored", s.startup.At(stageRestored)))
	}
	if s.startup.At(stageCurrent) == 0 && s.replica.leader != nil && s.replica.hasCurrentState(now) {
		s.startup.Record(stageCurrent, now)
	}
}
