package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopSignal returns a context that ends at SIGINT or SIGTERM.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
