package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
)

const (
	// joinedBody is the longest body that is written before the answer is looked for; a back end may answer a longer one
	// before it has read it.
	joinedBody = 16 << 10
	// wholeAnswer is the longest answer that is read whole before anything of it is passed on, so that a broken one can
	// still be replaced.
	wholeAnswer = 256 << 10
	// patienceShare of the route's objective, beside the time that reading the prompt takes, is how long a back end may
	// stay silent before a repeatable request goes elsewhere.
	patienceShare   = 1.0
	patienceMinimum = 300 * time.Millisecond
	// resumePauses and resumeMinimum are how long a resumable stream may pause, as a multiple of the pause that is still in
	// time and at least, before it goes elsewhere. An engine whose weights are replaced stands still for up to a second.
	resumePauses  = 4
	resumeMinimum = 1800 * time.Millisecond
	eventStream   = "text/event-stream"
)

// resultKind tells how an attempt ended.
type resultKind uint8

const (
	resultAnswered  resultKind = iota // the caller has its answer
	resultUnreached                   // nothing was sent
	resultNotRun                      // the back end says that it did not run the request
	resultUnknown                     // the request may have run
)

// String returns the kind's name in logs.
func (k resultKind) String() string {
	return [...]string{"answered", "unreached", "not-run", "unknown"}[k]
}

// result is how an attempt ended.
type result struct {
	kind       resultKind
	cause      string
	retryAfter time.Duration
}

// attempt is one sending of a request to one back end.
type attempt struct {
	exchange *exchange
	row      *endpoint
	began    time.Duration
	uncached int
	plan     candidate
	grade    outcomeGrade
	ctx      context.Context
	cancel   context.CancelCauseFunc
	silence  *time.Timer // ends the attempt of a request that may go elsewhere
	wire     *connection
	written  chan error // the end of writing the request
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
	rest := idleOnce
	if x.route.MayRepeat() {
		rest = idleRepeatable
	}
	wire, err := x.gateway.pool.get(a.ctx, a.row.entry.ID, a.row.entry.Address, rest)
	if err != nil {
		x.gateway.table.unreachable(x.gateway.now(), a.row)
		return result{kind: resultUnreached, cause: err.Error()}
	}
	a.wire = wire
	stop := context.AfterFunc(a.ctx, func() { _ = wire.Close() })
	defer stop()
	if bar := a.barred(); bar != "" {
		_ = wire.Close()
		return result{kind: resultUnreached, cause: bar}
	}
	x.sent++
	a.begin()
	defer func() { x.gateway.table.end(x.gateway.now(), a, a.grade) }()
	a.watchSilence(a.patience())
	stopLimit := a.watchLimit()
	defer stopLimit()
	a.send()
	ended := a.receive()
	if a.silence != nil {
		a.silence.Stop()
	}
	return ended
}

// begin notes the send in the table, and tells the other gateways where prompts are read and kept.
func (a *attempt) begin() {
	x := a.exchange
	now := x.gateway.now()
	x.gateway.table.begin(now, a)
	if !x.service.Engine {
		return
	}
	made := send{Instance: a.row.entry.ID, Salt: a.plan.salt, Parts: x.call.Parts, Uncached: a.uncached, Saved: a.plan.save != ""}
	x.gateway.table.noteHeld(now, made)
	x.gateway.announcer.announce(made)
}

// barred looks again at the last moment: the process may have stood still since the decision.
func (a *attempt) barred() string {
	x := a.exchange
	now := x.gateway.now()
	switch {
	case a.ctx.Err() != nil:
		return "over"
	case x.keyed && !x.gateway.trusted(now):
		return reasonUntrusted
	}
	x.gateway.table.mutex.Lock()
	defer x.gateway.table.mutex.Unlock()
	if a.row.gone || a.row.entry.State != catalog.StateReady {
		return "leaving"
	}
	return ""
}

// patience is how long the back end may stay silent; 0 leaves it all the time there is.
func (a *attempt) patience() time.Duration {
	x := a.exchange
	if !x.route.MayRepeat() || x.sent >= max(1, x.route.Attempts) {
		return 0
	}
	reading := time.Duration(float64(a.uncached)/prefillRate) * time.Millisecond
	return reading + max(patienceMinimum, time.Duration(patienceShare*float64(x.route.Objective)))
}

// watchSilence ends the attempt when the back end says nothing for so long.
func (a *attempt) watchSilence(limit time.Duration) {
	if limit > 0 {
		a.silence = time.AfterFunc(limit, a.silent)
	}
}

// silent ends the attempt, unless the back end is known to stand still for a reason.
func (a *attempt) silent() {
	if a.exchange.gateway.table.loads(a.row) {
		a.silence.Reset(patienceMinimum)
		return
	}
	a.cancel(errSilent)
}

// watchLimit ends the attempt when it has not begun on old weights until it must have. It returns what stops the watch.
func (a *attempt) watchLimit() func() {
	if a.plan.beginBy == 0 {
		return func() {}
	}
	x := a.exchange
	timer := time.AfterFunc(a.plan.beginBy-x.gateway.now(), func() {
		if x.gateway.table.waits(a) {
			a.cancel(errOutdated)
		}
	})
	return func() { timer.Stop() }
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
		sending.Salt, sending.Version, sending.Priority = a.plan.salt, a.plan.version, rank(x.tenant, x.route)
		sending.FetchFrom, sending.SaveTo = a.plan.fetch, a.plan.save
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

// receive reads the answer and passes it on.
func (a *attempt) receive() result {
	answer, err := a.readHead()
	if err != nil {
		return a.failed(err)
	}
	x := a.exchange
	verdict := x.gateway.dialect.Judge(answer.StatusCode, answer.Header)
	switch {
	case x.call.ID != "" && verdict.ID != x.call.ID && !(verdict.NotRun && verdict.ID == ""):
		return a.broken("answer of another request")
	case verdict.NotRun:
		if x.gateway.table.learnVersion(a.row, x.call.Model, verdict.Version) {
			x.gateway.log.note(events.WeightsLearnt, zap.String(events.FieldInstance, a.row.entry.ID), zap.Uint64("version", verdict.Version))
		}
		return a.turnedAway(answer)
	case x.relayed && (!verdict.Signed || answer.StatusCode >= http.StatusMultipleChoices):
		return a.broken("stream not taken up: " + answer.Status)
	case answer.StatusCode < http.StatusMultipleChoices && !verdict.Signed:
		return a.broken("success without signature")
	case answer.StatusCode < http.StatusMultipleChoices && x.route.Streaming:
		return a.relayStream(answer)
	}
	return a.relayWhole(answer)
}

// readHead reads the head of the final answer.
func (a *attempt) readHead() (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(a.wire.reader, &http.Request{Method: a.exchange.request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			a.exchange.gateway.table.spoke(a.exchange.gateway.now(), a)
			return answer, nil
		}
	}
}

// failed ends an attempt that broke off. It says something of the back end unless we ended it ourselves.
func (a *attempt) failed(err error) result {
	_ = a.wire.Close()
	cause := err.Error()
	switch {
	case context.Cause(a.ctx) == errOutdated:
		cause = "weights outdated"
	case context.Cause(a.ctx) == errSilent:
		cause, a.grade = "silent", gradeBad
	case a.exchange.ctx.Err() == nil:
		a.grade = gradeBad
	}
	return result{kind: resultUnknown, cause: cause}
}

// broken ends an attempt whose connection carries bytes that do not belong there.
func (a *attempt) broken(cause string) result {
	_ = a.wire.Close()
	a.grade = gradeBad
	return result{kind: resultUnknown, cause: cause}
}

// turnedAway ends an attempt that the back end did not run.
func (a *attempt) turnedAway(answer *http.Response) result {
	a.grade = gradeFull
	seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	refused := result{kind: resultNotRun, cause: answer.Status}
	if err == nil && seconds > 0 {
		refused.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, wholeAnswer))
	a.release(answer, err)
	return refused
}

// release keeps the connection for the next request if the request was written and the answer read, both whole.
func (a *attempt) release(answer *http.Response, readErr error) {
	whole := false
	select {
	case err := <-a.written:
		whole = err == nil
	default:
	}
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if readErr != nil || !whole || !framed || a.ctx.Err() != nil || !a.wire.noteLimits(answer) {
		_ = a.wire.Close()
		return
	}
	a.exchange.gateway.pool.put(a.row.entry.ID, a.wire)
}

// relayWhole reads an answer whole and passes it on. A failure that the back end gave may be tried elsewhere where the
// request may be repeated.
func (a *attempt) relayWhole(answer *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeAnswer+1))
	if err != nil {
		return a.failed(err)
	}
	if len(body) > wholeAnswer {
		return a.relayLong(answer, body)
	}
	a.release(answer, nil)
	x := a.exchange
	failure := answer.StatusCode >= http.StatusInternalServerError
	a.grade = gradeGood
	if failure {
		a.grade = gradeBad
	}
	if failure && x.route.MayRepeat() && !x.relayed && x.canRepeat() && x.gateway.budget.take(x.service.Name, x.gateway.now()) {
		x.mayHave = true
		return result{kind: resultUnreached, cause: answer.Status}
	}
	x.passHead(answer, len(body))
	_, _ = x.writer.Write(body) // a caller that is gone cannot be told
	x.finish(a, answer.StatusCode)
	return result{kind: resultAnswered}
}

// relayLong passes an answer on that is too long to be kept.
func (a *attempt) relayLong(answer *http.Response, begun []byte) result {
	x := a.exchange
	x.passHead(answer, -1)
	_, err := x.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(x.writer, answer.Body)
	}
	if err != nil {
		_ = a.wire.Close()
		x.giveUp(reasonBroken, 0)
	}
	a.grade = gradeGood
	a.release(answer, nil)
	x.finish(a, answer.StatusCode)
	return result{kind: resultAnswered}
}

// passHead passes the head of a back end's answer on. length is that of the whole body, or -1.
func (x *exchange) passHead(answer *http.Response, length int) {
	header := x.writer.Header()
	dropConnectionHeaders(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	if length >= 0 && bodyAllowed(x.request.Method, answer.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if x.gateway.draining.Load() {
		header.Set("Connection", "close")
	}
	x.relayed = true
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	x.writer.WriteHeader(answer.StatusCode)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// finish notes a request that got a back end's answer.
func (x *exchange) finish(a *attempt, status int) {
	x.served = a.row.entry.ID
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Time{})
	x.logEnd(events.RequestAnswered, "", status)
}
