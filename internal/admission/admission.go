// Package admission decides, from the wait predicted for a request's placement, whether the request is sent to a back
// end or rejected at once. It uses no I/O, locks, clock or randomness of its own.
//
// A request that would miss its objective anyway occupies memory and slots that others could still use in time, and
// evicts their cached prefixes. Rejected at once, it can be retried when it can be served. Only the queueing wait is
// judged, not the time to read the prompt: a long prompt takes long on any back end and would always be rejected.
package admission

import (
	"math"
	"time"
)

const (
	// PriorityLevels is the number of priorities. Prediction errors are tracked for each, since engines serve higher
	// priorities first.
	PriorityLevels = 10
	// correctionStep is the relative change of a correction factor for one request; maxCorrection bounds the factor,
	// and its reciprocal bounds it from below.
	correctionStep = 0.03
	maxCorrection  = 16.0
	// minObservedPrediction is the shortest predicted wait that updates a correction: below it, the time of a single
	// decode step dominates.
	minObservedPrediction = 60 * time.Millisecond
	// Below the start of a band, given as fractions of the objective, every request is admitted; above its end, every
	// request is rejected. In between, the probability of rejection rises linearly, so that controllers with the same
	// view don't all reject at once. A transient queue may use the whole objective; a standing queue only delays
	// every request and is kept short. The band moves from transient to standing as the smoothed load rises from
	// standingLoadLow to standingLoadHigh.
	transientBandStart, transientBandEnd = 0.7, 1.0
	standingBandStart, standingBandEnd   = 0.1, 0.4
	standingLoadLow, standingLoadHigh    = 0.15, 0.4
	loadTimeConstant                     = 500 * time.Millisecond
	// maxLoadWeight bounds the weight of one request in the smoothed load, so that at a low request rate a single
	// queued request does not count as a standing queue.
	maxLoadWeight = 0.15
	// retryLoadDivisor reduces the load seen by a retried request, so that it is preferred over new ones. A larger
	// value would let retries exceed the objective.
	retryLoadDivisor = 1.6
	// minRetryAfter and maxRetryAfter bound the retry delay; retryAfterJitter is the largest fraction added at
	// random.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = 3 * time.Second
	retryAfterJitter = 0.6
	// rejectionTTL is how long a rejection is remembered, and maxRejections how many are.
	rejectionTTL  = 6 * time.Second
	maxRejections = 20_000
)

// Request is a request with a chosen placement.
type Request struct {
	Key           string        // identifies the request when it is retried; "" if it cannot be recognized
	Priority      int           // 0 is the most urgent
	PredictedWait time.Duration // from arrival until the prompt is read
	Objective     time.Duration // for the wait; 0 never rejects the request
	Random        float64       // uniform in [0, 1)
}

// Controller holds the admission state of one service. The zero value is ready to use.
type Controller struct {
	corrections [PriorityLevels]float64 // median ratio of actual to predicted wait; 0 before the first observation
	loads       [PriorityLevels]smoothedLoad
	rejectedAt  map[string]time.Duration
}

// smoothedLoad is an exponential moving average of the expected wait of one priority, as a fraction of the objective.
type smoothedLoad struct {
	load      float64
	updatedAt time.Duration
}

// observe adds the load seen by one request and returns how far the band has moved towards the standing queue's, from
// 0 to 1.
func (s *smoothedLoad) observe(now time.Duration, load float64) float64 {
	weight := min(1-math.Exp(-float64(now-s.updatedAt)/float64(loadTimeConstant)), maxLoadWeight)
	s.load, s.updatedAt = s.load+weight*(load-s.load), now
	return min(max((s.load-standingLoadLow)/(standingLoadHigh-standingLoadLow), 0), 1)
}

// ObserveWait records how long a request of the given priority waited and which wait was predicted for it.
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

// ExpectedWait returns the predicted wait multiplied by the correction factor of the priority.
func (c *Controller) ExpectedWait(priority int, predicted time.Duration) time.Duration {
	correction := c.corrections[clampPriority(priority)]
	if correction == 0 || predicted < minObservedPrediction {
		return predicted
	}
	return time.Duration(correction * float64(predicted))
}

func clampPriority(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// Decide reports whether to reject a request, and after which delay it should be retried: when the queue will be
// short enough if no further requests arrive.
func (c *Controller) Decide(now time.Duration, request Request) (retryAfter time.Duration, reject bool) {
	if request.Objective <= 0 {
		return 0, false
	}
	expected := c.ExpectedWait(request.Priority, request.PredictedWait)
	load := float64(expected) / float64(request.Objective)
	standingFraction := c.loads[clampPriority(request.Priority)].observe(now, load)
	bandStart, bandEnd := transientBandStart+standingFraction*(standingBandStart-transientBandStart),
		transientBandEnd+standingFraction*(standingBandEnd-transientBandEnd)
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

// RecordRejection records a rejection by this or another controller, so that the retried request is recognized.
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

// RejectedBefore reports whether a rejection of the request is remembered.
func (c *Controller) RejectedBefore(now time.Duration, key string) bool {
	at, known := c.rejectedAt[key]
	return known && now < at+rejectionTTL
}

// ForgetRejection removes the rejection of a request that was admitted.
func (c *Controller) ForgetRejection(key string) { delete(c.rejectedAt, key) }

// Sweep removes expired rejections.
func (c *Controller) Sweep(now time.Duration) {
	for key, at := range c.rejectedAt {
		if now >= at+rejectionTTL {
			delete(c.rejectedAt, key)
		}
	}
}
