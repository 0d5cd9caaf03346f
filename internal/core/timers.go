package core

import (
	"container/heap"
	"time"
)

// timerItem asks to look at a request at a time; a request may have several.
type timerItem struct {
	at time.Duration
	id RequestID
}

// timerHeap orders items by time, then request; it implements heap.Interface.
type timerHeap []timerItem

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].id < h[j].id
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an item; use heap.Push.
func (h *timerHeap) Push(item any) { *h = append(*h, item.(timerItem)) }

// Pop removes the last item; use heap.Pop.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// wakeAt asks for a look at a request at a time.
func (c *Core) wakeAt(r *request, at time.Duration) {
	heap.Push(&c.timers, timerItem{at: at, id: r.ID})
}

// runTimers looks at every request whose time has come.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		item := heap.Pop(&c.timers).(timerItem)
		if r, alive := c.requests[item.id]; alive {
			c.handleTimer(r)
		}
	}
}

// handleTimer acts on whatever of a request is due.
func (c *Core) handleTimer(r *request) {
	switch r.state {
	case stateAwaitingLease:
		c.admit(r)
	case stateBackoff:
		if c.now >= r.retryAt {
			c.enqueue(r)
		}
	case stateQueued:
		if c.now >= r.deadline && !r.streamStarted() {
			c.refuse(r, ReasonDeadline, c.queueDrainTime(r))
		}
	case stateClaiming:
		if c.now >= r.deadline {
			c.refuse(r, ReasonLedgerUnavailable, shortRetryAfter)
		}
	case stateRunning:
		c.checkRunning(r)
	}
}

// checkRunning hedges a silent attempt, and gives up on a stream whose first token is far too late.
func (c *Core) checkRunning(r *request) {
	if r.streamStarted() {
		c.checkStalled(r)
		return
	}
	hedgeAt := r.attempts[0].sentAt + time.Duration(r.values.HedgeAfterMS)*time.Millisecond
	if r.values.HedgeAfterMS > 0 && !r.hedged && c.now >= hedgeAt {
		c.hedge(r)
	}
	if c.now >= c.giveUpAt(r) {
		c.finishTimedOut(r)
	}
}

// checkStalled moves a stream that has stood still for too long to another engine.
func (c *Core) checkStalled(r *request) {
	sent := r.attempts[0]
	silentSince := max(r.lastEmittedAt, sent.sentAt)
	if due := silentSince + c.stallTimeout(r); c.now < due {
		c.wakeAt(r, due)
		return
	}
	c.handleFailure(r, 0, EventAttempt{ID: r.ID, Attempt: sent.id, Kind: AttemptBroken})
	c.runRetries()
}

func (c *Core) stallTimeout(r *request) time.Duration {
	return time.Duration(r.values.StallAfterMS) * time.Millisecond
}

// giveUpAt is when a dispatched request without a first token is given up on.
func (c *Core) giveUpAt(r *request) time.Duration {
	return r.deadline + max((r.deadline-r.arrivedAt)/2, minFirstTokenGrace)
}
