package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/node"
	"kitetiller/internal/pushback"
)

// TestBackoffLogging tests the log lines of backoffs, at most one per second and back end, the field for unparsed
// backoffs, the backoff left in the log of a failed attempt, and the gauge of back ends in backoff.
func TestBackoffLogging(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	sent := attemptAt(g, g.table.rows["i-0"])
	for range 3 {
		sent.handlePushback(503, ResponseInfo{NotRun: true, Signals: pushback.Signals{Backoff: 3 * time.Second}})
	}
	attemptAt(g, g.table.rows["i-1"]).handlePushback(503, ResponseInfo{NotRun: true, UnparsedBackoff: "soon"})
	got := lines.FilterMessage(events.InstanceBackoffRequested).All()
	if len(got) != 2 {
		t.Fatalf("log lines %v, want 2 about backoffs", lines.All())
	}
	asked, unread := got[0].ContextMap(), got[1].ContextMap()
	if asked[events.FieldBackoff] != 3*time.Second || asked[events.FieldBackoffLeft].(time.Duration) < 3*time.Second || asked[events.FieldRequest] != "r1" {
		t.Errorf("log fields of a backoff: %v", asked)
	}
	if unread[events.FieldUnparsedValue] != "soon" || unread[events.FieldBackoffLeft] != time.Duration(0) {
		t.Errorf("log fields of an unparsed backoff: %v", unread)
	}
	again := attemptAt(g, g.table.rows["i-0"])
	now += time.Second
	again.begin()
	again.exchange.logFailure(again, result{kind: resultNotRun, cause: "503"})
	if failed := lines.FilterMessage(events.AttemptFailed).All()[0].ContextMap(); failed[events.FieldBackoffLeftAtSend].(time.Duration) < 2*time.Second {
		t.Errorf("log fields of an attempt sent during a backoff: %v", failed)
	}
	if n := g.table.backingOffCounts(now)["s"]; n != 1 {
		t.Errorf("%d back ends in backoff, want 1", n)
	}
	gauges := make(chan prometheus.Metric, 2)
	newBackoffGauge(g).Collect(gauges)
	if len(gauges) != 1 {
		t.Errorf("%d gauges, want 1", len(gauges))
	}
}

// reportBackoff lets a gateway receive a request for backoff from a back end.
func reportBackoff(g *Gateway, id string, rest time.Duration) {
	g.handlePushback(g.table.rows[id], responsePushback{signals: pushback.Signals{Backoff: rest}, status: 503})
}

// reportDraining lets a gateway receive a draining signal from a back end.
func reportDraining(g *Gateway, id string) {
	g.handlePushback(g.table.rows[id], responsePushback{signals: pushback.Signals{Draining: true}, status: 200})
}

// TestPushbackAfterChoice tests that the check before sending sees signals which arrived after the back end was chosen,
// while the connection was established or a scheduler was asked.
func TestPushbackAfterChoice(t *testing.T) {
	for cause, signal := range map[string]func(*Gateway){
		causeBackingOff: func(g *Gateway) { reportBackoff(g, "i-0", time.Second) },
		causeDraining:   func(g *Gateway) { reportDraining(g, "i-0") },
	} {
		g := newScheduler(1)
		chosen := chosenAttempt(g)
		if bar := chosen.recheckConditions(); bar != "" {
			t.Fatalf("restricted before the signal: %s", bar)
		}
		signal(g)
		if bar := chosen.recheckConditions(); bar != cause {
			t.Fatalf("restriction %q, want %q", bar, cause)
		}
	}
}

// TestPushbackSurvivesRosterChanges tests that signals stay in effect when the roster repeats, drops and re-adds, or
// moves an incarnation, and do not apply to a later one that cannot have sent them.
func TestPushbackSurvivesRosterChanges(t *testing.T) {
	born := time.Now().Add(-time.Hour).UnixMilli()
	first, later := catalog.Incarnation{Name: "e", StartedMS: born}, catalog.Incarnation{Name: "e", StartedMS: time.Now().Add(time.Hour).UnixMilli()}
	applyEntry := func(g *Gateway, incarnation catalog.Incarnation, address string) {
		g.table.applyRoster(g.now(), &control.RosterUpdate{Full: true, Entries: []control.RosterEntry{{
			Instance: catalog.Instance{ID: incarnation.ID(), Service: "s", Address: address, State: catalog.StateReady}, Versions: map[string]uint64{"m": 1},
		}}}, nil)
	}
	for what, step := range map[string]struct {
		meanwhile func(g *Gateway)
		open      bool
	}{
		"same entry": {func(g *Gateway) { applyEntry(g, first, "a") }, false},
		"removed and re-added": {func(g *Gateway) {
			g.table.applyRoster(g.now(), &control.RosterUpdate{Full: true}, nil)
			applyEntry(g, first, "a")
		}, false},
		"another address":   {func(g *Gateway) { applyEntry(g, first, "b") }, false},
		"later incarnation": {func(g *Gateway) { applyEntry(g, later, "a") }, true},
	} {
		for kind, signal := range map[string]func(*Gateway){
			"backoff":  func(g *Gateway) { reportBackoff(g, first.ID(), time.Minute) },
			"draining": func(g *Gateway) { reportDraining(g, first.ID()) },
		} {
			g := newScheduler(0)
			applyEntry(g, first, "a")
			signal(g)
			step.meanwhile(g)
			g.table.sweep(g.now())
			x := newModelRequest(g)
			if chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}); (chosen != nil) != step.open {
				t.Errorf("%s, %s: chosen %v", kind, what, chosen)
			}
		}
	}
}

// TestBackoffAppliesToOneGateway tests that a backoff excludes a back end only for the gateway that received it, while
// a scheduler still places other gateways' requests there. Draining applies to all.
func TestBackoffAppliesToOneGateway(t *testing.T) {
	s := newScheduler(1)
	reportBackoff(s, "i-0", time.Minute)
	if placed := s.placeForPeer(s.now(), newPlacementRequest("t1", 0)); placed.Instance != "i-0" {
		t.Fatalf("placement for a peer: %+v", placed)
	}
	x := newModelRequest(s)
	if chosen := s.choose(s.now(), selectionInput{service: x.service, call: &x.call, trusted: true}); chosen != nil {
		t.Fatalf("chosen %+v", chosen)
	}
	if without := s.table.excluded(s.now(), "s", nil); len(without) != 1 {
		t.Fatalf("excluded in a placement request: %v", without)
	}
	in := selectionInput{service: x.service, call: &x.call, trusted: true}
	if chosen := s.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 1}, schedulerPlacement{}, in); chosen != nil {
		t.Fatalf("accepted a scheduler's choice during a backoff: %+v", chosen)
	}
	if avoided := s.table.rows["i-0"].avoidUntil - s.now(); avoided < maxPeerBackoff-time.Second || avoided > maxPeerBackoff {
		t.Fatalf("raised cost for other gateways lasts %v", avoided)
	}
	if !s.table.isReady(s.table.rows["i-0"]) {
		t.Fatal("a back end in backoff is not ready")
	}
	reportDraining(s, "i-0")
	if s.table.isReady(s.table.rows["i-0"]) {
		t.Fatal("a draining back end is still ready")
	}
	if placed := s.placeForPeer(s.now(), newPlacementRequest("t2", 0)); placed.Instance != "" {
		t.Fatalf("placement for a peer: %+v", placed)
	}
}

// TestFewAvailableBackEnds tests that in a large service with nearly all back ends in backoff the available ones are
// found, although a sample of candidates mostly contains none of them.
func TestFewAvailableBackEnds(t *testing.T) {
	g := newScheduler(400)
	for id := range g.table.rows {
		if id != "i-7" && id != "i-311" {
			reportBackoff(g, id, time.Minute)
		}
	}
	x := newModelRequest(g)
	for range 50 {
		chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true})
		if chosen == nil || chosen.row.entry.ID != "i-7" && chosen.row.entry.ID != "i-311" {
			t.Fatalf("chosen %+v", chosen)
		}
	}
}

// TestRejectionRetryAfter tests the retry time after a back end rejected a request: at once while another one is
// available, else with jitter when the first backoff ends.
func TestRejectionRetryAfter(t *testing.T) {
	g := newScheduler(2)
	x := newModelRequest(g)
	reportBackoff(g, "i-0", 10*time.Second)
	if back := x.rejectionRetryAfter(result{backoff: 10 * time.Second}); back != 0 {
		t.Fatalf("retry after %v, want 0 while one back end is available", back)
	}
	reportBackoff(g, "i-1", 40*time.Second)
	distinct := map[time.Duration]bool{}
	for range 20 {
		back := x.rejectionRetryAfter(result{backoff: 40 * time.Second})
		if back < 9*time.Second || back > 10*time.Second+retryAfterSlack {
			t.Fatalf("retry after %v, want the end of the first backoff", back)
		}
		distinct[back.Truncate(time.Millisecond)] = true
	}
	if len(distinct) < 10 {
		t.Fatalf("%d distinct retry times for 20 callers, want at least 10", len(distinct))
	}
	if back := x.rejectionRetryAfter(result{retryAfter: 7 * time.Second}); back != 7*time.Second {
		t.Fatalf("retry after %v, want the back end's own 7s without a backoff", back)
	}
	if reason, back := x.noBackendReason(); reason != reasonBackingOff || back < 9*time.Second {
		t.Fatalf("reason %s, retry after %v", reason, back)
	}
}

// retryAfterSlack bounds how much later than the end of the first backoff a retry time may be, due to jitter.
const retryAfterSlack = 500 * time.Millisecond

// TestNoCacheReadsDuringBackoff tests that an engine in backoff is not queried about its cache.
func TestNoCacheReadsDuringBackoff(t *testing.T) {
	g := newScheduler(1)
	at := cacheCursor{listedAt: -cacheListInterval}
	script := &scriptedCache{drained: make(chan struct{}), answers: []any{CacheReport{Pushback: pushback.Signals{Backoff: time.Minute}}}}
	g.UseCacheReader(script)
	for step := range 3 {
		at.listedAt = -cacheListInterval
		if asked, err := g.readCache(t.Context(), "i-0", &at); err != nil || asked != (step == 0) {
			t.Fatalf("step %d: queried %v, error %v", step, asked, err)
		}
	}
	if script.lists != 1 {
		t.Fatalf("%d listings, want 1", script.lists)
	}
}

// TestPeerPushback tests signals received from another gateway: draining excludes the back end, a backoff only raises
// its cost for a limited time.
func TestPeerPushback(t *testing.T) {
	applyPeerPushback := func(signals pushback.Signals) (g *Gateway, chosen map[string]int) {
		g = newScheduler(2)
		peerUpdate := announcement{Gateway: "other", Instance: "i-0", Signals: signals}
		g.table.applySends(g.now(), []announcement{peerUpdate.toWire(0).announcement()})
		chosen = map[string]int{}
		x := newModelRequest(g)
		for range 20 {
			chosen[g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}).row.entry.ID]++
		}
		return g, chosen
	}
	g, chosen := applyPeerPushback(pushback.Signals{Backoff: time.Second})
	if chosen["i-0"] > 0 || attemptAt(g, g.table.rows["i-0"]).recheckConditions() != "" {
		t.Fatalf("backoff at another gateway: chosen %v", chosen)
	}
	if avoided := g.table.rows["i-0"].avoidUntil - g.now(); avoided > time.Second {
		t.Fatalf("raised cost lasts %v", avoided)
	}
	if g, _ := applyPeerPushback(pushback.Signals{Backoff: time.Hour}); g.table.rows["i-0"].avoidUntil-g.now() > maxPeerBackoff {
		t.Fatalf("raised cost lasts %v", g.table.rows["i-0"].avoidUntil-g.now())
	}
	g, chosen = applyPeerPushback(pushback.Signals{Draining: true})
	if bar := attemptAt(g, g.table.rows["i-0"]).recheckConditions(); chosen["i-0"] > 0 || bar != causeDraining {
		t.Fatalf("draining back end: chosen %v, restriction %q", chosen, bar)
	}
}

// TestPushbackCompatibility tests that messages of gateways without support for signals are decoded as having none, and
// that such gateways can decode messages with signals.
func TestPushbackCompatibility(t *testing.T) {
	var from wireAnnouncement
	if err := json.Unmarshal([]byte(`{"g":"older","i":"i-0","n":2,"a":7}`), &from); err != nil {
		t.Fatal(err)
	}
	if got := from.announcement(); !got.Signals.IsEmpty() || got.Load.Running != 2 {
		t.Fatalf("decoded message of an older gateway: %+v", got)
	}
	var older struct {
		Instance string `json:"i"`
		AgeMS    int64  `json:"a"`
	}
	text, err := json.Marshal(announcement{Gateway: "g", Instance: "i-0", Signals: pushback.Signals{Backoff: time.Second, Draining: true}}.toWire(5 * time.Millisecond))
	if err != nil || json.Unmarshal(text, &older) != nil || older.Instance != "i-0" || older.AgeMS != 5 {
		t.Fatalf("%s: %+v, %v", text, older, err)
	}
}
