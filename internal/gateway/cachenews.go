package gateway

import (
	"context"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/pushback"
)

// CacheReport is what an engine tells of its cache.
type CacheReport struct {
	Incarnation uint64              // of the engine's process: another one has forgotten everything
	StartedMS   int64               // when that process was started, in Unix ms; 0 where it doesn't tell
	NextEvent   uint64              // number to ask for next
	EventsLost  bool                // some news is missing
	Parts       []belief.CachedPart // in the order in which they changed
	Pushback    pushback.Signals    // of itself; also beside an error
}

// CacheReader asks engines what they keep. It is safe for concurrent use. An answer that cannot be read in full is an
// error of that one exchange.
type CacheReader interface {
	// Events returns what changed since a number; it waits until something does, a second or so at most.
	Events(ctx context.Context, address string, since uint64) (CacheReport, error)
	// List returns everything that is kept. It holds up the engine's work.
	List(ctx context.Context, address string) (CacheReport, error)
}
