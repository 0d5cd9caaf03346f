// Package inuse decides which back ends of a service are in use, so that what gateways know, read and connect to follows the work and not
// the size of the fleet. It has no I/O, lock or clock.
//
// Each back end has a weight that follows from its address, and a service uses those of up to a bound. Who is in use then follows from the
// bound alone: every leader names the same ones, a new life at an address takes the place of the one before, and few change with
// the bound. The bound moves when too few, or clearly too many, of the back ends under it can work.
package inuse

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Unbounded is the bound under which every back end lies.
	Unbounded = uint64(math.MaxUint64)
	// MinBackends is how many back ends of a service are used at the least. The knowledge of so many costs a gateway some 2 MB, and they hold
	// several copies of the shared prompts of a large fleet.
	MinBackends = 512
	// backendsPerRequest is how many back ends are used for each request that runs: at the most every second one is then at work when nothing
	// fails, so that half of them may go before requests wait for each other.
	backendsPerRequest = 2
	// slackDivisor is the inverse of the share by which more than wanted may be able to work before the bound falls.
	slackDivisor = 8
	// growthDivisor is the inverse of the share that is taken beyond what is wanted now, so that the bound moves seldom while work grows.
	growthDivisor = 4
	// peakWindow is how long the most work seen counts at the least, and at most twice that: longer than a restart of all, during which
	// nothing runs.
	peakWindow = 30 * time.Second
)

// HashWeight returns the weight of the back end at an address.
func HashWeight(address string) uint64 { return xxhash.Sum64String(address) }

// Size is how many back ends of a service are wanted. Its zero value is the least.
type Size struct {
	target       int
	peak         int // most requests that ran together since began
	previousPeak int // the same, in the time before
	windowStart  time.Duration
}

// Update takes how many requests of the service run now, and how many back ends that are able to work are in use, and returns how many of
// these are wanted. What is in use at first, as a former leader left it, counts as work seen: this leader has heard of none yet. Where nobody
// has decided yet it is 0.
func (s *Size) Update(now time.Duration, running, inUse int) int {
	if s.target == 0 {
		wanted := inUse - inUse/(2*slackDivisor+1) // the bound was put a little beyond
		s.target, s.previousPeak, s.windowStart = max(MinBackends, wanted), wanted/backendsPerRequest, now
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

// MaxHashWeight returns the bound that follows from the one in force, the weights of all back ends that are able to work, how many there are
// besides that don't leave, and how many are wanted. It orders weights, and reorders the given ones.
//
// While more are unable than able, the bound stays: that many at once fall silent where control doesn't hear, and to tell every gateway
// of the whole fleet would add to what went wrong.
func MaxHashWeight(inForce uint64, able []uint64, unable, wanted int) uint64 {
	if unable > len(able) {
		return inForce
	}
	if len(able) <= wanted || len(able) <= wanted+wanted/slackDivisor && inForce == Unbounded {
		return Unbounded
	}
	under := 0
	for _, weight := range able {
		if weight <= inForce {
			under++
		}
	}
	if under >= wanted && under <= wanted+wanted/slackDivisor {
		return inForce
	}
	slices.Sort(able)
	return able[min(len(able), wanted+wanted/slackDivisor/2)-1] // the middle, so that it rests there
}
