package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// openWithEngines returns a single-replica group with a document and two engines with version 1 of model m, after the
// wait before the first weights order has passed.
func openWithEngines(t *testing.T) *singleReplica {
	t.Helper()
	s := openSingleReplica(t, t.TempDir())
	s.changeConfig(func(config *Config) { config.WeightsOrderDelay = time.Second })
	s.advance(2 * time.Second) // until views confirmed by an earlier leader have expired
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: 1}}})
	s.sendHeartbeats("i-1", "i-2")
	return s
}

func (s *singleReplica) changeConfig(change func(*Config)) { change(&s.replica.config) }

// sendHeartbeats sends a heartbeat for each engine.
func (s *singleReplica) sendHeartbeats(ids ...string) {
	for _, id := range ids {
		s.ask(Request{BackendHeartbeat: &BackendHeartbeat{
			Instance: catalog.Instance{ID: id, Service: "engine", Address: id, State: catalog.StateReady},
			Sequence: uint64(s.now), Versions: map[string]uint64{"m": 1},
		}})
	}
}

// watchNow sends a watch with no hold time for a gateway that holds the newest document.
func (s *singleReplica) watchNow(gateway string, held RosterVersion) *WatchReply {
	return s.ask(Request{Watch: &Watch{Gateway: gateway, Revision: 1, Roster: held}}).Watch
}

// weightsOrders advances the clock, answers weights queries with version 1, and returns the orders that were issued.
func (s *singleReplica) weightsOrders(length time.Duration) []WeightsCall {
	s.weightsCalls = nil
	s.advance(length)
	var orders []WeightsCall
	for _, call := range s.weightsCalls {
		if call.Kind == WeightsQuery {
			s.replica.ObserveWeightsResult(s.now, WeightsResult{Call: call, Kind: WeightsReported, Versions: map[string]uint64{"m": 1}})
			s.work()
			continue
		}
		orders = append(orders, call)
	}
	return orders
}

// TestOrderWaitsUntilGatewaysStopSending: weights are replaced only once every gateway that may still send requests has
// the roster entry that marks the back end as loading, or its view has expired. Otherwise requests would reach a back
// end whose weights change.
func TestOrderWaitsUntilGatewaysStopSending(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	held := s.watchNow("g1", RosterVersion{}).Version
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	s.weightsOrders(200 * time.Millisecond) // answers the weights queries
	s.watchNow("g1", held)
	s.sendHeartbeats("i-1", "i-2")
	if early := s.weightsOrders(time.Second); len(early) > 0 {
		t.Fatalf("ordered before g1 had stopped sending to the back end: %+v", early)
	}
	newest := s.watchNow("g1", held).Version
	s.watchNow("g1", newest)
	if orders := s.weightsOrders(300 * time.Millisecond); len(orders) == 0 {
		t.Fatal("no order after g1 had stopped sending to the back end")
	}
}

// TestOrderDoesNotWaitForSilentGateways: a gateway that is gone delays orders only until its view has expired.
func TestOrderDoesNotWaitForSilentGateways(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	s.watchNow("g1", RosterVersion{})
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	s.weightsOrders(200 * time.Millisecond)
	if early := s.weightsOrders(2 * time.Second); len(early) > 0 {
		t.Fatalf("ordered while g1 may still trust its view: %+v", early)
	}
	s.sendHeartbeats("i-1", "i-2")
	if orders := s.weightsOrders(1500 * time.Millisecond); len(orders) == 0 {
		t.Fatal("no order after the view of g1 had expired")
	}
}

// TestDrainIsAnsweredOnceCommitted: a drain is answered once its entry has committed. A delayed heartbeat neither
// undoes it nor registers the back end again after it has left.
func TestDrainIsAnsweredOnceCommitted(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: "i-1", Service: "engine", Address: "i-1", State: catalog.StateDraining}, Sequence: 9}})
	if state := s.replica.Machine().Catalog().Instances()["i-1"].State; state != catalog.StateDraining {
		t.Fatalf("state %q, want draining", state)
	}
	s.sendHeartbeats("i-1")
	if state := s.replica.Machine().Catalog().Instances()["i-1"].State; state != catalog.StateDraining {
		t.Fatalf("state %q after a delayed heartbeat, want draining", state)
	}
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: "i-1"}, Leaving: true}})
	s.sendHeartbeats("i-1")
	if _, known := s.replica.Machine().Catalog().Instances()["i-1"]; known {
		t.Fatal("a delayed heartbeat registered a back end that had left")
	}
}

// TestWatchIsHeldUntilSomethingChanges: a held watch is answered with the new document when that changes.
func TestWatchIsHeldUntilSomethingChanges(t *testing.T) {
	s := openWithEngines(t)
	first := s.watchNow("g1", RosterVersion{})
	client := uint64(1000)
	s.replica.Handle(s.now, client, Request{Watch: &Watch{
		Gateway: "g1", Revision: 1, Roster: first.Version, Hold: time.Second, Quarantine: first.Quarantine.Version,
	}})
	s.advance(100 * time.Millisecond)
	if _, answered := s.replies[client]; answered {
		t.Fatal("watch answered although nothing has changed")
	}
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: 5}}})
	s.advance(100 * time.Millisecond)
	reply := s.replies[client].Watch
	if reply == nil || reply.Document == nil || reply.Document.Revision != 5 {
		t.Fatalf("reply %+v, want document revision 5", reply)
	}
}

// TestFenceRisesWithEachLeadership: the fence also rises over a restart, since it comes from the log.
func TestFenceRisesWithEachLeadership(t *testing.T) {
	dir := t.TempDir()
	var last uint64
	for restart := range 3 {
		s := openSingleReplica(t, dir)
		s.changeConfig(func(config *Config) { config.WeightsOrderDelay = time.Second })
		s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: uint64(restart + 2)}}})
		s.advance(time.Second)
		if s.replica.leader.orderFence <= last {
			t.Fatalf("start %d: fence %d, not above the previous fence %d", restart, s.replica.leader.orderFence, last)
		}
		last = s.replica.leader.orderFence
		_ = s.disk.Close()
	}
}

// TestOrderIsDroppedIfLeaseEndsDuringSync: an order is not sent if the disk stalls between decision and send for so
// long that the leader lease has expired, since another replica may lead by then.
func TestOrderIsDroppedIfLeaseEndsDuringSync(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	s.weightsOrders(200 * time.Millisecond)
	s.sendHeartbeats("i-1", "i-2")
	s.replica.Tick(s.now, 0)
	for range 20 {
		s.now += 50 * time.Millisecond
		s.replica.Tick(s.now, 0)
		if len(s.replica.effects.WeightsCalls) > 0 {
			break
		}
	}
	if len(s.replica.effects.WeightsCalls) == 0 {
		t.Fatal("no order was decided")
	}
	s.replica.leader.startedAt = s.now + time.Hour // it may not send orders from now on
	s.replica.Prepare()
	if late := s.replica.Advance(s.now + 5*time.Second).WeightsCalls; len(late) > 0 {
		t.Fatalf("orders sent after the lease had expired: %+v", late)
	}
}
