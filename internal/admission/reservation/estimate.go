package reservation

import (
	"math"
	"time"
)

const (
	// ratioStep is the relative change of a quantile of the ratios by one request, and maxRatio bounds the quantiles,
	// its reciprocal from below.
	ratioStep = 0.15
	maxRatio  = 8.0
	// minObservedWait is the shortest predicted wait whose ratio is recorded: below it, the time of a decode step
	// dominates.
	minObservedWait = 50 * time.Millisecond
	// Without new requests a ratio holds for ratioValidity, and then approaches 1 with ratioTimeConstant: a ratio that
	// rejects every request would otherwise never be corrected.
	ratioValidity     = 2 * time.Second
	ratioTimeConstant = 5 * time.Second
	lowerQuantile     = 0.25
	upperQuantile     = 0.85
)

// ratios estimates quantiles of the ratio of actual to predicted wait of one priority.
type ratios struct {
	lower, median, upper float64 // logarithms
	observedAt           time.Duration
}

// observe updates the quantiles.
func (r *ratios) observe(now time.Duration, ratio float64) {
	age := r.weight(now)
	r.lower, r.median, r.upper = r.lower*age, r.median*age, r.upper*age
	value := math.Log(max(ratio, 1/maxRatio))
	r.lower = moveQuantile(r.lower, value, lowerQuantile)
	r.median = moveQuantile(r.median, value, 0.5)
	r.upper = moveQuantile(r.upper, value, upperQuantile)
	r.observedAt = now
}

func moveQuantile(estimate, value, quantile float64) float64 {
	if value > estimate {
		estimate += ratioStep * quantile
	} else {
		estimate -= ratioStep * (1 - quantile)
	}
	return min(max(estimate, -math.Log(maxRatio)), math.Log(maxRatio))
}

// weight returns how far the quantiles still apply, from 0 to 1.
func (r *ratios) weight(now time.Duration) float64 {
	if now <= r.observedAt+ratioValidity {
		return 1
	}
	return math.Exp(-float64(now-r.observedAt-ratioValidity) / float64(ratioTimeConstant))
}

// at returns the ratio between the lower quantile, for 0, and the upper quantile, for 1.
func (r *ratios) at(now time.Duration, position float64) float64 {
	if r.observedAt == 0 {
		return 1
	}
	return math.Exp(r.weight(now) * (r.lower + position*(r.upper-r.lower)))
}

// medianAt returns the median.
func (r *ratios) medianAt(now time.Duration) float64 {
	if r.observedAt == 0 {
		return 1
	}
	return math.Exp(r.weight(now) * r.median)
}

// meterCount is the number of parts into which a meter's window is divided.
const meterCount = 10

// meter sums tokens over a sliding window.
type meter struct {
	parts [meterCount]float64
	part  int64 // number of the newest part
}

func (m *meter) add(now, window time.Duration, tokens float64) {
	m.advance(now, window)
	m.parts[m.part%meterCount] += tokens
}

func (m *meter) sum(now, window time.Duration) float64 {
	m.advance(now, window)
	sum := 0.0
	for _, tokens := range m.parts {
		sum += tokens
	}
	return sum
}

func (m *meter) advance(now, window time.Duration) {
	number := int64(now / (window / meterCount))
	for m.part = max(m.part, number-meterCount); m.part < number; {
		m.part++
		m.parts[m.part%meterCount] = 0
	}
}
