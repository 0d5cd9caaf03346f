package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Requests over HTTP reuse direct connections, and no tunnel.
func TestTransportReusesNoTunnel(t *testing.T) {
	var connections atomic.Int32
	backend := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }))
	backend.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	backend.Start()
	defer backend.Close()
	for _, test := range []struct {
		name      string
		suspected bool
		want      int32
	}{{"direct", false, 1}, {"tunnel", true, 3}} {
		t.Run(test.name, func(t *testing.T) {
			connections.Store(0)
			peer := newTestPeer(t)
			client := newTestClient(peer)
			if test.suspected {
				client.set(directRefused)
			}
			transport := NewTransport(client.Dialer, &http.Transport{}, func(string) bool { return test.suspected })
			for range 3 {
				request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, backend.URL, nil)
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if string(body) != "answer" || err != nil {
					t.Fatalf("received %q, %v", body, err)
				}
			}
			transport.CloseIdleConnections()
			if got := connections.Load(); got != test.want {
				t.Errorf("%d connections, want %d", got, test.want)
			}
			waitFor(t, func() bool { return peer.server.Carried() == 0 })
		})
	}
}

func BenchmarkRequest(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	server := NewServer(ServerConfig{
		Token: testToken, IsBackend: func(string) bool { return true }, Refusal: func(string, bool) Outcome { return "" }, IsStopping: func() bool { return false }, Observe: func(Outcome) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	})
	listening := httptest.NewServer(server)
	defer listening.Close()
	for _, suspected := range []bool{false, true} {
		b.Run(fmt.Sprintf("tunnel=%t", suspected), func(b *testing.B) {
			client := newTestClient(&testPeer{address: listening.Listener.Addr().String()})
			for b.Loop() {
				dialed, err := client.Dial(b.Context(), address, suspected)
				if err != nil {
					b.Fatal(err)
				}
				fmt.Fprintf(dialed, "GET / HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
				if _, err := io.ReadAll(dialed); err != nil {
					b.Fatal(err)
				}
				_ = dialed.Close()
			}
		})
	}
}
