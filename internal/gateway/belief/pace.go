package belief

import "time"

const (
	// prefillQuantile of the requests that were taken to be alone at their engine are read at the learnt pace or faster: below the
	// median, since some of them were not alone.
	prefillQuantile = 0.3
	// tokenTimeStep is by how much one request moves the pace, as a part of it, and paceMost how far it may get from the first guess.
	tokenTimeStep      = 0.05
	maxTokenTimeFactor = 4.0
	// overheadStep is by how much one request moves the fixed time, in milliseconds, and fixedMost how long that may get: above a second it is no
	// way there and back, but a queue.
	overheadStep = 5.0
	maxOverhead  = 1000.0
	// overheadSampleTokens is how few tokens tell the fixed time, and longRead how many tell the pace: in between either hides the other.
	overheadSampleTokens  = 512
	tokenTimeSampleTokens = 1500
)

// PrefillRate is how many prompt tokens an engine is taken to read in a millisecond.
const PrefillRate = 40.0

// PrefillEstimate is how long an engine takes to read a prompt token beside the other work that it has, apart from the time that each request takes whatever it
// reads: the way there and back, and the first step. Only the reading keeps the next prompt waiting. It is learnt from requests that were taken to
// be alone there, and tells until when an engine is busy and how long a prompt takes there; what reading again weighs besides is a matter of its own
// (PrefillRate).
type PrefillEstimate struct {
	tokenTime float64 // milliseconds, from 1/paceMost of the first guess to paceMost times as long
	overhead  float64 // milliseconds, from 0 to fixedMost
}

// DefaultPrefillEstimate is taken before anything was learnt.
func DefaultPrefillEstimate() PrefillEstimate { return PrefillEstimate{tokenTime: 1 / PrefillRate} }

// Observe moves the pace towards its quantile by one request, of so many tokens to read, whose first event came after a time.
func (p PrefillEstimate) Observe(tokens int, first time.Duration) PrefillEstimate {
	seen := Milliseconds(first)
	switch {
	case tokens < overheadSampleTokens:
		p.overhead += quantileStep(p.overhead, seen-p.tokenTime*float64(tokens)) * overheadStep
		p.overhead = min(max(p.overhead, 0), maxOverhead)
	case tokens >= tokenTimeSampleTokens:
		p.tokenTime += quantileStep(p.tokenTime, (seen-p.overhead)/float64(tokens)) * tokenTimeStep * p.tokenTime
		p.tokenTime = min(max(p.tokenTime, 1/PrefillRate/maxTokenTimeFactor), maxTokenTimeFactor/PrefillRate)
	}
	return p
}

// quantileStep is which way one seen value moves an estimate of the quantile, and how far, in steps.
func quantileStep(estimate, seen float64) float64 {
	if seen > estimate {
		return prefillQuantile
	}
	return prefillQuantile - 1
}

// PrefillTime returns how long the tokens take, beside what each request takes.
func (p PrefillEstimate) PrefillTime(tokens int) time.Duration {
	return FromMilliseconds(p.tokenTime * float64(tokens))
}

// TimeToFirstEvent returns how long a request alone waits for its first event.
func (p PrefillEstimate) TimeToFirstEvent(tokens int) time.Duration {
	return p.PrefillTime(tokens) + FromMilliseconds(p.overhead)
}
