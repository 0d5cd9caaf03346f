package transport

import (
	"context"
	"time"
)

// Every calls do once per period until ctx ends. Calls do not overlap: one that takes longer than a period delays the
// next.
func Every(ctx context.Context, period time.Duration, do func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do()
		}
	}
}
