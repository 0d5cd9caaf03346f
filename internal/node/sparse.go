package node

import (
	"sync"
	"time"
)

const (
	// LogLimitInterval is the minimum time between two lines of one key; some events would otherwise log a line for
	// every request.
	LogLimitInterval = time.Second
	// logLimitStateTTL is how long a key's state, with its count of suppressed lines, is kept after its last line.
	logLimitStateTTL = time.Minute
)

// LogLimiter limits the rate of log lines by key and counts suppressed lines. It is safe for concurrent use.
type LogLimiter struct {
	mu     sync.Mutex
	states map[string]logLimitState // guarded by mu
}

// logLimitState is the state of one key.
type logLimitState struct {
	writtenAt  time.Duration // when a line was last allowed
	suppressed int           // lines suppressed since then
}

// NewLogLimiter returns a limiter without any keys.
func NewLogLimiter() *LogLimiter { return &LogLimiter{states: map[string]logLimitState{}} }

// Allow reports whether a line with the key may be written now and, if so, how many were suppressed since the last one.
func (l *LogLimiter) Allow(now time.Duration, key string) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.states[key]
	if known && now-state.writtenAt < LogLimitInterval {
		state.suppressed++
		l.states[key] = state
		return 0, false
	}
	l.states[key] = logLimitState{writtenAt: now}
	return state.suppressed, true
}

// Sweep removes keys whose last line is older than logLimitStateTTL.
func (l *LogLimiter) Sweep(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, state := range l.states {
		if now-state.writtenAt > logLimitStateTTL {
			delete(l.states, key)
		}
	}
}
