package gateway

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// maxUnknownHeaders bounds the number of unknown header names that are remembered and logged, as back ends choose them.
const maxUnknownHeaders = 32

// unknownHeaders remembers which unknown headers of back ends were logged. It is safe for concurrent use.
type unknownHeaders struct {
	mu   sync.Mutex
	seen []string // maxUnknownHeaders at most; guarded by mu
}

// addNew adds a name and reports whether it was added, which it is not if it was seen before or the maximum is reached.
func (u *unknownHeaders) addNew(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.seen) >= maxUnknownHeaders || slices.Contains(u.seen, name) {
		return false
	}
	u.seen = append(u.seen, name)
	return true
}

// recordUnknownHeaders counts unknown headers of a back end, and logs each name once.
func (g *Gateway) recordUnknownHeaders(row *endpoint, names []string) {
	for _, name := range names {
		g.metrics.unknownHeaders.Inc()
		if g.unknownHeaders.addNew(name) {
			g.log.info(events.UnknownBackendHeader, zap.String("word", name), zap.String(events.FieldInstance, row.entry.ID))
		}
	}
}
