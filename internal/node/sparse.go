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
func (s *LogLimiter) Allow(now time.Duration, key string) (suppressed int, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.states[key]
	if known && now-state.writtenAt < LogLimitInterval {
		state.suppressed++
		s.states[key] = state
		return 0, false
	}
	s.states[key] = logLimitState{writtenAt: now}
	return state.suppressed, true
}

// Sweep forgets keys without a line for long.
func (s *LogLimiter) Sweep(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, state := range s.states {
		if now-state.writtenAt > logLimitStateTTL {
			delete(s.states, key)
		}
	}
}
