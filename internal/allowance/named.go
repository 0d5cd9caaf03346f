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
	// advertisedWindow is the longest window that limits are judged in which resources name themselves. A lower one binds until no window holds
	// anything of its time any more.
	advertisedWindow = 4 * time.Second
	// maxAdvertisedRate bounds the rate, in units a second. pushback.LeastRate does from below: of a resource that takes less, or nothing, one unit in a
	// window is lent all the same.
	maxAdvertisedRate = 1e6
	// advertisedBurst is how much of the rate may be lent at once beside one unit, in seconds: without any, what comes in between two questions would
	// be lost; with a quarter of a second a window holds 4.45 s of the rate and 1.3 units at the most, lent ahead included.
	advertisedBurst = 0.25
	// advertisedSlack is how much of the rate, beside one unit, a window may hold beyond that for borrowers out of touch, in seconds.
	advertisedSlack = 0.5
	// advertisedTTL is how long an account is kept that nobody asks for. A new one begins with nothing.
	advertisedTTL = 10 * time.Second
)

// AdvertisedLimit is a limit that a resource names itself, as a borrower heard it.
type AdvertisedLimit struct {
	Rate float64       `json:"r"` // units a second
	Age  time.Duration `json:"g"` // since it was last heard
}

// limit returns what may be used of a resource that names a rate.
func (a AdvertisedLimit) limit() Limit {
	rate := min(max(a.Rate, pushback.MinRate), maxAdvertisedRate)
	return Limit{Rate: rate, Burst: 1 + advertisedBurst*rate, Slack: 1 + advertisedSlack*rate}
}

// advertisedBucket is a resource that names its limit. It begins with nothing when it is first asked for.
type advertisedBucket struct {
	bucket
	latest      Limit         // by the word that was heard last
	latestAt    time.Duration // when that was heard
	raiseAt     time.Duration // when the newest counts although it is higher; 0 it counts
	requestedAt time.Duration
}

// grantAdvertised lends an amount of a resource that names its limit, whole or not at all. What is refused goes elsewhere, so that nothing is kept for
// it, and the time to wait is that until the next amount.
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
	prefetch := math.Floor(max(0, min(item.Prefetch, b.level-item.Amount-prefetchFloorFraction*b.limit.capacity()))) // whole units: a part of one is of no use
	amount := item.Amount + prefetch
	b.level -= amount
	b.granted += amount
	return Grant{Name: item.Name, Amount: amount, Enforced: true}
}

// observe takes up what a borrower heard. Of two words the later counts; a lower limit counts at once, also an earlier one that a window may still
// hold something of, and a higher one once none does.
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

// setLimit puts a limit in force.
func (b *advertisedBucket) setLimit(limit Limit) {
	b.limit = limit
	b.level = min(b.level, limit.capacity())
}

// SweepAdvertised drops the accounts of resources that name their limits and that nobody has asked for lately.
func (a *Allocator) SweepAdvertised(now time.Duration) {
	maps.DeleteFunc(a.advertised, func(_ string, b *advertisedBucket) bool { return now-b.requestedAt > advertisedTTL })
}

// AdvertisedStates returns the resources that name their limits and were asked for lately: those of which most was refused, rising by name, so many at most.
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

// knownLimit is what a borrower knows of a resource that names its limit.
type knownLimit struct {
	limit  Limit
	usedAt time.Duration // when it was last asked for
}

// SetAdvertisedLimit notes the limit that a resource names, before an amount of it is taken.
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

// limit returns the limit of a resource.
func (c *Client) limit(name string) (limit Limit, limited bool) {
	if limit, limited = c.limits[name]; limited {
		return limit, true
	}
	known, limited := c.advertised[name]
	return known.limit, limited
}
