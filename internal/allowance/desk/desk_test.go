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
	errUnreachable = errors.New("allocator unreachable")
	startTime      = time.Now()
)

// frozenClock does not advance, so that results don't depend on the speed of the test.
func frozenClock() time.Duration { return time.Minute }

// movingClock advances with real time.
func movingClock() time.Duration { return time.Minute + time.Since(startTime) }

// newPool runs a pool over an allocator with a full bucket.
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

// Concurrent requests get amounts in full and together no more than the bucket holds.
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
		t.Fatalf("granted %d, refused %d", granted.Load(), limitReached.Load())
	}
	if requests, failed := p.RequestCounts(); requests > 200 || failed != 0 {
		t.Fatalf("%d requests sent, %d failed", requests, failed)
	}
}

// A resource without a limit is granted without a request.
func TestUnlimitedResourceIsGranted(t *testing.T) {
	p := newPool(t, allowance.Limit{Rate: 1}, callDirectly)
	if result := p.Acquire(t.Context(), "other", 1e9, 0); result.Outcome != Granted || result.Lease.Amount != 0 {
		t.Fatalf("unexpected result %v", result)
	}
}

// Without a reply, the fallback share is used; beyond it the outcome is Unavailable, not LimitReached.
func TestUnreachableAllocatorLeavesFallbackShare(t *testing.T) {
	p := newPool(t, allowance.Limit{Rate: 0.001, Burst: 100, Slack: 100}, func(*allowance.Allocator) RequestFunc {
		return func(context.Context, allowance.Request) (allowance.Reply, error) {
			return allowance.Reply{}, errUnreachable
		}
	})
	p.RecordContact(frozenClock(), 1)
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != Granted || result.Lease.Amount != 15 {
		t.Fatalf("unexpected result %v", result)
	}
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != Unavailable {
		t.Fatalf("unexpected result %v", result)
	}
}

// An amount granted to a caller that has left is available to the next one.
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
		t.Fatalf("unexpected result %v", result)
	}
	close(resume)
	if result := p.Acquire(t.Context(), resource, 100, time.Second); result.Outcome != Granted || result.Lease.Amount != 100 {
		t.Fatalf("unexpected result %v", result)
	}
}

// An amount that is available soon is waited for.
func TestAcquireWaitsForImminentRefill(t *testing.T) {
	p := newPoolWithClock(t, movingClock, allowance.Limit{Rate: 10_000, Burst: 100}, func(a *allowance.Allocator) RequestFunc {
		return func(_ context.Context, request allowance.Request) (allowance.Reply, error) {
			return a.Allocate(movingClock(), request), nil
		}
	})
	for range 5 {
		if result := p.Acquire(t.Context(), resource, 100, time.Minute); result.Outcome != Granted {
			t.Fatalf("unexpected result %v", result)
		}
	}
}

// After a change of the allocator, a caller within its limit waits for the bucket to fill.
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
			t.Fatalf("maxWait %v: got %+v", c.maxWait, result)
		}
	}
}

// A caller that cannot wait for the bucket to fill uses the reserve, up to its share.
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
		t.Fatalf("unexpected result %+v", result)
	}
	if result := p.Acquire(t.Context(), resource, 15, 0); result.Outcome != LimitReached {
		t.Fatalf("unexpected result %+v", result)
	}
}
