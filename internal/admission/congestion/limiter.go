// Package congestion bounds how many requests wait for a response of one service's back ends, by what came of earlier ones.
// It uses no I/O, locks, clock or randomness of its own.
//
// Back ends that are out of capacity but don't reject requests answer all of them late. A request that is given up has used
// capacity like one that was answered, so a service which is asked for more than it bears ends up answering none in time. A
// Limiter notices that most back ends leave requests without a response. Then it admits only as many requests as they answer in
// time, by additive increase and multiplicative decrease, and counts requests that were given up until their work is known or
// assumed to be done. While back ends answer in time there is no limit.
package congestion

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// patienceFraction is the fraction of the time a request has within which a back end has to begin its response. It may take
	// growthFactor times the shortest wait of the last responses as well: a service that takes long but no longer than before isn't
	// congested. Under a limit it may take slowFactor times the shortest wait since the limit is in force.
	patienceFraction = 0.5
	growthFactor     = 1.5
	slowFactor       = 1.2
	recentWindow     = 2 * time.Second
	waitWindow       = 30 * time.Second
	// verdictTTL is how long the verdict on a back end counts, in multiples of the patience of the request that is judged now, and
	// minVerdictTTL at least. It is kept for knownTTL.
	verdictTTL    = 3
	minVerdictTTL = 3 * time.Second
	knownTTL      = 30 * time.Second
	// minLate is the least number of late responses that make a service congested, and of late back ends if it has several.
	minLate        = 2
	decreaseFactor = 0.5
	// A limit below one spaces requests: each is sent when the one before has ended, and its patience divided by the limit after it,
	// but maxSpacing at most, so that the end of a congestion is noticed.
	minLimit   = 1.0 / 16
	maxSpacing = 4 * time.Second
	// stallTimeout is how long no request is sent while ones whose time is over are awaited and none is answered: their responses tell
	// soon enough when the back ends are there again.
	stallTimeout = 8 * time.Second
	// A response within promptFraction of the patience raises the limit by one, or doubles one below that. Any other one in time
	// raises it by slowIncrease, or by one for as many responses as the limit if that is less. A late one that is answered raises a
	// limit of one by lateIncrease.
	promptFraction = 0.25
	slowIncrease   = 0.1
	lateIncrease   = 0.03
	// releaseTime is how long a limit stays in force after the last decrease and after the last request that it kept back, and
	// minInTime how many responses in time there have to be since.
	releaseTime = 5 * time.Second
	minInTime   = 3
	// A limit is lifted at once if so many responses in a row to requests that were sent after the last decrease had taken effect come
	// before their deadlines, and none since it took less than slowFraction of the late wait that caused it: fewer requests don't make
	// the wait shorter, so the service takes long by itself.
	minSlowInTime = 3
	slowFraction  = 0.9
	// slowRetryTime is how long such a limit isn't lifted in this way after one that came back into force.
	slowRetryTime = 30 * time.Second
	// maxTracked bounds the back ends whose verdicts are kept.
	maxTracked = 4096
	// wholeTimeFraction is the fraction of the allowed time that a request has left at least whose deadline makes it late.
	wholeTimeFraction = 0.9
	// abandonedLate is how long a request has waited at least that tells of a late back end although it is given up before its time,
	// and abandonedFactor how many times as long as responses usually take.
	abandonedLate   = time.Second
	abandonedFactor = 1.5
	// rerouteTTL is how long late responses limit nothing after a prompt one that came in another way.
	rerouteTTL = 3 * time.Second
	// waitSmoothing is the weight of the newest response in the mean time until responses begin.
	waitSmoothing = 0.2
)

// verdict is the latest one on a back end.
type verdict struct {
	at   time.Duration
	late int // responses in a row that were late; 0 if the latest one was in time
}

// Limiter holds the state of one service. It is not safe for concurrent use. All times are durations on one clock.
type Limiter struct {
	waiting   []*Request         // not ended
	nextCheck time.Duration      // no waiting request becomes overdue or ends by itself before
	verdicts  map[string]verdict // by back end
	backEnds  int                // of the service

	limited       bool
	limit         float64       // on waiting requests; only if limited
	decreasedAt   time.Duration // time of the last decrease
	keptBackAt    time.Duration // when a request was last kept back
	sentAt        time.Duration // of the latest request
	answeredAt    time.Duration // when a response last came before the deadline of its request
	reroutedAt    time.Duration // when a request was last answered promptly in another way
	nextAt        time.Duration // no request is admitted before; only if limit is below one
	meanWait      time.Duration // until responses begin
	recent        recentMin     // waits of the last responses
	shortest      recentMin     // waits since the limit is in force
	inTime        int           // responses in time since the last decrease and the last request that was kept back
	slowInTime    int           // in a row, of minSlowInTime
	lateWait      time.Duration // of the request that caused the last decrease
	slowAt        time.Duration // when a limit was last lifted because the service takes long by itself; 0 before
	mayBeSlow     bool          // the limit may be lifted for that
	shortestSince time.Duration // wait until a response began since the last decrease; 0 without any
}

// New returns a Limiter without a limit in force.
func New() *Limiter { return &Limiter{verdicts: map[string]verdict{}, nextCheck: math.MaxInt64} }

// Request is a request that was sent, or is about to be, and waits for the beginning of its response.
type Request struct {
	backEnd      string
	sentAt       time.Duration
	patience     time.Duration
	deadline     time.Duration
	hasWholeTime bool          // its time is the one that was allowed
	endsAt       time.Duration // when it ends by itself, since it was given up; 0 before
	judged       bool          // whether the response is late is decided
	gaveUp       bool          // its time was over without a response
	late         bool          // it was judged so
	ended        bool
}

// Begin adds a request to one of a number of back ends. Of the allowed time some is left; where that isn't nearly all, the end of the
// time tells nothing about the back end.
func (l *Limiter) Begin(now time.Duration, backEnd string, backEnds int, allowed, left time.Duration) *Request {
	r := &Request{backEnd: backEnd, sentAt: now, patience: max(1, time.Duration(patienceFraction*float64(allowed))), deadline: now + left}
	r.hasWholeTime = float64(left) >= wholeTimeFraction*float64(allowed)
	l.backEnds, l.sentAt = backEnds, now
	l.waiting = append(l.waiting, r)
	l.nextCheck = min(l.nextCheck, now+r.patience)
	if l.limited && l.limit < 1 {
		l.nextAt = r.nextAfter(l.limit)
	}
	return r
}

// Answered ends the wait of a request whose response has begun.
func (l *Limiter) Answered(now time.Duration, r *Request) {
	l.update(now)
	if r.ended {
		return
	}
	l.remove(r)
	l.observeWait(now, now-r.sentAt)
	if now < r.deadline {
		l.answeredAt = now
	}
	if l.recordSlow(now, r) {
		return
	}
	switch {
	case !r.judged:
		l.recordInTime(now, r)
	case !r.gaveUp && l.limited && l.limit >= 1 && l.limit < 2 && r.sentAt >= l.decreasedAt:
		l.limit += lateIncrease // one at a time is answered, if late
	}
}

// recordSlow counts responses that take long but come in time under a limit, and reports whether that lifts it.
func (l *Limiter) recordSlow(now time.Duration, r *Request) (lifted bool) {
	switch {
	case !l.limited || !l.mayBeSlow || r.sentAt < l.decreasedAt+r.patience:
		return false
	case now >= r.deadline, l.shortestSince < time.Duration(slowFraction*float64(l.lateWait)):
		l.slowInTime = 0
		return false
	}
	l.slowInTime++
	if l.slowInTime < minSlowInTime {
		return false
	}
	r.judged, l.slowAt = true, now
	clear(l.verdicts)
	l.recent = recentMin{current: l.shortestSince, ends: now + recentWindow}
	l.lift()
	return true
}

// GiveUp records that a request is given up before its time is over. That tells nothing about its back end, unless the request
// waited for abandonedLate and longer than the service takes by itself. It still counts until a time at which its back end will have
// stopped, or until End.
func (l *Limiter) GiveUp(now time.Duration, r *Request, until time.Duration) {
	l.update(now)
	switch {
	case r.judged:
	case l.meanWait > 0 && now-r.sentAt >= max(abandonedLate, time.Duration(abandonedFactor*float64(l.meanWait))):
		l.recordLate(now, r)
	default:
		r.judged, r.gaveUp = true, true
	}
	r.endsAt = max(until, now)
	l.nextCheck = min(l.nextCheck, r.endsAt)
}

// Reroute records that a request was answered in another way than those before, whose responses didn't arrive. If it was answered
// promptly, late ones tell of the way that they took, and are dropped with the limit.
func (l *Limiter) Reroute(now time.Duration, r *Request) {
	if !r.isPrompt(now) {
		return
	}
	l.dropVerdicts()
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Request) bool {
		other.ended = other.ended || other.late || other.gaveUp
		return other.ended
	})
	l.reroutedAt = now
	l.lift()
}

// Forget drops all requests that wait and what late ones have shown, since the way to the back ends is lost that they took.
func (l *Limiter) Forget(now time.Duration) {
	l.dropVerdicts()
	for _, r := range l.waiting {
		r.ended = true
	}
	l.waiting = nil
	l.reroutedAt = now
	l.lift()
}

// dropVerdicts drops the verdicts on late back ends.
func (l *Limiter) dropVerdicts() {
	maps.DeleteFunc(l.verdicts, func(_ string, v verdict) bool { return v.late > 0 })
}

// isRerouted reports whether requests were answered promptly in another way lately, so that late ones tell of the direct one.
func (l *Limiter) isRerouted(now time.Duration) bool {
	return l.reroutedAt > 0 && now-l.reroutedAt < rerouteTTL
}

// Broken ends the wait of a request whose connection the back end has ended. One that had waited for long has most likely come to an
// end itself, and with it the work that made it late.
func (l *Limiter) Broken(now time.Duration, r *Request) {
	l.End(now, r)
	if !r.judged || l.verdicts[r.backEnd].late == 0 {
		return
	}
	delete(l.verdicts, r.backEnd)
	for _, v := range l.verdicts {
		if v.late > 0 {
			return
		}
	}
	l.lift()
}

// lift ends the limit.
func (l *Limiter) lift() { l.limited, l.nextAt = false, 0 }

// End ends the wait of a request without a response. It has no effect after Answered.
func (l *Limiter) End(now time.Duration, r *Request) {
	l.update(now)
	l.remove(r)
}

func (l *Limiter) remove(r *Request) {
	if i := slices.Index(l.waiting, r); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	r.ended = true
}

// Limited reports whether a limit is in force.
func (l *Limiter) Limited(now time.Duration) bool {
	l.update(now)
	return l.limited
}

// Limit returns the limit in force, or 0 without one.
func (l *Limiter) Limit() float64 {
	if !l.limited {
		return 0
	}
	return l.limit
}

// IsIdle reports whether the limiter holds nothing that a new one lacks.
func (l *Limiter) IsIdle(now time.Duration) bool {
	l.update(now)
	l.forget(now, 0)
	return !l.limited && len(l.waiting) == 0 && len(l.verdicts) == 0
}

// Waiting returns the number of requests that wait, or that were given up and may still be worked on.
func (l *Limiter) Waiting() int { return len(l.waiting) }

// MeanWait returns the mean time until responses begin.
func (l *Limiter) MeanWait() time.Duration { return l.meanWait }

// Admit reports whether another request may be sent. If not, it returns after which time one is expected to be.
func (l *Limiter) Admit(now time.Duration) (retryAfter time.Duration, admitted bool) {
	l.update(now)
	if !l.limited {
		return 0, true
	}
	next := l.nextAt
	if l.isStalled() {
		next = max(next, l.sentAt+stallTimeout)
	}
	if now >= next && float64(len(l.waiting)+1) <= max(1, l.limit) {
		return 0, true
	}
	l.keptBackAt, l.inTime = now, 0
	return max(l.meanWait, next-now), false
}

// isStalled reports whether a request whose time is over still waits, and none was answered before its deadline since that was sent: a
// further one would most likely not be answered either.
func (l *Limiter) isStalled() bool {
	return slices.ContainsFunc(l.waiting, func(r *Request) bool { return r.late && r.gaveUp && l.answeredAt < r.sentAt })
}

// update judges the requests that have waited for longer than their patience, ends those that were given up, and lifts a limit
// that is no longer needed.
func (l *Limiter) update(now time.Duration) {
	if now >= l.nextCheck && len(l.waiting) > 0 {
		l.check(now)
	}
	if l.limited && l.inTime >= minInTime && now-max(l.decreasedAt, l.keptBackAt) > releaseTime {
		l.lift()
	}
}

func (l *Limiter) check(now time.Duration) {
	for _, r := range l.waiting {
		if !r.judged && now >= l.lateAt(r) {
			l.recordLate(now, r)
		}
		if now >= r.deadline {
			l.recordGivenUp(now, r)
		}
	}
	l.nextCheck = math.MaxInt64
	l.waiting = slices.DeleteFunc(l.waiting, func(r *Request) bool {
		r.ended = r.endsAt > 0 && now >= r.endsAt
		switch {
		case r.ended:
		case !r.judged:
			l.nextCheck = min(l.nextCheck, l.lateAt(r), r.deadline)
		case !r.gaveUp:
			l.nextCheck = min(l.nextCheck, r.deadline)
		case r.endsAt > 0:
			l.nextCheck = min(l.nextCheck, r.endsAt)
		}
		return r.ended
	})
}

func (l *Limiter) recordInTime(now time.Duration, r *Request) {
	r.judged = true
	l.inTime++
	l.recordVerdict(now, r, 0)
	if !l.limited || r.sentAt < l.decreasedAt || float64(len(l.waiting))+1 < l.limit/2 {
		return // the limit had no part in it
	}
	prompt := r.isPrompt(now)
	switch {
	case l.limit < 1 && prompt:
		l.limit = min(1, 2*l.limit)
	case l.limit < 1:
		l.limit = min(1, l.limit+slowIncrease)
	case prompt:
		l.limit++
	default:
		l.limit += min(slowIncrease, 1/l.limit)
	}
	l.nextAt = 0
	if l.limit < 1 {
		l.nextAt = r.nextAfter(l.limit)
	}
}

func (l *Limiter) recordLate(now time.Duration, r *Request) {
	r.judged, r.late = true, true
	l.recordVerdict(now, r, l.verdicts[r.backEnd].late+1)
	if r.sentAt < l.decreasedAt || l.isRerouted(now) || !l.showsCongestion(now, r) {
		return // it was sent before the limit took effect, or the others answer in time
	}
	switch {
	case !l.limited:
		l.limited, l.limit = true, max(1, math.Floor(decreaseFactor*float64(len(l.waiting))))
		l.shortest, l.mayBeSlow = recentMin{}, l.slowAt == 0 || now-l.slowAt > slowRetryTime
	case l.limit >= 2:
		l.limit = max(1, math.Floor(decreaseFactor*min(l.limit, float64(len(l.waiting)))))
	default:
		return // one at a time may still be answered in its time
	}
	l.recordDecrease(now, r)
}

// recordDecrease begins to observe what a decrease brings about.
func (l *Limiter) recordDecrease(now time.Duration, r *Request) {
	l.decreasedAt, l.lateWait = now, now-r.sentAt
	l.inTime, l.slowInTime, l.shortestSince = 0, 0, 0
}

// recordGivenUp records that a request got no response in its time. Only this lowers the limit to less than one at a time.
func (l *Limiter) recordGivenUp(now time.Duration, r *Request) {
	if r.gaveUp {
		return
	}
	r.judged, r.gaveUp = true, true
	if !r.late || !l.limited || l.limit >= 2 || r.sentAt < l.decreasedAt || !l.showsCongestion(now, r) {
		return
	}
	l.limit = max(minLimit, decreaseFactor*min(1, l.limit))
	l.nextAt = r.nextAfter(l.limit)
	l.recordDecrease(now, r)
}

// observeWait records how long a response took to begin.
func (l *Limiter) observeWait(now, wait time.Duration) {
	l.meanWait += time.Duration(waitSmoothing * float64(wait-l.meanWait))
	l.recent.add(now, wait, recentWindow)
	l.shortest.add(now, wait, waitWindow)
	if l.shortestSince == 0 || wait < l.shortestSince {
		l.shortestSince = max(1, wait)
	}
}

// lateAt returns from when on a request without a response is late.
func (l *Limiter) lateAt(r *Request) time.Duration {
	at := r.deadline
	switch {
	case l.limited:
		at = r.sentAt + max(r.patience, time.Duration(slowFactor*float64(l.shortest.value())))
	case l.recent.value() > 0:
		at = r.sentAt + max(r.patience, time.Duration(growthFactor*float64(l.recent.value())))
	}
	switch {
	case at < r.deadline:
		return at
	case r.hasWholeTime:
		return r.deadline
	}
	return math.MaxInt64 // the end of its time tells nothing
}

// isPrompt reports whether a response that begins now is prompt.
func (r *Request) isPrompt(now time.Duration) bool {
	return now-r.sentAt < time.Duration(promptFraction*float64(r.patience))
}

// nextAfter returns when the request after r may be sent under a limit below one.
func (r *Request) nextAfter(limit float64) time.Duration {
	return r.sentAt + min(maxSpacing, time.Duration(float64(r.patience)/limit))
}

// recordVerdict keeps the latest verdict on a back end.
func (l *Limiter) recordVerdict(now time.Duration, r *Request, late int) {
	if _, known := l.verdicts[r.backEnd]; !known && len(l.verdicts) >= maxTracked {
		if l.forget(now, r.patience); len(l.verdicts) >= maxTracked {
			return
		}
	}
	l.verdicts[r.backEnd] = verdict{now, late}
}

// forget drops verdicts that no longer count for requests of the given patience.
func (l *Limiter) forget(now, patience time.Duration) {
	maps.DeleteFunc(l.verdicts, func(_ string, old verdict) bool { return now-old.at > max(knownTTL, verdictTTL*patience) })
}

// showsCongestion reports whether a late response tells of more than its back end: most are late or, under a limit, which leaves
// few requests to judge by, none was answered before its deadline since that was sent.
func (l *Limiter) showsCongestion(now time.Duration, r *Request) bool {
	return l.limited && l.answeredAt < r.sentAt || l.mostAreLate(now, r.patience)
}

// mostAreLate reports whether more back ends were late than in time lately. One slow back end among several limits nothing.
func (l *Limiter) mostAreLate(now, patience time.Duration) bool {
	late, inTime, responses := 0, 0, 0
	for _, v := range l.verdicts {
		switch {
		case now-v.at > max(minVerdictTTL, verdictTTL*patience):
		case v.late > 0:
			late++
			responses += v.late
		default:
			inTime++
		}
	}
	return late > inTime && late >= min(minLate, l.backEnds) && responses >= minLate
}
