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

// reportLimit lets a gateway receive a rate limit that a back end advertises.
func reportLimit(g *Gateway, id string, rate float64) {
	g.handlePushback(g.table.rows[id], responsePushback{signals: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: rate}}, status: 200})
}

// TestLimitLogging tests the log lines for changed, unparsed and withdrawn limits and for unknown headers, and
// the gauges of limits. Only the response to the same request, sent after the limit was observed, can withdraw it.
func TestLimitLogging(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	sent := attemptAt(g, g.table.rows["i-0"])
	for _, rate := range []float64{4, 4, 2.5, 2.5} {
		sent.handlePushback(200, ResponseInfo{Signed: true, Signals: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: rate}}, UnknownHeaders: []string{"Mood"}})
	}
	attemptAt(g, g.table.rows["i-1"]).handlePushback(200, ResponseInfo{UnparsedLimit: "3,8"})
	got := lines.FilterMessage(events.InstanceLimitAdvertised).All()
	if len(got) != 3 || got[0].ContextMap()[events.FieldAdvertisedLimit] != 4.0 || got[1].ContextMap()[events.FieldAdvertisedLimit] != 2.5 ||
		got[2].ContextMap()[events.FieldUnparsedValue] != "3,8" {
		t.Fatalf("log lines about limits: %v", got)
	}
	if unknown := lines.FilterMessage(events.UnknownBackendHeader).All(); len(unknown) != 1 {
		t.Errorf("log lines about unknown headers: %v, want 1", unknown)
	}
	gauges := make(chan prometheus.Metric, 4)
	newAdvertisedLimitGauge(g).Collect(gauges)
	if counts, sums := g.table.advertisedLimits(); len(gauges) != 2 || counts["s"] != 1 || sums["s"] != 2.5 {
		t.Errorf("%d gauges, counts %v, sums %v", len(gauges), counts, sums)
	}
	sent.handlePushback(200, ResponseInfo{Signed: true, NoLimit: true, ID: "r1"}) // sent before the limit was observed
	if len(lines.FilterMessage(events.InstanceLimitWithdrawn).All()) > 0 {
		t.Fatal("limit withdrawn by a response to a request sent before it was observed")
	}
	now += time.Second
	attemptAt(g, g.table.rows["i-0"]).handlePushback(200, ResponseInfo{Signed: true, NoLimit: true, ID: "another"})
	if counts, _ := g.table.advertisedLimits(); counts["s"] != 1 {
		t.Fatal("limit withdrawn by another request's response")
	}
	attemptAt(g, g.table.rows["i-0"]).handlePushback(200, ResponseInfo{Signed: true, NoLimit: true, ID: "r1"})
	if counts, _ := g.table.advertisedLimits(); len(counts) != 0 || len(lines.FilterMessage(events.InstanceLimitWithdrawn).All()) != 1 {
		t.Fatalf("limits after the withdrawal: %v, want none", counts)
	}
}

// TestUnknownHeadersAreBounded tests that the number of remembered unknown header names is bounded, since back ends
// choose the names.
func TestUnknownHeadersAreBounded(t *testing.T) {
	var headers unknownHeaders
	logged := 0
	for i := range 10 * maxUnknownHeaders {
		if headers.addNew(fmt.Sprint(i)) {
			logged++
		}
	}
	if logged != maxUnknownHeaders || headers.addNew("0") {
		t.Fatalf("%d names logged", logged)
	}
}

// reportNoLimit lets a gateway receive a response without a limit to a request sent now.
func reportNoLimit(g *Gateway, id string) { g.observeNoLimit(g.table.rows[id], g.now()) }

// chosenFor returns the ID of the back end that a gateway chooses for a request of its own, or "".
func chosenFor(g *Gateway) string {
	x := newModelRequest(g)
	if chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}); chosen != nil {
		return chosen.row.entry.ID
	}
	return ""
}

// TestLeaseCheckBeforeSending tests the check before sending, for limits that are advertised or withdrawn after the
// choice and leases that expire.
func TestLeaseCheckBeforeSending(t *testing.T) {
	now := time.Minute
	g := newScheduler(1)
	g.now = func() time.Duration { return now }
	chosen := chosenAttempt(g)
	if bar := chosen.recheckConditions(); bar != "" {
		t.Fatalf("restricted without a limit: %s", bar)
	}
	reportLimit(g, "i-0", 4)
	if bar := chosen.recheckConditions(); bar != causeLimitReached {
		t.Fatalf("restriction %q without a lease", bar)
	}
	chosen.limitLease = allowance.Lease{Name: "x", Amount: 1, ExpiresAt: now + allowance.LeaseTTL}
	g.table.setLimitExhausted(chosen.row, now+time.Second)
	if bar := chosen.recheckConditions(); bar != "" {
		t.Fatalf("restriction %q with a lease", bar)
	}
	now += 2 * allowance.LeaseTTL
	if bar := chosen.recheckConditions(); bar != causeLimitReached {
		t.Fatalf("restriction %q with an expired lease", bar)
	}
	reportNoLimit(g, "i-0")
	if bar := chosen.recheckConditions(); bar != "" {
		t.Fatalf("restriction %q after the limit was withdrawn", bar)
	}
}

// TestExhaustedLimitsAreExcluded tests that back ends with an exhausted limit are not chosen, that a scheduler paces
// other gateways' placements there by the limit, and that no back end with a limit is chosen while the allocator does
// not reply.
func TestExhaustedLimitsAreExcluded(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	reportLimit(g, "i-0", 4)
	g.table.setLimitExhausted(g.table.rows["i-0"], now+time.Second)
	for range 20 {
		if got := chosenFor(g); got != "i-1" {
			t.Fatalf("chosen %q, want i-1", got)
		}
	}
	if without := g.table.excluded(now, "s", nil); len(without) != 1 || without[0] != "i-0" {
		t.Fatalf("excluded in a placement request: %v, want i-0", without)
	}
	alone := &wirePlacementRequest{PlacementID: "t1", Gateway: "a", Service: "s", Model: "m", TimeoutMS: 5000, Excluded: []string{"i-1"}}
	placed := g.placeForPeer(now, alone)
	if placed.Instance != "i-0" || placed.Limit == nil || *placed.Limit != 4 {
		t.Fatalf("placement for a peer: %+v", placed)
	}
	if again := g.placeForPeer(now, alone); again.Instance != "" {
		t.Fatalf("second placement at once: %+v, want none", again)
	}
	now += 250 * time.Millisecond
	if again := g.placeForPeer(now, alone); again.Instance != "i-0" {
		t.Fatalf("placement 250 ms later: %+v", again)
	}
	now += time.Second
	if first, _ := g.table.allRestricted(now, "s"); first != 0 {
		t.Fatalf("all back ends restricted for %v, want 0", first)
	}
	g.table.setLeaseRetryAt(now + leaseRetryInterval)
	for range 20 {
		if got := chosenFor(g); got != "i-1" {
			t.Fatalf("chosen %q while no leases are available", got)
		}
	}
}

// TestLimitedBackEndOwnsNoPrompt tests that a back end with a limit does not become the owner of shared parts, since
// they would be prefilled at a second back end whenever the limit is exhausted.
func TestLimitedBackEndOwnsNoPrompt(t *testing.T) {
	g := newScheduler(2)
	call := (&wirePlacementRequest{Model: "m", Parts: []string{"preamble", "own"}, PartTokens: []int{2000, 100}}).call()
	held := selectionInput{service: g.view.Load().services["s"], call: &call, trusted: true}
	owner := g.owner(0, g.table.services["s"], held)
	reportLimit(g, owner.entry.ID, 4)
	if next := g.owner(0, g.table.services["s"], held); next == nil || next == owner {
		t.Fatalf("owner %v, want another back end", next)
	}
}

// TestLimitRetryTimes tests that callers rejected while all back ends are at their limits get successive retry times,
// spaced at this gateway's share of the limits and bounded.
func TestLimitRetryTimes(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	g.gatewayCount.Store(2)
	for _, id := range []string{"i-0", "i-1"} {
		reportLimit(g, id, 4)
		g.table.setLimitExhausted(g.table.rows[id], now+200*time.Millisecond)
	}
	x := newModelRequest(g)
	before := time.Duration(0)
	for i := range 60 {
		reason, back := x.noBackendReason()
		if reason != reasonLimitReached || back < 200*time.Millisecond || back > maxLimitRetryAfter+time.Second {
			t.Fatalf("reason %s, retry after %v", reason, back)
		}
		wanted := min(200*time.Millisecond+time.Duration(i)*250*time.Millisecond, maxLimitRetryAfter)
		if back < wanted || back > wanted+retryAfterSlack/2 {
			t.Fatalf("caller %d: retry after %v, want %v", i, back, wanted)
		}
		before = back
	}
	now += 20 * time.Second
	g.table.setLimitExhausted(g.table.rows["i-0"], now+100*time.Millisecond)
	g.table.setLimitExhausted(g.table.rows["i-1"], now+100*time.Millisecond)
	if _, back := x.noBackendReason(); back >= before {
		t.Fatalf("retry after %v although no caller waits any more", back)
	}
}

// TestAllRestrictedCause tests that the cause is that of the back end which becomes available first.
func TestAllRestrictedCause(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	reportBackoff(g, "i-0", 10*time.Second)
	reportLimit(g, "i-1", 4)
	if first, cause := g.table.allRestricted(now, "s"); first != 0 || cause != "" {
		t.Fatalf("restricted for %v, cause %q", first, cause)
	}
	g.table.setLimitExhausted(g.table.rows["i-1"], now+time.Second)
	if first, cause := g.table.allRestricted(now, "s"); first != time.Second || cause != causeLimitReached {
		t.Fatalf("restricted for %v, cause %q", first, cause)
	}
	g.table.setLimitExhausted(g.table.rows["i-1"], now+time.Minute)
	if first, cause := g.table.allRestricted(now, "s"); first < 10*time.Second || first > 11*time.Second || cause != causeBackingOff {
		t.Fatalf("restricted for %v, cause %q", first, cause)
	}
}

// TestPeerLimits tests that of limits received from other gateways or a scheduler the one observed last is used.
func TestPeerLimits(t *testing.T) {
	now := time.Minute
	g := newScheduler(1)
	g.now = func() time.Duration { return now }
	applyPeerLimit := func(age time.Duration, limit pushback.Limit) {
		peerUpdate := announcement{Gateway: "other", Instance: "i-0", Age: age, Signals: pushback.Signals{Limit: limit}}
		g.table.applySends(now, []announcement{peerUpdate.toWire(0).announcement()})
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
			t.Fatalf("step %d: limit %.1f, want %.1f", what, rate(), step.wanted)
		}
	}
	x := newModelRequest(g)
	limit := 3.5
	placed := &wirePlacementReply{Instance: "i-0", Version: 1, Limit: &limit, LimitAgeMS: 20}
	g.candidateFromReply(placed, schedulerPlacement{}, selectionInput{service: x.service, call: &x.call, trusted: true})
	if rate() != 3.5 {
		t.Fatalf("limit %.1f after a scheduler's reply, want 3.5", rate())
	}
	reportLimit(g, "i-0", 2)
	if older := (wireAnnouncement{Instance: "i-0", Limit: &limit, AgeMS: 1}); older.announcement().Signals.Limit.Rate != 3.5 {
		t.Fatalf("decoded message of an older gateway: %+v", older.announcement())
	}
}

// TestRequestContinuesAfterLimit tests that an attempt at a back end at its limit does not exclude the back end from
// further attempts, and that the number of such attempts is bounded.
func TestRequestContinuesAfterLimit(t *testing.T) {
	g := newScheduler(1)
	x := newModelRequest(g)
	x.writer = httptest.NewRecorder()
	for i := range maxLimitedAttempts {
		x.newAttempt(&candidate{row: g.table.rows["i-0"]})
		x.request = httptest.NewRequest("GET", "/", nil)
		if goes := x.continueAfter(result{kind: resultUnreachable, cause: causeLimitReached}); goes != (i < maxLimitedAttempts-1) || len(x.tried) != 0 {
			t.Fatalf("attempt %d: continues %v, %d back ends excluded", i, goes, len(x.tried))
		}
	}
	if x.sentCount != 0 || x.unreachableCount != 0 {
		t.Fatalf("%d requests sent, %d connections failed, want none", x.sentCount, x.unreachableCount)
	}
}

// TestLimitCostDecays guards against a back end that withdrew its limit getting no requests because an idle one without
// a limit costs less, so that no gateway learns of the withdrawal.
func TestLimitCostDecays(t *testing.T) {
	now := time.Minute
	g := newScheduler(2)
	g.now = func() time.Duration { return now }
	g.view.Store(newView(&catalog.Document{Services: []catalog.Service{{Name: "s"}}}, nil)) // without engines, only the limit adds cost
	reportLimit(g, "i-0", 4)
	for range 40 {
		if now += 100 * time.Millisecond; chosenFor(g) == "i-0" {
			return
		}
	}
	t.Fatal("no request chose the back end with a limit within 4 s")
}
