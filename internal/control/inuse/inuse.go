// Package inuse selects the back ends of a service that gateways use, so that what gateways know, read and connect to
// grows with the load and not with the size of the fleet. It has no I/O, locks or clock.
//
// Each back end has a weight, which is a hash of its address. A service uses the back ends whose weight is at most a
// bound. The set in use thus follows from the bound alone: every leader selects the same back ends, a new incarnation
// at an address replaces the previous one, and a change of the bound changes few members. The bound moves when too few,
// or clearly too many, of the back ends in use are reachable.
package inuse

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Unbounded is the bound that includes every back end.
	Unbounded = uint64(math.MaxUint64)
	// MinBackends is the minimum number of back ends in use per service. State for that many takes about 2 MB in a
	// gateway, and they hold several copies of the shared prompts of a large fleet.
	MinBackends = 512
	// backendsPerRequest is the number of back ends used per running request. With 2, at most every second back end
	// is busy while nothing fails, so half of them may fail before requests have to share one.
	backendsPerRequest = 2
	// slackDivisor is the inverse of the fraction by which the reachable back ends may exceed the target before the
	// bound is lowered.
	slackDivisor = 8
	// growthDivisor is the inverse of the fraction added when the target grows, so that the bound seldom moves while
	// load rises.
	growthDivisor = 4
	// peakWindow is the minimum time for which a load peak counts; it counts for at most twice that. It exceeds the
	// time that a restart of the whole fleet takes, during which nothing runs.
	peakWindow = 30 * time.Second
)

// HashWeight returns the weight of the back end at an address.
func HashWeight(address string) uint64 { return xxhash.Sum64String(address) }

// Size tracks the target number of back ends in use for a service. The zero value is ready to use.
type Size struct {
	target       int
	peak         int // most concurrent requests since windowStart
	previousPeak int // most concurrent requests in the window before
	windowStart  time.Duration
}

// Update records the number of running requests of the service and returns the target number of back ends in use. On
// the first call the target is derived from inUse, the number of reachable back ends in use under the previous leader
// or 0 if there was none, since a new leader has no load reports yet.
func (s *Size) Update(now time.Duration, running, inUse int) int {
	if s.target == 0 {
		target := inUse - inUse/(2*slackDivisor+1) // MaxHashWeight puts the bound slightly above the target
		s.target, s.previousPeak, s.windowStart = max(MinBackends, target), target/backendsPerRequest, now
	}
	if now >= s.windowStart+peakWindow {
		s.previousPeak, s.peak, s.windowStart = s.peak, 0, now
	}
	s.peak = max(s.peak, running)
	needed := max(MinBackends, backendsPerRequest*max(s.peak, s.previousPeak))
	switch {
	case needed > s.target:
		s.target = needed + needed/growthDivisor
	case needed < s.target/2:
		s.target = max(needed, s.target/2)
	}
	return s.target
}

// MaxHashWeight returns the new bound, given the current one, the weights of the reachable back ends, the number of
// unreachable back ends and the target. It sorts reachable in place.
//
// The bound is kept while more back ends are unreachable than reachable: so many silent at once point to a fault
// between them and the control plane, and sending the rest of the fleet to every gateway would add load to it.
func MaxHashWeight(current uint64, reachable []uint64, unreachable, target int) uint64 {
	if unreachable > len(reachable) {
		return current
	}
	if len(reachable) <= target || len(reachable) <= target+target/slackDivisor && current == Unbounded {
		return Unbounded
	}
	inUse := 0
	for _, weight := range reachable {
		if weight <= current {
			inUse++
		}
	}
	if inUse >= target && inUse <= target+target/slackDivisor {
		return current
	}
	slices.Sort(reachable)
	return reachable[min(len(reachable), target+target/slackDivisor/2)-1] // the middle of the tolerated range, so that the bound is stable
}
