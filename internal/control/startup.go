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
	if s.startup.At(stageLeader) == 0 {
		s.recordFirstLeader()
	}
	if s.startup.At(stageCurrent) == 0 && s.replica.leader != nil && s.replica.hasCurrentState(s.now()) {
		s.startup.Record(stageCurrent, s.now())
	}
}

// recordFirstLeader records and logs the first leader that the replica knows.
func (s *Server) recordFirstLeader() {
	leader := s.replica.leaderAddress()
	if leader == "" {
		return
	}
	s.startup.Record(stageLeader, s.now())
	s.log.Info(events.LeaderKnown, zap.String("leader", leader), zap.Duration(events.FieldElapsed, s.startup.At(stageLeader)), zap.Duration("restored", s.startup.At(stageRestored)))
}
