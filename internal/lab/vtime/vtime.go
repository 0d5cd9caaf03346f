// Package vtime provides a virtual clock for simulations: scheduled functions run in a deterministic order.
package vtime

import (
	"container/heap"
	"time"
)

// event is a function scheduled for a point in time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap orders events by time, then by order of scheduling. It implements heap.Interface.
type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface; use heap.Push.
func (q *eventHeap) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface; use heap.Pop.
func (q *eventHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// Clock is a virtual clock with a queue of events. The zero value is at time 0 with an empty queue.
type Clock struct {
	now          time.Duration
	queue        eventHeap
	lastSequence uint64
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules a function to run after a delay. A negative delay counts as zero.
func (c *Clock) After(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{at: c.now + max(0, delay), sequence: c.lastSequence, run: run})
}

// Step runs the next event if it is due by end and advances the clock to it. It returns false if there is none.
func (c *Clock) Step(end time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		return false
	}
	next := heap.Pop(&c.queue).(event)
	c.now = next.at
	next.run()
	return true
}

// Set advances the clock without running events. It never moves the clock back.
func (c *Clock) Set(now time.Duration) { c.now = max(c.now, now) }

// Alarm fires once, at the earliest time it was set to. The zero value is not set.
type Alarm struct {
	at time.Duration
}

// Set schedules fire at due, but at least minDelay from now. It does nothing if the alarm is already pending at due
// or earlier. The after function schedules like Clock.After.
func (a *Alarm) Set(now, due, minDelay time.Duration, after func(time.Duration, func()), fire func()) {
	if a.at > now && a.at <= due {
		return
	}
	at := max(due, now+minDelay)
	a.at = at
	after(at-now, func() {
		if a.at == at { // otherwise the alarm has been set to another time since
			fire()
		}
	})
}
