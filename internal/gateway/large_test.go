package gateway

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/prefix"
)

// Schedulers that each place a request with the same cached preamble at the same moment choose mostly different
// engines.
func TestConcurrentSchedulersSpreadRequests(t *testing.T) {
	const schedulers, engines, rounds = 15, 240, 20
	fleet := make([]*Gateway, schedulers)
	for d := range fleet {
		fleet[d] = newScheduler(engines)
		var assigned []string
		for i := d; i < engines; i += schedulers {
			assigned = append(assigned, fmt.Sprint("i-", i))
		}
		fleet[d].table.setAssigned(assigned)
		for i := range engines {
			parts := []prefix.Part{{ID: "preamble", Tokens: 2520}, {ID: fmt.Sprint("other-", i), Tokens: 3780}, {ID: "own", Tokens: 10}}
			fleet[d].table.recordOwnSend(time.Duration(i), announcement{Instance: fmt.Sprint("i-", i), Salt: "w1", Parts: parts, Uncached: 6000})
			// the shortest queues are the same for all schedulers
			queued := announcement{Gateway: "other", Instance: fmt.Sprint("i-", i), Salt: "w1", Uncached: 100 * i}
			fleet[d].table.applySends(time.Second, []announcement{queued})
		}
	}
	collisions := 0
	for round := range rounds {
		used := map[string]bool{}
		for d, g := range fleet {
			asked := newPlacementRequest(fmt.Sprint("t", round, "-", d), 1000+round*schedulers+d)
			answer := g.placeForPeer(time.Second, asked)
			g.table.endPlacement(time.Second, &wirePlacementEnd{PlacementID: asked.PlacementID})
			used[answer.Instance] = true
		}
		collisions += schedulers - len(used)
	}
	t.Logf("%d of %d requests collided", collisions, rounds*schedulers)
	if collisions > 5*rounds/2 {
		t.Fatalf("%d of %d concurrent requests were placed at the engine of another", collisions, rounds*schedulers)
	}
}

// A copy from a store is used while the store's link is free, but the parts are recomputed once many transfers are
// queued.
func TestBusyStoreLinkPreventsCopy(t *testing.T) {
	g := newScheduler(1)
	store := &catalog.Service{Name: "k", StoreAddress: "10.9.0.1:1", LinkMbps: 550_000, Zone: "z"}
	engine := &catalog.Service{Name: "s", Engine: true, LinkMbps: 1_100_000, KVBytesPerToken: 163_840}
	parts := promptParts("own")
	g.table.stored.Record(time.Second, "w1", prefix.SharedParts(parts))
	in := selectionInput{service: engine, store: store, trusted: true, call: &Call{Model: "m", Parts: parts, PromptTokens: 9190}}
	free := g.choose(time.Second, in)
	if free == nil || free.fetchFrom != store.StoreAddress || free.uncached != 2890 || free.transfer.Time < 15*time.Millisecond {
		t.Fatalf("with a free link: %+v", free)
	}
	for range 40 {
		g.table.applySends(time.Second, []announcement{{Gateway: "other", Instance: "i-0", Salt: "w1", Transfer: free.transfer}})
	}
	if busy := g.choose(time.Second, in); busy.fetchFrom != "" || busy.uncached != 9190 {
		t.Fatalf("with a busy link: %+v", busy)
	}
	g.table.sweep(5 * time.Second)
	if len(g.table.links) > 0 {
		t.Fatalf("idle links were not removed: %v", g.table.links)
	}
}

// The queue time of an engine follows from the observed prefill rate of its service.
func TestObservedPrefillRateSetsQueueTime(t *testing.T) {
	g := newScheduler(2)
	row := g.table.rows["i-0"]
	for range 200 {
		g.table.observePrefill(row, true, 8000, 400*time.Millisecond)   // 20 tokens per ms
		g.table.observePrefill(row, false, 8000, 4000*time.Millisecond) // not alone at its engine, so ignored
	}
	g.table.applySends(time.Second, []announcement{{Gateway: "other", Instance: "i-0", Salt: "w1", Uncached: 8000}})
	if busy := row.prefillBusyUntil - time.Second; busy < 340*time.Millisecond || busy > 460*time.Millisecond {
		t.Fatalf("estimated prefill time of 8000 tokens = %v, want 400 ms", busy)
	}
}

// The short lane gets engines for the slots that short requests occupy, although these have few prompt tokens.
func TestLaneDemandCountsSlotTime(t *testing.T) {
	share := func(slotTime float64) float64 {
		l := &lanes{}
		for i := range 1000 {
			now := time.Duration(i) * 10 * time.Millisecond
			l.recordDemand(now, 6000, slotTime)
			l.recordDemand(now, 545, slotTime)
		}
		return l.longDemandFraction()
	}
	if tokens, slots := share(0), share(60); tokens < 0.85 || slots > 0.75 {
		t.Fatalf("long fraction: %.2f by tokens, %.2f with a slot time of 60 ms", tokens, slots)
	}
}

// Requests that a scheduler places for a service without engines count at once and are spread, and the load that
// other gateways report counts as well.
func TestScheduledPlainRequestsAreSpread(t *testing.T) {
	g := newScheduler(1)
	g.table.setAssigned([]string{"i-0"})
	g.view.Store(newView(&catalog.Document{Services: []catalog.Service{{Name: "s", Engine: true}, {Name: "plain"}}}, nil))
	update := &control.RosterUpdate{}
	for i := range 8 {
		update.Entries = append(update.Entries, control.RosterEntry{
			Instance: catalog.Instance{ID: fmt.Sprint("p-", i), Service: "plain", Zone: "z", Slots: 6, State: catalog.StateReady},
		})
	}
	g.table.applyRoster(0, update, nil)
	g.table.applySends(time.Second, []announcement{{Gateway: "other", Instance: "p-0", Load: belief.Load{Running: 40}}})
	used := map[string]int{}
	for i := range 42 {
		used[g.placeForPeer(time.Second, &wirePlacementRequest{PlacementID: fmt.Sprint("t", i), Service: "plain", TimeoutMS: 1000}).Instance]++
	}
	for id, n := range used {
		if id == "" || id == "p-0" || n > 9 {
			t.Errorf("%d of 42 requests at %q, want at most 9 and none at p-0: %v", n, id, used)
		}
	}
	if len(g.table.lanes) > 0 && g.table.lanes["plain"] != nil {
		t.Error("a service without engines has lanes")
	}
}
