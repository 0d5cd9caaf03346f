package congestion

import (
	"slices"
	"time"
)

const (
	// promptResponse is how long the first response on a new connection may take, beyond what is expected of its request, to count as
	// prompt.
	promptResponse = 250 * time.Millisecond
	// maxOpeningTime is after which time beyond that without a response a connection counts as failed.
	maxOpeningTime = time.Second
	// A window below one spaces connections: each is opened when the one before has ended, and the time that it took divided by the
	// window after its start, but maxPause after its end at most. One failed connection may be that of a single faulty back end, so
	// it takes minFailures in a row.
	minWindow   = 1.0 / 8
	maxPause    = 4 * time.Second
	minFailures = 2
	// maxWindow is the size at which a window no longer bounds anything.
	maxWindow = 8
	// fleetWindow is how many connections to the back ends of a service all routers together may open at once before any has proved
	// useful; each may open one.
	fleetWindow = 32
)

// ConnectionWindow bounds how many connections to the back ends of one service are opened at once. A connection costs a back end
// work before it carries a request, so a router whose connections are all cold, or whose back ends are out of capacity, opens further
// ones as fast as those before prove useful. A connection is being opened until the first response. The window begins with the
// router's part of fleetWindow, grows by one with each prompt response and halves with each late one, below one only with failed
// connections. A service may take long by itself: after a failure, the reply to a question that takes a back end no time tells that
// from a lack of capacity, and ends the bound if it is prompt. ConnectionWindow uses no I/O, locks or clock of its own.
type ConnectionWindow struct {
	size     float64
	pending  []*Opening
	failures int           // in a row
	nextAt   time.Duration // no connection is opened before; only if size is below one
}

// Opening is a connection that is being opened, until the first response on it.
type Opening struct {
	startedAt time.Duration
	expected  time.Duration // time that its request is expected to wait for a response by itself
	failed    bool          // it no longer counts, though a response may come
}

// NewConnectionWindow returns the window of one of a number of routers.
func NewConnectionWindow(routers int) *ConnectionWindow {
	return &ConnectionWindow{size: min(maxWindow, max(1, fleetWindow/float64(max(1, routers))))}
}

// Allows reports whether another connection may be opened.
func (w *ConnectionWindow) Allows(now time.Duration) bool {
	for _, o := range w.pending {
		if !o.failed && now-o.startedAt-o.expected >= maxOpeningTime {
			w.fail(now, o)
		}
	}
	return w.size >= maxWindow || now >= w.nextAt && float64(w.counted()+1) <= max(1, w.size)
}

// Size returns how many connections may be opened at once.
func (w *ConnectionWindow) Size() float64 { return w.size }

// Pending returns the number of connections that are being opened.
func (w *ConnectionWindow) Pending() int { return len(w.pending) }

// NeedsCheck reports whether a question is to be asked first on the next connection.
func (w *ConnectionWindow) NeedsCheck() bool { return w.failures > 0 }

// Open adds a connection whose first request is expected to wait for a time by itself.
func (w *ConnectionWindow) Open(now, expected time.Duration) *Opening {
	o := &Opening{startedAt: now, expected: expected}
	w.pending = append(w.pending, o)
	return o
}

// Checked records the reply to the question that was asked first on a connection.
func (w *ConnectionWindow) Checked(now time.Duration, o *Opening) {
	if w.Responded(now, o) {
		w.size = maxWindow
	}
}

// Responded records the first response on a connection, and reports whether it is prompt. Only the first call of this, of Checked or
// of Failed has an effect.
func (w *ConnectionWindow) Responded(now time.Duration, o *Opening) (prompt bool) {
	if !w.end(o) {
		return false
	}
	w.nextAt, w.failures = 0, 0
	if !w.isPrompt(now, o) {
		w.size = max(1, w.size/2)
		return false
	}
	w.size = min(maxWindow, max(1, w.size)+1)
	return true
}

// Reset makes the window that of a router without connections, as those that it had can't be used any more.
func (w *ConnectionWindow) Reset(routers int) { *w = *NewConnectionWindow(routers) }

// Withdraw removes a connection that could not be established, which tells nothing about the capacity of back ends.
func (w *ConnectionWindow) Withdraw(o *Opening) { w.end(o) }

// Failed records that a connection was closed before its first response.
func (w *ConnectionWindow) Failed(now time.Duration, o *Opening) {
	if w.end(o) && !o.failed && !w.isPrompt(now, o) {
		w.fail(now, o)
	}
}

func (w *ConnectionWindow) isPrompt(now time.Duration, o *Opening) bool {
	return now-o.startedAt-o.expected <= promptResponse
}

// end reports whether the connection had not ended before.
func (w *ConnectionWindow) end(o *Opening) bool {
	i := slices.Index(w.pending, o)
	if i < 0 {
		return false
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	return true
}

// fail halves the window for a connection without a response.
func (w *ConnectionWindow) fail(now time.Duration, o *Opening) {
	o.failed = true
	w.failures++
	if w.failures < minFailures {
		w.size = max(1, w.size/2)
		return
	}
	w.size = max(minWindow, w.size/2)
	if w.size < 1 {
		took := now - o.startedAt
		w.nextAt = now + min(maxPause, time.Duration(float64(took)/w.size)-took)
	}
}

// counted returns the number of connections that are being opened and have not failed.
func (w *ConnectionWindow) counted() (count int) {
	for _, o := range w.pending {
		if !o.failed {
			count++
		}
	}
	return count
}
