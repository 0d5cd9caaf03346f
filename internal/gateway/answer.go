package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// receive reads the answer and passes it on.
func (a *attempt) receive() result {
	answer, err := a.readHead()
	if err != nil {
		if a.ctx.Err() == nil {
			a.exchange.gateway.pool.forgotten(a.wire.rested)
		}
		return a.failed(err)
	}
	x := a.exchange
	verdict := x.gateway.dialect.Judge(answer.StatusCode, answer.Header)
	a.handlePushback(answer.StatusCode, verdict)
	if x.call.ID != "" && verdict.ID != x.call.ID && !(verdict.NotRun && verdict.ID == "") {
		return a.broken("answer of another request")
	}
	a.logVersionMismatch(answer.StatusCode, verdict)
	switch {
	case verdict.NotRun:
		if x.gateway.table.recordVersion(x.gateway.now(), a.row, x.call.Model, verdict.Version) {
			x.gateway.log.note(events.WeightsLearnt, zap.String(events.FieldInstance, a.row.entry.ID), zap.Uint64("version", verdict.Version))
		}
		return a.turnedAway(answer, verdict)
	case !x.route.Retryable() && promisesNoRun(answer.StatusCode):
		return a.broken("promise of a back end that doesn't say so: " + answer.Status)
	case x.relayed && (!verdict.Signed || answer.StatusCode >= http.StatusMultipleChoices):
		return a.broken("stream not taken up: " + answer.Status)
	case answer.StatusCode < http.StatusMultipleChoices && !verdict.Signed:
		return a.broken("success without signature")
	case answer.StatusCode < http.StatusMultipleChoices && x.route.Streaming:
		return a.relayStream(answer)
	}
	return a.relayWhole(answer)
}

// promisesNoRun reports whether a status tells a caller that its request has not run and never will. A back end that doesn't say so itself may
// have run it, and a caller who believes the status runs it twice.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readHead reads the head of the final answer.
func (a *attempt) readHead() (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(a.wire.reader, &http.Request{Method: a.exchange.request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			a.exchange.gateway.table.recordBytes(a.exchange.gateway.now(), a)
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
		cause = causeOutdated
	case context.Cause(a.ctx) == errSilent:
		cause, a.grade = "silent", outcomeFailure
	case a.exchange.ctx.Err() == nil:
		a.grade = outcomeFailure
		a.recordFailure()
	}
	return result{kind: resultUnknown, cause: cause}
}

// broken ends an attempt whose connection carries bytes that do not belong there.
func (a *attempt) broken(cause string) result {
	_ = a.wire.Close()
	a.grade = outcomeFailure
	return result{kind: resultUnknown, cause: cause}
}

// turnedAway ends an attempt that the back end did not run.
func (a *attempt) turnedAway(answer *http.Response, verdict Verdict) result {
	a.grade = outcomeRejected
	refused := result{kind: resultNotRun, cause: answer.Status, retryAfter: verdict.RetryAfter, rest: verdict.Said.Backoff}
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, wholeAnswer))
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
	x := a.exchange
	length := answer.ContentLength
	if !bodyAllowed(x.request.Method, answer.StatusCode) {
		length = 0 // the head tells what another request would get
	}
	if length > wholeAnswer {
		return a.relayLong(answer, nil)
	}
	body, room, err := x.gateway.held.readBody(io.LimitReader(answer.Body, wholeAnswer+1), length)
	defer func() { x.gateway.held.release(room) }()
	switch {
	case errors.Is(err, errBufferLimit):
		return a.relayLong(answer, body) // nothing is lost but another try, should it break off
	case err != nil:
		return a.failed(err)
	case len(body) > wholeAnswer:
		return a.relayLong(answer, body)
	}
	a.release(answer, nil)
	failure := answer.StatusCode >= http.StatusInternalServerError
	a.grade = outcomeSuccess
	if failure {
		a.grade = outcomeFailure
	}
	if failure && x.route.Retryable() && !x.relayed && x.spendRepeat() {
		return result{kind: resultFailed, cause: answer.Status}
	}
	x.passHead(answer, len(body))
	if x.write(body) != nil {
		x.endsAt(a)
		x.abandon()
	}
	x.finish(a, answer.StatusCode)
	return result{kind: resultAnswered}
}

// relayLong passes an answer on that is too long to be kept, or for which there is no room.
func (a *attempt) relayLong(answer *http.Response, begun []byte) result {
	x := a.exchange
	x.passHead(answer, int(answer.ContentLength))
	err := x.write(begun)
	if err == nil {
		err = x.relayBody(answer.Body)
	}
	if err != nil {
		_ = a.wire.Close()
		a.recordFailure()
		x.giveUp(reasonBroken, 0)
	}
	a.grade = outcomeSuccess
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

// endsAt notes whose answer a request got.
func (x *exchange) endsAt(a *attempt) {
	x.served = a.row.entry.ID
	if a.grade == outcomeSuccess {
		x.recordCompletion()
	}
}

// finish notes a request that got a back end's answer.
func (x *exchange) finish(a *attempt, status int) {
	x.endsAt(a)
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Time{})
	x.logEnd(events.RequestAnswered, "", status)
}
