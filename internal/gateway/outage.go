package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"kitetiller/internal/mechanism"
)

const (
	// initialOutageEstimate is the expected length of the first outage of control; outageSmoothing is the weight of the
	// newest outage in the mean.
	initialOutageEstimate = 500 * time.Millisecond
	outageSmoothing       = 0.3
	// minRemainingFraction of the time since an outage began is the minimum that it is expected to last further.
	minRemainingFraction = 0.5
	// minControlRetryAfter and maxControlRetryAfter bound the retry time before jitter. controlRetryJitter is the
	// maximum jitter as a fraction of it.
	minControlRetryAfter = 150 * time.Millisecond
	maxControlRetryAfter = 2 * time.Second
	controlRetryJitter   = 0.4
	// controlContactWindow is how recently a control replica must have answered for a leader to be expected soon.
	controlContactWindow = 700 * time.Millisecond
	// startupWindow is how long after its start a gateway is expected to be still connecting to control.
	startupWindow = 700 * time.Millisecond
	// viewWaitFraction of the caller's timeout is how long a request waits for a confirmed view, at most
	// Settings.ViewWait. defaultCallerTimeout is assumed for callers that state none.
	viewWaitFraction     = 0.125
	defaultCallerTimeout = 4 * time.Second
)

// outage estimates how long control stays unavailable, from the lengths of earlier outages. The zero value is an outage
// that begins with the process. It is safe for concurrent use.
type outage struct {
	mu           sync.Mutex
	ended        bool          // control is available; guarded by mu
	startedAt    time.Duration // of the current or last outage; guarded by mu
	meanDuration time.Duration // smoothed length of earlier outages; 0 before the first; guarded by mu
}

// begin records the start of an outage, if none is in progress.
func (o *outage) begin(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		o.ended, o.startedAt = false, now
	}
}

// end records the end of the outage, if one is in progress.
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

// remaining returns the expected remaining time of the outage.
func (o *outage) remaining(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	expected := o.meanDuration
	if expected == 0 {
		expected = initialOutageEstimate
	}
	elapsed := now - o.startedAt
	return max(expected-elapsed, time.Duration(minRemainingFraction*float64(elapsed)))
}

// controlRetryAfter returns when a caller may retry a request that was rejected because control is unavailable.
func (g *Gateway) controlRetryAfter() time.Duration {
	remaining := min(max(g.outage.remaining(g.now()), minControlRetryAfter), maxControlRetryAfter)
	return remaining + time.Duration(controlRetryJitter*rand.Float64()*float64(remaining))
}

// awaitView waits until control confirms the view, if that is expected soon, and reports whether the view is confirmed.
func (x *exchange) awaitView() bool {
	g := x.gateway
	for {
		next := g.viewConfirmed.Next()
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

// expectsControl reports whether control is likely to confirm the view soon: a replica answers, so that a leader will
// be elected, or the gateway has only just started.
func (g *Gateway) expectsControl() bool {
	return g.enabled(mechanism.ViewWait) && (g.group.AnsweredWithin(controlContactWindow) || g.now() < startupWindow)
}

// viewWait returns how long the request may wait for a confirmed view.
func (x *exchange) viewWait() time.Duration {
	timeout := x.call.Timeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	return min(x.gateway.settings.MaxViewWait, time.Duration(viewWaitFraction*float64(timeout)))
}
