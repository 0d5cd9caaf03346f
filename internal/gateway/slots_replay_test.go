package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kitetiller/internal/gateway/slotqueue"
)

// Load of the small service of deployment S in docs/HARD-LOAD.md.
const (
	replayGateways  = 79
	replayZones     = 3
	replaySlots     = 6 // of each of replayZones back ends
	replayRate      = 96.0
	replayRunOnce   = 56.8 / 96.1 // share of requests that may run only once; the others have two attempts
	replayObjective = 300 * time.Millisecond
	replayDeadline  = 4 * time.Second
	replayRoute     = 2 * time.Second // the gateways' time-out
	replayTime      = 41 * time.Second
	// One-way delays with the processing at the receiver, within a zone and between zones.
	replayNear = 1 * time.Millisecond
	replayFar  = 1500 * time.Microsecond
	// replayNews is the least time until another scheduler knows of a placement, and replayNewsSpread its variation.
	replayNews       = 40 * time.Millisecond
	replayNewsSpread = 25 * time.Millisecond
)

// replayWork draws the time that a request occupies a slot: 60 ms on average, with a tail.
func replayWork(rng *rand.Rand) time.Duration {
	if rng.Float64() < 0.85 {
		return time.Duration((30 + 30*rng.Float64()) * float64(time.Millisecond))
	}
	return time.Duration(min(145*rng.ExpFloat64(), 1000) * float64(time.Millisecond))
}

// replayEvent is something that happens in the replay.
type replayEvent struct {
	at    time.Duration
	order int
	do    func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayResult counts what became of the requests, and how many sends the back ends rejected.
type replayResult struct {
	arrived, onTime, late, rejected, backEndRejections int
}

// replayRequest is a request of a client. It arrives at a gateway of its zone, and again if it is rejected.
type replayRequest struct {
	id        int
	zone      int
	runOnce   bool
	work      time.Duration
	arrivedAt time.Duration // first arrival
	gatewayAt time.Duration // arrival at the current gateway
	returned  bool
	sent      int
	excluded  []string
}

// replay simulates the fleet under a load.
type replay struct {
	now     time.Duration
	events  replayEvents
	order   int
	rng     *rand.Rand
	running [replayZones]int
	result  replayResult
	choose  func(*replayRequest) // asks a scheduler; it calls send or reject later
	ended   func(r *replayRequest, id, instance string, outcome attemptOutcome, took time.Duration)
}

func (p *replay) at(at time.Duration, do func()) {
	p.order++
	heap.Push(&p.events, replayEvent{at: max(at, p.now), order: p.order, do: do})
}

func (p *replay) after(delay time.Duration, do func()) { p.at(p.now+delay, do) }

// delay returns the one-way delay between two zones.
func delay(a, b int) time.Duration {
	if a == b {
		return replayNear
	}
	return replayFar
}

// run replays arrivals at a multiple of the usual rate.
func (p *replay) run(factor float64) replayResult {
	for at, id := time.Duration(0), 0; at < replayTime; id++ {
		at += time.Duration(p.rng.ExpFloat64() / (factor * replayRate) * float64(time.Second))
		r := &replayRequest{id: id, zone: p.rng.IntN(replayZones), runOnce: p.rng.Float64() < replayRunOnce, work: replayWork(p.rng), arrivedAt: at, gatewayAt: at}
		p.result.arrived++
		p.at(at, func() { p.choose(r) })
	}
	for len(p.events) > 0 {
		next := heap.Pop(&p.events).(replayEvent)
		p.now = next.at
		next.do()
	}
	return p.result
}

// send sends a request to a back end, as attempt and exchange do.
func (p *replay) send(r *replayRequest, id, instance string) {
	sentAt, zone := p.now, int(instance[1]-'0')
	way := delay(r.zone, zone)
	r.sent++
	p.after(way, func() {
		if p.running[zone] >= replaySlots {
			p.result.backEndRejections++
			p.after(way, func() {
				p.ended(r, id, instance, outcomeRejected, p.now-sentAt)
				r.excluded = append(r.excluded, instance)
				if r.runOnce || r.sent >= 2 {
					p.reject(r, minRetryAfter)
					return
				}
				p.choose(r)
			})
			return
		}
		p.running[zone]++
		p.after(r.work, func() {
			p.running[zone]--
			p.after(way, func() {
				p.ended(r, id, instance, outcomeSuccess, p.now-sentAt)
				if p.now-r.arrivedAt <= replayObjective {
					p.result.onTime++
				} else {
					p.result.late++
				}
			})
		})
	})
}

// reject answers a caller, who comes back once if the retry time is at most a third of the time left.
func (p *replay) reject(r *replayRequest, retryAfter time.Duration) {
	if r.returned || retryAfter > (r.arrivedAt+replayDeadline-p.now)/3 {
		p.result.rejected++
		return
	}
	again := *r
	again.returned, again.sent, again.excluded = true, 0, nil
	p.after(retryAfter, func() {
		again.gatewayAt = p.now
		p.choose(&again)
	})
}

// newReplay returns a replay. The same seed gives the same arrivals.
func newReplay(seed uint64) *replay { return &replay{rng: rand.New(rand.NewPCG(seed, 1))} }

// replayByZone replays the choice without shared slots: the scheduler of each zone places its requests by the gateway's
// own code, and learns late of what the others have placed.
func replayByZone(factor float64, seed uint64) replayResult {
	p := newReplay(seed)
	news := rand.New(rand.NewPCG(seed, 2))
	var schedulers []*Gateway
	for zone := range replayZones {
		g := newSmallGateway(fmt.Sprint("s", zone), replaySlots, replaySlots, replaySlots)
		g.settings.Zone = fmt.Sprint("z", zone)
		schedulers = append(schedulers, g)
	}
	announce := func(from *Gateway, instance string) {
		sent := announcement{Gateway: from.shortName, Instance: instance, Load: from.table.rows[instance].occupancy.Local()}
		at := p.now
		for _, g := range schedulers {
			if g == from {
				continue
			}
			p.after(replayNews+time.Duration(news.Int64N(int64(replayNewsSpread))), func() {
				sent.Age = p.now - at
				g.table.applySends(p.now, []announcement{sent})
			})
		}
	}
	placements := 0
	p.choose = func(r *replayRequest) {
		p.after(replayNear, func() {
			placements++
			id := fmt.Sprint("p", placements)
			reply := schedulers[r.zone].placeForPeer(p.now, &wirePlacementRequest{PlacementID: id, Gateway: "g", Service: "small", Excluded: r.excluded, FirstAttempt: r.sent == 0, TimeoutMS: replayRoute.Milliseconds()})
			if reply.Instance == "" {
				p.after(replayNear, func() { p.reject(r, minRetryAfter) })
				return
			}
			announce(schedulers[r.zone], reply.Instance)
			p.after(replayNear, func() { p.send(r, id, reply.Instance) })
		})
	}
	p.ended = func(r *replayRequest, id, instance string, outcome attemptOutcome, took time.Duration) {
		p.after(replayNear, func() {
			schedulers[r.zone].table.endPlacement(p.now, &wirePlacementEnd{PlacementID: id, Gateway: "g", Outcome: outcome, DurationMS: took.Milliseconds()})
			announce(schedulers[r.zone], instance)
		})
	}
	return p.run(factor)
}

// replayShared replays shared slots. schedulerOf returns the index of the scheduler that a gateway asks at a time.
func replayShared(factor float64, seed uint64, schedulerOf func(now time.Duration, gateway int) int) replayResult {
	p := newReplay(seed)
	type scheduler struct {
		queue   *slotqueue.Queue
		waiting map[string]*replayRequest
		wakeAt  time.Duration
	}
	var schedulers []*scheduler
	for range 2 {
		schedulers = append(schedulers, &scheduler{queue: slotqueue.New(), waiting: map[string]*replayRequest{}})
	}
	var backEnds []slotqueue.BackEnd
	for i := range replayZones {
		backEnds = append(backEnds, slotqueue.BackEnd{ID: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i), Slots: replaySlots, Eligible: true})
	}
	var settle func(s *scheduler, answers []slotqueue.Answer)
	settle = func(s *scheduler, answers []slotqueue.Answer) {
		for _, a := range answers {
			r := s.waiting[a.ID]
			delete(s.waiting, a.ID)
			p.after(delay(r.zone, 0), func() {
				if a.BackEnd != "" {
					p.send(r, a.ID, a.BackEnd)
					return
				}
				p.reject(r, max(minRetryAfter, a.RetryAfter))
			})
		}
		if due, waits := s.queue.NextAt(p.now); waits && (s.wakeAt <= p.now || due < s.wakeAt) {
			s.wakeAt = max(due, p.now+minSlotPoll)
			p.at(s.wakeAt, func() { settle(s, s.queue.SetBackEnds(p.now, backEnds)) })
		}
	}
	asked, schedulerByID := 0, map[string]*scheduler{}
	p.choose = func(r *replayRequest) {
		s := schedulers[schedulerOf(p.now, r.id%replayGateways)]
		asked++
		id := fmt.Sprint("p", asked)
		schedulerByID[id] = s
		bound := r.gatewayAt + replayRoute - p.now - slotqueue.InitialWork
		if r.sent == 0 {
			bound = min(bound, r.gatewayAt+replayObjective-p.now)
		}
		p.after(delay(r.zone, 0), func() {
			s.waiting[id] = r
			answers := s.queue.SetBackEnds(p.now, backEnds)
			settle(s, append(answers, s.queue.Ask(p.now, slotqueue.Request{ID: id, Zone: fmt.Sprint("z", r.zone), Repeat: r.sent > 0, Rejectable: r.sent == 0, Excluded: r.excluded, Bound: bound, Timeout: replayRoute})...))
		})
	}
	p.ended = func(r *replayRequest, id, _ string, outcome attemptOutcome, took time.Duration) {
		shown := slotqueue.Success
		if outcome == outcomeRejected {
			shown = slotqueue.Rejected
		}
		s := schedulerByID[id]
		delete(schedulerByID, id)
		p.after(delay(r.zone, 0), func() { settle(s, s.queue.End(p.now, id, shown, took)) })
	}
	return p.run(factor)
}

// TestSlotReplay replays the load of the small service of deployment S with and without shared slots, also while the
// scheduler changes and while two schedulers serve at once. It guards against sends to back ends whose slots are taken.
func TestSlotReplay(t *testing.T) {
	always := func(time.Duration, int) int { return 0 }
	change := func(now time.Duration, _ int) int { return int(now/(5*time.Second)) % 2 }
	both := func(now time.Duration, gateway int) int {
		if now > 10*time.Second && now < 16*time.Second { // a zone is cut off
			return min(1, gateway%replayZones)
		}
		return 0
	}
	for _, c := range []struct {
		factor float64
		// maxRejections is the share of arrivals that back ends may reject with shared slots, at all times, with a change
		// of the scheduler every 5 s, and with two schedulers for 6 s.
		maxRejections, maxAtChange, maxWithTwo float64
		minGain                                int // requests more on time than without shared slots
	}{
		{1, 0.002, 0.005, 0.005, -5}, // today's choice varies by a few requests from run to run
		{1.5, 0.002, 0.005, 0.01, 10},
		{2, 0.002, 0.005, 0.02, 200},
	} {
		const seed = 7
		zone, shared := replayByZone(c.factor, seed), replayShared(c.factor, seed, always)
		changed, two := replayShared(c.factor, seed, change), replayShared(c.factor, seed, both)
		t.Logf("%.1f x %.0f requests/s:\n  by zone          %+v\n  shared           %+v\n  change every 5 s %+v\n  two for 6 s      %+v", c.factor, replayRate, zone, shared, changed, two)
		for name, r := range map[string]replayResult{"by zone": zone, "shared": shared, "changed": changed, "two": two} {
			if r.onTime+r.late+r.rejected != r.arrived {
				t.Errorf("%s: %+v does not add up", name, r)
			}
		}
		for name, limit := range map[string]struct {
			result replayResult
			most   float64
		}{"shared": {shared, c.maxRejections}, "change": {changed, c.maxAtChange}, "two": {two, c.maxWithTwo}} {
			if share := float64(limit.result.backEndRejections) / float64(limit.result.arrived); share > limit.most {
				t.Errorf("%s at %.1f: back ends reject %.4f of the arrivals, want at most %.4f", name, c.factor, share, limit.most)
			}
		}
		if shared.onTime < zone.onTime+c.minGain || shared.rejected > zone.rejected || shared.backEndRejections >= zone.backEndRejections {
			t.Errorf("at %.1f: %+v with shared slots, %+v without", c.factor, shared, zone)
		}
	}
}
