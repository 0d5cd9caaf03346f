package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopSignal returns a context that is canceled on SIGINT or SIGTERM.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
