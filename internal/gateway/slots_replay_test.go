package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/slotqueue"
)

// replayFleet describes a deployment of docs/HARD-LOAD.md and the load of its small service.
type replayFleet struct {
	gateways, zones, backEnds int
	rate                      float64
	runOnce                   float64 // share of requests that may run only once; the others have two attempts
	// near and far are one-way delays with the processing at the receiver, within a zone and between zones.
	near, far time.Duration
}

var (
	replayS = replayFleet{gateways: 79, zones: 3, backEnds: 3, rate: 96, runOnce: 56.8 / 96.1, near: time.Millisecond, far: 1500 * time.Microsecond}
	// replayK has the rate of K's bursts.
	replayK = replayFleet{gateways: 76, zones: 4, backEnds: 6, rate: 500, runOnce: 180.0 / 252, near: time.Millisecond, far: 4 * time.Millisecond}
)

const (
	replaySlots     = 6 // of each back end
	replayObjective = 300 * time.Millisecond
	replayDeadline  = 4 * time.Second
	replayRoute     = 2 * time.Second // the gateways' time-out
	replayTime      = 41 * time.Second
	// replayNews is the least time until another scheduler knows of a placement, and replayNewsSpread its variation.
	replayNews       = 40 * time.Millisecond
	replayNewsSpread = 25 * time.Millisecond
	// replayMessageTime is the time that a scheduler takes for a message with its share of a processor. It puts the limit
	// of one scheduler at 250 requests/s, between the loads that one did and did not carry on the deployments.
	replayMessageTime = 2 * time.Millisecond
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
	calls                                              int           // to schedulers for a slot; not counted without shared slots
	longestHold                                        time.Duration // at a gateway before the send or the rejection
}

// replayRequest is a request of a client. It arrives at a gateway of its zone, and again if it is rejected.
type replayRequest struct {
	id        int
	zone      int
	runOnce   bool
	work      time.Duration
	arrivedAt time.Duration // first arrival
	gatewayAt time.Duration // arrival at the current gateway
	heldSince time.Duration // since when it has been waiting there for its next send
	returned  bool
	sent      int
	excluded  []string
	ways      []slotOption  // back ends to ask for
	retry     time.Duration // shortest retry time given
}

// replay simulates the fleet under a load.
type replay struct {
	now     time.Duration
	events  replayEvents
	order   int
	rng     *rand.Rand
	fleet   replayFleet
	running []int
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
func (f *replayFleet) delay(a, b int) time.Duration {
	if a == b {
		return f.near
	}
	return f.far
}

// run replays arrivals at a multiple of the usual rate.
func (p *replay) run(factor float64) replayResult {
	for at, id := time.Duration(0), 0; at < replayTime; id++ {
		at += time.Duration(p.rng.ExpFloat64() / (factor * p.fleet.rate) * float64(time.Second))
		r := &replayRequest{id: id, zone: p.rng.IntN(p.fleet.zones), runOnce: p.rng.Float64() < p.fleet.runOnce, work: replayWork(p.rng), arrivedAt: at, gatewayAt: at, heldSince: at}
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
	sentAt, backEnd := p.now, int(instance[1]-'0')
	way := p.fleet.delay(r.zone, backEnd%p.fleet.zones)
	r.sent++
	p.result.longestHold = max(p.result.longestHold, p.now-r.heldSince)
	p.after(way, func() {
		if p.running[backEnd] >= replaySlots {
			p.result.backEndRejections++
			p.after(way, func() {
				p.ended(r, id, instance, outcomeRejected, p.now-sentAt)
				r.excluded, r.heldSince = append(r.excluded, instance), p.now
				if r.runOnce || r.sent >= 2 {
					p.reject(r, minRetryAfter)
					return
				}
				p.choose(r)
			})
			return
		}
		p.running[backEnd]++
		p.after(r.work, func() {
			p.running[backEnd]--
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
	p.result.longestHold = max(p.result.longestHold, p.now-r.heldSince)
	if r.returned || retryAfter > (r.arrivedAt+replayDeadline-p.now)/3 {
		p.result.rejected++
		return
	}
	again := *r
	again.returned, again.sent, again.excluded, again.retry = true, 0, nil, 0
	p.after(retryAfter, func() {
		again.gatewayAt, again.heldSince = p.now, p.now
		p.choose(&again)
	})
}

// newReplay returns a replay. The same seed gives the same arrivals.
func newReplay(fleet replayFleet, seed uint64) *replay {
	return &replay{rng: rand.New(rand.NewPCG(seed, 1)), fleet: fleet, running: make([]int, fleet.backEnds)}
}

// replayByZone replays the choice without shared slots: the scheduler of each zone places its requests by the gateway's
// own code, and learns late of what the others have placed.
func replayByZone(fleet replayFleet, factor float64, seed uint64) replayResult {
	p := newReplay(fleet, seed)
	news := rand.New(rand.NewPCG(seed, 2))
	var schedulers []*Gateway
	for zone := range fleet.zones {
		g := newSmallGateway(fmt.Sprint("s", zone), slices.Repeat([]int{replaySlots}, fleet.backEnds)...)
		g.settings.Zone = fmt.Sprint("z", zone)
		for i := range fleet.backEnds {
			g.table.rows[fmt.Sprint("b", i)].entry.Zone = fmt.Sprint("z", i%fleet.zones)
		}
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
		p.after(fleet.near, func() {
			placements++
			id := fmt.Sprint("p", placements)
			reply := schedulers[r.zone].placeForPeer(p.now, &wirePlacementRequest{PlacementID: id, Gateway: "g", Service: "small", Excluded: r.excluded, FirstAttempt: r.sent == 0, TimeoutMS: replayRoute.Milliseconds()})
			if reply.Instance == "" {
				p.after(fleet.near, func() { p.reject(r, minRetryAfter) })
				return
			}
			announce(schedulers[r.zone], reply.Instance)
			p.after(fleet.near, func() { p.send(r, id, reply.Instance) })
		})
	}
	p.ended = func(r *replayRequest, id, instance string, outcome attemptOutcome, took time.Duration) {
		p.after(fleet.near, func() {
			schedulers[r.zone].table.endPlacement(p.now, &wirePlacementEnd{PlacementID: id, Gateway: "g", Outcome: outcome, DurationMS: took.Milliseconds()})
			announce(schedulers[r.zone], instance)
		})
	}
	return p.run(factor)
}

// replayOptions are the circumstances of a replay of shared slots.
type replayOptions struct {
	// generation returns which of two sets of schedulers a gateway asks at a time; nil for the first.
	generation func(now time.Duration, gateway int) int
	// backlog returns how late the scheduler of a back end handles the messages that arrive at a time; nil for at once.
	backlog func(now time.Duration, backEnd int) time.Duration
	// messageTime is how long a scheduler takes for a message, and one means that the same one serves all back ends.
	messageTime time.Duration
	one         bool
}

// replayShard is the queue of a back end at its scheduler.
type replayShard struct {
	backEnd int
	queue   *slotqueue.Queue
	waiting map[string]*replaySlotCall
	wakeAt  time.Duration
	busy    *time.Duration // until when the scheduler handles earlier messages
}

// replaySlotCall is a call for a slot.
type replaySlotCall struct {
	r       *replayRequest
	id      string
	to      *replayShard
	askedAt time.Duration
	over    bool // the gateway no longer waits for the reply
}

// replayShards replays shared slots with the gateways' own choice of back ends.
type replayShards struct {
	*replay
	options replayOptions
	queues  [2][]*replayShard // by generation and back end
	clients []*slotClient     // of the gateways
	asked   int
	byID    map[string]*replayShard // of requests that run
	choice  *rand.Rand
}

// replayShared replays shared slots.
func replayShared(fleet replayFleet, factor float64, seed uint64, options replayOptions) replayResult {
	p := &replayShards{replay: newReplay(fleet, seed), options: options, byID: map[string]*replayShard{}, choice: rand.New(rand.NewPCG(seed, 3))}
	for generation := range p.queues {
		busy := new(time.Duration)
		for i := range fleet.backEnds {
			if !options.one {
				busy = new(time.Duration)
			}
			p.queues[generation] = append(p.queues[generation], &replayShard{backEnd: i, queue: slotqueue.New(), waiting: map[string]*replaySlotCall{}, busy: busy})
		}
	}
	for range fleet.gateways {
		p.clients = append(p.clients, newSlotClient(nil))
	}
	p.choose = p.pick
	p.replay.ended = func(r *replayRequest, id, _ string, outcome attemptOutcome, took time.Duration) {
		shown := slotqueue.Success
		if outcome == outcomeRejected {
			shown = slotqueue.Rejected
		}
		p.end(r, p.byID[id], id, shown, took)
		delete(p.byID, id)
	}
	return p.run(factor)
}

// gateway returns the index of the gateway at which a request is.
func (p *replayShards) gateway(r *replayRequest) int {
	if r.returned {
		return (r.id + 1) % p.fleet.gateways
	}
	return r.id % p.fleet.gateways
}

// deliver hands a message to the scheduler of a queue.
func (p *replayShards) deliver(r *replayRequest, to *replayShard, handle func()) {
	p.after(p.fleet.delay(r.zone, to.backEnd%p.fleet.zones), func() {
		at := max(p.now, *to.busy) + p.options.messageTime
		*to.busy = at
		if p.options.backlog != nil {
			at += p.options.backlog(p.now, to.backEnd)
		}
		p.at(at, handle)
	})
}

// refresh updates the back end of a queue.
func (p *replayShards) refresh(q *replayShard) []slotqueue.Answer {
	return q.queue.SetBackEnds(p.now, []slotqueue.BackEnd{{ID: fmt.Sprint("b", q.backEnd), Zone: fmt.Sprint("z", q.backEnd%p.fleet.zones), Slots: replaySlots, Eligible: true}})
}

// settle sends the answers of a queue and sets its next tick.
func (p *replayShards) settle(q *replayShard, answers []slotqueue.Answer) {
	next := q.queue.NextWait(p.now)
	for _, a := range answers {
		call := q.waiting[a.ID]
		delete(q.waiting, a.ID)
		p.after(p.fleet.delay(call.r.zone, q.backEnd%p.fleet.zones), func() { p.replied(call, a, next) })
	}
	if due, waits := q.queue.NextAt(p.now); waits && (q.wakeAt <= p.now || due < q.wakeAt) {
		q.wakeAt = max(due, p.now+minSlotPoll)
		p.at(q.wakeAt, func() { p.settle(q, p.refresh(q)) })
	}
}

// end reports the end of a request.
func (p *replayShards) end(r *replayRequest, to *replayShard, id string, outcome slotqueue.Outcome, took time.Duration) {
	p.deliver(r, to, func() { p.settle(to, append(p.refresh(to), to.queue.End(p.now, id, outcome, took)...)) })
}

// pick chooses the back ends that a request asks for, as placeInSlot does.
func (p *replayShards) pick(r *replayRequest) {
	var options []slotOption
	for i := range p.fleet.backEnds {
		if id := fmt.Sprint("b", i); !slices.Contains(r.excluded, id) {
			options = append(options, slotOption{id: id, zone: fmt.Sprint("z", i%p.fleet.zones), slots: replaySlots})
		}
	}
	r.ways = p.clients[p.gateway(r)].pick(p.now, fmt.Sprint("z", r.zone), options, p.choice.IntN)
	r.ways = r.ways[:min(2, len(r.ways))]
	p.ask(r)
}

// ask asks for a slot of the next back end.
func (p *replayShards) ask(r *replayRequest) {
	id, generation, arrived := fmt.Sprint("p", p.asked), 0, r.arrivedAt
	if r.returned {
		arrived = r.gatewayAt
	}
	p.asked++
	if p.options.generation != nil {
		generation = p.options.generation(p.now, p.gateway(r))
	}
	x := &exchange{gateway: &Gateway{slots: p.clients[p.gateway(r)]}, service: &catalog.Service{Name: "small"}, route: &catalog.Route{Objective: replayObjective}, arrived: arrived, deadline: arrived + replayRoute}
	alternative := len(r.ways) > 1
	bound := x.slotBound(p.now, alternative)
	p.result.calls++
	call := &replaySlotCall{r: r, id: id, to: p.queues[generation][int(r.ways[0].id[1]-'0')], askedAt: p.now}
	p.deliver(r, call.to, func() {
		call.to.waiting[id] = call
		answers := p.refresh(call.to)
		p.settle(call.to, append(answers, call.to.queue.Ask(p.now, slotqueue.Request{ID: id, Zone: fmt.Sprint("z", r.zone), Repeat: r.sent > 0, Rejectable: r.sent == 0, Bound: bound, Timeout: replayRoute})...))
	})
	p.after(bound+placementTimeout, func() {
		if !call.over {
			p.giveUp(call)
		}
	})
}

// giveUp ends a call whose reply or grant comes too late.
func (p *replayShards) giveUp(call *replaySlotCall) {
	call.over = true
	p.clients[p.gateway(call.r)].recordWait(p.now, fmt.Sprint("b", call.to.backEnd), p.now-call.askedAt)
	p.end(call.r, call.to, call.id, slotqueue.Other, 0)
	p.next(call.r)
}

// next asks for the next back end, or rejects the request.
func (p *replayShards) next(r *replayRequest) {
	r.ways = r.ways[1:]
	left := r.gatewayAt + replayObjective - p.now - slotqueue.InitialWork
	if len(r.ways) == 0 || r.retry > 0 && left <= 0 {
		p.reject(r, max(minRetryAfter, r.retry))
		return
	}
	p.ask(r)
}

// replied handles the reply to a call.
func (p *replayShards) replied(call *replaySlotCall, a slotqueue.Answer, next time.Duration) {
	if call.over {
		return
	}
	r := call.r
	p.clients[p.gateway(r)].recordWait(p.now, fmt.Sprint("b", call.to.backEnd), next)
	switch {
	case a.BackEnd != "" && p.now-call.askedAt-a.Waited >= maxGrantAge:
		p.giveUp(call)
	case a.BackEnd != "":
		call.over = true
		p.byID[call.id] = call.to
		p.send(r, call.id, a.BackEnd)
	default:
		call.over = true
		if a.RetryAfter > 0 && (r.retry == 0 || a.RetryAfter < r.retry) {
			r.retry = a.RetryAfter
		}
		p.next(r)
	}
}

// TestSlotReplay replays the load of the small service of deployment S with and without shared slots, also while the
// schedulers change and while two serve each back end at once. It guards against sends to back ends whose slots are taken.
func TestSlotReplay(t *testing.T) {
	change := func(now time.Duration, _ int) int { return int(now/(5*time.Second)) % 2 }
	both := func(now time.Duration, gateway int) int {
		if now > 10*time.Second && now < 16*time.Second { // a zone is cut off
			return min(1, gateway%replayS.zones)
		}
		return 0
	}
	for _, c := range []struct {
		factor float64
		// maxRejections is the share of arrivals that back ends may reject with shared slots, at all times, with a change
		// of the schedulers every 5 s, and with two for each back end for 6 s.
		maxRejections, maxAtChange, maxWithTwo float64
		minGain                                int // requests more on time than without shared slots
	}{
		{1, 0.002, 0.005, 0.005, -5}, // today's choice varies by a few requests from run to run
		{1.5, 0.002, 0.005, 0.01, 10},
		{2, 0.002, 0.005, 0.02, 200},
	} {
		const seed = 7
		zone, shared := replayByZone(replayS, c.factor, seed), replayShared(replayS, c.factor, seed, replayOptions{})
		changed, two := replayShared(replayS, c.factor, seed, replayOptions{generation: change}), replayShared(replayS, c.factor, seed, replayOptions{generation: both})
		t.Logf("%.1f x %.0f requests/s:\n  by zone          %+v\n  shared           %+v\n  change every 5 s %+v\n  two for 6 s      %+v", c.factor, replayS.rate, zone, shared, changed, two)
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

// TestSlotReplayOfBurst replays 500 requests/s on 6 back ends of 6 slots. It guards against a scheduler that takes more
// messages than it can handle, and against one late scheduler that delays the requests of all back ends.
func TestSlotReplayOfBurst(t *testing.T) {
	const seed = 7
	late := func(now time.Duration, backEnd int) time.Duration {
		if backEnd == 0 && now > 10*time.Second && now < 20*time.Second {
			return 300 * time.Millisecond
		}
		return 0
	}
	zone := replayByZone(replayK, 1, seed)
	results := map[string]replayResult{"by zone": zone, "250 requests/s": replayShared(replayK, 0.5, seed, replayOptions{messageTime: replayMessageTime})}
	for name, options := range map[string]replayOptions{
		"sharded": {}, "sharded, slow messages": {messageTime: replayMessageTime}, "one scheduler, slow messages": {messageTime: replayMessageTime, one: true}, "one of six is 300 ms late": {backlog: late},
	} {
		results[name] = replayShared(replayK, 1, seed, options)
	}
	for name, r := range results {
		t.Logf("%-28s %+v", name, r)
		if r.onTime+r.late+r.rejected != r.arrived {
			t.Errorf("%s: %+v does not add up", name, r)
		}
		if name == "by zone" {
			continue
		}
		// The bound of the first call is the mean work, that of the second what the objective leaves; each may be exceeded
		// by placementTimeout.
		if r.longestHold > replayObjective {
			t.Errorf("%s: a request is held for %v, want at most %v", name, r.longestHold, replayObjective)
		}
		if r.backEndRejections > 0 {
			t.Errorf("%s: %d sends to back ends whose slots are taken", name, r.backEndRejections)
		}
	}
	for name, want := range map[string]struct{ onTime, rejected float64 }{ // shares of the arrivals
		"250 requests/s": {0.975, 0.001}, "sharded": {0.83, 0.035}, "sharded, slow messages": {0.80, 0.07}, "one of six is 300 ms late": {0.79, 0.08},
	} {
		r := results[name]
		if onTime, rejected := float64(r.onTime)/float64(r.arrived), float64(r.rejected)/float64(r.arrived); onTime < want.onTime || rejected > want.rejected {
			t.Errorf("%s: on time %.3f, rejected %.3f, want %+v", name, onTime, rejected, want)
		}
	}
	if sharded, one := results["sharded, slow messages"], results["one scheduler, slow messages"]; one.onTime > sharded.onTime/2 {
		t.Errorf("one scheduler serves %d on time, %d with one a back end: the load of messages is not replayed", one.onTime, sharded.onTime)
	}
}
