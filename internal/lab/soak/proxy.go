package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// copyBufferSize is how much is passed on at once.
	copyBufferSize = 32 << 10
	// dialTimeout is how long the far side may take to accept.
	dialTimeout = 2 * time.Second
	// blockedPollInterval is how often a held connection looks whether it may go on.
	blockedPollInterval = 10 * time.Millisecond
)

// Link names the direction from one process to another.
type Link struct{ From, To string }

// Proxy carries connections between processes. It is safe for concurrent use.
type Proxy struct {
	owner func(net.Conn) string // process that opened a connection that came to us, or ""

	mu         sync.Mutex
	blocked    map[Link]int              // faults that hold what travels; guarded by mu
	delays     map[Link]time.Duration    // guarded by mu
	open       map[*proxiedConn]struct{} // guarded by mu
	listeners  []net.Listener            // guarded by mu
	goroutines sync.WaitGroup
	done       chan struct{}
}

// proxiedConn is one connection that is carried.
type proxiedConn struct {
	from, to  string
	near, far net.Conn
}

// NewProxy returns a proxy; owner names the process that opened a connection.
func NewProxy(owner func(net.Conn) string) *Proxy {
	return &Proxy{
		owner: owner, blocked: map[Link]int{}, delays: map[Link]time.Duration{}, open: map[*proxiedConn]struct{}{}, done: make(chan struct{}),
	}
}

// Forward listens at an address and passes connections on to a process's own one.
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
				return // closed
			}
			p.goroutines.Go(func() { p.handle(near, to, target) })
		}
	})
	return nil
}

// handle passes one connection on, in both directions, until one side ends.
func (p *Proxy) handle(near net.Conn, to, target string) {
	defer near.Close()
	from := p.owner(near)
	if !p.waitForLink(Link{from, to}) || !p.waitForLink(Link{to, from}) {
		return
	}
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	r := &proxiedConn{from: from, to: to, near: near, far: far}
	p.mu.Lock()
	p.open[r] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(near, far, Link{from, to}) })
	directions.Go(func() { p.copyDirection(far, near, Link{to, from}) })
	directions.Wait()
	p.mu.Lock()
	delete(p.open, r)
	p.mu.Unlock()
}

// copyDirection copies one direction, and ends it at the other side as it ended here.
func (p *Proxy) copyDirection(from, to net.Conn, link Link) {
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := from.Read(buffer)
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

// abort ends a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// waitForLink waits for a link's delay, and as long as the link is silent; it is false once the proxy ends.
func (p *Proxy) waitForLink(link Link) bool {
	p.mu.Lock()
	delay := p.delays[link]
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		blocked := p.blocked[link] > 0
		p.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-p.done:
			return false
		case <-time.After(blockedPollInterval):
		}
	}
}

// Block holds what travels on a link, as often as Heal is called for it.
func (p *Proxy) Block(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[link]++
}

// Unblock takes one Silence back.
func (p *Proxy) Unblock(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[link]--
}

// Delay makes everything on a link take so much longer; 0 ends that.
func (p *Proxy) Delay(link Link, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays[link] = delay
}

// Reset ends the connections between two processes with resets, whoever opened them.
func (p *Proxy) Reset(a, b string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.open {
		if r.from == a && r.to == b || r.from == b && r.to == a {
			abort(r.near)
			abort(r.far)
		}
	}
}

// Close ends all connections.
func (p *Proxy) Close() {
	close(p.done)
	p.mu.Lock()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	for r := range p.open {
		abort(r.near)
		abort(r.far)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
