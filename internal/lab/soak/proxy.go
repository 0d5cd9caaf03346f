package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

const (
	// copyBufferSize is the size of the buffer of each direction of a connection.
	copyBufferSize = 32 << 10
	// dialTimeout bounds the time to connect to a target.
	dialTimeout = 2 * time.Second
)

// Link is the direction from one process to another, by name.
type Link struct{ From, To string }

// Proxy forwards TCP connections between processes and injects network faults. It is safe for concurrent use.
type Proxy struct {
	owner func(net.Conn) string // returns the name of the process that opened an accepted connection, or ""

	mu         sync.Mutex
	blocked    map[Link]*block           // guarded by mu
	refused    map[Link]int              // number of active Refuse calls; guarded by mu
	delays     map[Link]time.Duration    // guarded by mu
	slow       map[string]time.Duration  // delays of all links of a process; guarded by mu
	dark       map[string]bool           // processes whose machines have no power; guarded by mu
	conns      map[*proxiedConn]struct{} // guarded by mu
	listeners  []net.Listener            // guarded by mu
	goroutines sync.WaitGroup
	done       chan struct{}
}

// block holds back data on a link.
type block struct {
	calls int           // of Block without one of Unblock
	ended chan struct{} // closed by the last call of Unblock
}

// proxiedConn is a forwarded connection: near was accepted from the opener, far is the connection to the target.
type proxiedConn struct {
	from, to  string
	near, far net.Conn
	orphaned  bool // a machine at one end lost power, so the other end hears nothing; guarded by the proxy's mu
}

// NewProxy returns a proxy; owner returns the name of the process that opened an accepted connection, or "".
func NewProxy(owner func(net.Conn) string) *Proxy {
	return &Proxy{
		owner: owner, blocked: map[Link]*block{}, refused: map[Link]int{}, delays: map[Link]time.Duration{}, slow: map[string]time.Duration{}, dark: map[string]bool{}, conns: map[*proxiedConn]struct{}{}, done: make(chan struct{}),
	}
}

// Forward listens on an address and forwards accepted connections to the target address, which belongs to process to.
func (p *Proxy) Forward(address, to, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s for %s", address, to)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, listener)
	p.mu.Unlock()
	p.goroutines.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			p.goroutines.Go(func() { p.handle(near, to, target) })
		}
	})
	return nil
}

// handle forwards one accepted connection in both directions until both have ended.
func (p *Proxy) handle(near net.Conn, to, target string) {
	defer near.Close()
	from := p.owner(near)
	if from == ClosedOwner {
		return
	}
	if p.refuses(Link{from, to}) {
		abort(near)
		return
	}
	if !p.waitForLink(Link{from, to}) || !p.waitForLink(Link{to, from}) || !p.waitForPower(to) {
		return
	}
	if transport.EndedInOrder(near) {
		return // the opener has given it up while its link was blocked
	}
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	c := &proxiedConn{from: from, to: to, near: near, far: far}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(c, near, far, Link{from, to}) })
	directions.Go(func() { p.copyDirection(c, far, near, Link{to, from}) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyDirection copies data from one connection to the other and propagates how it ends: EOF as a half-close, errors as
// a reset.
func (p *Proxy) copyDirection(c *proxiedConn, from, to net.Conn, link Link) {
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := from.Read(buffer)
		if p.isOrphaned(c) {
			if err != nil {
				return // the other end is not told
			}
			if !p.isDark(link.From) && !p.isDark(link.To) {
				abort(from) // the receiver doesn't know the connection any more
				return
			}
			continue
		}
		if count > 0 && p.waitForLink(link) {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && p.waitForLink(link) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		abort(to)
		return
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// waitForLink waits for the link's delay and while the link is blocked. It returns false if the proxy is closed while
// it is blocked.
func (p *Proxy) waitForLink(link Link) bool {
	p.mu.Lock()
	delay := max(p.delays[link], p.slow[link.From], p.slow[link.To])
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		active := p.blocked[link]
		p.mu.Unlock()
		if active == nil {
			return true
		}
		select {
		case <-p.done:
			return false
		case <-active.ended:
		}
	}
}

// Block holds back data on a link until Unblock has been called as often as Block.
func (p *Proxy) Block(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked[link] == nil {
		p.blocked[link] = &block{ended: make(chan struct{})}
	}
	p.blocked[link].calls++
}

// Unblock reverts one call of Block.
func (p *Proxy) Unblock(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := p.blocked[link]
	active.calls--
	if active.calls == 0 {
		close(active.ended)
		delete(p.blocked, link)
	}
}

// Refuse makes the proxy reset new connections on a link until Accept has been called as often as Refuse.
func (p *Proxy) Refuse(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[link]++
}

// Accept reverts one call of Refuse.
func (p *Proxy) Accept(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[link]--
}

func (p *Proxy) refuses(link Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[link] > 0
}

// Delay sets the delay added to each chunk of data on a link; 0 removes it.
func (p *Proxy) Delay(link Link, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays[link] = delay
}

// DelayProcess sets the delay added to each chunk of data from and to a process; 0 removes it.
func (p *Proxy) DelayProcess(name string, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow[name] = delay
}

// Reset resets all connections between two processes, whichever opened them.
func (p *Proxy) Reset(a, b string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.conns {
		if r.from == a && r.to == b || r.from == b && r.to == a {
			abort(r.near)
			abort(r.far)
		}
	}
}

// Close closes the listeners, resets all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	close(p.done)
	p.mu.Lock()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	for r := range p.conns {
		abort(r.near)
		abort(r.far)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
