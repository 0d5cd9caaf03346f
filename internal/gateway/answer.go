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

// receive reads the response and relays it, unless it is invalid or reports that the request did not run.
func (a *attempt) receive() result {
	response, err := a.readHead()
	if err != nil {
		if a.leaveToLate(err) && a.passedDeadline() {
			return result{kind: resultUnknown, cause: reasonDeadline}
		}
		if a.ctx.Err() == nil {
			a.exchange.gateway.pool.recordStale(a.conn.idleFor)
			a.staleConnection = a.conn.reused && endsConnection(err)
		}
		if a.exchange.ctx.Err() == nil && context.Cause(a.ctx) != errWeightsOutdated {
			a.recordUnanswered()
		}
		return a.connectionFailed(err)
	}
	x := a.exchange
	info := x.gateway.dialect.ReadResponse(response.StatusCode, response.Header)
	a.signed = info.Signed
	a.handlePushback(response.StatusCode, info)
	if x.call.ID != "" && info.ID != x.call.ID && !(info.NotRun && info.ID == "") {
		return a.invalidResponse("response to another request")
	}
	a.logVersionMismatch(response.StatusCode, info)
	switch {
	case info.NotRun:
		if x.gateway.table.recordVersion(x.gateway.now(), a.row, x.call.Model, info.WeightsVersion) {
			x.gateway.log.info(events.WeightsDiscovered, zap.String(events.FieldInstance, a.row.entry.ID), zap.Uint64("version", info.WeightsVersion))
		}
		return a.rejected(response, info)
	case !x.route.Retryable() && statusImpliesNotRun(response.StatusCode):
		return a.invalidResponse("not-run status without confirmation by the back end: " + response.Status)
	case (x.headRelayed.Load() || a.continues) && (!info.Signed || response.StatusCode >= http.StatusMultipleChoices):
		return a.invalidResponse("stream not resumed: " + response.Status)
	case response.StatusCode < http.StatusMultipleChoices && !info.Signed:
		return a.invalidResponse("successful response without signature")
	case response.StatusCode < http.StatusMultipleChoices && x.route.Streaming:
		if problem := a.recordStreamHead(response, info); problem != "" {
			return a.invalidResponse(problem)
		}
		return a.relayStream(response)
	}
	return a.relayBuffered(response)
}

// statusImpliesNotRun reports whether callers take a status to mean that the request has not run. Without an explicit
// confirmation by the back end the request may have run, and a caller that retries it would run it twice.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readHead reads the head of the response, skipping informational ones.
func (a *attempt) readHead() (*http.Response, error) {
	response, err := a.conn.readResponse(a.exchange.request.Method, a.exchange.gateway.dialect.SingleHeaders())
	if err != nil {
		return nil, err
	}
	a.awaitsHead.Store(false)
	a.wait.answered(a.conn.peer != "")
	a.exchange.gateway.table.recordBytes(a.exchange.gateway.now(), a)
	a.exchange.gateway.recordAnswer(a.conn, a.row, a.sentAt)
	a.recordFirstByte()
	a.recordConnection()
	return response, nil
}

// connectionFailed ends an attempt whose connection failed or was closed by its cancellation. It counts against the
// back end, unless the cause was the start deadline or the end of the request.
func (a *attempt) connectionFailed(err error) result {
	if !a.waitHandedOver {
		_ = a.conn.Close()
	}
	cause := err.Error()
	if isEndless(err) {
		a.exchange.gateway.table.recordEndless(a.row)
	}
	switch {
	case context.Cause(a.ctx) == errWeightsOutdated:
		cause = causeWeightsOutdated
	case context.Cause(a.ctx) == errPathLost:
		cause = errPathLost.Error()
	case context.Cause(a.ctx) == errSilent:
		cause, a.outcome = "silent", outcomeFailure
		if !a.streamStarted.Load() && a.exchange.gateway.table.hasHeartbeat(a.row) {
			a.recordFirstByte() // it takes longer than that
		}
	case a.exchange.ctx.Err() == nil:
		a.outcome = outcomeFailure
		a.recordFailure()
	}
	return result{kind: resultUnknown, cause: cause}
}

// invalidResponse ends an attempt whose response is inconsistent with the request. The connection is not reused.
func (a *attempt) invalidResponse(cause string) result {
	_ = a.conn.Close()
	a.outcome = outcomeFailure
	return result{kind: resultUnknown, cause: cause}
}

// rejected ends an attempt whose back end reported that it did not run the request.
func (a *attempt) rejected(response *http.Response, info ResponseInfo) result {
	a.outcome = outcomeRejected
	rejection := result{kind: resultNotRun, cause: response.Status, retryAfter: info.RetryAfter, backoff: info.Signals.Backoff}
	err := discardBody(response)
	if err == errEndlessBody {
		a.exchange.gateway.table.recordEndless(a.row)
	}
	a.releaseConnection(response, err)
	return rejection
}

// releaseHead returns what the head of the response took, once.
func (a *attempt) releaseHead() {
	if !a.headReleased {
		a.headReleased = true
		a.conn.head.ReleaseHead()
	}
}

// releaseConnection returns the connection to the pool if request and response were transferred completely.
func (a *attempt) releaseConnection(response *http.Response, readErr error) {
	a.releaseHead()
	whole := readErr == nil && a.requestWritten() && a.ctx.Err() == nil
	a.exchange.gateway.pool.keep(a.row.entry.ID, a.conn, response, whole)
}

// relayBuffered reads the complete response before it relays it. If it reports a failure of the back end, a retryable
// request is retried instead, within the retry budget.
func (a *attempt) relayBuffered(response *http.Response) result {
	x := a.exchange
	length := response.ContentLength
	unsignedFailure := !a.signed && response.StatusCode >= http.StatusMultipleChoices
	if !bodyAllowed(x.request.Method, response.StatusCode) {
		length = 0 // Content-Length describes a body that is not sent
	}
	if length > maxBufferedResponse && !unsignedFailure {
		return a.relayUnbuffered(response, nil)
	}
	body, reserved, err := x.gateway.held.responses.readBody(io.LimitReader(response.Body, maxBufferedResponse+1), length)
	defer func() { x.gateway.held.responses.Release(reserved) }()
	switch {
	case unsignedFailure && len(body) > maxBufferedResponse:
		return a.connectionFailed(errEndlessBody)
	case errors.Is(err, errBufferLimit):
		return a.relayUnbuffered(response, body) // only gives up the retry if the response breaks off
	case err != nil:
		return a.connectionFailed(err)
	case len(body) > maxBufferedResponse:
		return a.relayUnbuffered(response, body)
	}
	if err := a.checkUnframedEnd(response, len(body) > 0); err != nil {
		return a.connectionFailed(err)
	}
	a.releaseConnection(response, nil)
	isFailure := response.StatusCode >= http.StatusInternalServerError
	a.outcome = outcomeSuccess
	if isFailure {
		a.outcome = outcomeFailure
	}
	if isFailure && x.route.Retryable() && !x.headRelayed.Load() && x.takeRetry() {
		return result{kind: resultFailed, cause: response.Status}
	}
	x.relayUnframed(response)
	x.relayHead(response, len(body))
	if x.write(body) != nil {
		x.recordServedBy(a)
		x.abandon()
	}
	x.finish(a, response.StatusCode)
	return result{kind: resultAnswered}
}

// relayUnbuffered relays a response that is too long for buffering, or for which the buffers are full. received is the
// part of its body that was read already.
func (a *attempt) relayUnbuffered(response *http.Response, received []byte) result {
	x := a.exchange
	x.relayUnframed(response)
	x.relayHead(response, int(response.ContentLength))
	err := x.write(received)
	if err == nil {
		err = x.relayBody(response.Body)
	}
	if err == nil {
		err = a.checkUnframedEnd(response, true)
	}
	if err != nil {
		_ = a.conn.Close()
		a.recordFailure()
		x.giveUp(reasonStreamBroken, 0)
	}
	a.outcome = outcomeSuccess
	a.releaseConnection(response, nil)
	x.finish(a, response.StatusCode)
	return result{kind: resultAnswered}
}

// relayHead sends the response head to the caller. length is the size of the body, or -1 if unknown.
func (x *exchange) relayHead(response *http.Response, length int) {
	header := x.writer.Header()
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	if length >= 0 && !x.unframed && bodyAllowed(x.request.Method, response.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	x.gateway.shutdown.closeConnection(header)
	x.headRelayed.Store(true)
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	x.writer.WriteHeader(response.StatusCode)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// recordServedBy records whose response the caller got, and a successful completion with the quarantine.
func (x *exchange) recordServedBy(a *attempt) {
	x.servedBy = a.row.entry.ID
	if a.outcome == outcomeSuccess {
		x.recordCompletion()
	}
}

// finish ends a request whose response was relayed completely.
func (x *exchange) finish(a *attempt, status int) {
	x.recordServedBy(a)
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Time{})
	x.logEnd(events.RequestAnswered, "", status)
}
