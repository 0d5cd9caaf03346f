package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
	"kitetiller/internal/pushback"
)

const (
	// rateBurstSeconds is the burst beyond one request, in seconds of the router's rate share. Without it, the tokens
	// that accumulate between two requests would be lost.
	rateBurstSeconds = 0.25
)

// observePeerRouters records which routers share the advertised rate limits.
func (c *Core) observePeerRouters(event EventPeerRouters) { c.peerRouters = event.Names }

// rateShare returns this router's share, in requests/s, of the rate limit that a back end advertises. Only as many
// routers use a limit as each can get at least one request/s, so that their bursts together stay within the limit.
// Rendezvous hashing selects them without coordination, also while a router is partitioned.
func (c *Core) rateShare(incarnation catalog.Incarnation, limit float64) float64 {
	senders := min(1+len(c.peerRouters), max(1, int(min(limit, float64(1+len(c.peerRouters))))))
	own := rendezvousWeight(incarnation, c.config.Router)
	higherWeights := 0
	for _, other := range c.peerRouters {
		if weight := rendezvousWeight(incarnation, other); weight > own || weight == own && other < c.config.Router {
			higherWeights++
		}
	}
	if higherWeights >= senders {
		return 0
	}
	return max(limit, pushback.MinRate) / float64(senders)
}

// rendezvousWeight is the rendezvous hashing weight of a router for an incarnation of a back end.
func rendezvousWeight(incarnation catalog.Incarnation, router string) uint64 {
	return xxhash.Sum64String(incarnation.ID() + "/" + router)
}

// rateBucket is a token bucket for an advertised rate limit.
type rateBucket struct {
	incarnation uint64  // of the back end
	rate        float64 // requests/s; 0 for a new bucket
	tokens      float64 // may be negative; at most one plus the burst
	refilledAt  time.Duration
}

// rateLimitedFor returns how long nothing may be sent to a back end because of the rate limit that it advertises, or 0.
func (c *Core) rateLimitedFor(row *backend) time.Duration {
	if !c.config.Guards.On(guard.AdvertisedLimitCheck) {
		return 0
	}
	incarnation := backendIncarnation(row.machine.Name, row.incarnation)
	limit := c.pushback.Limit(incarnation)
	if !limit.Advertised {
		row.rateBucket = rateBucket{}
		return 0
	}
	bucket := &row.rateBucket
	rate := c.rateShare(incarnation, limit.Rate)
	if bucket.incarnation != row.incarnation || bucket.rate == 0 {
		*bucket = rateBucket{incarnation: row.incarnation, refilledAt: c.now} // starts empty: the limit may have been used up just before
	}
	bucket.tokens = min(bucket.tokens+bucket.rate*(c.now-bucket.refilledAt).Seconds(), 1+rateBurstSeconds*rate)
	bucket.rate, bucket.refilledAt = rate, c.now
	switch {
	case bucket.tokens >= 1:
		return 0
	case rate == 0:
		return noShareRetryInterval
	}
	return time.Duration((1-bucket.tokens)/rate*float64(time.Second)) + time.Nanosecond
}

// noShareRetryInterval is how long a router without a share of a rate limit waits before it checks again.
const noShareRetryInterval = time.Second

// takeRateToken counts a dispatch against the rate limit of a back end.
func (c *Core) takeRateToken(row *backend) { row.rateBucket.tokens-- }

// clearOutdatedLimit handles an answer that advertises no limit: a limit received before the attempt was sent no
// longer applies.
func (c *Core) clearOutdatedLimit(sent *attempt, event EventAttempt) {
	if !event.AdvertisesLimit {
		c.pushback.ObserveNoLimit(c.now, sent.sentAt, backendIncarnation(c.backends[sent.backend].machine.Name, sent.incarnation))
	}
}
