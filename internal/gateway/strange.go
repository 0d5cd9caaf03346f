package gateway

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// strangeMost is how many different words of back ends that nothing reads are logged: their names come from outside.
const strangeMost = 32

// strangeWords are the words of back ends that nothing reads. It is safe for concurrent use.
type strangeWords struct {
	mu    sync.Mutex
	names []string // at most strangeMost; guarded by mu
}

// first reports whether a word is to be logged: once, while there is room.
func (s *strangeWords) first(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.names) >= strangeMost || slices.Contains(s.names, name) {
		return false
	}
	s.names = append(s.names, name)
	return true
}

// noteStrange counts words of a back end that nothing reads, and logs each name once.
func (g *Gateway) noteStrange(row *endpoint, names []string) {
	for _, name := range names {
		g.metrics.strange.Inc()
		if g.strange.first(name) {
			g.log.note(events.UnknownBackendHeader, zap.String("word", name), zap.String(events.FieldInstance, row.entry.ID))
		}
	}
}
