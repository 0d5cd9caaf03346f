package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"kitetiller/internal/mechanism"
)

const (
	// initialOutageEstimate is how long a loss of control is taken to last before one has been seen; outageSmoothing weighs the newest.
	initialOutageEstimate = 500 * time.Millisecond
	outageSmoothing       = 0.3
	// minRemainingFraction of the time that it has lasted is the least that it is taken to go on: who waited long waits longer.
	minRemainingFraction = 0.5
	// minControlRetryAfter and adviceMost bound the time to come back, and adviceSpread is the share by which callers are told
	// different times, so that they don't come back together.
	minControlRetryAfter = 150 * time.Millisecond
	maxControlRetryAfter = 2 * time.Second
	controlRetryJitter   = 0.4
	// controlContactWindow is how lately a control replica must have answered for a leader to be expected soon.
	controlContactWindow = 700 * time.Millisecond
	// startupWindow is how long a gateway that has just started is taken to be about to find control.
	startupWindow = 700 * time.Millisecond
	// viewWaitFraction of the caller's patience is how long a request waits for a view that is expected soon, at most as long as
	// the settings say; callers that don't tell theirs are taken to have defaultPatience.
	viewWaitFraction     = 0.125
	defaultCallerTimeout = 4 * time.Second
)

// outage tells how long control is likely to be gone, from how long it was before. Its zero value begins with the process:
// a gateway starts without control.
type outage struct {
	mu           sync.Mutex
	ended        bool          // control is there; guarded by mu
	startedAt    time.Duration // when it was lost; guarded by mu
	meanDuration time.Duration // smoothed length of former ones; 0 before the first; guarded by mu
}

// begin notes that control is lost; what it notes later changes nothing.
func (o *outage) begin(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		o.ended, o.startedAt = false, now
	}
}

// end notes that control is back.
func (o *outage) end(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	elapsed := now - o.startedAt
	if o.meanDuration == 0 {
		o.meanDuration = elapsed
	}
	o.meanDuration += time.Duration(outageSmoothing * float64(elapsed-o.meanDuration))
	o.ended = true
}

// remaining returns how much longer the outage is taken to last.
func (o *outage) remaining(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	typical := o.meanDuration
	if typical == 0 {
		typical = initialOutageEstimate
	}
	elapsed := now - o.startedAt
	return max(typical-elapsed, time.Duration(minRemainingFraction*float64(elapsed)))
}

// controlRetryAfter returns when a caller should ask again that is turned away for want of control.
func (g *Gateway) controlRetryAfter() time.Duration {
	remaining := min(max(g.outage.remaining(g.now()), minControlRetryAfter), maxControlRetryAfter)
	return remaining + time.Duration(controlRetryJitter*rand.Float64()*float64(remaining))
}

// awaitView waits a moment for control where it is expected, and reports whether the view is confirmed.
func (x *exchange) awaitView() bool {
	g := x.gateway
	for {
		next := g.confirmed.Next()
		if g.trusted(g.now()) {
			return true
		}
		remaining := x.arrived + x.viewWait() - g.now()
		if remaining <= 0 || !g.expectsControl() {
			return false
		}
		select {
		case <-next:
		case <-time.After(remaining):
		case <-x.request.Context().Done():
			return false
		}
	}
}

// expectsControl reports whether control is likely to confirm the view in a moment: a replica answers, so that there will be
// a leader, or nobody could have answered yet.
func (g *Gateway) expectsControl() bool {
	return g.on(mechanism.ViewWait) && (g.group.HeardWithin(controlContactWindow) || g.now() < startupWindow)
}

// viewWait is how long the request may wait for a confirmed view.
func (x *exchange) viewWait() time.Duration {
	timeout := x.call.Patience
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	return min(x.gateway.settings.ViewWait, time.Duration(viewWaitFraction*float64(timeout)))
}
