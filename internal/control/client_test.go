package control

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/transport"
)

// TestClientAvoidsUnresponsiveLeader: replicas name a leader that is gone until they have elected another one; the client asks
// the dead one no second time meanwhile (sites' trouble-1: gateways lost control for seconds after a cut).
func TestClientAvoidsUnresponsiveLeader(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer dead.Close()
	asked := make(chan struct{}, 100)
	go func() {
		for {
			connection, err := dead.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			asked <- struct{}{}
		}
	}()
	follower := freeLoopbackAddress(t)
	server, err := transport.Listen(follower, "", func(request transport.Request, respond transport.Respond) {
		if !json.Valid(request.Body) {
			t.Error("malformed request")
		}
		respond(http.StatusOK, Response{Kind: ResponseNotLeader, Leader: dead.Addr().String()})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close(context.Background()) }()
	client := NewClient(transport.NewClient("", nil), []string{follower, dead.Addr().String()})
	for range 30 {
		attempt, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, _ = client.AskOnce(attempt, Request{Status: &StatusRequest{}})
		cancel()
	}
	if times := len(asked); times > 2 {
		t.Fatalf("the dead leader was asked %d times", times)
	}
}

func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// serveResponse gives the same answer to every question at an address until the test ends.
func serveResponse(t *testing.T, address string, response Response) {
	t.Helper()
	server, err := transport.Listen(address, "", func(_ transport.Request, respond transport.Respond) {
		respond(http.StatusOK, response)
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close(context.Background()) })
}

// TestClientRetriesRestartedLeader: an address that gave no answer since its process was only starting is asked again
// soon when it is named as leader (nilewash-ops, inc-8fe3: gateways found the leader 1.9 s after its election).
func TestClientRetriesRestartedLeader(t *testing.T) {
	leader := freeLoopbackAddress(t)
	client := NewClient(transport.NewClient("", nil), []string{leader})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := client.AskOnce(ctx, Request{Status: &StatusRequest{}}); err == nil {
		t.Fatal("answered before it listened")
	}
	follower := freeLoopbackAddress(t)
	serveResponse(t, leader, Response{Kind: ResponseOK})
	serveResponse(t, follower, Response{Kind: ResponseNotLeader, Leader: leader})
	client.SetAddresses([]string{follower})
	if _, err := client.Ask(ctx, Request{Status: &StatusRequest{}}); err != nil {
		t.Fatal(err)
	}
}
