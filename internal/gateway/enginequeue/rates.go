package enginequeue

import (
	"math"
	"time"

	"kitetiller/internal/gateway/belief"
)

const (
	// maxSlowness bounds the slowness of an engine relative to its service, and its reciprocal bounds it from below.
	maxSlowness = 4.0
	// maxTokenTimeFactor bounds the ratio of the learnt time per token to the default.
	maxTokenTimeFactor = 4.0
	// initialOverhead, initialStep and initialChunk are used before they are learnt: the time to the first event beside
	// the prefill and the time of a decode step, in milliseconds, and the chunk size in tokens.
	initialOverhead = 25.0
	initialStep     = 5.0
	initialChunk    = 1024.0
	// Bounds of the same three.
	maxOverhead, minStep, maxStep, minChunk, maxChunk = 200.0, 0.5, 50.0, 256.0, 4096.0
	// rateStep is the relative change of a learnt rate by one request.
	rateStep = 0.05
	// sizeSmoothing is the weight of the newest request in the mean prompt size.
	sizeSmoothing = 0.02
	// slownessQuantile is the quantile of slowness for which the longest pause is predicted.
	slownessQuantile = 0.9
	// Smoothing of report delays, their initial values and their maximum, in milliseconds. Reports of other schedulers
	// pass through batches of announcements.
	delaySmoothing                    = 0.05
	initialOwnDelay, initialPeerDelay = 40.0, 80.0
	maxReportDelay                    = 500.0
	// reportTimeout is how long after the last report of a scheduler's first events none is expected any more, so that
	// its outstanding requests are not taken for overdue.
	reportTimeout = 2 * time.Second
	// overdueGrace is how long an overdue request is kept until its scheduler has reported another first event. Reports
	// come in batches of up to 40 ms; a request of a scheduler that reports nothing in this time runs down with time.
	overdueGrace = 200 * time.Millisecond
	// maxReporters bounds the schedulers whose latest report is known.
	maxReporters = 1024
	// A stream shows the time of a step without a chunk if its engine spent less than idleShare of its time on prefills.
	// It shows that of a step with a chunk if its longest pause is chunkSampleFactor times that without chunks. Few
	// streams meet a chunk in each step of an event, so the chunk size is learnt as a high quantile of what they show.
	idleShare         = 0.02
	chunkSampleFactor = 2.0
	chunkQuantile     = 0.75
)

// Rates holds what has been learnt about the engines of one service. It is shared by their queues.
type Rates struct {
	tokenTime   float64                  // milliseconds per token, with the decode steps between chunks
	overhead    float64                  // time to the first event of a request that is alone at an engine, beside its prefill
	step        float64                  // decode step without a chunk, in milliseconds
	chunkTokens float64                  // tokens prefilled between two decode steps
	eventTokens float64                  // tokens per stream event
	meanTokens  float64                  // mean size of prefills
	slowness    float64                  // slownessQuantile of the observed slowness
	delays      [2]float64               // of reports of first events of own or of peers' placements, in milliseconds
	reportedAt  map[string]time.Duration // of the latest report by scheduler, "" for this one
	load        serviceLoad
	dropped     uint64

	// Derived from the above by derive, since forecasts need them often.
	chunkStep    float64 // decode step together with a chunk
	perChunkStep float64 // its reciprocal
	decodeSteps  float64 // steps from the end of a prefill to the first event
}

// NewRates returns the rates of a service before anything was learnt.
func NewRates() *Rates {
	r := &Rates{
		tokenTime: 1 / belief.PrefillRate, overhead: initialOverhead, step: initialStep, chunkTokens: initialChunk, eventTokens: 1, slowness: 1,
		delays: [2]float64{initialOwnDelay, initialPeerDelay}, reportedAt: map[string]time.Duration{},
	}
	r.derive()
	return r
}

// derive updates the derived fields.
func (r *Rates) derive() {
	r.chunkStep = max(r.chunkTokens*r.tokenTime, r.step)
	r.perChunkStep = 1 / r.chunkStep
	r.decodeSteps = min(r.eventTokens, r.overhead/r.step) // an engine may send the first event after fewer steps
}

// maxEventTokens bounds the configured tokens per stream event.
const maxEventTokens = 64

// SetEventTokens sets the number of tokens per stream event; 0 means unknown, and counts as 1.
func (r *Rates) SetEventTokens(tokens int) {
	r.eventTokens = float64(min(max(tokens, 1), maxEventTokens))
	r.derive()
}

// SetEngines sets the number of engines of the service.
func (r *Rates) SetEngines(n int) { r.load.engines, r.load.latest.valid = max(0, n), false }

// Dropped returns the number of implausible values that were clamped or dropped.
func (r *Rates) Dropped() uint64 { return r.dropped }

// RecordDropped counts an implausible value that the caller dropped.
func (r *Rates) RecordDropped() { r.dropped++ }

// Slowness returns the slowness within which 9 of 10 recent first events stayed.
func (r *Rates) Slowness() float64 { return r.slowness }

// work returns the milliseconds that the prefill of a prompt takes at an engine of the service's speed. The last chunk
// of a prompt is not full, so each request takes one more step.
func (r *Rates) work(tokens int) float64 { return float64(tokens)*r.tokenTime + r.step }

// decodeTime returns the time from the end of a request's prefill to its first event while the given work of others is
// to be prefilled and further requests take a share of the engine's time: each step before the event takes longer by
// a chunk, as long as there is one.
func (r *Rates) decodeTime(behind, share float64) float64 {
	perStep := r.chunkStep - r.step
	extra := min(r.decodeSteps, (behind+share*r.overhead)*r.perChunkStep) * perStep
	extra = min(r.decodeSteps, (behind+share*(r.overhead+extra))*r.perChunkStep) * perStep // further requests arrive meanwhile
	return r.overhead + extra
}

// pause returns the longest pause of a stream at an engine of the service's speed that has the given work to prefill.
func (r *Rates) pause(work float64) float64 {
	return r.eventTokens*r.step + min(r.eventTokens, work*r.perChunkStep)*(r.chunkStep-r.step)
}

// observeAlone learns from a request that was alone at its engine. Requests of less than the mean size change the
// overhead, larger ones the time per token.
func (r *Rates) observeAlone(tokens int, elapsed float64) {
	defer r.derive()
	size := float64(tokens)
	if r.meanTokens == 0 {
		r.meanTokens = size
	}
	small := size < r.meanTokens
	r.meanTokens += sizeSmoothing * (size - r.meanTokens)
	if small || size < 1 {
		r.overhead = clamp(stepTowards(r.overhead, elapsed-r.work(tokens)), 1, maxOverhead)
		return
	}
	observed := (elapsed - r.overhead - r.step) / size
	r.tokenTime = clamp(stepTowards(r.tokenTime, observed), 1/belief.PrefillRate/maxTokenTimeFactor, maxTokenTimeFactor/belief.PrefillRate)
}

// observeSlowness updates the quantile of the slowness.
func (r *Rates) observeSlowness(slowness float64) {
	if slowness > r.slowness {
		r.slowness *= 1 + rateStep*slownessQuantile
	} else {
		r.slowness *= 1 - rateStep*(1-slownessQuantile)
	}
	r.slowness = clamp(r.slowness, 1, maxSlowness)
}

// observeReport records the delay of a report of a first event, and when its scheduler sent one.
func (r *Rates) observeReport(now, at time.Duration, id ID) {
	d := &r.delays[id.origin()]
	*d += delaySmoothing * (clamp(belief.Milliseconds(now-at), 0, maxReportDelay) - *d)
	if _, known := r.reportedAt[id.Scheduler]; !known && len(r.reportedAt) >= maxReporters {
		r.Sweep(now)
		if len(r.reportedAt) >= maxReporters {
			r.dropped++
			return
		}
	}
	r.reportedAt[id.Scheduler] = max(r.reportedAt[id.Scheduler], now)
}

// reportsExpected reports whether the first event of a request is expected to be reported, and returns when its
// scheduler last reported one.
func (r *Rates) reportsExpected(now time.Duration, id ID) (last time.Duration, expected bool) {
	if id.Number == 0 {
		return 0, false
	}
	last, known := r.reportedAt[id.Scheduler]
	return last, known && now-last < reportTimeout
}

// Sweep forgets schedulers that reported no first event lately.
func (r *Rates) Sweep(now time.Duration) {
	for scheduler, last := range r.reportedAt {
		if now-last >= reportTimeout {
			delete(r.reportedAt, scheduler)
		}
	}
}

// ObservePause learns from the longest pause of a stream that lasted for a time after its first event, during which
// its engine completed prefills of the given work (see Queue.Work) at a slowness.
func (r *Rates) ObservePause(pause, lasted time.Duration, work, slowness float64) {
	if pause <= 0 || lasted <= 0 {
		return
	}
	if pause > lasted || work < 0 || math.IsNaN(work) {
		r.dropped++
		return
	}
	perStep := belief.Milliseconds(pause) / r.eventTokens / clamp(slowness, 1/maxSlowness, maxSlowness)
	defer r.derive()
	switch share := work * slowness / belief.Milliseconds(lasted); {
	case share <= idleShare:
		r.step = clamp(stepTowards(r.step, perStep), minStep, maxStep)
	case perStep >= chunkSampleFactor*r.step:
		observed, change := perStep/r.tokenTime, rateStep*chunkQuantile
		if observed < r.chunkTokens {
			change = -rateStep * (1 - chunkQuantile)
		}
		r.chunkTokens = clamp(r.chunkTokens*(1+change), minChunk, maxChunk)
	}
}

// stepTowards returns the estimate of a median changed by one observation.
func stepTowards(estimate, observed float64) float64 {
	if observed > estimate {
		return estimate * (1 + rateStep)
	}
	return estimate / (1 + rateStep)
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }
