package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"kitetiller/internal/clock"
	"kitetiller/internal/reachability"
	"kitetiller/internal/transport"
	"kitetiller/internal/tunnel"
)

const (
	// dialTimeout bounds the time to establish a connection to a back end.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is the TCP user timeout: how long sent data may remain unacknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// TCP keep-alive detects an unreachable peer while a connection only waits for data.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 3
	// A connection idle for longer than maxIdleRetryable is not reused. For requests that must run at most once the
	// limit is maxIdleOnce, as the back end may be about to close a connection that has been idle for longer.
	maxIdleRetryable = 8 * time.Second
	maxIdleOnce      = 3 * time.Second
	// After a reused connection failed, connections idle for longer than staleIdleFactor times its idle time are not
	// reused for staleIdleTTL. minStaleIdle is the minimum of this limit.
	staleIdleFactor = 0.7
	staleIdleTTL    = 10 * time.Second
	minStaleIdle    = 100 * time.Millisecond
	// idleMargin is subtracted from the keep-alive timeout that a back end announces.
	idleMargin        = time.Second
	readBufferSize    = 4096
	maxIdlePerBackend = 16
	// maxIdleTunnel is how long a connection through a peer may be idle to be reused. It is short, as a peer that stops waits until the
	// tunnels that it carries are closed.
	maxIdleTunnel = 2 * time.Second
)

// idleKey says which connections may carry a request: those to an instance, directly or through peers.
type idleKey struct {
	instance    string
	throughPeer bool
}

// errNoPath: no back end answers directly, and no peer reaches this one.
var errNoPath = eris.New("neither a direct path nor one through another gateway")

// connection is a connection to a back end. It carries one request at a time.
type connection struct {
	net.Conn
	head             *transport.HeadReader // limits the heads of responses
	reader           *bufio.Reader         // on top of head
	lastUsedAt       time.Duration
	keepAliveTimeout time.Duration // announced by the back end; 0 if unknown
	idleFor          time.Duration // idle time before the current request; 0 for a new connection
	reused           bool          // it has carried a request before the current one
	peer             string        // that carries the tunnel, or "" for a direct connection
	lifeChecked      bool          // the back end has stated on it that it is the incarnation of the pool's key
	opening          *opening      // nil for a connection that wasn't opened by an attempt
}

// isUnchecked reports whether a question is to be asked on the connection first.
func (c *connection) isUnchecked() bool {
	return c.opening != nil && c.opening.needsCheck && !c.opening.done.Load()
}

// Close closes the connection.
func (c *connection) Close() error {
	c.opening.fail()
	return c.Conn.Close()
}

// pool keeps idle connections by instance ID, so that none is reused for another incarnation at the same address. Those through
// peers are used while a direct path is lost. It is safe for concurrent use.
type pool struct {
	dialer  net.Dialer // of direct connections
	tunnels *tunnel.Dialer
	now     clock.Source
	mutex   sync.Mutex
	idle    map[idleKey][]*connection

	heads  transport.Account // of long heads of responses; nil without a limit on all together
	onIdle func()            // called when a connection becomes idle

	staleIdle   time.Duration // shortest idle time after which a reused connection recently failed; guarded by mutex
	staleIdleAt time.Duration // when staleIdle was recorded; guarded by mutex
}

func newPool(source clock.Source) *pool {
	p := &pool{now: clock.NewSource(source), idle: map[idleKey][]*connection{}, onIdle: func() {}}
	p.dialer = net.Dialer{
		Timeout: dialTimeout, Control: setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	p.tunnels = tunnel.NewDialer(tunnel.Config{
		Direct: func(ctx context.Context, address string) (net.Conn, error) {
			return p.dialer.DialContext(ctx, "tcp", address)
		},
		Peers: func() [][]string { return nil }, Now: p.now,
	})
	return p
}

// setSocketOptions sets the TCP user timeout and the size of the receive buffer.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return errors.Join(
		setSocketOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond)),
		setSocketOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes),
	)
}

// recordStale records that a connection reused after an idle time failed before any response. Back ends may close idle
// connections earlier than they announce, so the idle limit of all connections is lowered for staleIdleTTL.
func (p *pool) recordStale(idleFor time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if idleFor < minStaleIdle || p.staleIdle > 0 && p.now()-p.staleIdleAt < staleIdleTTL && idleFor > p.staleIdle {
		return
	}
	p.staleIdle, p.staleIdleAt = idleFor, p.now()
}

// idleLimit returns the idle time up to which connections are reused, maxIdle at most.
func (p *pool) idleLimit(maxIdle time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.staleIdle == 0 || p.now()-p.staleIdleAt >= staleIdleTTL {
		return maxIdle
	}
	return min(maxIdle, max(minStaleIdle, time.Duration(staleIdleFactor*float64(p.staleIdle))))
}

// connectionRequest describes the connection that an attempt needs.
type connectionRequest struct {
	instance, address string
	maxIdle           time.Duration // of an idle connection
	pathSuspected     bool          // the direct path may be lost
	paths             reachability.State
	// open is called before a new connection is established, and returns an error if none may be.
	open func() (*opening, error)
}

// get returns an idle connection or a new one. On an error nothing was sent. Idle connections are direct, so peers are asked
// before one is used while the path is lost or suspected to be.
func (p *pool) get(ctx context.Context, r connectionRequest) (*connection, error) {
	if r.paths == reachability.NewConnectionsLost {
		if idle := p.reuse(r, false); idle != nil {
			return idle, nil
		}
	}
	if !p.tunnels.MayBypass(r.address, r.pathSuspected || r.paths != reachability.Connected) {
		return p.getOffPeers(ctx, r)
	}
	conn, err := p.getThroughPeer(ctx, r)
	if err == nil || tunnel.IsRefused(err) || errors.Is(err, errNoConnection) {
		return conn, err
	}
	return p.getOffPeers(ctx, r)
}

// getOffPeers is get if no peer opens a tunnel, which leaves no way if nothing that is sent directly is answered.
func (p *pool) getOffPeers(ctx context.Context, r connectionRequest) (*connection, error) {
	if r.paths == reachability.Disconnected {
		return nil, errNoPath
	}
	return p.getDirect(ctx, r)
}

// getThroughPeer is get through a peer.
func (p *pool) getThroughPeer(ctx context.Context, r connectionRequest) (*connection, error) {
	if idle := p.reuse(r, true); idle != nil {
		return idle, nil
	}
	opened, err := r.open()
	if err != nil {
		return nil, err
	}
	dialed, err := p.tunnels.Bypass(ctx, r.address)
	return p.newConnection(dialed, err, opened)
}

// getDirect is get on the direct path.
func (p *pool) getDirect(ctx context.Context, r connectionRequest) (*connection, error) {
	if idle := p.reuse(r, false); idle != nil {
		return idle, nil
	}
	opened, err := r.open()
	if err != nil {
		return nil, err
	}
	dialed, err := p.tunnels.DialDirect(ctx, r.address)
	return p.newConnection(dialed, err, opened)
}

// reuse takes an idle connection, directly or through a peer, that the request may use, or returns nil.
func (p *pool) reuse(r connectionRequest, throughPeer bool) *connection {
	maxIdle := p.idleLimit(r.maxIdle)
	key := idleKey{r.instance, throughPeer}
	for idle := p.takeIdle(key); idle != nil; idle = p.takeIdle(key) {
		if idle.isFresh(p.now(), maxIdle) && idle.isUsable() && (!throughPeer || p.tunnels.IsProven(idle.peer)) {
			idle.idleFor, idle.reused = p.now()-idle.lastUsedAt, true
			return idle
		}
		_ = idle.Close()
	}
	return nil
}

// newConnection returns the connection for the result of a dial.
func (p *pool) newConnection(dialed tunnel.Dialed, err error, opened *opening) (*connection, error) {
	if err != nil {
		opened.withdraw()
		return nil, err
	}
	return p.wrap(dialed.Conn, dialed.Peer, opened), nil
}

// wrap returns the connection on an established one.
func (p *pool) wrap(conn net.Conn, peer string, opened *opening) *connection {
	head := transport.NewAccountedHeadReader(conn, p.heads)
	return &connection{Conn: conn, head: head, reader: bufio.NewReaderSize(head, readBufferSize), peer: peer, opening: opened}
}

// readResponse reads the head of a response to a request with the given method, skipping informational ones. single are the
// names of fields that stand once in a head.
func (c *connection) readResponse(method string, single []string) (*http.Response, error) {
	c.head.BeginHead()
	defer c.head.EndHead()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err == nil {
			err = transport.CheckHead(response, single...)
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, c.head.Explain(err)
		}
	}
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) takeIdle(key idleKey) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[key] = idle[:len(idle)-1]
	return last
}

// hasIdle reports whether a connection to an instance has been idle for less than maxIdle, so that it may be reused.
func (p *pool) hasIdle(instance string, maxIdle time.Duration) bool {
	key := idleKey{instance, p.tunnels.IsDisconnected()}
	maxIdle = p.idleLimit(maxIdle)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	return len(idle) > 0 && idle[len(idle)-1].isFresh(p.now(), maxIdle)
}

// keep returns a connection to the pool after a response if request and response were transferred completely and it may carry
// another request, and closes it otherwise. It reports whether it was kept.
func (p *pool) keep(instance string, used *connection, response *http.Response, whole bool) (kept bool) {
	if !whole || !transport.HasFraming(response) || !used.readKeepAlive(response) {
		_ = used.Close()
		return false
	}
	p.put(instance, used)
	return true
}

// put keeps a connection whose last response was read completely.
func (p *pool) put(instance string, used *connection) {
	used.lastUsedAt = p.now()
	key := idleKey{instance, used.peer != ""}
	p.mutex.Lock()
	full := len(p.idle[key]) >= maxIdlePerBackend
	if !full {
		p.idle[key] = append(p.idle[key], used)
	}
	p.mutex.Unlock()
	if full {
		_ = used.Close()
		return
	}
	p.onIdle()
}

// sweep closes connections that have been idle for too long to be reused.
func (p *pool) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, idle := range p.idle {
		var remaining []*connection
		for _, conn := range idle {
			if conn.isFresh(p.now(), maxIdleRetryable) {
				remaining = append(remaining, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = remaining
	}
}

// closeTunnels closes the idle connections through peers.
func (p *pool) closeTunnels() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, idle := range p.idle {
		if !key.throughPeer {
			continue
		}
		for _, conn := range idle {
			_ = conn.Close()
		}
		delete(p.idle, key)
	}
}

// isFresh reports whether the connection was idle for less than maxIdle and the announced keep-alive timeout.
func (c *connection) isFresh(now, maxIdle time.Duration) bool {
	if c.keepAliveTimeout > 0 {
		maxIdle = min(maxIdle, c.keepAliveTimeout-idleMargin)
	}
	if c.peer != "" {
		maxIdle = min(maxIdle, maxIdleTunnel)
	}
	return now-c.lastUsedAt < maxIdle
}

// isUsable reports whether the back end has neither closed the connection nor sent unsolicited data.
func (c *connection) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tunneled, ok := c.Conn.(*tunnel.Conn); ok {
		return tunneled.IsIdle()
	}
	pending, open := transport.Peek(c.Conn, 1)
	return open && len(pending) == 0
}

// readKeepAlive reads the keep-alive timeout from a response, and reports whether the connection may be reused.
func (c *connection) readKeepAlive(response *http.Response) bool {
	if response.Close || hasToken(response.Header, "Connection", "close") {
		return false
	}
	c.keepAliveTimeout = 0
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil {
			c.keepAliveTimeout = time.Duration(seconds) * time.Second
		}
	}
	return true
}

// hasToken reports whether a comma-separated header contains a token.
func hasToken(header http.Header, name, token string) bool {
	for _, line := range header.Values(name) {
		for field := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(field), token) {
				return true
			}
		}
	}
	return false
}
