package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// decisionLog tells what the gateway decides and comes to believe. Writing to it never waits.
type decisionLog struct {
	out    *node.Log
	cutOff atomic.Bool // control lost was told, and control regained not yet
}

func newDecisionLog(out *node.Log) *decisionLog { return &decisionLog{out: out} }

// note writes a line.
func (l *decisionLog) note(event string, fields ...zap.Field) { l.out.Info(event, fields...) }

// lost notes once that the view is no longer confirmed.
func (l *decisionLog) lost() {
	if l.cutOff.CompareAndSwap(false, true) {
		l.note(events.ControlLost)
	}
}

// regained notes once that the view is confirmed again.
func (l *decisionLog) regained() {
	if l.cutOff.CompareAndSwap(true, false) {
		l.note(events.ControlRegained)
	}
}

const (
	// sparseEach is the least time between two lines of one key: a rollout may cause one for each request.
	sparseEach = time.Second
	// sparseKept is how long a key is kept after its newest line, for the count of the lines that were held back since.
	sparseKept = time.Minute
)

// sparse bounds how often lines of one key are written, and counts those held back. It is safe for concurrent use.
type sparse struct {
	mu    sync.Mutex
	lines map[string]sparseLine // guarded by mu
}

// sparseLine is what is known of the lines of one key.
type sparseLine struct {
	at   time.Duration // when one was last written
	held int           // held back since
}

func newSparse() *sparse { return &sparse{lines: map[string]sparseLine{}} }

// due reports whether a line may be written now, and how many were held back since the last.
func (s *sparse) due(now time.Duration, key string) (held int, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.lines[key]
	if known && now-last.at < sparseEach {
		last.held++
		s.lines[key] = last
		return 0, false
	}
	s.lines[key] = sparseLine{at: now}
	return last.held, true
}

// sweep forgets keys without a line for long.
func (s *sparse) sweep(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, last := range s.lines {
		if now-last.at > sparseKept {
			delete(s.lines, key)
		}
	}
}
