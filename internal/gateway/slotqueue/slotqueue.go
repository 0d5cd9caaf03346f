// Package slotqueue assigns the slots of a small service's back ends to requests, and orders the requests that wait for
// one. It has no I/O, locks, clock or randomness: all times are passed in and must not decrease.
//
// A queue counts what it granted until the end is reported or the request has timed out, and never grants more than a
// back end's slots. Waiting requests are ordered by priority, then first tries before repeats, then arrival. Each is
// answered by the end of its bound.
package slotqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxPriority is the lowest urgency; 0 is the highest.
	MaxPriority = 9
	// MaxSlots bounds the slots that a back end can have, and maxDuration the times in requests and reports. Larger
	// values are invalid.
	MaxSlots    = 100_000
	maxDuration = time.Hour
	// maxWaiting bounds the waiting requests, maxCounted the requests counted at back ends that this queue did not
	// grant, and maxEarlyEnds the ends kept of requests that have not arrived yet.
	maxWaiting   = 1024
	maxCounted   = 4096
	maxEarlyEnds = 1024
	// earlyEndTTL is how long an end is kept that arrived before its request: the two use different connections.
	earlyEndTTL = time.Second
	// InitialWork is the mean work assumed before a request has ended, and minWork the least mean.
	InitialWork = 60 * time.Millisecond
	minWork     = time.Millisecond
	// workSmoothing is the weight of the newest sample in the mean work.
	workSmoothing = 0.05
	// takeoverTime is how long half of each back end's slots count as taken at a new scheduler, which does not know
	// what its predecessor granted. A queue without requests for idleReset counts as new again, since another scheduler
	// may have served the service meanwhile.
	takeoverTime = 300 * time.Millisecond
	idleReset    = time.Second
	// noBackEndWait bounds the wait while no back end is eligible. Requests to other services wait as long.
	noBackEndWait = 120 * time.Millisecond
	// MinRetryAfter and maxRetryAfter bound the retry times given.
	MinRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Request asks for a slot.
type Request struct {
	ID         string
	Zone       string // preferred on ties
	Priority   int    // 0 is the most urgent
	Repeat     bool   // a back end was sent the request before
	Rejectable bool   // it may be rejected at once because of the queue ahead
	Excluded   []string
	Bound      time.Duration // how long it may wait
	Timeout    time.Duration // its end is assumed after this
}

// valid reports whether the fields are in range.
func (r *Request) valid() bool {
	return r.ID != "" && r.Priority >= 0 && r.Priority <= MaxPriority && r.Bound >= 0 && r.Bound <= maxDuration && r.Timeout > 0 && r.Timeout <= maxDuration
}

// Answer ends the wait of a request. It is a grant if BackEnd is set, a rejection if RetryAfter is set, and otherwise
// tells that nothing was decided, because the request was invalid or is over.
type Answer struct {
	ID         string
	BackEnd    string
	RetryAfter time.Duration
	Waited     time.Duration
}

// Outcome is what the end of a request shows about its back end.
type Outcome uint8

// Outcomes.
const (
	Other    Outcome = iota
	Success          // it was answered, so its duration is a sample of the work
	Rejected         // the back end had no free slot, or was not reached: all of its slots count as taken
)

// Stats counts decisions since the queue was created.
type Stats struct{ Granted, Rejected, Invalid int }

// running is a request that occupies a slot.
type running struct {
	backEnd   string
	expiresAt time.Duration
	counted   bool // not granted by this queue
}

type waiting struct {
	Request
	since    time.Duration
	until    time.Duration
	sequence uint64
}

// compare orders requests by which is served first.
func (w *waiting) compare(other *waiting) int {
	return cmp.Or(cmp.Compare(w.Priority, other.Priority), CompareBool(w.Repeat, other.Repeat), cmp.Compare(w.sequence, other.sequence))
}

// CompareBool orders false before true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Queue is the state of one service. The zero value is not usable; see New.
type Queue struct {
	backEnds  []*backEnd // in the given order
	waiting   []*waiting // in serving order
	running   map[string]running
	counted   int                      // entries of running not granted by this queue
	expiryAt  time.Duration            // no running request expires before
	earlyEnds map[string]time.Duration // when the end of an unknown request arrived, by ID
	sequence  uint64
	startedAt time.Duration
	lastAskAt time.Duration
	started   bool
	work      time.Duration // smoothed
	returnAt  time.Duration // latest retry time given
	stats     Stats
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{running: map[string]running{}, earlyEnds: map[string]time.Duration{}, work: InitialWork}
}

// Ask adds a request. It returns the requests that are answered now, which may include this one.
func (q *Queue) Ask(now time.Duration, r Request) []Answer {
	if !r.valid() {
		q.stats.Invalid++
		return []Answer{{ID: r.ID}}
	}
	if !q.started || now-q.lastAskAt > idleReset && len(q.running) == 0 && len(q.waiting) == 0 {
		q.started, q.startedAt = true, now
	}
	q.lastAskAt = now
	if _, runs := q.running[r.ID]; runs || q.isWaiting(r.ID) {
		return []Answer{{ID: r.ID}} // a repeated message
	}
	if _, over := q.earlyEnds[r.ID]; over {
		delete(q.earlyEnds, r.ID)
		return []Answer{{ID: r.ID}}
	}
	q.sequence++
	asked := &waiting{Request: r, since: now, until: now + r.Bound, sequence: q.sequence}
	place, _ := slices.BinarySearchFunc(q.waiting, asked, (*waiting).compare)
	q.waiting = slices.Insert(q.waiting, place, asked)
	answers := q.Tick(now)
	place = slices.Index(q.waiting, asked)
	if place < 0 {
		return answers
	}
	slots := q.usableSlots(asked)
	switch {
	case slots == 0:
		asked.until = min(asked.until, now+noBackEndWait)
	case r.Rejectable && q.waitFor(place+1, slots) > r.Bound, len(q.waiting) > maxWaiting:
		last := asked
		if len(q.waiting) > maxWaiting {
			last = q.waiting[len(q.waiting)-1]
		}
		q.removeWaiting(last.ID)
		answers = append(answers, q.reject(now, last))
	}
	return answers
}

// Count counts a request at a back end that was sent there without asking this queue.
func (q *Queue) Count(now time.Duration, id, backEndID string, timeout time.Duration) {
	_, known := q.running[id]
	if id == "" || known || q.counted >= maxCounted || timeout <= 0 || timeout > maxDuration {
		return
	}
	q.counted++
	q.add(id, running{backEnd: backEndID, expiresAt: now + timeout, counted: true})
}

// End records the end of a request, which may be waiting, running or unknown. took is the time since it was sent.
func (q *Queue) End(now time.Duration, id string, outcome Outcome, took time.Duration) []Answer {
	ended, runs := q.running[id]
	if !runs {
		if w := q.removeWaiting(id); w != nil {
			return append([]Answer{{ID: id, Waited: now - w.since}}, q.Tick(now)...)
		}
		if id != "" && len(q.earlyEnds) < maxEarlyEnds {
			q.earlyEnds[id] = now
		}
		return nil
	}
	q.remove(id, ended)
	b := q.backEnd(ended.backEnd)
	switch {
	case outcome == Rejected && b != nil:
		b.assumed, b.assumedAt = max(0, b.Slots-b.running), now
		if b.rejectedAt > 0 && now-b.rejectedAt < takeoverTime {
			b.halvedUntil = now + takeoverTime
		}
		b.rejectedAt = now
	case outcome == Success && took > 0 && took <= maxDuration:
		q.work = max(minWork, q.work+time.Duration(workSmoothing*float64(took-q.work)))
	case took < 0 || took > maxDuration:
		q.stats.Invalid++
	}
	return q.Tick(now)
}

// Tick frees the slots of requests that have timed out, grants free slots, and rejects the requests whose bound has
// passed.
func (q *Queue) Tick(now time.Duration) []Answer {
	if len(q.running) > 0 && now >= q.expiryAt {
		q.expiryAt = now + maxDuration
		for id, r := range q.running {
			if now >= r.expiresAt {
				q.remove(id, r)
				continue
			}
			q.expiryAt = min(q.expiryAt, r.expiresAt)
		}
	}
	for id, at := range q.earlyEnds {
		if now >= at+earlyEndTTL {
			delete(q.earlyEnds, id)
		}
	}
	answers := q.grant(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool {
		if now < w.until {
			return false
		}
		answers = append(answers, q.reject(now, w))
		return true
	})
	return answers
}

// NextAt returns when Tick is due next, and false if nothing is waiting.
func (q *Queue) NextAt(now time.Duration) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	next := q.waiting[0].until
	for _, w := range q.waiting {
		next = min(next, w.until)
	}
	if len(q.running) > 0 {
		next = min(next, max(now, q.expiryAt))
	}
	if takeoverEnd := q.startedAt + takeoverTime; takeoverEnd > now {
		next = min(next, takeoverEnd)
	}
	for _, b := range q.backEnds {
		if b.halvedUntil > now {
			next = min(next, b.halvedUntil)
		}
		if assumed := b.assumedNow(now, q.work); assumed > 0 {
			next = min(next, now+max(minWork, q.work/time.Duration(b.assumed)))
		}
	}
	return next, true
}

// Waiting returns the number of waiting requests and how long the first of them to arrive has waited.
func (q *Queue) Waiting(now time.Duration) (count int, longest time.Duration) {
	for _, w := range q.waiting {
		longest = max(longest, now-w.since)
	}
	return len(q.waiting), longest
}

// NextWait predicts how long a new request of the least urgency would wait.
func (q *Queue) NextWait(now time.Duration) time.Duration {
	free, slots := 0, 0
	for _, b := range q.backEnds {
		if b.Eligible {
			free += max(0, b.Slots-q.taken(now, b))
			slots += b.Slots
		}
	}
	switch {
	case slots == 0:
		return noBackEndWait
	case len(q.waiting) < free:
		return 0
	}
	return q.waitFor(len(q.waiting)+1-free, slots)
}

// Stats returns the counts of decisions.
func (q *Queue) Stats() Stats { return q.stats }

// Idle reports whether the queue holds no requests and was not asked for longer than idleReset.
func (q *Queue) Idle(now time.Duration) bool {
	return len(q.waiting) == 0 && len(q.running) == 0 && now-q.lastAskAt > idleReset
}

// grant gives free slots to the waiting requests in order.
func (q *Queue) grant(now time.Duration) (answers []Answer) {
	if len(q.waiting) == 0 {
		return nil
	}
	free := 0
	for _, b := range q.backEnds {
		if b.Eligible {
			free += max(0, b.Slots-q.taken(now, b))
		}
	}
	for i := 0; i < len(q.waiting) && free > 0; {
		w := q.waiting[i]
		b := q.leastLoaded(now, w)
		if b == nil {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		free--
		q.sequence++
		b.lastGrant = q.sequence
		q.add(w.ID, running{backEnd: b.ID, expiresAt: now + w.Timeout})
		q.stats.Granted++
		answers = append(answers, Answer{ID: w.ID, BackEnd: b.ID, Waited: now - w.since})
	}
	return answers
}

// leastLoaded returns the back end with a free slot that a request gets, or nil: the one with the fewest running
// requests, on ties one in the request's zone, then the one whose latest grant is the oldest.
func (q *Queue) leastLoaded(now time.Duration, w *waiting) *backEnd {
	var best *backEnd
	bestTaken := 0
	onlyAvoided := q.onlyAvoided(w)
	for _, b := range q.backEnds {
		if !usable(b, w) || b.Avoided && !onlyAvoided {
			continue
		}
		taken := q.taken(now, b)
		if taken >= b.Slots {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(taken, bestTaken), CompareBool(b.Zone != w.Zone, best.Zone != w.Zone), cmp.Compare(b.lastGrant, best.lastGrant)) < 0 {
			best, bestTaken = b, taken
		}
	}
	return best
}

func usable(b *backEnd, w *waiting) bool {
	return b.Eligible && b.Slots > 0 && !slices.Contains(w.Excluded, b.ID)
}

// onlyAvoided reports whether every back end that a request may use is avoided.
func (q *Queue) onlyAvoided(w *waiting) bool {
	return !slices.ContainsFunc(q.backEnds, func(b *backEnd) bool { return usable(b, w) && !b.Avoided })
}

// usableSlots returns the slots of the back ends that a request may use.
func (q *Queue) usableSlots(w *waiting) int {
	onlyAvoided, slots := q.onlyAvoided(w), 0
	for _, b := range q.backEnds {
		if usable(b, w) && (onlyAvoided || !b.Avoided) {
			slots += b.Slots
		}
	}
	return slots
}

// waitFor predicts how long it takes until a number of slots have become free, of those that are all taken now.
func (q *Queue) waitFor(count, slots int) time.Duration {
	return time.Duration(float64(q.work) * float64(count) / float64(max(1, slots)))
}

// reject returns the rejection of a request. Retry times are spaced at the rate at which slots become free, so that
// those who return don't all come at once.
func (q *Queue) reject(now time.Duration, w *waiting) Answer {
	q.stats.Rejected++
	slots := max(1, q.usableSlots(w))
	earliest := now + max(MinRetryAfter, q.waitFor(len(q.waiting)+1, slots))
	q.returnAt = min(max(earliest, q.returnAt+q.waitFor(1, slots)), now+maxRetryAfter)
	return Answer{ID: w.ID, RetryAfter: q.returnAt - now, Waited: now - w.since}
}

func (q *Queue) add(id string, r running) {
	if len(q.running) == 0 || r.expiresAt < q.expiryAt {
		q.expiryAt = r.expiresAt
	}
	q.running[id] = r
	if b := q.backEnd(r.backEnd); b != nil {
		b.running++
	}
}

func (q *Queue) remove(id string, r running) {
	delete(q.running, id)
	if r.counted {
		q.counted--
	}
	if b := q.backEnd(r.backEnd); b != nil {
		b.running--
	}
}

func (q *Queue) isWaiting(id string) bool {
	return slices.ContainsFunc(q.waiting, func(w *waiting) bool { return w.ID == id })
}

// removeWaiting removes a waiting request and returns it, or nil.
func (q *Queue) removeWaiting(id string) *waiting {
	for i, w := range q.waiting {
		if w.ID == id {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return w
		}
	}
	return nil
}
