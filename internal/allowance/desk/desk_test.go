package desk

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// delayedPool returns a pool, with virtual time, whose replies arrive a round trip after their requests, and a function
// that returns what the allocator granted.
func delayedPool(t *testing.T, roundTrip func() time.Duration) (p *LeasePool, granted func() float64) {
	t.Helper()
	start := time.Now()
	clock := func() time.Duration { return time.Minute + time.Since(start) }
	limit := allowance.Limit{Rate: 10, Burst: 600}
	allocator := allowance.NewAllocator(1)
	allocator.SetLimits(0, map[string]allowance.Limit{resource: limit})
	var mu sync.Mutex
	p = New("b", 3*time.Second, clock, func(ctx context.Context, request allowance.Request) (allowance.Reply, error) {
		oneWay := roundTrip() / 2
		time.Sleep(oneWay)
		mu.Lock()
		reply := allocator.Allocate(clock(), request)
		mu.Unlock()
		select {
		case <-ctx.Done():
			return allowance.Reply{}, ctx.Err()
		case <-time.After(oneWay):
			return reply, nil
		}
	})
	p.SetLimits(map[string]allowance.Limit{resource: limit})
	ctx, cancel := context.WithCancel(t.Context())
	var threads sync.WaitGroup
	threads.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); threads.Wait() })
	return p, func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return allocator.States(clock())[0].Granted
	}
}

// acquireSteadily acquires one unit every 20 ms for some time and returns how many attempts had an outcome other than
// Granted.
func acquireSteadily(t *testing.T, p *LeasePool, length time.Duration) int64 {
	t.Helper()
	var refused atomic.Int64
	var callers sync.WaitGroup
	for range length / (20 * time.Millisecond) {
		callers.Go(func() {
			if p.Acquire(t.Context(), resource, 1, 500*time.Millisecond).Outcome != Granted {
				refused.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	return refused.Load()
}

// Replies that take longer than callers wait at first, but come while leases are valid, must not leave every caller
// without a lease, nor be requested again and again.
func TestRoundTripBeyondPatienceGrantsLeases(t *testing.T) {
	for _, roundTrip := range []time.Duration{155 * time.Millisecond, 165 * time.Millisecond, 190 * time.Millisecond, 225 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			p, _ := delayedPool(t, func() time.Duration { return roundTrip })
			if refused := acquireSteadily(t, p, 5*time.Second); refused != 0 {
				t.Errorf("round trip %v: %d of 250 attempts refused", roundTrip, refused)
			}
			if requests, failed := p.RequestCounts(); failed > 2 { // those sent before the first reply came
				t.Errorf("round trip %v: %d of %d requests were given up", roundTrip, failed, requests)
			}
		})
	}
}

// A lease must not be used after its lifetime, which begins with the request, however long callers would wait. Only the
// fallback share is left, here less than 10 units.
func TestRoundTripBeyondLifetimeGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, granted := delayedPool(t, func() time.Duration { return allowance.MaxLeaseTTL + 10*time.Millisecond })
		if refused := acquireSteadily(t, p, 2*time.Second); refused < 90 {
			t.Errorf("%d of 100 attempts refused", refused)
		}
		if granted() == 0 {
			t.Error("the allocator granted nothing: the test shows nothing")
		}
	})
}

// The wait for a reply must fall again when replies are fast again, so that a leader that is gone is noticed soon.
func TestPatienceFallsWithRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var roundTrip atomic.Int64
		roundTrip.Store(int64(180 * time.Millisecond))
		p, _ := delayedPool(t, func() time.Duration { return time.Duration(roundTrip.Load()) })
		acquireSteadily(t, p, time.Second)
		if got := p.patience(); got != allowance.MaxLeaseTTL {
			t.Errorf("after round trips of 180 ms: waits %v", got)
		}
		roundTrip.Store(int64(4 * time.Millisecond))
		acquireSteadily(t, p, 2*time.Second)
		if got := p.patience(); got != minPatience {
			t.Errorf("after round trips of 4 ms: waits %v", got)
		}
	})
}
