package desk

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kitetiller/internal/allowance"
)

const resource = "r"

var (
	errUnreachable = errors.New("nobody")
	startTime      = time.Now()
)

// frozenClock is a frozenClock that stands still, so that nothing depends on how fast a test runs.
func frozenClock() time.Duration { return time.Minute }

// movingClock is a clock that goes.
func movingClock() time.Duration { return time.Minute + time.Since(startTime) }

// newPool runs a desk over a lender whose account is full.
func newPool(t *testing.T, limit allowance.Limit, newRequestFunc func(*allowance.Allocator) RequestFunc) *LeasePool {
	t.Helper()
	return newPoolWithClock(t, frozenClock, limit, newRequestFunc)
}

func newPoolWithClock(t *testing.T, clock func() time.Duration, limit allowance.Limit, newRequestFunc func(*allowance.Allocator) RequestFunc) *LeasePool {
	t.Helper()
	allocator := allowance.NewAllocator(1)
	filling := limit
	filling.Rate = 1e6
	allocator.SetLimits(0, map[string]allowance.Limit{resource: filling})
	allocator.SetLimits(clock(), map[string]allowance.Limit{resource: limit})
	var mu sync.Mutex
	send := newRequestFunc(allocator)
	p := New("b", 3*time.Second, clock, func(ctx context.Context, request allowance.Request) (allowance.Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		return send(ctx, request)
	})
	p.SetLimits(map[string]allowance.Limit{resource: limit})
	ctx, cancel := context.WithCancel(context.Background())
	var threads sync.WaitGroup
	threads.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); threads.Wait() })
	return p
}

func callDirectly(a *allowance.Allocator) RequestFunc {
	return func(_ context.Context, request allowance.Request) (allowance.Reply, error) {
		return a.Allocate(frozenClock(), request), nil
	}
}

// TestConcurrentAcquiresStayWithinBucket: requests that come together get whole amounts, and no more than the account holds.
func TestConcurrentAcquiresStayWithinBucket(t *testing.T) {
	p := newPool(t, allowance.Limit{Rate: 0.001, Burst: 100}, callDirectly)
	var granted, limitReached atomic.Int64
	var callers sync.WaitGroup
	for range 200 {
		callers.Go(func() {
			switch result := p.Acquire(t.Context(), resource, 2, time.Second); result.Outcome {
			case Granted:
				granted.Add(1)
			case LimitReached:
				limitReached.Add(1)
			}
		})
	}
	callers.Wait()
	if granted.Load() != 50 || limitReached.Load() != 150 {
		t.Fatalf("%d granted, %d refused", granted.Load(), limitReached.Load())
	}
	if requests, failed := p.RequestCounts(); requests > 200 || failed != 0 {
		t.Fatalf("%d questions, %d failed", requests, failed)
	}
}

// TestUnlimitedResourceIsGranted without a question.
func TestUnlimitedResourceIsGranted(t *testing.T) {
	p := newPool(t, allowance.Limit{Rate: 1}, callDirectly)
	if result := p.Acquire(t.Context(), "other", 1e9, 0); result.Outcome != Granted || result.Lease.Amount != 0 {
		t.Fatalf("%v", result)
	}
}

// TestUnreachableAllocatorLeavesFallbackShare: without an answer the own part serves, and what it doesn't hold ends as unknown, not as
// over the limit.
func TestUnreachableAllocatorLeavesFallbackShare(t *testing.T) {
	p := newPool(t, allowance.Limit{Rate: 0.001, Burst: 100, Slack: 100}, func(*allowance.Allocator) RequestFunc {
		return func(context.Context, allowance.Request) (allowance.Reply, error) {
			return allowance.Reply{}, errUnreachable
		}
	})
	p.RecordContact(frozenClock(), 1)
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != Granted || result.Lease.Amount != 15 {
		t.Fatalf("%v", result)
	}
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != Unavailable {
		t.Fatalf("%v", result)
	}
}

// TestCanceledAcquireConsumesNothing: what comes for it afterwards is there for the next one.
func TestCanceledAcquireConsumesNothing(t *testing.T) {
	sent, resume := make(chan struct{}), make(chan struct{})
	var once sync.Once
	p := newPool(t, allowance.Limit{Rate: 0.001, Burst: 100}, func(a *allowance.Allocator) RequestFunc {
		return func(_ context.Context, request allowance.Request) (allowance.Reply, error) {
			once.Do(func() { close(sent); <-resume })
			return a.Allocate(frozenClock(), request), nil
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	canceled := make(chan Result)
	go func() { canceled <- p.Acquire(ctx, resource, 100, time.Second) }()
	<-sent
	cancel()
	if result := <-canceled; result.Outcome != Unavailable {
		t.Fatalf("%v", result)
	}
	close(resume)
	if result := p.Acquire(t.Context(), resource, 100, time.Second); result.Outcome != Granted || result.Lease.Amount != 100 {
		t.Fatalf("%v", result)
	}
}

// TestAcquireWaitsForImminentRefill rather than refused.
func TestAcquireWaitsForImminentRefill(t *testing.T) {
	p := newPoolWithClock(t, movingClock, allowance.Limit{Rate: 10_000, Burst: 100}, func(a *allowance.Allocator) RequestFunc {
		return func(_ context.Context, request allowance.Request) (allowance.Reply, error) {
			return a.Allocate(movingClock(), request), nil
		}
	})
	for range 5 {
		if result := p.Acquire(t.Context(), resource, 100, time.Minute); result.Outcome != Granted {
			t.Fatalf("%v", result)
		}
	}
}

// TestAcquireWaitsForWarmUp: after a change of the lender a caller inside its limit waits a moment rather than being turned
// away.
func TestAcquireWaitsForWarmUp(t *testing.T) {
	limit := allowance.Limit{Rate: 1000, Burst: 200}
	for _, c := range []struct {
		maxWait time.Duration
		want    Outcome
	}{{0, LimitReached}, {time.Minute, Granted}} {
		warming := allowance.NewAllocator(1)
		warming.SetLimits(movingClock(), map[string]allowance.Limit{resource: limit})
		p := newPoolWithClock(t, movingClock, limit, func(*allowance.Allocator) RequestFunc {
			return func(_ context.Context, request allowance.Request) (allowance.Reply, error) {
				return warming.Allocate(movingClock(), request), nil
			}
		})
		if result := p.Acquire(t.Context(), resource, 150, c.maxWait); result.Outcome != c.want {
			t.Fatalf("patience %v: %+v", c.maxWait, result)
		}
	}
}

// TestWarmUpUsesReserve: who cannot wait for an account that has just begun takes from the reserve, as far as that goes.
func TestWarmUpUsesReserve(t *testing.T) {
	limit := allowance.Limit{Rate: 1, Burst: 100, Slack: 100}
	warming := allowance.NewAllocator(1)
	warming.SetLimits(frozenClock(), map[string]allowance.Limit{resource: limit})
	p := newPool(t, limit, func(*allowance.Allocator) RequestFunc {
		return func(_ context.Context, request allowance.Request) (allowance.Reply, error) {
			return warming.Allocate(frozenClock(), request), nil
		}
	})
	p.RecordContact(frozenClock(), 1)
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != Granted || result.Lease.Amount != 15 {
		t.Fatalf("%+v", result)
	}
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != LimitReached {
		t.Fatalf("%+v", result)
	}
}
