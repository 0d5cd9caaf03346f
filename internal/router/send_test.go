package router

import (
	"context"
	"io"
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
	return &Server{backendClient: newBackendClient(transport.NewRoundTripper(nil))}
}

// net/http retries a request on its own if a reused connection fails and it considers the retry safe. The first request
// leaves a connection for reuse; the back end reads the second request and closes the connection.
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
		t.Fatal("got no error for a request without a response")
	} else if neverSent(err) {
		t.Fatalf("neverSent(%v) = true, but the back end read the request", err)
	}
	if got := received.Load(); got != 1 {
		t.Fatalf("the back end read the request %d times, want 1", got)
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
		t.Fatalf("got error %v, want one for which neverSent is true", err)
	}
	if event := (&activeAttempt{}).failureEvent(err); event.Kind != core.AttemptRefused {
		t.Fatalf("got event %+v, want AttemptRefused", event)
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
		t.Fatal("the redirect of a back end was followed")
	}
}

// Guards against reporting a stream as complete although tokens were dropped, when the event that cancels the request
// was dropped as well.
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
		t.Fatalf("2 of 3 tokens were dropped, but the stream finished with reason %s", final.Reason)
	}
}

// TestHeadCutByAnotherResponseFailsTheAttempt guards against the body of a response behind a head that was cut off.
func TestHeadCutByAnotherResponseFailsTheAttempt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = connection.Read(make([]byte, 4096))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Trace: 3eHTTP/1.1 503 Busy\r\nContent-Length: 17\r\n\r\n{\"run\":\"not-run\"}")
	}()
	response, err := newSendingServer().sendOnce(context.Background(), listener.Addr().String(), "/", "a")
	if err == nil {
		t.Fatalf("got status %s, want an error", response.Status)
	}
	if neverSent(err) {
		t.Fatalf("neverSent(%v) = true, but the back end read the request", err)
	}
}
