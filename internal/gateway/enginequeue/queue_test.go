package enginequeue

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// newKnown returns a queue of a service whose rates are known: 100 tokens per ms, an overhead of 30 ms, steps of 4 ms,
// chunks of 2,000 tokens, events of 8 tokens, reports without delay.
func newKnown() *Queue {
	r := NewRates()
	r.tokenTime, r.overhead, r.step, r.chunkTokens = 0.01, 30, 4, 2000
	r.SetEventTokens(8) // derives the other fields as well
	r.delays = [2]float64{}
	r.reportedAt[""], r.reportedAt["other"] = time.Second, time.Second
	return New(r)
}

// ownID returns the ID of a request placed here, peerID that of one placed by another scheduler.
func ownID(n int) ID  { return ID{Number: uint64(n) + 1} }
func peerID(n int) ID { return ID{Scheduler: "other", Number: uint64(n) + 1} }

// reportElsewhere lets the scheduler of a request report a first event of another engine of the service.
func reportElsewhere(q *Queue, now time.Duration, id ID) {
	id.Number = 9999
	another := New(q.rates)
	another.Sent(now, Request{ID: id})
	another.FirstEvent(now, now, id)
}

func near(got, want, tolerance time.Duration) bool { return (got - want).Abs() <= tolerance }

// Guards against counting less urgent requests as ahead of an urgent one.
func TestForecastIgnoresLessUrgentRequests(t *testing.T) {
	q, now := newKnown(), time.Second
	for i := range 4 {
		q.Sent(now, Request{ID: ownID(i), Priority: 1, Tokens: 10_000})
	}
	if f := q.Forecast(now, 0, 600); f.Wait > 20*ms || f.Idle {
		t.Errorf("urgent request: %+v, want at most the rest of a chunk", f)
	}
	if f := q.Forecast(now, 1, 600); !near(f.Wait, 416*ms, ms) {
		t.Errorf("equally urgent request: wait %v, want 416ms", f.Wait)
	}
	if f := q.Forecast(now, 2, 600); !near(f.Wait, 416*ms, ms) {
		t.Errorf("less urgent request: wait %v, want 416ms", f.Wait)
	}
}

// Guards against keeping requests in the list that must have been prefilled before the one whose first event came, and
// against removing others.
func TestFirstEventRemovesWhatWasAhead(t *testing.T) {
	q, now := newKnown(), time.Second
	for i, r := range []Request{{ID: ownID(0), Priority: 1}, {ID: ownID(1), Priority: 0}, {ID: ownID(2), Priority: 1}, {ID: ownID(3), Priority: 1}, {ID: ownID(4), Priority: 2}} {
		r.Tokens = 1000
		q.Sent(now+time.Duration(i)*ms, r)
	}
	q.FirstEvent(now+90*ms, now+90*ms, ownID(2))
	for id, outstanding := range map[ID]bool{ownID(0): false, ownID(1): false, ownID(2): false, ownID(3): true, ownID(4): true} {
		if _, _, found := q.find(id); found != outstanding {
			t.Errorf("%v outstanding: %v, want %v", id, found, outstanding)
		}
	}
}

// Guards against requests of one moment removing each other.
func TestFirstEventKeepsRequestsOfSameTime(t *testing.T) {
	q, now := newKnown(), time.Second
	for _, id := range []ID{ownID(0), ownID(1), ownID(2)} {
		q.Sent(now, Request{ID: id, Tokens: 1000})
	}
	q.FirstEvent(now+50*ms, now+50*ms, ownID(0))
	if q.Outstanding() != 2 {
		t.Fatalf("%d requests outstanding, want 2", q.Outstanding())
	}
}

// Guards against an engine whose first events are overdue being taken for idle, as the time for them has passed.
func TestOverdueEngineIsSlowAtOnce(t *testing.T) {
	q, now := newKnown(), time.Second
	q.Sent(now, Request{ID: ownID(0), Tokens: 3000})
	q.Sent(now, Request{ID: ownID(1), Tokens: 3000})
	onTime := q.Forecast(now+40*ms, 0, 600)
	reportElsewhere(q, now+150*ms, ID{})
	overdue := q.Forecast(now+160*ms, 0, 600)
	if onTime.Slowness != 1 {
		t.Errorf("slowness before the first event is due: %v", onTime.Slowness)
	}
	if overdue.Slowness < 1.6 || overdue.Slowness > 2 || overdue.Wait < 90*ms {
		t.Errorf("first event overdue: %+v, want a slowness of 1.75, and the second request and a chunk of the first ahead", overdue)
	}
	if f := q.Forecast(now+900*ms, 0, 600); f.Slowness != maxSlowness {
		t.Errorf("slowness %v, want the maximum", f.Slowness)
	}
	q.FirstEvent(now+910*ms, now+910*ms, ownID(1))
	if f := q.Forecast(now+910*ms, 0, 600); !f.Idle || f.Slowness < 1.5 {
		t.Errorf("after the first event: %+v, want an idle engine that still counts as slow", f)
	}
	if f := q.Forecast(now+4*time.Second, 0, 600); f.Slowness > 1.3 {
		t.Errorf("slowness %v three seconds later", f.Slowness)
	}
}

// Guards against taking engines for slow while no reports arrive: the list has to run down with time.
func TestQueueRunsDownWithoutReports(t *testing.T) {
	for what, q := range map[string]*Queue{"never heard": New(NewRates()), "no longer heard": newKnown()} {
		now := 10 * time.Second
		for i := range 5 {
			q.Sent(now, Request{ID: ownID(i), Tokens: 4000})
		}
		before, later := q.Forecast(now, 0, 0), q.Forecast(now+100*ms, 0, 0)
		if later.Wait >= before.Wait || later.Slowness > 1 {
			t.Errorf("%s: wait %v, then %v", what, before.Wait, later.Wait)
		}
		if f := q.Forecast(now+time.Second, 0, 0); !f.Idle {
			t.Errorf("%s: %+v after a second, want an idle engine", what, f)
		}
	}
	q := newKnown()
	q.Sent(time.Second, Request{ID: ID{Scheduler: "other"}, Priority: 1, Tokens: 4000})
	if f := q.Forecast(1200*ms, 1, 0); !f.Idle || f.Slowness > 1 {
		t.Errorf("request of a peer that reports no first events: %+v, want an idle engine", f)
	}
}

// Guards against all engines of a scheduler that ended or is cut off counting as slow because others still report, and
// against engines counting as slow only while the reports of their own scheduler come without a gap.
func TestEndedSchedulerMakesNoEngineSlow(t *testing.T) {
	for what, c := range map[string]struct {
		reports bool // the scheduler goes on reporting
		slow    bool
	}{"ended": {false, false}, "alive": {true, true}} {
		q, now := newKnown(), time.Second
		q.Sent(now, Request{ID: peerID(0), Tokens: 3000})
		slowest := 0.0
		for at := now; at < now+900*ms; at += 10 * ms {
			reportElsewhere(q, at, ID{Scheduler: "third"})
			reportElsewhere(q, at, ID{})
			if c.reports && at%(90*ms) == 0 {
				reportElsewhere(q, at, peerID(0))
			}
			slowest = max(slowest, q.Forecast(at, 0, 600).Slowness)
		}
		if slow := slowest > 1; slow != c.slow {
			t.Errorf("%s: slowness up to %v", what, slowest)
		}
		if f := q.Forecast(now+900*ms, 0, 600); f.Idle == c.slow {
			t.Errorf("%s: %+v after 900 ms", what, f)
		}
	}
}

// The schedulers whose reports are known are bounded and forgotten, and what exceeds the bound is counted.
func TestReportersAreBounded(t *testing.T) {
	q, now := newKnown(), time.Second
	for i := range maxReporters + 5 {
		reportElsewhere(q, now, ID{Scheduler: fmt.Sprint(i)})
	}
	if n := len(q.rates.reportedAt); n != maxReporters || q.rates.Dropped() == 0 {
		t.Errorf("%d schedulers known, %d dropped", n, q.rates.Dropped())
	}
	if q.rates.Sweep(now + reportTimeout); len(q.rates.reportedAt) > 0 {
		t.Errorf("%d schedulers known after the sweep", len(q.rates.reportedAt))
	}
}

// Guards against a lost report counting for longer than the lifetime of a request.
func TestOutstandingRequestsExpire(t *testing.T) {
	q, now := newKnown(), time.Second
	q.Sent(now, Request{ID: ownID(0), Priority: 3, Tokens: 1000})
	q.rates.reportedAt[""] = now + minLifetime
	if q.Forecast(now+minLifetime-ms, 0, 0).Idle {
		t.Error("expired early")
	}
	if !q.Forecast(now+minLifetime, 0, 0).Idle {
		t.Error("did not expire")
	}
	q.Sent(now, Request{ID: ownID(1), Priority: 3, Tokens: 1000})
	q.Sweep(now + minLifetime)
	if q.Outstanding() > 0 {
		t.Error("sweep did not remove an expired request")
	}
}

// Guards against messages that arrive twice, late, or for unknown requests.
func TestUnknownMessagesChangeNothing(t *testing.T) {
	q, now := newKnown(), time.Second
	q.Sent(now, Request{ID: ownID(0), Priority: 1, Tokens: 3000})
	q.Sent(now, Request{ID: ownID(0), Priority: 1, Tokens: 3000})
	q.Sent(now, Request{ID: peerID(0), Priority: 1, Tokens: 3000})
	q.Sent(now+30*ms, Request{ID: ownID(1), Priority: 1, Tokens: 3000})
	q.FirstEvent(now+40*ms, now+40*ms, peerID(0))
	before := q.Forecast(now+40*ms, 1, 0)
	rates := *q.rates
	rates.reportedAt = maps.Clone(rates.reportedAt)
	q.FirstEvent(now+40*ms, now+40*ms, peerID(0))
	q.FirstEvent(now+40*ms, now+40*ms, ownID(0))
	q.FirstEvent(now+40*ms, now+40*ms, peerID(9))
	q.FirstEvent(now+40*ms, now+40*ms, ID{})
	q.Removed(now+40*ms, ownID(0))
	q.Removed(now+40*ms, peerID(0))
	q.Removed(now+40*ms, ID{Scheduler: "other"})
	if after := q.Forecast(now+40*ms, 1, 0); after != before || !reflect.DeepEqual(*q.rates, rates) || q.Outstanding() != 1 {
		t.Fatalf("forecast %+v, want %+v; %d outstanding", after, before, q.Outstanding())
	}
}

// Guards against absurd numbers in messages: they are dropped or clamped, and counted. A first event at an absurd time
// completes nothing.
func TestAbsurdNumbersAreCounted(t *testing.T) {
	q, now := newKnown(), time.Second
	q.Sent(now, Request{ID: ownID(0), Priority: -7, Tokens: math.MaxInt})
	q.Sent(now, Request{ID: ownID(1), Priority: 1 << 30, Tokens: -5})
	if q.Outstanding() != 2 || q.rates.Dropped() != 4 {
		t.Errorf("%d outstanding, %d dropped; want 2 and 4", q.Outstanding(), q.rates.Dropped())
	}
	if f := q.Forecast(now, math.MinInt, math.MaxInt); f.Wait <= 0 || f.FirstEvent <= f.Wait {
		t.Errorf("forecast %+v", f)
	}
	q.FirstEvent(now, now+time.Hour, ownID(0))
	q.FirstEvent(now, -now, ownID(1))
	q.rates.ObservePause(time.Hour, time.Second, 1, 1)
	q.rates.ObservePause(time.Second, time.Hour, math.NaN(), 1)
	if q.Outstanding() != 2 || q.rates.Dropped() != 8 {
		t.Errorf("%d outstanding, %d dropped; want 2 and 8", q.Outstanding(), q.rates.Dropped())
	}
	q.FirstEvent(now+5*ms, now-2*ms, ownID(1))
	q.FirstEvent(now+5*ms, now+7*ms, ownID(1))
	if q.Outstanding() != 2 || q.rates.Dropped() != 10 {
		t.Errorf("2 ms before the sending or after the present: %d outstanding, %d dropped; want 2 and 10", q.Outstanding(), q.rates.Dropped())
	}
	q.FirstEvent(now+5*ms, now+6*ms, ownID(1))
	q.FirstEvent(now+5*ms, now-ms, ownID(0))
	if q.Outstanding() != 0 || q.rates.Dropped() != 10 {
		t.Errorf("within 1 ms: %d outstanding, %d dropped; want 0 and 10", q.Outstanding(), q.rates.Dropped())
	}
	late := ID{Scheduler: "s", Number: 9}
	q.Sent(now, Request{ID: late, Tokens: 800})
	if q.FirstEvent(now+ms, now-150*ms, late) || q.Outstanding() != 1 || !q.FirstEvent(now+ms, now-50*ms, late) || q.Outstanding() != 0 {
		t.Errorf("a request of another scheduler: %d outstanding after first events 150 ms and 50 ms before its sending", q.Outstanding())
	}
}

// The list is bounded, and what exceeds it is counted.
func TestQueueIsBounded(t *testing.T) {
	q := newKnown()
	for i := range maxOutstanding + 5 {
		q.Sent(time.Second, Request{ID: ownID(i)})
	}
	if q.Outstanding() != maxOutstanding || q.rates.Dropped() != 5 {
		t.Fatalf("%d outstanding, %d dropped", q.Outstanding(), q.rates.Dropped())
	}
}

// The rates are learnt from requests that were alone, also if all sizes are those of two kinds, and the median is not
// changed by every eighth engine being slow.
func TestRatesAreLearnt(t *testing.T) {
	r := NewRates()
	queues := make([]*Queue, 8)
	for i := range queues {
		queues[i] = New(r)
	}
	now := time.Second
	for i := range 4000 {
		tokens := 628
		if i%2 == 0 {
			tokens = 2890
		}
		q := queues[i/2%len(queues)]
		q.Sent(now, Request{ID: ownID(1), Tokens: tokens})
		slowness := 1.0
		if q == queues[0] {
			slowness = 2.5
		}
		first := time.Duration(slowness * (33 + 0.009*float64(tokens)) * float64(ms))
		q.FirstEvent(now+first+20*ms, now+first, ownID(1))
		now += first + 30*ms
	}
	for _, tokens := range []int{628, 2890} {
		got, want := queues[1].Forecast(now, 0, tokens).FirstEvent, time.Duration((33+0.009*float64(tokens))*float64(ms))
		if got < want*8/10 || got > want*12/10 {
			t.Errorf("%d tokens: first event after %v was predicted, want %v", tokens, got, want)
		}
	}
	if f := queues[0].Forecast(now, 0, 628); f.Slowness < 1.8 {
		t.Errorf("slowness of the slow engine: %v, want 2.5", f.Slowness)
	}
	if r.Slowness() < 1.5 {
		t.Errorf("slowness within which 9 of 10 first events stay: %v, want 2.5", r.Slowness())
	}
}

// Step and chunk size are learnt from pauses of streams, whose engines were idle or prefilled all the time.
func TestPauseIsLearnt(t *testing.T) {
	const step, chunkStep, eventTokens = 4.7, 31.4, 6
	r := NewRates()
	r.tokenTime = 1 / 38.4
	r.SetEventTokens(eventTokens)
	for range 300 {
		r.ObservePause(time.Duration(eventTokens*step*float64(ms)), 300*ms, 0, 1)
		r.ObservePause(time.Duration(eventTokens*chunkStep*float64(ms)), 600*ms, 580, 1)
		r.ObservePause(2*time.Duration(eventTokens*chunkStep*float64(ms)), 600*ms, 290, 2)
		r.ObservePause(100*ms, 600*ms, 200, 1) // fewer chunks than steps
	}
	if got := r.pause(0); got < 25 || got > 32 {
		t.Errorf("pause without prefills: %.0f ms, want 28", got)
	}
	if got := r.pause(10_000); got < 170 || got > 210 {
		t.Errorf("pause with a chunk in each step: %.0f ms, want 188", got)
	}
}

// The pause grows with the outstanding work up to a chunk in each step of an event, and is that of the slowness within
// which 9 of 10 first events stay.
func TestForecastPause(t *testing.T) {
	q, now := newKnown(), time.Second
	if f := q.Forecast(now, 0, 0); !near(f.Pause, 38*ms, 3*ms) {
		t.Errorf("idle engine: pause %v, want about 8 steps", f.Pause)
	}
	q.Sent(now, Request{ID: ownID(0), Priority: 5, Tokens: 6000})
	some := q.Forecast(now, 0, 2000).Pause
	if some < 90*ms || some > 120*ms {
		t.Errorf("4 chunks: pause %v, want 102 to 108ms", some)
	}
	q.Sent(now, Request{ID: ownID(1), Priority: 5, Tokens: 60_000})
	if f := q.Forecast(now, 0, 0); !near(f.Pause, 160*ms, ms) {
		t.Errorf("many chunks: pause %v, want 160ms", f.Pause)
	}
	q.rates.slowness = 2.5
	if f := q.Forecast(now, 0, 0); !near(f.Pause, 400*ms, ms) {
		t.Errorf("slow engines: pause %v, want 400ms", f.Pause)
	}
}

// Whatever is sent and reported in whatever order, forecasts are finite and ordered, sums match the list, no request
// counts beyond its lifetime, and a more urgent request does not wait longer than a less urgent one.
func TestForecastInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRates()
		r.SetEventTokens(rapid.IntRange(-1, 20).Draw(t, "event tokens"))
		q, now := New(r), time.Second
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			back := time.Duration(rapid.IntRange(0, 100).Draw(t, "back")) * ms
			priority := rapid.IntRange(-1, levels).Draw(t, "priority")
			id := rapid.IntRange(-1, step).Draw(t, "id")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				q.Sent(now-back, Request{ID: ownID(step), Priority: priority, Tokens: rapid.IntRange(-1, 60_000).Draw(t, "tokens")})
			case 2:
				q.Sent(now-back, Request{ID: peerID(id), Priority: priority, Tokens: rapid.IntRange(-1, 60_000).Draw(t, "tokens")})
			case 3:
				q.FirstEvent(now, now-back, ownID(id))
			case 4:
				q.FirstEvent(now, now-back, peerID(id))
			case 5:
				q.Removed(now, ownID(id))
				q.Removed(now, peerID(id))
			case 6:
				r.ObservePause(back, back*4, float64(back/ms), 1)
				q.Sweep(now)
			}
			last := time.Duration(0)
			for p := range levels {
				f := q.Forecast(now, p, 1000)
				if f.Wait < 0 || f.FirstEvent <= f.Wait || f.Pause <= 0 || f.FirstEvent > time.Hour || f.Slowness < 1/maxSlowness || f.Slowness > maxSlowness {
					t.Fatalf("forecast %+v", f)
				}
				if f.Wait < last-time.Duration(maxSlowness*r.chunkStep*float64(ms)) {
					t.Fatalf("priority %d waits %v, the one above it %v", p, f.Wait, last)
				}
				last = f.Wait
			}
			count := 0
			for p := range q.levels {
				sum := 0.0
				for i, e := range q.levels[p].entries {
					sum += e.work
					count++
					if i > 0 && q.levels[p].entries[i-1].sentAt > e.sentAt {
						t.Fatal("not in the order of sending")
					}
				}
				if math.Abs(sum-q.levels[p].work) > 1e-6 || (len(q.levels[p].entries) > 0) != (q.filled&(1<<p) != 0) {
					t.Fatalf("sum of priority %d is %v, want %v", p, q.levels[p].work, sum)
				}
			}
			if count != q.Outstanding() {
				t.Fatalf("%d outstanding, want %d", q.Outstanding(), count)
			}
		}
		q.Sweep(now + time.Hour)
		if q.Outstanding() > 0 {
			t.Fatal("requests outlive an hour")
		}
	})
}

func BenchmarkForecast(b *testing.B) {
	q, now := newKnown(), time.Second
	for i := range 40 {
		q.Sent(now, Request{ID: ownID(i), Priority: i % 3, Tokens: 3000})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Forecast(now, 1, 600)
	}
}
