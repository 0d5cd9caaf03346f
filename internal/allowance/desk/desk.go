// Package desk lets the requests of one process acquire amounts of limited resources: from the leases that the
// process holds, or else by requests to the allocator, which one goroutine sends for all waiting callers.
package desk

import (
	"context"
	"slices"
	"sync"
	"time"

	"kitetiller/internal/allowance"
)

const (
	// minPatience is how long callers wait for the reply to one request at least: several round trips to the furthest
	// region. patienceRoundTrips is how many times the observed round trip they wait, at most allowance.MaxLeaseTTL,
	// after which nothing that is granted can be used.
	minPatience        = 150 * time.Millisecond
	patienceRoundTrips = 2
	// requestTimeout bounds one request. It is longer than callers wait, so that the round trip is observed although
	// it is longer than that, and a leader whose replies are late is not taken for one that does not answer.
	requestTimeout = 400 * time.Millisecond
	// retryInterval is the delay after a failed request.
	retryInterval = 25 * time.Millisecond
	// maxShortWait is how long a caller waits for an amount that is available soon, instead of being refused.
	maxShortWait = 40 * time.Millisecond
	// maxWaiting bounds the number of waiting callers.
	maxWaiting = 4096
)

// Outcome is the result of an attempt to acquire an amount.
type Outcome uint8

// Possible outcomes.
const (
	Granted      Outcome = iota // the lease may be used once; it is empty if the resource has no limit
	LimitReached                // RetryAfter holds when to try again
	Unavailable                 // the allocator could not be reached and the fallback share is used up
)

// Result is an outcome with the lease or the retry delay that belongs to it.
type Result struct {
	Outcome    Outcome
	Lease      allowance.Lease
	RetryAfter time.Duration
}

// RequestFunc sends one request to the allocator. Calls may overlap.
type RequestFunc func(ctx context.Context, request allowance.Request) (allowance.Reply, error)

// LeasePool holds the leases of one process. It is safe for concurrent use.
type LeasePool struct {
	request RequestFunc
	now     func() time.Duration // monotonic
	wake    chan struct{}        // buffered; signals that callers are waiting
	late    sync.WaitGroup       // requests whose callers have stopped waiting

	mu       sync.Mutex
	client   *allowance.Client // guarded by mu
	waiting  []*waiter         // guarded by mu; at most maxWaiting
	failed   uint64            // requests without a reply while callers waited for it; guarded by mu
	requests uint64            // guarded by mu
}

// waiter is a caller that waits for an amount.
type waiter struct {
	allowance.Demand
	notBefore time.Duration // earliest time of the next request for it
	deadline  time.Duration // when the caller stops waiting; 0 if it was canceled
	done      chan Result   // buffered for the one result
}

// New returns a pool. fallbackPeriod is how long the process may use its fallback shares without contact to the
// allocator.
func New(name string, fallbackPeriod time.Duration, now func() time.Duration, request RequestFunc) *LeasePool {
	return &LeasePool{request: request, now: now, wake: make(chan struct{}, 1), client: allowance.NewClient(name, fallbackPeriod)}
}

// SetLimits replaces the configured limits.
func (p *LeasePool) SetLimits(limits map[string]allowance.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.SetLimits(limits)
}

// RecordContact records that the allocator's process answered a request made at the given time, and the number of
// clients that share the fallback amounts.
func (p *LeasePool) RecordContact(requestedAt time.Duration, clients int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.RecordContact(requestedAt, clients)
}

// Release returns an unused lease.
func (p *LeasePool) Release(lease allowance.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.Release(p.now(), lease)
}

// RequestCounts returns how many requests were sent and how many of them got no reply.
func (p *LeasePool) RequestCounts() (requests, failed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests, p.failed
}

// Acquire acquires an amount of a resource. It waits for the allocator's reply; if there is none, it waits at most
// maxWait.
func (p *LeasePool) Acquire(ctx context.Context, name string, amount float64, maxWait time.Duration) Result {
	return p.acquire(ctx, allowance.Demand{Name: name, Amount: amount}, maxWait)
}

// AcquireAdvertised acquires one unit of a resource that advertises its limit. It waits for the allocator's reply,
// but not for units that become available later.
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

// takeOrEnqueue takes an amount from the leases held, or enqueues a waiter.
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

// cancel removes a waiter whose caller is gone and releases what it was granted in the meantime.
func (p *LeasePool) cancel(w *waiter) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	select {
	case result := <-w.done:
		p.client.Release(p.now(), result.Lease)
	default:
		w.deadline = 0 // if a request for it is in flight, finish releases what it grants
	}
	return Result{Outcome: Unavailable}
}

// Run sends requests to the allocator until ctx ends.
func (p *LeasePool) Run(ctx context.Context) {
	defer p.late.Wait()
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

// reply is the outcome of one request to the allocator.
type reply struct {
	reply allowance.Reply
	err   error
}

// requestOnce sends one request for all waiters that are due. waiting reports whether some are left, to be served
// after delay.
func (p *LeasePool) requestOnce(ctx context.Context) (delay time.Duration, waiting bool) {
	requestedAt, batch, demands, request := p.nextBatch()
	if len(batch) == 0 {
		return p.nextDelay(0)
	}
	replies := p.send(ctx, request)
	patience := time.NewTimer(p.patience())
	defer patience.Stop()
	select {
	case r := <-replies:
		if r.err == nil {
			p.handleReply(requestedAt, batch, demands, r.reply)
			return p.nextDelay(0)
		}
	case <-patience.C:
		p.late.Go(func() { p.awaitLateReply(requestedAt, demands, replies) })
	}
	p.handleFailure(batch)
	return p.nextDelay(retryInterval)
}

// send sends a request, which goes on for requestTimeout.
func (p *LeasePool) send(ctx context.Context, request allowance.Request) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		r, err := p.request(requestCtx, request)
		replies <- reply{r, err}
	}()
	return replies
}

// patience returns how long callers wait for the reply to a request.
func (p *LeasePool) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minPatience, patienceRoundTrips*p.client.RoundTrip()), allowance.MaxLeaseTTL)
}

// awaitLateReply adds what is granted by a reply that comes after its callers stopped waiting, as far as it is still
// valid by the time of its request.
func (p *LeasePool) awaitLateReply(requestedAt time.Duration, demands []allowance.Demand, replies <-chan reply) {
	r := <-replies
	if r.err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.client.RecordRoundTrip(now - requestedAt)
	for _, result := range p.client.ApplyReply(now, requestedAt, demands, r.reply) {
		p.client.Release(now, result.Lease)
	}
}

// nextBatch removes the waiters that are due and returns those that cannot be served from the leases held by now, and
// the request for them with the time at which it was made.
func (p *LeasePool) nextBatch() (now time.Duration, batch []*waiter, demands []allowance.Demand, request allowance.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now = p.now()
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
		return now, nil, nil, request
	}
	p.requests++
	return now, batch, demands, p.client.NewRequest(now, demands)
}

// handleFailure serves waiters from the fallback share and requeues the others until their deadlines.
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

// handleReply distributes the granted amounts.
func (p *LeasePool) handleReply(requestedAt time.Duration, batch []*waiter, demands []allowance.Demand, reply allowance.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.client.RecordRoundTrip(now - requestedAt)
	for i, result := range p.client.ApplyReply(now, requestedAt, demands, reply) {
		w := batch[i]
		if result.Lease.Amount == 0 {
			result.Lease, _ = p.client.RetryTake(now, w.Name, w.Amount) // from amounts prefetched for others
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

// requeue enqueues a waiter for the next request, or finishes it with the given result if its deadline has passed.
// The caller holds mu.
func (p *LeasePool) requeue(now time.Duration, w *waiter, result Result) {
	if now >= w.deadline {
		p.finish(w, result)
		return
	}
	p.waiting = append(p.waiting, w)
}

// finish passes a result to a waiter; if the waiter was canceled, the lease is released. The caller holds mu.
func (p *LeasePool) finish(w *waiter, result Result) {
	if w.deadline == 0 {
		p.client.Release(p.now(), result.Lease)
		return
	}
	w.done <- result
}

// nextDelay returns how long to wait until the next waiter is due, and whether there is any.
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
