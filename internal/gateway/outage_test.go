package gateway

import (
	"testing"
	"time"
)

// TestOutageEstimate tests the initial estimate, the estimate for an outage that exceeds it, and the mean of earlier
// outages.
func TestOutageEstimate(t *testing.T) {
	o := &outage{}
	if left := o.remaining(0); left != initialOutageEstimate {
		t.Fatalf("remaining at the start: %v", left)
	}
	if left := o.remaining(4 * time.Second); left != 2*time.Second {
		t.Fatalf("remaining after 4 s: %v, want 2s", left)
	}
	now := 2 * time.Second
	o.end(now)
	for range 20 {
		now += time.Minute
		o.begin(now)
		o.begin(now + 50*time.Millisecond) // no effect
		now += 100 * time.Millisecond
		o.end(now)
		o.end(now + time.Second) // no effect
	}
	now += time.Minute
	o.begin(now)
	if left := o.remaining(now); left < 95*time.Millisecond || left > 120*time.Millisecond {
		t.Fatalf("remaining after many outages of 100 ms: %v", left)
	}
}

// TestControlRetryAfter tests that retry times during an outage are bounded and have jitter.
func TestControlRetryAfter(t *testing.T) {
	g := &Gateway{now: func() time.Duration { return time.Hour }} // an outage of an hour
	distinct := map[time.Duration]bool{}
	for range 100 {
		retryAfter := g.controlRetryAfter()
		if retryAfter < minControlRetryAfter || retryAfter > time.Duration((1+controlRetryJitter)*float64(maxControlRetryAfter)) {
			t.Fatalf("retry after %v", retryAfter)
		}
		distinct[retryAfter] = true
	}
	if len(distinct) < 50 {
		t.Fatalf("%d distinct retry times for 100 callers, want at least 50", len(distinct))
	}
}
