package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// giveUp gives the final answer at once: 503 with the time to come back when the request has not run, else 502 or 504.
func (x *exchange) giveUp(reason string, retryAfter time.Duration) {
	if x.relayed {
		x.logEnd(events.RequestRefused, reasonBroken, 0)
		panic(http.ErrAbortHandler) // an answer that has begun must not look complete
	}
	switch {
	case !x.mayHave:
		x.refuse(http.StatusServiceUnavailable, reason, max(retrySoon, retryAfter))
	case reason == reasonDeadline:
		x.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		x.refuse(http.StatusBadGateway, reason, 0)
	}
}

// abandon ends a request whose caller has left.
func (x *exchange) abandon() {
	x.logEnd(events.RequestRefused, reasonCallerGone, 0)
	panic(http.ErrAbortHandler)
}

// refuse answers a request itself.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.logEnd(events.RequestRefused, reason, status)
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, `{"type":"urn:kitetiller:`+reason+`","status":`+strconv.Itoa(status)+`}`)
}

// logEnd writes the one line that each request leaves.
func (x *exchange) logEnd(event, reason string, status int) {
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.Int(events.FieldStatus, status), zap.Int(events.FieldSent, x.sent),
		zap.Duration(events.FieldTook, x.gateway.now()-x.arrived),
	}
	if reason != "" {
		fields = append(fields, zap.String(events.FieldReason, reason))
	}
	if x.route != nil {
		fields = append(fields, zap.String(events.FieldRoute, x.route.Name), zap.Uint64(events.FieldRevision, x.view.document.Revision))
	}
	if x.firstAt > 0 {
		fields = append(fields, zap.Duration("first", x.firstAt-x.arrived), zap.Duration("pause", x.pause))
	}
	if event == events.RequestAnswered && x.late() {
		fields = append(fields, zap.Bool(events.FieldLate, true))
	}
	if reason == reasonUntrusted {
		fields = append(fields, zap.Duration("unconfirmed", x.gateway.now()-time.Duration(x.gateway.confirm.Load())))
	}
	if reason == reasonHeldBack {
		fields = append(fields, zap.Stringer(events.FieldFingerprint, x.print), zap.Int(events.FieldLives, x.crashCount()))
	}
	if x.plan != nil && x.service.Engine {
		fields = append(fields, zap.Float64(events.FieldPredicted, x.plan.wait), zap.Int(events.FieldUncached, x.plan.uncached), zap.String(events.FieldFrom, x.plan.fetchFrom),
			zap.Bool(events.FieldScheduled, x.plan.scheduled != nil))
		if x.plan.recomputed > 0 {
			fields = append(fields, zap.Int(events.FieldReread, x.plan.recomputed), zap.String(events.FieldRereadWhy, string(x.plan.recomputeReason)))
		}
	}
	if x.atRest > 0 {
		fields = append(fields, zap.Duration(events.FieldSentAtRest, x.atRest))
	}
	if x.limited.Advertised {
		fields = append(fields, zap.Float64(events.FieldLimit, x.limited.Rate))
	}
	if x.served != "" {
		fields = append(fields, zap.String(events.FieldInstance, x.served))
	}
	x.gateway.log.note(event, fields...)
	x.gateway.metrics.ended(event, reason)
}

// late reports whether the answer, or its first event, came after the route's objective, or with too long a pause.
func (x *exchange) late() bool {
	took := x.gateway.now() - x.arrived
	if x.firstAt > 0 {
		took = x.firstAt - x.arrived
	}
	return x.route.Objective > 0 && took > x.route.Objective || x.route.MaxEventGap > 0 && x.pause > x.route.MaxEventGap
}

func (x *exchange) logFailure(sent *attempt, failed result) {
	x.gateway.metrics.attempts.WithLabelValues(failed.kind.String()).Inc()
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, sent.row.entry.ID),
		zap.String("result", failed.kind.String()), zap.String(events.FieldCause, failed.cause), zap.Int(events.FieldSent, x.sent),
		zap.Duration(events.FieldTook, x.gateway.now()-sent.began),
	}
	if sent.looked != nil {
		fields = append(fields, zap.Stringer(events.FieldFingerprint, x.print))
	}
	if sent.asked > 0 {
		fields = append(fields, zap.Duration(events.FieldRest, sent.asked))
	}
	if sent.atRest > 0 {
		fields = append(fields, zap.Duration(events.FieldSentAtRest, sent.atRest))
	}
	if failed.cause == causeOutdated {
		fields = append(fields, sent.outdatedFields()...)
	}
	x.gateway.log.note(events.AttemptFailed, fields...)
}
