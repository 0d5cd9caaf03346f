package transport

import (
	"context"
	"time"
)

// Every calls do once a period until ctx ends. A call that takes longer than a period delays the next one.
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
