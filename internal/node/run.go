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

// ReloadSignal returns a channel that receives SIGHUP, which doesn't end the process from then on.
func ReloadSignal() (signals <-chan os.Signal, stop func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received, func() { signal.Stop(received) }
}
