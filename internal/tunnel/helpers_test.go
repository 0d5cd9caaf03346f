package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httptest"
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
	server  *Server
	address string
	lost    atomic.Bool
	// disconnected peers lack all paths, and name another peer.
	disconnected atomic.Bool
	alternative  string
	paths        *Paths      // of the peer itself; nil: back ends always answer it, unless silent is set
	silent       atomic.Bool // it connects to back ends, but nothing gets through
	stopping     atomic.Bool
	refuses      atomic.Bool // its direct connections are refused
}

func newTestPeer(t *testing.T) *testPeer {
	t.Helper()
	p := &testPeer{}
	p.server = NewServer(ServerConfig{
		Token: testToken, IsBackend: func(address string) bool { return address != "" }, Refusal: p.refusal,
		IsStopping: p.stopping.Load, Observe: func(Outcome) {}, Proof: p.proof, Alternatives: func(int) []string { return []string{p.alternative} },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if p.refuses.Load() {
				return nil, syscall.ECONNREFUSED
			}
			if p.silent.Load() {
				near, far := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, far) }()
				return near, nil
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	})
	listening := httptest.NewServer(p.server)
	t.Cleanup(listening.Close)
	p.address = listening.Listener.Addr().String()
	return p
}

// proof returns what the peer says of its own paths.
func (p *testPeer) proof(ctx context.Context, within time.Duration) Outcome {
	switch {
	case p.disconnected.Load():
		return Disconnected
	case p.paths != nil:
		return p.paths.Prove(ctx, within)
	case p.silent.Load():
		return Unproven
	}
	return Proven
}

// refusal returns why the peer opens no tunnel, or "".
func (p *testPeer) refusal(string, bool) Outcome {
	switch {
	case p.disconnected.Load():
		return Disconnected
	case p.lost.Load():
		return PathLost
	}
	return ""
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
		OnLost:     func(_, _ string, cause Cause, _ time.Duration) { c.note("lost " + string(cause)) },
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
