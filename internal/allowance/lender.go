package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// prefetchFloorFraction of the capacity stays in the account when amounts are lent ahead of their need.
const prefetchFloorFraction = 0.5

// warmUpFills is how many times an account must have had the time to fill before it counts as one that began long ago: calm callers
// use about half of a limit.
const warmUpFills = 2

// overLimitPeriod is how long after its last refusal a resource still counts as over its limit.
const overLimitPeriod = time.Second

// Allocator keeps the whole of each limited resource.
type Allocator struct {
	term       uint64
	buckets    map[string]*bucket
	advertised map[string]*advertisedBucket // of resources that name their limits
	withheld   float64                      // part of all rates that is kept back, 0 to 1
	sequences  map[string]uint64            // by borrower: of its newest question
}

// bucket is one resource.
type bucket struct {
	limit     Limit
	level     float64       // may be lent now; at most the capacity; below 0 after an amount above the capacity
	createdAt time.Duration // with nothing
	updatedAt time.Duration // when level and queue were right
	backlog   float64       // refused and not come back yet, as far as that can be known
	granted   float64       // since the lender began, less what was given back
	refused   float64
	limitedAt time.Duration // when the newest refusal was that the limit itself is the reason of; 0 never
}

// NewAllocator returns a lender without resources. Each leadership has one of its own; only one may lend at a time.
func NewAllocator(term uint64) *Allocator {
	return &Allocator{term: term, buckets: map[string]*bucket{}, advertised: map[string]*advertisedBucket{}, sequences: map[string]uint64{}}
}

// SetLimits replaces the limits. A resource that is new begins with nothing; one whose limit was lowered keeps no more than the
// new capacity.
func (a *Allocator) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, limit := range limits {
		b := a.buckets[name]
		if b == nil {
			b = &bucket{createdAt: now, updatedAt: now}
			a.buckets[name] = b
		}
		b.refill(now, a.withheld)
		b.limit = limit
		b.level = min(b.level, limit.capacity())
	}
	maps.DeleteFunc(a.buckets, func(name string, _ *bucket) bool { _, limited := limits[name]; return !limited })
}

// Withhold keeps back a part of all rates from now on: that of the borrowers out of touch.
func (a *Allocator) Withhold(now time.Duration, fraction float64) {
	if fraction == a.withheld {
		return
	}
	for _, b := range a.buckets {
		b.refill(now, a.withheld)
	}
	for _, b := range a.advertised {
		b.refill(now, a.withheld)
	}
	a.withheld = fraction
}

// Allocate answers a question.
func (a *Allocator) Allocate(now time.Duration, request Request) Reply {
	if request.Sequence > a.sequences[request.Client] {
		a.sequences[request.Client] = request.Sequence
		a.reclaim(now, request.Returned)
	}
	reply := Reply{Term: a.term, Sequence: request.Sequence, Grants: make([]Grant, 0, len(request.Items))}
	for _, item := range request.Items {
		reply.Grants = append(reply.Grants, a.grant(now, item))
	}
	return reply
}

// reclaim adds what a borrower gives back.
func (a *Allocator) reclaim(now time.Duration, returned []Grant) {
	for _, grant := range returned {
		b := a.buckets[grant.Name]
		if named := a.advertised[grant.Name]; named != nil {
			b = &named.bucket
		}
		if b == nil || grant.Amount <= 0 {
			continue
		}
		b.refill(now, a.withheld)
		amount := min(grant.Amount, b.granted) // a new lender takes nothing back that it never lent
		b.level = min(b.limit.capacity(), b.level+amount)
		b.granted -= amount
	}
}

// grant lends an amount whole or not at all. One somewhat above the capacity is lent from a full account, which is then in debt.
func (a *Allocator) grant(now time.Duration, item RequestItem) Grant {
	if item.Advertised != nil {
		return a.grantAdvertised(now, item)
	}
	b := a.buckets[item.Name]
	if b == nil {
		return Grant{Name: item.Name, Amount: item.Amount} // the limit was taken away, which the borrower has not heard yet
	}
	b.refill(now, a.withheld)
	capacity := b.limit.capacity()
	if item.Amount > b.level && b.level < capacity || item.Amount > b.limit.maxAmount() {
		return Grant{Name: item.Name, RetryAfter: b.refuse(now, item.Amount), WarmingUp: b.warmingUp(now)}
	}
	amount := item.Amount + max(0, min(item.Prefetch, b.level-item.Amount-prefetchFloorFraction*capacity))
	b.level -= amount
	b.granted += amount
	b.backlog = max(0, b.backlog-item.Amount)
	return Grant{Name: item.Name, Amount: amount}
}

// warmingUp reports whether the account may lack what it would hold if it had not begun with nothing.
func (b *bucket) warmingUp(now time.Duration) bool {
	return (now-b.createdAt).Seconds()*b.limit.Rate < warmUpFills*b.limit.capacity()
}

// refuse notes a refusal and returns when to come back: after those that were refused before.
func (b *bucket) refuse(now time.Duration, amount float64) time.Duration {
	b.refused += amount
	if !b.warmingUp(now) {
		b.limitedAt = now
	}
	missing := min(amount, b.limit.capacity()) - b.level + b.backlog
	b.backlog += amount
	wait := time.Duration(missing / b.limit.Rate * float64(time.Second))
	return min(max(wait, 0), maxRetryAfter)
}

// refill adds what has come in since the account was last right.
func (b *bucket) refill(now time.Duration, withheld float64) {
	elapsed := (now - b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.level = min(b.limit.capacity(), b.level+elapsed*b.limit.Rate*(1-withheld))
	b.backlog = max(0, min(b.backlog-elapsed*b.limit.Rate, b.limit.Rate*maxRetryAfter.Seconds()))
}

// State is what a lender can tell of one resource.
type State struct {
	Name      string  `json:"name"`
	Limit     Limit   `json:"limit"`
	Level     float64 `json:"level"`    // that may be lent now
	Granted   float64 `json:"lent"`     // since the lender began
	Refused   float64 `json:"refused"`  // since the lender began
	OverLimit bool    `json:"over"`     // something was refused a moment ago
	Withheld  float64 `json:"withheld"` // part of the rate that is kept back
}

// States returns all resources, rising by name.
func (a *Allocator) States(now time.Duration) []State {
	states := make([]State, 0, len(a.buckets))
	for name, b := range a.buckets {
		b.refill(now, a.withheld)
		states = append(states, State{
			Name: name, Limit: b.limit, Level: b.level, Granted: b.granted, Refused: b.refused, Withheld: a.withheld,
			OverLimit: b.limitedAt > 0 && now < b.limitedAt+overLimitPeriod,
		})
	}
	slices.SortFunc(states, func(x, y State) int { return cmp.Compare(x.Name, y.Name) })
	return states
}
