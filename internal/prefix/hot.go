package prefix

import (
	"math"
	"time"
)

const (
	rateHalfLife       = 20 * time.Second
	maxTrackedPrefixes = 4096 // whose rate is tracked
)

// decayingCount is an exponentially decaying count of the requests for a prefix.
type decayingCount struct {
	count   float64
	updated time.Duration
}

// RequestRates tracks how often each shared prefix is requested, with exponential decay.
type RequestRates struct {
	counts map[Hash]*decayingCount
}

// NewRequestRates returns an empty RequestRates.
func NewRequestRates() *RequestRates { return &RequestRates{counts: map[Hash]*decayingCount{}} }

// Record counts a request for the prefix that ends with the given block and returns the prefix's rate per minute.
func (t *RequestRates) Record(hash Hash, now time.Duration) float64 {
	entry := t.counts[hash]
	if entry == nil {
		if len(t.counts) >= maxTrackedPrefixes {
			t.evict(now)
		}
		entry = &decayingCount{updated: now}
		t.counts[hash] = entry
	}
	entry.count = entry.decayed(now) + 1
	entry.updated = now
	return entry.perMinute()
}

// Rate returns the requests per minute of a prefix.
func (t *RequestRates) Rate(hash Hash, now time.Duration) float64 {
	entry := t.counts[hash]
	if entry == nil {
		return 0
	}
	entry.count, entry.updated = entry.decayed(now), now
	return entry.perMinute()
}

func (r *decayingCount) decayed(now time.Duration) float64 {
	return r.count * math.Exp2(-float64(now-r.updated)/float64(rateHalfLife))
}

// perMinute converts the count to a rate: a steady rate r leads to a count of r * rateHalfLife / ln 2.
func (r *decayingCount) perMinute() float64 {
	return r.count * math.Ln2 / rateHalfLife.Minutes()
}

// evict deletes the prefixes with the lowest counts, doubling the threshold until there is room for a new one.
func (t *RequestRates) evict(now time.Duration) {
	for threshold := 0.5; len(t.counts) >= maxTrackedPrefixes; threshold *= 2 {
		for hash, entry := range t.counts {
			if entry.decayed(now) < threshold {
				delete(t.counts, hash)
			}
		}
	}
}
