package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/level"
)

// testHeartbeatInterval is the time between the heartbeats of the back ends in these tests.
const testHeartbeatInterval = 1200 * time.Millisecond

// openAtCurrentLevel returns a fleet like openWithoutEngines at the level of this build.
func openAtCurrentLevel(t *testing.T) *singleReplica {
	t.Helper()
	s := openWithoutEngines(t)
	s.advance(levelStablePeriod + time.Second)
	if inForce := s.replica.Machine().Level(); inForce != level.Current {
		t.Fatalf("level %d is in force, want %d", inForce, level.Current)
	}
	return s
}

// leaveByName sends a deregistration that names no incarnation.
func (s *singleReplica) leaveByName(name string) {
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: name}, Leaving: true}})
}

// restart replaces the replica by one that is restored from its disk.
func (s *singleReplica) restart() {
	s.t.Helper()
	if err := s.disk.Close(); err != nil {
		s.t.Fatal(err)
	}
	wall := s.wallOffset + s.now
	*s = *openSingleReplica(s.t, s.folder)
	s.wallOffset = wall
	s.advance(4 * time.Second)
}

// sendLateHeartbeats sends heartbeats that a back end sent before it left, some of them twice and out of order.
func (s *singleReplica) sendLateHeartbeats(id, address string, sequences ...uint64) {
	for _, sequence := range sequences {
		s.sendHeartbeat(id, address, sequence, 1)
	}
}

// TestLateHeartbeatDoesNotRegisterAnInstanceThatLeft guards against a back end that left soon after its start and was
// registered again by a heartbeat from before, so that gateways sent it requests until it ended.
func TestLateHeartbeatDoesNotRegisterAnInstanceThatLeft(t *testing.T) {
	const name, address = "e", "a1"
	earlier, id := incarnationID(name, 1000), incarnationID(name, 2000)
	histories := map[string]func(*singleReplica){
		"first incarnation":                  func(*singleReplica) {},
		"after one that left":                func(s *singleReplica) { s.sendHeartbeat(earlier, address, 7, 1); s.leaveByName(name) },
		"after one that did not say it left": func(s *singleReplica) { s.sendHeartbeat(earlier, address, 7, 1) },
		"after one that stopped some time ago": func(s *singleReplica) {
			s.sendHeartbeat(earlier, address, 7, 1)
			s.advance(expiryTimeout + time.Second)
		},
	}
	disturbances := map[string]func(*singleReplica){
		"nothing":         func(*singleReplica) {},
		"restart":         func(s *singleReplica) { s.restart() },
		"after some time": func(s *singleReplica) { s.advance(2 * maxMessageDelay) },
		"snapshot and restart": func(s *singleReplica) {
			s.replica.snapshotWanted = true
			s.advance(time.Second)
			s.restart()
		},
	}
	for history, before := range histories {
		for disturbance, disturb := range disturbances {
			for _, uptime := range []time.Duration{0, 400 * time.Millisecond, 4 * time.Second, 2 * maxMessageDelay} {
				t.Run(history+", "+disturbance+", up for "+uptime.String(), func(t *testing.T) {
					s := openAtCurrentLevel(t)
					before(s)
					s.sendHeartbeat(id, address, 1, 1)
					s.advance(uptime)
					s.leaveByName(name)
					if s.isRegistered(id) {
						t.Fatal("registered after its deregistration")
					}
					s.sendLateHeartbeats(id, address, 2, 4, 3, 4)
					disturb(s)
					s.sendLateHeartbeats(id, address, 3, 5, 2)
					if s.isRegistered(id) {
						t.Fatal("a delayed heartbeat registered it again")
					}
					s.sendHeartbeat(incarnationID(name, 3000), address, 1, 1)
					if !s.isRegistered(incarnationID(name, 3000)) {
						t.Fatal("its next incarnation is not registered")
					}
				})
			}
		}
	}
}

// TestLateDeregistrationDoesNotEndTheNextIncarnation guards against a deregistration of the previous incarnation that
// arrives late and keeps the current one out for as long as it runs.
func TestLateDeregistrationDoesNotEndTheNextIncarnation(t *testing.T) {
	const name, address = "e", "a1"
	earlier, id := incarnationID(name, 1000), incarnationID(name, 2000)
	for delay, uptime := range map[string]time.Duration{"at once": 0, "after some seconds": 5 * time.Second} {
		for _, restarts := range []bool{false, true} {
			t.Run(delay, func(t *testing.T) {
				s := openAtCurrentLevel(t)
				s.sendHeartbeat(earlier, address, 90, 1)
				s.sendHeartbeat(id, address, 1, 1)
				s.advance(uptime)
				s.leaveByName(name)
				leftAt, sequence := s.now, uint64(1)
				if restarts {
					s.restart()
					leftAt = s.now
				}
				for !s.isRegistered(id) {
					if s.now > leftAt+maxMessageDelay+minLaterHeartbeats*testHeartbeatInterval {
						t.Fatalf("not registered %v after a delayed deregistration, although it sent %d heartbeats", s.now-leftAt, sequence)
					}
					sequence++
					s.sendHeartbeat(id, address, sequence, 1)
					s.advance(testHeartbeatInterval)
				}
			})
		}
	}
}

// TestDeregistrationSettlesAContestedOne guards against the reinstatement of an instance whose deregistration by name
// was followed by one that names the incarnation.
func TestDeregistrationSettlesAContestedOne(t *testing.T) {
	s := openAtCurrentLevel(t)
	id := incarnationID("e", 2000)
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 90, 1)
	s.sendHeartbeat(id, "a1", 1, 1)
	s.leaveByName("e")
	s.leaveByName(id)
	for sequence := range uint64(30) {
		s.sendHeartbeat(id, "a1", sequence+2, 1)
		s.advance(testHeartbeatInterval)
	}
	if s.isRegistered(id) {
		t.Fatal("registered although it had named its incarnation when it left")
	}
}

// TestInstanceLeavesWhileItsDeregistrationIsContested guards against a back end that is reinstated after it has left: a
// late deregistration of its predecessor had kept it out, and its own one by name referred to nothing.
func TestInstanceLeavesWhileItsDeregistrationIsContested(t *testing.T) {
	for _, uptime := range []time.Duration{time.Second, maxMessageDelay - 2*testHeartbeatInterval, maxMessageDelay + testHeartbeatInterval/2} {
		s := openAtCurrentLevel(t)
		id, sequence := incarnationID("e", 2000), uint64(1)
		s.sendHeartbeat(incarnationID("e", 1000), "a1", 90, 1)
		s.sendHeartbeat(id, "a1", sequence, 1)
		s.leaveByName("e")
		for end := s.now + uptime; s.now < end; s.advance(testHeartbeatInterval) {
			sequence++
			s.sendHeartbeat(id, "a1", sequence, 1)
		}
		s.leaveByName("e")
		s.sendLateHeartbeats(id, "a1", sequence+2, sequence+1)
		s.advance(maxMessageDelay + time.Second)
		s.sendLateHeartbeats(id, "a1", sequence+3)
		if s.isRegistered(id) {
			t.Fatalf("registered by a delayed heartbeat after it had left, %v after a deregistration of its predecessor", uptime)
		}
	}
}

// TestDeregistrationIsNotContestedBelowItsLevel: members of older builds apply no contested deregistration. The leader
// keeps the instance out by itself until its heartbeats prove that it is alive.
func TestDeregistrationIsNotContestedBelowItsLevel(t *testing.T) {
	s := openWithoutEngines(t)
	s.replica.config.Level = level.Contested - 1
	s.advance(levelStablePeriod + time.Second)
	id := incarnationID("e", 2000)
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 90, 1)
	s.sendHeartbeat(id, "a1", 1, 1)
	s.leaveByName("e")
	s.sendLateHeartbeats(id, "a1", 3, 2)
	if s.isRegistered(id) || s.replica.Machine().Catalog().IsContested(id) {
		t.Fatal("a contested deregistration was logged below its level, or a delayed heartbeat registered the instance")
	}
	for sequence, leftAt := uint64(4), s.now; !s.isRegistered(id); sequence++ {
		if s.now > leftAt+maxMessageDelay+minLaterHeartbeats*testHeartbeatInterval {
			t.Fatalf("not registered %v after a delayed deregistration", s.now-leftAt)
		}
		s.sendHeartbeat(id, "a1", sequence, 1)
		s.advance(testHeartbeatInterval)
	}
}

// TestSilentDrainingInstanceStaysOut guards against a back end that was draining when it was deregistered for its silence,
// and was registered as ready by a heartbeat from before.
func TestSilentDrainingInstanceStaysOut(t *testing.T) {
	for _, id := range []string{"e", incarnationID("e", 2000)} {
		s := openWithoutEngines(t)
		s.sendHeartbeat(id, "a1", 1, 1)
		s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: id, Service: "engine", Address: "a1", State: catalog.StateDraining}, Sequence: 3}})
		s.advance(expiryTimeout + time.Second)
		if s.isRegistered(id) {
			t.Fatalf("%s is registered after %v of silence", id, expiryTimeout)
		}
		s.sendHeartbeat(id, "a1", 2, 1)
		if s.isRegistered(id) {
			t.Fatalf("%s is registered again by a heartbeat that it sent before it was draining", id)
		}
	}
}

// TestReplacedDrainingInstanceStaysOut guards against a draining back end that another one replaced at its address, and
// that a heartbeat from before registered as ready.
func TestReplacedDrainingInstanceStaysOut(t *testing.T) {
	s := openWithoutEngines(t)
	s.sendHeartbeat("e-1", "a1", 1, 1)
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: "e-1", Service: "engine", Address: "a1", State: catalog.StateDraining}, Sequence: 3}})
	s.sendHeartbeat("e-2", "a1", 1, 1)
	s.sendHeartbeat("e-1", "a1", 2, 1)
	if s.isRegistered("e-1") || !s.isRegistered("e-2") {
		t.Fatalf("draining back end registered again: %t; the one that replaced it: %t", s.isRegistered("e-1"), s.isRegistered("e-2"))
	}
}
