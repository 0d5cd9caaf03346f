package node

import (
	"sync"
	"time"
)

const (
	// LogLimitInterval is the least time between two lines of one key: a rollout may cause one for each request.
	LogLimitInterval = time.Second
	// logLimitStateTTL is how long a key is kept after its newest line, for the count of the lines that were held back since.
	logLimitStateTTL = time.Minute
)

// LogLimiter bounds how often lines of one key are written, and counts those held back. It is safe for concurrent use.
type LogLimiter struct {
	mu     sync.Mutex
	states map[string]logLimitState // guarded by mu
}

// logLimitState is what is known of the lines of one key.
type logLimitState struct {
	writtenAt  time.Duration // when one was last written
	suppressed int           // held back since
}

// NewLogLimiter returns one that has written no line yet.
func NewLogLimiter() *LogLimiter { return &LogLimiter{states: map[string]logLimitState{}} }

// Allow reports whether a line may be written now, and how many were held back since the last.
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

// Sweep forgets keys without a line for long.
func (l *LogLimiter) Sweep(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, state := range l.states {
		if now-state.writtenAt > logLimitStateTTL {
			delete(l.states, key)
		}
	}
}
