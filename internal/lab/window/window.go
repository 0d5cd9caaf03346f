// Package window checks request counts in sliding time windows against a rate limit that a back end advertises.
package window

import (
	"slices"
	"time"
)

const (
	// Length is the length of a window. A back end may receive up to rateFactor times its limit plus extraRequests in any
	// window.
	Length        = 4 * time.Second
	rateFactor    = 1.5
	extraRequests = 5
)

// Allowed returns the maximum number of requests in any window under a limit in requests per second.
func Allowed(limit float64) float64 { return rateFactor*limit*Length.Seconds() + extraRequests }

// Add appends a time, which must not be earlier than the others, and drops times outside of the window that ends
// with it.
func Add(times []time.Duration, at time.Duration) []time.Duration {
	return append(slices.DeleteFunc(times, func(before time.Duration) bool { return before <= at-Length }), at)
}

// MaxCount returns the highest number of times in any window that ends at one of the times, at from or later. The times
// must be in ascending order.
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
