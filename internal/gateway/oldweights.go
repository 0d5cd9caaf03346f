package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// versionComparison is what an answer tells of a back end's weights, beside what was believed of them.
type versionComparison struct {
	believed     uint64        // now
	answered     uint64        // 0 unknown
	missingSince time.Duration // when the oldest version was named that the weights lack
	outdated     bool          // there is such a version
}

// compareVersions compares the weights of an answer, or the believed ones where it names none, with what was named.
func (g *Gateway) compareVersions(row *endpoint, model string, answered uint64) versionComparison {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	seen := versionComparison{believed: row.entry.Versions[model], answered: answered}
	held := answered
	if held == 0 {
		held = seen.believed
	}
	seen.missingSince, seen.outdated = g.table.published.OldestMissing(model, held)
	return seen
}

// logVersionMismatch logs that an answer names other weights than were expected or believed, or that a request began on weights that
// lack a named version: whether it was allowed to can't be told later without the limits that held.
func (a *attempt) logVersionMismatch(status int, verdict Verdict) {
	x := a.exchange
	begun := status < http.StatusMultipleChoices && verdict.Signed
	refused := verdict.NotRun && verdict.Version > 0
	if !x.service.Engine || !begun && !refused {
		return
	}
	g := x.gateway
	seen := g.compareVersions(a.row, x.call.Model, verdict.Version)
	expected := a.plan.version
	differs := seen.answered > 0 && (expected > 0 && seen.answered != expected || seen.answered != seen.believed)
	if !differs && !(begun && seen.outdated) {
		return
	}
	now := g.now()
	held, due := g.oldWeights.Due(now, a.row.entry.ID)
	if !due {
		return
	}
	fields := []zap.Field{
		zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, a.row.entry.ID), zap.String("model", x.call.Model),
		zap.Int("answer", status), zap.Uint64("expected", expected), zap.Uint64("believed", seen.believed),
		zap.Uint64("answered", seen.answered), zap.Duration(events.FieldElapsed, now-a.began), zap.Int("held", held),
	}
	g.log.note(events.WeightsMismatch, append(fields, a.deadlineFields(now, seen.missingSince, seen.outdated)...)...)
}

// deadlineFields returns the limits of an attempt that began, or was to, on weights that lack a version: the one known when its
// place was chosen, and the one that holds now.
func (a *attempt) deadlineFields(now, named time.Duration, lacks bool) []zap.Field {
	var fields []zap.Field
	if a.plan.startDeadline > 0 {
		fields = append(fields, zap.Duration(events.FieldPlacementDeadline, a.plan.startDeadline-now))
	}
	if lacks {
		left := named + a.exchange.gateway.settings.VersionLimit - now
		fields = append(fields, zap.Duration(events.FieldOutdatedFor, now-named), zap.Duration(events.FieldStartDeadline, left))
	}
	return fields
}

// outdatedFields returns the limits of an attempt that was ended for them.
func (a *attempt) outdatedFields() []zap.Field {
	x := a.exchange
	seen := x.gateway.compareVersions(a.row, x.call.Model, 0)
	fields := []zap.Field{zap.String("model", x.call.Model), zap.Uint64("expected", a.plan.version), zap.Uint64("believed", seen.believed)}
	return append(fields, a.deadlineFields(x.gateway.now(), seen.missingSince, seen.outdated)...)
}
