package window

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMaxCountMatchesCountOfEachWindow compares MaxCount with a separate count of every window and with windows that
// Add maintains incrementally.
func TestMaxCountMatchesCountOfEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOf(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 20).Draw(t, "half seconds")) * time.Second / 2
		})).Draw(t, "times")
		slices.Sort(times)
		from := time.Duration(rapid.IntRange(0, 10).Draw(t, "from")) * time.Second
		want, incremental := 0, 0
		var recent []time.Duration
		for i, end := range times {
			recent = Add(recent, end)
			if end < from {
				continue
			}
			count := 0
			for _, at := range times[:i+1] {
				if at > end-Length {
					count++
				}
			}
			want, incremental = max(want, count), max(incremental, len(recent))
		}
		if got := MaxCount(times, from); got != want || incremental != want {
			t.Fatalf("MaxCount is %d, incremental count %d, want %d for times %v from %v", got, incremental, want, times, from)
		}
	})
}
