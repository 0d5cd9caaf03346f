// Package enginequeue predicts how long a request waits at an engine for its prefill, when its first event comes, and
// how long the streams running there pause meanwhile. It uses no I/O, locks, clock or randomness of its own.
//
// A Queue lists the requests that were sent to one engine and have had no first event. An engine prefills one chunk of
// one prompt between two decode steps, those of the most urgent request first and requests of equal priority in the
// order of arrival. Times are offsets on the caller's clock. Work is measured in milliseconds at an engine of the
// service's speed; the slowness of an engine is the factor by which it takes longer.
package enginequeue

import (
	"math/bits"
	"slices"
	"time"

	"kitetiller/internal/gateway/belief"
)

const (
	// levels is the number of priorities; 0 is the most urgent.
	levels = 10
	// maxTokens bounds the tokens of one request, and maxOutstanding the requests of one engine.
	maxTokens      = 4 << 20
	maxOutstanding = 1024
	// A request counts for overdueFactor times its predicted time to the first event, or minLifetime if that is more.
	overdueFactor = 4
	minLifetime   = 2 * time.Second
	// recentSmoothing is the weight of the newest first event in the recent slowness of an engine. It returns to the
	// lasting one, of weight lastingSmoothing, within slownessDecay, since the engine gets few requests while it is slow.
	recentSmoothing  = 0.4
	lastingSmoothing = 0.03
	slownessDecay    = 1200 * time.Millisecond
	// A slowness between usualSlowness and its reciprocal counts as 1. Otherwise all schedulers would send to the engine
	// whose latest first events happened to come soonest, before they learn of each other's requests.
	usualSlowness = 1.6
	// sampleInterval is the time between two first events of an engine that count for the slowness of the service: slow
	// engines get fewer requests, but their streams go on.
	sampleInterval = 200 * time.Millisecond
	// negligible is the work that a rounding error of a sum may leave, in milliseconds.
	negligible = 1e-6
	// timeResolution is the resolution of times in messages.
	timeResolution = time.Millisecond
	// peerTimeTolerance is the same for requests that other schedulers placed: a gateway that has used up its share of a
	// processor sends or reads announcements up to 100 ms late, which shifts either time.
	peerTimeTolerance = 100 * time.Millisecond
	// overdueMargin is the factor over the predicted time from which a first event is overdue.
	overdueMargin = 1.2
)

// origin tells who placed a request.
type origin uint8

const (
	own  origin = iota // placed here, known by ID
	peer               // placed by another scheduler
)

// ID identifies a request. Matching by ID rather than by the time of sending does not depend on how long messages take.
type ID struct {
	Scheduler string // that placed it; "" for this one
	Number    uint64 // unique for the scheduler; 0 if nobody will report the first event
}

// origin returns who placed the request.
func (id ID) origin() origin {
	if id.Scheduler != "" {
		return peer
	}
	return own
}

// Request is a request sent to an engine.
type Request struct {
	ID       ID
	Priority int // 0 is the most urgent
	Tokens   int // prompt tokens to prefill
}

// Forecast is the prediction for a request that is sent now.
type Forecast struct {
	Wait       time.Duration // until its prefill starts
	FirstEvent time.Duration // until its first event
	// Pause is the longest pause of the streams running there while the outstanding requests and this one are
	// prefilled, at the slowness within which 9 of 10 first events of the service stay.
	Pause time.Duration
	// Idle is set if nothing is outstanding.
	Idle bool
	// Slowness is the factor by which the engine is taken to be slower than its service.
	Slowness float64
}

// entry is an outstanding request.
type entry struct {
	id        ID
	sentAt    time.Duration
	expiresAt time.Duration
	work      float64
	tokens    int
	alone     bool // nothing else was outstanding when it was sent
}

// level holds the outstanding requests of one priority in the order of their sending.
type level struct {
	entries []entry
	work    float64
}

// Queue is the list of outstanding requests of one engine. It is not safe for concurrent use.
type Queue struct {
	rates  *Rates
	levels [levels]level
	filled uint16 // bit i is set if level i is not empty
	count  int
	work   float64 // of all outstanding requests
	// doneUntil is the time until which the engine worked on requests that are removed: the prefill of the outstanding
	// ones did not begin earlier.
	doneUntil       time.Duration
	completed       float64 // work of all requests that had a first event
	recent, lasting float64 // slowness
	recentAt        time.Duration
	sampledAt       time.Duration // latest sample for the slowness of the service
}

// New returns an empty queue of an engine.
func New(rates *Rates) *Queue { return &Queue{rates: rates, recent: 1, lasting: 1} }

// Outstanding returns the number of outstanding requests.
func (q *Queue) Outstanding() int { return q.count }

// Work returns the work of all requests that had their first event.
func (q *Queue) Work() float64 { return q.completed }

// clampPriority returns a valid priority, and counts an invalid one.
func (q *Queue) clampPriority(priority int) int {
	if priority < 0 || priority >= levels {
		q.rates.dropped++
	}
	return min(max(priority, 0), levels-1)
}

// clampTokens returns a valid number of tokens, and counts an invalid one.
func (q *Queue) clampTokens(tokens int) int {
	if tokens < 0 || tokens > maxTokens {
		q.rates.dropped++
	}
	return min(max(tokens, 0), maxTokens)
}

// Sent adds a request that was sent at a time. One that is known already changes nothing.
func (q *Queue) Sent(at time.Duration, r Request) {
	if _, _, known := q.find(r.ID); known {
		return
	}
	if q.count >= maxOutstanding {
		q.rates.dropped++
		return
	}
	priority, tokens := q.clampPriority(r.Priority), q.clampTokens(r.Tokens)
	expected := q.Forecast(at, priority, tokens)
	e := entry{
		id: r.ID, sentAt: at, tokens: tokens, work: q.rates.work(tokens), alone: q.count == 0 && at >= q.doneUntil,
		expiresAt: at + max(minLifetime, overdueFactor*expected.FirstEvent),
	}
	q.rates.load.record(at, priority, e.work, r.ID.origin())
	l := &q.levels[priority]
	i := len(l.entries)
	for i > 0 && l.entries[i-1].sentAt > at {
		i--
	}
	l.entries = slices.Insert(l.entries, i, e)
	l.work += e.work
	q.work += e.work
	q.filled |= 1 << priority
	q.count++
}

// find returns the level and the position of a request.
func (q *Queue) find(id ID) (priority, index int, found bool) {
	if id.Number == 0 {
		return 0, 0, false
	}
	for filled := q.filled; filled != 0; filled &= filled - 1 {
		priority = bits.TrailingZeros16(filled)
		for i := range q.levels[priority].entries {
			if q.levels[priority].entries[i].id == id {
				return priority, i, true
			}
		}
	}
	return 0, 0, false
}

// remove removes entries of a level.
func (q *Queue) remove(priority, from, to int) {
	l := &q.levels[priority]
	for i := from; i < to; i++ {
		l.work -= l.entries[i].work
		q.work -= l.entries[i].work
	}
	l.entries = slices.Delete(l.entries, from, to)
	q.count -= to - from
	if len(l.entries) == 0 {
		l.work = 0 // clears rounding errors
		q.filled &^= 1 << priority
	}
	if q.count == 0 {
		q.work = 0
	}
}

// FirstEvent records that a request had its first event at a time. A request that is not outstanding changes nothing. A
// time before the sending or after the present is counted and changes nothing; FirstEvent returns false then.
func (q *Queue) FirstEvent(now, at time.Duration, id ID) (plausible bool) {
	priority, index, known := q.find(id)
	if !known {
		return true
	}
	sentAt, tolerance := q.levels[priority].entries[index].sentAt, timeResolution
	if id.origin() == peer {
		tolerance = peerTimeTolerance
	}
	if at < sentAt-tolerance || at > now+tolerance {
		q.rates.dropped++
		return false
	}
	at = max(sentAt, min(at, now))
	q.rates.observeReport(now, at, id)
	q.complete(at, priority, index)
	return true
}

// Removed records that a request ended without a first event.
func (q *Queue) Removed(now time.Duration, id ID) {
	if priority, index, known := q.find(id); known {
		q.removeAt(now, priority, index)
	}
}

// removeAt removes one entry. What the engine did until now counts neither as progress nor as slowness of the others
// if the entry was the next to be prefilled.
func (q *Queue) removeAt(now time.Duration, priority, index int) {
	if index == 0 && priority == bits.TrailingZeros16(q.filled) {
		q.doneUntil = max(q.doneUntil, now)
	}
	q.remove(priority, index, index+1)
}

// complete removes a request that had its first event, and all of at least its priority that were sent before it, and
// learns from the time they took.
func (q *Queue) complete(at time.Duration, priority, index int) {
	e := q.levels[priority].entries[index]
	alone := q.count == 1 && e.alone
	oldest, work := e.sentAt, 0.0
	for p := 0; p <= priority; p++ {
		entries := q.levels[p].entries
		n := index + 1
		if p < priority {
			for n = 0; n < len(entries) && entries[n].sentAt < e.sentAt; n++ {
			}
		}
		if n == 0 {
			continue
		}
		oldest = min(oldest, entries[0].sentAt)
		for i := range n {
			work += entries[i].work
		}
		q.remove(p, 0, n)
	}
	q.completed += work
	start := max(q.doneUntil, oldest)
	afterPrefill := q.rates.decodeTime(q.work, q.rates.load.shares(at, priority).total)
	if elapsed := belief.Milliseconds(at - start); elapsed > 0 {
		q.observeSlowness(at, elapsed/(work+afterPrefill))
		if alone {
			q.rates.observeAlone(e.tokens, elapsed)
		}
	}
	// The prefill ended some decode steps before the event.
	lag := belief.FromMilliseconds(afterPrefill * q.Slowness(at))
	q.doneUntil = max(start, at-lag)
}

func (q *Queue) observeSlowness(at time.Duration, slowness float64) {
	slowness = clamp(slowness, 1/maxSlowness, maxSlowness)
	if at >= q.sampledAt+sampleInterval {
		q.rates.observeSlowness(slowness)
		q.sampledAt = at
	}
	current := q.Slowness(at)
	q.recent = current + recentSmoothing*(slowness-current)
	q.lasting += lastingSmoothing * (slowness - q.lasting)
	q.recentAt = max(q.recentAt, at)
}

// Slowness returns the smoothed slowness of the engine, by its first events.
func (q *Queue) Slowness(now time.Duration) float64 {
	slowness := q.lasting
	if left := 1 - float64(now-q.recentAt)/float64(slownessDecay); left > 0 {
		slowness += min(left, 1) * (q.recent - q.lasting)
	}
	if slowness > 1/usualSlowness && slowness < usualSlowness {
		return 1
	}
	return slowness
}

// Sweep removes requests whose first event is not to be expected any more.
func (q *Queue) Sweep(now time.Duration) {
	for filled := q.filled; filled != 0; filled &= filled - 1 {
		priority := bits.TrailingZeros16(filled)
		for i := len(q.levels[priority].entries) - 1; i >= 0; i-- {
			if q.levels[priority].entries[i].expiresAt <= now {
				q.removeAt(now, priority, i)
			}
		}
	}
}

// expectation tells what is known of a first event that has not been reported.
type expectation uint8

const (
	unreported expectation = iota // no report is expected
	awaited                       // not overdue, or not known to be
	overdue
)

// dueAfter returns the work from the start of the prefill of the next request to its first event, given the load of
// the engine.
func (q *Queue) dueAfter(next *entry, load float64) float64 {
	return next.work + q.rates.decodeTime(q.work-next.work, load)
}

// expectation returns what is known of the first event of the next request. It is overdue only if its scheduler has
// reported another one since it was due: one that ended or is cut off says nothing about the engine.
func (q *Queue) expectation(now time.Duration, next *entry, load float64) expectation {
	last, expected := q.rates.reportsExpected(now, next.id)
	if !expected {
		return unreported
	}
	due := q.dueAfter(next, load)*q.Slowness(now)*overdueMargin + q.rates.delays[next.id.origin()]
	overdueAt := max(q.doneUntil, next.sentAt) + belief.FromMilliseconds(due)
	switch {
	case now <= overdueAt:
		return awaited
	case last >= overdueAt:
		return overdue
	case now < overdueAt+overdueGrace:
		return awaited
	}
	return unreported
}

// runDown removes the next requests that are expired, and those whose first events nobody reports once their predicted
// time has passed. It returns what is known of the first event of the request that is next then.
func (q *Queue) runDown(now time.Duration, load float64) expectation {
	for q.filled != 0 {
		priority := bits.TrailingZeros16(q.filled)
		e := &q.levels[priority].entries[0]
		if e.expiresAt <= now {
			q.removeAt(now, priority, 0)
			continue
		}
		if expected := q.expectation(now, e, load); expected != unreported {
			return expected
		}
		end := max(q.doneUntil, e.sentAt) + belief.FromMilliseconds(e.work*q.Slowness(now))
		if end > now {
			break
		}
		q.remove(priority, 0, 1)
		q.doneUntil = end
	}
	return unreported
}

// Forecast predicts what happens to a request with the given priority and tokens to prefill, if it is sent now.
func (q *Queue) Forecast(now time.Duration, priority, tokens int) Forecast {
	priority, tokens = min(max(priority, 0), levels-1), min(max(tokens, 0), maxTokens)
	r := q.rates
	workOfThis := r.work(tokens)
	load := r.load.shares(now, priority)
	expected := q.runDown(now, load.total)
	slowness := q.Slowness(now)
	unseen := load.peers * r.delays[peer]
	prediction := func(ahead, total float64) Forecast {
		wait := (ahead + unseen) / (1 - load.moreUrgent) // more urgent requests that arrive meanwhile go first
		if ahead == 0 && total > 0 {
			wait += min(total, r.chunkStep/2) // the rest of the chunk that is being prefilled
		}
		first := wait + workOfThis + r.decodeTime(total-ahead, load.total)
		return Forecast{
			Wait: belief.FromMilliseconds(slowness * wait), FirstEvent: belief.FromMilliseconds(slowness * first),
			Pause: belief.FromMilliseconds(max(slowness, r.slowness) * r.pause(total+workOfThis)), Slowness: slowness, Idle: q.filled == 0,
		}
	}
	if q.filled == 0 {
		return prediction(0, 0)
	}
	head := bits.TrailingZeros16(q.filled)
	next := &q.levels[head].entries[0]
	dueAfter := q.dueAfter(next, load.total)
	maxDone := dueAfter
	delay := r.delays[next.id.origin()]
	switch expected {
	case overdue:
		taken := belief.Milliseconds(now-max(q.doneUntil, next.sentAt)) - delay
		slowness = min(taken/dueAfter, maxSlowness)
		maxDone = max(0, next.work-r.chunkStep) // its last chunk at least is not done
	case awaited:
		maxDone += delay / slowness
	case unreported:
	}
	begun, speed := max(q.doneUntil, next.sentAt), 1/slowness
	ahead, doneAbove, above := 0.0, 0.0, 0.0
	for filled := q.filled; filled != 0; filled &= filled - 1 {
		p := bits.TrailingZeros16(filled)
		l := &q.levels[p]
		// What the engine has done since the first request of this priority was sent, without more urgent work. Some of it
		// may have been done before the next request of all came in.
		since := max(q.doneUntil, l.entries[0].sentAt)
		done, limit := belief.Milliseconds(now-since)*speed, maxDone
		if since < begun {
			limit += belief.Milliseconds(begun-since) * speed
		}
		if done > limit {
			done = limit
		}
		if done -= doneAbove; done > l.work {
			done = l.work
		}
		if done > 0 {
			doneAbove += done
		}
		above += l.work
		if p <= priority {
			ahead = above - doneAbove
		}
	}
	total := above - doneAbove
	if ahead < negligible {
		ahead = 0
	}
	return prediction(ahead, total)
}

const (
	// pauseExceededCost is the cost of a placement that makes the streams of an engine pause for too long, in
	// milliseconds, and pauseCostFactor the cost of each millisecond beyond.
	pauseExceededCost = 150.0
	pauseCostFactor   = 3.0
)

// PauseCost returns the cost in milliseconds of a placement at an engine whose streams would pause for longer than
// allowed by a time.
func PauseCost(excess time.Duration) float64 {
	if excess <= 0 {
		return 0
	}
	return pauseExceededCost + pauseCostFactor*belief.Milliseconds(excess)
}
