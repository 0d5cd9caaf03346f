package control

import (
	"slices"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
)

// replaceLeaderAfterOrder stops a leader that gateway g1 watches once it has ordered one of two engines, and starts the
// next leader.
func replaceLeaderAfterOrder(t *testing.T) (next *singleReplica, ordered, unordered string) {
	t.Helper()
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	version := s.watchNow("g1", RosterVersion{}).Version
	s.advance(gatewayListInterval + 100*time.Millisecond)
	s.watchNow("g1", version)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	var orders []WeightsCall
	for range 20 {
		s.sendHeartbeats("i-1", "i-2")
		version = s.watchNow("g1", version).Version
		if orders = append(orders, s.weightsOrders(50*time.Millisecond)...); len(orders) > 0 {
			break
		}
	}
	if len(orders) != 1 {
		t.Fatalf("the first leader sent %d orders, want 1", len(orders))
	}
	ordered, unordered = orders[0].Instance, "i-1"
	if ordered == unordered {
		unordered = "i-2"
	}
	if err := s.disk.Close(); err != nil {
		t.Fatal(err)
	}
	next = reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.WeightsOrderDelay, config.GatewayViewTTL = 5*time.Second, 3*time.Second })
	next.advance(400 * time.Millisecond)
	return next, ordered, unordered
}

// ordersDuring advances the time while a gateway keeps watching, and returns the ordered engines.
func (s *singleReplica) ordersDuring(gateway string, duration time.Duration) []string {
	var instances []string
	version := RosterVersion{}
	for end := s.now + duration; s.now < end; {
		s.sendHeartbeats("i-1", "i-2")
		if gateway != "" {
			version = s.watchNow(gateway, version).Version
		}
		for _, call := range s.weightsOrders(50 * time.Millisecond) {
			instances = append(instances, call.Instance)
		}
	}
	return instances
}

// TestNewLeaderDelaysOnlyEnginesAlreadyOrdered checks that a new leader waits before it orders an engine that the
// previous leader ordered, and orders others as soon as the gateways follow it.
func TestNewLeaderDelaysOnlyEnginesAlreadyOrdered(t *testing.T) {
	s, ordered, unordered := replaceLeaderAfterOrder(t)
	if early := s.ordersDuring("g1", 2*time.Second); !slices.Contains(early, unordered) || slices.Contains(early, ordered) {
		t.Fatalf("ordered %v early; the previous leader ordered %s, and not %s", early, ordered, unordered)
	}
	s.replica.leader.fleet[unordered].versions["m"] = 2
	s.replica.setPhase(s.replica.leader.fleet[unordered], phaseIdle, s.now)
	if later := s.ordersDuring("g1", 5*time.Second); !slices.Contains(later, ordered) {
		t.Fatalf("ordered %v after the pause, want also %s", later, ordered)
	}
}

// TestNewLeaderWaitsForPreviousLeadersGateways guards against orders while a gateway that has not contacted the new
// leader may still use a view of the previous one.
func TestNewLeaderWaitsForPreviousLeadersGateways(t *testing.T) {
	s, _, unordered := replaceLeaderAfterOrder(t)
	if orders := s.ordersDuring("g2", 2*time.Second); len(orders) > 0 {
		t.Fatalf("ordered %v while g1 may use a view of the previous leader", orders)
	}
	if later := s.ordersDuring("g2", 3*time.Second); !slices.Contains(later, unordered) {
		t.Fatalf("ordered %v after all views of the previous leader expired", later)
	}
}

// TestSnapshotKeepsOrderedEnginesAndGateways covers the case that the log entries have been compacted.
func TestSnapshotKeepsOrderedEnginesAndGateways(t *testing.T) {
	s, ordered, unordered := replaceLeaderAfterOrder(t)
	snapshot := s.replica.Machine().Snapshot()
	if err := s.replica.Machine().Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	clear(s.replica.orderMarks)
	if _, elsewhere := s.replica.lastForeignOrder(ordered); !elsewhere {
		t.Fatalf("%s counts as not ordered by another leader, but was", ordered)
	}
	if _, elsewhere := s.replica.lastForeignOrder(unordered); elsewhere {
		t.Fatalf("%s counts as ordered by another leader, but was not", unordered)
	}
	if known := s.replica.Machine().Catalog().Gateways(); !slices.Equal(known, []string{"g1"}) {
		t.Fatalf("gateways %v, want g1", known)
	}
}

// TestInstalledSnapshotRestartsOrderPause: a replica that receives a snapshot cannot know how old the announcements in
// it are, nor whether their orders have been sent.
func TestInstalledSnapshotRestartsOrderPause(t *testing.T) {
	s, ordered, _ := replaceLeaderAfterOrder(t)
	clear(s.replica.orderMarks)
	s.now += time.Hour
	meta := consensus.SnapshotMeta{Index: s.replica.applied, Term: s.replica.appliedTerm}
	s.replica.installSnapshot(s.now, consensus.Snapshot{Meta: meta, Data: s.replica.Machine().Snapshot()})
	if s.replica.handoverPauseOver(s.now+maxOrderAge+s.replica.config.WeightsOrderDelay-time.Millisecond, ordered) {
		t.Fatalf("%s may be ordered before the pause is over", ordered)
	}
	if !s.replica.handoverPauseOver(s.now+maxOrderAge+s.replica.config.WeightsOrderDelay, ordered) {
		t.Fatalf("%s may not be ordered after the pause", ordered)
	}
}

// TestWatchConfirmedOnlyAfterGatewayIsLogged guards against a gateway that uses a view but is not in the log: the next
// leader would not wait for it, and the gateway would send to a back end that loads weights.
func TestWatchConfirmedOnlyAfterGatewayIsLogged(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	confirmed := func(client uint64) bool { return s.replies[client].Watch != nil }
	holds := func(name string) bool { return slices.Contains(s.replica.machine.catalog.Gateways(), name) }
	watch := func(client uint64, name string) {
		s.advance(2 * gatewayListDelay)
		s.replica.Handle(s.now, client, Request{Watch: &Watch{Gateway: name}})
		if !holds(name) && len(s.replica.effects.Replies) > 0 {
			t.Fatalf("%s is confirmed before it is in the log", name)
		}
		s.work() // no time passes
		if !confirmed(client) || !holds(name) {
			t.Fatalf("%s: confirmed %t, in the log %t, want both", name, confirmed(client), holds(name))
		}
	}
	watch(1001, "g1")
	watch(1002, "g2")
	s.advance(s.replica.viewExpiry() + 2*gatewayListInterval)
	watch(1003, "g3")
	if holds("g1") {
		t.Fatal("a gateway that was silent for long is still in the log")
	}
	watch(1004, "g1")
	if !holds("g3") {
		t.Fatal("an active gateway was removed from the log")
	}
}

// TestClosingGatewayIsStillAnswered: a closing gateway needs a confirmed view for its remaining requests, though it is
// no longer added to the log.
func TestClosingGatewayIsStillAnswered(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	held := s.watchNow("g1", RosterVersion{}).Version
	for range 5 {
		s.watchNow("g2", held)
		if s.ask(Request{Watch: &Watch{Gateway: "g1", Revision: 1, Roster: held, Closing: true}}).Watch == nil {
			t.Fatal("a closing gateway got no answer")
		}
		s.advance(gatewayListInterval)
	}
}

// TestDelayedOrderIsAnnouncedAgain: the next leader counts its pause from the announcement of an order. If the order
// were sent seconds later without a new announcement, the next leader's order could follow it too soon.
func TestDelayedOrderIsAnnouncedAgain(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = time.Minute })
	version := s.watchNow("g1", RosterVersion{}).Version
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	watchAndBeat := func(held RosterVersion, duration time.Duration) (orders []WeightsCall, at time.Duration) {
		for end := s.now + duration; s.now < end && len(orders) == 0; {
			s.sendHeartbeats("i-1", "i-2")
			s.watchNow("g1", held)
			orders = s.weightsOrders(50 * time.Millisecond)
		}
		return orders, s.now - 50*time.Millisecond
	}
	if early, _ := watchAndBeat(version, 4*time.Second); len(early) > 0 {
		t.Fatalf("ordered before g1 applied the roster: %+v", early)
	}
	orders, orderedAt := watchAndBeat(s.watchNow("g1", version).Version, time.Second)
	if len(orders) == 0 {
		t.Fatal("no order after g1 applied the roster")
	}
	id := orders[0].Instance
	mark := s.replica.orderMarks[id]
	mark.term-- // as seen by the next leader, which applied the same entries at the same times
	s.replica.orderMarks[id] = mark
	if early := orderedAt + s.replica.config.WeightsOrderDelay - time.Millisecond; s.replica.handoverPauseOver(early, id) {
		t.Fatalf("%s was ordered at %v, announced at %v, and may be ordered by another leader at %v; the pause is %v", id, orderedAt, mark.appliedAt, early, s.replica.config.WeightsOrderDelay)
	}
}

// TestOrderDroppedAfterSlowSync: after a slow sync, an order would be sent later after its announcement than the next
// leader allows for, even though the lease is still valid.
func TestOrderDroppedAfterSlowSync(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	s.weightsOrders(200 * time.Millisecond)
	s.sendHeartbeats("i-1", "i-2")
	for range 20 {
		s.now += 50 * time.Millisecond
		s.replica.Tick(s.now, 0)
		if len(s.replica.effects.WeightsCalls) > 0 {
			break
		}
		s.work()
	}
	if len(s.replica.effects.WeightsCalls) == 0 {
		t.Fatal("no order was decided")
	}
	id := s.replica.effects.WeightsCalls[0].Instance
	s.replica.Prepare()
	left := s.replica.orderMarks[id].appliedAt + maxDispatchAge + time.Millisecond
	if late := s.replica.Advance(left).WeightsCalls; len(late) > 0 || s.replica.leader == nil {
		t.Fatalf("%+v sent %v after its announcement, want no orders and a leader", late, left-s.replica.orderMarks[id].appliedAt)
	}
}

// TestOrderPauseCoversAllIncarnations checks that the pause after another leader's order also covers a later
// incarnation of the back end, since an order does not name an incarnation.
func TestOrderPauseCoversAllIncarnations(t *testing.T) {
	for name, dropMarks := range map[string]func(*singleReplica){
		"applied from the log":     func(*singleReplica) {},
		"marks cleared":            func(s *singleReplica) { clear(s.replica.orderMarks) },
		"from a restored snapshot": func(s *singleReplica) { clear(s.replica.orderMarks); s.restore(t) },
	} {
		t.Run(name, func(t *testing.T) {
			s := openWithEngines(t)
			s.changeConfig(func(config *Config) { config.WeightsOrderDelay = time.Hour })
			s.sendHeartbeat(incarnationID("e", 1000), "a1", 1, 1)
			s.replica.queueOrderAnnouncement(incarnationID("e", 1000))
			s.advance(100 * time.Millisecond)
			s.sendHeartbeat(incarnationID("e", 2000), "a1", 1, 1)
			dropMarks(s)
			for key, mark := range s.replica.orderMarks {
				mark.term-- // as if by another leader
				s.replica.orderMarks[key] = mark
			}
			if s.replica.handoverPauseOver(s.now, incarnationID("e", 2000)) {
				t.Fatal("another leader may order the next incarnation at once")
			}
			if !s.replica.handoverPauseOver(s.now, "i-1") {
				t.Fatal("an engine that was never ordered has to wait")
			}
		})
	}
}

// restore replaces the replicated state by its own snapshot.
func (s *singleReplica) restore(t *testing.T) {
	t.Helper()
	if err := s.replica.Machine().Restore(s.replica.Machine().Snapshot()); err != nil {
		t.Fatal(err)
	}
}
