package allowance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/lab/window"
)

const (
	// settlingTime is how long after a lower limit was observed amounts granted before may still be used.
	settlingTime = 500 * time.Millisecond
	// minUsedFraction of a limit must be used if demand exceeds it and there are no faults.
	minUsedFraction = 0.8
)

// advertisement is a limit as observed by a client.
type advertisement struct {
	rate float64
	at   time.Duration
}

func (a advertisement) limit(now time.Duration) AdvertisedLimit {
	return AdvertisedLimit{Rate: a.rate, Age: now - a.at}
}

// newAdvertisedFleet returns a fleet that shares a resource with an advertised limit.
func newAdvertisedFleet(rate float64, clients int, seed uint64) *fleet {
	f := newFleet(Limit{}, clients, seed)
	f.advertised = make([]advertisement, clients)
	f.advertise(rate)
	for i := range clients {
		f.startClient(i)
	}
	f.elect()
	return f
}

// advertise makes all clients observe a limit.
func (f *fleet) advertise(rate float64) {
	for i := range f.advertised {
		f.advertised[i] = advertisement{rate, f.now}
	}
}

// fullestWindow returns the largest number of uses in any window that begins after the given time.
func (f *fleet) fullestWindow(after time.Duration) int {
	var usedAt []time.Duration
	for _, u := range f.usages {
		if u.at >= after {
			usedAt = append(usedAt, u.at)
		}
	}
	return window.MaxCount(usedAt, after)
}

// Whatever is lost, delayed, duplicated, paused, partitioned or newly elected, all clients together stay within the
// advertised limit in every window. A lower limit holds from settlingTime after it was observed.
func TestAdvertisedLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 30).Draw(t, "rate")
		f := newAdvertisedFleet(rate, rapid.SampledFrom([]int{1, 2, 7, 30, 100}).Draw(t, "borrowers"), rapid.Uint64().Draw(t, "seed"))
		f.faults = faultRates{
			loss: rapid.Float64Range(0, 0.2).Draw(t, "lost"), duplication: rapid.Float64Range(0, 0.2).Draw(t, "repeated"),
			delay: rapid.Float64Range(0, 0.2).Draw(t, "late"),
		}
		demandProbability := rapid.Float64Range(0.05, 1).Draw(t, "eagerness")
		checkFrom := f.now
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				f.step(demandProbability)
			}
			kind := rapid.SampledFrom([]string{"pause", "cut", "restart", "fall", "elect", "lower"}).Draw(t, "kind")
			if kind == "lower" {
				rate *= rapid.Float64Range(0, 1).Draw(t, "by")
				f.advertise(rate)
				checkFrom = f.now + settlingTime
				continue
			}
			f.inject(kind, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond, rapid.Float64Range(0, 0.34).Draw(t, "share"))
		}
		for range 500 {
			f.step(demandProbability)
		}
		if used, allowed := float64(f.fullestWindow(checkFrom)), window.Allowed(rate); used > allowed {
			t.Fatalf("used %.0f in a window, %.0f allowed at %.2f per second", used, allowed, rate)
		}
	})
}

// If demand exceeds a limit and there are no faults, most of the limit is used, by one client or many.
func TestAdvertisedLimitsAreUsed(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 3.8, 12, 60} {
		for _, clients := range []int{1, 7, 100} {
			f := newAdvertisedFleet(rate, clients, 1)
			for range 12000 {
				for i := range f.lastContact {
					f.lastContact[i] = f.now // idle clients are in contact too
				}
				f.step(min(1, 4*rate/float64(clients)/100)) // four times the limit, at 100 steps per second
			}
			seconds := 120.0
			if used := float64(len(f.usages)) / seconds; used < minUsedFraction*min(rate, 100*float64(clients)) {
				t.Errorf("%d clients: used %.2f per second of a limit of %.2f", clients, used, rate)
			}
		}
	}
}

// requestUnit requests one unit for a client that observed a limit some time ago.
func requestUnit(a *Allocator, now time.Duration, rate float64, age time.Duration) Grant {
	return a.Allocate(now, Request{Client: "b", Sequence: uint64(now), Items: []RequestItem{
		{Name: resource, Amount: 1, Advertised: &AdvertisedLimit{Rate: rate, Age: age}},
	}}).Grants[0]
}

// A higher limit applies only once no window includes the time of the lower one, whichever client observes it first.
// Of two observations, the later one wins.
func TestLowestLimitInWindowApplies(t *testing.T) {
	a := NewAllocator(1)
	second := time.Second
	expectRate := func(want float64) {
		t.Helper()
		if got := a.advertised[resource].limit.Rate; got != want {
			t.Fatalf("effective rate: got %.1f, want %.1f", got, want)
		}
	}
	requestUnit(a, 10*second, 4, 0)
	expectRate(4)
	requestUnit(a, 11*second, 2, 0)
	expectRate(2)
	requestUnit(a, 12*second, 8, 0) // higher: applies in four seconds
	requestUnit(a, 13*second, 4, 3*second)
	expectRate(2) // older than the latest observation, so without effect
	requestUnit(a, 15900*time.Millisecond, 8, 0)
	expectRate(2)
	requestUnit(a, 16*second, 8, 4*second)
	expectRate(8)
	requestUnit(a, 17*second, 3, 2*second) // older than the latest observation, but a window may include its time
	expectRate(3)
	requestUnit(a, 18*second, 8, second)
	expectRate(3)
	requestUnit(a, 21*second, 8, 0)
	expectRate(8)
	requestUnit(a, 22*second, 1, 9*second)
	expectRate(8)
}

// Configured limits don't affect advertised ones, unused buckets are removed, and grants of an allocator that does
// not enforce advertised limits are discarded.
func TestAdvertisedBucketsAreIndependent(t *testing.T) {
	a := NewAllocator(1)
	requestUnit(a, time.Second, 4, 0)
	a.SetLimits(2*time.Second, map[string]Limit{"tenant/a": {Rate: 1}})
	for _, want := range []float64{1, 1, 0} { // what accumulated since the bucket was created, and no more
		if got := requestUnit(a, 3*time.Second, 4, 0).Amount; got != want {
			t.Fatalf("SetLimits changed an advertised bucket: granted %v", got)
		}
	}
	if states := a.AdvertisedStates(3*time.Second, 5); len(states) != 1 || states[0].Limit.Rate != 4 ||
		states[0].Granted != 2 || states[0].Refused != 2 {
		t.Fatalf("state of the advertised bucket: got %+v", states)
	}
	if states := a.AdvertisedStates(3*time.Second, 0); len(states) != 0 {
		t.Fatalf("got %+v, want no states", states)
	}
	a.SweepAdvertised(3*time.Second + advertisedTTL)
	if len(a.advertised) != 1 {
		t.Fatal("bucket was removed before advertisedTTL")
	}
	if a.SweepAdvertised(4*time.Second + advertisedTTL); len(a.advertised) != 0 {
		t.Fatal("unused bucket was not removed")
	}
	c := NewClient("b", testFallbackPeriod)
	limit := AdvertisedLimit{Rate: 4}
	c.SetAdvertisedLimit(time.Second, resource, limit)
	demands := []Demand{{Name: resource, Amount: 1, Advertised: &limit}}
	request := c.NewRequest(time.Second, demands)
	reply := Reply{Term: 1, Sequence: request.Sequence, Grants: []Grant{{Name: resource, Amount: 1}}}
	if got := c.ApplyReply(time.Second, time.Second, demands, reply)[0]; got.Lease.Amount > 0 || !got.Unenforced {
		t.Fatalf("grant without enforcement was used: %+v", got)
	}
}

// Clients drop unused advertised limits, but not configured ones.
func TestClientsForgetAdvertisedLimits(t *testing.T) {
	c := NewClient("b", testFallbackPeriod)
	c.SetAdvertisedLimit(time.Second, "x", AdvertisedLimit{Rate: 1})
	c.SetLimits(map[string]Limit{"tenant/a": {Rate: 1}})
	if !c.IsLimited("x") || !c.IsLimited("tenant/a") {
		t.Fatal("SetLimits removed an advertised limit")
	}
	c.SetAdvertisedLimit(time.Second+2*advertisedTTL, "y", AdvertisedLimit{Rate: 1})
	if c.IsLimited("x") || !c.IsLimited("y") || !c.IsLimited("tenant/a") {
		t.Fatal("unused advertised limit was kept, or another limit removed")
	}
}

// BenchmarkGrantAdvertised requests units of a large fleet of back ends that all advertise limits.
func BenchmarkGrantAdvertised(b *testing.B) {
	const backEnds = 9675
	names := make([]string, backEnds)
	for i := range names {
		names[i] = fmt.Sprint("back-end/i-", i)
	}
	a, now := NewAllocator(1), time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 100 * time.Microsecond
		items := []RequestItem{{Name: names[i%backEnds], Amount: 1, Advertised: &AdvertisedLimit{Rate: 4}}}
		a.Allocate(now, Request{Client: "b", Sequence: uint64(i), Items: items})
	}
}
