package reservation

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testObjective = 400 * time.Millisecond
	testTokens    = 2000
	testRate      = 100_000 // tokens per second
)

// newBusy returns a controller that has measured testRate until now.
func newBusy(now time.Duration) *Controller {
	c := &Controller{}
	readAt(c, max(0, now-2*rateWindow), now)
	return c
}

// readAt reports testRate of tokens read over a time.
func readAt(c *Controller, from, to time.Duration) {
	for at := from; at < to; at += 10 * time.Millisecond {
		c.ObserveRead(at, testRate/100)
	}
}

func newRequest(key string, wait time.Duration) Request {
	return Request{Key: key, Tenant: "t", Priority: 1, Wait: wait, Objective: testObjective, TimeLeft: 6 * time.Second, Tokens: testTokens, Random: 0.5}
}

// An exact forecast within the objective must not cause a rejection, and one far beyond must.
func TestRejectsOnlyWhatMissesItsObjective(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*Request)
		rejected bool
	}{
		{"idle", func(r *Request) { r.Wait = 0 }, false},
		{"within the objective", func(r *Request) { r.Wait = testObjective * 8 / 10 }, false},
		{"beyond the objective", func(r *Request) { r.Wait = testObjective * 12 / 10 }, true},
		{"beyond what its own prompt leaves", func(r *Request) { r.Wait, r.Reading = testObjective*8/10, testObjective/2 }, true},
		{"prompt that takes longer than the objective", func(r *Request) { r.Wait, r.Reading = 0, 2*testObjective }, false},
		{"without an objective", func(r *Request) { r.Wait, r.Objective = time.Hour, 0 }, false},
	} {
		r := newRequest("a", 0)
		c.change(&r)
		if d := newBusy(time.Minute).Decide(time.Minute, r); d.Rejected != c.rejected {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// The observed ratio corrects the forecast by priority, and a ratio that nothing renews is forgotten, since a ratio that
// rejects all requests would never be corrected.
func TestForecastIsCorrectedByPriority(t *testing.T) {
	c := newBusy(time.Minute)
	now := time.Minute
	for range 200 {
		now += 10 * time.Millisecond
		c.ObserveWait(now, 0, 800*time.Millisecond, 200*time.Millisecond)
		c.ObserveWait(now, 1, 200*time.Millisecond, 800*time.Millisecond)
		c.ObserveWait(now, 1, minObservedWait-1, time.Hour) // too short to be recorded
	}
	urgent := newRequest("a", 800*time.Millisecond)
	urgent.Priority = 0
	if d := c.Decide(now, urgent); d.Rejected {
		t.Errorf("priority that waits a quarter of the forecast: %+v", d)
	}
	if d := c.Decide(now, newRequest("b", 200*time.Millisecond)); !d.Rejected {
		t.Errorf("priority that waits four times the forecast: %+v", d)
	}
	if d := c.Decide(now+30*time.Second, newRequest("c", 200*time.Millisecond)); d.Rejected {
		t.Errorf("half a minute after the last observation: %+v", d)
	}
	for range 10_000 {
		c.ObserveWait(now, 2, time.Second, 0)
		c.ObserveWait(now, 3, time.Second, time.Hour)
	}
	if low, high := c.levels[2].ratios.at(now, 0), c.levels[3].ratios.at(now, 1); low < 1/maxRatio-1e-9 || high > maxRatio+1e-9 {
		t.Errorf("ratios %v and %v exceed their bounds", low, high)
	}
}

// A queue that stands is kept shorter than one that passes, load beyond capacity does not lengthen it without bound, and
// engines are not left idle for places that nobody takes.
func TestStandingQueueIsBounded(t *testing.T) {
	c, now, queued := newBusy(time.Minute), time.Minute, 0.0 // tokens
	longest, idle := time.Duration(0), 0
	for i := range 10_000 { // three times the capacity
		now += time.Second * testTokens / testRate / 3
		queued = max(0, queued-testRate/3*(time.Second*testTokens/testRate).Seconds())
		wait := time.Duration(queued / testRate * float64(time.Second))
		d := c.Decide(now, newRequest(fmt.Sprint(i), wait))
		if !d.Rejected {
			queued += testTokens
		}
		if queued > 0 {
			c.ObserveRead(now, testTokens/3)
		}
		if i > 2000 {
			longest = max(longest, wait)
			if queued == 0 {
				idle++
			}
		}
	}
	if idle > 800 {
		t.Fatalf("engines idle in %d of 8000 steps of an overload", idle)
	}
	if longest > testObjective*6/10 {
		t.Fatalf("wait %v in a standing queue, objective %v", longest, testObjective)
	}
}

// overload returns a controller that has just given a place to the request "a".
func overload(t *testing.T, now time.Duration) (c *Controller, placeIn time.Duration) {
	t.Helper()
	c = newBusy(now)
	d := c.Decide(now, newRequest("a", time.Second))
	if !d.Rejected || !d.HasPlace || d.Return != ReturnNone {
		t.Fatalf("request with a wait of 1s: %+v, want a place", d)
	}
	if want := time.Second - time.Duration(targetWait*float64(testObjective)); d.RetryAfter < want-slotWidth || d.RetryAfter > want+slotWidth {
		t.Fatalf("place in %v, want about %v", d.RetryAfter, want)
	}
	return c, d.RetryAfter
}

// A request that returns in its window is admitted whatever the load, once; before it is told the time left, and after it
// is judged like a new one.
func TestPlaceIsKept(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
		name     string
		after    time.Duration // since the time of the place
		wait     time.Duration
		rejected bool
		kind     Return
	}{
		{"early", -300 * time.Millisecond, time.Second, true, ReturnEarly},
		{"early, when the queue is short already", -300 * time.Millisecond, 0, false, ReturnEarly},
		{"in time", 0, 3 * time.Second, false, ReturnInTime},
		{"at the end of the window", Window - time.Millisecond, 3 * time.Second, false, ReturnInTime},
		{"no engine can start it before its deadline", 0, 5500 * time.Millisecond, true, ReturnInTime},
		{"late", Window, 3 * time.Second, true, ReturnLate},
		{"late, after its slot was dropped", Window + 10*slotWidth, 3 * time.Second, true, ReturnLate},
	} {
		controller, placeIn := overload(t, now)
		r := newRequest("a", c.wait)
		r.TimeLeft = 5 * time.Second
		d := controller.Decide(now+placeIn+c.after, r)
		if d.Rejected != c.rejected || d.Return != c.kind {
			t.Errorf("%s: %+v", c.name, d)
		}
		if c.kind == ReturnEarly && c.rejected && (d.RetryAfter != -c.after || d.Reason != ReasonEarly) {
			t.Errorf("%s: %+v, want the time left", c.name, d)
		}
		if !c.rejected {
			if again := controller.Decide(now+placeIn+c.after, newRequest("a", 3*time.Second)); !again.Rejected {
				t.Errorf("%s: admitted twice: %+v", c.name, again)
			}
		}
	}
}

// A request that arrives twice gets the same place.
func TestRepeatedRequestKeepsItsPlace(t *testing.T) {
	now := time.Minute
	c, placeIn := overload(t, now)
	if d := c.Decide(now+time.Millisecond, newRequest("a", time.Second)); !d.Rejected || d.RetryAfter != placeIn-time.Millisecond {
		t.Fatalf("%+v, want the place in %v", d, placeIn)
	}
	if counts := c.Counts(); counts.Placed != 1 || counts.Outstanding != 1 {
		t.Fatalf("%+v, want one place", counts)
	}
}

// A request with another key has no claim to a place.
func TestOtherKeyHasNoPlace(t *testing.T) {
	now := time.Minute
	c, placeIn := overload(t, now)
	if d := c.Decide(now+placeIn, newRequest("b", time.Second)); !d.Rejected || d.Return != ReturnNone {
		t.Fatalf("%+v, want a rejection like that of a new request", d)
	}
}

// A place that nobody takes ends, and no longer counts as load.
func TestUntakenPlaceLapses(t *testing.T) {
	now := time.Minute
	c, placeIn := overload(t, now)
	c.Sweep(now + placeIn + Window + 2*slotWidth)
	counts := c.Counts()
	if counts.Lapsed != 1 || counts.Outstanding != 0 {
		t.Fatalf("%+v, want the place lapsed", counts)
	}
	if due := c.calendar.due(c.now, c.now+MaxLead, Levels-1, testRate); due != 0 {
		t.Fatalf("%v tokens due after the place lapsed", due)
	}
	c.Sweep(now + placeIn + recordTTL)
	if len(c.records) != 0 || len(c.levels[1].shares.tenants) != 0 {
		t.Fatalf("%d records, %d tenants left", len(c.records), len(c.levels[1].shares.tenants))
	}
}

// Callers don't wait for longer than a third of their time left, so a place beyond that must not be given.
func TestNoPlaceBeyondWhatCallersWaitFor(t *testing.T) {
	c := newBusy(time.Minute)
	r := newRequest("a", 2*time.Second)
	r.TimeLeft = 3 * time.Second
	d := c.Decide(time.Minute, r)
	if !d.Rejected || d.HasPlace || d.RetryAfter < time.Second {
		t.Fatalf("%+v, want a rejection without a place", d)
	}
	if d = c.Decide(time.Minute+d.RetryAfter, r); d.Return != ReturnUnknown {
		t.Fatalf("return without a place: %+v", d)
	}
}

// fill gives places to new requests until there is none within their time.
func fill(c *Controller, now time.Duration, priority int) (given int) {
	for i, without := 0, 0; without < 20; i++ {
		r := newRequest(fmt.Sprint("fill", priority, i, now), testObjective*3/2)
		r.Priority, r.Tenant = priority, fmt.Sprint("t", i%10)
		if d := c.Decide(now, r); d.HasPlace {
			given++
			without = 0
		} else {
			without++
		}
	}
	return given
}

// Places count as load for requests of the same and of lower priority, not for more urgent ones.
func TestPlacesCountAsLoad(t *testing.T) {
	now := time.Minute
	c := newBusy(now)
	fill(c, now, 4)
	readAt(c, now, now+600*time.Millisecond)
	now += 600 * time.Millisecond
	for priority, rejected := range map[int]bool{3: false, 4: true, 5: true} {
		r := newRequest(fmt.Sprint("new", priority), testObjective*6/10)
		r.Priority, r.Tenant = priority, "new"
		if d := c.Decide(now, r); d.Rejected != rejected || rejected && d.Reason != ReasonPlaces {
			t.Errorf("priority %d: %+v", priority, d)
		}
	}
}

// An idle engine is not kept free for requests that return later, however many places are given.
func TestIdleEngineIsUsed(t *testing.T) {
	now := time.Minute
	c := newBusy(now)
	fill(c, now, 4)
	readAt(c, now, now+600*time.Millisecond)
	now += 600 * time.Millisecond
	c.levels[4].load, c.levels[4].loadAt = 1, now // the queue was standing until now
	r := newRequest("new", 0)
	r.Priority, r.Tenant = 4, "new"
	if ahead := c.placesAhead(now, r, nil); ahead < standingMargin*float64(testObjective) {
		t.Fatalf("places ahead add %v to the wait, too little for this test", time.Duration(ahead))
	}
	if d := c.Decide(now, r); d.Rejected {
		t.Fatalf("no queue: %+v", d)
	}
}

// The least urgent requests get places beside those of more urgent ones, and one is not rejected for the places of
// others more than twice in a row.
func TestLeastUrgentIsNotStarved(t *testing.T) {
	now := time.Minute
	c := newBusy(now)
	fill(c, now, 0)
	if given := fill(c, now, 9); given == 0 {
		t.Fatal("no places left beside those of the most urgent requests")
	}
	c = newBusy(now)
	fill(c, now, 0)
	rejections := 0
	for ; rejections < 10; rejections++ {
		readAt(c, now, now+500*time.Millisecond)
		now += 500 * time.Millisecond
		fill(c, now, 0)
		r := newRequest("least", testObjective/2)
		r.Priority, r.TimeLeft, r.Tenant = 9, 50*time.Millisecond, "new" // too little time for a place
		d := c.Decide(now, r)
		if !d.Rejected {
			break
		}
		if d.Reason != ReasonPlaces {
			t.Fatalf("rejected for another reason: %+v", d)
		}
	}
	if rejections == 0 || rejections > maxPlaceRejections {
		t.Fatalf("rejected %d times in a row for places of others", rejections)
	}
}

// While requests are rejected, a tenant above its fair share is rejected first, and its places don't take those of others.
func TestTenantAboveItsShareIsRejectedFirst(t *testing.T) {
	c, now := newBusy(time.Minute), time.Minute
	rejected, offered := map[string]int{}, map[string]int{}
	queued := 0.0
	for i := range 6000 { // a load of twice the capacity, of which one tenant sends 6 of 10 parts
		step := time.Second * testTokens / testRate / 2
		now += step
		queued = max(0, queued-testRate*step.Seconds())
		c.ObserveRead(now, testTokens/2)
		r := newRequest(fmt.Sprint(i), time.Duration(queued/testRate*float64(time.Second)))
		r.TimeLeft = 0
		if i%10 < 6 {
			r.Tenant = "hot"
		} else {
			r.Tenant = fmt.Sprint("usual", i%10)
		}
		offered[r.Tenant]++
		if d := c.Decide(now, r); d.Rejected {
			rejected[r.Tenant]++
		} else {
			queued += testTokens
		}
	}
	for tenant, count := range offered {
		part := float64(rejected[tenant]) / float64(count)
		if tenant == "hot" && part < 0.6 || tenant != "hot" && part > 0.1 {
			t.Errorf("%s: %d of %d rejected; all %+v", tenant, rejected[tenant], count, c.Counts())
		}
	}
}

// Builds that name no tenant send the requests of many: these are not rejected for a share.
func TestUnnamedTenantHasNoShare(t *testing.T) {
	c, now, queued := newBusy(time.Minute), time.Minute, 0.0
	for i := range 3000 { // a load of twice the capacity, of which 8 of 10 parts name no tenant
		step := time.Second * testTokens / testRate / 2
		now += step
		queued = max(0, queued-testRate*step.Seconds())
		c.ObserveRead(now, testTokens/2)
		r := newRequest(fmt.Sprint(i), time.Duration(queued/testRate*float64(time.Second)))
		if r.Tenant = ""; i%10 >= 8 {
			r.Tenant = fmt.Sprint(i % 10)
		}
		d := c.Decide(now, r)
		if !d.Rejected {
			queued += testTokens
		}
		if d.Reason == ReasonShare && r.Tenant == "" {
			t.Fatalf("request %d: %+v", i, d)
		}
	}
	if c.Counts().Rejected == 0 {
		t.Fatal("nothing was rejected")
	}
}

// The fair share is the max-min one: what some don't ask for goes to the others.
func TestFairShareIsMaxMin(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
		demands []float64
		served  float64
		fair    float64
	}{
		{[]float64{100, 100, 100, 100}, 200, 50},
		{[]float64{10, 30, 200, 300}, 240, 100},
		{[]float64{10, 20, 30}, 60, 30},
		{nil, 0, 0},
	} {
		s := shares{}
		for i, demand := range c.demands {
			s.tenant(now, fmt.Sprint(i)).offered.add(now, shareWindow, demand)
		}
		s.admitted.add(now, shareWindow, c.served)
		if fair := s.fairShare(now, 1); math.Abs(fair-c.fair) > 1e-6 {
			t.Errorf("demands %v, %v served: fair share %v, want %v", c.demands, c.served, fair, c.fair)
		}
	}
}

// Absurd values are clamped or dropped, and counted.
func TestAbsurdValuesAreCounted(t *testing.T) {
	c := newBusy(time.Minute)
	for i, change := range []func(*Request){
		func(r *Request) { r.Wait = -time.Second },
		func(r *Request) { r.Wait = math.MaxInt64 },
		func(r *Request) { r.Reading = -1 },
		func(r *Request) { r.Objective = -1 },
		func(r *Request) { r.TimeLeft = -1 },
		func(r *Request) { r.Priority = -1 },
		func(r *Request) { r.Priority = Levels },
		func(r *Request) { r.Tokens = -1 },
		func(r *Request) { r.Tokens = math.MaxInt },
		func(r *Request) { r.Random = math.NaN() },
		func(r *Request) { r.Random = 2 },
		func(r *Request) { r.Key = string(make([]byte, maxKeyLength+1)) },
		func(r *Request) { r.Tenant = string(make([]byte, maxKeyLength+1)) },
	} {
		r, before := newRequest(fmt.Sprint(i), 0), c.Counts().Invalid
		change(&r)
		c.Decide(time.Minute, r)
		if after := c.Counts().Invalid; after != before+1 {
			t.Errorf("request %d: %d invalid values counted", i, after-before)
		}
	}
	for i, do := range []func(){
		func() { c.ObserveWait(time.Minute, 1, -1, time.Second) },
		func() { c.ObserveWait(time.Minute, 1, time.Second, -1) },
		func() { c.ObserveWait(time.Minute, Levels, time.Second, time.Second) },
		func() { c.ObserveWait(time.Minute, -1, time.Second, time.Second) },
		func() { c.ObserveRead(time.Minute, -1) },
		func() { c.ObserveRead(time.Minute, maxTokens+1) },
		func() { c.ObserveRead(time.Second, 1) }, // in the past
	} {
		before := c.Counts().Invalid
		do()
		if after := c.Counts().Invalid; after != before+1 {
			t.Errorf("observation %d: %d invalid values counted", i, after-before)
		}
	}
}

// Requests that cannot be recognized and those beyond the bound are rejected without a place.
func TestRecordsAreBounded(t *testing.T) {
	c := newBusy(time.Minute)
	if d := c.Decide(time.Minute, newRequest("", time.Second)); !d.Rejected || d.HasPlace || len(c.records) > 0 {
		t.Fatalf("request without a key: %+v", d)
	}
	for i := range maxRecords + 100 {
		r := newRequest(fmt.Sprint(i), time.Second)
		r.Tenant = r.Key
		c.Decide(time.Minute, r)
	}
	if len(c.records) > maxRecords || len(c.levels[1].shares.tenants) > maxTenants+1 || c.Counts().RecordsFull == 0 {
		t.Fatalf("%d records, %d tenants, %d beyond the bound", len(c.records), len(c.levels[1].shares.tenants), c.Counts().RecordsFull)
	}
}

// checkState checks that what is summed up equals what is recorded.
func checkState(t *rapid.T, c *Controller) {
	outstanding, reserved := 0, map[*tenantUse]float64{}
	booked := map[int64]float64{}
	for _, r := range c.records {
		if !r.hasPlace() {
			continue
		}
		outstanding++
		reserved[r.use] += r.tokens
		for _, part := range r.spans {
			if part.slot >= c.calendar.first {
				booked[part.slot] += part.tokens
			}
		}
	}
	if outstanding != c.counts.Outstanding {
		t.Fatalf("%d places outstanding, %d counted", outstanding, c.counts.Outstanding)
	}
	if got := c.counts.Placed - c.counts.Taken - c.counts.Lapsed; got < uint64(outstanding) {
		t.Fatalf("%+v with %d places outstanding", c.counts, outstanding)
	}
	for i := range c.levels {
		for name, use := range c.levels[i].shares.tenants {
			if math.Abs(use.reserved-reserved[use]) > 1 {
				t.Fatalf("tenant %s has %v tokens reserved, want %v", name, use.reserved, reserved[use])
			}
		}
	}
	for number := c.calendar.first; number < c.calendar.first+slotCount; number++ {
		tokens := c.calendar.slot(number).tokens
		if math.Abs(tokens[Levels-1]-booked[number]) > 1 {
			t.Fatalf("slot %d: %v, want %v in all", number, tokens, booked[number])
		}
		for i := 1; i < Levels; i++ {
			if tokens[i] < tokens[i-1]-1e-6 { // sums of floats in another order
				t.Fatalf("slot %d: %v, want them in ascending order", number, tokens)
			}
		}
	}
}

// TestStateIsConsistent checks with any sequence of calls that the state stays bounded and consistent, that a place is
// kept, and that a rejected request is told a usable time.
func TestStateIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := newBusy(3*time.Second), 3*time.Second
		places := map[string]time.Duration{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "gap")) * time.Millisecond
				c.Sweep(now)
			case 1:
				priority, wait := rapid.IntRange(-1, Levels).Draw(t, "of"), time.Duration(rapid.IntRange(-10, 3000).Draw(t, "forecast"))*time.Millisecond
				c.ObserveWait(now, priority, wait, time.Duration(rapid.IntRange(-10, 3000).Draw(t, "actual"))*time.Millisecond)
				c.ObserveStay(now, priority, wait, 2*wait)
			case 2:
				c.ObserveRead(now, rapid.IntRange(-1, 100_000).Draw(t, "read"))
			default:
				r := newRequest(fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "key")), time.Duration(rapid.IntRange(-10, 3000).Draw(t, "wait"))*time.Millisecond)
				r.Tenant, r.Priority = fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "tenant")), rapid.IntRange(-1, Levels).Draw(t, "priority")
				r.Tokens, r.Random = rapid.IntRange(-1, 60_000).Draw(t, "tokens"), rapid.Float64Range(0, 1).Draw(t, "random")
				r.TimeLeft = 30 * time.Second
				d := c.Decide(now, r)
				at, hasPlace := places[r.Key]
				if hasPlace && now >= at && now < at+Window && d.Rejected {
					t.Fatalf("returned at %v for its place at %v: %+v", now, at, d)
				}
				delete(places, r.Key)
				if d.Rejected && (d.RetryAfter <= 0 || d.RetryAfter > maxRetryAfter+MaxLead) {
					t.Fatalf("time to return %v", d.RetryAfter)
				}
				if d.HasPlace {
					places[r.Key] = now + d.RetryAfter
				}
			}
			checkState(t, c)
		}
	})
}

// TestPlacesKeepToTheRate checks that the places outstanding in any time add up to no more than the rate allows. Places
// beyond it would be promised twice.
func TestPlacesKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := newBusy(3*time.Second), 3*time.Second
		priority := rapid.IntRange(0, Levels-1).Draw(t, "priority")
		largest := 0.0
		for i := range rapid.IntRange(1, 300).Draw(t, "requests") {
			if pause := time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * 10 * time.Millisecond; pause > 0 {
				readAt(c, now, now+pause)
				now += pause
			}
			r := newRequest(fmt.Sprint(i), time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait"))*time.Millisecond)
			r.Priority, r.Tenant, r.Tokens = priority, fmt.Sprint("t", i%7), rapid.IntRange(1, 20_000).Draw(t, "tokens")
			r.TimeLeft = 20 * time.Second
			c.Decide(now, r)
			largest = max(largest, float64(r.Tokens))
		}
		type place struct {
			at     time.Duration
			tokens float64
		}
		var places []place
		for _, r := range c.records {
			if r.hasPlace() {
				places = append(places, place{r.at, r.tokens})
			}
		}
		slices.SortFunc(places, func(a, b place) int { return int(a.at - b.at) })
		for from := range places {
			sum := 0.0
			for _, p := range places[from:] {
				sum += p.tokens
				if allowed := testRate*(p.at-places[from].at+slotWidth).Seconds() + 2*largest; sum > allowed {
					t.Fatalf("%v tokens from %v to %v, want at most %v", sum, places[from].at, p.at, allowed)
				}
			}
		}
	})
}

// BenchmarkDecide decides on requests of 82 tenants, admitted ones and ones that are mostly rejected.
func BenchmarkDecide(b *testing.B) {
	for _, wait := range []time.Duration{0, testObjective * 3 / 2} {
		b.Run(fmt.Sprint("wait=", wait), func(b *testing.B) {
			now := time.Minute
			c := newBusy(now)
			keys := make([]string, 4096)
			for i := range keys {
				keys[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += time.Millisecond
				r := newRequest(keys[i%len(keys)], wait)
				r.Tenant = keys[i%82]
				c.Decide(now, r)
				if i%2 == 0 {
					c.ObserveRead(now, testTokens)
				}
				i++
			}
		})
	}
}
