package control

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/consensus"
	"kitetiller/internal/node"
	"kitetiller/internal/transport"
)

// TestClientAvoidsUnresponsiveLeader checks that a client does not retry an unresponsive leader while followers still
// name it.
func TestClientAvoidsUnresponsiveLeader(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	asked := make(chan struct{}, 100)
	go func() {
		for {
			connection, err := unresponsive.Accept()
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
		respond(http.StatusOK, Response{Kind: ResponseNotLeader, Leader: unresponsive.Addr().String()})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close(context.Background()) }()
	client := NewClient(transport.NewClient("", nil), []string{follower, unresponsive.Addr().String()})
	for range 30 {
		attempt, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, _ = client.AskOnce(attempt, Request{Status: &StatusRequest{}})
		cancel()
	}
	if attempts := len(asked); attempts > 2 {
		t.Fatalf("the unresponsive leader was asked %d times, want at most 2", attempts)
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

// serveResponse answers every request to the address with the same response until the test ends.
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

// TestClientRetriesRestartedLeader checks that an address that failed while its process was starting is retried soon
// once it is named as leader.
func TestClientRetriesRestartedLeader(t *testing.T) {
	leader := freeLoopbackAddress(t)
	client := NewClient(transport.NewClient("", nil), []string{leader})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := client.AskOnce(ctx, Request{Status: &StatusRequest{}}); err == nil {
		t.Fatal("got an answer before the address was listening")
	}
	follower := freeLoopbackAddress(t)
	serveResponse(t, leader, Response{Kind: ResponseOK})
	serveResponse(t, follower, Response{Kind: ResponseNotLeader, Leader: leader})
	client.SetAddresses([]string{follower})
	if _, err := client.Ask(ctx, Request{Status: &StatusRequest{}}); err != nil {
		t.Fatal(err)
	}
}

// serveBesideSilent serves an address that answers once the other one that it returns has been asked, which never answers.
func serveBesideSilent(t *testing.T, answer any) []string {
	t.Helper()
	asked, once := make(chan struct{}), sync.Once{}
	addresses := []string{freeLoopbackAddress(t), freeLoopbackAddress(t)}
	handlers := []transport.Handler{
		func(_ transport.Request, respond transport.Respond) {
			go func() {
				<-asked
				respond(http.StatusOK, answer)
			}()
		},
		func(transport.Request, transport.Respond) { once.Do(func() { close(asked) }) },
	}
	for i, address := range addresses {
		serve(t, address, handlers[i])
	}
	return addresses
}

// serve serves an address until the test ends.
func serve(t *testing.T, address string, handler transport.Handler) {
	t.Helper()
	server, err := transport.Listen(address, "", handler, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Close(ended)
	})
}

// Guards against a replica that joins late because it asks one address after another and one of them doesn't answer.
func TestReplicaThatJoinsAsksAllSeedsAtOnce(t *testing.T) {
	client := transport.NewClient("", nil)
	seeds := serveBesideSilent(t, HelloReply{HasState: true})
	server := &Server{file: &node.File{Control: &node.Control{}}, client: client, group: NewClient(client, seeds)}
	server.seedAddresses.Store(&seeds)
	if groupExists, _ := server.findGroup(context.Background()); !groupExists {
		t.Fatal("no group found, since one seed was asked after the other")
	}
	members := serveBesideSilent(t, Response{Kind: ResponseOK})
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout) // that of a request to one address
	defer cancel()
	if _, err := NewClient(client, members).AskUntilOK(ctx, Request{Join: &consensus.Member{}}); err != nil {
		t.Fatalf("no answer, since one member was asked after the other: %v", err)
	}
}

// silentAddress returns an address that accepts connections and never answers, and a channel that receives for each
// connection.
func silentAddress(t *testing.T) (address string, asked <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := make(chan struct{}, 100)
	var open []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			open = append(open, connection)
			connections <- struct{}{}
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		for _, connection := range open {
			_ = connection.Close()
		}
	})
	return listener.Addr().String(), connections
}

// TestLateFailureKeepsNewLeader checks that a request to a former leader that fails after another request has found the
// new one does not make the client forget the new one.
func TestLateFailureKeepsNewLeader(t *testing.T) {
	former, asked := silentAddress(t)
	leader := freeLoopbackAddress(t)
	serveResponse(t, leader, Response{Kind: ResponseOK})
	client := NewClient(transport.NewClient("", nil), []string{former, leader})
	client.leader.Store(&former)
	ctx, giveUp := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer giveUp()
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		_, _ = client.AskOnce(ctx, Request{Status: &StatusRequest{}})
	}()
	<-asked
	client.leader.Store(nil)
	client.lastFailure.Store(&failure{address: former, at: clock.Now()})
	if _, err := client.AskOnce(t.Context(), Request{Status: &StatusRequest{}}); err != nil {
		t.Fatal(err)
	}
	<-failed
	if got := client.leader.Load(); got == nil || *got != leader {
		t.Fatalf("the client takes %v for the leader, want %s", got, leader)
	}
}

// TestReplyEndsAvoidance checks that a leader that has answered after a failed request is not avoided any longer.
func TestReplyEndsAvoidance(t *testing.T) {
	leader, follower := freeLoopbackAddress(t), freeLoopbackAddress(t)
	serveResponse(t, leader, Response{Kind: ResponseOK})
	serveResponse(t, follower, Response{Kind: ResponseNotLeader, Leader: leader})
	client := NewClient(transport.NewClient("", nil), []string{leader})
	client.lastFailure.Store(&failure{address: leader, at: clock.Now()})
	if _, err := client.AskOnce(t.Context(), Request{Status: &StatusRequest{}}); err != nil {
		t.Fatal(err)
	}
	client.leader.Store(&follower)
	_, _ = client.AskOnce(t.Context(), Request{Status: &StatusRequest{}})
	if got := client.leader.Load(); got == nil || *got != leader {
		t.Fatalf("the client takes %v for the leader, want %s", got, leader)
	}
}
