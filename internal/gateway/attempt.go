package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/quarantine/reporter"
)

const (
	// joinedBody is the longest body that is written before the answer is looked for; a back end may answer a longer one
	// before it has read it.
	joinedBody = 16 << 10
	// wholeAnswer is the longest answer that is read whole before anything of it is passed on, so that a broken one can
	// still be replaced.
	wholeAnswer = 256 << 10
	// patienceShare of the route's objective is how long a back end may stay silent before a repeatable request goes
	// elsewhere; an engine gets enginePatience of it, and waitFactor times the wait that the decision predicted: to move a
	// request from an engine that is merely busy makes two engines read the prompt.
	patienceShare   = 1.0
	enginePatience  = 2.0
	waitFactor      = 2.0
	patienceMinimum = 300 * time.Millisecond
	// resumePauses and resumeMinimum are how long a resumable stream may pause, as a multiple of the pause that is still in
	// time and at least, before it may go elsewhere; it does only if the engine is silent towards control as well. An engine
	// whose weights are replaced stands still for up to a second, one that is short of memory for longer.
	resumePauses  = 4
	resumeMinimum = 1800 * time.Millisecond
	eventStream   = "text/event-stream"
	// causeOutdated is the cause of an attempt that would have begun on weights that are too old.
	causeOutdated = "weights outdated"
	// causeLeaving, causeResting and causeLimited are those of one whose back end leaves, wants rest from this gateway, or has reached its limit.
	causeLeaving = "leaving"
	causeResting = "resting"
	causeLimited = "limited"
)

// resultKind tells how an attempt ended.
type resultKind uint8

const (
	resultAnswered  resultKind = iota // the caller has its answer
	resultUnreached                   // nothing was sent
	resultNotRun                      // the back end says that it did not run the request
	resultUnknown                     // the request may have run
	resultFailed                      // the back end ran the request and answered with a failure; a repeat is paid for
)

// String returns the kind's name in logs.
func (k resultKind) String() string {
	return [...]string{"answered", "unreached", "not-run", "unknown", "failed"}[k]
}

// result is how an attempt ended.
type result struct {
	kind       resultKind
	cause      string
	retryAfter time.Duration // that the back end advises
	rest       time.Duration // that it asked for
}

// attempt is one sending of a request to one back end.
type attempt struct {
	exchange *exchange
	row      *endpoint
	began    time.Duration
	uncached int
	plan     candidate
	grade    attemptOutcome
	noWay    bool       // no connection came up
	cover    quotaLease // what the send took of the tenant's limit
	ctx      context.Context
	cancel   context.CancelCauseFunc
	silence  *time.Timer // ends the attempt of a request that may go elsewhere
	limit    *time.Timer // ends it before it begins on weights that are too old; nil before there is a limit; guarded by the table's mutex
	wire     *connection
	written  chan error      // the end of writing the request
	begun    atomic.Bool     // an event of the stream has come; it never turns false again
	atRest   time.Duration   // what was left of a rest of the back end when the request was sent
	asked    time.Duration   // rest that the back end asked for in its answer
	limited  pushback.Limit  // that the back end had named when the request was sent
	hold     allowance.Lease // of that limit, until the request is sent
	looked   <-chan struct{} // closed when it is known whether the back end has ended, where the run broke off
}

func (x *exchange) newAttempt(chosen *candidate) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	made := &attempt{
		exchange: x, row: chosen.row, began: x.gateway.now(), uncached: chosen.uncached, ctx: ctx, cancel: cancel,
		plan: *chosen, written: make(chan error, 1),
	}
	x.tried = append(x.tried, chosen.row)
	return made
}

// errSilent ends an attempt whose back end says nothing.
var errSilent = &net.OpError{Op: "wait", Err: context.DeadlineExceeded}

// errOutdated ends an attempt that would begin on weights that are too old.
var errOutdated = &net.OpError{Op: "begin", Err: context.DeadlineExceeded}

// perform sends the request and passes the answer on.
func (a *attempt) perform() result {
	x := a.exchange
	defer a.cancel(nil)
	defer a.reportEnd()
	rest := idleOnce
	if x.route.Retryable() {
		rest = idleRepeatable
	}
	if !a.acquireLease() {
		return result{kind: resultUnreached, cause: causeLimited}
	}
	defer a.releaseLease()
	wire, err := x.gateway.pool.get(a.ctx, a.row.entry.ID, a.row.entry.Address, rest)
	if err != nil {
		a.unreached(err)
		return result{kind: resultUnreached, cause: err.Error()}
	}
	a.wire = wire
	stop := context.AfterFunc(a.ctx, func() { _ = wire.Close() })
	defer stop()
	if bar := a.lastLook(); bar != "" {
		_ = wire.Close()
		return result{kind: resultUnreached, cause: bar}
	}
	a.hold = allowance.Lease{} // used up
	x.sent++
	a.cover, x.cover = x.cover, quotaLease{}
	a.begin()
	defer a.end()
	a.watchSilence(a.patience())
	a.watchStartDeadline()
	a.send()
	ended := a.receive()
	if a.silence != nil {
		a.silence.Stop()
	}
	return ended
}

// begin notes the send in the table, and tells the other gateways what runs where, and where prompts are read and kept.
func (a *attempt) begin() {
	x := a.exchange
	now := x.gateway.now()
	running := x.gateway.table.begin(now, a)
	x.atRest, x.limited = max(x.atRest, a.atRest), a.limited
	x.gateway.metrics.placed(a.uncached, x.call.PromptTokens)
	if a.plan.scheduled != nil {
		return // its scheduler has told the others
	}
	x.gateway.announce(now, &a.plan, x.call.Parts, running)
}

// announce notes which parts a placement leaves where, and tells the other gateways of it and of what now runs there.
func (g *Gateway) announce(now time.Duration, placed *candidate, parts []prefix.Part, running belief.Load) {
	made := send{
		Gateway: g.nick, Load: running, Instance: placed.row.entry.ID, Salt: placed.salt, Parts: parts,
		Uncached: placed.uncached, Saved: placed.saveTo != "", Move: placed.transfer,
	}
	g.table.recordOwnSend(now, made)
	g.spread.own(made)
}

// end notes in the table that the attempt is over, and tells the other gateways.
func (a *attempt) end() {
	x := a.exchange
	running := x.gateway.table.end(x.gateway.now(), a, a.grade)
	if a.plan.scheduled == nil {
		x.gateway.table.observePrefill(a.row, a.plan.engineIdle, a.uncached, a.timeToFirstEvent())
		x.gateway.table.observeQueueWait(x.service.Name, enginePriority(x.tenant, x.route), a.plan.queueWait, a.uncached, a.timeToFirstEvent(), x.gateway.now()-a.began)
		x.gateway.spread.own(send{Gateway: x.gateway.nick, Load: running, Instance: a.row.entry.ID})
	}
}

// unreached notes that no connection came up, and warns the other gateways.
func (a *attempt) unreached(err error) {
	g := a.exchange.gateway
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.quarantine.ConfirmEnds(reporter.ConnectionRefused, a.row.entry.ID)
	}
	a.noWay = true
	if news := g.table.recordUnreachable(g.now(), a.row); news && a.plan.scheduled == nil {
		g.spread.own(send{Gateway: g.nick, Instance: a.row.entry.ID, Unreached: true})
	}
}

// load is what the attempt takes of its back end while it runs.
func (a *attempt) load() belief.Load { return loadOf(&a.exchange.call) }

// loadOf is what a call takes of its back end while it runs.
func loadOf(call *Call) belief.Load { return belief.Load{Running: 1, Tokens: memoryOf(call)} }

// memoryOf is how many tokens of an engine's memory a call's prompt takes. Shared parts are there once for all requests
// that run with them; they count half.
func memoryOf(call *Call) int {
	shared := prefix.PartTokens(prefix.SharedParts(call.Parts))
	return max(call.PromptTokens, prefix.PartTokens(call.Parts)) - shared/2
}

// lastLook returns why the request may not be sent after all, or "". What was taken of the back end's limit may have ended while the connection came
// up, or the limit been named since.
func (a *attempt) lastLook() string {
	if !a.acquireLease() {
		return causeLimited
	}
	return a.barred()
}

// barred looks again at the last moment: the process may have stood still since the decision.
func (a *attempt) barred() string {
	x := a.exchange
	now := x.gateway.now()
	switch {
	case a.ctx.Err() != nil, now >= x.deadline:
		return "over"
	case x.keyed && !x.gateway.trusted(now):
		return reasonUntrusted
	case !x.hasQuota():
		return reasonUncounted
	case x.crashCount() >= quarantine.QuarantineThreshold:
		return reasonHeldBack
	}
	x.gateway.table.mutex.Lock()
	defer x.gateway.table.mutex.Unlock()
	if a.row.gone || a.row.entry.State != catalog.StateReady {
		return causeLeaving
	}
	if a.row.entry.Loading {
		return "loading" // its order may come before the request, which control doesn't see yet
	}
	if x.gateway.startsTooLate(now, &a.plan, x.service, x.call.Model) {
		return causeOutdated
	}
	bar := a.withPart(now, x.gateway.table.restrictionCause(now, a.row, false)) // the wish may have come while the connection came up
	if bar != "" {
		x.gateway.metrics.putOff.WithLabelValues(bar).Inc()
	}
	return bar
}

// withPart returns what bars a back end, given what bars it from an attempt without a part of its limit. The caller holds the table's mutex.
func (a *attempt) withPart(now time.Duration, bar string) string {
	switch {
	case bar != "" && bar != causeLimited, !a.exchange.gateway.table.signals.Limit(a.row.incarnation).Advertised:
		return bar
	case a.hold.Valid(now):
		return ""
	}
	return causeLimited
}

// patience is how long the back end may stay silent; 0 leaves it all the time there is.
func (a *attempt) patience() time.Duration {
	x := a.exchange
	if !x.route.Retryable() || x.sent >= max(1, x.route.MaxAttempts) || !x.gateway.on(mechanism.Patience) {
		return 0
	}
	if x.service.Engine {
		predicted := belief.FromMilliseconds(waitFactor * a.plan.wait)
		return predicted + max(patienceMinimum, time.Duration(enginePatience*float64(x.route.Objective)))
	}
	return max(patienceMinimum, time.Duration(patienceShare*float64(x.route.Objective)))
}

// watchSilence ends the attempt when the back end says nothing for so long.
func (a *attempt) watchSilence(limit time.Duration) {
	if limit > 0 {
		a.silence = time.AfterFunc(limit, a.silent)
	}
}

// silent ends the attempt, unless the back end is known to stand still for a reason, or works on the stream as far as
// anybody can tell: the next back end may turn the stream away, and the caller's answer would be cut.
func (a *attempt) silent() {
	t := a.exchange.gateway.table
	if t.weightsLoading(a.row) || a.begun.Load() && t.hasHeartbeat(a.row) {
		a.silence.Reset(patienceMinimum)
		return
	}
	a.cancel(errSilent)
}

// send writes the request. A long body is written beside the reading of the answer.
func (a *attempt) send() {
	head := a.head()
	body := a.exchange.body
	if len(body) <= joinedBody {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(a.wire)
		a.written <- err
		return
	}
	go func() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(a.wire)
		a.written <- err
	}()
}

// head returns the request line and the header.
func (a *attempt) head() []byte {
	x := a.exchange
	header := x.request.Header.Clone()
	dropConnectionHeaders(header)
	left := max(time.Millisecond, x.deadline-x.gateway.now())
	sending := Sending{Instance: a.row.entry.ID, Left: left, Engine: x.service.Engine, LastEvent: x.call.LastEvent}
	if x.tenant != nil {
		sending.Tenant = x.tenant.Name
	}
	if x.lastEvent != "" {
		sending.LastEvent = x.lastEvent
	}
	if sending.Engine {
		sending.Salt, sending.Version, sending.Priority = a.plan.salt, a.plan.version, enginePriority(x.tenant, x.route)
		sending.FetchFrom, sending.SaveTo = a.plan.fetchFrom, a.plan.saveTo
	}
	x.gateway.dialect.Write(header, sending)
	if len(x.body) > 0 || x.request.ContentLength != 0 || x.request.Method == http.MethodPost {
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	var out bytes.Buffer
	out.WriteString(x.request.Method + " " + x.request.RequestURI + " HTTP/1.1\r\nHost: " + x.request.Host + "\r\n")
	_ = header.Write(&out) // a buffer takes everything
	out.WriteString("\r\n")
	return out.Bytes()
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func dropConnectionHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range splitTokens(line) {
			header.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}
