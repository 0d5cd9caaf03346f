package slotqueue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// settled is a time after the takeover of a queue that was first asked at 0.
const settled = takeoverTime

// newQueue returns a queue past its takeover time, with back ends of the given slots named b0, b1 and so on, each in a
// zone z0, z1 and so on.
func newQueue(slots ...int) *Queue {
	q := New()
	q.started, q.lastAskAt = true, settled
	q.SetBackEnds(0, backEnds(slots...))
	return q
}

func backEnds(slots ...int) (all []BackEnd) {
	for i, n := range slots {
		all = append(all, BackEnd{ID: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i), Slots: n, Eligible: true})
	}
	return all
}

func request(id string) Request {
	return Request{ID: id, Bound: 300 * ms, Timeout: 2 * time.Second, Rejectable: true}
}

// grants returns the back ends granted, by request.
func grants(answers []Answer) map[string]string {
	granted := map[string]string{}
	for _, a := range answers {
		if a.BackEnd != "" {
			granted[a.ID] = a.BackEnd
		}
	}
	return granted
}

// fill occupies n slots with requests named f0, f1 and so on.
func fill(t *testing.T, q *Queue, n int) {
	t.Helper()
	for i := range n {
		if id := fmt.Sprint("f", i); len(grants(q.Ask(settled, request(id)))) != 1 {
			t.Fatalf("%s not granted although a slot is free", id)
		}
	}
}

// TestFewestRunningThenOwnZone guards against uneven load of back ends and needless traffic between zones.
func TestFewestRunningThenOwnZone(t *testing.T) {
	q := newQueue(2, 2, 2)
	want := []string{"b1", "b0", "b2", "b1", "b0", "b2"} // own zone first at each level, then the longest without a grant
	for i, b := range want {
		r := request(fmt.Sprint("r", i))
		r.Zone = "z1"
		if got := grants(q.Ask(settled, r))[r.ID]; got != b {
			t.Fatalf("request %d granted %q, want %s", i, got, b)
		}
	}
	if got := q.Ask(settled, request("r6")); len(got) != 0 {
		t.Fatalf("a seventh request got %+v although all six slots are taken", got)
	}
}

// TestExcludedAndIneligibleBackEndsAreLeftOut guards against sending a request back to where it failed, or to a back end
// that drains. An avoided back end is used only if no other is eligible.
func TestExcludedAndIneligibleBackEndsAreLeftOut(t *testing.T) {
	q := newQueue(4, 4, 4)
	current := backEnds(4, 4, 4)
	current[1].Eligible, current[2].Avoided = false, true
	q.SetBackEnds(settled, current)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		if got := grants(q.Ask(settled, request(id)))[id]; got != "b0" {
			t.Fatalf("granted %q, want b0", got)
		}
	}
	r := request("r4")
	r.Excluded = []string{"b0"}
	if got := grants(q.Ask(settled, r))["r4"]; got != "b2" {
		t.Fatalf("granted %q, want the avoided b2 as no other may be used", got)
	}
	if got := q.Ask(settled, request("r5")); len(got) != 0 {
		t.Fatalf("got %+v, want a wait for b0 while only the avoided back end is free", got)
	}
}

// TestServingOrder guards against requests that wait behind less urgent ones.
func TestServingOrder(t *testing.T) {
	q := newQueue(1)
	fill(t, q, 1)
	for _, r := range []Request{{ID: "late", Priority: 1}, {ID: "repeat", Repeat: true}, {ID: "first"}, {ID: "second"}} {
		r.Bound, r.Timeout = time.Second, time.Second
		if got := q.Ask(settled+ms, r); len(got) != 0 {
			t.Fatalf("%s: %+v although no slot is free", r.ID, got)
		}
	}
	last := "f0"
	for i, want := range []string{"first", "second", "repeat", "late"} {
		got := grants(q.End(settled+time.Duration(2+i)*ms, last, Success, 60*ms))
		if got[want] != "b0" || len(got) != 1 {
			t.Fatalf("end %d granted %v, want %s", i, got, want)
		}
		last = want
	}
}

// TestQueueTooLongRejectsAtOnce guards against requests that are held although they can't be served in time. Retry
// times are spaced, so that those who return don't come at once.
func TestQueueTooLongRejectsAtOnce(t *testing.T) {
	q := newQueue(2)
	fill(t, q, 2)
	var retries []time.Duration
	held := 0
	for i := range 20 {
		answers := q.Ask(settled+ms, request(fmt.Sprint("r", i)))
		if len(answers) == 0 {
			held++
			continue
		}
		retries = append(retries, answers[0].RetryAfter)
	}
	if held != 10 { // 300 ms at 60 ms of work and 2 slots
		t.Fatalf("%d of 20 requests held, want 10", held)
	}
	for i, retry := range retries {
		if retry < MinRetryAfter || i > 0 && retry != retries[i-1]+30*ms {
			t.Fatalf("retry times %v, want steps of 30 ms, the time in which a slot becomes free", retries)
		}
	}
	repeat := request("repeat")
	repeat.Repeat, repeat.Rejectable, repeat.Bound = true, false, time.Second
	if got := q.Ask(settled+ms, repeat); len(got) != 0 {
		t.Fatalf("a request that may not be rejected at once got %+v", got)
	}
}

// TestBoundEndsWait guards against a call that is held for longer than its gateway waits for it.
func TestBoundEndsWait(t *testing.T) {
	q := newQueue(1)
	fill(t, q, 1)
	q.Ask(settled, request("r"))
	if due, waits := q.NextAt(settled); !waits || due != settled+300*ms {
		t.Fatalf("next tick at %v, want the end of the bound", due)
	}
	if got := q.Tick(settled + 299*ms); len(got) != 0 {
		t.Fatalf("answered early: %+v", got)
	}
	if got := q.Tick(settled + 300*ms); len(got) != 1 || got[0].RetryAfter < MinRetryAfter || got[0].Waited != 300*ms {
		t.Fatalf("got %+v, want a rejection with a retry time", got)
	}
}

// TestLostEndFreesSlotAfterTimeout guards against slots that stay taken because an end was never reported.
func TestLostEndFreesSlotAfterTimeout(t *testing.T) {
	q := newQueue(1)
	fill(t, q, 1)
	r := request("r")
	r.Bound, r.Rejectable = 3*time.Second, false
	q.Ask(settled, r)
	if due, _ := q.NextAt(settled); due != settled+2*time.Second {
		t.Fatalf("next tick at %v, want the time-out of the running request", due)
	}
	if got := grants(q.Tick(settled + 2*time.Second)); got["r"] != "b0" {
		t.Fatalf("granted %v after the time-out", got)
	}
}

// TestEndOfWaitingRequestRemovesIt guards against grants to a gateway that no longer waits, also if the end overtook
// the request.
func TestEndOfWaitingRequestRemovesIt(t *testing.T) {
	q := newQueue(1)
	fill(t, q, 1)
	q.Ask(settled, request("canceled"))
	if got := q.End(settled+ms, "canceled", Other, 0); len(got) != 1 || got[0].BackEnd != "" || got[0].RetryAfter != 0 {
		t.Fatalf("got %+v, want an empty answer", got)
	}
	q.End(settled+ms, "overtaken", Other, 0)
	if got := q.Ask(settled+2*ms, request("overtaken")); len(got) != 1 || got[0].BackEnd != "" {
		t.Fatalf("got %+v, want an empty answer", got)
	}
	if got := grants(q.End(settled+3*ms, "f0", Success, 60*ms)); len(got) != 0 {
		t.Fatalf("granted %v", got)
	}
	q.End(settled+3*ms, "old", Other, 0)
	q.Tick(settled + 3*ms + earlyEndTTL)
	if len(q.earlyEnds) != 0 {
		t.Fatalf("%d early ends kept", len(q.earlyEnds))
	}
}

// TestRejectionCountsAllSlotsAsTaken guards against sending on to a back end that has just stated that it is full. The
// assumption decays over the mean work.
func TestRejectionCountsAllSlotsAsTaken(t *testing.T) {
	q := newQueue(6)
	fill(t, q, 3)
	q.End(settled, "f0", Rejected, ms)
	free := func(at time.Duration) int { return 6 - q.taken(at, q.backEnds[0]) }
	for _, c := range []struct {
		after time.Duration
		free  int
	}{{0, 0}, {30 * ms, 2}, {60 * ms, 4}} {
		if got := free(settled + c.after); got != c.free {
			t.Errorf("%d slots free %v after the rejection, want %d", got, c.after, c.free)
		}
	}
	r := request("r")
	if got := q.Ask(settled, r); len(got) != 0 {
		t.Fatalf("got %+v, want a wait", got)
	}
	due, _ := q.NextAt(settled)
	if got := grants(q.Tick(due)); due > settled+20*ms || got["r"] != "b0" {
		t.Fatalf("granted %v at %v, want r once the first assumed slot is free", got, due-settled)
	}
}

// TestRepeatedRejectionsHalveSlots guards against two schedulers that each go on granting all slots of a back end: after
// two rejections within 300 ms half of the slots count as taken for 300 ms, and a waiting request gets a slot then.
func TestRepeatedRejectionsHalveSlots(t *testing.T) {
	q := newQueue(6)
	for i := range 2 {
		id := fmt.Sprint("rejected", i)
		at := settled + time.Duration(i)*200*time.Millisecond
		if len(grants(q.Ask(at, request(id)))) != 1 {
			t.Fatalf("%s is not granted", id)
		}
		q.End(at, id, Rejected, 0)
	}
	now := settled + 200*time.Millisecond + InitialWork // the slots no longer count as taken for the rejection itself
	for i := range 3 {
		if id := fmt.Sprint("half", i); len(grants(q.Ask(now, request(id)))) != 1 {
			t.Fatalf("%s is not granted", id)
		}
	}
	if got := q.Ask(now, request("fourth")); len(grants(got)) != 0 {
		t.Fatalf("a fourth request got %+v while half of the slots count as taken", got)
	}
	end := settled + 500*time.Millisecond
	if next, waits := q.NextAt(now); !waits || next > end {
		t.Fatalf("the next tick is at %v (%v), want by %v", next, waits, end)
	}
	if got := grants(q.Tick(end)); got["fourth"] == "" {
		t.Fatalf("got %v after 300 ms, want the fourth request granted", got)
	}
}

// TestNextWait guards against gateways that are told no wait while requests wait, or one while a slot is free.
func TestNextWait(t *testing.T) {
	q := newQueue(2)
	for i, want := range []time.Duration{0, 0, InitialWork / 2, InitialWork, 3 * InitialWork / 2} {
		if got := q.NextWait(settled); got != want {
			t.Errorf("%d requests before: wait %v, want %v", i, got, want)
		}
		q.Ask(settled, request(fmt.Sprint("r", i)))
	}
	q.SetBackEnds(settled, nil)
	if got := q.NextWait(settled); got != noBackEndWait {
		t.Errorf("without a back end: wait %v, want %v", got, noBackEndWait)
	}
}

// TestNewSchedulerCountsHalfAsTaken guards against overloading back ends that still run what the previous scheduler
// granted.
func TestNewSchedulerCountsHalfAsTaken(t *testing.T) {
	q := New()
	q.SetBackEnds(time.Hour, backEnds(6, 1))
	granted := 0
	for i := range 10 {
		granted += len(grants(q.Ask(time.Hour, request(fmt.Sprint("r", i)))))
	}
	if granted != 4 { // 3 of 6, and the only slot of the other
		t.Fatalf("%d granted at once, want 4", granted)
	}
	if due, _ := q.NextAt(time.Hour); due != time.Hour+takeoverTime {
		t.Fatalf("next tick %v after the start, want %v", due-time.Hour, takeoverTime)
	}
	if got := len(grants(q.Tick(time.Hour + takeoverTime - ms))); got != 0 {
		t.Fatalf("%d granted before the takeover time has passed", got)
	}
}

// TestOlderGatewaysAreCounted guards against slots that are granted although gateways which don't ask use them.
func TestOlderGatewaysAreCounted(t *testing.T) {
	q := newQueue(2)
	q.Count(settled, "old0", "b0", time.Second)
	q.Count(settled, "old1", "b0", time.Second)
	if got := q.Ask(settled, request("r")); len(got) != 0 {
		t.Fatalf("got %+v although both slots are used", got)
	}
	if got := grants(q.End(settled+ms, "old0", Success, 50*ms)); got["r"] != "b0" {
		t.Fatalf("granted %v after the end of an older gateway's request", got)
	}
}

// TestInvalidValuesChangeNothing guards against state corrupted by absurd messages; they are counted.
func TestInvalidValuesChangeNothing(t *testing.T) {
	q := newQueue(1)
	for i, change := range []func(*Request){
		func(r *Request) { r.Priority = -1 }, func(r *Request) { r.Priority = 10 }, func(r *Request) { r.Bound = -ms }, func(r *Request) { r.Bound = 2 * time.Hour },
		func(r *Request) { r.Timeout = 0 }, func(r *Request) { r.Timeout = 2 * time.Hour }, func(r *Request) { r.ID = "" },
	} {
		r := request("r")
		change(&r)
		if got := q.Ask(settled, r); len(got) != 1 || got[0].BackEnd != "" || got[0].RetryAfter != 0 || q.stats.Invalid != i+1 {
			t.Fatalf("case %d: got %+v, %d counted", i, got, q.stats.Invalid)
		}
	}
	before := q.stats.Invalid
	for _, slots := range []int{-1, MaxSlots + 1} {
		q.SetBackEnds(settled, backEnds(slots))
	}
	if q.backEnds[0].Slots != 1 || q.stats.Invalid != before+2 {
		t.Fatalf("slots %d, %d counted", q.backEnds[0].Slots, q.stats.Invalid)
	}
	fill(t, q, 1)
	q.End(settled, "f0", Success, -ms)
	if q.work != InitialWork || q.stats.Invalid != before+3 {
		t.Fatalf("mean work %v, %d counted", q.work, q.stats.Invalid)
	}
}

// TestNoEligibleBackEndEndsWaitSoon guards against holding requests that no back end can serve until their bound.
func TestNoEligibleBackEndEndsWaitSoon(t *testing.T) {
	q := New()
	q.Ask(0, request("r"))
	if got := q.Tick(noBackEndWait); len(got) != 1 || got[0].RetryAfter == 0 {
		t.Fatalf("got %+v, want a rejection", got)
	}
}

// TestQueueProperties checks, for any order of requests, ends, lost ends, rejections and changes of back ends: no back
// end is granted more than its slots, no request waits behind a less urgent or later one that gets a slot it could
// use, each is answered once and by its bound, no usable slot stays free, and the state is bounded.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		now := time.Duration(0)
		slots := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 4).Draw(t, "slots")
		current := backEnds(slots...)
		type held struct {
			request Request
			until   time.Duration
			order   int
		}
		waits, runs, expires, answered := map[string]held{}, map[string]string{}, map[string]time.Duration{}, map[string]bool{}
		apply := func(answers []Answer) {
			for id, at := range expires {
				if now >= at {
					delete(expires, id)
					delete(runs, id)
				}
			}
			for _, a := range answers {
				asked, waited := waits[a.ID]
				if !waited || answered[a.ID] {
					t.Fatalf("answer %+v to a request that does not wait", a)
				}
				answered[a.ID] = true
				delete(waits, a.ID)
				if a.BackEnd == "" {
					continue
				}
				used, granted := 0, BackEnd{}
				for _, b := range runs {
					if b == a.BackEnd {
						used++
					}
				}
				for _, b := range current {
					if b.ID == a.BackEnd {
						granted = b
					}
				}
				if used >= granted.Slots || !granted.Eligible || contains(asked.request.Excluded, a.BackEnd) {
					t.Fatalf("%s granted a slot of %+v, of which %d are used", a.ID, granted, used)
				}
				for id, other := range waits {
					first := &waiting{Request: other.request, sequence: uint64(other.order)}
					if first.compare(&waiting{Request: asked.request, sequence: uint64(asked.order)}) < 0 && !granted.Avoided && !contains(other.request.Excluded, a.BackEnd) {
						t.Fatalf("%s granted a slot while %s waits, which comes before it", a.ID, id)
					}
				}
				runs[a.ID], expires[a.ID] = a.BackEnd, now+asked.request.Timeout
			}
		}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
			id := fmt.Sprint("r", step)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				r := Request{
					ID: id, Zone: "z1", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Repeat: rapid.Bool().Draw(t, "repeat"), Rejectable: rapid.Bool().Draw(t, "rejectable"),
					Bound: time.Duration(rapid.IntRange(0, 300).Draw(t, "bound")) * ms, Timeout: time.Duration(rapid.IntRange(50, 400).Draw(t, "timeout")) * ms,
				}
				if rapid.IntRange(0, 3).Draw(t, "excludes") == 0 {
					r.Excluded = []string{"b0"}
				}
				waits[id] = held{r, now + r.Bound, step}
				apply(q.Ask(now, r))
			case 5, 6, 7:
				ended := fmt.Sprint("r", rapid.IntRange(0, step).Draw(t, "ended"))
				if _, known := runs[ended]; !known && !answered[ended] && waits[ended].request.ID == "" {
					continue // an early end of a request that may be asked later
				}
				delete(runs, ended)
				delete(expires, ended)
				apply(q.End(now, ended, Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), time.Duration(rapid.IntRange(-5, 200).Draw(t, "took"))*ms))
			case 8:
				for i := range current {
					current[i].Eligible, current[i].Avoided = rapid.IntRange(0, 3).Draw(t, "eligible") > 0, rapid.IntRange(0, 3).Draw(t, "avoided") == 0
				}
				apply(q.SetBackEnds(now, current))
			}
			apply(q.Tick(now))
			for id, w := range waits {
				if now >= w.until {
					t.Fatalf("%s waits although its bound has passed", id)
				}
				if b := q.leastLoaded(now, &waiting{Request: w.request}); b != nil {
					t.Fatalf("%s waits although %s has a free slot", id, b.ID)
				}
			}
			total := 0
			for _, b := range current {
				total += b.Slots
			}
			if len(q.running) != len(runs) {
				t.Fatalf("%d requests counted as running, want %d: the others have ended or timed out", len(q.running), len(runs))
			}
			if len(q.waiting) != len(waits) || len(q.waiting) > maxWaiting || len(q.running) > total || len(q.earlyEnds) > maxEarlyEnds {
				t.Fatalf("state: %d waiting, want %d; %d running of %d slots; %d early ends", len(q.waiting), len(waits), len(q.running), total, len(q.earlyEnds))
			}
			if due, waiting := q.NextAt(now); waiting != (len(waits) > 0) {
				t.Fatalf("next tick %v, %v with %d waiting", due, waiting, len(waits))
			}
		}
	})
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// TestWaitingIsBounded guards against memory that grows with requests that may not be rejected at once.
func TestWaitingIsBounded(t *testing.T) {
	q := newQueue(1)
	fill(t, q, 1)
	for i := range 2 * maxWaiting {
		r := request(fmt.Sprint("r", i))
		r.Rejectable, r.Bound = false, time.Minute
		q.Ask(settled, r)
	}
	if len(q.waiting) != maxWaiting {
		t.Fatalf("%d waiting, want %d", len(q.waiting), maxWaiting)
	}
	for i := range 2 * maxEarlyEnds {
		q.End(settled, fmt.Sprint("u", i), Other, 0)
	}
	for i := range 2 * maxCounted {
		q.Count(settled, fmt.Sprint("c", i), "b0", time.Minute)
	}
	if len(q.earlyEnds) > maxEarlyEnds || q.counted > maxCounted {
		t.Fatalf("%d early ends, %d counted", len(q.earlyEnds), q.counted)
	}
}
