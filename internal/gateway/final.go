package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// giveUp ends a request without a back end's response: with 503 and a retry time if it certainly has not run, else with
// 504 after the deadline and 502 otherwise. A response already begun is cut off.
func (x *exchange) giveUp(reason string, retryAfter time.Duration) {
	if x.headRelayed.Load() {
		x.logEnd(events.RequestRejected, reasonStreamBroken, 0)
		x.abort()
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

// abandon ends a request whose caller has disconnected.
func (x *exchange) abandon() {
	x.logEnd(events.RequestRejected, reasonCallerGone, 0)
	x.abort()
}

// reject responds with a status and reason of the gateway's own. retryAfter of 0 gives no retry time.
func (x *exchange) reject(status int, reason string, retryAfter time.Duration) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.gateway.shutdown.closeConnection(header)
	x.logEnd(events.RequestRejected, reason, status)
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, `{"type":"urn:kitetiller:`+reason+`","status":`+strconv.Itoa(status)+`}`)
}

// logEnd logs the outcome of a request, once per request, and counts it.
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
	if x.begunAt != nil {
		fields = append(fields, zap.String(events.FieldSoftware, x.gateway.table.softwareOf(x.begunAt).Name()))
	}
	if event == events.RequestAnswered && x.missedObjective() {
		fields = append(fields, zap.Bool(events.FieldObjectiveMissed, true))
	}
	if reason == reasonViewUnconfirmed {
		fields = append(fields, zap.Duration("unconfirmed", x.gateway.now()-time.Duration(x.gateway.confirmedAt.Load())))
	}
	if reason == reasonQuarantined {
		fields = append(fields, x.quarantineFields()...)
	}
	if x.placement != nil && x.service.Engine {
		fields = append(fields, zap.Float64(events.FieldPredictedWait, x.placement.wait), zap.Int(events.FieldUncachedTokens, x.placement.uncached), zap.String(events.FieldCacheSource, x.placement.fetchFrom),
			zap.Bool(events.FieldScheduled, x.placement.scheduled != nil))
		if x.placement.slowness > 0 {
			fields = append(fields, zap.Float64(events.FieldQueueWait, x.placement.queueWait), zap.Float32(events.FieldPredictedPause, x.placement.pause), zap.Float32(events.FieldSlowness, x.placement.slowness))
		}
		if x.placement.copySource != copyUnplanned {
			fields = append(fields, zap.Stringer(events.FieldCopySource, x.placement.copySource))
		}
		if x.placement.storeGap != storeGapNone {
			fields = append(fields, zap.Stringer(events.FieldStoreGap, x.placement.storeGap))
		}
		if x.placement.recomputed > 0 {
			fields = append(fields, zap.Int(events.FieldRecomputedTokens, x.placement.recomputed), zap.String(events.FieldRecomputeReason, string(x.placement.recomputeReason)))
		}
	}
	fields = append(fields, x.reservationFields()...)
	fields = append(fields, x.slot.fields()...)
	if x.backoffLeft > 0 {
		fields = append(fields, zap.Duration(events.FieldBackoffLeftAtSend, x.backoffLeft))
	}
	if x.advertisedLimit.Advertised {
		fields = append(fields, zap.Float64(events.FieldAdvertisedLimit, x.advertisedLimit.Rate))
	}
	if x.servedBy != "" {
		fields = append(fields, zap.String(events.FieldInstance, x.servedBy))
	}
	if x.peer != "" {
		fields = append(fields, zap.String(events.FieldPeer, x.peer))
	}
	fields = append(fields, x.originFields()...)
	fields = append(fields, x.copyFields()...)
	x.gateway.log.info(event, fields...)
	x.gateway.metrics.recordOutcome(event, reason)
	if event == events.RequestAnswered {
		x.gateway.recordStage(stageAnswer)
	}
}

// missedObjective reports whether the response, or the first event of a stream, took longer than the route's objective,
// or whether a gap between events exceeded the route's maximum.
func (x *exchange) missedObjective() bool {
	elapsed := x.gateway.now() - x.arrived
	if x.firstEventAt > 0 {
		elapsed = x.firstEventAt - x.arrived
	}
	return x.route.Objective > 0 && elapsed > x.route.Objective || x.route.MaxEventGap > 0 && x.longestGap > x.route.MaxEventGap
}

// logFailure logs and counts a failed attempt.
func (x *exchange) logFailure(a *attempt, res result) {
	x.gateway.metrics.attempts.WithLabelValues(res.kind.String()).Inc()
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, a.row.entry.ID),
		zap.String("result", res.kind.String()), zap.String(events.FieldCause, res.cause), zap.Int(events.FieldAttempts, x.sentCount),
		zap.Duration(events.FieldElapsed, x.gateway.now()-a.startedAt),
	}
	if a.crashChecked != nil {
		fields = append(fields, zap.Stringer(events.FieldFingerprint, x.cachedSubject.Request))
	}
	if a.requestedBackoff > 0 {
		fields = append(fields, zap.Duration(events.FieldBackoff, a.requestedBackoff))
	}
	if a.backoffLeft > 0 {
		fields = append(fields, zap.Duration(events.FieldBackoffLeftAtSend, a.backoffLeft))
	}
	if res.cause == causeWeightsOutdated {
		fields = append(fields, a.outdatedFields()...)
	}
	x.gateway.log.info(events.AttemptFailed, fields...)
}
