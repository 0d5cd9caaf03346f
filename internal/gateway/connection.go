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

	"golang.org/x/sys/unix"

	"kitetiller/internal/clock"
)

const (
	// dialTimeout is how long a connection may take to come up.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as dead.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, probeInterval and probeCount make a silent peer noticed on a connection that only waits.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 3
	// maxIdleRetryable and idleOnce are how long a kept connection may have rested before it is used again. A request
	// that must run at most once goes over one that was busy a moment ago, since a back end may be closing others.
	maxIdleRetryable = 8 * time.Second
	maxIdleOnce      = 3 * time.Second
	// staleIdleFactor of the rest after which a back end turned out to have forgotten a connection is how long others may
	// rest for forgottenFor, and forgottenLeast the least that this may come to.
	staleIdleFactor = 0.7
	staleIdleTTL    = 10 * time.Second
	minStaleIdle    = 100 * time.Millisecond
	// idleMargin is kept to a back end's own limit for idle connections.
	idleMargin        = time.Second
	readBufferSize    = 4096
	maxIdlePerBackend = 16
)

// connection is one connection to a back end. It serves one request at a time.
type connection struct {
	net.Conn
	reader           *bufio.Reader
	lastUsedAt       time.Duration
	keepAliveTimeout time.Duration // longest rest that the back end announced; 0 unknown
	idleFor          time.Duration // before the request that it serves; 0 for a new connection
}

// pool keeps idle connections by instance, so that a connection never outlives the life it was made to.
type pool struct {
	dialer net.Dialer
	now    clock.Source
	mutex  sync.Mutex
	idle   map[string][]*connection

	staleIdle   time.Duration // shortest rest after which a connection was lately found forgotten; guarded by mutex
	staleIdleAt time.Duration // when; guarded by mutex
}

func newPool(source clock.Source) *pool {
	made := &pool{now: clock.From(source), idle: map[string][]*connection{}}
	made.dialer = net.Dialer{
		Timeout: dialTimeout, Control: setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return made
}

// setSocketOptions bounds how long sent bytes may stay unacknowledged, and how much may come that isn't read.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return errors.Join(
		setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond)),
		setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer),
	)
}

// recordStale notes that a back end broke a connection off which had rested so long, before it answered anything. Back ends
// may forget connections sooner than they say, so others are not trusted for as long either for a while.
func (p *pool) recordStale(idleFor time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if idleFor < minStaleIdle || p.staleIdle > 0 && p.now()-p.staleIdleAt < staleIdleTTL && idleFor > p.staleIdle {
		return
	}
	p.staleIdle, p.staleIdleAt = idleFor, p.now()
}

// idleLimit returns how long a connection may have rested, where rest is the most that the request allows.
func (p *pool) idleLimit(maxIdle time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.staleIdle == 0 || p.now()-p.staleIdleAt >= staleIdleTTL {
		return maxIdle
	}
	return min(maxIdle, max(minStaleIdle, time.Duration(staleIdleFactor*float64(p.staleIdle))))
}

// get returns an idle connection that rested no longer than rest, or a new one. An error proves that nothing was sent.
func (p *pool) get(ctx context.Context, instance, address string, maxIdle time.Duration) (*connection, error) {
	maxIdle = p.idleLimit(maxIdle)
	for {
		idle := p.takeIdle(instance)
		if idle == nil {
			break
		}
		if idle.isFresh(p.now(), maxIdle) && idle.isUsable() {
			idle.idleFor = p.now() - idle.lastUsedAt
			return idle, nil
		}
		_ = idle.Close()
	}
	made, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: made, reader: bufio.NewReaderSize(made, readBufferSize)}, nil
}

// takeIdle removes the connection that was used last.
func (p *pool) takeIdle(instance string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[instance]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[instance] = idle[:len(idle)-1]
	return last
}

// put keeps a connection whose last answer was read whole.
func (p *pool) put(instance string, used *connection) {
	used.lastUsedAt = p.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[instance]) >= maxIdlePerBackend {
		_ = used.Close()
		return
	}
	p.idle[instance] = append(p.idle[instance], used)
}

// sweep closes connections that rested too long.
func (p *pool) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for instance, idle := range p.idle {
		var remaining []*connection
		for _, conn := range idle {
			if conn.isFresh(p.now(), maxIdleRetryable) {
				remaining = append(remaining, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, instance)
			continue
		}
		p.idle[instance] = remaining
	}
}

func (c *connection) isFresh(now, maxIdle time.Duration) bool {
	if c.keepAliveTimeout > 0 {
		maxIdle = min(maxIdle, c.keepAliveTimeout-idleMargin)
	}
	return now-c.lastUsedAt < maxIdle
}

// isUsable reports whether the back end has neither closed the connection nor sent bytes that nobody asked for.
func (c *connection) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, failed := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = failed == unix.EAGAIN
		return true
	})
	return err == nil && unread
}

// readKeepAlive reads how long the back end keeps the connection, and reports whether it may be used again.
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

// hasToken reports whether a header that lists tokens holds one.
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
