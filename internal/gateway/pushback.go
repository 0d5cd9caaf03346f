package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/pushback"
)

// Sources of a back end's signals, in logs: its own response or another gateway.
const (
	sourceAnswer  = "answer"
	sourceGateway = "gateway"
)

// handlePushback applies the back-pressure signals of a response. It runs before the response is processed, since the
// signals hold whatever becomes of the request.
func (a *attempt) handlePushback(status int, info ResponseInfo) {
	a.requestedBackoff = info.Signals.Backoff
	g := a.exchange.gateway
	g.handlePushback(a.row, responsePushback{request: a.exchange.call.ID, status: status, signals: info.Signals, unparsedBackoff: info.UnparsedBackoff, unparsedLimit: info.UnparsedLimit})
	g.recordUnknownHeaders(a.row, info.UnknownHeaders)
	if info.NoLimit && (a.exchange.call.ID == "" || info.ID == a.exchange.call.ID) {
		g.observeNoLimit(a.row, a.startedAt)
	}
}

// handleCachePushback applies the signals of a response to a cache query. Signals of another incarnation than the one in
// the roster are ignored.
func (g *Gateway) handleCachePushback(id string, report CacheReport) {
	if row := g.table.row(id); row != nil && (report.StartedMS == 0 || report.StartedMS == row.incarnation.StartedMS) {
		g.handlePushback(row, responsePushback{signals: report.Pushback})
	}
}

// responsePushback holds the signals of one response, and fields for the log.
type responsePushback struct {
	request         string // "" if the response belongs to no caller's request
	status          int
	signals         pushback.Signals
	unparsedBackoff string // a backoff that cannot be parsed

	unparsedLimit string // a limit that cannot be parsed
}

// handlePushback applies and logs the signals of a response, and announces what changed to other gateways.
func (g *Gateway) handlePushback(row *endpoint, response responsePushback) {
	if response.signals.IsEmpty() && response.unparsedBackoff == "" && response.unparsedLimit == "" {
		return
	}
	now := g.now()
	changes := g.table.observePushback(now, row, response.signals)
	if !changes.forPeers.IsEmpty() {
		g.peers.announce(announcement{Gateway: g.shortName, Instance: row.entry.ID, Signals: changes.forPeers})
	}
	g.logLimit(now, row.entry.ID, changes.forLog, sourceAnswer, response.unparsedLimit)
	fields := []zap.Field{zap.String(events.FieldInstance, row.entry.ID)}
	if response.request != "" {
		fields = append(fields, zap.String(events.FieldRequest, response.request), zap.Int("answer", response.status))
	}
	if changes.forPeers.Draining {
		g.log.info(events.InstanceLeaving, append(fields, zap.String("told_by", sourceAnswer))...)
	}
	if response.signals.Backoff <= 0 && response.unparsedBackoff == "" {
		return
	}
	if held, due := g.backoffLogLimiter.Allow(now, row.entry.ID); due {
		g.log.info(events.InstanceBackoffRequested, append(fields, zap.Duration(events.FieldBackoff, response.signals.Backoff),
			zap.Duration(events.FieldBackoffLeft, max(0, changes.restriction.BackoffUntil-now)), zap.String(events.FieldUnparsedValue, response.unparsedBackoff), zap.Int("held", held))...)
	}
}

// pushbackChanges is what the signals of a response changed.
type pushbackChanges struct {
	restriction pushback.Restriction // in effect now
	forPeers    pushback.Signals     // for other gateways: each backoff, and limits that changed or are due again
	forLog      pushback.Limit       // set only if the limit changed
}

// observePushback records the signals of a response and returns what they changed.
func (t *table) observePushback(now time.Duration, row *endpoint, signals pushback.Signals) (changes pushbackChanges) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.signals.Restriction(now, row.incarnation)
	limit, observedAt := t.signals.LimitObservedAt(row.incarnation)
	changes.restriction = t.signals.Observe(now, time.Now(), row.incarnation, signals, rand.Float64())
	t.deprioritize(now, row, signals.Backoff)
	changes.forPeers = pushback.Signals{Backoff: signals.Backoff, Draining: changes.restriction.Draining && !before.Draining}
	if t.signals.Limit(row.incarnation) != limit {
		changes.forLog, changes.forPeers.Limit = signals.Limit, signals.Limit
	}
	if signals.Limit.Advertised && now >= observedAt+limitUpdateInterval {
		changes.forPeers.Limit = signals.Limit
	}
	return changes
}

// maxPeerBackoff bounds how long a backoff requested from one gateway raises the back end's cost for others.
const maxPeerBackoff = maxAvoidance

// deprioritize raises the cost of a back end that requested a backoff from one gateway, where it is considered for
// other gateways' requests: a back end that sheds one gateway's load usually sheds all. The caller holds the mutex.
func (t *table) deprioritize(at time.Duration, row *endpoint, backoff time.Duration) {
	if backoff > 0 {
		row.avoidUntil = max(row.avoidUntil, at+min(backoff, maxPeerBackoff))
	}
}

// observePeerPushback applies signals that another gateway received, and returns what changed. Draining and limits
// apply to all gateways; a backoff only raises the cost. The caller holds the mutex.
func (t *table) observePeerPushback(now, at time.Duration, row *endpoint, signals pushback.Signals) (changes pushback.Signals) {
	t.deprioritize(at, row, signals.Backoff)
	if t.signals.ObserveLimit(at, row.incarnation, signals.Limit) {
		changes.Limit = signals.Limit
	}
	if signals.Draining && !t.signals.Restriction(now, row.incarnation).Draining {
		changes.Draining = true
		t.signals.Observe(now, time.Now(), row.incarnation, changes, 0)
	}
	return changes
}

// acceptsRequests reports whether control lets requests go to the back end.
func (e *endpoint) acceptsRequests() bool {
	return e.entry.State == catalog.StateReady && !e.entry.Loading
}

// restrictionCause returns why a back end's own signals exclude it now, or "". Draining applies to all gateways, a
// backoff only to the gateway it was requested from, and a limit as far as the sending gateway holds leases on it.
// sentByPeer means that another gateway sends the request. The caller holds the mutex.
func (t *table) restrictionCause(now time.Duration, row *endpoint, sentByPeer bool) string {
	restriction := t.signals.Restriction(now, row.incarnation)
	switch {
	case restriction.Draining:
		return causeDraining
	case restriction.IsBackingOff(now) && !sentByPeer:
		return causeBackingOff
	case restriction.Limit.Advertised && t.limitExhaustedFor(now, row, sentByPeer) > 0:
		return causeLimitReached
	}
	return ""
}

// allRestricted returns how long it takes until the first back end of a service may be used again, and the cause that
// delays it, if all usable back ends are backing off or at their limits; else 0.
func (t *table) allRestricted(now time.Duration, service string) (first time.Duration, cause string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.services[service] {
		restriction := t.signals.Restriction(now, row.incarnation)
		if !row.acceptsRequests() || restriction.Draining {
			continue
		}
		remaining, reason := max(0, restriction.BackoffUntil-now), causeBackingOff
		if restriction.Limit.Advertised {
			if wait := t.limitExhaustedFor(now, row, false); wait > remaining {
				remaining, reason = wait, causeLimitReached
			}
		}
		if remaining == 0 {
			return 0, ""
		}
		if first == 0 || remaining < first {
			first, cause = remaining, reason
		}
	}
	return first, cause
}

// noBackendReason returns why no back end is available for the request, and when the caller may retry.
func (x *exchange) noBackendReason() (reason string, retryAfter time.Duration) {
	g := x.gateway
	now := g.now()
	switch first, cause := g.table.allRestricted(now, x.service.Name); cause {
	case causeBackingOff:
		return reasonBackingOff, withJitter(first)
	case causeLimitReached:
		return reasonLimitReached, withJitter(g.table.limitRetryAfter(now, x.service.Name, first, g.gatewayCount.Load()))
	}
	return reasonNoBackend, minRetryAfter
}

// rejectionRetryAfter returns when the caller may retry a request that a back end rejected. If the back end requested a
// backoff, this is at once while another back end accepts requests, or else when the first does again.
func (x *exchange) rejectionRetryAfter(rejected result) time.Duration {
	if rejected.backoff <= 0 {
		return rejected.retryAfter
	}
	if first, _ := x.gateway.table.allRestricted(x.gateway.now(), x.service.Name); first > 0 {
		return withJitter(first)
	}
	return 0
}

// withJitter returns a retry time with random jitter, so that callers rejected together do not retry together.
func withJitter(after time.Duration) time.Duration { return pushback.WithJitter(after, rand.Float64()) }

// row returns the back end with an ID, or nil.
func (t *table) row(id string) *endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.rows[id]
}

// backingOffCounts returns the number of back ends in backoff by service. Services without any are absent.
func (t *table) backingOffCounts(now time.Duration) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := map[string]int{}
	for _, row := range t.rows {
		if t.signals.Restriction(now, row.incarnation).IsBackingOff(now) {
			counts[row.entry.Service]++
		}
	}
	return counts
}
