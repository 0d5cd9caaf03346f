package core

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// interactivePerBatch is the number of consecutive interactive requests after which a batch request is dequeued,
	// so that batch work does not starve.
	interactivePerBatch = 8
	// initialDispatchInterval is assumed until a queue has dispatched requests.
	initialDispatchInterval   = 20 * time.Millisecond
	dispatchIntervalSmoothing = 0.1
	outputTokenCost           = 4 // weight of an output token relative to a prompt token in fair queueing
)

// laneQueue is a heap of requests ordered by virtual finish time (start-time fair queueing).
type laneQueue []*request

func (l laneQueue) Len() int { return len(l) }
func (l laneQueue) Less(i, j int) bool {
	if l[i].finishTag != l[j].finishTag {
		return l[i].finishTag < l[j].finishTag
	}
	return l[i].ID < l[j].ID
}
func (l laneQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *laneQueue) Push(item any) { *l = append(*l, item.(*request)) }

// Pop implements heap.Interface.
func (l *laneQueue) Pop() any {
	old := *l
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return last
}

// enqueueNew queues an admitted request, or refuses it if the queue is full or its deadline would pass before its
// turn.
func (c *Core) enqueueNew(r *request) {
	service := c.service(r.Service)
	queued := service.queueLength()
	if queued >= max(1, r.values.QueueLimit) {
		c.refuse(r, ReasonQueueFull, c.queueDrainTime(r))
		return
	}
	wait := time.Duration(service.queuedAhead(r.Lane)) * service.dispatchInterval
	if service.queuedAhead(r.Lane) > 0 && c.now+wait > r.deadline {
		c.refuse(r, ReasonDeadline, c.queueDrainTime(r))
		return
	}
	tenant := c.tenant(r)
	r.queueCost = float64(max(1, r.PromptTokens) + outputTokenCost*r.MaxTokens)
	start := max(service.virtualTime, tenant.finishTag)
	r.finishTag = start + r.queueCost/r.values.ShareWeight
	tenant.finishTag = r.finishTag
	c.enqueue(r)
}

// enqueue adds a request to the queue of its lane under its existing finish tag.
func (c *Core) enqueue(r *request) {
	r.state = stateQueued
	service := c.service(r.Service)
	heap.Push((*laneQueue)(&service.lanes[r.Lane]), r)
}

// queueDrainTime estimates the Retry-After for a full queue: the time until half of it has been dispatched.
func (c *Core) queueDrainTime(r *request) time.Duration {
	service := c.service(r.Service)
	return max(shortRetryAfter, time.Duration(service.queueLength())*service.dispatchInterval/2)
}

func (s *serviceState) queueLength() int {
	total := 0
	for i := range s.lanes {
		total += len(s.lanes[i])
	}
	return total
}

// queuedAhead returns the number of requests that a new request of the lane waits for.
func (s *serviceState) queuedAhead(l Lane) int {
	if l == LaneInteractive {
		return len(s.lanes[LaneInteractive])
	}
	return s.queueLength()
}

// nextLane returns the lane to serve next, or false if no request is queued.
func (s *serviceState) nextLane() (Lane, bool) {
	interactive, batch := len(s.lanes[LaneInteractive]) > 0, len(s.lanes[LaneBatch]) > 0
	switch {
	case interactive && batch && s.interactiveSinceBatch >= interactivePerBatch:
		return LaneBatch, true
	case interactive:
		return LaneInteractive, true
	case batch:
		return LaneBatch, true
	}
	return 0, false
}

// dequeue removes and returns the first request of a lane.
func (s *serviceState) dequeue(l Lane) *request {
	r := heap.Pop((*laneQueue)(&s.lanes[l])).(*request)
	s.virtualTime = max(s.virtualTime, r.finishTag-r.queueCost/r.values.ShareWeight)
	if l == LaneInteractive {
		s.interactiveSinceBatch++
	} else {
		s.interactiveSinceBatch = 0
	}
	return r
}

// remove removes a request from any position in its lane.
func (s *serviceState) remove(r *request) {
	l := (*laneQueue)(&s.lanes[r.Lane])
	if at := slices.Index(*l, r); at >= 0 {
		heap.Remove(l, at)
	}
}

// recordDispatchInterval updates the smoothed time between dispatches.
func (s *serviceState) recordDispatchInterval(interval time.Duration) {
	delta := float64(interval - s.dispatchInterval)
	s.dispatchInterval += time.Duration(dispatchIntervalSmoothing * delta)
}
