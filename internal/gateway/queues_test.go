package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/transport"
)

// queueDocument returns a document with a service of engines whose streaming route has an objective.
func queueDocument(objective time.Duration) *catalog.Document {
	return &catalog.Document{
		Services: []catalog.Service{{Name: "s", Engine: true, CacheTokens: 80_000}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Streaming: true, Objective: objective, MaxEventGap: 300 * time.Millisecond, Targets: []catalog.Target{{Service: "s", Weight: 1}},
		}},
	}
}

// newQueueScheduler returns a scheduler whose service has an objective, and a clock that the test sets.
func newQueueScheduler(engines int, objective time.Duration, without ...mechanism.Name) (*Gateway, *time.Duration) {
	g := newScheduler(engines)
	var names []string
	for _, name := range without {
		names = append(names, string(name))
	}
	g.settings.Mechanisms, _ = mechanism.Without(strings.Join(names, ","))
	now := time.Second
	g.now = func() time.Duration { return now }
	g.setView(newView(queueDocument(objective), map[string]catalog.Offer{"s": {EventTokens: 8}}))
	return g, &now
}

// shortPrompt returns a placement request for a short prompt of one part.
func shortPrompt(placementID string, priority int) *wirePlacementRequest {
	return &wirePlacementRequest{
		PlacementID: placementID, Gateway: "a", Service: "s", Model: "m", PromptTokens: 600, TimeoutMS: 5000, Parts: []string{placementID}, PartTokens: []int{600}, Priority: priority, ReportsFirstEvent: true,
	}
}

// inputOf returns the selection input of a placement request.
func inputOf(g *Gateway, req *wirePlacementRequest) selectionInput {
	current := g.view.Load()
	call := req.call()
	return selectionInput{
		service: current.services["s"], call: &call, trusted: true, sentByPeer: true, priority: req.Priority, latencyTarget: durationFromMS(req.LatencyTargetMS),
		latencyCritical: current.critical["s"], offer: current.offer("s"), maxEventGap: current.gaps["s"], rates: g.table.queueRates["s"],
		reportsFirstEvent: req.ReportsFirstEvent,
	}
}

// TestOtherServicesDecideAsBefore guards against effects of the queue on services that are not latency-critical: with
// the mechanisms enabled, every back end gets the same score, wait and state, and messages have no new fields.
func TestOtherServicesDecideAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		on, onNow := newQueueScheduler(6, 800*time.Millisecond)
		off, offNow := newQueueScheduler(6, 800*time.Millisecond, mechanism.EngineQueue, mechanism.PauseBound)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			*onNow += time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Millisecond
			*offNow = *onNow
			now, row := *onNow, fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "row"))
			priority, tokens := rapid.IntRange(0, 3).Draw(t, "priority"), rapid.IntRange(0, 9000).Draw(t, "tokens")
			end := &wirePlacementEnd{
				PlacementID: fmt.Sprint(rapid.IntRange(0, step).Draw(t, "id")), Gateway: "a", FirstEventMS: int64(rapid.IntRange(0, 90).Draw(t, "first")), DurationMS: 100, PauseMS: 40,
				Outcome: outcomeSuccess, Running: rapid.Bool().Draw(t, "running"),
			}
			sent := announcement{Gateway: "b", Load: belief.Load{Running: 1}, Instance: row, Salt: "w1", Uncached: tokens, Queue: queueAnnouncement{Number: uint64(step + 1), Priority: priority}}
			first := announcement{Gateway: "b", Load: belief.Load{Running: 1}, Instance: row, Queue: queueAnnouncement{Number: uint64(step), FirstEvent: true}}
			what := rapid.IntRange(0, 3).Draw(t, "what")
			for _, g := range []*Gateway{on, off} {
				switch what {
				case 0:
					g.table.addPlacement(now, fmt.Sprint(step), placement{row: g.table.rows[row], load: belief.Load{Running: 1}, uncached: tokens, expiresAt: now + time.Second, priority: priority})
				case 1:
					g.table.applySends(now, []announcement{sent})
				case 2:
					g.table.applySends(now, []announcement{first})
				case 3:
					if end.Running {
						g.handleFirstEvent(now, end)
					} else {
						g.table.endPlacement(now, end)
					}
				}
			}
			req := newPlacementRequest("x", 1)
			req.Priority = priority
			for id, row := range on.table.rows {
				inOn, inOff := inputOf(on, req), inputOf(off, req)
				a, b := on.score(now, row, inOn, false, nil), off.score(now, off.table.rows[id], inOff, false, nil)
				if a.cost != b.cost || a.wait != b.wait || a.queueWait != b.queueWait || a.engineIdle != b.engineIdle || a.pause != 0 || row.queue != nil {
					t.Fatalf("%s: %+v with the mechanisms, %+v without", id, a, b)
				}
			}
		}
		reply := on.placeForPeer(*onNow, shortPrompt("new", 0))
		text, _ := json.Marshal(reply)
		if strings.Contains(string(text), `"q`) {
			t.Fatalf("reply %s", text)
		}
	})
}

// TestUrgentRequestIsNotHeldUp guards against a wait that counts less urgent requests as ahead.
func TestUrgentRequestIsNotHeldUp(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	for i := range 5 {
		asked := newPlacementRequest(fmt.Sprint("long", i), i)
		asked.Priority = 1
		g.placeForPeer(*now, asked)
	}
	row := g.table.rows["i-0"]
	urgent := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
	other := g.score(*now, row, inputOf(g, shortPrompt("x", 1)), false, nil)
	if urgent.queueWait > 60 || other.queueWait < 400 {
		t.Fatalf("predicted wait %.0f ms of an urgent request, %.0f ms of another; want under 60 and over 400", urgent.queueWait, other.queueWait)
	}
	g.settings.Mechanisms, _ = mechanism.Without(string(mechanism.EngineQueue))
	if without := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil); without.queueWait < 400 {
		t.Fatalf("mechanism disabled: predicted wait %.0f ms, want that of the horizon", without.queueWait)
	}
}

// TestFirstEventsCorrectQueue guards against a queue that keeps what was prefilled: a report of an own placement's first
// event, and an announcement of another scheduler's, remove the requests and what was ahead of them.
func TestFirstEventsCorrectQueue(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row := g.table.rows["i-0"]
	g.placeForPeer(*now, newPlacementRequest("t0", 0))
	g.table.applySends(*now, []announcement{{Gateway: "b", Instance: "i-0", Salt: "w1", Uncached: 9000, Queue: queueAnnouncement{Number: 4}}})
	*now += time.Millisecond
	g.placeForPeer(*now, newPlacementRequest("t1", 0))
	if n := row.queue.Outstanding(); n != 3 {
		t.Fatalf("%d requests outstanding, want 3", n)
	}
	*now += 100 * time.Millisecond
	peer := announcement{Gateway: "b", Load: belief.Load{Running: 1}, Instance: "i-0", Queue: queueAnnouncement{Number: 4, FirstEvent: true, FirstEventAge: 20 * time.Millisecond}}
	g.table.applySends(*now, []announcement{peer.toWire(0).announcement()})
	if n := row.queue.Outstanding(); n != 1 {
		t.Fatalf("%d requests outstanding after another scheduler's first event, want the one sent later", n)
	}
	g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "t1", Running: true, FirstEventMS: 95})
	if n := row.queue.Outstanding(); n != 0 {
		t.Fatalf("%d requests outstanding, want none", n)
	}
	if row.occupancy.Placed.Running != 2 {
		t.Fatalf("load %+v: the report of a first event ended a request", row.occupancy.Placed)
	}
}

// TestEndReportCorrectsQueue guards against requests that stay in the queue when only their end is reported, with or
// without a first event, and when the end is never reported.
func TestEndReportCorrectsQueue(t *testing.T) {
	for what, end := range map[string]*wirePlacementEnd{
		"with a first event": {PlacementID: "t0", FirstEventMS: 50, DurationMS: 60, Outcome: outcomeSuccess},
		"rejected":           {PlacementID: "t0", DurationMS: 5, Outcome: outcomeRejected},
		"never reported":     nil,
	} {
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		g.placeForPeer(*now, newPlacementRequest("t0", 0))
		*now += 70 * time.Millisecond
		if end != nil {
			p, _, known := g.table.endPlacement(*now, end)
			if !known || p.ended.Number == 0 || p.ended.FirstEvent != (end.FirstEventMS > 0) || p.ended.Removed == p.ended.FirstEvent {
				t.Errorf("%s: announced %+v", what, p.ended)
			}
		} else {
			g.table.sweep(*now + 6*time.Second)
		}
		if n := g.table.rows["i-0"].queue.Outstanding(); n != 0 {
			t.Errorf("%s: %d requests outstanding, want none", what, n)
		}
	}
}

// TestSchedulerWithoutReports guards against engines that a scheduler takes for slow because it is cut off, or because
// other gateways are of an older build: the queue runs down with time.
func TestSchedulerWithoutReports(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	g.placeForPeer(*now, newPlacementRequest("t0", 0))
	g.table.applySends(*now, []announcement{{Gateway: "older", Instance: "i-0", Salt: "w1", Uncached: 9000}})
	in := inputOf(g, shortPrompt("x", 1))
	before := g.score(*now, g.table.rows["i-0"], in, false, nil)
	*now += 200 * time.Millisecond
	later := g.score(*now, g.table.rows["i-0"], in, false, nil)
	*now += 800 * time.Millisecond
	last := g.score(*now, g.table.rows["i-0"], in, false, nil)
	if before.queueWait < 400 || later.queueWait > before.queueWait-150 || !last.engineIdle || last.slowness != 1 {
		t.Fatalf("predicted wait %.0f ms, after 200 ms %.0f ms, after 1 s %.0f ms; slowness %v", before.queueWait, later.queueWait, last.queueWait, last.slowness)
	}
}

// TestUnreportedFirstEventsAreNotOverdue guards against an engine that counts as up to 4 times slower because nobody
// reports the first event of a request sent there: the requesting gateway is of an older build, or the route is buffered.
func TestUnreportedFirstEventsAreNotOverdue(t *testing.T) {
	for what, send := range map[string]func(*Gateway, time.Duration){
		"placed for an older gateway": func(g *Gateway, now time.Duration) {
			asked := shortPrompt("old", 0)
			asked.PromptTokens, asked.PartTokens, asked.ReportsFirstEvent = 800, []int{800}, false
			if reply := g.placeForPeer(now, asked); reply.ReportFirstEvent {
				t.Error("asked an older gateway for a report")
			}
		},
		"buffered, placed by itself": func(g *Gateway, now time.Duration) {
			x := newModelRequest(g)
			x.route = &catalog.Route{Name: "buffered"}
			x.call.Parts, x.call.PromptTokens = nil, 800
			a := x.newAttempt(x.place())
			g.table.begin(now, a)
		},
	} {
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		row := g.table.rows["i-0"]
		g.placeForPeer(*now, shortPrompt("reported", 0))
		*now += 50 * time.Millisecond
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "reported", Running: true, FirstEventMS: 40})
		send(g, *now)
		if n := row.queue.Outstanding(); n != 1 {
			t.Errorf("%s: %d requests outstanding, want 1", what, n)
		}
		*now += 190 * time.Millisecond
		scored := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
		if scored.slowness != 1 || !scored.engineIdle {
			t.Errorf("%s: slowness %v after 190 ms, idle %v; want 1 and an idle engine", what, scored.slowness, scored.engineIdle)
		}
	}
}

// TestQueueMessagesTwiceLateOrUnknown guards against messages that change the queue a second time, after the end, or
// for requests that nobody knows.
func TestQueueMessagesTwiceLateOrUnknown(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row := g.table.rows["i-0"]
	sent := announcement{Gateway: "b", Instance: "i-0", Salt: "w1", Uncached: 9000, Queue: queueAnnouncement{Number: 4, Priority: 1}}
	first := announcement{Gateway: "b", Instance: "i-0", Queue: queueAnnouncement{Number: 4, FirstEvent: true}}
	report := &wirePlacementEnd{PlacementID: "t0", Running: true, FirstEventMS: 60}
	g.placeForPeer(*now, newPlacementRequest("t0", 0))
	g.table.applySends(*now, []announcement{sent, sent})
	if n := row.queue.Outstanding(); n != 2 {
		t.Fatalf("%d requests outstanding after an announcement that came twice, want 2", n)
	}
	*now += 100 * time.Millisecond
	g.handleFirstEvent(*now, report)
	g.table.applySends(*now, []announcement{first})
	g.placeForPeer(*now, newPlacementRequest("t1", 0))
	in := inputOf(g, shortPrompt("x", 1))
	want := g.score(*now, row, in, false, nil)
	for range 2 {
		g.handleFirstEvent(*now, report)
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "unknown", Running: true, FirstEventMS: 60})
		g.table.applySends(*now, []announcement{first, {Gateway: "c", Instance: "i-0", Queue: queueAnnouncement{Number: 4, Removed: true}}, {Gateway: "b", Instance: "gone", Queue: first.Queue}})
	}
	if got := g.score(*now, row, in, false, nil); got.cost != want.cost || row.queue.Outstanding() != 1 || g.table.queueRates["s"].Dropped() != 0 {
		t.Fatalf("cost %v, want %v; %d requests outstanding", got.cost, want.cost, row.queue.Outstanding())
	}
	if _, _, known := g.table.endPlacement(*now, &wirePlacementEnd{PlacementID: "t0", Outcome: outcomeSuccess, FirstEventMS: 60, DurationMS: 100}); !known {
		t.Fatal("placement ended by the report of its first event")
	}
	g.handleFirstEvent(*now, report)
	if row.queue.Outstanding() != 1 {
		t.Fatal("a late report changed the queue")
	}
}

// TestAbsurdQueueMessages guards against numbers that make predictions infinite or negative: they are clamped or
// dropped, and counted.
func TestAbsurdQueueMessages(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row, rates := g.table.rows["i-0"], g.table.queueRates["s"]
	dropped := uint64(0)
	for i, w := range []wireAnnouncement{
		{QueuePriority: -5, Uncached: 100, Salt: "w1"}, {QueuePriority: math.MaxInt, Uncached: 100, Salt: "w1"}, {Uncached: math.MaxInt, Salt: "w1"},
		{FirstEvent: true, FirstEventAgeMS: -5}, {FirstEvent: true, FirstEventAgeMS: math.MaxInt64}, {FirstEvent: true, FirstEventAgeMS: math.MinInt64},
	} {
		w.Gateway, w.Instance, w.QueueNumber = "b", "i-0", uint64(i%3+1)
		g.table.applySends(*now, []announcement{w.announcement()})
		if rates.Dropped() <= dropped {
			t.Errorf("message %d was not counted", i)
		}
		dropped = rates.Dropped()
	}
	for i, first := range []int64{-5, 0, math.MaxInt64} {
		id := fmt.Sprint("t", i)
		g.placeForPeer(*now, shortPrompt(id, 0))
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: id, Running: true, FirstEventMS: first})
		if rates.Dropped() <= dropped {
			t.Errorf("report of a first event after %d ms was not counted", first)
		}
		dropped = rates.Dropped()
		g.table.endPlacement(*now, &wirePlacementEnd{PlacementID: id, FirstEventMS: first, DurationMS: math.MaxInt64, PauseMS: math.MaxInt64})
	}
	for number := range uint64(3) { // the third has a prompt of the maximum size
		scored := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
		if !(scored.cost >= 0 && scored.cost < 110_000 && scored.queueWait >= 0) {
			t.Fatalf("score %+v", scored)
		}
		g.table.applySends(*now, []announcement{{Gateway: "b", Instance: "i-0", Queue: queueAnnouncement{Number: number + 1, Removed: true}}})
	}
	scored := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
	if !(scored.cost >= 0 && scored.cost < 1000 && scored.queueWait >= 0) || row.queue.Outstanding() != 0 {
		t.Fatalf("%d requests outstanding after their ends, score %+v", row.queue.Outstanding(), scored)
	}
}

// TestAbsurdFirstEventsCompleteNothing guards against a report whose time is absurd: it must not remove the requests that
// were sent before, nor be announced, and the end of the request removes only the request.
func TestAbsurdFirstEventsCompleteNothing(t *testing.T) {
	for _, first := range []int64{-1, math.MinInt64, math.MaxInt64, 30 * time.Minute.Milliseconds(), 0} {
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		row, rates := g.table.rows["i-0"], g.table.queueRates["s"]
		for i := range 3 {
			g.placeForPeer(*now, shortPrompt(fmt.Sprint("t", i), 0))
			*now += time.Millisecond
		}
		*now += 20 * time.Millisecond
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "t2", Running: true, FirstEventMS: first})
		if row.queue.Outstanding() != 3 || rates.Dropped() != 1 || row.queue.Work() != 0 {
			t.Errorf("first event after %d ms: %d requests outstanding, %d dropped", first, row.queue.Outstanding(), rates.Dropped())
		}
		p, _, _ := g.table.endPlacement(*now, &wirePlacementEnd{PlacementID: "t2", FirstEventMS: first, DurationMS: 20})
		if row.queue.Outstanding() != 2 || row.queue.Work() != 0 || !p.ended.Removed || p.ended.FirstEvent || first != 0 && rates.Dropped() != 2 {
			t.Errorf("end with a first event after %d ms: %d requests outstanding, %d dropped, announced %+v", first, row.queue.Outstanding(), rates.Dropped(), p.ended)
		}
	}
}

// TestFirstEventReportsLeaveRoomForEnds guards against reports of first events that displace reports of ends: the load of
// a request whose end is dropped counts at its scheduler until the placement expires.
func TestFirstEventReportsLeaveRoomForEnds(t *testing.T) {
	unanswered := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := newSchedulers(transport.NewClientWithDialer("", unanswered))
	for range 2 * maxPendingEnds {
		s.reportEnd("scheduler", wirePlacementEnd{Running: true})
	}
	if n := len(s.endSlots); n < maxPendingEnds/2 || n > maxPendingEnds/2+1 {
		t.Errorf("%d reports of first events in flight, want about half of %d", n, maxPendingEnds)
	}
	for range 2 * maxPendingEnds {
		s.reportEnd("scheduler", wirePlacementEnd{})
	}
	if n := len(s.endSlots); n != maxPendingEnds {
		t.Errorf("%d reports in flight, want %d", n, maxPendingEnds)
	}
}

// TestFirstEventsDuringRosterUpdates guards, under the race detector, against entries that are read without the mutex while
// a roster update replaces them.
func TestFirstEventsDuringRosterUpdates(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row := g.table.rows["i-0"]
	update := &control.RosterUpdate{Full: true, Entries: []control.RosterEntry{row.entry}}
	for i := range 50 {
		g.placeForPeer(*now, shortPrompt(fmt.Sprint("t", i), 0))
	}
	at := *now + 50*time.Millisecond
	var updates sync.WaitGroup
	updates.Go(func() {
		for range 500 {
			g.table.applyRoster(at, update, nil)
		}
	})
	for i := range 50 {
		g.handleFirstEvent(at, &wirePlacementEnd{PlacementID: fmt.Sprint("t", i), Running: true, FirstEventMS: 40})
		g.announceFirstEvent(at, at, row, queueAnnouncement{Number: uint64(i + 1), FirstEvent: true})
	}
	updates.Wait()
	if n := row.queue.Outstanding(); n != 0 {
		t.Errorf("%d requests outstanding", n)
	}
}

// TestAbsurdAgesLeaveQueuesAsTheyAre guards against an announcement whose age overflows or is negative: the time of sending
// would lie in the future, and the queues of the whole service would take that for the present.
func TestAbsurdAgesLeaveQueuesAsTheyAre(t *testing.T) {
	for _, ms := range []int64{1e13, math.MaxInt64, math.MaxInt64 / 1_000_000, 2 * time.Hour.Milliseconds(), math.MinInt64, -1e12} {
		if d := durationFromMS(ms); d < 0 || d+d < 0 {
			t.Errorf("%d ms is converted to %v", ms, d)
		}
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		row, rates := g.table.rows["i-0"], g.table.queueRates["s"]
		for i := range 4 {
			g.placeForPeer(*now, newPlacementRequest(fmt.Sprint("t", i), i))
		}
		want := g.score(*now, row, inputOf(g, shortPrompt("x", 1)), false, nil)
		sent := announcement{Gateway: "b", Instance: "i-0", Salt: "w1", Uncached: 100, Queue: queueAnnouncement{Number: 7, Priority: 9}}
		sent.Age = wireAnnouncement{AgeMS: ms}.announcement().Age
		g.table.applySends(*now, []announcement{sent})
		if ms > 0 && (rates.Dropped() != 1 || row.queue.Outstanding() != 4) {
			t.Errorf("%d ms: %d dropped, %d requests outstanding; want 1 and 4", ms, rates.Dropped(), row.queue.Outstanding())
		}
		sent.Age = -time.Hour // the sum of an age and its wait may overflow
		sent.Queue.Number++
		g.table.applySends(*now, []announcement{sent})
		*now += time.Millisecond
		got := g.score(*now, row, inputOf(g, shortPrompt("x", 1)), false, nil)
		if row.queue.Outstanding() < 4 || got.queueWait < want.queueWait-20 {
			t.Errorf("%d ms: %d requests outstanding, predicted wait %.0f ms; want that of the placed requests, %.0f ms", ms, row.queue.Outstanding(), got.queueWait, want.queueWait)
		}
		*now += time.Minute
		if row.queue.Sweep(*now); row.queue.Outstanding() != 0 {
			t.Errorf("%d ms: %d requests outstanding after a minute", ms, row.queue.Outstanding())
		}
	}
}

// plainDialect forwards requests without additional headers, and takes every response for a signed one.
type plainDialect struct{}

func (plainDialect) ReadEventVersion([]byte) (uint64, bool) { return 0, false }

func (plainDialect) ReadCall(http.Header) Call               { return Call{} }
func (plainDialect) WriteForwarding(http.Header, Forwarding) {}
func (plainDialect) ReadResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{ID: "r1", Signed: true}
}

// streamingEngine serves a stream of two events with a pause between them, and then ends.
func streamingEngine(t *testing.T, pause time.Duration) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStream)
		time.Sleep(5 * time.Millisecond) // messages state the time in whole milliseconds
		for id := 1; id <= 2; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			_ = http.NewResponseController(w).Flush()
			if id == 1 {
				time.Sleep(pause)
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddress returns a local address on which nothing listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestFirstEventReports tests over the network that a scheduler hears of a first event while the stream goes on, and
// only by the report of the end if the stream ends at once; and that a gateway which places its requests itself feeds
// its own queue and its reservations. It guards against a resumed attempt whose whole stream counts as a wait, since the
// first event of the request came before the attempt.
func TestFirstEventReports(t *testing.T) {
	for what, c := range map[string]struct {
		pause     time.Duration
		scheduled bool
		reports   int // of first events
		resumed   bool
	}{
		"stream goes on":             {120 * time.Millisecond, true, 1, false},
		"stream ends at once":        {0, true, 0, false},
		"resumed, goes on":           {120 * time.Millisecond, true, 1, true},
		"resumed, ends at once":      {0, true, 0, true},
		"placed by itself, goes on":  {120 * time.Millisecond, false, 0, false},
		"placed by itself, at once ": {0, false, 0, false},
		"placed by itself, resumed":  {120 * time.Millisecond, false, 0, true},
	} {
		t.Run(what, func(t *testing.T) {
			s, _ := newQueueScheduler(1, 400*time.Millisecond)
			s.now = newScheduler(1).now
			var mu sync.Mutex
			var reports []wirePlacementEnd
			ended := make(chan struct{}, 8)
			address := freeAddress(t)
			server, err := transport.Listen(address, "", func(request transport.Request, respond transport.Respond) {
				s.handlePeer(request, respond)
				if request.Path == pathEnd {
					var end wirePlacementEnd
					_ = json.Unmarshal(request.Body, &end)
					mu.Lock()
					reports = append(reports, end)
					mu.Unlock()
					if !end.Running {
						ended <- struct{}{}
					}
				}
			}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close(context.Background()) }()
			g, _ := newQueueScheduler(1, 400*time.Millisecond)
			g.now, g.dialect = newScheduler(1).now, plainDialect{}
			row := g.table.rows["i-0"]
			row.entry.Address = streamingEngine(t, c.pause)
			if c.scheduled {
				g.schedulers.setAddresses([]string{address})
			}
			x := newModelRequest(g)
			x.route = &g.view.Load().document.Routes[0]
			x.call.Parts, x.call.PromptTokens = promptParts("own"), 9190
			x.request, x.writer = httptest.NewRequest(http.MethodPost, "/x", nil), httptest.NewRecorder()
			chosen := x.place()
			if chosen == nil || (chosen.scheduled != nil) != c.scheduled {
				t.Fatalf("chosen %+v", chosen)
			}
			reservations := g.table.reservationController("s")
			if c.resumed {
				x.firstEventAt = g.now()
			}
			if got := x.newAttempt(chosen).perform(); got.kind != resultAnswered {
				t.Fatalf("result %+v", got)
			}
			if !c.scheduled {
				if row.queue.Outstanding() != 0 || row.queue.Work() == 0 {
					t.Fatalf("own queue: %d requests outstanding, work %v", row.queue.Outstanding(), row.queue.Work())
				}
				if reflect.ValueOf(reservations).Elem().FieldByName("peakRate").Float() == 0 {
					t.Fatal("reservations: the prompt does not count as read")
				}
				return
			}
			<-ended
			mu.Lock()
			defer mu.Unlock()
			running := 0
			for _, report := range reports {
				if report.Running {
					running++
				}
			}
			last := reports[len(reports)-1]
			if running != c.reports || len(reports) != c.reports+1 || last.FirstEventMS == 0 || c.pause > 0 && last.PauseMS < 100 {
				t.Fatalf("reports %+v", reports)
			}
			if queue := s.table.rows["i-0"].queue; queue.Outstanding() != 0 {
				t.Fatalf("%d requests outstanding at the scheduler", queue.Outstanding())
			}
		})
	}
}

// addStreams lets streams run at an engine.
func addStreams(row *endpoint, n int) { row.occupancy.Placed.Running += n }

// TestPauseBoundSpreadsLongPrompts guards against a long prompt at an engine whose streams would pause for too long,
// although it is the cheapest otherwise. An engine without streams is not charged.
func TestPauseBoundSpreadsLongPrompts(t *testing.T) {
	place := func(streams int, without ...mechanism.Name) string {
		g, now := newQueueScheduler(3, 400*time.Millisecond, without...)
		busy, slow := g.table.rows["i-0"], g.table.rows["i-2"]
		for range 40 { // first events of the service show that engines may be 4 times slower than usual
			g.table.queueSent(*now, slow, 900, 0, 600)
			*now += 300 * time.Millisecond
			slow.queue.FirstEvent(*now, *now, ownQueueID(900))
		}
		*now += 5 * time.Second
		addStreams(busy, streams)
		g.table.queueSent(*now, busy, 901, 9, 4000) // less urgent, so it is not ahead
		busy.cache.RecordUse(*now, "w1", promptParts("own")[:2])
		asked := newPlacementRequest("own", 0)
		asked.Excluded = []string{"i-2"}
		return g.placeForPeer(*now, asked).Instance
	}
	if got := place(8); got != "i-1" {
		t.Errorf("streams would pause for too long: placed at %s, want the other engine", got)
	}
	if got := place(0); got != "i-0" {
		t.Errorf("no streams: placed at %s, want the engine that has the prompt cached", got)
	}
	if got := place(8, mechanism.PauseBound); got != "i-0" {
		t.Errorf("mechanism disabled: placed at %s, want the engine that has the prompt cached", got)
	}
}

// TestLanesOfLatencyCriticalServicesKeepWeight guards against long prompts that are sent to the engines of short ones
// once half of the slots are in use. Lanes of other services lose their weight as before.
func TestLanesOfLatencyCriticalServicesKeepWeight(t *testing.T) {
	weight := func(objective time.Duration, without ...mechanism.Name) float64 {
		g, now := newQueueScheduler(4, objective, without...)
		for _, row := range g.table.rows {
			addStreams(row, 12) // of 16 slots
		}
		g.choose(*now, inputOf(g, shortPrompt("x", 0)))
		return g.table.lanesOf("s").weight()
	}
	if got := weight(400 * time.Millisecond); got != 1 {
		t.Errorf("weight %v, want 1", got)
	}
	if got := weight(800 * time.Millisecond); got != 0 {
		t.Errorf("service that is not latency-critical: weight %v, want 0", got)
	}
	if got := weight(400*time.Millisecond, mechanism.PauseBound); got != 0 {
		t.Errorf("mechanism disabled: weight %v, want 0", got)
	}
}

// TestShortestEventGaps guards against a bound taken from routes that don't stream or don't lead to the service.
func TestShortestEventGaps(t *testing.T) {
	to := func(service string, weight int) []catalog.Target {
		return []catalog.Target{{Service: service, Weight: weight}}
	}
	gaps := shortestEventGaps(&catalog.Document{Routes: []catalog.Route{
		{Streaming: true, MaxEventGap: 300 * time.Millisecond, Targets: to("s", 1)}, {Streaming: true, MaxEventGap: 250 * time.Millisecond, Targets: to("s", 1)},
		{Streaming: true, Targets: to("s", 1)}, {MaxEventGap: time.Millisecond, Targets: to("s", 1)}, {Streaming: true, MaxEventGap: time.Millisecond, Targets: to("s", 0)},
		{Streaming: true, MaxEventGap: time.Second, Targets: to("other", 1)},
	}})
	if len(gaps) != 2 || gaps["s"] != 250*time.Millisecond || gaps["other"] != time.Second {
		t.Fatalf("gaps %v", gaps)
	}
}

// TestQueueMetricsAndLogFields guards against metrics by engine, and against predictions that are not passed on to the
// gateway that logs them, also for rejections.
func TestQueueMetricsAndLogFields(t *testing.T) {
	g, now := newQueueScheduler(3, 400*time.Millisecond)
	for i := range 60 {
		asked := newPlacementRequest(fmt.Sprint("t", i), 1)
		asked.Priority, asked.FirstAttempt, asked.LatencyTargetMS = 1, true, 400
		reply := g.placeForPeer(*now, asked)
		placed := g.candidateFromReply(&reply, schedulerPlacement{}, inputOf(g, asked))
		if reply.Slowness <= 0 || placed.slowness != reply.Slowness || placed.queueWait != reply.QueueMS || placed.queueWait > placed.wait {
			t.Fatalf("placement %d: reply %+v, candidate %+v", i, reply, placed)
		}
		if reply.RetryAfterMS > 0 {
			break
		}
		if i == 59 {
			t.Fatal("no request was rejected")
		}
	}
	families, err := g.Metrics().Gather()
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]int{}
	for _, family := range families {
		if strings.Contains(family.GetName(), "_queue_") {
			found[family.GetName()] = len(family.GetMetric())
		}
	}
	if len(found) != 3 || found["kitetiller_gateway_queue_outstanding"] != 1 {
		t.Fatalf("metrics %v, want 3 with one series", found)
	}
}

// Guards against streams of a latency-critical service that pause beside long prefills: a short request is placed in the
// long lane, or a long one in the short lane, only where all else would miss the objective as well. Long prompts of
// which little is uncached may stay where their parts are cached.
func TestStrictLanesKeepPromptsApartBySize(t *testing.T) {
	const objective = 300 * time.Millisecond
	for _, c := range []struct {
		longLane         bool
		prompt, uncached int
		want             float64
	}{
		{true, 800, 500, 150}, {false, 800, 800, 0},
		{true, 9000, 2900, 0}, {false, 9000, 2900, 300}, {false, 9000, 400, shortOffLaneCost}, {true, 9000, 400, 0},
	} {
		if got := strictLaneCost(c.longLane, c.prompt, c.uncached, objective); got != c.want {
			t.Errorf("%+v: cost %v ms", c, got)
		}
	}
	if short, long := strictLaneCost(true, 800, 500, 10*time.Millisecond), strictLaneCost(false, 9000, 9000, 10*time.Millisecond); short != shortOffLaneCost || long != longOffLaneCost {
		t.Errorf("with a tiny objective: costs %v and %v ms, want %v and %v", short, long, shortOffLaneCost, longOffLaneCost)
	}
}

// Guards against a short lane whose slots are taken while its prefills use a tenth of its time: 200 short requests a
// second that hold a slot for 2 s, and 500 long ones that are prefilled in 30 ms and end 300 ms later.
func TestStrictLanesAreDividedByEngineTime(t *testing.T) {
	l := &lanes{strict: true}
	for range 200 {
		l.observeDuration(800, 2*time.Second)
		l.observeDuration(9000, 330*time.Millisecond)
	}
	for i := range 10_000 {
		now := time.Duration(i) * 2 * time.Millisecond
		l.recordEngineTime(now, true, 30, float64(l.duration(true))/32)
		if i%5 < 2 {
			l.recordEngineTime(now, false, 5, float64(l.duration(false))/32)
		}
	}
	// 200 x 2 s / 32 slots = 12.5 engines of slots against 500 x 30 ms = 15 of prefills.
	if got := l.longDemandFraction(); got < 0.52 || got > 0.57 {
		t.Errorf("%.2f of the engines are for long requests", got)
	}
}
