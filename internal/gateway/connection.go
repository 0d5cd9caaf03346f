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
	// unackedLimit is how long sent bytes may stay unacknowledged before the connection counts as dead.
	unackedLimit = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount make a silent peer noticed on a connection that only waits.
	probeIdle     = 1500 * time.Millisecond
	probeInterval = 700 * time.Millisecond
	probeCount    = 3
	// idleRepeatable and idleOnce are how long a kept connection may have rested before it is used again. A request
	// that must run at most once goes over one that was busy a moment ago, since a back end may be closing others.
	idleRepeatable = 8 * time.Second
	idleOnce       = 3 * time.Second
	// forgottenShare of the rest after which a back end turned out to have forgotten a connection is how long others may
	// rest for forgottenFor, and forgottenLeast the least that this may come to.
	forgottenShare = 0.7
	forgottenFor   = 10 * time.Second
	forgottenLeast = 100 * time.Millisecond
	// idleMargin is kept to a back end's own limit for idle connections.
	idleMargin     = time.Second
	readBuffer     = 4096
	idlePerBackend = 16
)

// connection is one connection to a back end. It serves one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Duration
	limit  time.Duration // longest rest that the back end announced; 0 unknown
	rested time.Duration // before the request that it serves; 0 for a new connection
}

// pool keeps idle connections by instance, so that a connection never outlives the life it was made to.
type pool struct {
	dialer net.Dialer
	now    clock.Source
	mutex  sync.Mutex
	idle   map[string][]*connection

	forgottenRest time.Duration // shortest rest after which a connection was lately found forgotten; guarded by mutex
	forgottenAt   time.Duration // when; guarded by mutex
}

func newPool(source clock.Source) *pool {
	made := &pool{now: clock.From(source), idle: map[string][]*connection{}}
	made.dialer = net.Dialer{
		Timeout: dialTimeout, Control: limitConnection,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return made
}

// limitConnection bounds how long sent bytes may stay unacknowledged, and how much may come that isn't read.
func limitConnection(_, _ string, raw syscall.RawConn) error {
	return errors.Join(
		setSocketOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit/time.Millisecond)),
		setSocketOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes),
	)
}

// forgotten notes that a back end broke a connection off which had rested so long, before it answered anything. Back ends
// may forget connections sooner than they say, so others are not trusted for as long either for a while.
func (p *pool) forgotten(rested time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if rested < forgottenLeast || p.forgottenRest > 0 && p.now()-p.forgottenAt < forgottenFor && rested > p.forgottenRest {
		return
	}
	p.forgottenRest, p.forgottenAt = rested, p.now()
}

// restLimit returns how long a connection may have rested, where rest is the most that the request allows.
func (p *pool) restLimit(rest time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.forgottenRest == 0 || p.now()-p.forgottenAt >= forgottenFor {
		return rest
	}
	return min(rest, max(forgottenLeast, time.Duration(forgottenShare*float64(p.forgottenRest))))
}

// get returns an idle connection that rested no longer than rest, or a new one. An error proves that nothing was sent.
func (p *pool) get(ctx context.Context, instance, address string, rest time.Duration) (*connection, error) {
	rest = p.restLimit(rest)
	for {
		kept := p.take(instance)
		if kept == nil {
			break
		}
		if kept.fresh(p.now(), rest) && kept.quiet() {
			kept.rested = p.now() - kept.usedAt
			return kept, nil
		}
		_ = kept.Close()
	}
	made, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: made, reader: bufio.NewReaderSize(made, readBuffer)}, nil
}

// take removes the connection that was used last.
func (p *pool) take(instance string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[instance]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[instance] = kept[:len(kept)-1]
	return last
}

// put keeps a connection whose last answer was read whole.
func (p *pool) put(instance string, used *connection) {
	used.usedAt = p.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[instance]) >= idlePerBackend {
		_ = used.Close()
		return
	}
	p.idle[instance] = append(p.idle[instance], used)
}

// sweep closes connections that rested too long.
func (p *pool) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for instance, kept := range p.idle {
		var left []*connection
		for _, held := range kept {
			if held.fresh(p.now(), idleRepeatable) {
				left = append(left, held)
				continue
			}
			_ = held.Close()
		}
		if len(left) == 0 {
			delete(p.idle, instance)
			continue
		}
		p.idle[instance] = left
	}
}

func (c *connection) fresh(now, rest time.Duration) bool {
	if c.limit > 0 {
		rest = min(rest, c.limit-idleMargin)
	}
	return now-c.usedAt < rest
}

// quiet reports whether the back end has neither closed the connection nor sent bytes that nobody asked for.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, failed := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// noteLimits reads how long the back end keeps the connection, and reports whether it may be used again.
func (c *connection) noteLimits(answer *http.Response) bool {
	if answer.Close || hasToken(answer.Header, "Connection", "close") {
		return false
	}
	c.limit = 0
	for field := range strings.SplitSeq(answer.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil {
			c.limit = time.Duration(seconds) * time.Second
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
