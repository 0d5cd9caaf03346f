// Package admission decides whether a request is sent to a back end or turned away at once, from the wait that its placement
// predicts. It is a piece of the decision: without I/O, lock, clock or randomness of its own.
//
// To send what will come late helps nobody: it keeps memory and slots from requests that could still be in time, and their
// cached parts are displaced and read again. What is turned away at once can come back in its time. Judged is the wait in the
// queue alone: a long prompt takes long to read wherever it runs, and would never be let in if that counted.
package admission

import (
	"math"
	"time"
)

const (
	// PriorityLevels is how many ranks of urgency are told apart; the error of predictions is learnt for each, since engines let the
	// more urgent in first.
	PriorityLevels = 10
	// correctionStep is by how much one request moves what is learnt, and ratioMost how far that may get from 1, either way.
	correctionStep = 0.03
	maxCorrection  = 16.0
	// minObservedPrediction is the least predicted wait that teaches something: below it the time of a token weighs more.
	minObservedPrediction = 60 * time.Millisecond
	// A band of waits, as shares of the objective: below it everything is sent, beyond it nothing is, and between its ends the
	// more is turned away the longer the wait is, so that deciders which see the same don't all turn away at once. A wait that
	// passes may use the objective up; one that stands is kept short, since it only makes everybody wait: the band slides from
	// the late one to the early one as the smoothed wait rises from standsFrom to standsTo.
	transientBandStart, transientBandEnd = 0.7, 1.0
	standingBandStart, standingBandEnd   = 0.1, 0.4
	standingLoadLow, standingLoadHigh    = 0.15, 0.4
	loadTimeConstant                     = 500 * time.Millisecond
	// maxLoadWeight is the most that one request moves the smoothed wait: where few come, one that met a queue is no sign that it
	// stands.
	maxLoadWeight = 0.15
	// retryLoadDivisor is how much more wait one that comes back is sent with, so that it goes before new ones; not much more, else
	// those that come back would make everybody late.
	retryLoadDivisor = 1.6
	// minRetryAfter and comeBackMost bound the advice when to come back; comeBackSpread is the share by which it differs.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = 3 * time.Second
	retryAfterJitter = 0.6
	// rejectionTTL is how long a refusal is known, and rememberedMost how many are.
	rejectionTTL  = 6 * time.Second
	maxRejections = 20_000
)

// Request is a request whose placement is known.
type Request struct {
	Key           string        // names the request when it comes back; "" nobody knows it again
	Priority      int           // 0 is the most urgent
	PredictedWait time.Duration // predicted wait before it is read
	Objective     time.Duration // 0: it is never turned away
	Random        float64       // drawn from 0 to 1
}

// Controller keeps what is learnt of one service. Its zero value has learnt nothing.
type Controller struct {
	corrections [PriorityLevels]float64 // of seen to predicted waits, their median; 0 before the first
	loads       [PriorityLevels]smoothedLoad
	rejectedAt  map[string]time.Duration
}

// smoothedLoad is the smoothed wait of a rank, as a share of the objective.
type smoothedLoad struct {
	load      float64
	updatedAt time.Duration
}

// observe takes the load that one request sees and returns how far the band has slid, from 0 to 1.
func (s *smoothedLoad) observe(now time.Duration, load float64) float64 {
	weight := min(1-math.Exp(-float64(now-s.updatedAt)/float64(loadTimeConstant)), maxLoadWeight)
	s.load, s.updatedAt = s.load+weight*(load-s.load), now
	return min(max((s.load-standingLoadLow)/(standingLoadHigh-standingLoadLow), 0), 1)
}

// ObserveWait takes what a request of a rank waited, against what was predicted for it.
func (c *Controller) ObserveWait(priority int, predicted, actual time.Duration) {
	if predicted < minObservedPrediction {
		return
	}
	correction := &c.corrections[clampPriority(priority)]
	if *correction == 0 {
		*correction = 1
	}
	if float64(actual) > *correction*float64(predicted) {
		*correction *= 1 + correctionStep
	} else {
		*correction /= 1 + correctionStep
	}
	*correction = min(max(*correction, 1/maxCorrection), maxCorrection)
}

// ExpectedWait returns the wait of a rank that a prediction stands for.
func (c *Controller) ExpectedWait(priority int, predicted time.Duration) time.Duration {
	correction := c.corrections[clampPriority(priority)]
	if correction == 0 || predicted < minObservedPrediction {
		return predicted
	}
	return time.Duration(correction * float64(predicted))
}

func clampPriority(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// Decide reports whether a request is to be turned away, and when it should come back: when the queue will have become as
// short as is wanted, if nothing else came.
func (c *Controller) Decide(now time.Duration, request Request) (retryAfter time.Duration, reject bool) {
	if request.Objective <= 0 {
		return 0, false
	}
	expected := c.ExpectedWait(request.Priority, request.PredictedWait)
	load := float64(expected) / float64(request.Objective)
	standingFraction := c.loads[clampPriority(request.Priority)].observe(now, load)
	bandStart, bandEnd := transientBandStart+standingFraction*(standingBandStart-transientBandStart), transientBandEnd+standingFraction*(standingBandEnd-transientBandEnd)
	if rejectedAt, isRetry := c.rejectedAt[request.Key]; isRetry && now < rejectedAt+rejectionTTL {
		load /= retryLoadDivisor
	}
	if request.Random >= (load-bandStart)/(bandEnd-bandStart) {
		delete(c.rejectedAt, request.Key)
		return 0, false
	}
	c.RecordRejection(now, request.Key)
	wait := max(minRetryAfter, expected-time.Duration(bandStart*float64(request.Objective)))
	wait += time.Duration(retryAfterJitter * request.Random * float64(wait))
	return min(wait, maxRetryAfter), true
}

// RecordRejection notes a refusal, of this judge or of another one, so that the request is known when it comes back.
func (c *Controller) RecordRejection(now time.Duration, key string) {
	if key == "" {
		return
	}
	if c.rejectedAt == nil {
		c.rejectedAt = map[string]time.Duration{}
	}
	if len(c.rejectedAt) >= maxRejections {
		c.Sweep(now)
	}
	if len(c.rejectedAt) < maxRejections {
		c.rejectedAt[key] = now
	}
}

// Sweep forgets refusals that are long past.
func (c *Controller) Sweep(now time.Duration) {
	for key, at := range c.rejectedAt {
		if now >= at+rejectionTTL {
			delete(c.rejectedAt, key)
		}
	}
}
