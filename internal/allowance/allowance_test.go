package allowance

import (
	"testing"
	"time"
)

var testLimit = Limit{Rate: 1000, Burst: 500, Slack: 1000}

func limitsOf(limit Limit) map[string]Limit { return map[string]Limit{resource: limit} }

// fullAllocator returns an allocator with a full bucket, and the current time.
func fullAllocator() (*Allocator, time.Duration) {
	a := NewAllocator(1)
	a.SetLimits(0, limitsOf(testLimit))
	return a, time.Minute
}

func requestOne(a *Allocator, now time.Duration, c *Client, amount float64) (Lease, time.Duration) {
	demands := []Demand{{Name: resource, Amount: amount}}
	got := c.ApplyReply(now, now, demands, a.Allocate(now, c.NewRequest(now, demands)))[0]
	return got.Lease, got.RetryAfter
}

func newTestClient() *Client {
	c := NewClient("b", testFallbackPeriod)
	c.SetLimits(limitsOf(testLimit))
	return c
}

// A new allocator grants only what accumulated since it was created.
func TestNewAllocatorStartsEmpty(t *testing.T) {
	a := NewAllocator(2)
	a.SetLimits(time.Minute, limitsOf(testLimit))
	c := newTestClient()
	lease, wait := requestOne(a, time.Minute, c, 100)
	if lease.Amount != 0 || wait != 100*time.Millisecond {
		t.Fatalf("granted %v, retry after %v", lease, wait)
	}
	if lease, _ = requestOne(a, time.Minute+wait, c, 100); lease.Amount != 100 {
		t.Fatalf("after the retry delay: got %v, want an amount of 100", lease)
	}
}

// Leases expire by the client's clock, LeaseTTL after the request was made, however late the reply arrives.
func TestLeasesExpire(t *testing.T) {
	a, now := fullAllocator()
	c := newTestClient()
	lease, _ := requestOne(a, now, c, 100)
	if !lease.Valid(now+LeaseTTL) || lease.Valid(now+LeaseTTL+1) {
		t.Fatalf("lease is not valid for LeaseTTL exactly: %v", lease)
	}
	c.Release(now, lease)
	if _, ok := c.Take(now+LeaseTTL+1, resource, 100); ok {
		t.Fatal("took an expired lease")
	}
	demands := []Demand{{Name: resource, Amount: 100}}
	lateReply := a.Allocate(now, c.NewRequest(now, demands))
	if got := c.ApplyReply(now+LeaseTTL+1, now, demands, lateReply); got[0].Lease.Amount != 0 {
		t.Fatal("reply received after LeaseTTL yielded a lease")
	}
}

// Duplicate replies and replies of earlier allocators must not yield leases.
func TestRepliesAreAppliedOnce(t *testing.T) {
	a, now := fullAllocator()
	c := newTestClient()
	demands := []Demand{{Name: resource, Amount: 100}}
	reply := a.Allocate(now, c.NewRequest(now, demands))
	if got := c.ApplyReply(now, now, demands, reply); got[0].Lease.Amount != 100 {
		t.Fatal("nothing granted")
	}
	if got := c.ApplyReply(now, now, demands, reply); got[0].Lease.Amount != 0 {
		t.Fatal("duplicate reply yielded a lease")
	}
	if _, ok := c.Take(now, resource, 100); ok {
		t.Fatal("duplicate reply added to the leases")
	}
	olderAllocator := NewAllocator(0)
	olderAllocator.SetLimits(0, limitsOf(testLimit))
	if got := c.ApplyReply(now, now, demands, olderAllocator.Allocate(now, c.NewRequest(now, demands))); got[0].Lease.Amount != 0 {
		t.Fatal("reply of an earlier allocator yielded a lease")
	}
}

// Leases of a client whose round trips take most of LeaseTTL must last longer, but not beyond MaxLeaseTTL, and no longer
// once its round trips are short again.
func TestLifetimeFollowsRoundTrip(t *testing.T) {
	a, now := fullAllocator()
	c := newTestClient()
	lifetime := func() time.Duration {
		lease, _ := requestOne(a, now, c, 1)
		return lease.ExpiresAt - now
	}
	for _, step := range []struct {
		roundTrip    time.Duration
		observations int
		want         time.Duration
	}{{10 * time.Millisecond, 1, LeaseTTL}, {150 * time.Millisecond, 1, 230 * time.Millisecond}, {time.Second, 1, MaxLeaseTTL}, {10 * time.Millisecond, 40, LeaseTTL}} {
		for range step.observations {
			c.RecordRoundTrip(step.roundTrip)
		}
		if got := lifetime(); got != step.want {
			t.Fatalf("after %d round trips of %v: leases last %v, want %v", step.observations, step.roundTrip, got, step.want)
		}
	}
}

// Replies that arrive in another order than their requests were made must yield what was granted, each once and for
// the lifetime from its own request on.
func TestLateReplyIsValidByItsOwnRequest(t *testing.T) {
	a, now := fullAllocator()
	c := newTestClient()
	demands := []Demand{{Name: resource, Amount: 100}}
	first := a.Allocate(now, c.NewRequest(now, demands))
	later := now + LeaseTTL/2
	second := a.Allocate(later, c.NewRequest(later, demands))
	if got := c.ApplyReply(later, later, demands, second); got[0].Lease.ExpiresAt != later+LeaseTTL {
		t.Fatalf("reply to the second request yielded %v", got)
	}
	if got := c.ApplyReply(later, now, demands, first); got[0].Lease.ExpiresAt != now+LeaseTTL {
		t.Fatalf("late reply to the first request yielded %v", got)
	}
	for _, reply := range []Reply{first, second} {
		if got := c.ApplyReply(later, now, demands, reply); got[0].Lease.Amount != 0 {
			t.Fatal("duplicate reply yielded a lease")
		}
	}
}

// Returned amounts are added once, also if the request arrives twice.
func TestUnusedLeasesAreReturnedOnce(t *testing.T) {
	a, now := fullAllocator()
	c := newTestClient()
	lease, _ := requestOne(a, now, c, 100)
	c.Release(now, lease)
	now += LeaseTTL - time.Millisecond
	request := c.NewRequest(now, []Demand{{Name: resource, Amount: 10}})
	if len(request.Returned) != 1 || request.Returned[0].Amount != 100 {
		t.Fatalf("returned amounts: got %v, want one of 100", request.Returned)
	}
	a.Withhold(now, 1) // no refill
	before := a.buckets[resource].level
	a.Allocate(now, request)
	a.Allocate(now, request)
	after := a.buckets[resource].level
	if granted := 2 * 10.0; after > before+100-granted && after > testLimit.capacity()-granted {
		t.Fatalf("level was %v before and %v after the return", before, after)
	}
	if a.buckets[resource].granted != 20 {
		t.Fatalf("granted %v", a.buckets[resource].granted)
	}
}

// Prefetched amounts are deducted, and half the capacity is left for other clients.
func TestPrefetchLeavesHalfTheCapacity(t *testing.T) {
	a, now := fullAllocator()
	capacity := testLimit.capacity()
	reply := a.Allocate(now, Request{Client: "b", Sequence: 1, Items: []RequestItem{{Name: resource, Amount: 100, Prefetch: 10_000}}})
	if got := reply.Grants[0].Amount; got != capacity/2 {
		t.Fatalf("granted %v of a capacity of %v", got, capacity)
	}
	reply = a.Allocate(now, Request{Client: "c", Sequence: 1, Items: []RequestItem{{Name: resource, Amount: 100, Prefetch: 100}}})
	if got := reply.Grants[0].Amount; got != 100 {
		t.Fatalf("granted %v", got)
	}
}

// An amount slightly above the capacity is granted from a full bucket, so that callers within the limit are not
// refused forever.
func TestAmountAboveCapacityNeedsFullBucket(t *testing.T) {
	a, now := fullAllocator()
	c := newTestClient()
	if lease, _ := requestOne(a, now, c, testLimit.maxAmount()+1); lease.Amount != 0 {
		t.Fatalf("amount above maxAmount was granted: %v", lease)
	}
	a, now = fullAllocator()
	c = newTestClient()
	if lease, _ := requestOne(a, now, c, 700); lease.Amount != 700 {
		t.Fatalf("amount slightly above the capacity: got %v", lease)
	}
	if lease, wait := requestOne(a, now, c, 100); lease.Amount != 0 || wait != 200*time.Millisecond {
		t.Fatalf("got %v, retry after %v", lease, wait)
	}
}

// The retry time of each rejected request follows those of the requests rejected before it.
func TestRetryAfterCountsEarlierRefusals(t *testing.T) {
	a := NewAllocator(1)
	a.SetLimits(time.Minute, limitsOf(testLimit))
	c := newTestClient()
	for i := range 3 {
		if _, wait := requestOne(a, time.Minute, c, 100); wait != time.Duration(i+1)*100*time.Millisecond {
			t.Fatalf("request %d: retry after %v", i, wait)
		}
	}
}

// A refusal by a new bucket must not be reported as a caller over its limit.
func TestNewBucketsReportWarmingUp(t *testing.T) {
	a := NewAllocator(1)
	a.SetLimits(time.Minute, limitsOf(testLimit))
	request := Request{Client: "b", Sequence: 1, Items: []RequestItem{{Name: resource, Amount: 600}}}
	if got := a.Allocate(time.Minute, request).Grants[0]; !got.WarmingUp || got.Amount != 0 {
		t.Fatalf("refusal of a new bucket: got %+v", got)
	}
	if states := a.States(time.Minute); states[0].OverLimit {
		t.Fatalf("new bucket reports that its limit is reached: %+v", states)
	}
	now := time.Minute + 2*time.Second
	a.Allocate(now, request)
	if got := a.Allocate(now, request).Grants[0]; got.WarmingUp || got.Amount != 0 {
		t.Fatalf("refusal of a warmed-up bucket: got %+v", got)
	}
}

// Amounts accumulated under a higher limit are dropped.
func TestLoweredLimitAppliesImmediately(t *testing.T) {
	a, now := fullAllocator()
	lower := Limit{Rate: 10, Burst: 10}
	a.SetLimits(now, limitsOf(lower))
	if level := a.buckets[resource].level; level != 10 {
		t.Fatalf("level is %v after the limit was lowered", level)
	}
	a.SetLimits(now, nil)
	if lease, _ := requestOne(a, now, newTestClient(), 1e6); lease.Amount != 1e6 {
		t.Fatalf("got %v although the limit was removed", lease)
	}
	a.SetLimits(now, limitsOf(testLimit))
	if level := a.buckets[resource].level; level != 0 {
		t.Fatalf("level is %v after the limit was removed and restored", level)
	}
}

// Without contact, a client may use its equal share of the reserve and of the rate, and nothing after the fallback
// period.
func TestFallbackShareIsBounded(t *testing.T) {
	c := newTestClient()
	c.RecordContact(time.Minute, 10)
	if _, ok := c.TakeFallback(time.Minute, resource, testLimit.reserve()/10+1); ok {
		t.Fatal("took more than the share of the reserve")
	}
	now := time.Minute + time.Second
	share := testLimit.reserve()/10 + testLimit.Rate/10
	if lease, ok := c.TakeFallback(now, resource, share); !ok || !lease.Valid(now) {
		t.Fatal("share of the reserve and the rate was refused")
	}
	if _, ok := c.TakeFallback(now, resource, 1); ok {
		t.Fatal("took more than the fallback share")
	}
	if _, ok := c.TakeFallback(time.Minute+testFallbackPeriod+1, resource, 1); ok {
		t.Fatal("took an amount after the fallback period")
	}
	if _, ok := newTestClient().TakeFallback(time.Minute, resource, 1); ok {
		t.Fatal("took an amount without ever having had contact")
	}
}

// A withheld fraction of the rate does not accumulate.
func TestWithheldRateIsNotGranted(t *testing.T) {
	a := NewAllocator(1)
	a.SetLimits(0, limitsOf(testLimit))
	a.Withhold(0, 0.75)
	a.Withhold(400*time.Millisecond, 0)
	if states := a.States(500 * time.Millisecond); states[0].Level < 199 || states[0].Level > 201 {
		t.Fatalf("level after withholding 0.75 for 400 ms of 500 ms: %v", states)
	}
}

// The worst case of use beyond a limit, with a third of the clients silent and a slack of one second of the rate, or of
// 0.8 for limits without a burst, must stay within the slack.
func TestSlackIsNotOvercommitted(t *testing.T) {
	// Seconds until a silent client is noticed, and the fraction of silent clients.
	const detectionDelay, silentFraction = 0.7, 1.0 / 3
	fractions := burstSlackFraction + debtSlackFraction + reserveSlackFraction
	late := MaxLeaseTTL.Seconds() + detectionDelay*silentFraction
	if committed := fractions + late; committed > 0.9 {
		t.Fatalf("%.2f of the slack is committed, at most 0.90 is allowed", committed)
	}
	const smallestSlack = 0.8
	if committed := fractions*smallestSlack + late; committed > smallestSlack {
		t.Fatalf("%.3f s of the rate are committed without a burst, at most %v are allowed", committed, smallestSlack)
	}
}

// Leases whose sum equals an amount only up to rounding can be taken in full.
func TestTakeToleratesRounding(t *testing.T) {
	c := newTestClient()
	for _, amount := range []float64{0.1, 0.2} {
		c.Release(time.Minute, Lease{Name: resource, Amount: amount, ExpiresAt: time.Minute + LeaseTTL})
	}
	first, second := 0.1, 0.2
	if lease, ok := c.Take(time.Minute, resource, first+second); !ok || lease.Amount != first+second {
		t.Fatalf("sum of two leases: got %v", lease)
	}
	if _, ok := c.Take(time.Minute, resource, 0.01); ok {
		t.Fatal("leases are left after their sum was taken")
	}
}
