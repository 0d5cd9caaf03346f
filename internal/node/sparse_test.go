package node

import (
	"testing"
	"time"
)

// TestLogLimiterAllowsOneLinePerIntervalAndKey: keys are limited independently, suppressed lines are counted, and Sweep
// removes expired keys.
func TestLogLimiterAllowsOneLinePerIntervalAndKey(t *testing.T) {
	limiter := NewLogLimiter()
	for i, want := range []struct {
		at         time.Duration
		key        string
		suppressed int
		allowed    bool
	}{{0, "a", 0, true}, {1, "a", 0, false}, {2, "b", 0, true}, {3, "a", 0, false}, {LogLimitInterval, "a", 2, true}, {2 * LogLimitInterval, "a", 0, true}} {
		if suppressed, allowed := limiter.Allow(want.at, want.key); suppressed != want.suppressed || allowed != want.allowed {
			t.Errorf("call %d: %d suppressed, allowed %v", i, suppressed, allowed)
		}
	}
	limiter.Sweep(2*LogLimitInterval + logLimitStateTTL)
	if len(limiter.states) != 1 {
		t.Errorf("%d keys after Sweep, want 1", len(limiter.states))
	}
}

// TestLogLimiterCountsSuppressedLines: every suppressed line is counted by the next allowed one, however much later.
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
			t.Errorf("after %v: %d suppressed, allowed %v; want %d, %v", step.after, suppressed, allowed, step.suppressed, step.allowed)
		}
	}
}
