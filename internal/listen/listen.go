// Package listen opens listeners at addresses that may still be in use when a process starts.
package listen

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// timeout is how long an address that is in use is waited for. A process that is replaced may take as long to end.
	timeout       = 10 * time.Second
	retryInterval = 50 * time.Millisecond
)

// Retry calls open until it succeeds, fails for another reason than that its address is in use, or has failed for the timeout.
func Retry[L any](ctx context.Context, open func() (L, error)) (L, error) {
	for deadline := time.Now().Add(timeout); ; {
		listener, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return listener, err
		case <-time.After(retryInterval):
		}
	}
}

// TCP listens at an address.
func TCP(ctx context.Context, address string) (net.Listener, error) {
	listener, err := Retry(ctx, func() (net.Listener, error) { return net.Listen("tcp", address) })
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// Await waits until no other process listens at any of the addresses; empty ones are skipped. It is for processes that open a
// data folder before they listen, which the process before may still write to.
func Await(ctx context.Context, addresses ...string) error {
	for _, address := range addresses {
		if address == "" {
			continue
		}
		listener, err := TCP(ctx, address)
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	return nil
}
