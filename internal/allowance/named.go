package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"kitetiller/internal/pushback"
)

const (
	// advertisedWindow is the longest window in which advertised limits are checked. A lowered limit applies until no
	// window includes the time at which it was in force.
	advertisedWindow = 4 * time.Second
	// maxAdvertisedRate caps advertised rates, in units per second. pushback.MinRate is the lower bound: a resource
	// that accepts less, or nothing, still gets one unit per window.
	maxAdvertisedRate = 1e6
	// advertisedBurst is how much of the rate, in seconds, may be granted at once in addition to one unit. Without
	// it, tokens that accumulate between two requests would be lost; with it, a window holds at most 4.49 s of the
	// rate and 1.3 units, including prefetched amounts.
	advertisedBurst = 0.25
	// advertisedSlack is how much of the rate, in seconds, a window may further hold, in addition to one unit, for
	// clients that cannot reach the allocator.
	advertisedSlack = 0.5
	// advertisedTTL is how long an unused bucket is kept. A new bucket starts empty.
	advertisedTTL = 10 * time.Second
)

// AdvertisedLimit is a limit that a resource states itself, as observed by a client.
type AdvertisedLimit struct {
	Rate float64       `json:"r"` // units per second
	Age  time.Duration `json:"g"` // since it was last observed
}

// limit returns the limit to enforce for an advertised rate.
func (a AdvertisedLimit) limit() Limit {
	rate := min(max(a.Rate, pushback.MinRate), maxAdvertisedRate)
	return Limit{Rate: rate, Burst: 1 + advertisedBurst*rate, Slack: 1 + advertisedSlack*rate}
}

// advertisedBucket is the bucket of a resource that advertises its limit. It is created, empty, with the first
// request.
type advertisedBucket struct {
	bucket
	latest      Limit         // most recently observed limit
	latestAt    time.Duration // when it was observed
	raiseAt     time.Duration // when latest takes effect if it is higher; 0 if no raise is pending
	requestedAt time.Duration
}

// grantAdvertised grants an amount in full or not at all. Refused requests go to another resource, so they are not
// added to the backlog, and the retry delay is the time until the amount is available.
func (a *Allocator) grantAdvertised(now time.Duration, item RequestItem) Grant {
	b := a.advertised[item.Name]
	if b == nil {
		b = &advertisedBucket{bucket: bucket{createdAt: now, updatedAt: now, limit: item.Advertised.limit()}}
		b.latest, b.latestAt = b.limit, now-item.Advertised.Age
		a.advertised[item.Name] = b
	}
	b.refill(now, a.withheld)
	b.observe(now, *item.Advertised)
	b.requestedAt = now
	if item.Amount > b.level {
		b.refused += item.Amount
		wait := time.Duration((item.Amount - b.level) / b.limit.Rate * float64(time.Second))
		return Grant{Name: item.Name, RetryAfter: min(wait, maxRetryAfter), Enforced: true}
	}
	// Only whole units can be used.
	prefetch := math.Floor(max(0, min(item.Prefetch, b.level-item.Amount-prefetchFloorFraction*b.limit.capacity())))
	amount := item.Amount + prefetch
	b.level -= amount
	b.granted += amount
	return Grant{Name: item.Name, Amount: amount, Enforced: true}
}

// observe applies a limit observed by a client. The latest observation wins. A lower limit applies at once, even if
// observed earlier, as long as a window may include that time; a higher one applies once no window includes the time
// of the lower one.
func (b *advertisedBucket) observe(now time.Duration, advertised AdvertisedLimit) {
	observedAt, limit := now-advertised.Age, advertised.limit()
	if observedAt >= b.latestAt {
		b.latest, b.latestAt = limit, observedAt
	}
	switch {
	case limit.Rate < b.limit.Rate && now-observedAt < advertisedWindow:
		b.setLimit(limit)
		b.raiseAt = 0
		if limit.Rate < b.latest.Rate {
			b.raiseAt = now + advertisedWindow
		}
	case b.latest.Rate <= b.limit.Rate:
		b.setLimit(b.latest)
		b.raiseAt = 0
	case b.raiseAt == 0:
		b.raiseAt = now + advertisedWindow
	case now >= b.raiseAt:
		b.setLimit(b.latest)
		b.raiseAt = 0
	}
}

// setLimit makes a limit effective.
func (b *advertisedBucket) setLimit(limit Limit) {
	b.limit = limit
	b.level = min(b.level, limit.capacity())
}

// SweepAdvertised removes the unused buckets of resources that advertise their limits.
func (a *Allocator) SweepAdvertised(now time.Duration) {
	maps.DeleteFunc(a.advertised, func(_ string, b *advertisedBucket) bool { return now-b.requestedAt > advertisedTTL })
}

// AdvertisedStates returns the states of at most limit resources that advertise their limits, those with the largest
// refused amounts, sorted by name.
func (a *Allocator) AdvertisedStates(now time.Duration, limit int) []State {
	states := make([]State, 0, len(a.advertised))
	for name, b := range a.advertised {
		b.refill(now, a.withheld)
		states = append(states, State{Name: name, Limit: b.limit, Level: b.level, Granted: b.granted, Refused: b.refused, Withheld: a.withheld})
	}
	slices.SortFunc(states, func(x, y State) int { return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Name, y.Name)) })
	states = states[:min(len(states), limit)]
	slices.SortFunc(states, func(x, y State) int { return cmp.Compare(x.Name, y.Name) })
	return states
}

// knownLimit is an advertised limit known to a client.
type knownLimit struct {
	limit  Limit
	usedAt time.Duration // when it was last set
}

// SetAdvertisedLimit records the limit that a resource advertises, to be called before an amount of it is taken.
func (c *Client) SetAdvertisedLimit(now time.Duration, name string, advertised AdvertisedLimit) {
	c.advertised[name] = knownLimit{advertised.limit(), now}
	if now < c.advertisedSweptAt+advertisedTTL {
		return
	}
	c.advertisedSweptAt = now
	for other, known := range c.advertised {
		if now-known.usedAt > advertisedTTL {
			delete(c.advertised, other)
			delete(c.balances, other)
		}
	}
}

// limit returns the configured or advertised limit of a resource.
func (c *Client) limit(name string) (limit Limit, limited bool) {
	if limit, limited = c.limits[name]; limited {
		return limit, true
	}
	known, limited := c.advertised[name]
	return known.limit, limited
}
