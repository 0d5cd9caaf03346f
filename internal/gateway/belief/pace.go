package belief

import "time"

const (
	// prefillQuantile is the quantile of observed times that the estimate tracks. It is below the median because some
	// requests taken to be alone at their engine were not.
	prefillQuantile = 0.3
	// tokenTimeStep is the relative change of the time per token by one request, and maxTokenTimeFactor bounds its
	// ratio to the default.
	tokenTimeStep      = 0.05
	maxTokenTimeFactor = 4.0
	// overheadStep is the change of the fixed overhead by one request, in milliseconds, and maxOverhead its maximum.
	// A longer time is no network round trip, but queueing.
	overheadStep = 5.0
	maxOverhead  = 1000.0
	// Requests below overheadSampleTokens update the fixed overhead, and those of at least tokenTimeSampleTokens the
	// time per token. Those in between cannot tell the two apart.
	overheadSampleTokens  = 512
	tokenTimeSampleTokens = 1500
)

// PrefillRate is the default prefill rate of an engine, in tokens per millisecond.
const PrefillRate = 40.0

// PrefillEstimate estimates the prefill time per prompt token, under the engine's usual load, and the fixed
// overhead of each request (network round trip and first decode step). Only the prefill delays the next prompt. It
// is learned from requests that were alone at their engine. Cost weights use PrefillRate instead.
type PrefillEstimate struct {
	tokenTime float64 // milliseconds per token, within maxTokenTimeFactor of 1/PrefillRate
	overhead  float64 // milliseconds, from 0 to maxOverhead
}

// DefaultPrefillEstimate returns the estimate used before any request was observed.
func DefaultPrefillEstimate() PrefillEstimate { return PrefillEstimate{tokenTime: 1 / PrefillRate} }

// Observe returns the estimate updated by a request that had the given tokens to prefill and whose first event
// came after a time.
func (p PrefillEstimate) Observe(tokens int, first time.Duration) PrefillEstimate {
	elapsed := Milliseconds(first)
	switch {
	case tokens < overheadSampleTokens:
		p.overhead += quantileStep(p.overhead, elapsed-p.tokenTime*float64(tokens)) * overheadStep
		p.overhead = min(max(p.overhead, 0), maxOverhead)
	case tokens >= tokenTimeSampleTokens:
		p.tokenTime += quantileStep(p.tokenTime, (elapsed-p.overhead)/float64(tokens)) * tokenTimeStep * p.tokenTime
		p.tokenTime = min(max(p.tokenTime, 1/PrefillRate/maxTokenTimeFactor), maxTokenTimeFactor/PrefillRate)
	}
	return p
}

// quantileStep returns the signed change, in steps, that an observed value causes to an estimate of the quantile.
func quantileStep(estimate, observed float64) float64 {
	if observed > estimate {
		return prefillQuantile
	}
	return prefillQuantile - 1
}

// PrefillTime returns how long the prefill of the tokens takes, without the fixed overhead.
func (p PrefillEstimate) PrefillTime(tokens int) time.Duration {
	return FromMilliseconds(p.tokenTime * float64(tokens))
}

// TimeToFirstEvent returns how long a request that is alone at its engine waits for its first event.
func (p PrefillEstimate) TimeToFirstEvent(tokens int) time.Duration {
	return p.PrefillTime(tokens) + FromMilliseconds(p.overhead)
}
