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

// peerPushback is what a back end peerPushback of itself to another gateway, as far as it is news here.
type peerPushback struct {
	instance string
	signals  pushback.Signals
}

// observeNoLimit takes up an answer without a limit, to a request that was sent at a time.
func (g *Gateway) observeNoLimit(row *endpoint, sent time.Duration) {
	now := g.now()
	g.table.mutex.Lock()
	withdrawn := g.table.signals.ObserveNoLimit(now, sent, row.incarnation)
	g.table.mutex.Unlock()
	if withdrawn {
		limit := pushback.Limit{Withdrawn: true}
		g.spread.own(send{Gateway: g.nick, Instance: row.entry.ID, Said: pushback.Signals{Limit: limit}})
		g.logLimit(now, row.entry.ID, limit, sourceAnswer, "")
	}
}

// observeSchedulerLimit takes up the limit of a back end that a scheduler chose: in a large fleet only schedulers are told by others, and this gateway's
// first request there would be sent without a part of it.
func (g *Gateway) observeSchedulerLimit(now time.Duration, answer *wirePlacementReply) {
	if answer.Limit == nil {
		return
	}
	limit := limitOfWire(answer.Limit, false)
	g.table.mutex.Lock()
	row := g.table.rows[answer.Instance]
	changed := row != nil && g.table.signals.ObserveLimit(now-min(now, wireTime(answer.LimitAgeMS)), row.incarnation, limit)
	g.table.mutex.Unlock()
	if changed {
		g.logLimit(now, answer.Instance, limit, sourceGateway, "")
	}
}

// logLimit logs that a back end names another limit than before, none any more, or one that can't be read.
func (g *Gateway) logLimit(now time.Duration, instance string, limit pushback.Limit, source, unreadable string) {
	fields := []zap.Field{zap.String(events.FieldInstance, instance), zap.String("told_by", source)}
	switch {
	case limit.Advertised:
		g.log.note(events.InstanceLimits, append(fields, zap.Float64(events.FieldLimit, limit.Rate))...)
	case limit.Withdrawn:
		g.log.note(events.InstanceUnlimited, fields...)
	}
	if unreadable == "" {
		return
	}
	if held, due := g.limitLines.Due(now, instance); due {
		g.log.note(events.InstanceLimits, append(fields, zap.String(events.FieldUnread, unreadable), zap.Int("held", held))...)
	}
}

const (
	// leaseRetryInterval is how long a gateway asks nobody for parts of limits after the lender gave no answer, as long as one leaves a silent scheduler
	// alone: each question would hold a request up for the time of an answer that doesn't come.
	leaseRetryInterval = schedulerRetryInterval
	// minLimitExhaustion is how long a back end is left out at the least of whose limit nothing could be had: an answer that came late tells no time.
	minLimitExhaustion = 10 * time.Millisecond
	// maxLimitedAttempts is how many back ends a request may find at their limits once it was placed there.
	maxLimitedAttempts = 4
	// limitCost is what a back end costs that names a limit, in milliseconds: the way to the lender and back. For each second that nobody has
	// heard it, up to staleMost, staleGain is taken off: only an answer tells that the limit is over, and beside idle back ends none would come.
	limitCost             = 10.0
	limitCostDecay        = 10.0
	maxLimitCostDecayTime = 20 * time.Second
	// limitUpdateInterval is how often the others are told of a limit that hasn't changed, so that one gateway's requests tell for all that it stands.
	limitUpdateInterval = time.Second
	// maxLimitRetryAfter bounds the time to come back where all of a service have reached their limits: what was refused long ago comes back no more.
	// With what spreads callers it stays below the 8 s of other limits.
	maxLimitRetryAfter = 7500 * time.Millisecond
)

// Outcomes of questions for a part of a back end's limit, in metrics.
const (
	leaseGranted      = "granted"
	leaseLimitReached = "over"
	leaseUnavailable  = "unknown" // nobody could be asked
	leaseUnused       = "unused"  // granted, and nothing was sent
)

// acquireLease takes what a send to a back end counts of its limit, and reports whether it may be sent. The sum over all gateways is what the limit is
// of, so that the leader counts it; none is needed where no limit is named.
func (a *attempt) acquireLease() bool {
	g := a.exchange.gateway
	now := g.now()
	if a.hold.Valid(now) {
		return true
	}
	limit, exhausted := g.table.advertisedLimit(now, a.row)
	if limit == nil {
		return true
	}
	if exhausted {
		return false
	}
	result := g.desk.AcquireAdvertised(a.ctx, quota.Backend(a.row.entry.ID), *limit)
	outcome := leaseGranted
	switch {
	case result.Outcome == desk.Granted:
		a.hold = result.Lease
	case result.Outcome == desk.LimitReached:
		outcome = leaseLimitReached
		g.table.setLimitExhausted(a.row, g.now()+withJitter(max(result.RetryAfter, minLimitExhaustion)))
	case a.ctx.Err() != nil:
		return false // the caller left, or its time is over: that says nothing of the lender
	default:
		outcome = leaseUnavailable
		g.table.setLeaseRetryAt(g.now() + leaseRetryInterval)
	}
	g.metrics.permits.WithLabelValues(outcome).Inc()
	return result.Outcome == desk.Granted
}

// releaseLease gives back what was taken of a limit and not used.
func (a *attempt) releaseLease() {
	if a.hold.Amount > 0 {
		a.exchange.gateway.desk.Release(a.hold)
		a.exchange.gateway.metrics.permits.WithLabelValues(leaseUnused).Inc()
		a.hold = allowance.Lease{}
	}
}

// advertisedLimit returns the limit that a back end names, or nil, and whether nothing of it can be had now.
func (t *table) advertisedLimit(now time.Duration, row *endpoint) (limit *allowance.AdvertisedLimit, exhausted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	observed, observedAt := t.signals.LimitObservedAt(row.incarnation)
	if !observed.Advertised {
		return nil, false
	}
	return &allowance.AdvertisedLimit{Rate: observed.Rate, Age: max(0, now-observedAt)}, t.limitExhaustedFor(now, row, false) > 0
}

// limitExhaustedFor returns how long nothing can be had of a back end's limit, as far as this gateway knows; elsewhere says that another one sends. The caller
// holds the mutex.
func (t *table) limitExhaustedFor(now time.Duration, row *endpoint, sentByPeer bool) time.Duration {
	if sentByPeer {
		return max(0, row.limitPacedUntil-now) // that one asks for itself; this only spreads what is placed
	}
	return max(0, row.limitExhaustedUntil-now, t.leaseRetryAt-now)
}

// setLimitExhausted notes until when nothing can be had of a back end's limit.
func (t *table) setLimitExhausted(row *endpoint, until time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row.limitExhaustedUntil = max(row.limitExhaustedUntil, until)
}

// setLeaseRetryAt notes until when nobody is asked for a part of any limit.
func (t *table) setLeaseRetryAt(until time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaseRetryAt = max(t.leaseRetryAt, until)
}

// pacePeerPlacement spreads what is placed at a back end for other gateways by its limit. The caller holds the mutex.
func (t *table) pacePeerPlacement(now time.Duration, row *endpoint) {
	if limit := t.signals.Limit(row.incarnation); limit.Advertised {
		row.limitPacedUntil = now + time.Duration(float64(time.Second)/max(limit.Rate, pushback.MinRate))
	}
}

// limitRetryAfter returns when the caller of a request may come back whose service's back ends have all reached their limits: not before the first of them
// takes another one, and behind those that this gateway told before, of whom it may serve its part of the limits in a second.
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

// advertisedLimits returns how many back ends name a limit, and the sum of these, by service; a service without one is missing.
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
