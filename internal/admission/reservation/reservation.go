// Package reservation decides which requests of a latency-critical service are rejected, and when a rejected request is
// to come back. It uses no I/O, locks, clock or randomness of its own.
//
// A request is rejected if the wait forecast at its own priority, corrected by how long such requests really waited, very
// probably exceeds what its objective leaves. It then gets a place: a time at which the engines have room for it, at the
// rate at which they work off the queue. A request that returns at its time is admitted without being judged again.
// Outstanding places count as load for later requests of the same and of lower priority.
package reservation

import (
	"maps"
	"math"
	"time"
)

const (
	// Levels is the number of priorities, 0 being the most urgent.
	Levels = 10
	// Window is how long a place is kept from its time on. earlyTolerance admits a return that is early by rounding.
	Window         = time.Second
	earlyTolerance = 10 * time.Millisecond
	// MaxLead is the longest time until a place.
	MaxLead = slotWidth * (slotCount - time.Duration(pastSlots) - 2)
	// Callers wait for a third of their time left at most. returnMargin is for the way of the response and of the
	// request that returns.
	leadDivisor  = 3
	returnMargin = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time told to a request without a place, and retryAfterJitter is the
	// largest fraction added to it, so that such requests don't return together. A place has none of these.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = 5 * time.Second
	retryAfterJitter = 0.6
	minPlaceDelay    = 20 * time.Millisecond
	// A place is at the time at which the wait is targetWait of the limit: the rest absorbs errors of the forecast and
	// of the rate. placeLoad is the part of the outstanding places that counts as a wait of later requests. With every
	// place taken, those are admitted up to the wait that the places were planned for.
	targetWait = 0.35
	placeLoad  = 1 - targetWait
	// Up to idleLoad of the limit places don't count: an engine is not kept idle for requests that return later.
	idleLoad = 0.1
	// Places count by the part of them that is taken, which changes by takenStep with each place and is at least
	// minTakenPart.
	takenStep, minTakenPart = 0.05, 0.2
	// minLimit is the smallest limit of the wait as a fraction of the objective. A prompt that takes longer to read
	// than the objective would otherwise never be admitted.
	minLimit = 0.25
	// bookedPart is the part of the rate at which places are given out: returning requests would otherwise be late
	// whenever some engines are slower than usual.
	bookedPart = 0.8
	// standingMargin lowers the limit while a queue is standing: at the limit, half of the requests would be late. The
	// queue counts as standing as the smoothed load rises from standingLow to standingHigh.
	standingMargin            = 0.5
	standingLow, standingHigh = 0.2, 0.5
	loadTimeConstant          = 500 * time.Millisecond
	// maxLoadWeight bounds the weight of one request in the smoothed load, so that at a low rate a single queued
	// request does not count as a standing queue.
	maxLoadWeight, maxLoad = 0.15, 2
	// randomSpread varies the limit by request, so that schedulers with the same view don't all reject at once.
	randomSpread = 0.1
	// From pressureLimit of the limit on, and for pressureTime after, a tenant above its fair share is rejected from
	// overShareLimit of the limit on, so that it is rejected before others are.
	pressureLimit  = 0.8
	overShareLimit = 0.5
	pressureTime   = time.Second
	// maxPlaceRejections is how often in a row a request may be rejected because of others' places.
	maxPlaceRejections = 2
	// maxUrgentLoad bounds the part of the rate that more urgent requests are taken to use.
	maxUrgentLoad = 0.75
	// rateWindow is the time over which the rate is measured, and minRate its minimum, in tokens per second. The highest
	// rate decays with rateTimeConstant only: engines that have little to read would otherwise seem to be slow.
	rateWindow       = time.Second
	rateTimeConstant = 8 * time.Second
	minRate          = 1000.0
	// The rate is taken to be at least that of one engine, as known from prompts of minRateSample tokens or more. A
	// scheduler that has just started has measured nothing yet.
	minRateSample = 256
	maxEngineRate = 1e6
	// recordTTL is how long a record is kept after its last change or its place. maxRecords bounds their number.
	recordTTL  = 6 * time.Second
	maxRecords = 20_000
	// Values beyond these are clamped.
	maxDuration  = time.Hour
	maxTokens    = 4_000_000
	maxKeyLength = 256
)

// Controller holds the state of one service. The zero value is ready to use.
type Controller struct {
	now       time.Duration
	startedAt time.Duration
	levels    [Levels]level
	calendar  calendar
	records   map[string]*record
	finished  meter   // tokens prefilled
	admitted  meter   // tokens of admitted requests
	peakRate  float64 // highest rate, decayed, in tokens per second
	peakAt    time.Duration
	rateKnown float64 // result of rate at rateAt; 0 if it has to be computed
	rateAt    time.Duration
	engine    float64 // rate of one engine, in tokens per second; 0 if unknown
	unused    float64 // smoothed part of the places that nobody took
	counts    Counts
}

// level is the state of one priority.
type level struct {
	ratios     ratios
	load       float64 // smoothed, as a fraction of the limit
	loadAt     time.Duration
	pressureAt time.Duration // when the load last exceeded pressureLimit; 0 before the first time
	shares     shares
}

// ObserveWait records how long a request of the given priority waited and which wait was forecast for it.
func (c *Controller) ObserveWait(now time.Duration, priority int, forecast, actual time.Duration) {
	now = c.advance(now)
	if forecast < minObservedWait {
		c.countInvalid(forecast < 0)
		return
	}
	if c.countInvalid(actual < 0 || forecast > maxDuration || priority < 0 || priority >= Levels) {
		return
	}
	c.levels[priority].ratios.observe(now, float64(actual)/(c.stretch(now, priority)*float64(forecast)))
}

// ObserveStay records that a request had no first event in the time that it stayed.
func (c *Controller) ObserveStay(now time.Duration, priority int, forecast, stayed time.Duration) {
	if priority >= 0 && priority < Levels && float64(stayed) > float64(forecast)*c.stretch(max(now, c.now), priority)*c.levels[priority].ratios.medianAt(max(now, c.now)) {
		c.ObserveWait(now, priority, forecast, stayed)
	}
}

// ObserveRead records that engines have read the prompt tokens of a request of this scheduler. Places are given out at
// the rate of these.
func (c *Controller) ObserveRead(now time.Duration, tokens int) {
	now = c.advance(now)
	if c.countInvalid(tokens < 0 || tokens > maxTokens) {
		return
	}
	c.finished.add(now, rateWindow, float64(tokens))
	c.rateKnown = 0
	c.peakRate, c.peakAt = c.rate(now), now
}

// stretch returns by how much the wait of a priority grows because more urgent requests keep arriving and are served
// first. The forecast knows of those only that have arrived already.
func (c *Controller) stretch(now time.Duration, priority int) float64 {
	urgent := 0.0
	for i := range priority {
		urgent += c.levels[i].shares.admitted.sum(now, shareWindow)
	}
	if urgent == 0 {
		return 1
	}
	return 1 / (1 - min(urgent/shareWindow.Seconds()/c.rate(now), maxUrgentLoad))
}

// rate returns the rate at which the engines read prompts of this scheduler, in tokens per second.
func (c *Controller) rate(now time.Duration) float64 {
	if c.rateKnown == 0 || c.rateAt != now {
		c.rateKnown, c.rateAt = c.computeRate(now), now
	}
	return c.rateKnown
}

func (c *Controller) computeRate(now time.Duration) float64 {
	tokens := c.finished.sum(now, rateWindow)
	if tokens == 0 && c.peakRate == 0 {
		tokens = c.admitted.sum(now, rateWindow) // just started: what is sent is taken to be read
	}
	elapsed := min(rateWindow, max(rateWindow/meterCount, now-c.startedAt))
	decayed := c.peakRate * math.Exp(-float64(now-c.peakAt)/float64(rateTimeConstant))
	return max(minRate, c.engine, decayed, tokens/elapsed.Seconds())
}

// Decide reports whether a request is rejected, and when it is to return.
func (c *Controller) Decide(now time.Duration, r Request) Decision {
	if r.Objective <= 0 {
		c.countInvalid(r.Objective < 0)
		return Decision{}
	}
	now = c.advance(now)
	r = c.sanitize(r)
	if r.Reading > 0 && r.Tokens >= minRateSample {
		c.rateKnown = 0
		c.engine = min(float64(r.Tokens)/r.Reading.Seconds(), maxEngineRate)
	}
	r.Wait = time.Duration(c.stretch(now, r.Priority) * float64(r.Wait))
	lvl := &c.levels[r.Priority]
	use := lvl.shares.tenant(now, r.Tenant)
	known := c.records[r.Key]
	d := Decision{Return: returnKind(now, known, r.RejectedBefore)}
	if d.Return != ReturnNone {
		c.countReturn(d.Return)
	} else {
		use.offered.add(now, shareWindow, float64(r.Tokens))
	}
	if d.Return == ReturnLate && known.hasPlace() {
		c.lapse(known)
	}
	if d.Return == ReturnInTime {
		c.endPlace(known)
		if c.earliestWait(now, lvl, r) <= r.TimeLeft {
			c.counts.Taken++
			c.unused -= takenStep * c.unused
			c.admit(now, r, lvl, use)
			return d
		}
		d.Rejected, d.Reason, d.RetryAfter = true, ReasonDeadline, max(minRetryAfter, min(c.queueTime(now, lvl, r), r.TimeLeft/leadDivisor))
		c.reject(d.Reason)
		return d
	}
	d.Reason, d.Rejected = c.judge(now, r, lvl, use, known)
	switch {
	case !d.Rejected:
		if known != nil && known.hasPlace() {
			c.endPlace(known) // it returned early, and there is room already
		}
		c.admit(now, r, lvl, use)
		return d
	case d.Return == ReturnEarly:
		d.Reason, d.RetryAfter, d.HasPlace = ReasonEarly, known.at-now, true
	default:
		d.RetryAfter, d.HasPlace = c.reserve(now, r, lvl, use, d.Reason)
	}
	c.reject(d.Reason)
	return d
}

// earliestWait returns the wait that few requests with this forecast stay below.
func (c *Controller) earliestWait(now time.Duration, lvl *level, r Request) time.Duration {
	return time.Duration(lvl.ratios.at(now, 0) * float64(r.Wait))
}

// judge reports whether the request is to be rejected, and why.
func (c *Controller) judge(now time.Duration, r Request, lvl *level, use *tenantUse, known *record) (reason Reason, reject bool) {
	limit := float64(r.limit())
	standing := lvl.observeLoad(now, lvl.ratios.medianAt(now)*float64(r.Wait)/limit)
	load := lvl.ratios.at(now, standing) * float64(r.Wait) / limit
	threshold := (1 - standingMargin*standing) * (1 + randomSpread*(2*r.Random-1))
	withPlaces := load + c.placesAhead(now, r, known)/limit
	if withPlaces > pressureLimit*threshold {
		lvl.pressureAt = now
	}
	pressure := lvl.pressureAt > 0 && now < lvl.pressureAt+pressureTime
	if pressure && r.Tenant != "" && load > overShareLimit*threshold && lvl.shares.above(now, use, r.Tokens, c.servedPart(now)) {
		return ReasonShare, true
	}
	switch {
	case load > threshold:
		return ReasonQueue, true
	case withPlaces <= threshold, load <= idleLoad, known != nil && known.rejections >= maxPlaceRejections:
		return "", false
	}
	return ReasonPlaces, true
}

// servedPart returns the part of what was admitted lately that engines have read, at most 1.
func (c *Controller) servedPart(now time.Duration) float64 {
	admitted := c.admitted.sum(now, rateWindow)
	if admitted <= 0 {
		return 1
	}
	return min(1, c.rate(now)*rateWindow.Seconds()/admitted)
}

// observeLoad adds the load seen by one request and returns how far the queue is standing, from 0 to 1.
func (l *level) observeLoad(now time.Duration, load float64) float64 {
	weight := min(float64(now-l.loadAt)/float64(loadTimeConstant), maxLoadWeight)
	l.load, l.loadAt = l.load+weight*(min(load, maxLoad)-l.load), now
	return min(max((l.load-standingLow)/(standingHigh-standingLow), 0), 1)
}

// admit records an admitted request.
func (c *Controller) admit(now time.Duration, r Request, lvl *level, use *tenantUse) {
	c.counts.Admitted++
	c.admitted.add(now, rateWindow, float64(r.Tokens))
	lvl.shares.admitted.add(now, shareWindow, float64(r.Tokens))
	use.admitted.add(now, shareWindow, float64(r.Tokens))
	delete(c.records, r.Key)
}

func (c *Controller) reject(reason Reason) {
	c.counts.Rejected++
	if c.counts.ByReason == nil {
		c.counts.ByReason = map[Reason]uint64{}
	}
	c.counts.ByReason[reason]++
}

func (c *Controller) countReturn(kind Return) {
	if c.counts.ByReturn == nil {
		c.counts.ByReturn = map[Return]uint64{}
	}
	c.counts.ByReturn[kind]++
}

// countInvalid counts an invalid value and returns its argument.
func (c *Controller) countInvalid(invalid bool) bool {
	if invalid {
		c.counts.Invalid++
	}
	return invalid
}

// advance moves the state to a time and returns it. Time that runs backwards is counted and ignored.
func (c *Controller) advance(now time.Duration) time.Duration {
	c.countInvalid(c.now-now > time.Second) // concurrent callers read their clocks some microseconds before
	now = max(now, c.now)
	if c.startedAt == 0 {
		c.startedAt = now
	}
	c.now = now
	c.calendar.advance(now, func(key string) {
		// A record may have got a later place since.
		if r := c.records[key]; r != nil && r.hasPlace() && now >= r.at+Window {
			c.lapse(r)
		}
	})
	return now
}

// Sweep removes expired state. It is to be called every few seconds.
func (c *Controller) Sweep(now time.Duration) {
	now = c.advance(now)
	for key, r := range c.records {
		if now >= r.keptUntil && !r.hasPlace() {
			delete(c.records, key)
		}
	}
	for i := range c.levels {
		c.levels[i].shares.sweep(now)
	}
}

// Counts returns the totals. Its maps are copies.
func (c *Controller) Counts() Counts {
	counts := c.counts
	counts.ByReason, counts.ByReturn = maps.Clone(counts.ByReason), maps.Clone(counts.ByReturn)
	return counts
}
