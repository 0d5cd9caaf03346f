package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// A back end that restarts under the same name is a new incarnation: its sequence numbers start anew, it holds none of
// the weights of before, and an order for its previous incarnation that got no answer may still reach it. State that
// was keyed by name mixed up incarnations.

// TestStateBelongsToOneIncarnation: heartbeats, addresses, deregistrations and weights reports count for one
// incarnation only.
func TestStateBelongsToOneIncarnation(t *testing.T) {
	t.Run("later incarnation wins", laterIncarnationWins)
	t.Run("delayed heartbeat does not take address", lateHeartbeatDoesNotTakeAddress)
	t.Run("unknown incarnation is ignored", unknownIncarnationIsIgnored)
	t.Run("leave by name ends current incarnation", leaveByNameEndsCurrentIncarnation)
	t.Run("report of another incarnation is ignored", reportOfAnotherIncarnationIsIgnored)
}

// incarnationID returns the instance ID of an incarnation.
func incarnationID(name string, startedMS int64) string {
	return catalog.Incarnation{Name: name, StartedMS: startedMS}.ID()
}

// openWithoutEngines returns a fleet like openWithEngines after both engines have deregistered.
func openWithoutEngines(t *testing.T) *singleReplica {
	t.Helper()
	s := openWithEngines(t)
	for _, id := range []string{"i-1", "i-2"} {
		s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: id}, Leaving: true}})
	}
	return s
}

// sendHeartbeat sends a heartbeat of an engine at an address.
func (s *singleReplica) sendHeartbeat(id, address string, sequence, version uint64) {
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{
		Instance: catalog.Instance{ID: id, Service: "engine", Address: address, State: catalog.StateReady},
		Sequence: sequence, Versions: map[string]uint64{"m": version},
	}})
}

// isRegistered reports whether an instance ID is registered.
func (s *singleReplica) isRegistered(id string) bool {
	_, known := s.replica.Machine().Catalog().Instances()[id]
	return known
}

// laterIncarnationWins: of two incarnations of a back end only the later is registered, despite delayed messages and
// other addresses.
func laterIncarnationWins(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 90, 1)
	s.sendHeartbeat(incarnationID("e", 2000), "a2", 1, 1)
	if s.isRegistered(incarnationID("e", 1000)) || !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("the previous incarnation is still registered, or the new one is not")
	}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 91, 1)
	if s.isRegistered(incarnationID("e", 1000)) || !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("a delayed heartbeat registered the previous incarnation again")
	}
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: incarnationID("e", 1000)}, Leaving: true}})
	if !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("a delayed deregistration of the previous incarnation ended the new one")
	}
}

// lateHeartbeatDoesNotTakeAddress: of two back ends with the same address, the one that started later keeps it while it
// sends heartbeats.
func lateHeartbeatDoesNotTakeAddress(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat(incarnationID("before", 1000), "a1", 90, 1)
	s.sendHeartbeat(incarnationID("after", 2000), "a1", 1, 1)
	s.sendHeartbeat(incarnationID("before", 1000), "a1", 91, 1)
	if s.isRegistered(incarnationID("before", 1000)) || !s.isRegistered(incarnationID("after", 2000)) {
		t.Fatal("a delayed heartbeat took the address from the back end that uses it")
	}
	s.advance(silenceTimeout + time.Second)
	s.sendHeartbeat(incarnationID("other", 1500), "a1", 1, 1)
	if !s.isRegistered(incarnationID("other", 1500)) {
		t.Fatal("a back end whose clock runs behind did not get the address of a silent one")
	}
}

// unknownIncarnationIsIgnored: in a service whose back ends state their start time, heartbeats without one are ignored.
func unknownIncarnationIsIgnored(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat("early", "a9", 1, 1)
	for _, id := range []string{"i-1", "i-2"} {
		s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: id}, Leaving: true}})
	}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
	s.sendHeartbeat("e", "a1", 90, 7)
	s.sendHeartbeat("x", "a2", 1, 7)
	if s.isRegistered("e") || s.isRegistered("x") || !s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("a heartbeat without an incarnation registered a back end")
	}
	if !s.isRegistered("early") {
		t.Fatal("a back end that had registered earlier was removed")
	}
}

// leaveByNameEndsCurrentIncarnation: a back end may deregister by its name alone.
func leaveByNameEndsCurrentIncarnation(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
	s.sendHeartbeat(incarnationID("e@5", 1000), "a2", 1, 1)
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: incarnationID("e@5", 0)}, Leaving: true}})
	if s.isRegistered(incarnationID("e@5", 1000)) || !s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("a name that contains the separator was taken for another back end")
	}
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: "e"}, Leaving: true}})
	if s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("the back end is registered after it has left")
	}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 2, 1)
	if s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("a delayed heartbeat registered it again")
	}
	s.sendHeartbeat(incarnationID("e", 2000), "a1", 1, 1)
	if !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("its next incarnation is not registered")
	}
}

// TestEngineWithoutWeightsIsNotRegistered: a heartbeat without weights does not register a back end of an engine
// service, but does for other services.
func TestEngineWithoutWeightsIsNotRegistered(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: 2, Services: []catalog.Service{{Name: "engine", Engine: true}, {Name: "plain"}}}}})
	sendWithoutWeights := func(id, service string) {
		s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: id, Service: service, Address: id, State: catalog.StateReady}, Sequence: 1}})
	}
	sendWithoutWeights("e", "engine")
	sendWithoutWeights("p", "plain")
	if s.isRegistered("e") || !s.isRegistered("p") {
		t.Fatalf("engine registered: %t, want false; other back end registered: %t, want true", s.isRegistered("e"), s.isRegistered("p"))
	}
}

// answerWeightsCalls advances the clock and answers weights queries as an engine with the given version that has
// handled revision orders. It returns the orders.
func (s *singleReplica) answerWeightsCalls(length time.Duration, version, revision uint64) []WeightsCall {
	var orders []WeightsCall
	for end := s.now + length; s.now < end; {
		s.weightsCalls = nil
		s.advance(50 * time.Millisecond)
		for _, call := range s.weightsCalls {
			if call.Kind == WeightsOrder {
				orders = append(orders, call)
				continue
			}
			s.replica.ObserveWeightsResult(s.now, WeightsResult{Call: call, Kind: WeightsReported, Versions: map[string]uint64{"m": version}, Revision: revision})
		}
		s.work()
	}
	return orders
}

// TestEngineWithLowerWeightsIsOrderedAgain: an order for an older version that got no answer may be carried out after
// one for a newer version. The engine's report is then adopted and the engine gets a new order.
func TestEngineWithLowerWeightsIsOrderedAgain(t *testing.T) {
	s := openWithoutEngines(t)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 3}}})
	id := incarnationID("e", 1000)
	s.sendHeartbeat(id, "a1", 1, 3)
	s.answerWeightsCalls(2*time.Second, 3, 1)
	held := s.watchNow("g1", RosterVersion{})
	for number := range 10 {
		s.sendHeartbeat(id, "a1", uint64(number+2), 2)
		if orders := s.answerWeightsCalls(2*time.Second, 2, 2); len(orders) > 0 {
			if orders[0].Version != 3 || orders[0].Revision != 2 {
				t.Fatalf("order %+v", orders[0])
			}
			return
		}
		held = s.watchNow("g1", held.Version)
	}
	t.Fatalf("no order; assumed weights %v", s.replica.leader.fleet[id].versions)
}

// TestLateHeartbeatDoesNotLowerWeights: a heartbeat that was sent before a load and arrives after it does not override
// the engine's report.
func TestLateHeartbeatDoesNotLowerWeights(t *testing.T) {
	s := openWithoutEngines(t)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 3}}})
	id := incarnationID("e", 1000)
	s.sendHeartbeat(id, "a1", 1, 3)
	s.answerWeightsCalls(5*time.Second, 3, 1)
	s.sendHeartbeat(id, "a1", 2, 2)
	if orders := s.answerWeightsCalls(5*time.Second, 3, 1); len(orders) > 0 || s.replica.leader.fleet[id].versions["m"] != 3 {
		t.Fatalf("orders %+v, assumed weights %v", orders, s.replica.leader.fleet[id].versions)
	}
}

// reportOfAnotherIncarnationIsIgnored: a weights report of another incarnation than the queried one changes nothing.
func reportOfAnotherIncarnationIsIgnored(t *testing.T) {
	s := openWithoutEngines(t)
	id := incarnationID("e", 1000)
	s.sendHeartbeat(id, "a1", 1, 1)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	for range 20 {
		s.weightsCalls = nil
		s.advance(100 * time.Millisecond)
		for _, call := range s.weightsCalls {
			if call.Kind == WeightsOrder {
				t.Fatalf("ordered on the report of another incarnation: %+v", call)
			}
			s.replica.ObserveWeightsResult(s.now, WeightsResult{Call: call, Kind: WeightsReported, StartedMS: 2000, Versions: map[string]uint64{"m": 2}, Revision: 0})
		}
	}
	if assumed := s.replica.leader.fleet[id].versions["m"]; assumed != 1 {
		t.Fatalf("assumed version %d after the report of another incarnation, want 1", assumed)
	}
}

// TestBackendWithoutIncarnationIsOrdered: for a back end whose heartbeats state no start time, a report with any start
// time is accepted.
func TestBackendWithoutIncarnationIsOrdered(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	for range 40 {
		s.weightsCalls = nil
		s.sendHeartbeats("i-1", "i-2")
		s.advance(100 * time.Millisecond)
		for _, call := range s.weightsCalls {
			if call.Kind == WeightsOrder {
				return
			}
			s.replica.ObserveWeightsResult(s.now, WeightsResult{Call: call, Kind: WeightsReported, StartedMS: 2000, Versions: map[string]uint64{"m": 1}})
		}
	}
	t.Fatal("no order within 4 s")
}
