package listen

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against processes that end at their start since the process before still holds their address.
func TestStartWaitsForAnAddressInUse(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := before.Addr().String()
	time.AfterFunc(4*retryInterval, func() { _ = before.Close() })
	if err := Await(t.Context(), "", address); err != nil {
		t.Fatal(err)
	}
	listener, err := TCP(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*retryInterval)
	defer cancel()
	if _, err := TCP(ctx, address); err == nil {
		t.Fatal("listened at an address in use")
	}
}

// Guards against a wait for what never changes.
func TestInvalidAddressFailsAtOnce(t *testing.T) {
	if _, err := TCP(t.Context(), "192.0.2.1:1"); err == nil {
		t.Fatal("listened at the address of another machine")
	}
}
