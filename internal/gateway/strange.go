package gateway

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// maxUnknownHeaders is how many different words of back ends that nothing reads are logged: their names come from outside.
const maxUnknownHeaders = 32

// unknownHeaders are the words of back ends that nothing reads. It is safe for concurrent use.
type unknownHeaders struct {
	mu    sync.Mutex
	names []string // at most strangeMost; guarded by mu
}

// addNew reports whether a word is to be logged: once, while there is room.
func (s *unknownHeaders) addNew(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.names) >= maxUnknownHeaders || slices.Contains(s.names, name) {
		return false
	}
	s.names = append(s.names, name)
	return true
}

// recordUnknownHeaders counts words of a back end that nothing reads, and logs each name once.
func (g *Gateway) recordUnknownHeaders(row *endpoint, names []string) {
	for _, name := range names {
		g.metrics.unknownHeaders.Inc()
		if g.unknownHeaders.addNew(name) {
			g.log.info(events.UnknownBackendHeader, zap.String("word", name), zap.String(events.FieldInstance, row.entry.ID))
		}
	}
}
