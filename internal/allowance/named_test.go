package allowance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/lab/window"
)

const (
	// settlingTime is how long after a lower limit was heard something of before may still come.
	settlingTime = 500 * time.Millisecond
	// minUsedFraction is the share of a limit that is to be used where more is asked and nothing is wrong.
	minUsedFraction = 0.8
)

// advertisement is what a borrower heard of a resource's limit.
type advertisement struct {
	rate float64
	at   time.Duration
}

func (a advertisement) limit(now time.Duration) AdvertisedLimit {
	return AdvertisedLimit{Rate: a.rate, Age: now - a.at}
}

// newAdvertisedFleet is a fleet that shares a resource which names its limit.
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

// advertise lets all borrowers hear a limit.
func (f *fleet) advertise(rate float64) {
	for i := range f.advertised {
		f.advertised[i] = advertisement{rate, f.now}
	}
}

// fullestWindow returns the most that was used in any window that begins after a time.
func (f *fleet) fullestWindow(after time.Duration) int {
	var used []time.Duration
	for _, u := range f.usages {
		if u.at >= after {
			used = append(used, u.at)
		}
	}
	return window.Fullest(used, after)
}

// TestAdvertisedLimitsHold: whatever is lost, late, repeated, paused, cut off or led anew, all borrowers together use no more in any window than the
// limit allows that the resource names, however much is wanted; a lower limit binds from a moment after it was heard.
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
			t.Fatalf("%.0f used in a window, %.0f allowed at %.2f a second", used, allowed, rate)
		}
	})
}

// TestAdvertisedLimitsAreUsed: where more is asked and nothing is wrong, four fifths of a limit are used, by one borrower or by many.
func TestAdvertisedLimitsAreUsed(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 3.8, 12, 60} {
		for _, clients := range []int{1, 7, 100} {
			f := newAdvertisedFleet(rate, clients, 1)
			for range 12000 {
				for i := range f.lastContact {
					f.lastContact[i] = f.now // all are in touch, also those that ask for nothing
				}
				f.step(min(1, 4*rate/float64(clients)/100)) // four times the limit, a hundred steps a second
			}
			seconds := 120.0
			if used := float64(len(f.usages)) / seconds; used < minUsedFraction*min(rate, 100*float64(clients)) {
				t.Errorf("%d borrowers: %.2f a second used of %.2f", clients, used, rate)
			}
		}
	}
}

// requestUnit lets a lender answer one question for a unit, by a borrower that heard a limit some time ago.
func requestUnit(a *Allocator, now time.Duration, rate float64, age time.Duration) Grant {
	return a.Allocate(now, Request{Client: "b", Sequence: uint64(now), Items: []RequestItem{{Name: resource, Amount: 1, Advertised: &AdvertisedLimit{Rate: rate, Age: age}}}}).Grants[0]
}

// TestLowestLimitInWindowApplies: a higher one counts once no window holds anything of the lower one's time, whoever hears of it first; of two
// words the later counts.
func TestLowestLimitInWindowApplies(t *testing.T) {
	a := NewAllocator(1)
	second := time.Second
	expectRate := func(want float64) {
		t.Helper()
		if got := a.advertised[resource].limit.Rate; got != want {
			t.Fatalf("%.1f in force, wanted %.1f", got, want)
		}
	}
	requestUnit(a, 10*second, 4, 0)
	expectRate(4)
	requestUnit(a, 11*second, 2, 0)
	expectRate(2)
	requestUnit(a, 12*second, 8, 0) // higher, from now on in four seconds
	requestUnit(a, 13*second, 4, 3*second)
	expectRate(2) // what was heard before the newest word changes nothing
	requestUnit(a, 15900*time.Millisecond, 8, 0)
	expectRate(2)
	requestUnit(a, 16*second, 8, 4*second)
	expectRate(8)
	requestUnit(a, 17*second, 3, 2*second) // heard before the newest word, in a window that may still hold something of that time
	expectRate(3)
	requestUnit(a, 18*second, 8, second)
	expectRate(3)
	requestUnit(a, 21*second, 8, 0)
	expectRate(8)
	requestUnit(a, 22*second, 1, 9*second)
	expectRate(8)
}

// TestAdvertisedBucketsAreIndependent: the limits of a document replace each other and leave them as they are; nobody's are forgotten; a lender that
// doesn't know of them lends nothing that counts.
func TestAdvertisedBucketsAreIndependent(t *testing.T) {
	a := NewAllocator(1)
	requestUnit(a, time.Second, 4, 0)
	a.SetLimits(2*time.Second, map[string]Limit{"tenant/a": {Rate: 1}})
	for _, want := range []float64{1, 1, 0} { // what came in since it began, and no more
		if got := requestUnit(a, 3*time.Second, 4, 0).Amount; got != want {
			t.Fatalf("the account is not as it was: %v lent", got)
		}
	}
	if states := a.AdvertisedStates(3*time.Second, 5); len(states) != 1 || states[0].Limit.Rate != 4 || states[0].Granted != 2 || states[0].Refused != 2 {
		t.Fatalf("%+v", states)
	}
	if states := a.AdvertisedStates(3*time.Second, 0); len(states) != 0 {
		t.Fatalf("%+v", states)
	}
	a.SweepAdvertised(3*time.Second + advertisedTTL)
	if len(a.advertised) != 1 {
		t.Fatal("forgotten too soon")
	}
	if a.SweepAdvertised(4*time.Second + advertisedTTL); len(a.advertised) != 0 {
		t.Fatal("not forgotten")
	}
	c := NewClient("b", testFallbackPeriod)
	limit := AdvertisedLimit{Rate: 4}
	c.SetAdvertisedLimit(time.Second, resource, limit)
	demands := []Demand{{Name: resource, Amount: 1, Advertised: &limit}}
	request := c.NewRequest(time.Second, demands)
	reply := Reply{Term: 1, Sequence: request.Sequence, Grants: []Grant{{Name: resource, Amount: 1}}}
	if got := c.ApplyReply(time.Second, time.Second, demands, reply)[0]; got.Lease.Amount > 0 || !got.Unenforced {
		t.Fatalf("of a lender that counts nothing: %+v", got)
	}
}

// TestClientsForgetAdvertisedLimits: those that nobody asks for, not those of a document.
func TestClientsForgetAdvertisedLimits(t *testing.T) {
	c := NewClient("b", testFallbackPeriod)
	c.SetAdvertisedLimit(time.Second, "x", AdvertisedLimit{Rate: 1})
	c.SetLimits(map[string]Limit{"tenant/a": {Rate: 1}})
	if !c.IsLimited("x") || !c.IsLimited("tenant/a") {
		t.Fatal("a document replaced what a resource named")
	}
	c.SetAdvertisedLimit(time.Second+2*advertisedTTL, "y", AdvertisedLimit{Rate: 1})
	if c.IsLimited("x") || !c.IsLimited("y") || !c.IsLimited("tenant/a") {
		t.Fatal("not forgotten, or too much")
	}
}

// BenchmarkGrantAdvertised asks for parts of the limits of a fleet all of whose back ends are in need.
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
