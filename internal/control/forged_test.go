package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// TestHeartbeatForUnconfiguredServiceIsIgnored guards against a well-formed heartbeat for a service missing from the
// routing document that replaces, drains or alters a registered back end.
func TestHeartbeatForUnconfiguredServiceIsIgnored(t *testing.T) {
	openRegistered := func(t *testing.T) *singleReplica {
		s := openWithEngines(t)
		routed := catalog.Document{Revision: 2, Services: []catalog.Service{{Name: "engine", Engine: true}}}
		s.ask(Request{Catalog: &catalog.Command{Replace: &routed}})
		s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
		return s
	}
	sendUnconfigured := func(s *singleReplica, id, address string, state catalog.State) {
		s.ask(Request{BackendHeartbeat: &BackendHeartbeat{
			Instance: catalog.Instance{ID: id, Service: "nobody", Address: address, State: state},
			Sequence: 1000, Versions: map[string]uint64{"m": 9},
		}})
	}
	checkUnchanged := func(t *testing.T, s *singleReplica) {
		t.Helper()
		held, known := s.replica.Machine().Catalog().Instances()[incarnationID("e", 1000)]
		if !known || held.State != catalog.StateReady || held.Service != "engine" {
			t.Fatalf("registered: %t, instance %+v, want it ready with service engine", known, held)
		}
		s.sendHeartbeat(incarnationID("e", 1000), "a1", 2, 1)
		if state := s.replica.leader.fleet[incarnationID("e", 1000)]; state.versions["m"] != 1 || state.sequence != 2 {
			t.Fatalf("versions %v, sequence %d, want version 1 of m and sequence 2", state.versions, state.sequence)
		}
	}
	t.Run("same incarnation", func(t *testing.T) {
		s := openRegistered(t)
		sendUnconfigured(s, incarnationID("e", 1000), "a1", catalog.StateReady)
		checkUnchanged(t, s)
	})
	t.Run("same incarnation, draining", func(t *testing.T) {
		s := openRegistered(t)
		sendUnconfigured(s, incarnationID("e", 1000), "a1", catalog.StateDraining)
		checkUnchanged(t, s)
	})
	t.Run("later incarnation", func(t *testing.T) {
		s := openRegistered(t)
		sendUnconfigured(s, incarnationID("e", 2000), "a2", catalog.StateReady)
		checkUnchanged(t, s)
	})
	t.Run("address of a silent back end", func(t *testing.T) {
		s := openRegistered(t)
		s.advance(silenceTimeout + time.Second)
		sendUnconfigured(s, incarnationID("x", 2000), "a1", catalog.StateReady)
		checkUnchanged(t, s)
	})
}
