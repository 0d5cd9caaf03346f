package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/tunnel"
)

// A router that back ends refuse, while another router reaches them, sends its requests through that one, takes no
// refused connection for the end of a back end, and connects directly again once it can.
func TestRouterWithoutLinksReachesBackendsThroughPeer(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	peer := httptest.NewServer(tunnel.NewServer(tunnel.ServerConfig{
		Token: "t", IsBackend: func(a string) bool { return a == address }, Refusal: func(string, bool) tunnel.Outcome { return "" }, IsStopping: func() bool { return false }, Observe: func(tunnel.Outcome) {},
		Proof: func(context.Context, time.Duration) tunnel.Outcome { return tunnel.Proven },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}))
	defer peer.Close()
	paths := newBackendPaths("t", nil, clock.NewSource(nil), zap.NewNop())
	var cut atomic.Bool
	cut.Store(true)
	paths.direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		if cut.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	s := newSendingServer()
	s.backendClient.Transport, s.paths = paths.transport, paths
	if _, err := s.sendOnce(t.Context(), address, "/", "a"); err == nil || !neverSent(err) || !tunnel.IsRefused(err) {
		t.Fatalf("without peers: %v", err)
	}
	paths.setPeers("z1", []control.Peer{{Name: "other", Zone: "z2", Address: strings.TrimPrefix(peer.URL, "http://")}})
	for range 3 {
		response, err := s.sendOnce(t.Context(), address, "/", "a")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if string(body) != "{}" || err != nil {
			t.Fatalf("received %q, %v", body, err)
		}
	}
	quarantined := reporter.New(reporter.Config{
		Submit: func(context.Context, quarantine.Change) error { return nil }, RefusesConnections: paths.dialer.Refuses, Log: func(string, ...zap.Field) {}, Now: clock.NewSource(nil),
	})
	quarantined.ApplyUpdate(&quarantine.Update{Version: 1, Seed: make([]byte, quarantine.SeedBytes)})
	subject, _ := quarantined.Subject(quarantine.Request{Path: "/"})
	<-quarantined.RecordFailure("life", address, subject)
	if count := quarantined.CrashCount(subject.Request); count != 0 {
		t.Errorf("a refused connection counts as %d crashes", count)
	}
	cut.Store(false)
	for deadline := time.Now().Add(10 * time.Second); paths.dialer.IsLost(address); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the path stays lost")
		}
		if response, err := s.sendOnce(t.Context(), address, "/", "a"); err == nil {
			_ = response.Body.Close()
		}
	}
}

// TestRouterWithSilentLinksGoesThroughPeer guards against a router whose connections are established but carry nothing learning of each
// back end by itself, by requests that fail.
func TestRouterWithSilentLinksGoesThroughPeer(t *testing.T) {
	var addresses []string
	for range 6 {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
		defer backend.Close()
		addresses = append(addresses, strings.TrimPrefix(backend.URL, "http://"))
	}
	peer := httptest.NewServer(tunnel.NewServer(tunnel.ServerConfig{
		Token: "t", IsBackend: func(string) bool { return true }, Refusal: func(string, bool) tunnel.Outcome { return "" }, IsStopping: func() bool { return false }, Observe: func(tunnel.Outcome) {},
		Proof: func(context.Context, time.Duration) tunnel.Outcome { return tunnel.Proven },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}))
	defer peer.Close()
	paths := newBackendPaths("t", nil, clock.NewSource(nil), zap.NewNop())
	defer paths.Close()
	var cut atomic.Bool
	cut.Store(true)
	paths.direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !cut.Load() {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
	paths.setBackEnds(addresses)
	paths.setPeers("z1", []control.Peer{{Name: "other", Zone: "z2", Address: strings.TrimPrefix(peer.URL, "http://")}})
	s := newSendingServer()
	s.backendClient.Transport, s.paths = paths.transport, paths
	poll := func(address string) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		paths.poll(t.Context(), address, func(traced context.Context) bool {
			request, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+address+"/", nil)
			if err != nil {
				t.Error(err)
				return false
			}
			response, err := paths.transport.RoundTrip(request.WithContext(ctx))
			if err == nil {
				_ = response.Body.Close()
			}
			return err == nil
		})
	}
	go poll(addresses[0])
	awaitPaths(t, func() bool { return paths.IsDisconnected() })
	for _, address := range addresses {
		response, err := s.sendOnce(t.Context(), address, "/", "a")
		if err != nil {
			t.Fatalf("%s: %v", address, err)
		}
		_ = response.Body.Close()
	}
	cut.Store(false)
	awaitPaths(t, func() bool { return !paths.IsDisconnected() })
}

func awaitPaths(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for paths")
		}
	}
}
