package gateway

import (
	"context"
	"sync"
	"time"

	"kitetiller/internal/control"
)

// confirmTimeout bounds the confirmation of the view for a stream that is taken up.
const confirmTimeout = 300 * time.Millisecond

// viewProbe asks control whether the roster is the newest. Requests that come while a question is on its way share the next
// one, since an answer only counts for those that came before it was asked.
type viewProbe struct {
	mu      sync.Mutex
	asking  bool        // guarded by mu
	waiting []chan bool // for the next question; guarded by mu
	ask     func() (control.RosterVersion, bool)
	reached func(control.RosterVersion) bool
}

// confirm asks, and reports whether the roster held here is at least the newest one at the time of the call.
func (p *viewProbe) confirm(ctx context.Context) bool {
	done := make(chan bool, 1)
	p.mu.Lock()
	p.waiting = append(p.waiting, done)
	start := !p.asking
	p.asking = true
	p.mu.Unlock()
	if start {
		go p.run()
	}
	select {
	case confirmed := <-done:
		return confirmed
	case <-ctx.Done():
		return false
	}
}

// run asks until nobody waits.
func (p *viewProbe) run() {
	for {
		p.mu.Lock()
		waiting := p.waiting
		p.waiting = nil
		p.asking = len(waiting) > 0
		p.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		version, answered := p.ask()
		confirmed := answered && p.reached(version)
		for _, done := range waiting {
			done <- confirmed
		}
	}
}

// confirmView reports whether the view of the back ends is the newest one, as confirmed by control since the call. A stream
// that began before may have begun at a back end which this gateway had not been told of.
func (g *Gateway) confirmView(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return g.viewProbe.confirm(ctx)
}

// askRosterVersion asks control for the version of the newest roster.
func (g *Gateway) askRosterVersion() (control.RosterVersion, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	watch := g.newWatch(g.heldRoster())
	watch.ProbeOnly, watch.Hold = true, 0
	response, err := g.askForWatch(ctx, watch)
	if err != nil || response.Kind != control.ResponseOK || response.Watch == nil {
		return control.RosterVersion{}, false
	}
	return response.Watch.Version, true
}

// heldRoster returns the version of the roster in use.
func (g *Gateway) heldRoster() control.RosterVersion {
	if held := g.rosterVersion.Load(); held != nil {
		return *held
	}
	return control.RosterVersion{}
}

// reachedRoster waits until the roster in use is at least the given one, and reports whether it is within confirmTimeout.
func (g *Gateway) reachedRoster(wanted control.RosterVersion) bool {
	deadline := time.After(confirmTimeout)
	for {
		next := g.viewConfirmed.Next()
		held := g.heldRoster()
		if held.Term == wanted.Term && held.Count >= wanted.Count {
			return true
		}
		select {
		case <-next:
		case <-deadline:
			return false
		}
	}
}
