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
	// maxInlineBody is the longest body that is written before the answer is looked for; a back end may answer a longer one
	// before it has read it.
	maxInlineBody = 16 << 10
	// maxBufferedResponse is the longest answer that is read whole before anything of it is passed on, so that a broken one can
	// still be replaced.
	maxBufferedResponse = 256 << 10
	// silenceFactor of the route's objective is how long a back end may stay silent before a repeatable request goes
	// elsewhere; an engine gets enginePatience of it, and waitFactor times the wait that the decision predicted: to move a
	// request from an engine that is merely busy makes two engines read the prompt.
	silenceFactor       = 1.0
	engineSilenceFactor = 2.0
	predictedWaitFactor = 2.0
	minSilenceTimeout   = 300 * time.Millisecond
	// resumeGapFactor and resumeMinimum are how long a resumable stream may pause, as a multiple of the pause that is still in
	// time and at least, before it may go elsewhere; it does only if the engine is silent towards control as well. An engine
	// whose weights are replaced stands still for up to a second, one that is short of memory for longer.
	resumeGapFactor  = 4
	minResumeTimeout = 1800 * time.Millisecond
	eventStream      = "text/event-stream"
	// causeWeightsOutdated is the cause of an attempt that would have begun on weights that are too old.
	causeWeightsOutdated = "weights outdated"
	// causeDraining, causeResting and causeLimited are those of one whose back end leaves, wants rest from this gateway, or has reached its limit.
	causeDraining     = "leaving"
	causeBackingOff   = "resting"
	causeLimitReached = "limited"
)

// resultKind tells how an attempt ended.
type resultKind uint8

const (
	resultAnswered    resultKind = iota // the caller has its answer
	resultUnreachable                   // nothing was sent
	resultNotRun                        // the back end says that it did not run the request
	resultUnknown                       // the request may have run
	resultFailed                        // the back end ran the request and answered with a failure; a repeat is paid for
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
	backoff    time.Duration // that it asked for
}

// attempt is one sending of a request to one back end.
type attempt struct {
	exchange         *exchange
	row              *endpoint
	startedAt        time.Duration
	uncached         int
	plan             candidate
	grade            outcomeGrade
	unreachable      bool  // no connection came up
	quotaLease       cover // what the send took of the tenant's limit
	ctx              context.Context
	cancel           context.CancelCauseFunc
	silenceTimer     *time.Timer // ends the attempt of a request that may go elsewhere
	startTimer       *time.Timer // ends it before it begins on weights that are too old; nil before there is a limit; guarded by the table's mutex
	conn             *connection
	writeDone        chan error      // the end of writing the request
	streamStarted    atomic.Bool     // an event of the stream has come; it never turns false again
	backoffLeft      time.Duration   // what was left of a rest of the back end when the request was sent
	requestedBackoff time.Duration   // rest that the back end asked for in its answer
	advertisedLimit  pushback.Limit  // that the back end had named when the request was sent
	limitLease       allowance.Lease // of that limit, until the request is sent
	crashChecked     <-chan struct{} // closed when it is known whether the back end has ended, where the run broke off
}

func (x *exchange) newAttempt(chosen *candidate) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	made := &attempt{
		exchange: x, row: chosen.row, startedAt: x.gateway.now(), uncached: chosen.uncached, ctx: ctx, cancel: cancel,
		plan: *chosen, writeDone: make(chan error, 1),
	}
	x.tried = append(x.tried, chosen.row)
	return made
}

// errSilent ends an attempt whose back end says nothing.
var errSilent = &net.OpError{Op: "wait", Err: context.DeadlineExceeded}

// errWeightsOutdated ends an attempt that would begin on weights that are too old.
var errWeightsOutdated = &net.OpError{Op: "begin", Err: context.DeadlineExceeded}

// perform sends the request and passes the answer on.
func (a *attempt) perform() result {
	x := a.exchange
	defer a.cancel(nil)
	defer a.settle()
	maxIdle := maxIdleOnce
	if x.route.Retryable() {
		maxIdle = maxIdleRetryable
	}
	if !a.permit() {
		return result{kind: resultUnreachable, cause: causeLimitReached}
	}
	defer a.returnPermit()
	conn, err := x.gateway.pool.get(a.ctx, a.row.entry.ID, a.row.entry.Address, maxIdle)
	if err != nil {
		a.recordUnreachable(err)
		return result{kind: resultUnreachable, cause: err.Error()}
	}
	a.conn = conn
	stop := context.AfterFunc(a.ctx, func() { _ = conn.Close() })
	defer stop()
	if cause := a.recheck(); cause != "" {
		_ = conn.Close()
		return result{kind: resultUnreachable, cause: cause}
	}
	a.limitLease = allowance.Lease{} // used up
	x.sentCount++
	a.quotaLease, x.quotaLease = x.quotaLease, cover{}
	a.begin()
	defer a.end()
	a.startSilenceTimer(a.maxSilence())
	a.watchStartDeadline()
	a.writeRequest()
	outcome := a.receive()
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	return outcome
}

// begin notes the send in the table, and tells the other gateways what runs where, and where prompts are read and kept.
func (a *attempt) begin() {
	x := a.exchange
	now := x.gateway.now()
	load := x.gateway.table.begin(now, a)
	x.backoffLeft, x.advertisedLimit = max(x.backoffLeft, a.backoffLeft), a.advertisedLimit
	x.gateway.metrics.recordPrompt(a.uncached, x.call.PromptTokens)
	if a.plan.scheduled != nil {
		return // its scheduler has told the others
	}
	x.gateway.announcePlacement(now, &a.plan, x.call.Parts, load)
}

// announcePlacement notes which parts a placement leaves where, and tells the other gateways of it and of what now runs there.
func (g *Gateway) announcePlacement(now time.Duration, placed *candidate, parts []prefix.Part, load belief.Load) {
	announced := announcement{
		Gateway: g.shortName, Load: load, Instance: placed.row.entry.ID, Salt: placed.salt, Parts: parts,
		Uncached: placed.uncached, SavedToStore: placed.saveTo != "", Transfer: placed.transfer,
	}
	g.table.recordOwnSend(now, announced)
	g.peers.announce(announced)
}

// end notes in the table that the attempt is over, and tells the other gateways.
func (a *attempt) end() {
	x := a.exchange
	load := x.gateway.table.end(x.gateway.now(), a, a.grade)
	if a.plan.scheduled == nil {
		x.gateway.table.observePrefill(a.row, a.plan.engineIdle, a.uncached, a.first())
		x.gateway.table.noteQueue(x.service.Name, enginePriority(x.tenant, x.route), a.plan.queueWait, a.uncached, a.first(), x.gateway.now()-a.startedAt)
		x.gateway.peers.announce(announcement{Gateway: x.gateway.shortName, Load: load, Instance: a.row.entry.ID})
	}
}

// recordUnreachable notes that no connection came up, and warns the other gateways.
func (a *attempt) recordUnreachable(err error) {
	g := a.exchange.gateway
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.quarantine.ConfirmEnds(reporter.ConnectionRefused, a.row.entry.ID)
	}
	a.unreachable = true
	if isNew := g.table.unreachable(g.now(), a.row); isNew && a.plan.scheduled == nil {
		g.peers.announce(announcement{Gateway: g.shortName, Instance: a.row.entry.ID, Unreachable: true})
	}
}

// load is what the attempt takes of its back end while it runs.
func (a *attempt) load() belief.Load { return loadOf(&a.exchange.call) }

// loadOf is what a call takes of its back end while it runs.
func loadOf(call *Call) belief.Load { return belief.Load{Running: 1, Tokens: promptMemory(call)} }

// promptMemory is how many tokens of an engine's memory a call's prompt takes. Shared parts are there once for all requests
// that run with them; they count half.
func promptMemory(call *Call) int {
	shared := prefix.PartTokens(prefix.SharedParts(call.Parts))
	return max(call.PromptTokens, prefix.PartTokens(call.Parts)) - shared/2
}

// recheck returns why the request may not be sent after all, or "". What was taken of the back end's limit may have ended while the connection came
// up, or the limit been named since.
func (a *attempt) recheck() string {
	if !a.permit() {
		return causeLimitReached
	}
	return a.recheckConditions()
}

// recheckConditions looks again at the last moment: the process may have stood still since the decision.
func (a *attempt) recheckConditions() string {
	x := a.exchange
	now := x.gateway.now()
	switch {
	case a.ctx.Err() != nil, now >= x.deadline:
		return "over"
	case x.keyRequired && !x.gateway.trusted(now):
		return reasonViewUnconfirmed
	case !x.covered():
		return reasonLimitUnknown
	case x.lives() >= quarantine.QuarantineThreshold:
		return reasonQuarantined
	}
	x.gateway.table.mutex.Lock()
	defer x.gateway.table.mutex.Unlock()
	if a.row.gone || a.row.entry.State != catalog.StateReady {
		return causeDraining
	}
	if a.row.entry.Loading {
		return "loading" // its order may come before the request, which control doesn't see yet
	}
	if x.gateway.startsTooLate(now, &a.plan, x.service, x.call.Model) {
		return causeWeightsOutdated
	}
	cause := a.causeGivenLease(now, x.gateway.table.bar(now, a.row, false)) // the wish may have come while the connection came up
	if cause != "" {
		x.gateway.metrics.recheckFailures.WithLabelValues(cause).Inc()
	}
	return cause
}

// causeGivenLease returns what bars a back end, given what bars it from an attempt without a part of its limit. The caller holds the table's mutex.
func (a *attempt) causeGivenLease(now time.Duration, cause string) string {
	switch {
	case cause != "" && cause != causeLimitReached, !a.exchange.gateway.table.signals.Limit(a.row.incarnation).Advertised:
		return cause
	case a.limitLease.Valid(now):
		return ""
	}
	return causeLimitReached
}

// maxSilence is how long the back end may stay silent; 0 leaves it all the time there is.
func (a *attempt) maxSilence() time.Duration {
	x := a.exchange
	if !x.route.Retryable() || x.sentCount >= max(1, x.route.MaxAttempts) || !x.gateway.enabled(mechanism.SilenceTimeout) {
		return 0
	}
	if x.service.Engine {
		predicted := belief.FromMilliseconds(predictedWaitFactor * a.plan.wait)
		return predicted + max(minSilenceTimeout, time.Duration(engineSilenceFactor*float64(x.route.Objective)))
	}
	return max(minSilenceTimeout, time.Duration(silenceFactor*float64(x.route.Objective)))
}

// startSilenceTimer ends the attempt when the back end says nothing for so long.
func (a *attempt) startSilenceTimer(limit time.Duration) {
	if limit > 0 {
		a.silenceTimer = time.AfterFunc(limit, a.onSilence)
	}
}

// onSilence ends the attempt, unless the back end is known to stand still for a reason, or works on the stream as far as
// anybody can tell: the next back end may turn the stream away, and the caller's answer would be cut.
func (a *attempt) onSilence() {
	t := a.exchange.gateway.table
	if t.weightsLoading(a.row) || a.streamStarted.Load() && t.hasHeartbeat(a.row) {
		a.silenceTimer.Reset(minSilenceTimeout)
		return
	}
	a.cancel(errSilent)
}

// writeRequest writes the request. A long body is written beside the reading of the answer.
func (a *attempt) writeRequest() {
	head := a.requestHead()
	body := a.exchange.body
	if len(body) <= maxInlineBody {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(a.conn)
		a.writeDone <- err
		return
	}
	go func() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(a.conn)
		a.writeDone <- err
	}()
}

// requestHead returns the request line and the header.
func (a *attempt) requestHead() []byte {
	x := a.exchange
	header := x.request.Header.Clone()
	removeHopByHopHeaders(header)
	left := max(time.Millisecond, x.deadline-x.gateway.now())
	forwarding := Forwarding{Instance: a.row.entry.ID, TimeLeft: left, Engine: x.service.Engine, LastEvent: x.call.LastEvent}
	if x.tenant != nil {
		forwarding.Tenant = x.tenant.Name
	}
	if x.lastEvent != "" {
		forwarding.LastEvent = x.lastEvent
	}
	if forwarding.Engine {
		forwarding.Salt, forwarding.WeightsVersion, forwarding.Priority = a.plan.salt, a.plan.version, enginePriority(x.tenant, x.route)
		forwarding.FetchFrom, forwarding.SaveTo = a.plan.fetchFrom, a.plan.saveTo
	}
	x.gateway.dialect.WriteForwarding(header, forwarding)
	if len(x.body) > 0 || x.request.ContentLength != 0 || x.request.Method == http.MethodPost {
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	var out bytes.Buffer
	out.WriteString(x.request.Method + " " + x.request.RequestURI + " HTTP/1.1\r\nHost: " + x.request.Host + "\r\n")
	_ = header.Write(&out) // a buffer takes everything
	out.WriteString("\r\n")
	return out.Bytes()
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func removeHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range splitTokens(line) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
