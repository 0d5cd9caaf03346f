package gateway

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
)

// startDeadline returns the time by which requests must start on a back end's weights, if newer versions were
// published. It counts from the oldest version that the back end lacks. The caller holds the table's mutex, and
// must not keep the result, since updates change it.
func (g *Gateway) startDeadline(row *endpoint, service *catalog.Service, model string) (time.Duration, bool) {
	publishedAt, outdated := g.missingSince(row, service, model)
	return publishedAt + g.settings.OldWeightsStartLimit, outdated
}

// missingSince returns when the oldest version that a back end lacks was published, if there is one. An engine
// with unknown weights counts as lacking all versions; a back end of a service without engines lacks none unless
// it has reported one.
func (g *Gateway) missingSince(row *endpoint, service *catalog.Service, model string) (time.Duration, bool) {
	held, known := row.entry.Versions[model]
	if !known && !service.Engine {
		return 0, false
	}
	return g.table.published.OldestMissing(model, held)
}

// placementDeadline returns the start deadline of a request placed by a decision that may have expected older
// weights than are known now. The request starts only on the weights that it expects, so the oldest version that
// either lacks counts. A request that expects none starts on any. The caller holds the table's mutex.
func (g *Gateway) placementDeadline(placed *candidate, service *catalog.Service, model string) (time.Duration, bool) {
	deadline, hasDeadline := g.startDeadline(placed.row, service, model)
	if placed.version == 0 || placed.version >= placed.row.entry.Versions[model] {
		return deadline, hasDeadline
	}
	publishedAt, outdated := g.table.published.OldestMissing(model, placed.version)
	if !outdated {
		return deadline, hasDeadline
	}
	expected := publishedAt + g.settings.OldWeightsStartLimit
	if !hasDeadline {
		return expected, true
	}
	return min(deadline, expected), true
}

// startsTooLate reports whether a placed request would likely start after its current deadline. The caller holds
// the table's mutex.
func (g *Gateway) startsTooLate(now time.Duration, placed *candidate, service *catalog.Service, model string) bool {
	deadline, hasDeadline := g.placementDeadline(placed, service, model)
	return hasDeadline && placed.startsAfter(now, deadline)
}

// scoredTooLate is startsTooLate for a candidate that was just scored, and stores the deadline in it.
func (g *Gateway) scoredTooLate(now time.Duration, scored *candidate, in selectionInput) bool {
	deadline, hasDeadline := g.placementDeadline(scored, in.service, in.call.Model)
	if !hasDeadline {
		return false
	}
	scored.startDeadline = deadline
	return scored.startsAfter(now, deadline)
}

// startsAfter reports whether a request sent now would likely start after a deadline.
func (c *candidate) startsAfter(now, deadline time.Duration) bool {
	return now+belief.FromMilliseconds(startTimeFactor*c.wait) >= deadline-startMargin
}

// watchStartDeadline cancels the attempt if it has not started shortly before its start deadline, and otherwise
// sets a timer to check again.
func (a *attempt) watchStartDeadline() {
	g := a.exchange.gateway
	g.table.mutex.Lock()
	late := a.armDeadlineTimer(g.now())
	g.table.mutex.Unlock()
	if late {
		a.cancel(errWeightsOutdated)
	}
}

// watchStartDeadlines updates the deadline timers of all waiting attempts, for use when published versions have
// changed.
func (g *Gateway) watchStartDeadlines() {
	var late []*attempt
	g.table.mutex.Lock()
	now := g.now()
	for sent := range g.table.waiting {
		if sent.armDeadlineTimer(now) {
			late = append(late, sent)
		}
	}
	g.table.mutex.Unlock()
	for _, sent := range late {
		sent.cancel(errWeightsOutdated)
	}
}

// armDeadlineTimer sets the attempt's timer to its current start deadline, and reports whether the attempt must be
// canceled at once. A deadline that has moved later is noticed when the timer fires. The caller holds the table's
// mutex.
func (a *attempt) armDeadlineTimer(now time.Duration) (late bool) {
	x := a.exchange
	if _, waits := a.row.waiting[a]; !waits {
		return false
	}
	deadline, hasDeadline := x.gateway.startDeadline(a.row, x.service, x.call.Model)
	left := deadline - cancelMargin - now
	switch {
	case !hasDeadline:
		return false
	case left <= 0:
		return true
	case a.startTimer == nil:
		a.startTimer = time.AfterFunc(left, a.watchStartDeadline)
	default:
		a.startTimer.Reset(left)
	}
	return false
}
