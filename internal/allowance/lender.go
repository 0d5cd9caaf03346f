package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// prefetchFloorFraction of the capacity is left in the bucket when amounts are prefetched.
const prefetchFloorFraction = 0.5

// warmUpFills is how many times a bucket must have had time to fill before it counts as warmed up, assuming that
// callers use about half of the limit.
const warmUpFills = 2

// overLimitPeriod is how long after a refusal a resource is reported as over its limit.
const overLimitPeriod = time.Second

// Allocator tracks the total of each limited resource in a token bucket.
type Allocator struct {
	term       uint64
	buckets    map[string]*bucket
	advertised map[string]*advertisedBucket // resources that advertise their limits
	withheld   float64                      // fraction of all rates, 0 to 1
	sequences  map[string]uint64            // newest request, by client
}

// bucket is the token bucket of one resource.
type bucket struct {
	limit     Limit
	level     float64       // units available; negative after an amount above the capacity
	createdAt time.Duration // empty
	updatedAt time.Duration // when level and backlog were last updated
	backlog   float64       // estimate of what was refused and has not been retried yet
	granted   float64       // since the allocator was created, less returned amounts
	refused   float64
	limitedAt time.Duration // newest refusal caused by the limit, not by the warm-up; 0 if none
}

// NewAllocator returns an allocator without resources. Each leader term has its own; only one may grant amounts at a
// time.
func NewAllocator(term uint64) *Allocator {
	return &Allocator{term: term, buckets: map[string]*bucket{}, advertised: map[string]*advertisedBucket{}, sequences: map[string]uint64{}}
}

// SetLimits replaces the limits. Buckets of new resources start empty; a lowered limit caps the level at the new
// capacity.
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

// Withhold sets the fraction of all rates to withhold for clients that are out of contact.
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

// Allocate answers a request.
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

// reclaim adds returned amounts to their buckets.
func (a *Allocator) reclaim(now time.Duration, returned []Grant) {
	for _, grant := range returned {
		b := a.buckets[grant.Name]
		if advertised := a.advertised[grant.Name]; advertised != nil {
			b = &advertised.bucket
		}
		if b == nil || grant.Amount <= 0 {
			continue
		}
		b.refill(now, a.withheld)
		amount := min(grant.Amount, b.granted) // amounts granted by an earlier allocator don't count
		b.level = min(b.limit.capacity(), b.level+amount)
		b.granted -= amount
	}
}

// grant grants an amount in full or not at all. One slightly above the capacity is granted from a full bucket, whose
// level then becomes negative.
func (a *Allocator) grant(now time.Duration, item RequestItem) Grant {
	if item.Advertised != nil {
		return a.grantAdvertised(now, item)
	}
	b := a.buckets[item.Name]
	if b == nil {
		return Grant{Name: item.Name, Amount: item.Amount} // the limit was removed; the client does not know yet
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

// warmingUp reports whether the level may be low only because the bucket started empty.
func (b *bucket) warmingUp(now time.Duration) bool {
	return (now-b.createdAt).Seconds()*b.limit.Rate < warmUpFills*b.limit.capacity()
}

// refuse records a refusal and returns the retry delay, which accounts for earlier refusals.
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

// refill adds the tokens that accumulated since the last update.
func (b *bucket) refill(now time.Duration, withheld float64) {
	elapsed := (now - b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.level = min(b.limit.capacity(), b.level+elapsed*b.limit.Rate*(1-withheld))
	b.backlog = max(0, min(b.backlog-elapsed*b.limit.Rate, b.limit.Rate*maxRetryAfter.Seconds()))
}

// State describes one resource of an allocator.
type State struct {
	Name      string  `json:"name"`
	Limit     Limit   `json:"limit"`
	Level     float64 `json:"level"`    // available now
	Granted   float64 `json:"lent"`     // since the allocator was created
	Refused   float64 `json:"refused"`  // since the allocator was created
	OverLimit bool    `json:"over"`     // an amount was refused recently
	Withheld  float64 `json:"withheld"` // fraction of the rate
}

// States returns the state of all resources, sorted by name.
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
