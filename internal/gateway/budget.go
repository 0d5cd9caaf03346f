package gateway

import (
	"sync"
	"time"
)

// budgetFraction is the fraction of the retry ratio that gateways use by themselves. It leaves a margin because their
// windows are not aligned.
const budgetFraction = 0.7

// budgetSlots is the number of slots in the window.
const budgetSlots = 10

// budgetSlot counts requests and retries in one slot of the window.
type budgetSlot struct {
	number   int64 // of the slot since the clock's start
	requests int
	retries  int
}

// serviceBudget counts a service's requests and retries in a sliding window.
type serviceBudget struct {
	slots [budgetSlots]budgetSlot
}

// retryBudget bounds the ratio of retries to requests, so that retries do not overload a failing service. Each gateway
// uses a fraction of the ratio for its own requests; further retries need leases. It is safe for concurrent use.
type retryBudget struct {
	mutex    sync.Mutex
	window   time.Duration
	ratio    float64
	services map[string]*serviceBudget
}

func newRetryBudget(settings Settings) *retryBudget {
	return &retryBudget{
		window: settings.Quota.RetryWindow, ratio: settings.RetryRatio, services: map[string]*serviceBudget{},
	}
}

// slot returns a service's budget and the current slot of its window. The caller holds the mutex.
func (b *retryBudget) slot(service string, now time.Duration) (*serviceBudget, *budgetSlot) {
	budget := b.services[service]
	if budget == nil {
		budget = &serviceBudget{}
		b.services[service] = budget
	}
	number := int64(now / (b.window / budgetSlots))
	slot := &budget.slots[number%budgetSlots]
	if slot.number != number {
		*slot = budgetSlot{number: number}
	}
	return budget, slot
}

// recordRequest counts a caller's request.
func (b *retryBudget) recordRequest(service string, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, slot := b.slot(service, now)
	slot.requests++
}

// acquireRetry counts one retry, or returns false if the budget is exhausted.
func (b *retryBudget) acquireRetry(service string, now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	budget, slot := b.slot(service, now)
	requests, retries := 0, 0
	for _, counted := range budget.slots {
		if slot.number-counted.number < budgetSlots {
			requests += counted.requests
			retries += counted.retries
		}
	}
	allowed := budgetFraction * b.ratio * float64(requests)
	if float64(retries+1) > allowed {
		return false
	}
	slot.retries++
	return true
}
