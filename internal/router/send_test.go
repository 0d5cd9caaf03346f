package router

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"kitetiller/internal/core"
	"kitetiller/internal/transport"
)

func newSendingServer() *Server {
	return &Server{backendClient: &http.Client{Transport: transport.NewRoundTripper(nil), CheckRedirect: noRedirect}}
}

// TestSendOnceDoesNotRetryOnClosedConnection: net/http sends a request again by itself when a reused
// connection dies and it thinks that this is safe. The first request leaves a connection for reuse; the back end
// reads the second one and closes.
func TestSendOnceDoesNotRetryOnClosedConnection(t *testing.T) {
	var received atomic.Int32
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			return
		}
		received.Add(1)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = connection.Close()
	}))
	defer backend.Close()
	address := backend.Listener.Addr().String()
	s := newSendingServer()
	response, err := s.sendOnce(context.Background(), address, "/first", "a")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if _, err := s.sendOnce(context.Background(), address, "/second", "b"); err == nil {
		t.Fatal("a request without an answer gave no error")
	} else if neverSent(err) {
		t.Fatalf("%v counts as never sent, but the back end read it", err)
	}
	if got := received.Load(); got != 1 {
		t.Fatalf("the back end read the request %d times", got)
	}
}

func TestRefusedConnectionCountsAsNeverSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = newSendingServer().sendOnce(context.Background(), address, "/", "a")
	if err == nil || !neverSent(err) {
		t.Fatalf("error %v does not count as never sent", err)
	}
	if event := (&activeAttempt{}).failureEvent(err); event.Kind != core.AttemptRefused {
		t.Fatalf("event %+v", event)
	}
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	var followed atomic.Int32
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/again" {
			followed.Add(1)
		}
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer backend.Close()
	response, err := newSendingServer().sendOnce(context.Background(), backend.Listener.Addr().String(), "/", "a")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if followed.Load() != 0 {
		t.Fatal("a back end's redirect sent the request a second time")
	}
}

// TestStreamWithDroppedTokensIsNotReportedComplete: when a caller's ring is full and even the decision to give the caller up
// is shed, the stream must not be told to be complete.
func TestStreamWithDroppedTokensIsNotReportedComplete(t *testing.T) {
	s := &Server{events: make(chan core.Event), exchanges: map[core.RequestID]*exchange{}, log: zap.NewNop()}
	s.metrics = newMetrics(s)
	ex := &exchange{tokens: make(chan token, 1), final: make(chan core.ActionFinish, 1)}
	s.exchanges[1] = ex
	for index := range 3 {
		s.deliverChunk(core.ActionChunk{ID: 1, Index: index})
	}
	s.deliverFinish(core.ActionFinish{ID: 1, Reason: core.ReasonComplete, Run: core.RunYes, Tokens: 3})
	if final := <-ex.final; final.Reason == core.ReasonComplete {
		t.Fatalf("2 of 3 tokens were dropped, and the stream ended as %s", final.Reason)
	}
}
