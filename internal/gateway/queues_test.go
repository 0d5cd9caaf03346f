package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
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

// plainDialect forwards requests without additional headers, and takes every response for a signed one.
type plainDialect struct{}

func (plainDialect) ReadEventVersion([]byte) (uint64, bool) { return 0, false }
func (plainDialect) SingleHeaders() []string                { return nil }
func (plainDialect) StatePath() string                      { return "/" }
func (plainDialect) ReadStartTime([]byte) (int64, error)    { return 0, nil }

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
