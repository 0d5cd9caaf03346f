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

// TestClientLeavesADeadLeader: replicas name a leader that is gone until they have elected another one; the client asks
// the dead one no second time meanwhile (sites' trouble-1: gateways lost control for seconds after a cut).
func TestClientLeavesADeadLeader(t *testing.T) {
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
	follower := freeLoopback(t)
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
		_, _ = client.Once(attempt, Request{Status: &StatusRequest{}})
		cancel()
	}
	if times := len(asked); times > 2 {
		t.Fatalf("the dead leader was asked %d times", times)
	}
}

func freeLoopback(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
