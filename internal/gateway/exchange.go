package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quarantine"
)

// Reasons for a rejection by the gateway, in responses, logs and metrics.
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
	reasonOriginUnknown   = "stream-unknown" // nobody knows at which software version the stream began
	reasonOtherSoftware   = "other-software" // no back end of that version takes requests
)

const (
	// minRetryAfter is the minimum retry time given to callers of rejected requests.
	minRetryAfter = 150 * time.Millisecond
	// maxUnreachable is the number of unreachable back ends after which a request is given up.
	maxUnreachable = 4
	// backendWait is how long a request may wait while no back end is available.
	backendWait = 120 * time.Millisecond
)

// exchange is a caller's request and the state of answering it.
type exchange struct {
	gateway      *Gateway
	writer       http.ResponseWriter
	request      *http.Request
	ctx          context.Context
	arrived      time.Duration
	deadline     time.Duration // when the response must be complete
	call         Call
	view         *view
	route        *catalog.Route
	service      *catalog.Service
	tenant       *catalog.Tenant
	keyRequired  bool
	body         []byte
	bodyReserved int // buffer bytes reserved for the body

	tried             []*endpoint
	awaited           []*endpoint // tried ones whose connections may become usable later
	onlyConnected     bool        // no further connection may be opened
	sentCount         int         // attempts that were sent
	unreachableCount  int         // attempts that ended unsent for any other reason
	limitReachedCount int         // attempts that ended unsent because the back end had reached its limit
	mayHaveRun        bool        // an earlier attempt may have run
	// staleConnectionSeen is set once a reused connection ended without a response.
	staleConnectionSeen bool
	retryReserved       atomic.Bool         // a retry was taken from the budget and not used yet
	headRelayed         atomic.Bool         // the response head was sent to the caller; read by other goroutines too
	unframed            bool                // only the end of the connection ends the response for the caller
	lastEvent           string              // ID of the last event sent to the caller
	begunAt             *endpoint           // that sent the stream's first event; nil before that
	origin              origin              // of a stream that was begun by an earlier request
	servedBy            string              // instance whose response the caller got
	peer                string              // that carried the latest attempt, or "" if that was sent directly
	firstEventAt        time.Duration       // when the first event was sent to the caller; 0 before that
	latestEventAt       time.Duration       // when the latest event was sent to the caller
	longestGap          time.Duration       // longest time between two events
	placement           *candidate          // latest placement; nil before the first
	quotaLease          quotaLease          // lease on the tenant's limit for the next attempt
	copied              *copiedRun          // nil unless another engine may keep a copy of the stream's run
	continuation        *candidate          // set if the next attempt continues the stream's run from its copy
	backoffLeft         time.Duration       // longest backoff of a back end still running when the request was sent to it
	advertisedLimit     pushback.Limit      // limit advertised by the back end of the latest attempt
	cachedSubject       *quarantine.Subject // the request's fingerprints; nil until first needed
	slot                slotTrace           // how the latest slot of a small service was obtained
}

// serve handles a caller's request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.shutdown.closeConnection(w.Header())
	x := &exchange{gateway: g, writer: w, request: r, arrived: g.now(), call: g.dialect.ReadCall(r.Header)}
	if g.shutdown.isRejecting() {
		x.reject(http.StatusServiceUnavailable, reasonStopping, minRetryAfter)
		return
	}
	defer x.releaseQuota()
	defer func() { g.held.total.Release(x.bodyReserved) }()
	if !x.admit() || !x.acquireQuota() || !x.readBody() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline-g.now())
	defer cancel()
	defer x.cancelAtEnd(cancel)()
	x.ctx = ctx
	if x.findOrigin() {
		x.run()
	}
}

// admit resolves route, tenant and service, or rejects the request. A route or key counts as unknown only if the view
// is confirmed, since an older view may lack it.
func (x *exchange) admit() bool {
	x.resolve()
	trusted := x.gateway.trusted(x.arrived)
	if !trusted && x.needsConfirmedView() {
		trusted = x.awaitView()
		x.resolve()
	}
	switch {
	case x.view == nil:
		x.reject(http.StatusServiceUnavailable, reasonNoDocument, x.gateway.controlRetryAfter())
		return false
	case x.route == nil:
		x.deny(trusted, http.StatusNotFound, reasonNoRoute)
		return false
	case x.keyRequired && (x.tenant == nil || !trusted):
		x.deny(trusted, http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	timeout := x.route.Timeout
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.deadline = x.arrived + timeout
	x.service = x.view.services[x.gateway.splits.next(x.route)]
	x.gateway.budget.recordRequest(x.service.Name, x.arrived)
	return true
}

// resolve looks up route and tenant in the current view.
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

// needsConfirmedView reports whether the request can be admitted or rejected only with a confirmed view.
func (x *exchange) needsConfirmedView() bool { return x.view == nil || x.route == nil || x.keyRequired }

// deny rejects a request without a known route or key, or for lack of a confirmed view.
func (x *exchange) deny(trusted bool, status int, reason string) {
	if !trusted {
		x.gateway.log.recordDisconnect()
		x.reject(http.StatusServiceUnavailable, reasonViewUnconfirmed, x.gateway.controlRetryAfter())
		return
	}
	x.reject(status, reason, 0)
}

// readBody buffers the whole body, since a retry sends it again.
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
	stopInterrupt := x.interruptBody(controller)
	body, reserved, err := x.gateway.held.total.readBody(from, x.request.ContentLength)
	interrupted := !stopInterrupt() && !x.canFinish()
	x.bodyReserved = reserved
	if errors.Is(err, errBufferLimit) {
		_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.Copy(io.Discard, from) // a caller that is still sending would get a reset instead of the response
	}
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case interrupted:
		x.reject(http.StatusServiceUnavailable, reasonStopping, minRetryAfter)
		return false
	case errors.Is(err, errBufferLimit):
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

// run makes attempts until the caller has a response.
func (x *exchange) run() {
	for {
		if x.endIfExpired() || x.rejectIfQuarantined() || x.continuation == nil && !x.acquireQuota() {
			return
		}
		chosen := x.continuation
		if chosen == nil {
			x.allowConnected()
			if x.rejectIfCongested() || !x.awaitConnection() {
				return
			}
			chosen = x.place()
			if chosen == nil && x.onlyConnected {
				x.awaitChange(x.gateway.congestion.changed.Next())
				continue
			}
			if chosen == nil {
				if x.slot.source != "" && x.endIfExpired() {
					return // the caller left, or the deadline passed, while the request waited for a slot
				}
				x.giveUpUnplaced()
				return
			}
			x.placement = chosen
		}
		if chosen.retryAfter > 0 {
			x.reject(http.StatusServiceUnavailable, reasonOverload, chosen.retryAfter)
			return
		}
		a := x.newAttempt(chosen)
		result := a.perform()
		if result.kind == resultAnswered {
			x.recordContinuation(a, result)
			return
		}
		if result.kind == resultNotRun {
			x.quotaLease = a.quotaLease // the request did not run, so the lease is still unused
		}
		if x.keepsWaiting(a) {
			continue
		}
		x.logFailure(a, result)
		x.recordContinuation(a, result)
		if x.prepareContinuation(a, result) {
			continue
		}
		if x.route.Retryable() {
			a.awaitCrashCheck()
		}
		x.allowAgain(a)
		if !x.continueAfter(result) {
			return
		}
	}
}

// allowAgain lets a request be sent to a back end once more that ended a reused connection without a response: it may have
// closed the connection because it was idle, which says nothing about a new one.
func (x *exchange) allowAgain(a *attempt) {
	if a.staleConnection && !x.staleConnectionSeen {
		x.staleConnectionSeen = true
		x.forgetTried(a.row)
	}
}

// forgetTried lets the request be sent to a back end again.
func (x *exchange) forgetTried(row *endpoint) {
	x.tried = slices.DeleteFunc(x.tried, func(other *endpoint) bool { return other == row })
}

// giveUpUnplaced ends a request for which there is no back end. A stream whose software version is gone can't go on later
// either, so its caller gets no retry time.
func (x *exchange) giveUpUnplaced() {
	required := x.requiredSoftware()
	if x.origin.takesUp && !x.mayHaveRun && !x.headRelayed.Load() && !x.gateway.table.servesSoftware(x.service.Name, required) {
		x.reject(http.StatusServiceUnavailable, reasonOtherSoftware, 0)
		return
	}
	x.giveUp(x.noBackendReason())
}

// endIfExpired ends a request whose deadline has passed, whose caller has disconnected or which can't be completed before the
// process ends, and reports whether it did.
func (x *exchange) endIfExpired() bool {
	switch {
	case x.request.Context().Err() != nil:
		x.abandon()
		return true
	case x.gateway.now() < x.deadline && (x.gateway.shutdown.isEnding() || !x.canFinish()):
		x.giveUp(reasonStopping, minRetryAfter)
		return true
	case x.ctx.Err() != nil, x.gateway.now() >= x.deadline: // the timer of ctx stops while the machine is suspended
		x.giveUp(reasonDeadline, minRetryAfter)
		return true
	}
	return false
}

// place selects a back end. If none is available for the first attempt, it waits up to backendWait for one.
func (x *exchange) place() *candidate {
	required := x.requiredSoftware()
	if !required.Satisfiable() {
		return nil
	}
	in := selectionInput{
		service: x.service, namespace: x.namespace(), call: &x.call, tried: x.tried, firstAttempt: len(x.tried) == 0 && !x.origin.takesUp, priority: enginePriority(x.tenant, x.route), latencyTarget: x.route.Objective,
	}
	if required.Binds() {
		in.software = &required
	}
	in.maxIdle, in.onlyConnected = maxIdleTime(x.route), x.onlyConnected
	in.latencyCritical, in.offer = x.view.critical[x.service.Name], x.view.offer(x.service.Name)
	in.maxEventGap, in.reportsFirstEvent = x.view.gaps[x.service.Name], x.route.Streaming
	if x.tenant != nil {
		in.tenantName = x.tenant.Name
	}
	if x.gateway.enabled(mechanism.StoreTransfers) {
		in.store = x.view.storeOf(x.call.Parts)
	}
	if chosen, decided := x.placeInSlot(in); decided {
		return chosen
	}
	waitUntil := x.gateway.now() + backendWait
	for {
		in.trusted, in.timeLeft = x.gateway.trusted(x.gateway.now()), x.deadline-x.gateway.now()
		changed := x.gateway.table.rosterChanged.Next()
		var chosen *candidate
		if !x.onlyConnected { // schedulers don't know which connections this gateway has
			chosen = x.requestPlacement(in)
		}
		if chosen == nil {
			chosen = x.gateway.choose(x.gateway.now(), in)
			x.gateway.rejectIfOverloaded(x.gateway.now(), chosen, in)
		}
		remaining := waitUntil - x.gateway.now()
		if chosen != nil || remaining <= 0 || len(x.tried) > 0 || x.onlyConnected {
			return chosen
		}
		if retryIn, _ := x.gateway.table.allRestricted(x.gateway.now(), x.service.Name); retryIn > remaining {
			return nil // all back ends stay unavailable for longer than the request may wait
		} else if retryIn > 0 {
			remaining = retryIn
		}
		select {
		case <-changed:
		case <-time.After(remaining):
		case <-x.ctx.Done():
			return nil
		}
	}
}

// continueAfter reports whether another attempt follows a failed one; if not, it has answered the request.
func (x *exchange) continueAfter(result result) bool {
	x.mayHaveRun = x.mayHaveRun || result.kind == resultUnknown || result.kind == resultFailed
	if x.endIfExpired() {
		return false
	}
	if x.mayHaveRun && !x.route.Retryable() { // also if a continuation was not sent
		x.giveUp(reasonRunUnknown, 0)
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
		return x.retryOrGiveUp(reasonRejected, max(minRetryAfter, x.rejectionRetryAfter(result)))
	}
	if !x.route.Retryable() || x.isSuspect() {
		x.giveUp(reasonRunUnknown, 0)
		return false
	}
	return x.retryOrGiveUp(reasonRunUnknown, 0)
}

// continueAfterLimit is continueAfter for a back end that had reached its limit. That back end may be selected again,
// as soon as its limit permits.
func (x *exchange) continueAfterLimit() bool {
	x.tried = x.tried[:len(x.tried)-1]
	x.limitReachedCount++
	if x.limitReachedCount < maxLimitedAttempts {
		return true
	}
	x.giveUp(reasonLimitReached, minRetryAfter)
	return false
}

// retryOrGiveUp reports whether the request may be retried; otherwise it gives the request up.
func (x *exchange) retryOrGiveUp(reason string, retryAfter time.Duration) bool {
	if x.takeRetry() {
		return true
	}
	x.giveUp(reason, retryAfter)
	return false
}

// reserveRetry takes a retry from the budget for the attempt in progress, and reports whether the request may be retried.
func (x *exchange) reserveRetry(ctx context.Context) bool {
	if x.retryReserved.Load() {
		return true
	}
	if !x.canRetry() || !x.gateway.table.hasUntried(x.service.Name, x.tried) || !x.gateway.acquireRetry(ctx, x.service.Name) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

// takeRetry reports whether the request may be retried, and if so takes a retry from the budget.
func (x *exchange) takeRetry() bool {
	if !x.canRetry() || !x.retryReserved.Swap(false) && !x.gateway.acquireRetry(x.ctx, x.service.Name) {
		return false
	}
	x.gateway.metrics.retries.Inc()
	return true
}

// canRetry reports whether the route allows another attempt, and the view is confirmed if a key is required.
func (x *exchange) canRetry() bool {
	if x.keyRequired && !x.gateway.trusted(x.gateway.now()) {
		return false
	}
	return x.sentCount < max(1, x.route.MaxAttempts)
}
