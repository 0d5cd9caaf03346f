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

// slotDesk assigns the slots of small services, at the gateway that is the scheduler of these services. It is safe for
// concurrent use. Its mutex is acquired before the table's.
type slotDesk struct {
	gateway *Gateway

	mu       sync.Mutex
	services map[string]*slotService
}

// slotService is the state of one service.
type slotService struct {
	queue   *slotqueue.Queue
	pending map[string]pendingSlot // waiting requests by placement ID
	timer   *time.Timer            // runs the next tick; nil before the first
	// backEnds is the list last given to the queue; its memory is used again.
	backEnds []slotqueue.BackEnd
	// longestWaits are the longest waits of the current and the previous window.
	longestWaits  [2]time.Duration
	windowStarted time.Duration
}

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
	return &slotDesk{gateway: g, services: map[string]*slotService{}}
}

// servesSlots reports whether this gateway answers a placement request from the service's queue.
func (g *Gateway) servesSlots(req *wirePlacementRequest) bool {
	if req.WaitMS == nil || !g.enabled(mechanism.SharedSlots) {
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

// ask adds a request to its service's queue. respond is called once, when a slot is granted or the request is rejected.
func (d *slotDesk) ask(now time.Duration, req *wirePlacementRequest, respond func(wirePlacementReply)) {
	if d.gateway.smallService(req.Service) == nil {
		respond(wirePlacementReply{})
		return
	}
	d.mu.Lock()
	s := d.services[req.Service]
	if s == nil {
		s = &slotService{queue: slotqueue.New(), pending: map[string]pendingSlot{}}
		d.services[req.Service] = s
	}
	answers := d.refresh(now, req.Service, s)
	if _, repeated := s.pending[req.PlacementID]; repeated {
		replies := d.settle(now, s, answers)
		d.mu.Unlock()
		d.send(now, replies)
		respond(wirePlacementReply{})
		return
	}
	s.pending[req.PlacementID] = pendingSlot{req: req, respond: respond}
	replies := d.settle(now, s, append(answers, s.queue.Ask(now, req.slotRequest())...))
	d.schedule(now, req.Service, s)
	d.mu.Unlock()
	d.send(now, replies)
}

// maxWireMS bounds the milliseconds that are converted to a duration. The queue rejects smaller values that are absurd.
const maxWireMS = int64(24 * time.Hour / time.Millisecond)

// slotRequest returns the request as the queue sees it. Negative numbers are kept, so that the queue counts them.
func (q *wirePlacementRequest) slotRequest() slotqueue.Request {
	duration := func(ms int64) time.Duration {
		return time.Duration(max(-1, min(ms, maxWireMS))) * time.Millisecond
	}
	return slotqueue.Request{
		ID: q.PlacementID, Zone: q.Zone, Priority: q.Priority, Repeat: !q.FirstAttempt, Rejectable: q.FirstAttempt, Excluded: q.Excluded,
		Bound: duration(*q.WaitMS), Timeout: duration(q.TimeoutMS),
	}
}

// end records the end of a request. outcome and took are as reported by the gateway that sent it.
func (d *slotDesk) end(now time.Duration, service string, end *wirePlacementEnd) {
	d.mu.Lock()
	s := d.services[service]
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
	took := time.Duration(max(-1, min(end.DurationMS, maxWireMS))) * time.Millisecond
	answers := d.refresh(now, service, s)
	replies := d.settle(now, s, append(answers, s.queue.End(now, end.PlacementID, outcome, took)...))
	d.schedule(now, service, s)
	d.mu.Unlock()
	d.send(now, replies)
}

// count counts a request of a gateway that does not know of the queue, if this gateway has one for the service.
func (d *slotDesk) count(now time.Duration, req *wirePlacementRequest, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[req.Service]; s != nil {
		s.queue.Count(now, req.PlacementID, instance, durationFromMS(min(req.TimeoutMS, maxWireMS)))
	}
}

// tick grants and rejects what is due.
func (d *slotDesk) tick(service string) {
	now := d.gateway.now()
	d.mu.Lock()
	s := d.services[service]
	if s == nil {
		d.mu.Unlock()
		return
	}
	replies := d.settle(now, s, d.refresh(now, service, s))
	d.schedule(now, service, s)
	d.mu.Unlock()
	d.send(now, replies)
}

// refresh updates the back ends of a queue. The caller holds the mutex.
func (d *slotDesk) refresh(now time.Duration, name string, s *slotService) []slotqueue.Answer {
	s.backEnds = s.backEnds[:0]
	if service := d.gateway.smallService(name); service != nil {
		s.backEnds = d.gateway.slotBackEnds(now, service, s.backEnds)
	}
	return s.queue.SetBackEnds(now, s.backEnds)
}

// schedule sets the timer of the next tick. The caller holds the mutex.
func (d *slotDesk) schedule(now time.Duration, name string, s *slotService) {
	due, waits := s.queue.NextAt(now)
	if !waits {
		return
	}
	delay := max(minSlotPoll, min(due-now, slotPollInterval))
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, func() { d.tick(name) })
		return
	}
	s.timer.Reset(delay)
}

// settle turns the queue's answers into replies and counts the granted requests at their back ends. The caller holds the
// mutex and calls send after releasing it.
func (d *slotDesk) settle(now time.Duration, s *slotService, answers []slotqueue.Answer) []slotReply {
	var replies []slotReply
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
			settled.reply = wirePlacementReply{Slot: true, RetryAfterMS: max(1, answer.RetryAfter.Milliseconds()), WaitedMS: answer.Waited.Milliseconds()}
		case answer.BackEnd != "":
			settled.reply = wirePlacementReply{Slot: true, Instance: answer.BackEnd, WaitedMS: answer.Waited.Milliseconds()}
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

// slotBackEnds appends the back ends of a service as the queue sees them.
func (g *Gateway) slotBackEnds(now time.Duration, service *catalog.Service, backEnds []slotqueue.BackEnd) []slotqueue.BackEnd {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	in := selectionInput{service: service, call: &anyCall, sentByPeer: true}
	for _, row := range g.table.services[service.Name] {
		backEnds = append(backEnds, slotqueue.BackEnd{ID: row.entry.ID, Zone: row.entry.Zone, Slots: row.entry.Slots, Eligible: g.eligible(now, row, in), Avoided: g.avoided(now, row)})
	}
	return backEnds
}

// avoided reports whether a back end gets requests of a small service only if there is no other. The caller holds the
// table's mutex.
func (g *Gateway) avoided(now time.Duration, row *endpoint) bool {
	return row.entry.Silent || g.enabled(mechanism.FailureAvoidance) && (now < row.avoidUntil || row.unresponsive(now))
}

// recordWait records the wait of an answered request.
func (s *slotService) recordWait(now, waited time.Duration) {
	if now >= s.windowStarted+slotWaitWindow {
		s.longestWaits[1] = 0
		if now < s.windowStarted+2*slotWaitWindow {
			s.longestWaits[1] = s.longestWaits[0]
		}
		s.longestWaits[0], s.windowStarted = 0, now
	}
	s.longestWaits[0] = max(s.longestWaits[0], waited)
}

// sweep removes the queues that are no longer asked.
func (d *slotDesk) sweep(now time.Duration) {
	d.mu.Lock()
	names := slices.Collect(maps.Keys(d.services))
	d.mu.Unlock()
	for _, name := range names {
		d.tick(name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.services {
		if s.queue.Idle(now) && d.gateway.smallService(name) == nil {
			delete(d.services, name)
		}
	}
}

// handleSlotRequest handles another gateway's request for a slot. The call is held open until it is answered.
func (g *Gateway) handleSlotRequest(req *wirePlacementRequest, respond transport.Respond) {
	g.slotDesk.ask(g.now(), req, func(reply wirePlacementReply) { respond(http.StatusOK, reply) })
}
