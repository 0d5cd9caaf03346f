package gateway

import (
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/allowance"
	"kitetiller/internal/allowance/desk"
	"kitetiller/internal/events"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quota"
)

// peerPushback holds the signals of a back end that another gateway reported, as far as they changed something here.
type peerPushback struct {
	instance string
	signals  pushback.Signals
}

// observeNoLimit handles a response without a limit, to a request sent at the given time.
func (g *Gateway) observeNoLimit(row *endpoint, sent time.Duration) {
	now := g.now()
	g.table.mutex.Lock()
	withdrawn := g.table.signals.ObserveNoLimit(now, sent, row.incarnation)
	g.table.mutex.Unlock()
	if withdrawn {
		limit := pushback.Limit{Withdrawn: true}
		g.peers.announce(announcement{Gateway: g.shortName, Instance: row.entry.ID, Signals: pushback.Signals{Limit: limit}})
		g.logLimit(now, row.entry.ID, limit, sourceAnswer, "")
	}
}

// observeSchedulerLimit applies the limit in a scheduler's reply. In a large fleet, only schedulers receive other
// gateways' updates, so this gateway's first request there would otherwise be sent without a lease.
func (g *Gateway) observeSchedulerLimit(now time.Duration, answer *wirePlacementReply) {
	if answer.Limit == nil {
		return
	}
	limit := limitFromWire(answer.Limit, false)
	g.table.mutex.Lock()
	row := g.table.rows[answer.Instance]
	changed := row != nil && g.table.signals.ObserveLimit(now-min(now, durationFromMS(answer.LimitAgeMS)), row.incarnation, limit)
	g.table.mutex.Unlock()
	if changed {
		g.logLimit(now, answer.Instance, limit, sourceGateway, "")
	}
}

// logLimit logs a limit that changed, was withdrawn, or cannot be parsed.
func (g *Gateway) logLimit(now time.Duration, instance string, limit pushback.Limit, source, unparsedValue string) {
	fields := []zap.Field{zap.String(events.FieldInstance, instance), zap.String("told_by", source)}
	switch {
	case limit.Advertised:
		g.log.info(events.InstanceLimitAdvertised, append(fields, zap.Float64(events.FieldAdvertisedLimit, limit.Rate))...)
	case limit.Withdrawn:
		g.log.info(events.InstanceLimitWithdrawn, fields...)
	}
	if unparsedValue == "" {
		return
	}
	if held, due := g.limitLogLimiter.Allow(now, instance); due {
		g.log.info(events.InstanceLimitAdvertised, append(fields, zap.String(events.FieldUnparsedValue, unparsedValue), zap.Int("held", held))...)
	}
}

const (
	// leaseRetryInterval is how long no leases on limits are requested after the allocator did not reply, since each
	// attempt would delay a request by the timeout.
	leaseRetryInterval = schedulerRetryInterval
	// minLimitExhaustion is the minimum time for which a back end is excluded after no lease on its limit was
	// available.
	minLimitExhaustion = 10 * time.Millisecond
	// maxLimitedAttempts bounds the attempts of a request that end because the chosen back end is at its limit.
	maxLimitedAttempts = 4
	// limitCost is the cost of a back end that advertises a limit, in milliseconds: the round trip to the allocator. It
	// decreases by limitCostDecay for each second since the limit was last observed, for up to maxLimitCostDecayTime,
	// because only a response shows that the limit was withdrawn, and a back end that always costs more than idle ones
	// would get no requests.
	limitCost             = 10.0
	limitCostDecay        = 10.0
	maxLimitCostDecayTime = 20 * time.Second
	// limitUpdateInterval is how often an unchanged limit is sent to the other gateways, so that they know it is still
	// in effect.
	limitUpdateInterval = time.Second
	// maxLimitRetryAfter bounds the retry time given when all back ends of a service are at their limits. With jitter,
	// it stays below the 8 s of other limits.
	maxLimitRetryAfter = 7500 * time.Millisecond
)

// Outcomes of lease requests for advertised limits, as metric labels.
const (
	leaseGranted      = "granted"
	leaseLimitReached = "over"
	leaseUnavailable  = "unknown" // the allocator did not reply
	leaseUnused       = "unused"  // granted, but nothing was sent
)

// acquireLease acquires the lease for one request under the back end's advertised limit, and reports whether the
// request may be sent. The leader allocates the limit among all gateways. Without a limit, no lease is needed.
func (a *attempt) acquireLease() bool {
	g := a.exchange.gateway
	now := g.now()
	if a.limitLease.Valid(now) {
		return true
	}
	limit, exhausted := g.table.advertisedLimit(now, a.row)
	if limit == nil {
		return true
	}
	if exhausted {
		return false
	}
	result := g.leases.AcquireAdvertised(a.ctx, quota.Backend(a.row.entry.ID), *limit)
	outcome := leaseGranted
	switch {
	case result.Outcome == desk.Granted:
		a.limitLease = result.Lease
	case result.Outcome == desk.LimitReached:
		outcome = leaseLimitReached
		g.table.setLimitExhausted(a.row, g.now()+withJitter(max(result.RetryAfter, minLimitExhaustion)))
	case a.ctx.Err() != nil:
		return false // the caller left or the deadline passed, which is not the allocator's fault
	default:
		outcome = leaseUnavailable
		g.table.setLeaseRetryAt(g.now() + leaseRetryInterval)
	}
	g.metrics.limitLeases.WithLabelValues(outcome).Inc()
	return result.Outcome == desk.Granted
}

// releaseLease returns an unused lease.
func (a *attempt) releaseLease() {
	if a.limitLease.Amount > 0 {
		a.exchange.gateway.leases.Release(a.limitLease)
		a.exchange.gateway.metrics.limitLeases.WithLabelValues(leaseUnused).Inc()
		a.limitLease = allowance.Lease{}
	}
}

// advertisedLimit returns the limit that a back end advertises, or nil, and whether it is exhausted now.
func (t *table) advertisedLimit(now time.Duration, row *endpoint) (limit *allowance.AdvertisedLimit, exhausted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	observed, observedAt := t.signals.LimitObservedAt(row.incarnation)
	if !observed.Advertised {
		return nil, false
	}
	return &allowance.AdvertisedLimit{Rate: observed.Rate, Age: max(0, now-observedAt)}, t.limitExhaustedFor(now, row, false) > 0
}

// limitExhaustedFor returns how long no lease on a back end's limit will be available, as far as is known. If
// sentByPeer is set, another gateway sends the request. The caller holds the mutex.
func (t *table) limitExhaustedFor(now time.Duration, row *endpoint, sentByPeer bool) time.Duration {
	if sentByPeer {
		return max(0, row.limitPacedUntil-now) // the peer acquires the lease itself; this only paces placements
	}
	return max(0, row.limitExhaustedUntil-now, t.leaseRetryAt-now)
}

// setLimitExhausted records until when no lease on a back end's limit will be available.
func (t *table) setLimitExhausted(row *endpoint, until time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row.limitExhaustedUntil = max(row.limitExhaustedUntil, until)
}

// setLeaseRetryAt records until when no leases are requested at all.
func (t *table) setLeaseRetryAt(until time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaseRetryAt = max(t.leaseRetryAt, until)
}

// pacePeerPlacement spaces placements for other gateways at a back end by its limit. The caller holds the mutex.
func (t *table) pacePeerPlacement(now time.Duration, row *endpoint) {
	if limit := t.signals.Limit(row.incarnation); limit.Advertised {
		row.limitPacedUntil = now + time.Duration(float64(time.Second)/max(limit.Rate, pushback.MinRate))
	}
}

// limitRetryAfter returns when a caller may retry whose service's back ends are all at their limits. Callers get
// successive times, no earlier than first, spaced at this gateway's share of the limits.
func (t *table) limitRetryAfter(now time.Duration, service string, first time.Duration, gateways int64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sum := 0.0
	for _, row := range t.services[service] {
		if row.acceptsRequests() {
			sum += t.signals.Limit(row.incarnation).Rate
		}
	}
	step := time.Duration(float64(max(1, gateways)) / max(sum, pushback.MinRate) * float64(time.Second))
	at := min(max(now+first, t.lastRetryAt[service]+step), now+maxLimitRetryAfter)
	t.lastRetryAt[service] = at
	return at - now
}

// advertisedLimits returns the number of back ends that advertise a limit and the sum of the limits, by service.
// Services without any are absent.
func (t *table) advertisedLimits() (counts map[string]int, sums map[string]float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts, sums = map[string]int{}, map[string]float64{}
	for _, row := range t.rows {
		if limit := t.signals.Limit(row.incarnation); limit.Advertised {
			counts[row.entry.Service]++
			sums[row.entry.Service] += limit.Rate
		}
	}
	return counts, sums
}
