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
	reasonStopping   = "stopping"
	reasonNoDocument = "no-document"
	reasonNoRoute    = "no-route"
	reasonNoKey      = "key-unknown"
	reasonUntrusted  = "view-unconfirmed"
	reasonTooLarge   = "body-too-large"
	reasonBadBody    = "body-broken"
	reasonNoBackend  = "no-backend"
	reasonTurnedAway = "turned-away"
	reasonUnreached  = "unreached"
	reasonRunUnknown = "run-unknown"
	reasonDeadline   = "deadline"
	reasonCallerGone = "caller-gone"
	reasonBroken     = "stream-broken"
	reasonOverLimit  = "over-limit"
	reasonUncounted  = "limit-unknown"
	reasonOverload   = "overload"
	reasonHeldBack   = "held-back"
	reasonResting    = "resting"
	reasonLimited    = "limited"
	reasonHeld       = "too-much-held"
)

const (
	// retrySoon is the advice when another try in a moment may be served.
	retrySoon = 150 * time.Millisecond
	// unreachedLimit is how many back ends may be found unreachable for one request.
	unreachedLimit = 4
	// backendGrace is how long a request may wait for a back end that can be used.
	backendGrace = 120 * time.Millisecond
)

// exchange is one caller's request.
type exchange struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	ctx      context.Context
	arrived  time.Duration
	deadline time.Duration // when the final answer is due
	call     Call
	view     *view
	route    *catalog.Route
	service  *catalog.Service
	tenant   *catalog.Tenant
	keyed    bool
	body     []byte
	room     int // that was taken for the body

	tried     []*endpoint
	sent      int // back ends that got the request
	unreached int
	overLimit int                     // back ends that turned out to have reached their limits
	mayHave   bool                    // an earlier attempt may have run
	relayed   bool                    // the head of an answer has gone to the caller
	lastEvent string                  // newest event passed on
	served    string                  // back end of the answer
	firstAt   time.Duration           // when the first event went to the caller, or 0
	eventAt   time.Duration           // when the newest one did
	pause     time.Duration           // longest time between two
	plan      *candidate              // the newest placement, or nil
	cover     quotaLease              // of the tenant's limit
	atRest    time.Duration           // the most that was left of a back end's rest when the request was sent there
	limited   pushback.Limit          // that the back end of the newest send had named
	print     *quarantine.Fingerprint // of the request; nil until somebody asked for it
}

// serve takes a caller's request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, writer: w, request: r, arrived: g.now(), call: g.dialect.Read(r.Header)}
	if g.closing.Load() {
		x.refuse(http.StatusServiceUnavailable, reasonStopping, retrySoon)
		return
	}
	defer x.releaseQuota()
	defer func() { g.held.release(x.room) }()
	if !x.admit() || !x.acquireQuota() || !x.readBody() {
		return
	}
	deadline := x.route.Timeout
	if x.call.Patience > 0 {
		deadline = min(deadline, x.call.Patience)
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
	if !trusted && x.needsTrust() {
		trusted = x.awaitView()
		x.resolve()
	}
	switch {
	case x.view == nil:
		x.refuse(http.StatusServiceUnavailable, reasonNoDocument, x.gateway.controlRetryAfter())
		return false
	case x.route == nil:
		x.deny(trusted, http.StatusNotFound, reasonNoRoute)
		return false
	case x.keyed && (x.tenant == nil || !trusted):
		x.deny(trusted, http.StatusUnauthorized, reasonNoKey)
		return false
	}
	x.service = x.view.services[x.gateway.splits.next(x.route)]
	x.gateway.budget.recordRequest(x.service.Name, x.arrived)
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
		x.tenant, x.keyed = x.view.tenant(x.route, x.call.Key)
	}
}

// needsTrust reports whether the request can only be judged by a confirmed view.
func (x *exchange) needsTrust() bool { return x.view == nil || x.route == nil || x.keyed }

func (x *exchange) deny(trusted bool, status int, reason string) {
	if !trusted {
		x.gateway.log.lost()
		x.refuse(http.StatusServiceUnavailable, reasonUntrusted, x.gateway.controlRetryAfter())
		return
	}
	x.refuse(status, reason, 0)
}

// readBody reads the whole body, since it may have to be sent twice.
func (x *exchange) readBody() bool {
	if x.request.ContentLength == 0 {
		return true
	}
	limit := x.view.bodyLimit()
	if x.request.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	from := http.MaxBytesReader(x.writer, x.request.Body, limit)
	body, room, err := x.gateway.held.readBody(from, x.request.ContentLength)
	x.room = room
	if errors.Is(err, errBufferLimit) {
		_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.Copy(io.Discard, from) // a caller that still sends would meet a reset, and not the refusal
	}
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBufferLimit):
		x.refuse(http.StatusServiceUnavailable, reasonHeld, retrySoon)
		return false
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	case err != nil:
		x.refuse(http.StatusBadRequest, reasonBadBody, 0)
		return false
	}
	x.body = body
	return true
}

// run sends the request until it has an answer or must be given up.
func (x *exchange) run() {
	for {
		if x.over() || x.rejectIfQuarantined() || !x.acquireQuota() {
			return
		}
		chosen := x.place()
		if chosen == nil {
			x.giveUp(x.noBackendReason())
			return
		}
		x.plan = chosen
		if chosen.retryAfter > 0 {
			x.refuse(http.StatusServiceUnavailable, reasonOverload, chosen.retryAfter)
			return
		}
		sent := x.newAttempt(chosen)
		result := sent.perform()
		if result.kind == resultAnswered {
			return
		}
		if result.kind == resultNotRun {
			x.cover = sent.cover // nothing ran, so nothing was used
		}
		x.logFailure(sent, result)
		if x.route.Retryable() {
			sent.awaitCrashCheck()
		}
		if !x.mayGoOn(result) {
			return
		}
	}
}

// over answers a request whose time has passed, or whose caller has left.
func (x *exchange) over() bool {
	switch {
	case x.request.Context().Err() != nil:
		x.abandon()
		return true
	case x.ctx.Err() != nil, x.gateway.now() >= x.deadline: // a timer stands still while the machine is suspended
		x.giveUp(reasonDeadline, retrySoon)
		return true
	}
	return false
}

// place chooses a back end; while none can be used it waits a moment for a better roster.
func (x *exchange) place() *candidate {
	in := selectionInput{
		service: x.service, tenant: x.tenant, call: &x.call, tried: x.tried, firstAttempt: len(x.tried) == 0, priority: enginePriority(x.tenant, x.route), latencyTarget: x.route.Objective,
	}
	if x.gateway.on(mechanism.Store) {
		in.store = x.view.storeOf(x.call.Parts)
	}
	patience := x.gateway.now() + backendGrace
	for {
		in.trusted = x.gateway.trusted(x.gateway.now())
		news := x.gateway.table.rosterChanged.Next()
		chosen := x.requestPlacement(in)
		if chosen == nil {
			chosen = x.gateway.choose(x.gateway.now(), in)
			x.gateway.rejectIfOverloaded(x.gateway.now(), chosen, in)
		}
		left := patience - x.gateway.now()
		if chosen != nil || left <= 0 || len(x.tried) > 0 {
			return chosen
		}
		if first, _ := x.gateway.table.allRestricted(x.gateway.now(), x.service.Name); first > left {
			return nil // to hold the request would not serve it
		} else if first > 0 {
			left = first
		}
		select {
		case <-news:
		case <-time.After(left):
		case <-x.ctx.Done():
			return nil
		}
	}
}

// mayGoOn decides what follows a failed attempt; when the request is not sent again, it has been answered.
func (x *exchange) mayGoOn(result result) bool {
	x.mayHave = x.mayHave || result.kind == resultUnknown || result.kind == resultFailed
	if x.over() {
		return false
	}
	switch result.kind {
	case resultUnreached:
		if result.cause == causeLimited {
			return x.goOnFromLimit()
		}
		x.unreached++
		if x.unreached >= unreachedLimit {
			x.giveUp(reasonUnreached, retrySoon)
			return false
		}
		return true
	case resultFailed:
		return true
	case resultNotRun:
		if x.mayHave && !x.route.Retryable() {
			x.giveUp(reasonRunUnknown, 0)
			return false
		}
		return x.repeat(reasonTurnedAway, max(retrySoon, x.rejectionRetryAfter(result)))
	}
	if !x.route.Retryable() || x.isSuspect() {
		x.giveUp(reasonRunUnknown, 0)
		return false
	}
	return x.repeat(reasonRunUnknown, 0)
}

// goOnFromLimit lets a request go on that found its back end at its limit. That one may be chosen again once it takes another request.
func (x *exchange) goOnFromLimit() bool {
	x.tried = x.tried[:len(x.tried)-1]
	x.overLimit++
	if x.overLimit < maxLimitedAttempts {
		return true
	}
	x.giveUp(reasonLimited, retrySoon)
	return false
}

// repeat reports whether the request may be sent to another back end; otherwise it gives the request up.
func (x *exchange) repeat(reason string, retryAfter time.Duration) bool {
	if x.spendRepeat() {
		return true
	}
	x.giveUp(reason, retryAfter)
	return false
}

// spendRepeat takes a repeat from the budget where the request may be sent to one more back end.
func (x *exchange) spendRepeat() bool {
	if !x.canRepeat() || !x.gateway.acquireRetry(x.ctx, x.service.Name) {
		return false
	}
	x.gateway.metrics.repeats.Inc()
	return true
}

// canRepeat reports whether the route allows one more back end, and the view still counts.
func (x *exchange) canRepeat() bool {
	if x.keyed && !x.gateway.trusted(x.gateway.now()) {
		return false
	}
	return x.sent < max(1, x.route.MaxAttempts)
}
