package reservation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kitetiller/internal/admission"
)

// replayKind is a kind of requests of a replayed load.
type replayKind struct {
	name                string
	priority, tokens    int // tokens to prefill
	objective, deadline time.Duration
	rate                float64 // usual requests a second
	bursts              []replayBurst
}

type replayBurst struct {
	from, to time.Duration
	factor   float64
}

// replayLoad is the share of one scheduler in a deployment.
type replayLoad struct {
	name        string
	engines     int
	tokensPerMS float64
	slowPart    float64 // of the engines that are 2.5 times slower, another set every 600 ms
	tenants     int
	hotTenant   replayBurst   // when tenant 0 sends more than usual, and by which factor
	forecast    float64       // ratio of forecast to actual wait, as the median of the engines
	error       float64       // standard deviation of the logarithm of that ratio between engines
	staleness   time.Duration // age of the engines' state that forecasts use
	kinds       []replayKind
}

const ms = time.Millisecond

// replayLoads are shares of the two deployments of docs/HARD-LOAD.md: an eighth of K and a sixth of S, whose engines
// prefill at the rate that they reach beside their decode steps. A prompt has its own block and some shared ones to
// prefill.
var replayLoads = []replayLoad{
	{
		name: "K", engines: 11, tokensPerMS: 36, slowPart: 0.15, tenants: 82, hotTenant: replayBurst{24 * time.Second, 30 * time.Second, 6}, forecast: 2, error: 0.5, staleness: 40 * ms,
		kinds: []replayKind{
			{"long", 1, 3700, 400 * ms, 4 * time.Second, 65, []replayBurst{{6 * time.Second, 11 * time.Second, 2}, {25 * time.Second, 29 * time.Second, 2}}},
			{"short", 0, 640, 300 * ms, 12 * time.Second, 25, []replayBurst{{33 * time.Second, 36 * time.Second, 2}}},
		},
	}, {
		name: "S", engines: 10, tokensPerMS: 13, tenants: 16, hotTenant: replayBurst{24 * time.Second, 30 * time.Second, 6}, forecast: 0.6, error: 0.5, staleness: 40 * ms,
		kinds: []replayKind{
			{"long", 2, 3700, 1500 * ms, 5 * time.Second, 10.5, []replayBurst{{33 * time.Second, 36 * time.Second, 2}}},
			{"short", 0, 640, 400 * ms, 15 * time.Second, 95, []replayBurst{{6 * time.Second, 13 * time.Second, 2}, {25 * time.Second, 29 * time.Second, 2}}},
		},
	},
}

// replayAdmission is a decider under test.
type replayAdmission interface {
	decide(now time.Duration, r Request) (retryAfter time.Duration, rejected bool)
	waited(now time.Duration, priority, tokens int, forecast, actual time.Duration)
}

type todaysAdmission struct{ c admission.Controller }

func (a *todaysAdmission) decide(now time.Duration, r Request) (time.Duration, bool) {
	return a.c.Decide(now, admission.Request{Key: r.Key, Priority: r.Priority, PredictedWait: r.Wait, Objective: r.Objective, Random: r.Random})
}

func (a *todaysAdmission) waited(_ time.Duration, priority, _ int, forecast, actual time.Duration) {
	a.c.ObserveWait(priority, forecast, actual)
}

type placesAdmission struct{ c Controller }

func (a *placesAdmission) decide(now time.Duration, r Request) (time.Duration, bool) {
	d := a.c.Decide(now, r)
	return d.RetryAfter, d.Rejected
}

func (a *placesAdmission) waited(now time.Duration, priority, tokens int, forecast, actual time.Duration) {
	a.c.ObserveWait(now, priority, forecast, actual)
	a.c.ObserveRead(now, tokens)
}

// replayCounts are the outcomes of callers. rejectedAgain are those whose return was rejected, and gaveUp those told a
// time that is too long for them.
type replayCounts struct{ arrived, onTime, late, gaveUp, rejectedAgain, attemptsRejected int }

func (c replayCounts) plus(o replayCounts) replayCounts {
	return replayCounts{c.arrived + o.arrived, c.onTime + o.onTime, c.late + o.late, c.gaveUp + o.gaveUp, c.rejectedAgain + o.rejectedAgain, c.attemptsRejected + o.attemptsRejected}
}

func (c replayCounts) String() string {
	return fmt.Sprintf("arrived %d, on time %d (%.3f), late %d, gave up %d, rejected again %d, attempts rejected %d", c.arrived, c.onTime, float64(c.onTime)/float64(max(1, c.arrived)), c.late, c.gaveUp, c.rejectedAgain, c.attemptsRejected)
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayQueue []replayEvent

func (q replayQueue) Len() int           { return len(q) }
func (q replayQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q replayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)        { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// replayEngine prefills one prompt at a time, the most urgent first.
type replayEngine struct {
	queue    [Levels][]*replayRequest
	tokens   [Levels]int
	busyTill time.Duration
	slow     bool
	error    float64
	known    [Levels]time.Duration // wait by priority as of the last report, relative to knownAt
}

type replayRequest struct {
	kind              *replayKind
	key, tenant       string
	arrived, deadline time.Duration // of the first attempt
	attemptAt         time.Duration
	forecast          time.Duration
	retried           bool
}

type replay struct {
	load     replayLoad
	admit    replayAdmission
	random   *rand.Rand
	now      time.Duration
	events   replayQueue
	engines  []replayEngine
	knownAt  time.Duration
	kinds    map[string]*replayCounts
	tenants  map[string]*replayCounts // while one of them sends more than usual
	perToken time.Duration
}

const replayLength = 40 * time.Second

// runReplay plays a load against a decider.
func runReplay(load replayLoad, admit replayAdmission, seed uint64) *replay {
	r := &replay{load: load, admit: admit, random: rand.New(rand.NewPCG(seed, 1)), engines: make([]replayEngine, load.engines), kinds: map[string]*replayCounts{}, tenants: map[string]*replayCounts{}}
	r.perToken = time.Duration(float64(ms) / load.tokensPerMS)
	for i := range r.engines {
		r.engines[i].error = math.Exp(load.error * r.random.NormFloat64())
	}
	arrivals := rand.New(rand.NewPCG(seed, 2)) // the same for both deciders
	for i := range load.kinds {
		r.addArrivals(arrivals, &r.load.kinds[i])
	}
	for at := time.Duration(0); at < replayLength; at += 600 * ms {
		r.after(at, r.chooseSlow)
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(replayEvent)
		r.now = next.at
		next.do()
	}
	return r
}

func (r *replay) after(delay time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{r.now + delay, do})
}

// addArrivals adds the callers of a kind. Tenants are Zipf-like: each has 0.93 times the load of the one before.
func (r *replay) addArrivals(arrivals *rand.Rand, kind *replayKind) {
	weights, sum := make([]float64, r.load.tenants), 0.0
	for i, w := 0, 1.0; i < len(weights); i, w = i+1, w*0.93 {
		weights[i], sum = w, sum+w
	}
	for tenant, weight := range weights {
		for at := time.Duration(0); at < replayLength; {
			factor := 1.0
			for _, b := range kind.bursts {
				if at >= b.from && at < b.to {
					factor = b.factor
				}
			}
			if hot := r.load.hotTenant; tenant == 0 && at >= hot.from && at < hot.to {
				factor *= hot.factor
			}
			at += time.Duration(arrivals.ExpFloat64() / (kind.rate * weight / sum * factor) * float64(time.Second))
			x := &replayRequest{kind: kind, key: fmt.Sprint(kind.name, tenant, at), tenant: fmt.Sprint("t", tenant), arrived: at, deadline: at + kind.deadline}
			heap.Push(&r.events, replayEvent{at, func() { r.attempt(x) }})
		}
	}
}

func (r *replay) chooseSlow() {
	for i := range r.engines {
		r.engines[i].slow = r.random.Float64() < r.load.slowPart
	}
}

// attempt places a request, as a scheduler does that knows the engines as they were some time ago.
func (r *replay) attempt(x *replayRequest) {
	if r.now >= r.knownAt+r.load.staleness {
		for i := range r.engines {
			r.engines[i].report(r.now, r.perToken)
		}
		r.knownAt = r.now
	}
	best := r.random.IntN(len(r.engines))
	for range 3 { // of some engines, since prompts' shared blocks are at few
		if other := r.random.IntN(len(r.engines)); r.engines[other].known[x.kind.priority] < r.engines[best].known[x.kind.priority] {
			best = other
		}
	}
	e := &r.engines[best]
	x.attemptAt, x.forecast = r.now, time.Duration(r.load.forecast*e.error*float64(max(0, e.known[x.kind.priority]-(r.now-r.knownAt))))
	reading := time.Duration(x.kind.tokens) * r.perToken
	retryAfter, rejected := r.admit.decide(r.now, Request{
		Key: x.key, Tenant: x.tenant, Priority: x.kind.priority, Wait: x.forecast, Reading: reading, Objective: x.kind.objective, TimeLeft: x.deadline - r.now,
		Tokens: x.kind.tokens, Random: r.random.Float64(),
	})
	if rejected {
		switch r.count(x, func(c *replayCounts) { c.attemptsRejected++ }); {
		case x.retried:
			r.count(x, func(c *replayCounts) { c.arrived++; c.rejectedAgain++ })
		case retryAfter > (x.deadline-r.now-3*ms)/3:
			r.count(x, func(c *replayCounts) { c.arrived++; c.gaveUp++ })
		default:
			x.retried = true
			r.after(retryAfter+6*ms, func() { r.attempt(x) })
		}
		return
	}
	for p := x.kind.priority; p < Levels; p++ {
		e.known[p] += reading // what the scheduler itself sends is known at once
	}
	r.after(2*ms, func() {
		e.queue[x.kind.priority] = append(e.queue[x.kind.priority], x)
		e.tokens[x.kind.priority] += x.kind.tokens
		r.serve(e)
	})
}

// report makes the wait by priority known.
func (e *replayEngine) report(now, perToken time.Duration) {
	wait := max(0, e.busyTill-now)
	for p := range Levels {
		wait += time.Duration(e.tokens[p]) * perToken
		e.known[p] = wait
	}
}

// serve begins the next prompt if the engine is idle.
func (r *replay) serve(e *replayEngine) {
	if r.now < e.busyTill {
		return
	}
	for p := range Levels {
		if len(e.queue[p]) == 0 {
			continue
		}
		x := e.queue[p][0]
		e.queue[p] = e.queue[p][1:]
		e.tokens[p] -= x.kind.tokens
		reading := time.Duration(x.kind.tokens) * r.perToken
		if e.slow {
			reading = reading * 5 / 2
		}
		startedAt := r.now
		e.busyTill = r.now + reading
		r.after(reading, func() {
			r.firstEvent(x, startedAt)
			r.serve(e)
		})
		return
	}
}

func (r *replay) firstEvent(x *replayRequest, startedAt time.Duration) {
	r.count(x, func(c *replayCounts) {
		c.arrived++
		if r.now-x.attemptAt <= x.kind.objective {
			c.onTime++
		} else {
			c.late++
		}
	})
	r.after(60*ms, func() {
		r.admit.waited(r.now, x.kind.priority, x.kind.tokens, x.forecast, startedAt-x.attemptAt)
	})
}

func (r *replay) count(x *replayRequest, change func(*replayCounts)) {
	groups := []struct {
		in   map[string]*replayCounts
		name string
	}{{r.kinds, x.kind.name}}
	if hot := r.load.hotTenant; x.arrived >= hot.from && x.arrived < hot.to {
		name := "others"
		if x.tenant == "t0" {
			name = "hot"
		}
		groups = append(groups, groups[0])
		groups[1].in, groups[1].name = r.tenants, name
	}
	for _, g := range groups {
		if g.in[g.name] == nil {
			g.in[g.name] = &replayCounts{}
		}
		change(g.in[g.name])
	}
}

// TestReplayedLoad replays the load of a scheduler and compares the outcomes with those of today's admission control. It
// guards against rejections of requests that could be served in time, returns that are rejected again, and tenants that
// are rejected for another's load.
func TestReplayedLoad(t *testing.T) {
	const seeds = 4
	for _, load := range replayLoads {
		for _, exact := range []bool{false, true} {
			if exact {
				load.forecast, load.error = 1, 0
			}
			sums := map[string]map[string]replayCounts{}
			for decider, newAdmission := range map[string]func() replayAdmission{
				"today": func() replayAdmission { return &todaysAdmission{} }, "places": func() replayAdmission { return &placesAdmission{} },
			} {
				sums[decider] = map[string]replayCounts{}
				for seed := range uint64(seeds) {
					played := runReplay(load, newAdmission(), seed)
					for name, counts := range played.kinds {
						sums[decider][name] = sums[decider][name].plus(*counts)
						sums[decider]["all"] = sums[decider]["all"].plus(*counts)
					}
					for name, counts := range played.tenants {
						sums[decider][name] = sums[decider][name].plus(*counts)
					}
				}
			}
			for _, name := range []string{"all", "long", "short", "hot", "others"} {
				for _, decider := range []string{"today", "places"} {
					t.Logf("%s, forecast %.1f times the wait (+-%.1f), %-6s %-6s: %v", load.name, load.forecast, load.error, name, decider, sums[decider][name])
				}
			}
			today, places := sums["today"], sums["places"]
			if places["all"].onTime < today["all"].onTime {
				t.Errorf("%s: %d on time with places, %d today", load.name, places["all"].onTime, today["all"].onTime)
			}
			if places["all"].rejectedAgain > today["all"].rejectedAgain/20 {
				t.Errorf("%s: %d rejected again with places, %d today", load.name, places["all"].rejectedAgain, today["all"].rejectedAgain)
			}
			if places["others"].onTime < today["others"].onTime*11/10 {
				t.Errorf("%s: %d of other tenants than the one with most load on time with places, %d today", load.name, places["others"].onTime, today["others"].onTime)
			}
		}
	}
}
