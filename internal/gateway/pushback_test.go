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

// TestWishesForRestAreTold: each refusal with its wish leaves what was asked for and until when, a line a second for each back end; a wish
// that can't be read leaves what it was; a send into a rest can be told at its end; the gauge counts who rests.
func TestWishesForRestAreTold(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	sent := attemptAt(g, g.table.rows["i-0"])
	for range 3 {
		sent.handlePushback(503, Verdict{NotRun: true, Said: pushback.Signals{Backoff: 3 * time.Second}})
	}
	attemptAt(g, g.table.rows["i-1"]).handlePushback(503, Verdict{NotRun: true, Unread: "soon"})
	got := lines.FilterMessage(events.InstanceRests).All()
	if len(got) != 2 {
		t.Fatalf("lines %v", lines.All())
	}
	asked, unread := got[0].ContextMap(), got[1].ContextMap()
	if asked[events.FieldRest] != 3*time.Second || asked[events.FieldRestLeft].(time.Duration) < 3*time.Second || asked[events.FieldRequest] != "r1" {
		t.Errorf("asked for rest: %v", asked)
	}
	if unread[events.FieldUnread] != "soon" || unread[events.FieldRestLeft] != time.Duration(0) {
		t.Errorf("a wish that can't be read: %v", unread)
	}
	again := attemptAt(g, g.table.rows["i-0"])
	now += time.Second
	again.begin()
	again.exchange.logFailure(again, result{kind: resultNotRun, cause: "503"})
	if failed := lines.FilterMessage(events.AttemptFailed).All()[0].ContextMap(); failed[events.FieldSentAtRest].(time.Duration) < 2*time.Second {
		t.Errorf("sent at rest: %v", failed)
	}
	if n := g.table.backingOffCounts(now)["s"]; n != 1 {
		t.Errorf("%d rest", n)
	}
	gauges := make(chan prometheus.Metric, 2)
	newRestingGauge(g).Collect(gauges)
	if len(gauges) != 1 {
		t.Errorf("%d gauges of one service", len(gauges))
	}
}

// reportBackoff lets a back end ask a gateway for rest.
func reportBackoff(g *Gateway, id string, rest time.Duration) {
	g.handlePushback(g.table.rows[id], answerPushback{signals: pushback.Signals{Backoff: rest}, status: 503})
}

// reportDraining lets a back end tell a gateway that it reportDraining.
func reportDraining(g *Gateway, id string) {
	g.handlePushback(g.table.rows[id], answerPushback{signals: pushback.Signals{Draining: true}, status: 200})
}

// Between the choice and the send lies a connection that may take 300 ms to come up, or a scheduler's answer: what the back end says of itself
// meanwhile holds for the request that waits as well.
func TestLastLookSeesWhatTheBackEndSaidSinceTheChoice(t *testing.T) {
	for cause, say := range map[string]func(*Gateway){
		causeResting: func(g *Gateway) { reportBackoff(g, "i-0", time.Second) },
		causeLeaving: func(g *Gateway) { reportDraining(g, "i-0") },
	} {
		g := newScheduler(1)
		chosen := chosenAttempt(g)
		if bar := chosen.barred(); bar != "" {
			t.Fatalf("barred before: %s", bar)
		}
		say(g)
		if bar := chosen.barred(); bar != cause {
			t.Fatalf("barred %q, wanted %q", bar, cause)
		}
	}
}

// TestWhatABackEndSaidOutlivesTheRoster: a row that is told anew, that left and came back, or whose address changed is the same life; the next
// life of that name is another one, unless it may be the one that asked.
func TestWhatABackEndSaidOutlivesTheRoster(t *testing.T) {
	born := time.Now().Add(-time.Hour).UnixMilli()
	first, later := catalog.Incarnation{Name: "e", StartedMS: born}, catalog.Incarnation{Name: "e", StartedMS: time.Now().Add(time.Hour).UnixMilli()}
	applyEntry := func(g *Gateway, incarnation catalog.Incarnation, address string) {
		g.table.applyRoster(g.now(), &control.RosterNews{Whole: true, Entries: []control.RosterEntry{{
			Instance: catalog.Instance{ID: incarnation.ID(), Service: "s", Address: address, State: catalog.StateReady}, Versions: map[string]uint64{"m": 1},
		}}}, nil)
	}
	for what, step := range map[string]struct {
		meanwhile func(g *Gateway)
		open      bool
	}{
		"told anew": {func(g *Gateway) { applyEntry(g, first, "a") }, false},
		"left and back": {func(g *Gateway) {
			g.table.applyRoster(g.now(), &control.RosterNews{Whole: true}, nil)
			applyEntry(g, first, "a")
		}, false},
		"another address": {func(g *Gateway) { applyEntry(g, first, "b") }, false},
		"another life":    {func(g *Gateway) { applyEntry(g, later, "a") }, true},
	} {
		for kind, say := range map[string]func(*Gateway){
			"rest":    func(g *Gateway) { reportBackoff(g, first.ID(), time.Minute) },
			"leaving": func(g *Gateway) { reportDraining(g, first.ID()) },
		} {
			g := newScheduler(0)
			applyEntry(g, first, "a")
			say(g)
			step.meanwhile(g)
			g.table.sweep(g.now())
			x := newModelRequest(g)
			if chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}); (chosen != nil) != step.open {
				t.Errorf("%s, %s: chosen %v", kind, what, chosen)
			}
		}
	}
}

// TestRestIsBetweenTwo: a scheduler that was asked for rest places others' requests there, and not its own; whoever asks it names what wants
// rest from itself; that a back end leaves binds all.
func TestRestIsBetweenTwo(t *testing.T) {
	s := newScheduler(1)
	reportBackoff(s, "i-0", time.Minute)
	if placed := s.placeForPeer(s.now(), newPlacementRequest("t1", 0)); placed.Instance != "i-0" {
		t.Fatalf("placed %+v", placed)
	}
	x := newModelRequest(s)
	if chosen := s.choose(s.now(), selectionInput{service: x.service, call: &x.call, trusted: true}); chosen != nil {
		t.Fatalf("chosen %+v", chosen)
	}
	if without := s.table.excluded(s.now(), "s", nil); len(without) != 1 {
		t.Fatalf("a scheduler would be told to leave out %v", without)
	}
	in := selectionInput{service: x.service, call: &x.call, trusted: true}
	if chosen := s.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 1}, schedulerPlacement{}, in); chosen != nil {
		t.Fatalf("a scheduler that didn't hear of it: %+v", chosen)
	}
	if avoided := s.table.rows["i-0"].avoidUntil - s.now(); avoided < maxPeerBackoff-time.Second || avoided > maxPeerBackoff {
		t.Fatalf("dearer to others for %v", avoided)
	}
	if !s.table.isReady(s.table.rows["i-0"]) {
		t.Fatal("one that rests leaves")
	}
	reportDraining(s, "i-0")
	if s.table.isReady(s.table.rows["i-0"]) {
		t.Fatal("the end of one that says that it leaves counts as a crash")
	}
	if placed := s.placeForPeer(s.now(), newPlacementRequest("t2", 0)); placed.Instance != "" {
		t.Fatalf("placed %+v", placed)
	}
}

// TestTheFewThatTakeRequestsAreFound: in a large service most of whose back ends want rest, no request is turned away while one takes it. A
// sample of 24 among 400 of which 398 rest holds neither of the others in 89 of 100 choices.
func TestTheFewThatTakeRequestsAreFound(t *testing.T) {
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

// TestTurnedAwayCallersComeBackWhenItHelps: at once while another back end takes requests, else when the first does again, each a little apart.
func TestTurnedAwayCallersComeBackWhenItHelps(t *testing.T) {
	g := newScheduler(2)
	x := newModelRequest(g)
	reportBackoff(g, "i-0", 10*time.Second)
	if back := x.rejectionRetryAfter(result{rest: 10 * time.Second}); back != 0 {
		t.Fatalf("after %v although one back end takes requests", back)
	}
	reportBackoff(g, "i-1", 40*time.Second)
	distinct := map[time.Duration]bool{}
	for range 20 {
		back := x.rejectionRetryAfter(result{rest: 40 * time.Second})
		if back < 9*time.Second || back > 10*time.Second+retryAfterSlack {
			t.Fatalf("after %v", back)
		}
		distinct[back.Truncate(time.Millisecond)] = true
	}
	if len(distinct) < 10 {
		t.Fatalf("20 callers come back at %d moments", len(distinct))
	}
	if back := x.rejectionRetryAfter(result{retryAfter: 7 * time.Second}); back != 7*time.Second {
		t.Fatalf("advice beside no wish for rest: %v", back)
	}
	if reason, back := x.noBackendReason(); reason != reasonResting || back < 9*time.Second {
		t.Fatalf("%s after %v", reason, back)
	}
}

// retryAfterSlack is how much later than the end of the first rest a caller may be told to come back: what is added to the rest and to the advice.
const retryAfterSlack = 500 * time.Millisecond

// TestEngineAtRestIsNotAskedWhatItKeeps: it wants nothing from this gateway, and its cursor stays.
func TestEngineAtRestIsNotAskedWhatItKeeps(t *testing.T) {
	g := newScheduler(1)
	at := cacheCursor{listedAt: -cacheListInterval}
	script := &scriptedCache{drained: make(chan struct{}), answers: []any{CacheReport{Pushback: pushback.Signals{Backoff: time.Minute}}}}
	g.UseCacheReader(script)
	for step := range 3 {
		at.listedAt = -cacheListInterval
		if asked, err := g.readCache(t.Context(), "i-0", &at); err != nil || asked != (step == 0) {
			t.Fatalf("step %d: asked %v, %v", step, asked, err)
		}
	}
	if script.lists != 1 {
		t.Fatalf("asked %d times", script.lists)
	}
}

// TestOtherGatewaysHearOfIt: over the wire that a back end leaves binds whoever is told; a wish for rest makes the back end dearer there for a
// while and bars nobody.
func TestOtherGatewaysHearOfIt(t *testing.T) {
	applyPeerPushback := func(signals pushback.Signals) (g *Gateway, chosen map[string]int) {
		g = newScheduler(2)
		heard := send{Gateway: "other", Instance: "i-0", Said: signals}
		g.table.applySends(g.now(), []send{heard.wire(0).send()})
		chosen = map[string]int{}
		x := newModelRequest(g)
		for range 20 {
			chosen[g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}).row.entry.ID]++
		}
		return g, chosen
	}
	g, chosen := applyPeerPushback(pushback.Signals{Backoff: time.Second})
	if chosen["i-0"] > 0 || attemptAt(g, g.table.rows["i-0"]).barred() != "" {
		t.Fatalf("asked for rest elsewhere: %v", chosen)
	}
	if avoided := g.table.rows["i-0"].avoidUntil - g.now(); avoided > time.Second {
		t.Fatalf("dearer for %v", avoided)
	}
	if g, _ := applyPeerPushback(pushback.Signals{Backoff: time.Hour}); g.table.rows["i-0"].avoidUntil-g.now() > maxPeerBackoff {
		t.Fatalf("dearer for %v", g.table.rows["i-0"].avoidUntil-g.now())
	}
	g, chosen = applyPeerPushback(pushback.Signals{Draining: true})
	if bar := attemptAt(g, g.table.rows["i-0"]).barred(); chosen["i-0"] > 0 || bar != causeLeaving {
		t.Fatalf("leaves: %v, barred %q", chosen, bar)
	}
}

// TestOlderGatewaysAreUnderstood: a message of a gateway that doesn't know what back ends say of themselves tells nothing of it, and one to it
// holds what it knows.
func TestOlderGatewaysAreUnderstood(t *testing.T) {
	var from wireSend
	if err := json.Unmarshal([]byte(`{"g":"older","i":"i-0","n":2,"a":7}`), &from); err != nil {
		t.Fatal(err)
	}
	if got := from.send(); !got.Said.IsEmpty() || got.Load.Running != 2 {
		t.Fatalf("%+v", got)
	}
	var older struct {
		Instance string `json:"i"`
		AgeMS    int64  `json:"a"`
	}
	text, err := json.Marshal(send{Gateway: "g", Instance: "i-0", Said: pushback.Signals{Backoff: time.Second, Draining: true}}.wire(5 * time.Millisecond))
	if err != nil || json.Unmarshal(text, &older) != nil || older.Instance != "i-0" || older.AgeMS != 5 {
		t.Fatalf("%s: %+v, %v", text, older, err)
	}
}
