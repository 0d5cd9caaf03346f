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
type RequestFunc func(ctx context.Context, request allowance.Request) (allowance.Reply, error)

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
func (p *LeasePool) SetLimits(limits map[string]allowance.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.SetLimits(limits)
}

// RecordContact notes that the lender's process answered what was asked at a time, and by how many borrowers own parts are shared.
func (p *LeasePool) RecordContact(requestedAt time.Duration, clients int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.RecordContact(requestedAt, clients)
}

// Release gives back what was taken and not used.
func (p *LeasePool) Release(lease allowance.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.Release(p.now(), lease)
}

// RequestCounts returns how many questions were asked, and how many of them got no answer.
func (p *LeasePool) RequestCounts() (requests, failed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests, p.failed
}

// Acquire takes an amount of a resource. It waits for the lender, and no longer than patience where there is none.
func (p *LeasePool) Acquire(ctx context.Context, name string, amount float64, maxWait time.Duration) Result {
	return p.acquire(ctx, allowance.Demand{Name: name, Amount: amount}, maxWait)
}

// AcquireAdvertised takes one unit of a resource that names its limit itself. It waits for the lender's answer, and for nothing that comes in later.
func (p *LeasePool) AcquireAdvertised(ctx context.Context, name string, advertised allowance.AdvertisedLimit) Result {
	p.mu.Lock()
	p.client.SetAdvertisedLimit(p.now(), name, advertised)
	p.mu.Unlock()
	return p.acquire(ctx, allowance.Demand{Name: name, Amount: 1, Advertised: &advertised}, 0)
}

func (p *LeasePool) acquire(ctx context.Context, demand allowance.Demand, maxWait time.Duration) Result {
	w, result := p.takeOrEnqueue(demand, maxWait)
	if w == nil {
		return result
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case result = <-w.done:
	case <-ctx.Done():
		result = p.cancel(w)
	}
	return result
}

// takeOrEnqueue takes from what is held, or lets a wish wait.
func (p *LeasePool) takeOrEnqueue(demand allowance.Demand, maxWait time.Duration) (*waiter, Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.client.IsLimited(demand.Name) {
		return nil, Result{}
	}
	now := p.now()
	if lease, ok := p.client.Take(now, demand.Name, demand.Amount); ok {
		return nil, Result{Lease: lease}
	}
	if len(p.waiting) >= maxWaiting {
		return nil, Result{Outcome: Unavailable}
	}
	w := &waiter{Demand: demand, deadline: now + maxWait, done: make(chan Result, 1)}
	p.waiting = append(p.waiting, w)
	return w, Result{}
}

// cancel ends a wish whose request is over; what it got meanwhile goes back.
func (p *LeasePool) cancel(w *waiter) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	select {
	case result := <-w.done:
		p.client.Release(p.now(), result.Lease)
	default:
		w.deadline = 0 // a question may be on its way for it; what that brings stays in the pocket
	}
	return Result{Outcome: Unavailable}
}

// Run is the thread that asks the lender, until ctx ends.
func (p *LeasePool) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for delay, waiting := p.requestOnce(ctx); waiting; delay, waiting = p.requestOnce(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
		}
	}
}

// requestOnce asks once for all that wait. more tells that some still wait, for whom to ask again after a pause.
func (p *LeasePool) requestOnce(ctx context.Context) (delay time.Duration, waiting bool) {
	batch, demands, request := p.nextBatch()
	if len(batch) > 0 {
		requestedAt := p.now()
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		reply, err := p.request(requestCtx, request)
		cancel()
		if err != nil {
			p.handleFailure(batch)
			delay = retryInterval
		} else {
			p.handleReply(requestedAt, batch, demands, reply)
		}
	}
	return p.nextDelay(delay)
}

// nextBatch takes the wishes whose time has come and that the pocket does not hold by now.
func (p *LeasePool) nextBatch() (batch []*waiter, demands []allowance.Demand, request allowance.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		if now < w.notBefore {
			return false
		}
		if lease, ok := p.client.RetryTake(now, w.Name, w.Amount); ok {
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
	p.requests++
	return batch, demands, p.client.NewRequest(now, demands)
}

// handleFailure serves from the own part; the rest waits on, as long as it may.
func (p *LeasePool) handleFailure(batch []*waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed++
	now := p.now()
	for _, w := range batch {
		if lease, ok := p.client.TakeFallback(now, w.Name, w.Amount); ok {
			p.finish(w, Result{Lease: lease})
			continue
		}
		p.requeue(now, w, Result{Outcome: Unavailable})
	}
}

// handleReply passes on what was lent.
func (p *LeasePool) handleReply(requestedAt time.Duration, batch []*waiter, demands []allowance.Demand, reply allowance.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i, result := range p.client.ApplyReply(now, requestedAt, demands, reply) {
		w := batch[i]
		if result.Lease.Amount == 0 {
			result.Lease, _ = p.client.RetryTake(now, w.Name, w.Amount) // of what was lent ahead for another
		}
		if result.Lease.Amount == 0 && result.WarmingUp {
			result.Lease, _ = p.client.TakeReserve(now, w.Name, w.Amount)
		}
		switch {
		case result.Lease.Amount > 0 || w.Amount == 0:
			p.finish(w, Result{Lease: result.Lease})
		case result.Unenforced:
			p.finish(w, Result{Outcome: Unavailable})
		case w.Advertised == nil && (result.RetryAfter <= maxShortWait || result.WarmingUp && now+result.RetryAfter <= w.deadline):
			w.notBefore = now + result.RetryAfter
			p.requeue(now, w, Result{Outcome: LimitReached, RetryAfter: max(result.RetryAfter, maxShortWait)})
		default:
			p.finish(w, Result{Outcome: LimitReached, RetryAfter: result.RetryAfter})
		}
	}
}

// requeue lets a wish wait for the next question, or ends it when its time is over. The caller holds mu.
func (p *LeasePool) requeue(now time.Duration, w *waiter, otherwise Result) {
	if now >= w.deadline {
		p.finish(w, otherwise)
		return
	}
	p.waiting = append(p.waiting, w)
}

// finish gives a wish its result; one that was left gives it back. The caller holds mu.
func (p *LeasePool) finish(w *waiter, result Result) {
	if w.deadline == 0 {
		p.client.Release(p.now(), result.Lease)
		return
	}
	w.done <- result
}

// nextDelay returns how long to wait until somebody has to be asked for again.
func (p *LeasePool) nextDelay(minDelay time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		return 0, false
	}
	earliest := p.waiting[0].notBefore
	for _, w := range p.waiting[1:] {
		earliest = min(earliest, w.notBefore)
	}
	return max(minDelay, earliest-p.now(), 0), true
}
