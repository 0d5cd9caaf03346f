package core

import (
	"container/heap"
	"time"
)

// timerItem is a wakeup for a request; a request may have several.
type timerItem struct {
	at time.Duration
	id RequestID
}

// timerHeap orders wakeups by time, then request.
type timerHeap []timerItem

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].id < h[j].id
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(item any) { *h = append(*h, item.(timerItem)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// wakeAt schedules a wakeup for a request.
func (c *Core) wakeAt(r *request, at time.Duration) {
	heap.Push(&c.timers, timerItem{at: at, id: r.ID})
}

// runTimers handles all wakeups that are due.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		item := heap.Pop(&c.timers).(timerItem)
		if r, found := c.requests[item.id]; found {
			c.handleTimer(r)
		}
	}
}

// handleTimer acts on a wakeup according to the stage of the request.
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

// checkRunning hedges an attempt without a first token, or ends the request once its grace period is over.
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

// checkStalled fails the attempt of a stalled stream, so that it resumes on another engine.
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

// giveUpAt returns when a dispatched request without a first token is ended.
func (c *Core) giveUpAt(r *request) time.Duration {
	return r.deadline + max((r.deadline-r.arrivedAt)/2, minFirstTokenGrace)
}
