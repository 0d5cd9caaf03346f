package gateway

import (
	"math"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/enginequeue"
	"kitetiller/internal/mechanism"
)

// firstEventReportDelay is how long a stream must go on after its first event for the event to be reported on its own.
// The report of the end follows at once otherwise, and carries the time of the first event.
const firstEventReportDelay = 20 * time.Millisecond

// maxFirstEventTime bounds the time to a first event and the age of announcements in messages; a longer one is absurd.
const maxFirstEventTime = time.Hour

// firstEventTime converts received milliseconds. Negative or absurd ones yield -1.
func firstEventTime(ms int64) time.Duration {
	if ms < 0 || ms > maxFirstEventTime.Milliseconds() {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// shortestEventGaps returns, by service, the shortest of the longest permitted gaps between events of the streaming
// routes to it.
func shortestEventGaps(document *catalog.Document) map[string]time.Duration {
	gaps := map[string]time.Duration{}
	for i := range document.Routes {
		route := &document.Routes[i]
		if !route.Streaming || route.MaxEventGap <= 0 {
			continue
		}
		for _, target := range route.Targets {
			if known, found := gaps[target.Service]; target.Weight > 0 && (!found || route.MaxEventGap < known) {
				gaps[target.Service] = route.MaxEventGap
			}
		}
	}
	return gaps
}

// setView installs a new view, and lets the latency-critical services of the view have queues.
func (g *Gateway) setView(next *view) {
	t, previous := g.table, g.view.Load()
	var moved map[string][]string
	if previous != nil {
		moved = next.movedStreams(previous)
	}
	t.mutex.Lock()
	for service := range next.services {
		if !next.critical[service] || !g.enabled(mechanism.EngineQueue) && !g.enabled(mechanism.PauseBound) {
			continue
		}
		rates := t.queueRates[service]
		if rates == nil {
			rates = enginequeue.NewRates()
			t.queueRates[service] = rates
		}
		rates.SetEventTokens(next.offer(service).EventTokens)
		rates.SetEngines(len(t.services[service]))
	}
	for service := range t.queueRates {
		if !next.critical[service] {
			delete(t.queueRates, service)
			for _, row := range t.services[service] {
				row.queue = nil
			}
		}
	}
	if previous != nil {
		t.keepTimeouts(g.now(), previous)
		t.recordMoves(g.now(), moved)
	}
	t.mutex.Unlock()
	if previous != nil {
		next.sharingEpoch = max(next.sharingEpoch, previous.sharingEpoch)
		g.recordSharingEpoch(previous, next)
	}
	g.view.Store(next)
}

// queueOf returns the queue of an engine, or nil if its service has none. The caller holds the mutex.
func (t *table) queueOf(row *endpoint) *enginequeue.Queue {
	rates := t.queueRates[row.entry.Service]
	if rates == nil {
		return nil
	}
	return row.queueWith(rates)
}

// queueWith returns the queue of an engine, creating it on first use.
func (e *endpoint) queueWith(rates *enginequeue.Rates) *enginequeue.Queue {
	if e.queue == nil {
		e.queue = enginequeue.New(rates)
	}
	return e.queue
}

// predictPrefill returns how long the request waits at the engine for its prefill, and how long its prefill takes after
// that, in milliseconds. For services with queues the latter includes the time until the first event.
func (g *Gateway) predictPrefill(now time.Duration, scored *candidate, in *selectionInput) (wait, prefillTime float64) {
	if in.rates != nil {
		f := scored.row.queueWith(in.rates).Forecast(now, in.priority, scored.uncached)
		scored.pause = float32(belief.Milliseconds(f.Pause))
		if g.enabled(mechanism.EngineQueue) {
			scored.engineIdle, scored.slowness = f.Idle, float32(f.Slowness)
			return belief.Milliseconds(f.Wait), belief.Milliseconds(f.FirstEvent - f.Wait)
		}
	}
	queue := max(0, scored.row.prefillBusyUntil-now)
	scored.engineIdle = queue == 0
	return belief.Milliseconds(queue), belief.Milliseconds(g.table.prefillEstimate(in.service.Name).PrefillTime(scored.uncached))
}

// prefillToFirstEvent returns the predicted time from the start of the prefill to the first event, in milliseconds, or 0 if no
// engine queue forecast it.
func (c *candidate) prefillToFirstEvent() float64 {
	if c.slowness == 0 {
		return 0
	}
	return c.wait - c.queueWait
}

// queueStats describes the queues of one service.
type queueStats struct {
	outstanding int     // requests without a first event
	slowness    float64 // within which 9 of 10 recent first events stayed
	dropped     uint64  // implausible values
}

// queueStats returns the state of the queues by service.
func (t *table) queueStats() map[string]queueStats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := map[string]queueStats{}
	for service, rates := range t.queueRates {
		stats := queueStats{slowness: rates.Slowness(), dropped: rates.Dropped()}
		for _, row := range t.services[service] {
			if row.queue != nil {
				stats.outstanding += row.queue.Outstanding()
			}
		}
		all[service] = stats
	}
	return all
}

// assignQueueNumber gives a chosen placement the number under which its first event is reported to other schedulers. If
// nobody will report it, the number stays 0, and queues run the request down by time: it would count as overdue otherwise.
// The caller holds the mutex.
func (t *table) assignQueueNumber(chosen *candidate, in selectionInput) {
	if in.rates != nil {
		chosen.priority = int8(min(max(in.priority, 0), lowestPriority))
		if in.reportsFirstEvent {
			t.lastQueueNumber++
			chosen.queueNumber = t.lastQueueNumber
		}
	}
}

// ownQueueID returns the ID in queues of a placement that this gateway made.
func ownQueueID(number uint64) enginequeue.ID { return enginequeue.ID{Number: number} }

// queueSent adds a placement of this gateway to the queue of its engine. The caller holds the mutex.
func (t *table) queueSent(now time.Duration, row *endpoint, number uint64, priority, uncached int) {
	if queue := t.queueOf(row); queue != nil {
		queue.Sent(now, enginequeue.Request{ID: ownQueueID(number), Priority: priority, Tokens: uncached})
	}
}

// queuedRequest is a placement that this gateway made, as it is known in the queue of its engine.
type queuedRequest struct {
	number      uint64        // 0 if the service has no queues, or nobody reports the first event
	placedAt    time.Duration // by the clock of this gateway
	firstEvent  bool          // the first event was recorded
	workAtFirst float64       // as of enginequeue.Queue.Work
}

// recordFirstEvent records the first event of a placement of this gateway, and returns the announcement of it to other
// schedulers. ok is false if there is nothing new or the time is absurd. The caller holds the mutex.
func (t *table) recordFirstEvent(now, at time.Duration, row *endpoint, request *queuedRequest) (announced queueAnnouncement, ok bool) {
	queue := t.queueOf(row)
	if queue == nil || request.number == 0 || request.firstEvent {
		return queueAnnouncement{}, false
	}
	if !queue.FirstEvent(now, at, ownQueueID(request.number)) {
		return queueAnnouncement{}, false
	}
	request.firstEvent, request.workAtFirst = true, queue.Work()
	return queueAnnouncement{Number: request.number, FirstEvent: true, FirstEventAge: max(0, now-at)}, true
}

// endQueued records the end of a placement of this gateway. first is the time from its start to the first event, or 0
// if there was none; an absurd one counts as none. lasted is the time from its start to its end, and pause the longest
// one between two events. endQueued returns what other schedulers have to know of it beyond the end. The caller holds the
// mutex.
func (t *table) endQueued(now time.Duration, row *endpoint, request *queuedRequest, first, lasted, pause time.Duration) queueAnnouncement {
	queue := t.queueOf(row)
	if queue == nil || request.number == 0 {
		return queueAnnouncement{}
	}
	var announced queueAnnouncement
	if !request.firstEvent {
		switch {
		case first > 0:
			announced, _ = t.recordFirstEvent(now, request.placedAt+first, row, request)
		case first < 0:
			t.queueRates[row.entry.Service].RecordDropped()
		}
		if !request.firstEvent {
			queue.Removed(now, ownQueueID(request.number))
			announced = queueAnnouncement{Number: request.number, Removed: true}
		}
	}
	if request.firstEvent && pause > 0 {
		t.queueRates[row.entry.Service].ObservePause(pause, lasted-first, queue.Work()-request.workAtFirst, queue.Slowness(now))
	}
	return announced
}

// queueAnnouncement is what an announcement tells about a request in the queue of its engine.
type queueAnnouncement struct {
	Number        uint64        // of the request at the announcing gateway; 0 if it will not report a first event
	Priority      int           // of a new request
	FirstEvent    bool          // the request had its first event
	FirstEventAge time.Duration // time from the first event to the announcement
	Removed       bool          // the request ended without a first event
}

// applyQueueAnnouncement applies what another scheduler announced of an event at a time. The age of an announcement must
// not put it in the future, which would count as the present from then on. The caller holds the mutex.
func (t *table) applyQueueAnnouncement(now, at time.Duration, row *endpoint, sent *announcement) {
	queue := t.queueOf(row)
	if queue == nil || sent.Gateway == "" {
		return
	}
	if sent.Age > maxFirstEventTime {
		t.queueRates[row.entry.Service].RecordDropped()
		return
	}
	at = min(at, now)
	id := enginequeue.ID{Scheduler: sent.Gateway, Number: sent.Queue.Number}
	switch {
	case sent.Queue.FirstEvent:
		queue.FirstEvent(now, at-sent.Queue.FirstEventAge, id)
	case sent.Queue.Removed:
		queue.Removed(now, id)
	case sent.Salt != "":
		queue.Sent(at, enginequeue.Request{ID: id, Priority: sent.Queue.Priority, Tokens: sent.Uncached})
	}
}

// onFirstEvent records the first event of an attempt. It is reported to the schedulers if the stream goes on.
func (a *attempt) onFirstEvent(now time.Duration) {
	g := a.exchange.gateway
	a.firstEventAt = now
	if a.plan.slowness > 0 && a.plan.wait > 0 && g.enabled(mechanism.EngineQueue) {
		g.metrics.firstEventRatio.WithLabelValues(a.exchange.service.Name).Observe(belief.Milliseconds(now-a.startedAt) / a.plan.wait)
	}
	if placed := a.plan.scheduled; placed != nil {
		if placed.reportFirstEvent {
			after := now - a.startedAt
			a.firstEventTimer = time.AfterFunc(firstEventReportDelay, func() {
				g.schedulers.reportEnd(placed.scheduler, wirePlacementEnd{
					PlacementID: placed.placementID, Gateway: g.shortName, Running: true, FirstEventMS: max(1, after.Milliseconds()),
				})
			})
		}
		return
	}
	if a.queued.number == 0 {
		return
	}
	g.table.mutex.Lock()
	announced, ok := g.table.recordFirstEvent(now, now, a.row, &a.queued)
	g.table.mutex.Unlock()
	if !ok {
		return
	}
	a.firstEventTimer = time.AfterFunc(firstEventReportDelay, func() {
		if a.firstEventAnnounced.CompareAndSwap(false, true) {
			g.announceFirstEvent(g.now(), now, a.row, announced)
		}
	})
}

// announceFirstEvent announces a first event to other schedulers, with the load of this gateway as any announcement.
func (g *Gateway) announceFirstEvent(now, at time.Duration, row *endpoint, announced queueAnnouncement) {
	g.table.mutex.Lock()
	load, instance := row.occupancy.Local(), row.entry.ID
	g.table.mutex.Unlock()
	announced.FirstEventAge = max(0, now-at)
	g.peers.announce(announcement{Gateway: g.shortName, Load: load, Instance: instance, Queue: announced})
}

// endQueued records the end of an attempt that this gateway placed itself, and returns what is to be announced of its
// queue with the end.
func (a *attempt) endQueued(now time.Duration) queueAnnouncement {
	t := a.exchange.gateway.table
	t.mutex.Lock()
	defer t.mutex.Unlock()
	announced := t.endQueued(now, a.row, &a.queued, a.timeToOwnFirstEvent(), now-a.startedAt, a.longestGap)
	if a.queued.firstEvent && a.firstEventAnnounced.CompareAndSwap(false, true) {
		announced = queueAnnouncement{Number: a.queued.number, FirstEvent: true, FirstEventAge: max(0, now-a.firstEventAt)}
	}
	return announced
}

// stopFirstEventTimer prevents the report of a first event, as the report of the end follows.
func (a *attempt) stopFirstEventTimer() {
	if a.firstEventTimer != nil {
		a.firstEventTimer.Stop()
	}
}

// recordEvent records the arrival of an event of the attempt's stream.
func (a *attempt) recordEvent(now time.Duration) {
	if a.firstEventAt == 0 {
		a.latestEventAt = now
		a.onFirstEvent(now)
	}
	a.longestGap = max(a.longestGap, now-a.latestEventAt)
	a.latestEventAt = now
}

// handleFirstEvent handles another gateway's report that a request which this gateway placed had its first event.
func (g *Gateway) handleFirstEvent(now time.Duration, report *wirePlacementEnd) {
	t := g.table
	t.mutex.Lock()
	p, known := t.placed[report.PlacementID]
	if !known {
		t.mutex.Unlock()
		return
	}
	after := firstEventTime(report.FirstEventMS)
	if after <= 0 { // a report without a time is absurd as well
		if rates := t.queueRates[p.row.entry.Service]; rates != nil {
			rates.RecordDropped()
		}
		t.mutex.Unlock()
		return
	}
	announced, ok := t.recordFirstEvent(now, p.queued.placedAt+after, p.row, &p.queued)
	t.placed[report.PlacementID] = p
	load, instance := p.row.occupancy.Local(), p.row.entry.ID
	t.mutex.Unlock()
	if ok {
		announced.FirstEventAge = clampAge(announced.FirstEventAge)
		g.peers.announce(announcement{Gateway: g.shortName, Load: load, Instance: instance, Queue: announced})
	}
}

// clampAge bounds an age that is announced.
func clampAge(age time.Duration) time.Duration { return min(max(age, 0), maxFirstEventTime) }

// observeForecastWait records how long a request waited before its prefill started, compared with the predicted
// milliseconds, given the predicted time from the start of its prefill to its first event.
func (t *table) observeForecastWait(service string, priority int, predicted, own float64, first, stayed time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	controller := t.admissionController(service)
	predictedWait := belief.FromMilliseconds(predicted)
	if first > 0 {
		controller.ObserveWait(priority, predictedWait, max(0, first-belief.FromMilliseconds(own)))
		return
	}
	if stayed > controller.ExpectedWait(priority, predictedWait) {
		controller.ObserveWait(priority, predictedWait, stayed)
	}
}

// pauseCost returns the cost of a placement that makes the streams running at an engine pause for longer than
// permitted, in milliseconds.
func (g *Gateway) pauseCost(scored *candidate, in *selectionInput, running int) float64 {
	if in.rates == nil || in.maxEventGap <= 0 || in.offer.EventTokens <= 0 || !g.enabled(mechanism.PauseBound) {
		return 0
	}
	if running <= scored.row.queue.Outstanding() {
		return 0 // no stream runs there
	}
	return enginequeue.PauseCost(belief.FromMilliseconds(float64(scored.pause)) - in.maxEventGap)
}

// setForecast sets the fields that the requesting gateway logs.
func (r *wirePlacementReply) setForecast(chosen *candidate) {
	if chosen.slowness > 0 {
		r.QueueMS, r.PauseMS, r.Slowness = chosen.queueWait, chosen.pause, chosen.slowness
	}
}

// toWire sets the fields of a message.
func (q queueAnnouncement) toWire(w *wireAnnouncement) {
	w.QueueNumber, w.QueuePriority, w.FirstEvent, w.Removed = q.Number, q.Priority, q.FirstEvent, q.Removed
	w.FirstEventAgeMS = q.FirstEventAge.Milliseconds()
}

// queueAnnouncement returns what a message tells about the queue of an engine. Absurd numbers are passed on to the
// queue, which drops and counts them.
func (w *wireAnnouncement) queueAnnouncement() queueAnnouncement {
	age := time.Duration(math.MinInt64 / 4) // in the future
	if t := firstEventTime(w.FirstEventAgeMS); t >= 0 {
		age = t
	}
	return queueAnnouncement{Number: w.QueueNumber, Priority: w.QueuePriority, FirstEvent: w.FirstEvent, FirstEventAge: age, Removed: w.Removed}
}
