// Package vtime is virtual time: a queue of things that happen at times, in a fixed order.
package vtime

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap by time, then by order of scheduling; it implements heap.Interface.
type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an item; use heap.Push.
func (q *eventHeap) Push(e any) { *q = append(*q, e.(event)) }

// Pop removes the last item; use heap.Pop.
func (q *eventHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// Clock is a virtual clock with its queue. The zero value stands at 0 with nothing to do.
type Clock struct {
	now          time.Duration
	queue        eventHeap
	lastSequence uint64
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules something; a negative delay counts as none.
func (c *Clock) After(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{at: c.now + max(0, delay), sequence: c.lastSequence, run: run})
}

// Step runs the next thing that is due by the end. It returns false when there is none.
func (c *Clock) Step(end time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		return false
	}
	next := heap.Pop(&c.queue).(event)
	c.now = next.at
	next.run()
	return true
}

// Set moves the time forward when nothing is due.
func (c *Clock) Set(now time.Duration) { c.now = max(c.now, now) }

// Alarm wakes something once, at the earliest time it was set to. The zero value is not set.
type Alarm struct {
	at time.Duration
}

// Set asks for ring at due, but not sooner than soonest from now; it does nothing when the alarm rings by then
// already. after schedules, as Clock.After does.
func (a *Alarm) Set(now, due, minDelay time.Duration, after func(time.Duration, func()), fire func()) {
	if a.at > now && a.at <= due {
		return
	}
	at := max(due, now+minDelay)
	a.at = at
	after(at-now, func() {
		if a.at == at { // otherwise it was set to an earlier time, or belongs to an earlier life
			fire()
		}
	})
}
