package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quarantine"
)

// Reasons why a request got no back end's answer.
const (
	reasonStopping        = "stopping"
	reasonNoDocument      = "no-document"
	reasonNoRoute         = "no-route"
	reasonUnknownKey      = "key-unknown"
	reasonViewUnconfirmed = "view-unconfirmed"
	reasonTooLarge        = "body-too-large"
	reasonBadBody         = "body-broken"
	reasonNoBackend       = "no-backend"
	reasonRejected        = "turned-away"
	reasonUnreachable     = "unreached"
	reasonRunUnknown      = "run-unknown"
	reasonDeadline        = "deadline"
	reasonCallerGone      = "caller-gone"
	reasonStreamBroken    = "stream-broken"
	reasonOverLimit       = "over-limit"
	reasonLimitUnknown    = "limit-unknown"
	reasonOverload        = "overload"
	reasonQuarantined     = "held-back"
	reasonBackingOff      = "resting"
	reasonLimitReached    = "limited"
	reasonBuffersFull     = "too-much-held"
)

const (
	// minRetryAfter is the advice when another try in a moment may be served.
	minRetryAfter = 150 * time.Millisecond
	// maxUnreachable is how many back ends may be found unreachable for one request.
	maxUnreachable = 4
	// backendWait is how long a request may wait for a back end that can be used.
	backendWait = 120 * time.Millisecond
)

// exchange is one caller's request.
type exchange struct {
	gateway      *Gateway
	writer       http.ResponseWriter
	request      *http.Request
	ctx          context.Context
	arrived      time.Duration
	deadline     time.Duration // when the final answer is due
	call         Call
	view         *view
	route        *catalog.Route
	service      *catalog.Service
	tenant       *catalog.Tenant
	keyRequired  bool
	body         []byte
	bodyReserved int // that was taken for the body

	tried             []*endpoint
	sentCount         int // back ends that got the request
	unreachableCount  int
	limitReachedCount int                     // back ends that turned out to have reached their limits
	mayHaveRun        bool                    // an earlier attempt may have run
	headRelayed       bool                    // the head of an answer has gone to the caller
	lastEvent         string                  // newest event passed on
	servedBy          string                  // back end of the answer
	firstEventAt      time.Duration           // when the first event went to the caller, or 0
	latestEventAt     time.Duration           // when the newest one did
	longestGap        time.Duration           // longest time between two
	placement         *candidate              // the newest placement, or nil
	quotaLease        cover                   // of the tenant's limit
	backoffLeft       time.Duration           // the most that was left of a back end's rest when the request was sent there
	advertisedLimit   pushback.Limit          // that the back end of the newest send had named
	cachedFingerprint *quarantine.Fingerprint // of the request; nil until somebody asked for it
}

// serve takes a caller's request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, writer: w, request: r, arrived: g.now(), call: g.dialect.ReadCall(r.Header)}
	if g.rejecting.Load() {
		x.reject(http.StatusServiceUnavailable, reasonStopping, minRetryAfter)
		return
	}
	defer x.uncover()
	defer func() { g.buffered.give(x.bodyReserved) }()
	if !x.admit() || !x.withinLimit() || !x.readBody() {
		return
	}
	deadline := x.route.Timeout
	if x.call.Timeout > 0 {
		deadline = min(deadline, x.call.Timeout)
	}
	x.deadline = x.arrived + deadline
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline-g.now())
	defer cancel()
	x.ctx = ctx
	x.run()
}

// admit finds route, tenant and service, or answers why not. Only a confirmed view may say that something does not
// exist; an older one cannot know.
func (x *exchange) admit() bool {
	x.resolve()
	trusted := x.gateway.trusted(x.arrived)
	if !trusted && x.needsConfirmedView() {
		trusted = x.awaitView()
		x.resolve()
	}
	switch {
	case x.view == nil:
		x.reject(http.StatusServiceUnavailable, reasonNoDocument, x.gateway.comeBack())
		return false
	case x.route == nil:
		x.deny(trusted, http.StatusNotFound, reasonNoRoute)
		return false
	case x.keyRequired && (x.tenant == nil || !trusted):
		x.deny(trusted, http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	x.service = x.view.services[x.gateway.splits.next(x.route)]
	x.gateway.budget.request(x.service.Name, x.arrived)
	return true
}

// resolve finds route and tenant in the newest view.
func (x *exchange) resolve() {
	x.view = x.gateway.view.Load()
	if x.view == nil {
		return
	}
	x.route = x.view.route(x.request.Host, x.request.URL.Path)
	if x.route != nil {
		x.tenant, x.keyRequired = x.view.tenant(x.route, x.call.Key)
	}
}

// needsConfirmedView reports whether the request can only be judged by a confirmed view.
func (x *exchange) needsConfirmedView() bool { return x.view == nil || x.route == nil || x.keyRequired }

func (x *exchange) deny(trusted bool, status int, reason string) {
	if !trusted {
		x.gateway.log.recordDisconnect()
		x.reject(http.StatusServiceUnavailable, reasonViewUnconfirmed, x.gateway.comeBack())
		return
	}
	x.reject(status, reason, 0)
}

// readBody reads the whole body, since it may have to be sent twice.
func (x *exchange) readBody() bool {
	if x.request.ContentLength == 0 {
		return true
	}
	limit := x.view.bodyLimit()
	if x.request.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	from := http.MaxBytesReader(x.writer, x.request.Body, limit)
	body, reserved, err := x.gateway.buffered.read(from, x.request.ContentLength)
	x.bodyReserved = reserved
	if errors.Is(err, errHeld) {
		_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.Copy(io.Discard, from) // a caller that still sends would meet a reset, and not the refusal
	}
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errHeld):
		x.reject(http.StatusServiceUnavailable, reasonBuffersFull, minRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	case err != nil:
		x.reject(http.StatusBadRequest, reasonBadBody, 0)
		return false
	}
	x.body = body
	return true
}

// run sends the request until it has an answer or must be given up.
func (x *exchange) run() {
	for {
		if x.endIfExpired() || x.heldBack() || !x.withinLimit() {
			return
		}
		chosen := x.place()
		if chosen == nil {
			x.giveUp(x.noBackend())
			return
		}
		x.placement = chosen
		if chosen.retryAfter > 0 {
			x.reject(http.StatusServiceUnavailable, reasonOverload, chosen.retryAfter)
			return
		}
		sent := x.newAttempt(chosen)
		result := sent.perform()
		if result.kind == resultAnswered {
			return
		}
		if result.kind == resultNotRun {
			x.quotaLease = sent.quotaLease // nothing ran, so nothing was used
		}
		x.logFailure(sent, result)
		if x.route.Retryable() {
			sent.awaitProof()
		}
		if !x.continueAfter(result) {
			return
		}
	}
}

// endIfExpired answers a request whose time has passed, or whose caller has left.
func (x *exchange) endIfExpired() bool {
	switch {
	case x.request.Context().Err() != nil:
		x.abandon()
		return true
	case x.ctx.Err() != nil, x.gateway.now() >= x.deadline: // a timer stands still while the machine is suspended
		x.giveUp(reasonDeadline, minRetryAfter)
		return true
	}
	return false
}

// place chooses a back end; while none can be used it waits a moment for a better roster.
func (x *exchange) place() *candidate {
	in := selectionInput{
		service: x.service, tenant: x.tenant, call: &x.call, tried: x.tried, firstAttempt: len(x.tried) == 0, priority: enginePriority(x.tenant, x.route), latencyTarget: x.route.Objective,
	}
	if x.gateway.enabled(mechanism.StoreTransfers) {
		in.store = x.view.storeOf(x.call.Parts)
	}
	waitUntil := x.gateway.now() + backendWait
	for {
		in.trusted = x.gateway.trusted(x.gateway.now())
		changed := x.gateway.table.rosterChanged.Next()
		chosen := x.askSchedulers(in)
		if chosen == nil {
			chosen = x.gateway.choose(x.gateway.now(), in)
			x.gateway.turnAway(x.gateway.now(), chosen, in)
		}
		left := waitUntil - x.gateway.now()
		if chosen != nil || left <= 0 || len(x.tried) > 0 {
			return chosen
		}
		if first, _ := x.gateway.table.allBarred(x.gateway.now(), x.service.Name); first > left {
			return nil // to hold the request would not serve it
		} else if first > 0 {
			left = first
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-x.ctx.Done():
			return nil
		}
	}
}

// continueAfter decides what follows a failed attempt; when the request is not sent again, it has been answered.
func (x *exchange) continueAfter(result result) bool {
	x.mayHaveRun = x.mayHaveRun || result.kind == resultUnknown || result.kind == resultFailed
	if x.endIfExpired() {
		return false
	}
	switch result.kind {
	case resultUnreachable:
		if result.cause == causeLimitReached {
			return x.continueAfterLimit()
		}
		x.unreachableCount++
		if x.unreachableCount >= maxUnreachable {
			x.giveUp(reasonUnreachable, minRetryAfter)
			return false
		}
		return true
	case resultFailed:
		return true
	case resultNotRun:
		if x.mayHaveRun && !x.route.Retryable() {
			x.giveUp(reasonRunUnknown, 0)
			return false
		}
		return x.retryOrGiveUp(reasonRejected, max(minRetryAfter, x.comeBackAfter(result)))
	}
	if !x.route.Retryable() || x.suspected() {
		x.giveUp(reasonRunUnknown, 0)
		return false
	}
	return x.retryOrGiveUp(reasonRunUnknown, 0)
}

// continueAfterLimit lets a request go on that found its back end at its limit. That one may be chosen again once it takes another request.
func (x *exchange) continueAfterLimit() bool {
	x.tried = x.tried[:len(x.tried)-1]
	x.limitReachedCount++
	if x.limitReachedCount < permitsMost {
		return true
	}
	x.giveUp(reasonLimitReached, minRetryAfter)
	return false
}

// retryOrGiveUp reports whether the request may be sent to another back end; otherwise it gives the request up.
func (x *exchange) retryOrGiveUp(reason string, retryAfter time.Duration) bool {
	if x.takeRetry() {
		return true
	}
	x.giveUp(reason, retryAfter)
	return false
}

// takeRetry takes a repeat from the budget where the request may be sent to one more back end.
func (x *exchange) takeRetry() bool {
	if !x.canRetry() || !x.gateway.takeRepeat(x.ctx, x.service.Name) {
		return false
	}
	x.gateway.metrics.retries.Inc()
	return true
}

// canRetry reports whether the route allows one more back end, and the view still counts.
func (x *exchange) canRetry() bool {
	if x.keyRequired && !x.gateway.trusted(x.gateway.now()) {
		return false
	}
	return x.sentCount < max(1, x.route.MaxAttempts)
}
