package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
	"kitetiller/internal/pushback"
)

const (
	// rateBurstSeconds is how much of its share a router may send at once beside one request, in seconds: without any, what comes in between two
	// requests would be lost.
	rateBurstSeconds = 0.25
)

// observePeerRouters takes up which routers share what back ends take from all.
func (c *Core) observePeerRouters(event EventPeerRouters) { c.peerRouters = event.Names }

// rateShare returns how many requests a second this router may send to a back end that names a limit. Few routers send there, each a part of at least
// one request a second, so that what each may send at once adds up to no more than the limit in a second; all routers agree who they are without a
// word (highest random weights), and one that is cut off knows it still.
func (c *Core) rateShare(life catalog.Life, limit float64) float64 {
	senders := min(1+len(c.peerRouters), max(1, int(min(limit, float64(1+len(c.peerRouters))))))
	own := rendezvousWeight(life, c.config.Router)
	before := 0
	for _, other := range c.peerRouters {
		if weight := rendezvousWeight(life, other); weight > own || weight == own && other < c.config.Router {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return max(limit, pushback.LeastRate) / float64(senders)
}

// rendezvousWeight is a router's weight for a life of a back end.
func rendezvousWeight(life catalog.Life, router string) uint64 {
	return xxhash.Sum64String(life.ID() + "/" + router)
}

// rateBucket is what a router may send to a back end that names a limit.
type rateBucket struct {
	incarnation uint64        // that it is of
	rate        float64       // requests a second; 0 until the limit was first heard
	tokens      float64       // requests that may be sent now; at most one and a part of the rate
	refilledAt  time.Duration // when the level was right
}

// rateLimitedFor returns how long nothing may be sent to a back end for the limit that it names; 0 something may, or it names none.
func (c *Core) rateLimitedFor(row *backend) time.Duration {
	if !c.config.Guards.On(guard.LimitCheck) {
		return 0
	}
	life := backendIncarnation(row.machine.Name, row.incarnation)
	limit := c.pushback.Limit(life)
	if !limit.Named {
		row.rateBucket = rateBucket{}
		return 0
	}
	p := &row.rateBucket
	rate := c.rateShare(life, limit.Rate)
	if p.incarnation != row.incarnation || p.rate == 0 {
		*p = rateBucket{incarnation: row.incarnation, refilledAt: c.now} // it begins with nothing: much may have been sent a moment ago
	}
	p.tokens = min(p.tokens+p.rate*(c.now-p.refilledAt).Seconds(), 1+rateBurstSeconds*rate)
	p.rate, p.refilledAt = rate, c.now
	switch {
	case p.tokens >= 1:
		return 0
	case rate == 0:
		return noShareRetryInterval
	}
	return time.Duration((1-p.tokens)/rate*float64(time.Second)) + time.Nanosecond
}

// noShareRetryInterval is how long a router takes to look again at a back end whose limit others use.
const noShareRetryInterval = time.Second

// takeRateToken counts a request that is sent to a back end.
func (c *Core) takeRateToken(row *backend) { row.rateBucket.tokens-- }

// clearOutdatedLimit takes up an answer without a limit: one that was heard before the attempt was sent is over.
func (c *Core) clearOutdatedLimit(sent *attempt, event EventAttempt) {
	if !event.AdvertisesLimit {
		c.pushback.Unlimited(c.now, sent.sentAt, backendIncarnation(c.backends[sent.backend].machine.Name, sent.incarnation))
	}
}
