package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/tunnel"
)

const (
	// maxInlineBody is the maximum size of a body that is written before the response is read. A longer one is written
	// concurrently, since a back end may respond before it has read all of it.
	maxInlineBody = 16 << 10
	// maxBufferedResponse is the maximum size of a response that is read completely before it is relayed, so that the
	// request can still be retried if the response breaks off.
	maxBufferedResponse = 256 << 10
	// A retryable attempt is canceled if its back end sends nothing for silenceFactor times the route's objective. For
	// engines the timeout is engineSilenceFactor times the objective plus predictedWaitFactor times the predicted wait,
	// since a retry makes a second engine prefill the prompt.
	silenceFactor       = 1.0
	engineSilenceFactor = 2.0
	predictedWaitFactor = 2.0
	minSilenceTimeout   = 300 * time.Millisecond
	// Where back ends take longer than that, the timeout is observedSilenceFactor times the mean time until their first byte.
	observedSilenceFactor = 2
	// A started stream is canceled, to be resumed at another back end, if it pauses for resumeGapFactor times the
	// route's maximum event gap, minResumeTimeout at least, and control gets no heartbeats of the back end either.
	// Engines pause for up to a second while weights are replaced, and for longer when short of memory.
	resumeGapFactor  = 4
	minResumeTimeout = 1800 * time.Millisecond
	eventStream      = "text/event-stream"
	// causeWeightsOutdated: the request would have started on weights older than permitted.
	causeWeightsOutdated = "weights outdated"
	// causeOtherSoftware: the back end is no longer known to have the software version at which the stream began.
	causeOtherSoftware = "other software"
	// causeSharingWithdrawn: the copy of the run is in a namespace that the request may no longer use.
	causeSharingWithdrawn = "sharing withdrawn"
	// Causes why a back end gets no request: it drains, it asked this gateway for a backoff, its limit is reached.
	causeDraining     = "leaving"
	causeBackingOff   = "resting"
	causeLimitReached = "limited"
)

// resultKind classifies how an attempt ended.
type resultKind uint8

const (
	resultAnswered    resultKind = iota // the caller got the response
	resultUnreachable                   // the request was not sent
	resultNotRun                        // the back end rejected the request without running it
	resultUnknown                       // the request may have run
	resultFailed                        // the back end ran the request and reported a failure; a retry was taken from the budget
)

// String returns the name of the kind in logs and metrics.
func (k resultKind) String() string {
	return [...]string{"answered", "unreached", "not-run", "unknown", "failed"}[k]
}

// result is the outcome of an attempt.
type result struct {
	kind       resultKind
	cause      string
	retryAfter time.Duration // retry time for the caller given by the back end; 0 if none
	backoff    time.Duration // backoff requested by the back end; 0 if none
}

// attempt is one try to have a request answered by one back end.
type attempt struct {
	exchange         *exchange
	row              *endpoint
	startedAt        time.Duration
	sentAt           time.Duration
	staleConnection  bool // the connection had been used before, and ended without any byte of a response
	headReleased     bool // the connection may be another request's
	uncached         int
	plan             candidate
	outcome          attemptOutcome
	unreachable      bool       // the connection could not be established
	connectErr       error      // why there is no connection to the chosen incarnation
	quotaLease       quotaLease // lease on the tenant's limit that the attempt used
	ctx              context.Context
	cancel           context.CancelCauseFunc
	silenceTimer     *time.Timer // cancels the attempt if the back end sends nothing; nil without a timeout
	startTimer       *time.Timer // cancels the attempt at its start deadline; nil without one; guarded by the table's mutex
	conn             *connection
	signed           bool            // the response is signed by the back end
	writeDone        chan error      // receives the result of writing the request
	queued           queuedRequest   // in the queue of the back end, if this gateway placed the request itself
	firstEventAt     time.Duration   // when the first event of this attempt was received; 0 before that
	latestEventAt    time.Duration   // when the latest event was received
	longestGap       time.Duration   // longest time between two events of this attempt
	firstEventTimer  *time.Timer     // reports the first event to schedulers; nil before it, and if none is reported to
	streamStarted    atomic.Bool     // an event of the stream was received
	backoffLeft      time.Duration   // backoff of the back end still running when the request was sent
	requestedBackoff time.Duration   // backoff requested in the response
	advertisedLimit  pushback.Limit  // limit advertised by the back end when the request was sent
	limitLease       allowance.Lease // lease on the advertised limit; reset when the request is sent
	// firstEventAnnounced is set once the first event was announced to other schedulers.
	firstEventAnnounced atomic.Bool
	crashChecked        <-chan struct{} // closed once the check whether the back end crashed is done; nil without a check
	continues           bool            // it continues the run of an earlier attempt from the copy that the back end keeps
	copyAt              *endpoint       // asked to keep a copy of the run; nil without one
	sentHead            bool            // of a stream to be copied: the back end has sent a signed response head
	wait                *serviceWait    // for the beginning of the response, as counted by congestion control
	waitHandedOver      bool            // somebody else ends the wait
	awaitsHead          atomic.Bool     // the request was written, or is being written, and no head has come
	endedByEngine       bool            // the back end's side ended the connection in the middle of the response
}

func (x *exchange) newAttempt(chosen *candidate) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{
		exchange: x, row: chosen.row, startedAt: x.gateway.now(), uncached: chosen.uncached, ctx: ctx, cancel: cancel,
		plan: *chosen, writeDone: make(chan error, 1), continues: chosen == x.continuation,
	}
	x.continuation = nil
	x.tried = append(x.tried, chosen.row)
	return a
}

// errSilent is the cancellation cause of an attempt whose back end sent nothing in time.
var errSilent = &net.OpError{Op: "wait", Err: context.DeadlineExceeded}

// errWeightsOutdated is the cancellation cause of an attempt that did not start before its start deadline.
var errWeightsOutdated = &net.OpError{Op: "begin", Err: context.DeadlineExceeded}

// perform sends the request and relays the response.
func (a *attempt) perform() result {
	x := a.exchange
	defer a.cancel(nil)
	a.wait = x.gateway.congestion.begin(x.service.Name, a.row.entry.ID, x.deadline-x.arrived, x.deadline-x.gateway.now())
	defer a.finishWait()
	defer a.reportEnd()
	defer a.stopFirstEventTimer()
	if !a.acquireLease() {
		return result{kind: resultUnreachable, cause: causeLimitReached}
	}
	defer a.releaseLease()
	if err := a.connect(); err != nil {
		a.connectErr = err
		return result{kind: resultUnreachable, cause: err.Error()}
	}
	defer a.releaseHead()
	conn := a.conn
	stop := context.AfterFunc(a.ctx, a.interrupt)
	defer stop()
	cause := a.recheck()
	if cause == "" && !a.updateNamespace() {
		cause = causeSharingWithdrawn
	}
	if cause != "" {
		_ = conn.Close()
		return result{kind: resultUnreachable, cause: cause}
	}
	a.arrangeCopy()
	defer a.releaseCopy()
	a.limitLease = allowance.Lease{} // used up
	x.sentCount++
	a.sentAt = x.gateway.now()
	a.quotaLease, x.quotaLease = x.quotaLease, quotaLease{}
	a.begin()
	defer a.end()
	a.startSilenceTimer(a.maxSilence())
	a.watchStartDeadline()
	a.awaitsHead.Store(true)
	suspicion := x.gateway.paths.suspectLater(a)
	a.writeRequest()
	outcome := a.receive()
	if suspicion != nil {
		suspicion.Stop()
	}
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	return outcome
}

// connect establishes the attempt's connection: to the chosen incarnation, where that matters, on a path that works.
func (a *attempt) connect() error {
	var unanswered error // why the direct connection before wasn't answered
	var unansweredAt time.Duration
	for tries := 1; ; tries++ {
		startedAt := a.exchange.gateway.now()
		conn, err := a.obtainConnection(unanswered != nil)
		switch {
		case err != nil && unanswered != nil:
			return unanswered
		case err != nil:
			if a.ctx.Err() == nil && err != errNoConnection && err != errNoPath { // otherwise it tells nothing about the back end
				a.recordUnreachable(err)
			}
			return err
		}
		a.conn, a.exchange.peer = conn, conn.peer
		a.exchange.gateway.metrics.recordConnection(a.exchange.service.Name, conn.reused)
		err = a.checkConnection()
		switch {
		case err == nil && unanswered != nil:
			a.exchange.gateway.paths.RecordUnreached(a.row.entry.Address, unansweredAt)
			return nil
		case err == nil, err == errLifeReplyLate:
			return err
		case err != errPathLost: // else the reply is awaited
			_ = conn.Close()
		}
		if tries == maxConnections || !a.connectsAgain(err) {
			return err
		}
		unanswered = nil
		if err != errPathLost && err != errConnectionEnds && !conn.reused {
			unanswered, unansweredAt = err, startedAt // the connection may be one that a partition resets
		}
	}
}

// connectsAgain reports whether another connection to the same back end may be answered, after one that wasn't.
func (a *attempt) connectsAgain(err error) bool {
	return err != errOtherIncarnation && a.ctx.Err() == nil && (err == errPathLost || err == errConnectionEnds || a.conn.peer == "")
}

// obtainConnection returns a connection to the attempt's back end, through a peer if that is wanted.
func (a *attempt) obtainConnection(throughPeer bool) (*connection, error) {
	x := a.exchange
	r := connectionRequest{
		instance: a.row.entry.ID, address: a.row.entry.Address, maxIdle: maxIdleTime(x.route),
		pathSuspected: x.gateway.table.pathSuspected(x.gateway.now(), a.row.entry.Address),
		paths:         x.gateway.paths.State(), open: a.openConnection,
	}
	if throughPeer {
		return x.gateway.pool.getThroughPeer(a.ctx, r)
	}
	return x.gateway.pool.get(a.ctx, r)
}

// begin records the start of the attempt in the table, and announces the placement to the other gateways.
func (a *attempt) begin() {
	x := a.exchange
	now := x.gateway.now()
	load := x.gateway.table.begin(now, a)
	x.backoffLeft, x.advertisedLimit = max(x.backoffLeft, a.backoffLeft), a.advertisedLimit
	if a.continues { // no prompt is placed, only the load moves
		x.gateway.peers.announce(announcement{Gateway: x.gateway.shortName, Load: load, Instance: a.row.entry.ID})
		return
	}
	x.gateway.metrics.recordPrompt(a.uncached, x.call.PromptTokens)
	if a.plan.scheduled != nil {
		return // the scheduler has announced it
	}
	x.gateway.announcePlacement(now, &a.plan, x.call.Parts, load)
}

// announcePlacement records which prompt parts a placement leaves in which cache, and announces them and the gateway's
// load on the back end to the other gateways.
func (g *Gateway) announcePlacement(now time.Duration, placed *candidate, parts []prefix.Part, load belief.Load) {
	announced := announcement{
		Gateway: g.shortName, Load: load, Instance: placed.row.entry.ID, Salt: placed.salt, Parts: parts,
		Uncached: placed.uncached, SavedToStore: placed.saveTo != "", Transfer: placed.transfer,
		Queue: queueAnnouncement{Number: placed.queueNumber, Priority: int(placed.priority)},
	}
	g.table.recordOwnSend(now, announced)
	g.metrics.stores.record(placed)
	g.peers.announce(announced)
}

// end records the end of the attempt in the table, and announces the remaining load to the other gateways.
func (a *attempt) end() {
	x := a.exchange
	load := x.gateway.table.end(x.gateway.now(), a, a.outcome)
	if a.continues {
		x.gateway.peers.announce(announcement{Gateway: x.gateway.shortName, Load: load, Instance: a.row.entry.ID})
		return
	}
	if a.plan.scheduled == nil {
		a.stopFirstEventTimer()
		queue := a.endQueued(x.gateway.now())
		x.gateway.table.observePrefill(a.row, a.plan.engineIdle, a.uncached, a.timeToFirstEvent())
		if a.plan.prefillToFirstEvent() > 0 {
			x.gateway.table.observeForecastWait(x.service.Name, int(a.plan.priority), a.plan.queueWait, a.plan.prefillToFirstEvent(), a.timeToOwnFirstEvent(), x.gateway.now()-a.startedAt)
		} else {
			x.gateway.table.observeQueueWait(x.service.Name, enginePriority(x.tenant, x.route), a.plan.queueWait, a.uncached, a.timeToFirstEvent(), x.gateway.now()-a.startedAt)
		}
		x.gateway.table.observeRead(x.gateway.now(), x.service.Name, enginePriority(x.tenant, x.route), a.plan.queueWait, a.plan.prefillToFirstEvent(), a.uncached, a.timeToOwnFirstEvent(), x.gateway.now()-a.startedAt)
		x.gateway.peers.announce(announcement{Gateway: x.gateway.shortName, Load: load, Instance: a.row.entry.ID, Queue: queue})
	}
}

// recordUnreachable records a failed connection, and announces it to the other gateways unless the back end is avoided
// already.
func (a *attempt) recordUnreachable(err error) {
	g := a.exchange.gateway
	if tunnel.IsRefused(err) {
		g.quarantine.ConfirmEnds(reporter.ConnectionRefused, a.row.entry.ID)
	}
	a.unreachable = true
	if isNew := g.table.recordUnreachable(g.now(), a.row); isNew && a.plan.scheduled == nil {
		g.peers.announce(announcement{Gateway: g.shortName, Instance: a.row.entry.ID, Unreachable: true})
	}
}

// load returns the load of the attempt on its back end while it runs.
func (a *attempt) load() belief.Load { return loadOf(&a.exchange.call) }

// loadOf returns the load of a call on its back end while it runs.
func loadOf(call *Call) belief.Load { return belief.Load{Running: 1, Tokens: promptMemory(call)} }

// promptMemory estimates how many tokens of cache memory a call's prompt takes. Shared parts count half, since all
// requests that run with them use the same copy.
func promptMemory(call *Call) int { return memoryOf(call.promptTokens(), call.Parts) }

// memoryOf is promptMemory for a prompt of the given tokens and parts.
func memoryOf(promptTokens int, parts []prefix.Part) int {
	return promptTokens - prefix.PartTokens(prefix.SharedParts(parts))/2
}

// recheck returns why the request must not be sent after all, or "". While the connection was established, the lease on
// the back end's limit may have expired, or the back end may have advertised a limit.
func (a *attempt) recheck() string {
	if !a.acquireLease() {
		return causeLimitReached
	}
	return a.recheckConditions()
}

// recheckConditions checks right before the send whether the conditions of the placement still hold: the process may
// have been paused since.
func (a *attempt) recheckConditions() string {
	x := a.exchange
	now := x.gateway.now()
	switch {
	case a.ctx.Err() != nil, now >= x.deadline:
		return "over"
	case !x.canFinish():
		return reasonStopping
	case x.keyRequired && !x.gateway.trusted(now):
		return reasonViewUnconfirmed
	case !a.continues && !x.hasQuota(): // a continuation counts as the same run
		return reasonLimitUnknown
	case x.isQuarantined():
		return reasonQuarantined
	case a.plan.slot.expired(now):
		x.gateway.metrics.recheckFailures.WithLabelValues(causeGrantExpired).Inc()
		return causeGrantExpired
	}
	required := x.requiredSoftware()
	x.gateway.table.mutex.Lock()
	defer x.gateway.table.mutex.Unlock()
	if a.row.gone || a.row.entry.State != catalog.StateReady {
		return causeDraining
	}
	if a.continues && a.row.entry.Versions[x.call.Model] != a.plan.version {
		return "other weights"
	}
	if !required.Admits(a.row.software) {
		return causeOtherSoftware
	}
	if a.row.entry.Loading {
		return "loading" // the weights order may reach the engine first, as control doesn't know of the request yet
	}
	if x.gateway.startsTooLate(now, &a.plan, x.service, x.call.Model) {
		return causeWeightsOutdated
	}
	cause := a.causeGivenLease(now, x.gateway.table.restrictionCause(now, a.row, false)) // a signal may have arrived meanwhile
	if cause != "" {
		x.gateway.metrics.recheckFailures.WithLabelValues(cause).Inc()
	}
	return cause
}

// causeGivenLease returns why the back end gets no request, or "", given the cause for an attempt without a lease on
// its limit. The caller holds the table's mutex.
func (a *attempt) causeGivenLease(now time.Duration, cause string) string {
	switch {
	case cause != "" && cause != causeLimitReached, !a.exchange.gateway.table.signals.Limit(a.row.incarnation).Advertised:
		return cause
	case a.limitLease.Valid(now):
		return ""
	}
	return causeLimitReached
}

// maxSilence returns how long the back end may send nothing before the attempt is canceled; 0 means until the deadline.
func (a *attempt) maxSilence() time.Duration {
	x := a.exchange
	if !x.route.Retryable() || x.sentCount >= max(1, x.route.MaxAttempts) || x.isSuspect() || !x.gateway.enabled(mechanism.SilenceTimeout) {
		return 0
	}
	observed := observedSilenceFactor * x.gateway.table.firstByteTime(x.service.Name)
	if x.service.Engine {
		return a.predictedSilence() + max(minSilenceTimeout, observed, time.Duration(engineSilenceFactor*float64(x.route.Objective)))
	}
	return max(minSilenceTimeout, observed, time.Duration(silenceFactor*float64(x.route.Objective)))
}

// predictedSilence returns how long the back end is predicted to send nothing, with a reserve; 0 without a prediction.
func (a *attempt) predictedSilence() time.Duration {
	return belief.FromMilliseconds(predictedWaitFactor * a.plan.wait)
}

// startSilenceTimer cancels the attempt if the back end sends nothing within the limit. A limit of 0 starts no timer.
func (a *attempt) startSilenceTimer(limit time.Duration) {
	if limit > 0 {
		a.silenceTimer = time.AfterFunc(limit, a.onSilence)
	}
}

// onSilence cancels the attempt if another one may follow and has a connection, unless all back ends answer late, the back end loads
// weights, or the stream has started and control still receives the back end's heartbeats: another back end might reject the stream,
// and the response would be cut off.
func (a *attempt) onSilence() {
	if a.ctx.Err() != nil {
		return // it has ended meanwhile
	}
	t := a.exchange.gateway.table
	if a.exchange.gateway.congestion.isLimited(a.exchange.service.Name) || t.weightsLoading(a.row) || a.streamStarted.Load() && t.hasHeartbeat(a.row) ||
		!a.exchange.canReachAnother() || !a.exchange.reserveRetry(a.ctx) {
		a.silenceTimer.Reset(minSilenceTimeout)
		return
	}
	a.cancel(errSilent)
}

// writeRequest writes the request, one with a long body in the background while the response is read.
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

// requestHead returns the request line and header as sent to the back end.
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
	if a.copyAt != nil {
		forwarding.BackupTo = x.copied.copyAddress
	}
	if a.continues {
		forwarding.ContinueFrom = x.copied.continuedAt
	}
	x.gateway.dialect.WriteForwarding(header, forwarding)
	if len(x.body) > 0 || x.request.ContentLength != 0 || x.request.Method == http.MethodPost {
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	var out bytes.Buffer
	out.WriteString(x.request.Method + " " + x.request.RequestURI + " HTTP/1.1\r\nHost: " + x.request.Host + "\r\n")
	_ = header.Write(&out) // writes to a bytes.Buffer don't fail
	out.WriteString("\r\n")
	return out.Bytes()
}

// hopByHopHeaders apply to a single connection and are not forwarded. The body's length is set anew.
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
