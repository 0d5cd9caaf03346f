// Package window judges how many requests came in any stretch of time, against what a back end says that it takes.
package window

import (
	"slices"
	"time"
)

const (
	// Length is that of a window. In any of them a back end that names a limit may get factor times what this allows, and slack more.
	Length        = 4 * time.Second
	rateFactor    = 1.5
	extraRequests = 5
)

// Allowed returns how many requests may come in any window under a limit, in requests a second.
func Allowed(limit float64) float64 { return rateFactor*limit*Length.Seconds() + extraRequests }

// Add adds a time, not before the others, and drops those that lie in no window with it.
func Add(times []time.Duration, at time.Duration) []time.Duration {
	return append(slices.DeleteFunc(times, func(before time.Duration) bool { return before <= at-Length }), at)
}

// MaxCount returns how many of the times, which rise, lie in the fullest of the windows that end at a time or later.
func MaxCount(times []time.Duration, from time.Duration) (maxCount int) {
	first := 0
	for i, end := range times {
		for times[first] <= end-Length {
			first++
		}
		if end >= from {
			maxCount = max(maxCount, i-first+1)
		}
	}
	return maxCount
}
