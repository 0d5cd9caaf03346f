package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const testToken = "secret"

// testBackend accepts connections and handles each one with handle.
func testBackend(t *testing.T, handle func(*net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// echoLine answers one line with itself and ends the stream in order.
func echoLine(conn *net.TCPConn) {
	defer conn.Close()
	line, _ := bufio.NewReader(conn).ReadString('\n')
	_, _ = io.WriteString(conn, line)
}

// testPeer is a process that opens tunnels.
type testPeer struct {
	server   *Server
	address  string
	lost     atomic.Bool
	stopping atomic.Bool
	refuses  atomic.Bool // its direct connections are refused
}

func newTestPeer(t *testing.T) *testPeer {
	t.Helper()
	p := &testPeer{}
	p.server = NewServer(ServerConfig{
		Token: testToken, IsBackend: func(address string) bool { return address != "" }, IsLost: func(string) bool { return p.lost.Load() },
		IsStopping: p.stopping.Load, Observe: func(Outcome) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if p.refuses.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	})
	listening := httptest.NewServer(p.server)
	t.Cleanup(listening.Close)
	p.address = listening.Listener.Addr().String()
	return p
}

// directFault is how direct connections fail.
type directFault int32

const (
	directWorks directFault = iota
	directRefused
	directHangs
)

// testClient is a process that reaches back ends directly or through peers.
type testClient struct {
	*Dialer
	fault atomic.Int32 // a directFault
	mu    sync.Mutex
	log   []string // lost and restored paths
}

func (c *testClient) set(fault directFault) { c.fault.Store(int32(fault)) }

func (c *testClient) direct(ctx context.Context, address string) (net.Conn, error) {
	switch directFault(c.fault.Load()) {
	case directRefused:
		return nil, syscall.ECONNREFUSED
	case directHangs:
		bounded, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		<-bounded.Done()
		return nil, bounded.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func (c *testClient) note(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, entry)
}

func (c *testClient) notes() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.log, ", ")
}

func newTestClient(peers ...*testPeer) *testClient {
	c := &testClient{}
	start := time.Now()
	c.Dialer = NewDialer(Config{
		Token: testToken, Direct: c.direct, Now: func() time.Duration { return time.Since(start) },
		Probe: func(ctx context.Context, address string) error {
			conn, err := c.direct(ctx, address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		},
		Peers: func() [][]string {
			var addresses []string
			for _, p := range peers {
				addresses = append(addresses, p.address)
			}
			return [][]string{nil, addresses}
		},
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return struct{ net.Conn }{conn}, err // as if wrapped by a link filter
		},
		OnLost:     func(_, _ string, cause Cause) { c.note("lost " + string(cause)) },
		OnRestored: func(string, time.Duration) { c.note("restored") },
		Observe:    func(string, Outcome) {},
	})
	return c
}

// roundTrip sends a line and returns what is received until the end of the stream.
func roundTrip(conn net.Conn) (string, error) {
	defer conn.Close()
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		return "", err
	}
	received, err := io.ReadAll(conn)
	return string(received), err
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out waiting for a condition")
}

// A back end that direct connections don't reach is reached through a peer, and directly again once it answers a probe.
func TestLostPathIsReplacedByTunnel(t *testing.T) {
	for fault, name := range map[directFault]string{directRefused: "refused", directHangs: "hangs"} {
		t.Run(name, func(t *testing.T) {
			address := testBackend(t, echoLine)
			peer := newTestPeer(t)
			client := newTestClient(peer)
			client.set(fault)
			for range 3 {
				dialed, err := client.Dial(t.Context(), address, false)
				if err != nil || dialed.Peer != peer.address {
					t.Fatalf("dialed %+v, %v", dialed, err)
				}
				if got, err := roundTrip(dialed); got != "hello\n" || err != nil {
					t.Fatalf("received %q, %v", got, err)
				}
			}
			waitFor(t, func() bool { return client.IsLost(address) })
			client.set(directWorks)
			waitFor(t, func() bool {
				dialed, err := client.Dial(t.Context(), address, false)
				if err != nil {
					t.Fatal(err)
				}
				_ = dialed.Close()
				return dialed.Peer == ""
			})
			if got := client.notes(); got != "lost dial, restored" {
				t.Errorf("got %q", got)
			}
			waitFor(t, func() bool { return peer.server.Carried() == 0 })
		})
	}
}

// A suspected path is checked with a peer before it is used.
func TestSuspectedPathGoesThroughPeer(t *testing.T) {
	address := testBackend(t, echoLine)
	peer := newTestPeer(t)
	client := newTestClient(peer)
	dialed, err := client.Dial(t.Context(), address, true)
	if err != nil || dialed.Peer != peer.address || !client.IsLost(address) {
		t.Fatalf("dialed %+v, %v", dialed, err)
	}
	_ = dialed.Close()
	peer.lost.Store(true)
	if dialed, err = newTestClient(peer).Dial(t.Context(), address, true); err != nil || dialed.Peer != "" {
		t.Fatalf("with a peer that has no path: dialed %+v, %v", dialed, err)
	}
	_ = dialed.Close()
}

// A refused connection proves that nothing listens only if peers find the same.
func TestRefusedConnectionIsConfirmedByPeers(t *testing.T) {
	listening := testBackend(t, echoLine)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	reaching, cut := newTestPeer(t), newTestPeer(t)
	cut.lost.Store(true)
	for _, test := range []struct {
		name    string
		address string
		peers   []*testPeer
		fault   directFault
		want    bool
	}{
		{"nothing listens", gone.Addr().String(), []*testPeer{reaching}, directWorks, true},
		{"nothing listens, no peers", gone.Addr().String(), nil, directWorks, true},
		{"a peer is cut off too", gone.Addr().String(), []*testPeer{reaching, cut}, directWorks, false},
		{"refused by a partition", listening, []*testPeer{reaching}, directRefused, false},
		{"hangs", listening, []*testPeer{reaching}, directHangs, false},
		{"accepted", listening, []*testPeer{reaching}, directWorks, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(test.peers...)
			client.set(test.fault)
			dialing := newTestClient(test.peers...)
			dialing.set(test.fault)
			if got := client.Refuses(t.Context(), test.address); got != test.want {
				t.Errorf("Refuses returned %t", got)
			}
			dialed, err := dialing.Dial(t.Context(), test.address, false)
			if err == nil {
				_ = dialed.Close()
			}
			if IsRefused(err) != test.want {
				t.Errorf("Dial returned %v", err)
			}
		})
	}
}

// Only an orderly end of the back end's stream is an end of the tunnel's.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	reset := testBackend(t, func(conn *net.TCPConn) {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, line)
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	peer := newTestPeer(t)
	client := newTestClient(peer)
	client.set(directRefused)
	dialed, err := client.Dial(t.Context(), reset, false)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := roundTrip(dialed); got != "hello\n" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("received %q, %v", got, err)
	}
}

// The end of the client's connection ends the back end's.
func TestClosedTunnelClosesBackend(t *testing.T) {
	closed := make(chan struct{})
	address := testBackend(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	client := newTestClient(newTestPeer(t))
	client.set(directRefused)
	dialed, err := client.Dial(t.Context(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	_ = dialed.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the back end stays open")
	}
}

// Requests that must not be served are refused with their outcome.
func TestServerRefuses(t *testing.T) {
	address := testBackend(t, echoLine)
	for _, test := range []struct {
		name    string
		prepare func(*testPeer)
		token   string
		address string
		want    Outcome
	}{
		{"unknown address", func(*testPeer) {}, testToken, "", Unknown},
		{"lost path", func(p *testPeer) { p.lost.Store(true) }, testToken, address, PathLost},
		{"refused", func(p *testPeer) { p.refuses.Store(true) }, testToken, address, Refused},
		{"stopping", func(p *testPeer) { p.stopping.Store(true) }, testToken, address, Stopping},
		{"full", func(p *testPeer) { p.server.carried.Store(maxCarried) }, testToken, address, Full},
		{"wrong token", func(*testPeer) {}, "other", address, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer := newTestPeer(t)
			test.prepare(peer)
			conn, err := net.Dial("tcp", peer.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = open(conn, test.token, test.address, time.Now().Add(5*time.Second))
			var refused *OutcomeError
			if !errors.As(err, &refused) || refused.Outcome != test.want {
				t.Fatalf("got %v, want outcome %q", err, test.want)
			}
		})
	}
}

// Without a token, all requests are accepted, as between the other processes of a fleet.
func TestServerWithoutToken(t *testing.T) {
	address := testBackend(t, echoLine)
	peer := newTestPeer(t)
	peer.server.config.Token = ""
	conn, err := net.Dial("tcp", peer.address)
	if err != nil {
		t.Fatal(err)
	}
	opened, err := open(conn, "", address, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := roundTrip(opened); got != "hello\n" || err != nil {
		t.Fatalf("received %q, %v", got, err)
	}
}

// A peer of a build without tunnels is a peer that opens none.
func TestPeerWithoutTunnels(t *testing.T) {
	address := testBackend(t, echoLine)
	older := httptest.NewServer(http.NotFoundHandler())
	defer older.Close()
	client := newTestClient(&testPeer{address: older.Listener.Addr().String()})
	client.set(directRefused)
	if _, err := client.Dial(t.Context(), address, false); !errors.Is(err, syscall.ECONNREFUSED) || IsRefused(err) {
		t.Fatalf("got %v", err)
	}
}

func BenchmarkRequest(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	server := NewServer(ServerConfig{
		Token: testToken, IsBackend: func(string) bool { return true }, IsLost: func(string) bool { return false }, IsStopping: func() bool { return false }, Observe: func(Outcome) {},
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

// A path is recorded as lost even if each request through a tunnel is over before its direct connection has failed.
func TestHangingPathIsLostAfterShortRequests(t *testing.T) {
	address := testBackend(t, echoLine)
	client := newTestClient(newTestPeer(t))
	client.set(directHangs)
	ctx, cancel := context.WithCancel(t.Context())
	dialed, err := client.Dial(ctx, address, false)
	if err != nil || dialed.Peer == "" {
		t.Fatalf("dialed %+v, %v", dialed, err)
	}
	_ = dialed.Close()
	cancel()
	waitFor(t, func() bool { return client.IsLost(address) })
}

// A request whose caller has left ends at once.
func TestCanceledDialEnds(t *testing.T) {
	client := newTestClient()
	client.set(directHangs)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Dial(ctx, "127.0.0.1:1", false); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
}

// A back end that is down is reported at once although the direct path is lost.
func TestBackendThatEndsBehindLostPathIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := newTestClient(newTestPeer(t))
	client.set(directHangs)
	dialed, err := client.Dial(t.Context(), address, true)
	if err != nil || !client.IsLost(address) {
		t.Fatal(err)
	}
	_ = dialed.Close()
	_ = listener.Close()
	if _, err := client.Dial(t.Context(), address, false); !IsRefused(err) {
		t.Fatalf("got %v", err)
	}
}

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

// The messages that open a tunnel, as builds side by side exchange them.
func TestMessagesOnTheWire(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	opened := make(chan error, 1)
	go func() {
		_, err := open(client, testToken, "10.0.0.1:80", time.Now().Add(5*time.Second))
		opened <- err
	}()
	reader := bufio.NewReader(server)
	var request strings.Builder
	for !strings.HasSuffix(request.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		request.WriteString(line)
	}
	const want = "GET /internal/v1/tunnel?address=10.0.0.1%3A80 HTTP/1.1\r\nHost: pipe\r\nUser-Agent: Go-http-client/1.1\r\n" +
		"Authorization: Bearer secret\r\nConnection: Upgrade\r\nUpgrade: kitetiller-tunnel\r\n\r\n"
	if request.String() != want {
		t.Errorf("request:\n%s\nwant:\n%s", request.String(), want)
	}
	_, _ = io.WriteString(server, "HTTP/1.1 503 Service Unavailable\r\nTunnel-Outcome: refused\r\nContent-Length: 0\r\n\r\n")
	var refused *OutcomeError
	if err := <-opened; !errors.As(err, &refused) || refused.Outcome != Refused {
		t.Errorf("got %v", err)
	}
	peer := newTestPeer(t)
	response, err := http.Get("http://" + peer.address + Path)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d without a token, want 404", response.StatusCode)
	}
	conn, err := net.Dial("tcp", peer.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.Replace(want, "10.0.0.1%3A80", testBackend(t, echoLine), 1)+"hello\n")
	received, err := io.ReadAll(conn)
	received = regexp.MustCompile(`Date: .*\r\n`).ReplaceAll(received, nil)
	const wantReply = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nTunnel-Outcome: opened\r\nUpgrade: kitetiller-tunnel\r\n\r\n6\r\nhello\n\r\n0\r\n\r\n"
	if string(received) != wantReply || err != nil {
		t.Errorf("received %q, %v, want %q", received, err, wantReply)
	}
}
