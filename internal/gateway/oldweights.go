package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// versionComparison is the weight version that a response reports, compared with what is known.
type versionComparison struct {
	known        uint64        // known version
	reported     uint64        // version in the response, or 0
	missingSince time.Duration // when the oldest version that the back end lacks was published
	outdated     bool          // the back end lacks a version
}

// compareVersions compares the version of a response, or the known one if it reports none, with the published
// versions.
func (g *Gateway) compareVersions(row *endpoint, model string, reported uint64) versionComparison {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	seen := versionComparison{known: row.entry.Versions[model], reported: reported}
	version := reported
	if version == 0 {
		version = seen.known
	}
	seen.missingSince, seen.outdated = g.table.published.OldestMissing(model, version)
	return seen
}

// logVersionMismatch logs that a response reports other weights than expected or known, or that a request started
// on outdated weights, with the deadlines in force.
func (a *attempt) logVersionMismatch(status int, verdict ResponseInfo) {
	x := a.exchange
	started := status < http.StatusMultipleChoices && verdict.Signed
	rejected := verdict.NotRun && verdict.WeightsVersion > 0
	if !x.service.Engine || !started && !rejected {
		return
	}
	g := x.gateway
	seen := g.compareVersions(a.row, x.call.Model, verdict.WeightsVersion)
	expected := a.plan.version
	differs := seen.reported > 0 && (expected > 0 && seen.reported != expected || seen.reported != seen.known)
	if !differs && !(started && seen.outdated) {
		return
	}
	now := g.now()
	suppressed, due := g.weightsLogLimiter.Allow(now, a.row.entry.ID)
	if !due {
		return
	}
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, a.row.entry.ID), zap.String("model", x.call.Model),
		zap.Int("answer", status), zap.Uint64("expected", expected), zap.Uint64("believed", seen.known),
		zap.Uint64("answered", seen.reported), zap.Duration(events.FieldElapsed, now-a.startedAt), zap.Int("held", suppressed),
	}
	g.log.info(events.WeightsMismatch, append(fields, a.deadlineFields(now, seen.missingSince, seen.outdated)...)...)
}

// deadlineFields returns the log fields for the start deadline known at the decision and the current one.
func (a *attempt) deadlineFields(now, publishedAt time.Duration, outdated bool) []zap.Field {
	var fields []zap.Field
	if a.plan.startDeadline > 0 {
		fields = append(fields, zap.Duration(events.FieldPlacementDeadline, a.plan.startDeadline-now))
	}
	if outdated {
		left := publishedAt + a.exchange.gateway.settings.OldWeightsStartLimit - now
		fields = append(fields, zap.Duration(events.FieldOutdatedFor, now-publishedAt), zap.Duration(events.FieldStartDeadline, left))
	}
	return fields
}

// outdatedFields returns the log fields of an attempt that was canceled at its start deadline.
func (a *attempt) outdatedFields() []zap.Field {
	x := a.exchange
	seen := x.gateway.compareVersions(a.row, x.call.Model, 0)
	fields := []zap.Field{zap.String("model", x.call.Model), zap.Uint64("expected", a.plan.version), zap.Uint64("believed", seen.known)}
	return append(fields, a.deadlineFields(x.gateway.now(), seen.missingSince, seen.outdated)...)
}
