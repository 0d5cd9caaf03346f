package gateway

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/node"
	"kitetiller/internal/pushback"
)

// reportLimit lets a back end name a limit to a gateway.
func reportLimit(g *Gateway, id string, rate float64) {
	g.handlePushback(g.table.rows[id], answerPushback{signals: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: rate}}, status: 200})
}

// TestLimitsAreTold: each change of what a back end names leaves a line, and so does its end, one that can't be read and each word that nothing
// reads; the gauges count who names one.
func TestLimitsAreTold(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	sent := attemptAt(g, g.table.rows["i-0"])
	for _, rate := range []float64{4, 4, 2.5, 2.5} {
		sent.handlePushback(200, Verdict{Signed: true, Said: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: rate}}, Strange: []string{"Mood"}})
	}
	attemptAt(g, g.table.rows["i-1"]).handlePushback(200, Verdict{LimitUnread: "3,8"})
	got := lines.FilterMessage(events.InstanceLimits).All()
	if len(got) != 3 || got[0].ContextMap()[events.FieldLimit] != 4.0 || got[1].ContextMap()[events.FieldLimit] != 2.5 ||
		got[2].ContextMap()[events.FieldUnread] != "3,8" {
		t.Fatalf("lines %v", got)
	}
	if strange := lines.FilterMessage(events.WordUnknown).All(); len(strange) != 1 {
		t.Errorf("lines of words that nothing reads: %v", strange)
	}
	gauges := make(chan prometheus.Metric, 4)
	newLimitedGauge(g).Collect(gauges)
	if counts, sums := g.table.advertisedLimits(); len(gauges) != 2 || counts["s"] != 1 || sums["s"] != 2.5 {
		t.Errorf("%d gauges, %v, %v", len(gauges), counts, sums)
	}
	sent.handlePushback(200, Verdict{Signed: true, Unlimited: true, ID: "r1"}) // sent before the limit was heard
	if len(lines.FilterMessage(events.InstanceUnlimited).All()) > 0 {
		t.Fatal("an answer to a request from before ended the limit")
	}
	now += time.Second
	attemptAt(g, g.table.rows["i-0"]).handlePushback(200, Verdict{Signed: true, Unlimited: true, ID: "another"})
	if counts, _ := g.table.advertisedLimits(); counts["s"] != 1 {
		t.Fatal("another request's answer ended the limit")
	}
	attemptAt(g, g.table.rows["i-0"]).handlePushback(200, Verdict{Signed: true, Unlimited: true, ID: "r1"})
	if counts, _ := g.table.advertisedLimits(); len(counts) != 0 || len(lines.FilterMessage(events.InstanceUnlimited).All()) != 1 {
		t.Fatalf("after its end: %v", counts)
	}
}

// TestWordsThatNothingReadsAreBounded: their names come from outside.
func TestWordsThatNothingReadsAreBounded(t *testing.T) {
	var words strangeWords
	logged := 0
	for i := range 10 * strangeMost {
		if words.first(fmt.Sprint(i)) {
			logged++
		}
	}
	if logged != strangeMost || words.first("0") {
		t.Fatalf("%d were logged", logged)
	}
}

// reportNoLimit lets a back end tell that its limit is over, in the answer to a request that was sent now.
func reportNoLimit(g *Gateway, id string) { g.observeNoLimit(g.table.rows[id], g.now()) }

// chosenFor returns the back end that a gateway chooses for a request of its own, or "".
func chosenFor(g *Gateway) string {
	x := newModelRequest(g)
	if chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}); chosen != nil {
		return chosen.row.entry.ID
	}
	return ""
}

// Between the choice and the send a connection comes up: a limit that was named meanwhile needs its part, one that ended meanwhile none, and a
// part that was taken ends after a while.
func TestLastLookNeedsAPartOfTheLimit(t *testing.T) {
	now := time.Minute
	g := newScheduler(1)
	g.now = func() time.Duration { return now }
	chosen := chosenAttempt(g)
	if bar := chosen.barred(); bar != "" {
		t.Fatalf("barred before: %s", bar)
	}
	reportLimit(g, "i-0", 4)
	if bar := chosen.barred(); bar != causeLimited {
		t.Fatalf("barred %q without a part", bar)
	}
	chosen.hold = allowance.Lease{Name: "x", Amount: 1, ExpiresAt: now + allowance.LeaseTTL}
	g.table.setLimitExhausted(chosen.row, now+time.Second)
	if bar := chosen.barred(); bar != "" {
		t.Fatalf("barred %q with a part, although others find none", bar)
	}
	now += 2 * allowance.LeaseTTL
	if bar := chosen.barred(); bar != causeLimited {
		t.Fatalf("barred %q with a part that is over", bar)
	}
	reportNoLimit(g, "i-0")
	if bar := chosen.barred(); bar != "" {
		t.Fatalf("barred %q after the limit's end", bar)
	}
}

// TestBackEndsAtTheirLimitsAreLeftOut: of those of which nothing can be had none is chosen until then, nor named to a scheduler; a scheduler goes
// on placing there for others, a part of the limit at a time; while the lender is silent none with a limit is chosen.
func TestBackEndsAtTheirLimitsAreLeftOut(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	reportLimit(g, "i-0", 4)
	g.table.setLimitExhausted(g.table.rows["i-0"], now+time.Second)
	for range 20 {
		if got := chosenFor(g); got != "i-1" {
			t.Fatalf("chosen %q", got)
		}
	}
	if without := g.table.excluded(now, "s", nil); len(without) != 1 || without[0] != "i-0" {
		t.Fatalf("a scheduler would be told to leave out %v", without)
	}
	alone := &wirePlacementRequest{PlacementID: "t1", Gateway: "a", Service: "s", Model: "m", TimeoutMS: 5000, Excluded: []string{"i-1"}}
	placed := g.placeForPeer(now, alone)
	if placed.Instance != "i-0" || placed.Limit == nil || *placed.Limit != 4 {
		t.Fatalf("placed for another: %+v", placed)
	}
	if again := g.placeForPeer(now, alone); again.Instance != "" {
		t.Fatalf("placed at once again: %+v", again)
	}
	now += 250 * time.Millisecond
	if again := g.placeForPeer(now, alone); again.Instance != "i-0" {
		t.Fatalf("placed a quarter of a second later: %+v", again)
	}
	now += time.Second
	if first, _ := g.table.allRestricted(now, "s"); first != 0 {
		t.Fatalf("all barred for %v", first)
	}
	g.table.setLeaseRetryAt(now + leaseRetryInterval)
	for range 20 {
		if got := chosenFor(g); got != "i-1" {
			t.Fatalf("chosen %q while nobody lends", got)
		}
	}
}

// TestBackEndWithALimitOwnsNoPrompt: it is open and closed in turn, so that the prompt would be read in two places.
func TestBackEndWithALimitOwnsNoPrompt(t *testing.T) {
	g := newScheduler(2)
	call := (&wirePlacementRequest{Model: "m", Parts: []string{"preamble", "own"}, PartTokens: []int{2000, 100}}).call()
	held := selectionInput{service: g.view.Load().services["s"], call: &call, trusted: true}
	owner := g.owner(0, g.table.services["s"], held)
	reportLimit(g, owner.entry.ID, 4)
	if next := g.owner(0, g.table.services["s"], held); next == nil || next == owner {
		t.Fatalf("owner %v", next)
	}
}

// TestCallersComeBackInTurn: where all back ends have reached their limits each caller is told a later moment than the one before, as far apart as
// this gateway's part of the limits; not before the first of them takes another request, and never beyond a bound.
func TestCallersComeBackInTurn(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	g.gateways.Store(2)
	for _, id := range []string{"i-0", "i-1"} {
		reportLimit(g, id, 4)
		g.table.setLimitExhausted(g.table.rows[id], now+200*time.Millisecond)
	}
	x := newModelRequest(g)
	before := time.Duration(0)
	for i := range 60 {
		reason, back := x.noBackendReason()
		if reason != reasonLimited || back < 200*time.Millisecond || back > maxLimitRetryAfter+time.Second {
			t.Fatalf("%s after %v", reason, back)
		}
		wanted := min(200*time.Millisecond+time.Duration(i)*250*time.Millisecond, maxLimitRetryAfter)
		if back < wanted || back > wanted+retryAfterSlack/2 {
			t.Fatalf("caller %d comes back after %v, after %v was its turn", i, back, wanted)
		}
		before = back
	}
	now += 20 * time.Second
	g.table.setLimitExhausted(g.table.rows["i-0"], now+100*time.Millisecond)
	g.table.setLimitExhausted(g.table.rows["i-1"], now+100*time.Millisecond)
	if _, back := x.noBackendReason(); back >= before {
		t.Fatalf("after %v although nobody waits any more", back)
	}
}

// TestWhatBarsAllIsTold: of back ends at rest and at their limits the first that takes a request again says why.
func TestWhatBarsAllIsTold(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	reportBackoff(g, "i-0", 10*time.Second)
	reportLimit(g, "i-1", 4)
	if first, cause := g.table.allRestricted(now, "s"); first != 0 || cause != "" {
		t.Fatalf("%v, %q", first, cause)
	}
	g.table.setLimitExhausted(g.table.rows["i-1"], now+time.Second)
	if first, cause := g.table.allRestricted(now, "s"); first != time.Second || cause != causeLimited {
		t.Fatalf("%v, %q", first, cause)
	}
	g.table.setLimitExhausted(g.table.rows["i-1"], now+time.Minute)
	if first, cause := g.table.allRestricted(now, "s"); first < 10*time.Second || first > 11*time.Second || cause != causeResting {
		t.Fatalf("%v, %q", first, cause)
	}
}

// TestOtherGatewaysHearOfLimits: over the wire, with their age: of two words the later counts, whoever heard it; a scheduler tells whom it places
// for as well.
func TestOtherGatewaysHearOfLimits(t *testing.T) {
	now := time.Minute
	g := newScheduler(1)
	g.now = func() time.Duration { return now }
	applyPeerLimit := func(age time.Duration, limit pushback.Limit) {
		heard := send{Gateway: "other", Instance: "i-0", Age: age, Said: pushback.Signals{Limit: limit}}
		g.table.applySends(now, []send{heard.wire(0).send()})
	}
	rate := func() float64 {
		limit, _ := g.table.advertisedLimit(now, g.table.rows["i-0"])
		if limit == nil {
			return -1
		}
		return limit.Rate
	}
	for what, step := range []struct {
		age    time.Duration
		limit  pushback.Limit
		wanted float64
	}{
		{time.Second, pushback.Limit{Advertised: true, Rate: 4}, 4},
		{2 * time.Second, pushback.Limit{Advertised: true, Rate: 9}, 4},
		{2 * time.Second, pushback.Limit{Withdrawn: true}, 4},
		{500 * time.Millisecond, pushback.Limit{Advertised: true, Rate: 0}, 0},
		{400 * time.Millisecond, pushback.Limit{Withdrawn: true}, -1},
	} {
		if applyPeerLimit(step.age, step.limit); rate() != step.wanted {
			t.Fatalf("step %d: %.1f, wanted %.1f", what, rate(), step.wanted)
		}
	}
	x := newModelRequest(g)
	limit := 3.5
	placed := &wirePlacementReply{Instance: "i-0", Version: 1, Limit: &limit, LimitAgeMS: 20}
	g.candidateFromReply(placed, schedulerPlacement{}, selectionInput{service: x.service, call: &x.call, trusted: true})
	if rate() != 3.5 {
		t.Fatalf("a scheduler told %.1f", rate())
	}
	reportLimit(g, "i-0", 2)
	if older := (wireSend{Instance: "i-0", Limit: &limit, AgeMS: 1}); older.send().Said.Limit.Rate != 3.5 {
		t.Fatalf("%+v", older.send())
	}
}

// TestRequestGoesOnFromALimit: it may come back to that back end, which is full for a moment only, and gives up after a few.
func TestRequestGoesOnFromALimit(t *testing.T) {
	g := newScheduler(1)
	x := newModelRequest(g)
	x.writer = httptest.NewRecorder()
	for i := range maxLimitedAttempts {
		x.newAttempt(&candidate{row: g.table.rows["i-0"]})
		x.request = httptest.NewRequest("GET", "/", nil)
		if goes := x.mayGoOn(result{kind: resultUnreached, cause: causeLimited}); goes != (i < maxLimitedAttempts-1) || len(x.tried) != 0 {
			t.Fatalf("%d: goes on %v, tried %d", i, goes, len(x.tried))
		}
	}
	if x.sent != 0 || x.unreached != 0 {
		t.Fatalf("sent %d, unreached %d", x.sent, x.unreached)
	}
}

// A back end had named a limit and then none any more, while another one was idle. It costs 10 ms more for its limit, so that the idle one got every
// request, and nobody ever heard that the limit was over: of 80 requests 5 s later none came to it. Now it costs less again the longer nobody has
// heard of its limit.
func TestLimitIsHeardOfAgain(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	g.view.Store(newView(&catalog.Document{Services: []catalog.Service{{Name: "s"}}})) // no engines, so that all are as good for any request
	reportLimit(g, "i-0", 4)
	for range 40 {
		if now += 100 * time.Millisecond; chosenFor(g) == "i-0" {
			return
		}
	}
	t.Fatal("in 4 s nothing was sent to a back end that named a limit, which may be over")
}
