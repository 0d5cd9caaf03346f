package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
	"kitetiller/internal/transport"
)

// newScheduler returns a gateway with a confirmed view and the given number of engines.
func newScheduler(engines int) *Gateway {
	log, err := node.NewLogger("error", "s")
	if err != nil {
		panic(err)
	}
	g := New(Settings{Name: "s", Zone: "z", OldWeightsStartLimit: time.Minute, ViewTTL: time.Hour}, nil, log)
	g.view.Store(newView(&catalog.Document{Services: []catalog.Service{{Name: "s", Engine: true, CacheTokens: 80_000}}}, nil))
	g.confirmedAt.Store(1)
	update := &control.RosterUpdate{Full: true}
	for i := range engines {
		update.Entries = append(update.Entries, control.RosterEntry{
			Instance: catalog.Instance{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprint("10.0.0.", i), Zone: "z", Slots: 16, State: catalog.StateReady},
			Versions: map[string]uint64{"m": 1},
		})
	}
	g.table.applyRoster(0, update, nil)
	return g
}

// newPlacementRequest returns a placement request for a prompt of a preamble, a subject part and a part of its own.
func newPlacementRequest(placementID string, subject int) *wirePlacementRequest {
	return &wirePlacementRequest{
		PlacementID: placementID, Gateway: "a", Service: "s", Model: "m", PromptTokens: 9190, TimeoutMS: 5000, ReportsFirstEvent: true,
		Parts: []string{"preamble", fmt.Sprint("subject-", subject), placementID}, PartTokens: []int{2520, 3780, 2890},
	}
}

// TestPlacementLoad compares the load of placements with a model, for any order of placements, reported, repeated and
// missing ends.
func TestPlacementLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newScheduler(4)
		type running struct {
			instance string
			until    time.Duration
		}
		oracle := map[string]running{}
		now := time.Second
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				asked := newPlacementRequest(fmt.Sprint("t", step), rapid.IntRange(0, 3).Draw(t, "subject"))
				answer := g.placeForPeer(now, asked)
				if answer.Instance == "" {
					t.Fatal("no back end chosen, but all are ready")
				}
				oracle[asked.PlacementID] = running{answer.Instance, now + 5*time.Second}
			case 2:
				placementID := fmt.Sprint("t", rapid.IntRange(0, step).Draw(t, "ended"))
				_, _, known := g.table.endPlacement(now, &wirePlacementEnd{PlacementID: placementID, Gateway: "a", Outcome: outcomeSuccess})
				if _, runs := oracle[placementID]; known != runs {
					t.Fatalf("end of placement %s: known %v, want %v", placementID, known, runs)
				}
				delete(oracle, placementID)
			case 3:
				g.table.sweep(now)
				for ticket, r := range oracle {
					if now > r.until {
						delete(oracle, ticket)
					}
				}
			}
			counts := map[string]int{}
			for _, r := range oracle {
				counts[r.instance]++
			}
			for id, row := range g.table.rows {
				if row.occupancy.Total().Running != counts[id] || row.occupancy.Total().Tokens != counts[id]*loadOf(&Call{Parts: promptParts("x")}).Tokens {
					t.Fatalf("%s: load %+v, want %d requests", id, row.occupancy.Total(), counts[id])
				}
			}
		}
		if len(g.table.usage()) > 0 {
			t.Fatal("usage reported to control includes placements for other gateways")
		}
	})
}

func promptParts(own string) []prefix.Part {
	return []prefix.Part{{ID: "preamble", Tokens: 2520}, {ID: "subject-0", Tokens: 3780}, {ID: own, Tokens: 2890}}
}

// TestSchedulerPlacesByCache tests that prompts are placed where their parts are cached, that simultaneous requests
// spread over several engines, and that an isolated tenant does not use shared parts.
func TestSchedulerPlacesByCache(t *testing.T) {
	g := newScheduler(100)
	first := g.placeForPeer(time.Second, newPlacementRequest("t0", 7))
	again := g.placeForPeer(2*time.Second, newPlacementRequest("t1", 7))
	if again.Instance != first.Instance || again.Uncached != 2890 {
		t.Fatalf("first placement %+v, second placement %+v; want the same engine with the shared parts cached", first, again)
	}
	used := map[string]int{}
	for i := range 40 {
		used[g.placeForPeer(3*time.Second, newPlacementRequest(fmt.Sprint("u", i), 7)).Instance]++
	}
	if len(used) < 4 {
		t.Fatalf("40 simultaneous requests went to %d engines, want at least 4: %v", len(used), used)
	}
	if other := g.placeForPeer(4*time.Second, &wirePlacementRequest{PlacementID: "v", Service: "s", Model: "m", IsolatedTenant: "tenant", Excluded: []string{first.Instance}, Parts: []string{"preamble", "x"}, PartTokens: []int{2520, 10}, PromptTokens: 2530}); other.Instance == first.Instance || other.Uncached != 2530 {
		t.Fatalf("isolated tenant: got %+v, want another engine and the whole prompt uncached", other)
	}
}

// TestUnreachableReportsNeedTwoGateways tests that repeated reports of one gateway do not make the scheduler avoid a
// back end for all, and that a second gateway's report does.
func TestUnreachableReportsNeedTwoGateways(t *testing.T) {
	g := newScheduler(3)
	row := g.table.rows["i-0"]
	report := func(now time.Duration, gateway, placementID string) {
		g.table.addPlacement(now, placementID, placement{row: row, load: belief.Load{Running: 1}, expiresAt: now + time.Second})
		g.table.endPlacement(now, &wirePlacementEnd{PlacementID: placementID, Gateway: gateway, Unreached: true})
	}
	for i := range 5 {
		report(time.Second+time.Duration(i)*10*time.Millisecond, "a", fmt.Sprint("t", i))
	}
	if row.avoidUntil > 0 {
		t.Fatal("back end avoided after five reports of one gateway")
	}
	report(1100*time.Millisecond, "b", "t9")
	if row.avoidUntil == 0 {
		t.Fatal("back end not avoided after reports of two gateways")
	}
}

// TestFailureReportsNeedTwoGateways tests that failures reported by one gateway raise only the failure rate, and that a
// second gateway's report makes the scheduler avoid the back end.
func TestFailureReportsNeedTwoGateways(t *testing.T) {
	g := newScheduler(3)
	row := g.table.rows["i-0"]
	fail := func(now time.Duration, gateway, ticket string) {
		g.table.addPlacement(now, ticket, placement{row: row, load: belief.Load{Running: 1}, expiresAt: now + time.Second})
		if _, _, known := g.table.endPlacement(now, &wirePlacementEnd{PlacementID: ticket, Gateway: gateway, Outcome: outcomeFailure}); !known {
			t.Fatal("placement unknown")
		}
	}
	for i := range 5 {
		fail(time.Second+time.Duration(i)*10*time.Millisecond, "a", fmt.Sprint("t", i))
	}
	if row.avoidUntil > 0 || row.failures > 0 {
		t.Fatal("back end avoided after failures of one gateway")
	}
	if row.failureRate == 0 {
		t.Fatal("failures did not raise the failure rate")
	}
	fail(1100*time.Millisecond, "b", "t9")
	if row.avoidUntil == 0 {
		t.Fatal("back end not avoided after failures of two gateways")
	}
}

// TestSilentSchedulerIsSkipped tests that a gateway places a request itself if the scheduler does not reply, and then
// skips that scheduler for a while.
func TestSilentSchedulerIsSkipped(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	g := newScheduler(3)
	g.schedulers.setAddresses([]string{silent.Addr().String()})
	x := &exchange{gateway: g, route: &catalog.Route{}, ctx: context.Background(), service: g.view.Load().services["s"], view: g.view.Load(), call: Call{Model: "m", Parts: promptParts("own")}, deadline: time.Hour}
	if chosen := x.place(); chosen == nil || chosen.scheduled != nil {
		t.Fatalf("chosen %+v", chosen)
	}
	if asked := g.schedulers.forPrompt(g.now(), x.call.Parts); len(asked) > 0 {
		t.Fatalf("schedulers to ask: %v, want none", asked)
	}
}

// TestSchedulerPlacement tests a placement over the network: the salt is that of the requesting gateway, back ends that
// it avoids or has tried are excluded, and the end is reported to the scheduler.
func TestSchedulerPlacement(t *testing.T) {
	s := newScheduler(3)
	ended := make(chan struct{}, 8)
	server, err := transport.Listen("127.0.0.1:17391", "", func(request transport.Request, respond transport.Respond) {
		s.handlePeer(request, respond)
		if request.Path == pathEnd {
			ended <- struct{}{}
		}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close(context.Background()) }()
	g := newScheduler(3)
	g.schedulers.setAddresses([]string{"127.0.0.1:17391"})
	g.table.rows["i-0"].avoidUntil = time.Hour
	x := &exchange{
		gateway: g, ctx: context.Background(), service: g.view.Load().services["s"], view: g.view.Load(), route: &catalog.Route{},
		request: &http.Request{}, call: Call{Model: "m", Parts: promptParts("own")}, deadline: time.Hour, tried: []*endpoint{g.table.rows["i-1"]},
	}
	x.tenant = &catalog.Tenant{Name: "t", Isolated: true}
	chosen := x.place()
	if chosen == nil || chosen.scheduled == nil || chosen.row.entry.ID != "i-2" || chosen.salt != "w1/t" {
		t.Fatalf("chosen %+v", chosen)
	}
	if n := s.table.rows["i-2"].occupancy.Placed.Running; n != 1 {
		t.Fatalf("load of i-2 at the scheduler: %d requests, want 1", n)
	}
	x.newAttempt(chosen).reportEnd()
	<-ended
	if n := s.table.rows["i-2"].occupancy.Placed.Running; n != 0 {
		t.Fatalf("load of i-2 at the scheduler after the end: %d requests, want 0", n)
	}
	if _, err := mechanism.Without(string(mechanism.Schedulers)); err != nil {
		t.Fatal(err)
	}
}
