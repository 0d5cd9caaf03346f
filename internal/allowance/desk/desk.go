// Package desk lets the requests of one process take amounts of limited resources: from what the process holds, else with one
// question to the lender for all that wait. One thread asks.
package desk

import (
	"context"
	"slices"
	"sync"
	"time"

	"kitetiller/internal/allowance"
)

const (
	// requestTimeout is how long the lender may take: some times the way to the furthest region and back.
	requestTimeout = 150 * time.Millisecond
	// retryInterval is the pause after a question without an answer.
	retryInterval = 25 * time.Millisecond
	// maxShortWait is how long a request waits for an amount that comes in soon, rather than being turned away: little beside any
	// objective.
	maxShortWait = 40 * time.Millisecond
	// maxWaiting bounds the requests that wait for an answer.
	maxWaiting = 4096
)

// Outcome tells what became of a wish.
type Outcome uint8

// Outcomes.
const (
	Granted      Outcome = iota // the hold may be used once; where the resource is not limited it is empty
	LimitReached                // the limit is reached; Wait tells when to come back
	Unavailable                 // nobody could be asked, and the own part is used up
)

// Result is an outcome and what belongs to it.
type Result struct {
	Outcome    Outcome
	Lease      allowance.Lease
	RetryAfter time.Duration
}

// RequestFunc asks the lender once.
type RequestFunc func(ctx context.Context, asked allowance.Request) (allowance.Reply, error)

// LeasePool is safe for concurrent use.
type LeasePool struct {
	request RequestFunc
	now     func() time.Duration // steady
	wake    chan struct{}        // has an item when something waits; room for one

	mu       sync.Mutex
	client   *allowance.Client // guarded by mu
	waiting  []*waiter         // guarded by mu; at most waitingMost
	failed   uint64            // questions without an answer; guarded by mu
	requests uint64            // questions; guarded by mu
}

// waiter is an amount that a request waits for.
type waiter struct {
	allowance.Demand
	notBefore time.Duration // not to be asked for before
	deadline  time.Duration // the request waits no longer
	done      chan Result   // has room for the one result
}

// New returns the desk of a process. trust is how long the process may act on what a lender told it last.
func New(name string, fallbackPeriod time.Duration, now func() time.Duration, request RequestFunc) *LeasePool {
	return &LeasePool{request: request, now: now, wake: make(chan struct{}, 1), client: allowance.NewClient(name, fallbackPeriod)}
}

// SetLimits replaces the limits.
func (d *LeasePool) SetLimits(limits map[string]allowance.Limit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.SetLimits(limits)
}

// RecordContact notes that the lender's process answered what was asked at a time, and by how many borrowers own parts are shared.
func (d *LeasePool) RecordContact(requestedAt time.Duration, clients int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.RecordContact(requestedAt, clients)
}

// Release gives back what was taken and not used.
func (d *LeasePool) Release(lease allowance.Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.Release(d.now(), lease)
}

// RequestCounts returns how many questions were asked, and how many of them got no answer.
func (d *LeasePool) RequestCounts() (requests, failed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests, d.failed
}

// Acquire takes an amount of a resource. It waits for the lender, and no longer than patience where there is none.
func (d *LeasePool) Acquire(ctx context.Context, name string, amount float64, maxWait time.Duration) Result {
	return d.acquire(ctx, allowance.Demand{Name: name, Amount: amount}, maxWait)
}

// AcquireAdvertised takes one unit of a resource that names its limit itself. It waits for the lender's answer, and for nothing that comes in later.
func (d *LeasePool) AcquireAdvertised(ctx context.Context, name string, advertised allowance.AdvertisedLimit) Result {
	d.mu.Lock()
	d.client.SetAdvertisedLimit(d.now(), name, advertised)
	d.mu.Unlock()
	return d.acquire(ctx, allowance.Demand{Name: name, Amount: 1, Advertised: &advertised}, 0)
}

func (d *LeasePool) acquire(ctx context.Context, demand allowance.Demand, maxWait time.Duration) Result {
	w, result := d.takeOrEnqueue(demand, maxWait)
	if w == nil {
		return result
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
	select {
	case result = <-w.done:
	case <-ctx.Done():
		result = d.cancel(w)
	}
	return result
}

// takeOrEnqueue takes from what is held, or lets a wish wait.
func (d *LeasePool) takeOrEnqueue(demand allowance.Demand, maxWait time.Duration) (*waiter, Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.client.IsLimited(demand.Name) {
		return nil, Result{}
	}
	now := d.now()
	if lease, ok := d.client.Take(now, demand.Name, demand.Amount); ok {
		return nil, Result{Lease: lease}
	}
	if len(d.waiting) >= maxWaiting {
		return nil, Result{Outcome: Unavailable}
	}
	w := &waiter{Demand: demand, deadline: now + maxWait, done: make(chan Result, 1)}
	d.waiting = append(d.waiting, w)
	return w, Result{}
}

// cancel ends a wish whose request is over; what it got meanwhile goes back.
func (d *LeasePool) cancel(w *waiter) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = slices.DeleteFunc(d.waiting, func(other *waiter) bool { return other == w })
	select {
	case result := <-w.done:
		d.client.Release(d.now(), result.Lease)
	default:
		w.deadline = 0 // a question may be on its way for it; what that brings stays in the pocket
	}
	return Result{Outcome: Unavailable}
}

// Run is the thread that asks the lender, until ctx ends.
func (d *LeasePool) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for delay, waiting := d.requestOnce(ctx); waiting; delay, waiting = d.requestOnce(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
		}
	}
}

// requestOnce asks once for all that wait. more tells that some still wait, for whom to ask again after a pause.
func (d *LeasePool) requestOnce(ctx context.Context) (delay time.Duration, waiting bool) {
	batch, demands, request := d.nextBatch()
	if len(batch) > 0 {
		requestedAt := d.now()
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		reply, err := d.request(requestCtx, request)
		cancel()
		if err != nil {
			d.handleFailure(batch)
			delay = retryInterval
		} else {
			d.handleReply(requestedAt, batch, demands, reply)
		}
	}
	return d.nextDelay(delay)
}

// nextBatch takes the wishes whose time has come and that the pocket does not hold by now.
func (d *LeasePool) nextBatch() (batch []*waiter, demands []allowance.Demand, request allowance.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waiter) bool {
		if now < w.notBefore {
			return false
		}
		if lease, ok := d.client.RetryTake(now, w.Name, w.Amount); ok {
			w.done <- Result{Lease: lease}
			return true
		}
		batch = append(batch, w)
		demands = append(demands, w.Demand)
		return true
	})
	if len(batch) == 0 {
		return nil, nil, request
	}
	d.requests++
	return batch, demands, d.client.NewRequest(now, demands)
}

// handleFailure serves from the own part; the rest waits on, as long as it may.
func (d *LeasePool) handleFailure(batch []*waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed++
	now := d.now()
	for _, w := range batch {
		if lease, ok := d.client.TakeFallback(now, w.Name, w.Amount); ok {
			d.finish(w, Result{Lease: lease})
			continue
		}
		d.requeue(now, w, Result{Outcome: Unavailable})
	}
}

// handleReply passes on what was lent.
func (d *LeasePool) handleReply(requestedAt time.Duration, batch []*waiter, demands []allowance.Demand, reply allowance.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for i, result := range d.client.ApplyReply(now, requestedAt, demands, reply) {
		w := batch[i]
		if result.Lease.Amount == 0 {
			result.Lease, _ = d.client.RetryTake(now, w.Name, w.Amount) // of what was lent ahead for another
		}
		if result.Lease.Amount == 0 && result.WarmingUp {
			result.Lease, _ = d.client.TakeReserve(now, w.Name, w.Amount)
		}
		switch {
		case result.Lease.Amount > 0 || w.Amount == 0:
			d.finish(w, Result{Lease: result.Lease})
		case result.Unenforced:
			d.finish(w, Result{Outcome: Unavailable})
		case w.Advertised == nil && (result.RetryAfter <= maxShortWait || result.WarmingUp && now+result.RetryAfter <= w.deadline):
			w.notBefore = now + result.RetryAfter
			d.requeue(now, w, Result{Outcome: LimitReached, RetryAfter: max(result.RetryAfter, maxShortWait)})
		default:
			d.finish(w, Result{Outcome: LimitReached, RetryAfter: result.RetryAfter})
		}
	}
}

// requeue lets a wish wait for the next question, or ends it when its time is over. The caller holds mu.
func (d *LeasePool) requeue(now time.Duration, w *waiter, otherwise Result) {
	if now >= w.deadline {
		d.finish(w, otherwise)
		return
	}
	d.waiting = append(d.waiting, w)
}

// finish gives a wish its result; one that was left gives it back. The caller holds mu.
func (d *LeasePool) finish(w *waiter, result Result) {
	if w.deadline == 0 {
		d.client.Release(d.now(), result.Lease)
		return
	}
	w.done <- result
}

// nextDelay returns how long to wait until somebody has to be asked for again.
func (d *LeasePool) nextDelay(minDelay time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) == 0 {
		return 0, false
	}
	earliest := d.waiting[0].notBefore
	for _, w := range d.waiting[1:] {
		earliest = min(earliest, w.notBefore)
	}
	return max(minDelay, earliest-d.now(), 0), true
}
