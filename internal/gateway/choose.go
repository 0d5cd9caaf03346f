package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/prefix"
)

const (
	// prefillRate is how many prompt tokens an engine is taken to read in a millisecond.
	prefillRate = 40.0
	// runningCost is what each running request adds to a request's time at an engine, in milliseconds.
	runningCost = 0.6
	// slotTime is the work of a typical request at a service without prompts, in milliseconds.
	slotTime = 40.0
	// zoneCost is what a back end in another zone costs, in milliseconds of waiting.
	zoneCost = 4.0
	// avoidCost, silentCost and failingCost keep requests from back ends that are in doubt, in milliseconds.
	avoidCost   = 2000.0
	silentCost  = 300.0
	failingCost = 400.0
	// coldCost is what a back end that has just started costs, in milliseconds.
	coldCost = 40.0
	// templateShare is the part of the first shared part that any engine is taken to hold.
	templateShare = 0.5
)

// candidate is one back end as the decision sees it.
type candidate struct {
	row      *endpoint
	cost     float64 // milliseconds
	uncached int     // prompt tokens to read
}

// need is what a decision depends on.
type need struct {
	service *catalog.Service
	call    *Call
	tried   []*endpoint
}

// choose filters, scores and picks the back end of least cost, or returns nil. avoided tells whether the best one is in
// doubt.
func (g *Gateway) choose(now time.Duration, wish need) (best *candidate, avoided bool) {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	rows := g.table.services[wish.service.Name]
	owner := g.owner(now, rows, wish)
	for _, row := range rows {
		if !g.eligible(now, row, wish) {
			continue
		}
		scored := g.score(now, row, wish, row == owner)
		if best == nil || scored.cost < best.cost {
			best = &scored
		}
	}
	return best, best != nil && best.cost >= avoidCost
}

// eligible reports whether a back end may get a new request at all.
func (g *Gateway) eligible(now time.Duration, row *endpoint, wish need) bool {
	if row.entry.State != catalog.StateReady || row.entry.Loading || slices.Contains(wish.tried, row) {
		return false
	}
	return !g.outdated(now, row, wish.call.Model)
}

// outdated reports whether a back end's weights are older than may still be used: the time counts from when the oldest
// version that it lacks was named, not the newest.
func (g *Gateway) outdated(now time.Duration, row *endpoint, model string) bool {
	held, holds := row.entry.Versions[model]
	if !holds {
		return false
	}
	for _, version := range g.table.named[model] {
		if version.version > held {
			return now-version.namedAt > g.settings.VersionWait
		}
	}
	return false
}

// owner returns the back end on which requests with the same shared prompt meet: the highest random weight among those
// that may be used (rendezvous hashing), so that all gateways agree without a word.
func (g *Gateway) owner(now time.Duration, rows []*endpoint, wish need) *endpoint {
	if !wish.service.Engine || len(wish.call.Parts) == 0 {
		return nil
	}
	key := prefix.AffinityKey(wish.call.Parts)
	var best *endpoint
	var highest uint64
	for _, row := range rows {
		if !g.eligible(now, row, wish) || now < row.avoidTo {
			continue
		}
		weight := xxhash.Sum64String(key + "@" + row.entry.Address)
		if best == nil || weight > highest {
			best, highest = row, weight
		}
	}
	return best
}

// score predicts the time to the first event at a back end, in milliseconds, with what speaks against it.
func (g *Gateway) score(now time.Duration, row *endpoint, wish need, owner bool) candidate {
	scored := candidate{row: row}
	if wish.service.Engine {
		scored.uncached = uncachedTokens(wish.call, owner)
		scored.cost = float64(row.prefill+scored.uncached)/prefillRate + runningCost*float64(row.running+row.others)
	} else {
		scored.cost = slotTime * float64(row.running+row.others) / float64(max(1, row.entry.Slots))
	}
	if row.entry.Zone != g.settings.Zone {
		scored.cost += zoneCost
	}
	scored.cost += doubt(now, row)
	return scored
}

// uncachedTokens estimates the prompt tokens that an engine has to read.
func uncachedTokens(call *Call, owner bool) int {
	shared := call.Parts[:prefix.Shared(call.Parts)]
	total := max(call.PromptTokens, prefix.PartTokens(call.Parts))
	switch {
	case owner:
		return total - prefix.PartTokens(shared)
	case len(shared) > 1:
		return total - int(templateShare*float64(shared[0].Tokens))
	}
	return total
}

// doubt is what speaks against a back end, in milliseconds.
func doubt(now time.Duration, row *endpoint) float64 {
	cost := failingCost * row.failing
	if now < row.avoidTo || row.mute(now) {
		cost += avoidCost
	}
	if row.entry.Silent {
		cost += silentCost
	}
	if now < row.heardAt+row.entry.ColdLeft {
		cost += coldCost
	}
	return cost
}

// salt names the cached parts that a request may share: those of the same weights, and of the same tenant where it
// shares nothing.
func salt(version uint64, owner *catalog.Tenant) string {
	name := "w" + formatVersion(version)
	if owner != nil && owner.Isolated {
		name += "/" + owner.Name
	}
	return name
}

// rank is the priority of a request at an engine: the tenant's comes first.
func rank(owner *catalog.Tenant, route *catalog.Route) int {
	tenant := 0
	if owner != nil {
		tenant = owner.Priority
	}
	return min(lowestRank, tenant*rankStep+route.Priority)
}

const (
	lowestRank = 9
	rankStep   = 3
)
