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
	if x.headRelayed {
		x.logEnd(events.RequestRejected, reasonStreamBroken, 0)
		panic(http.ErrAbortHandler) // an answer that has begun must not look complete
	}
	switch {
	case !x.mayHaveRun:
		x.reject(http.StatusServiceUnavailable, reason, max(minRetryAfter, retryAfter))
	case reason == reasonDeadline:
		x.reject(http.StatusGatewayTimeout, reason, 0)
	default:
		x.reject(http.StatusBadGateway, reason, 0)
	}
}

// abandon ends a request whose caller has left.
func (x *exchange) abandon() {
	x.logEnd(events.RequestRejected, reasonCallerGone, 0)
	panic(http.ErrAbortHandler)
}

// reject answers a request itself.
func (x *exchange) reject(status int, reason string, retryAfter time.Duration) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.logEnd(events.RequestRejected, reason, status)
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, `{"type":"urn:kitetiller:`+reason+`","status":`+strconv.Itoa(status)+`}`)
}

// logEnd writes the one line that each request leaves.
func (x *exchange) logEnd(event, reason string, status int) {
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.Int(events.FieldStatus, status), zap.Int(events.FieldAttempts, x.sentCount),
		zap.Duration(events.FieldElapsed, x.gateway.now()-x.arrived),
	}
	if reason != "" {
		fields = append(fields, zap.String(events.FieldReason, reason))
	}
	if x.route != nil {
		fields = append(fields, zap.String(events.FieldRoute, x.route.Name), zap.Uint64(events.FieldRevision, x.view.document.Revision))
	}
	if x.firstEventAt > 0 {
		fields = append(fields, zap.Duration("first", x.firstEventAt-x.arrived), zap.Duration("pause", x.longestGap))
	}
	if event == events.RequestAnswered && x.missedObjective() {
		fields = append(fields, zap.Bool(events.FieldObjectiveMissed, true))
	}
	if reason == reasonViewUnconfirmed {
		fields = append(fields, zap.Duration("unconfirmed", x.gateway.now()-time.Duration(x.gateway.confirmedAt.Load())))
	}
	if reason == reasonQuarantined {
		fields = append(fields, zap.Stringer(events.FieldFingerprint, x.cachedFingerprint), zap.Int(events.FieldIncarnations, x.lives()))
	}
	if x.placement != nil && x.service.Engine {
		fields = append(fields, zap.Float64(events.FieldPredictedWait, x.placement.wait), zap.Int(events.FieldUncachedTokens, x.placement.uncached), zap.String(events.FieldCacheSource, x.placement.fetchFrom),
			zap.Bool(events.FieldScheduled, x.placement.scheduled != nil))
		if x.placement.recomputed > 0 {
			fields = append(fields, zap.Int(events.FieldRecomputedTokens, x.placement.recomputed), zap.String(events.FieldRecomputeReason, string(x.placement.recomputeReason)))
		}
	}
	if x.backoffLeft > 0 {
		fields = append(fields, zap.Duration(events.FieldBackoffLeftAtSend, x.backoffLeft))
	}
	if x.advertisedLimit.Advertised {
		fields = append(fields, zap.Float64(events.FieldAdvertisedLimit, x.advertisedLimit.Rate))
	}
	if x.servedBy != "" {
		fields = append(fields, zap.String(events.FieldInstance, x.servedBy))
	}
	x.gateway.log.info(event, fields...)
	x.gateway.metrics.recordOutcome(event, reason)
}

// missedObjective reports whether the answer, or its first event, came after the route's objective, or with too long a pause.
func (x *exchange) missedObjective() bool {
	elapsed := x.gateway.now() - x.arrived
	if x.firstEventAt > 0 {
		elapsed = x.firstEventAt - x.arrived
	}
	return x.route.Objective > 0 && elapsed > x.route.Objective || x.route.MaxEventGap > 0 && x.longestGap > x.route.MaxEventGap
}

func (x *exchange) logFailure(sent *attempt, failed result) {
	x.gateway.metrics.attempts.WithLabelValues(failed.kind.String()).Inc()
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, sent.row.entry.ID),
		zap.String("result", failed.kind.String()), zap.String(events.FieldCause, failed.cause), zap.Int(events.FieldAttempts, x.sentCount),
		zap.Duration(events.FieldElapsed, x.gateway.now()-sent.startedAt),
	}
	if sent.crashChecked != nil {
		fields = append(fields, zap.Stringer(events.FieldFingerprint, x.cachedFingerprint))
	}
	if sent.requestedBackoff > 0 {
		fields = append(fields, zap.Duration(events.FieldBackoff, sent.requestedBackoff))
	}
	if sent.backoffLeft > 0 {
		fields = append(fields, zap.Duration(events.FieldBackoffLeftAtSend, sent.backoffLeft))
	}
	if failed.cause == causeWeightsOutdated {
		fields = append(fields, sent.outdatedFields()...)
	}
	x.gateway.log.info(events.AttemptFailed, fields...)
}
