package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/pushback"
)

// Who told that a back end leaves, in the log: itself, or another gateway that it told so; else control did.
const (
	sourceAnswer  = "answer"
	sourceGateway = "gateway"
)

// handlePushback takes up what an answer says of its back end, before anything else is made of the answer: it holds whatever becomes of the request.
func (a *attempt) handlePushback(status int, verdict Verdict) {
	a.asked = verdict.Said.Backoff
	g := a.exchange.gateway
	g.handlePushback(a.row, answerPushback{request: a.exchange.call.ID, status: status, signals: verdict.Said, unreadableBackoff: verdict.Unread, unreadableLimit: verdict.LimitUnread})
	g.noteStrange(a.row, verdict.Strange)
	if verdict.Unlimited && (a.exchange.call.ID == "" || verdict.ID == a.exchange.call.ID) {
		g.observeNoLimit(a.row, a.began)
	}
}

// handleCachePushback takes up what an engine says of itself beside what it keeps. It may be a later life than the one that control told of.
func (g *Gateway) handleCachePushback(id string, report CacheReport) {
	if row := g.table.row(id); row != nil && (report.StartedMS == 0 || report.StartedMS == row.incarnation.StartedMS) {
		g.handlePushback(row, answerPushback{signals: report.Pushback})
	}
}

// answerPushback is what an answer says of its back end, with what the log tells of it.
type answerPushback struct {
	request           string // "" of an answer to no caller's request
	status            int
	signals           pushback.Signals
	unreadableBackoff string

	unreadableLimit string
}

// handlePushback takes up and logs what a back end says of itself.
func (g *Gateway) handlePushback(row *endpoint, answer answerPushback) {
	if answer.signals.IsEmpty() && answer.unreadableBackoff == "" && answer.unreadableLimit == "" {
		return
	}
	now := g.now()
	changes := g.table.observePushback(now, row, answer.signals)
	if !changes.forPeers.IsEmpty() {
		g.spread.own(send{Gateway: g.nick, Instance: row.entry.ID, Said: changes.forPeers})
	}
	g.logLimit(now, row.entry.ID, changes.forLog, sourceAnswer, answer.unreadableLimit)
	fields := []zap.Field{zap.String(events.FieldInstance, row.entry.ID)}
	if answer.request != "" {
		fields = append(fields, zap.String(events.FieldRequest, answer.request), zap.Int("answer", answer.status))
	}
	if changes.forPeers.Draining {
		g.log.note(events.InstanceLeaving, append(fields, zap.String("told_by", sourceAnswer))...)
	}
	if answer.signals.Backoff <= 0 && answer.unreadableBackoff == "" {
		return
	}
	if held, due := g.restLines.Due(now, row.entry.ID); due {
		g.log.note(events.InstanceRests, append(fields, zap.Duration(events.FieldRest, answer.signals.Backoff),
			zap.Duration(events.FieldRestLeft, max(0, changes.restriction.BackoffUntil-now)), zap.String(events.FieldUnread, answer.unreadableBackoff), zap.Int("held", held))...)
	}
}

// pushbackChanges is what of a back end's word is to be told.
type pushbackChanges struct {
	restriction pushback.Restriction // what now keeps requests from it
	forPeers    pushback.Signals     // for the other gateways, of which each rest is news, and a limit also if they haven't been told for a while
	forLog      pushback.Limit       // for the log: only if it differs from the one before
}

// observePushback notes what a back end says of itself, and returns what of it is news.
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

// maxPeerBackoff is the longest time for which a back end is dearer to the others that asked one gateway for rest: as long as one that failed.
const maxPeerBackoff = maxAvoidance

// deprioritize lets a back end that asked one gateway for rest cost more for a while where another one's request is placed: one that sheds one
// gateway's requests mostly sheds all, and each would have to learn that by a request. The caller holds the mutex.
func (t *table) deprioritize(at time.Duration, row *endpoint, backoff time.Duration) {
	if backoff > 0 {
		row.avoidUntil = max(row.avoidUntil, at+min(backoff, maxPeerBackoff))
	}
}

// observePeerPushback takes up what a back end said of itself to another gateway, and returns what of it is news. That it leaves binds all, and so does a
// limit; a wish for rest is between the two. The caller holds the mutex.
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

// acceptsRequests reports whether control lets requests go to a back end.
func (e *endpoint) acceptsRequests() bool {
	return e.entry.State == catalog.StateReady && !e.entry.Loading
}

// restrictionCause returns why a back end itself wants no request now, or "". That it leaves binds all gateways, a wish for rest only the one that was asked,
// and of its limit each may use what it was lent: elsewhere says that another one sends. The caller holds the mutex.
func (t *table) restrictionCause(now time.Duration, row *endpoint, sentByPeer bool) string {
	restriction := t.signals.Restriction(now, row.incarnation)
	switch {
	case restriction.Draining:
		return causeLeaving
	case restriction.IsBackingOff(now) && !sentByPeer:
		return causeResting
	case restriction.Limit.Advertised && t.limitExhaustedFor(now, row, sentByPeer) > 0:
		return causeLimited
	}
	return ""
}

// allRestricted returns how long it takes until the first back end of a service may be asked again, where all that may be used want rest or have
// reached their limits, and which of the two; else 0.
func (t *table) allRestricted(now time.Duration, service string) (first time.Duration, cause string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.services[service] {
		restriction := t.signals.Restriction(now, row.incarnation)
		if !row.acceptsRequests() || restriction.Draining {
			continue
		}
		remaining, reason := max(0, restriction.BackoffUntil-now), causeResting
		if restriction.Limit.Advertised {
			if wait := t.limitExhaustedFor(now, row, false); wait > remaining {
				remaining, reason = wait, causeLimited
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

// noBackendReason returns why a request finds no place, and when to come back.
func (x *exchange) noBackendReason() (reason string, retryAfter time.Duration) {
	g := x.gateway
	now := g.now()
	switch first, cause := g.table.allRestricted(now, x.service.Name); cause {
	case causeResting:
		return reasonResting, withJitter(first)
	case causeLimited:
		return reasonLimited, withJitter(g.table.limitRetryAfter(now, x.service.Name, first, g.gateways.Load()))
	}
	return reasonNoBackend, retrySoon
}

// rejectionRetryAfter returns when the caller of a request that a back end turned away may come back: at once while another back end takes requests,
// whatever that one asked for, else when the first does again.
func (x *exchange) rejectionRetryAfter(rejected result) time.Duration {
	if rejected.rest <= 0 {
		return rejected.retryAfter
	}
	if first, _ := x.gateway.table.allRestricted(x.gateway.now(), x.service.Name); first > 0 {
		return withJitter(first)
	}
	return 0
}

// withJitter returns a time to come back with a little at random on top: callers that were turned away together would come back as the next wave.
func withJitter(after time.Duration) time.Duration { return pushback.WithJitter(after, rand.Float64()) }

// row returns the back end of an id, or nil.
func (t *table) row(id string) *endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.rows[id]
}

// backingOffCounts returns how many back ends want rest now, by service; a service without one is missing.
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
