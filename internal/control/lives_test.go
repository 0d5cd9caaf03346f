package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// A back end may start again under its name: it then holds nothing of before, its counts start anew, and an order for its last life
// that got no answer may still be carried out by the new one. All that was known stood under its name: heartbeats of the new life
// counted as late ones since their numbers were lower, older weights were never believed after newer ones, and a heartbeat that a cut
// had delayed brought the last life back. On the code as it was, an engine that held version 2 and believed to hold 3 got no order in
// 20 s: "0 orders, believed map[m:3]".

// TestStateBelongsToOneIncarnation: heartbeats, addresses, leaves and reports, each by what goes wrong where a name is taken for a life.
func TestStateBelongsToOneIncarnation(t *testing.T) {
	t.Run("the later life holds", laterIncarnationWins)
	t.Run("a late heartbeat takes no address", lateHeartbeatDoesNotTakeAddress)
	t.Run("an untold life takes nothing", unknownIncarnationIsIgnored)
	t.Run("a leave names the life there is", leaveByNameEndsCurrentIncarnation)
	t.Run("a report of another life is none", reportOfAnotherIncarnationIsIgnored)
}

// incarnationID returns the id of one incarnationID of a back end.
func incarnationID(name string, born int64) string {
	return catalog.Incarnation{Name: name, StartedMS: born}.ID()
}

// openWithoutEngines is a fleet whose two engines have left, so that the next one stands alone.
func openWithoutEngines(t *testing.T) *singleReplica {
	t.Helper()
	s := openWithEngines(t)
	for _, id := range []string{"i-1", "i-2"} {
		s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: id}, Leaving: true}})
	}
	return s
}

// sendHeartbeat sends a heartbeat of an engine at an address.
func (s *singleReplica) sendHeartbeat(id, address string, sequence, version uint64) {
	s.ask(Request{Beat: &BackendHeartbeat{
		Instance: catalog.Instance{ID: id, Service: "engine", Address: address, State: catalog.StateReady},
		Sequence: sequence, Versions: map[string]uint64{"m": version},
	}})
}

// isRegistered reports whether an id is isRegistered.
func (s *singleReplica) isRegistered(id string) bool {
	_, known := s.replica.Machine().Catalog().Instances()[id]
	return known
}

// laterIncarnationWins: of two lives of one back end the later is the one there is, whatever comes late and wherever it stands.
func laterIncarnationWins(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 90, 1)
	s.sendHeartbeat(incarnationID("e", 2000), "a2", 1, 1)
	if s.isRegistered(incarnationID("e", 1000)) || !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("the last life is registered beside the new one")
	}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 91, 1)
	if s.isRegistered(incarnationID("e", 1000)) || !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("a late heartbeat brought the last life back")
	}
	s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: incarnationID("e", 1000)}, Leaving: true}})
	if !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("a late leave of the last life ended the new one")
	}
}

// lateHeartbeatDoesNotTakeAddress: of two back ends that name one address the one that was started later stands there while it is heard.
func lateHeartbeatDoesNotTakeAddress(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat(incarnationID("before", 1000), "a1", 90, 1)
	s.sendHeartbeat(incarnationID("after", 2000), "a1", 1, 1)
	s.sendHeartbeat(incarnationID("before", 1000), "a1", 91, 1)
	if s.isRegistered(incarnationID("before", 1000)) || !s.isRegistered(incarnationID("after", 2000)) {
		t.Fatal("a late heartbeat took the address from the back end that stands there")
	}
	s.advance(silenceTimeout + time.Second)
	s.sendHeartbeat(incarnationID("other", 1500), "a1", 1, 1)
	if !s.isRegistered(incarnationID("other", 1500)) {
		t.Fatal("a back end whose clock runs behind never gets the address of one that is silent")
	}
}

// unknownIncarnationIsIgnored: where the back ends of a service tell when they were started, a heartbeat that doesn't is somebody else's.
func unknownIncarnationIsIgnored(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat("early", "a9", 1, 1)
	for _, id := range []string{"i-1", "i-2"} {
		s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: id}, Leaving: true}})
	}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
	s.sendHeartbeat("e", "a1", 90, 7)
	s.sendHeartbeat("x", "a2", 1, 7)
	if s.isRegistered("e") || s.isRegistered("x") || !s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("a heartbeat without a life registered")
	}
	if !s.isRegistered("early") {
		t.Fatal("a back end that was there before was dropped")
	}
}

// leaveByNameEndsCurrentIncarnation: a back end that leaves may give its name alone.
func leaveByNameEndsCurrentIncarnation(t *testing.T) {
	s := openWithEngines(t)
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
	s.sendHeartbeat(incarnationID("e@5", 1000), "a2", 1, 1)
	s.advance(lateDeregistrationWindow)
	s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: incarnationID("e@5", 0)}, Leaving: true}})
	if s.isRegistered(incarnationID("e@5", 1000)) || !s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("a name with the mark in it means another back end")
	}
	s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: "e"}, Leaving: true}})
	if s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("it is registered after it left")
	}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 2, 1)
	if s.isRegistered(incarnationID("e", 1000)) {
		t.Fatal("a late heartbeat brought it back")
	}
	s.sendHeartbeat(incarnationID("e", 2000), "a1", 1, 1)
	if !s.isRegistered(incarnationID("e", 2000)) {
		t.Fatal("its next life isn't registered")
	}
}

// A leave may be passed on late, when its sender has started again, and give its name alone: it then meant the last life. Taken for the one
// that stands there now, that one was never registered again however long it lived.

// TestLateLeaveDoesNotBlockNewIncarnation: the next heartbeat registers it again; one that has stood for a while has left.
func TestLateLeaveDoesNotBlockNewIncarnation(t *testing.T) {
	s := openWithEngines(t)
	id := incarnationID("e", 2000)
	leave := Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: "e"}, Leaving: true}}
	s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
	s.sendHeartbeat(id, "a1", 1, 1)
	s.ask(leave)
	s.sendHeartbeat(id, "a1", 2, 1)
	if !s.isRegistered(id) {
		t.Fatal("a late leave of the last life ended the next one for good")
	}
	s.advance(lateDeregistrationWindow)
	s.ask(leave)
	s.sendHeartbeat(id, "a1", 3, 1)
	if s.isRegistered(id) {
		t.Fatal("a life that has left came back with a late heartbeat")
	}
}

// TestEngineWithoutWeightsIsNotRegistered: a heartbeat of a service of engines that tells of no weights names none to use; one of another service does.
func TestEngineWithoutWeightsIsNotRegistered(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: 2, Services: []catalog.Service{{Name: "engine", Engine: true}, {Name: "plain"}}}}})
	tell := func(id, service string) {
		s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: id, Service: service, Address: id, State: catalog.StateReady}, Sequence: 1}})
	}
	tell("e", "engine")
	tell("p", "plain")
	if s.isRegistered("e") || !s.isRegistered("p") {
		t.Fatalf("engine %t, plain %t", s.isRegistered("e"), s.isRegistered("p"))
	}
}

// answerWeightsCalls answers the calls of a roll-out for so long, as an engine that holds a version and has taken so many orders, and returns the orders.
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

// TestEngineWithLowerWeightsIsOrderedAgain: an order for older weights that got no answer may be carried out after one for newer ones. The engine's
// own word is believed, and it is ordered again.
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
	t.Fatalf("0 orders, believed %v", s.replica.leader.fleet[id].versions)
}

// TestLateHeartbeatDoesNotLowerWeights: one that was sent before a load and arrives after it is not believed against the engine's report.
func TestLateHeartbeatDoesNotLowerWeights(t *testing.T) {
	s := openWithoutEngines(t)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 3}}})
	id := incarnationID("e", 1000)
	s.sendHeartbeat(id, "a1", 1, 3)
	s.answerWeightsCalls(5*time.Second, 3, 1)
	s.sendHeartbeat(id, "a1", 2, 2)
	if orders := s.answerWeightsCalls(5*time.Second, 3, 1); len(orders) > 0 || s.replica.leader.fleet[id].versions["m"] != 3 {
		t.Fatalf("orders %+v, believed %v", orders, s.replica.leader.fleet[id].versions)
	}
}

// reportOfAnotherIncarnationIsIgnored: a report says whose it is; one of another life tells nothing of the life that was asked.
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
				t.Fatalf("ordered by the report of another life: %+v", call)
			}
			s.replica.ObserveWeightsResult(s.now, WeightsResult{Call: call, Kind: WeightsReported, StartedMS: 2000, Versions: map[string]uint64{"m": 2}, Revision: 0})
		}
	}
	if believed := s.replica.leader.fleet[id].versions["m"]; believed != 1 {
		t.Fatalf("believed %d by the report of another life", believed)
	}
}

// TestBackendWithoutIncarnationIsOrdered: where a back end's heartbeats don't tell its start there is nothing that its report's could differ from.
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
	t.Fatal("0 orders in 4 s")
}
