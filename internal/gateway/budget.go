package gateway

import (
	"sync"
	"time"
)

// budgetFraction is the part of the ratio that is used, since gateways count by themselves and their windows don't meet exactly.
const budgetFraction = 0.7

// budgetSlots divides the window.
const budgetSlots = 10

// budgetSlot counts one part of the window.
type budgetSlot struct {
	number   int64
	requests int
	retries  int
}

// serviceBudget counts a service's requests and repeats in a sliding window.
type serviceBudget struct {
	slots [budgetSlots]budgetSlot
}

// retryBudget bounds how often requests are sent to another back end, so that a failing service is not buried under
// repeats. Each gateway spends the ratio of its own requests by itself; what the fleet may repeat beyond is lent.
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

// slot returns the current part of a service's window. The caller holds the mutex.
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

// recordRequest counts a caller's recordRequest.
func (b *retryBudget) recordRequest(service string, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, slot := b.slot(service, now)
	slot.requests++
}

// acquireRetry spends one repeat, or returns false when there is none left.
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
