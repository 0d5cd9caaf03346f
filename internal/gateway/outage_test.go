package gateway

import (
	"testing"
	"time"
)

// TestOutageLearnsHowLongItLasts: the first guess gives way to what was seen, and one that outlasts it is taken to go on.
func TestOutageLearnsHowLongItLasts(t *testing.T) {
	o := &outage{}
	if left := o.remaining(0); left != initialOutageEstimate {
		t.Fatalf("at the start %v", left)
	}
	if left := o.remaining(4 * time.Second); left != 2*time.Second {
		t.Fatalf("after 4 s %v", left)
	}
	now := 2 * time.Second
	o.end(now)
	for range 20 {
		now += time.Minute
		o.begin(now)
		o.begin(now + 50*time.Millisecond) // changes nothing
		now += 100 * time.Millisecond
		o.end(now)
		o.end(now + time.Second) // changes nothing
	}
	now += time.Minute
	o.begin(now)
	if left := o.remaining(now); left < 95*time.Millisecond || left > 120*time.Millisecond {
		t.Fatalf("after many of 100 ms: %v", left)
	}
}

// TestComeBackIsSpread: callers who are turned away together are told different times, within bounds.
func TestComeBackIsSpread(t *testing.T) {
	g := &Gateway{now: func() time.Duration { return time.Hour }} // an outage of an hour
	told := map[time.Duration]bool{}
	for range 100 {
		advice := g.controlRetryAfter()
		if advice < minControlRetryAfter || advice > time.Duration((1+controlRetryJitter)*float64(maxControlRetryAfter)) {
			t.Fatalf("come back in %v", advice)
		}
		told[advice] = true
	}
	if len(told) < 50 {
		t.Fatalf("100 callers were told %d times", len(told))
	}
}
