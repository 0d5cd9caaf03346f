package window

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMaxCountMatchesCountOfEachWindow: against a count of every window by itself, and against windows that are kept as times come in.
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
			t.Fatalf("%d, kept %d, wanted %d of %v from %v", got, incremental, want, times, from)
		}
	})
}
