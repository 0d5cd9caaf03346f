package node

import (
	"testing"
	"time"
)

// TestLogLimiterAllowsOneLinePerIntervalAndKey: one a second for each key, with the count of those between; keys without lines are forgotten.
func TestLogLimiterAllowsOneLinePerIntervalAndKey(t *testing.T) {
	limiter := NewLogLimiter()
	for i, want := range []struct {
		at         time.Duration
		key        string
		suppressed int
		allowed    bool
	}{{0, "a", 0, true}, {1, "a", 0, false}, {2, "b", 0, true}, {3, "a", 0, false}, {LogLimitInterval, "a", 2, true}, {2 * LogLimitInterval, "a", 0, true}} {
		if suppressed, allowed := limiter.Allow(want.at, want.key); suppressed != want.suppressed || allowed != want.allowed {
			t.Errorf("%d: %d held, due %v", i, suppressed, allowed)
		}
	}
	limiter.Sweep(2*LogLimitInterval + logLimitStateTTL)
	if len(limiter.states) != 1 {
		t.Errorf("%d keys are kept", len(limiter.states))
	}
}

// TestLogLimiterCountsSuppressedLines: what is held back is counted with the next line, however long that takes.
func TestLogLimiterCountsSuppressedLines(t *testing.T) {
	limiter := NewLogLimiter()
	for _, step := range []struct {
		after      time.Duration
		suppressed int
		allowed    bool
	}{
		{0, 0, true}, {0, 0, false}, {LogLimitInterval - 1, 0, false}, {LogLimitInterval, 2, true}, {LogLimitInterval + 1, 0, false}, {5 * LogLimitInterval, 1, true},
	} {
		if suppressed, allowed := limiter.Allow(100*time.Second+step.after, ""); suppressed != step.suppressed || allowed != step.allowed {
			t.Errorf("after %v: %d, %v; wanted %d, %v", step.after, suppressed, allowed, step.suppressed, step.allowed)
		}
	}
}
