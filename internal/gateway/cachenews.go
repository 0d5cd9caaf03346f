package gateway

import (
	"context"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/pushback"
)

// CacheReport is an engine's report about the contents of its prefix cache.
type CacheReport struct {
	Incarnation uint64              // of the engine's process; a new one starts with an empty cache
	StartedMS   int64               // start time of the process in Unix milliseconds; 0 if not reported
	NextEvent   uint64              // event number to read from next
	EventsLost  bool                // some events are missing
	Parts       []belief.CachedPart // in order of change
	Pushback    pushback.Signals    // of the engine; also set with an error
}

// CacheReader reads the contents of engines' prefix caches. It is safe for concurrent use. A response that cannot be
// parsed in full is an error of that call only.
type CacheReader interface {
	// Events returns the changes from an event number on. It waits for a change for about a second at most.
	Events(ctx context.Context, address string, since uint64) (CacheReport, error)
	// List returns the complete contents. It blocks the engine's other work.
	List(ctx context.Context, address string) (CacheReport, error)
}
