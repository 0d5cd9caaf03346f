package gateway

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/slotqueue"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/transport"
)

const (
	// slotPollInterval is the maximum time between two looks at the back ends while requests wait for a slot: nothing
	// else tells that a back end's backoff or avoidance has ended.
	slotPollInterval = 20 * time.Millisecond
	minSlotPoll      = time.Millisecond
	// slotWaitWindow is the time over which the longest wait is measured; the previous window counts, too.
	slotWaitWindow = 10 * time.Second
)

// slotDesk assigns the slots of back ends of small services, at the gateway that is the scheduler of these back ends. It
// is safe for concurrent use. Its mutex is acquired before the table's.
type slotDesk struct {
	gateway *Gateway

	mu       sync.Mutex
	backEnds map[string]*slotBackEnd    // by ID
	removed  map[string]slotqueue.Stats // counts of the queues that were removed, by service
}

// slotBackEnd is the state of one back end.
type slotBackEnd struct {
	service string
	queue   *slotqueue.Queue
	pending map[string]pendingSlot // waiting requests by placement ID
	timer   *time.Timer            // runs the next tick; nil before the first
	// current is the list last given to the queue, of one element or none.
	current []slotqueue.BackEnd
	// longestWaits are the longest waits of the current and the previous window.
	longestWaits  [2]time.Duration
	windowStarted time.Duration
}

// eligible reports whether the back end may get requests.
func (s *slotBackEnd) eligible() bool { return len(s.current) > 0 && s.current[0].Eligible }

// pendingSlot is a request that waits for a slot.
type pendingSlot struct {
	req     *wirePlacementRequest
	respond func(wirePlacementReply)
}

// slotReply is an answer that is sent once the desk's mutex is released.
type slotReply struct {
	respond func(wirePlacementReply)
	reply   wirePlacementReply
	placed  *candidate // to announce, or nil
	load    belief.Load
}

func newSlotDesk(g *Gateway) *slotDesk {
	return &slotDesk{gateway: g, backEnds: map[string]*slotBackEnd{}, removed: map[string]slotqueue.Stats{}}
}

// servesSlots reports whether this gateway answers a placement request from the back end's queue. A request that names no
// back end is answered as without shared slots.
func (g *Gateway) servesSlots(req *wirePlacementRequest) bool {
	if req.WaitMS == nil || req.BackEnd == "" || !g.enabled(mechanism.SharedSlots) {
		return false
	}
	service := g.smallService(req.Service)
	return service != nil && !service.Engine
}

// smallService returns a service of the current view, or nil.
func (g *Gateway) smallService(name string) *catalog.Service {
	current := g.view.Load()
	if current == nil {
		return nil
	}
	return current.services[name]
}

// ask adds a request to the queue of the back end that it names. respond is called once, when a slot is granted or the
// request is rejected, and at once, without a back end, if that may get no requests.
func (d *slotDesk) ask(now time.Duration, req *wirePlacementRequest, respond func(wirePlacementReply)) {
	if !d.gateway.hasBackEnd(req.Service, req.BackEnd) {
		respond(wirePlacementReply{})
		return
	}
	d.mu.Lock()
	s := d.backEnds[req.BackEnd]
	if s == nil {
		s = &slotBackEnd{service: req.Service, queue: slotqueue.New(), pending: map[string]pendingSlot{}}
		d.backEnds[req.BackEnd] = s
	}
	answers := d.refresh(now, req.BackEnd, s)
	undecided := wirePlacementReply{}
	_, repeated := s.pending[req.PlacementID]
	if !s.eligible() {
		undecided = wirePlacementReply{Slot: true, NextWaitMS: s.queue.NextWait(now).Milliseconds()}
	}
	if repeated || !s.eligible() {
		replies := d.settle(now, s, answers)
		d.schedule(now, req.BackEnd, s)
		d.mu.Unlock()
		d.send(now, replies)
		respond(undecided)
		return
	}
	s.pending[req.PlacementID] = pendingSlot{req: req, respond: respond}
	replies := d.settle(now, s, append(answers, s.queue.Ask(now, req.slotRequest())...))
	d.schedule(now, req.BackEnd, s)
	d.mu.Unlock()
	d.send(now, replies)
}

// slotRequest returns the request as the queue sees it. Negative numbers are kept, so that the queue counts them.
func (q *wirePlacementRequest) slotRequest() slotqueue.Request {
	return slotqueue.Request{
		ID: q.PlacementID, Zone: q.Zone, Priority: q.Priority, Repeat: !q.FirstAttempt, Rejectable: q.FirstAttempt, Excluded: q.Excluded,
		Bound: signedDurationFromMS(*q.WaitMS), Timeout: signedDurationFromMS(q.TimeoutMS),
	}
}

// end records the end of a request at a back end, or in its queue.
func (d *slotDesk) end(now time.Duration, backEnd string, end *wirePlacementEnd) {
	d.mu.Lock()
	s := d.backEnds[backEnd]
	if s == nil {
		d.mu.Unlock()
		return
	}
	outcome := slotqueue.Other
	switch {
	case end.Outcome == outcomeRejected, end.Unreached:
		outcome = slotqueue.Rejected
	case end.Outcome == outcomeSuccess:
		outcome = slotqueue.Success
	}
	took := signedDurationFromMS(end.DurationMS)
	answers := d.refresh(now, backEnd, s)
	replies := d.settle(now, s, append(answers, s.queue.End(now, end.PlacementID, outcome, took)...))
	d.schedule(now, backEnd, s)
	d.mu.Unlock()
	d.send(now, replies)
}

// count counts a request of a gateway that does not know of the queue, if this gateway has one for the back end.
func (d *slotDesk) count(now time.Duration, req *wirePlacementRequest, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.backEnds[instance]; s != nil {
		s.queue.Count(now, req.PlacementID, instance, durationFromMS(req.TimeoutMS))
	}
}

// tick grants and rejects what is due.
func (d *slotDesk) tick(backEnd string) {
	now := d.gateway.now()
	d.mu.Lock()
	s := d.backEnds[backEnd]
	if s == nil {
		d.mu.Unlock()
		return
	}
	replies := d.settle(now, s, d.refresh(now, backEnd, s))
	d.schedule(now, backEnd, s)
	d.mu.Unlock()
	d.send(now, replies)
}

// refresh updates the back end of a queue. The caller holds the mutex.
func (d *slotDesk) refresh(now time.Duration, id string, s *slotBackEnd) []slotqueue.Answer {
	s.current = s.current[:0]
	if service := d.gateway.smallService(s.service); service != nil {
		if current, known := d.gateway.currentSlots(now, service, id); known {
			s.current = append(s.current, current)
		}
	}
	return s.queue.SetBackEnds(now, s.current)
}

// schedule sets the timer of the next tick. The caller holds the mutex.
func (d *slotDesk) schedule(now time.Duration, id string, s *slotBackEnd) {
	due, waits := s.queue.NextAt(now)
	if !waits {
		return
	}
	delay := max(minSlotPoll, min(due-now, slotPollInterval))
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, func() { d.tick(id) })
		return
	}
	s.timer.Reset(delay)
}

// settle turns the queue's answers into replies and counts the granted requests at their back ends. The caller holds the
// mutex and calls send after releasing it.
func (d *slotDesk) settle(now time.Duration, s *slotBackEnd, answers []slotqueue.Answer) []slotReply {
	if len(answers) == 0 {
		return nil
	}
	nextWait := s.queue.NextWait(now).Milliseconds()
	replies := make([]slotReply, 0, len(answers))
	for _, answer := range answers {
		asked, known := s.pending[answer.ID]
		if !known {
			continue
		}
		delete(s.pending, answer.ID)
		s.recordWait(now, answer.Waited)
		settled := slotReply{respond: asked.respond}
		switch {
		case answer.RetryAfter > 0:
			settled.reply = wirePlacementReply{Slot: true, RetryAfterMS: max(1, answer.RetryAfter.Milliseconds()), WaitedMS: answer.Waited.Milliseconds(), NextWaitMS: nextWait}
		case answer.BackEnd != "":
			settled.reply = wirePlacementReply{Slot: true, Instance: answer.BackEnd, WaitedMS: answer.Waited.Milliseconds(), NextWaitMS: nextWait}
			settled.placed, settled.load = d.gateway.countGrant(now, asked.req, answer.BackEnd)
			if settled.placed == nil {
				break
			}
			if limit, _ := d.gateway.table.advertisedLimit(now, settled.placed.row); limit != nil {
				settled.reply.Limit, settled.reply.LimitAgeMS = &limit.Rate, limit.Age.Milliseconds()
			}
		}
		replies = append(replies, settled)
	}
	return replies
}

// send announces the granted requests and answers their gateways.
func (d *slotDesk) send(now time.Duration, replies []slotReply) {
	for _, settled := range replies {
		settled.respond(settled.reply)
		if settled.placed != nil {
			d.gateway.announcePlacement(now, settled.placed, nil, settled.load)
		}
	}
}

// countGrant counts a request of another gateway at the back end that was granted. It returns nil for a request of this
// gateway, which counts and announces it when it is sent.
func (g *Gateway) countGrant(now time.Duration, req *wirePlacementRequest, instance string) (*candidate, belief.Load) {
	if req.Gateway == g.shortName {
		return nil, belief.Load{}
	}
	g.table.mutex.Lock()
	row := g.table.rows[instance]
	g.table.mutex.Unlock()
	if row == nil {
		return nil, belief.Load{}
	}
	call := req.call()
	load := g.table.addPlacement(now, req.PlacementID, placement{row: row, load: loadOf(&call), expiresAt: now + durationFromMS(req.TimeoutMS), priority: req.Priority, slot: true})
	return &candidate{row: row}, load
}

// anyCall is a call without properties, for the eligibility of back ends for any request. It is not modified.
var anyCall Call

// hasBackEnd reports whether a small service has a back end.
func (g *Gateway) hasBackEnd(service, id string) bool {
	if g.smallService(service) == nil {
		return false
	}
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	row := g.table.rows[id]
	return row != nil && row.entry.Service == service
}

// currentSlots returns a back end of a service as its queue sees it.
func (g *Gateway) currentSlots(now time.Duration, service *catalog.Service, id string) (current slotqueue.BackEnd, known bool) {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	row := g.table.rows[id]
	if row == nil || row.entry.Service != service.Name {
		return current, false
	}
	in := selectionInput{service: service, call: &anyCall, sentByPeer: true}
	return slotqueue.BackEnd{ID: id, Zone: row.entry.Zone, Slots: row.entry.Slots, Eligible: g.eligible(now, row, in), Avoided: g.avoided(now, row)}, true
}

// avoided reports whether a back end gets requests of a small service only if there is no other. The caller holds the
// table's mutex.
func (g *Gateway) avoided(now time.Duration, row *endpoint) bool {
	return row.entry.Silent || g.enabled(mechanism.FailureAvoidance) && (now < row.avoidUntil || row.unresponsive(now))
}

// recordWait records the wait of an answered request.
func (s *slotBackEnd) recordWait(now, waited time.Duration) {
	if now >= s.windowStarted+slotWaitWindow {
		s.longestWaits[1] = 0
		if now < s.windowStarted+2*slotWaitWindow {
			s.longestWaits[1] = s.longestWaits[0]
		}
		s.longestWaits[0], s.windowStarted = 0, now
	}
	s.longestWaits[0] = max(s.longestWaits[0], waited)
}

// sweep removes the queues of back ends that have left the roster, once nothing waits or runs there.
func (d *slotDesk) sweep(now time.Duration) {
	d.mu.Lock()
	ids := slices.Collect(maps.Keys(d.backEnds))
	d.mu.Unlock()
	for _, id := range ids {
		d.tick(id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.backEnds {
		if s.queue.Idle(now) && !d.gateway.hasBackEnd(s.service, id) {
			d.removed[s.service] = addStats(d.removed[s.service], s.queue.Stats())
			delete(d.backEnds, id)
		}
	}
}

// addStats returns the sums of counts.
func addStats(a, b slotqueue.Stats) slotqueue.Stats {
	return slotqueue.Stats{Granted: a.Granted + b.Granted, Rejected: a.Rejected + b.Rejected, Invalid: a.Invalid + b.Invalid}
}

// handleSlotRequest handles another gateway's request for a slot. The call is held open until it is answered.
func (g *Gateway) handleSlotRequest(req *wirePlacementRequest, respond transport.Respond) {
	g.slotDesk.ask(g.now(), req, func(reply wirePlacementReply) { respond(http.StatusOK, reply) })
}
