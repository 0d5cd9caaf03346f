package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
)

// startDeadline returns until when requests may begin on a back end's weights, if newer ones were named. The time counts
// from when the oldest version that it lacks was named, not the newest. The caller holds the table's mutex, and asks again
// whenever it acts: news move the limit.
func (g *Gateway) startDeadline(row *endpoint, service *catalog.Service, model string) (time.Duration, bool) {
	namedAt, lacks := g.missingSince(row, service, model)
	return namedAt + g.settings.VersionLimit, lacks
}

// missingSince returns when the oldest version that a back end lacks was named, if there is one. An engine whose weights are
// not known may have any old ones, so it counts as lacking all; a plain service has none to lack.
func (g *Gateway) missingSince(row *endpoint, service *catalog.Service, model string) (time.Duration, bool) {
	held, holds := row.entry.Versions[model]
	if !holds && !service.Engine {
		return 0, false
	}
	return g.table.published.OldestMissing(model, held)
}

// placementDeadline is beginLimit for a place that was chosen. A request begins on the weights that it expects or nowhere, and whoever chose
// them may believe others than this gateway does now, so the oldest version counts that either lack. One that expects none begins on
// whatever is there. The caller holds the table's mutex.
func (g *Gateway) placementDeadline(placed *candidate, service *catalog.Service, model string) (time.Duration, bool) {
	limit, limited := g.startDeadline(placed.row, service, model)
	if placed.version == 0 || placed.version >= placed.row.entry.Versions[model] {
		return limit, limited
	}
	namedAt, lacks := g.table.published.OldestMissing(model, placed.version)
	if !lacks {
		return limit, limited
	}
	expected := namedAt + g.settings.VersionLimit
	if !limited {
		return expected, true
	}
	return min(limit, expected), true
}

// startsTooLate reports whether a request would likely begin after the limit that holds now at a place that was chosen. The caller
// holds the table's mutex.
func (g *Gateway) startsTooLate(now time.Duration, placed *candidate, service *catalog.Service, model string) bool {
	limit, limited := g.placementDeadline(placed, service, model)
	return limited && placed.startsAfter(now, limit)
}

// scoredTooLate is beginsTooLate for a place that was just scored, and notes the limit with it.
func (g *Gateway) scoredTooLate(now time.Duration, scored *candidate, in selectionInput) bool {
	limit, limited := g.placementDeadline(scored, in.service, in.call.Model)
	if !limited {
		return false
	}
	scored.startDeadline = limit
	return scored.startsAfter(now, limit)
}

// startsAfter reports whether a request that is sent now would likely begin after a limit.
func (c *candidate) startsAfter(now, limit time.Duration) bool {
	return now+belief.FromMilliseconds(beginFactor*c.wait) >= limit-beginMargin
}

// watchStartDeadline ends the attempt if it has not begun when the limit for its back end's weights nears, and looks again then.
func (a *attempt) watchStartDeadline() {
	g := a.exchange.gateway
	g.table.mutex.Lock()
	late := a.armDeadlineTimer(g.now())
	g.table.mutex.Unlock()
	if late {
		a.cancel(errOutdated)
	}
}

// watchStartDeadlines sets the watch of all attempts that wait to the limits that hold now: news may have brought one forward, or the
// first one.
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
		sent.cancel(errOutdated)
	}
}

// armDeadlineTimer sets the attempt's watch to the limit that holds now, and reports whether it must be taken back at once. A limit
// that moved later, or is gone, is seen when the timer fires. The caller holds the table's mutex.
func (a *attempt) armDeadlineTimer(now time.Duration) (late bool) {
	x := a.exchange
	if _, waits := a.row.waiting[a]; !waits {
		return false
	}
	limit, limited := x.gateway.startDeadline(a.row, x.service, x.call.Model)
	left := limit - takeBackMargin - now
	switch {
	case !limited:
		return false
	case left <= 0:
		return true
	case a.limit == nil:
		a.limit = time.AfterFunc(left, a.watchStartDeadline)
	default:
		a.limit.Reset(left)
	}
	return false
}

// cacheSalt names the cached parts that a request may share: those of the same weights, and of the same tenant where it
// shares nothing.
func cacheSalt(version uint64, tenant *catalog.Tenant) string {
	name := "w" + formatVersion(version)
	if tenant != nil && tenant.Isolated {
		name += "/" + tenant.Name
	}
	return name
}

// uniqueSalt names cached parts that nobody shares, for where it is not known which weights made them.
func uniqueSalt() string { return "u" + strconv.FormatUint(rand.Uint64(), saltBase) }

const saltBase = 36
