package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const (
	// minTransferTime is the least time of a copy, in milliseconds; farFactor is how much longer one between zones takes.
	minTransferTime = 4.0
	crossZoneFactor = 2.0
	// displacementWeight is what each copied token costs besides, as a part of the time of reading one.
	displacementWeight = 0.8
	// maxSaveWait is how long a store's link may be busy for parts to be saved there: copies that requests wait for come first.
	maxSaveWait           = 60 * time.Millisecond
	bitsPerByte           = 8
	bitsPerMegabit        = 1e6
	millisecondsPerSecond = 1e3
)

// source is a back end that is believed to hold leading parts of a prompt.
type source struct {
	row     *endpoint
	version uint64
	tokens  int
}

// sources returns back ends that hold leading shared parts of the prompt, each under the salt of its own weights, the
// deepest first, at most maximumHolders. Of the many that hold a common part a random sample is looked at, so that deciders
// which know the same don't all choose among the same few.
func (g *Gateway) sources(now time.Duration, in selectionInput) []source {
	shared := prefix.SharedParts(in.call.Parts)
	if !in.service.Engine || len(shared) == 0 || !in.trusted {
		return nil
	}
	found := make([]source, 0, maxSources)
	var salts saltCache
	for deepest := len(shared) - 1; deepest >= 0 && len(found) < maxSources; deepest-- {
		for _, row := range sampled(g.table.holders[shared[deepest].ID], holderSample) {
			if len(found) == maxSources || slices.ContainsFunc(found, func(other source) bool { return other.row == row }) {
				continue
			}
			if held, holds := g.sourceFrom(now, row, in, &salts); holds {
				found = append(found, held)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b source) int { return cmp.Compare(b.tokens, a.tokens) })
	return found
}

// sampled returns all of a few rows, and as many at random of more; a row may come twice then.
func sampled(rows []*endpoint, count int) []*endpoint {
	if len(rows) <= count {
		return rows
	}
	picked := make([]*endpoint, 0, count)
	for range count {
		picked = append(picked, rows[rand.IntN(len(rows))])
	}
	return picked
}

// saltCache keeps the salt of the weights that came last: few versions are about at a time, mostly one.
type saltCache struct {
	version uint64
	name    string
}

// of returns the salt of a version for a tenant.
func (k *saltCache) of(version uint64, tenant *catalog.Tenant) string {
	if k.name == "" || k.version != version {
		k.version, k.name = version, cacheSalt(version, tenant)
	}
	return k.name
}

// sourceFrom returns what a back end holds of a prompt's shared parts under its own weights, whose salt is kept in salts.
func (g *Gateway) sourceFrom(now time.Duration, row *endpoint, in selectionInput, salts *saltCache) (source, bool) {
	version := row.entry.Versions[in.call.Model]
	if version == 0 || row.entry.Service != in.service.Name || now < row.avoidUntil || row.entry.Loading {
		return source{}, false
	}
	tokens := row.cache.Cached(salts.of(version, in.tenant), prefix.SharedParts(in.call.Parts))
	return source{row: row, version: version, tokens: tokens}, tokens > 0
}

// copyPlan is one way to have missing shared parts at an engine.
type copyPlan struct {
	from   string  // address, or ""
	tokens int     // held there from the first part on
	time   float64 // milliseconds that the move takes
	cost   float64 // milliseconds, with the wait for its turn and what it displaces
}

// planFetch chooses how the engine gets the missing shared parts, and returns the tokens that need not be read. Reading them
// again is one of the ways: a copy that waits long for its turn is worth less than that. Where nobody is known to hold more,
// the store is asked: a miss costs next to nothing.
func (g *Gateway) planFetch(now time.Duration, scored *candidate, in selectionInput, cached int, sources []source) int {
	shared := prefix.SharedParts(in.call.Parts)
	sharedTokens := prefix.PartTokens(shared)
	stored := in.store != nil && g.table.stored.Holds(now, scored.salt, shared)
	best, found := copyPlan{tokens: cached}, false
	if g.on(mechanism.EngineTransfers) {
		best, found = g.bestEngineCopy(now, scored, in, cached, sources)
	}
	if stored {
		fromStore := g.storeCopy(now, scored, in, sharedTokens, cached)
		if !found || fromStore.netCost(cached) < best.netCost(cached) {
			best, found = fromStore, true
		}
	}
	scored.copyCostsMore = found && best.netCost(cached) >= 0
	switch {
	case found && best.netCost(cached) < 0:
		scored.fetchFrom, scored.cost = best.from, scored.cost+best.cost
		scored.transfer = belief.Transfer{From: best.from, Time: belief.FromMilliseconds(best.time)}
		return best.tokens
	case !stored && in.store != nil && g.table.links.Wait(now, in.store.StoreAddress) < maxSaveWait:
		scored.fetchFrom, scored.saveTo = in.store.StoreAddress, in.store.StoreAddress
		saved := g.storeCopy(now, scored, in, sharedTokens, cached) // the way there takes as long as the way back
		scored.transfer = belief.Transfer{From: saved.from, Time: belief.FromMilliseconds(saved.time)}
	}
	return cached
}

// netCost is what a way costs more than to read the parts, in milliseconds; below 0 it is the better one.
func (p copyPlan) netCost(cached int) float64 {
	return p.cost - (1+recomputeWeight)*float64(p.tokens-cached)/belief.PrefillRate
}

// bestEngineCopy returns the copy from an engine that costs least against reading.
func (g *Gateway) bestEngineCopy(now time.Duration, scored *candidate, in selectionInput, cached int, sources []source) (best copyPlan, found bool) {
	for _, other := range sources {
		if other.row == scored.row || other.version != scored.version || other.tokens <= cached {
			continue
		}
		crossZone := other.row.entry.Zone != scored.row.entry.Zone
		plan := g.copyPlan(now, in, other.row.entry.Address, in.service.LinkMbps, other.tokens, cached, crossZone)
		if !found || plan.netCost(cached) < best.netCost(cached) {
			best, found = plan, true
		}
	}
	return best, found
}

// storeCopy returns what a copy between the store and the engine costs.
func (g *Gateway) storeCopy(now time.Duration, scored *candidate, in selectionInput, tokens, cached int) copyPlan {
	crossZone := in.store.Zone != scored.row.entry.Zone
	return g.copyPlan(now, in, in.store.StoreAddress, in.store.LinkMbps, tokens, cached, crossZone)
}

// copyPlan returns what a copy of the tokens beyond the cached ones costs over a link of so many Mbit/s.
func (g *Gateway) copyPlan(now time.Duration, in selectionInput, from string, linkMbps float64, tokens, cached int, crossZone bool) copyPlan {
	plan := copyPlan{from: from, tokens: tokens, time: transferTime(in.service, linkMbps, tokens-cached, crossZone)}
	plan.cost = plan.time
	if g.on(mechanism.EvictionCost) {
		plan.cost += displacementWeight * float64(tokens-cached) / belief.PrefillRate
	}
	if g.on(mechanism.LinkQueueing) {
		plan.cost += belief.Milliseconds(g.table.links.Wait(now, from))
	}
	return plan
}

// transferTime is how long copying cached tokens takes over the slower of two links, in milliseconds.
func transferTime(service *catalog.Service, linkMbps float64, tokens int, crossZone bool) float64 {
	if service.LinkMbps <= 0 || linkMbps <= 0 {
		return minTransferTime
	}
	bits := float64(tokens) * service.KVBytesPerToken * bitsPerByte
	time := bits / (min(service.LinkMbps, linkMbps) * bitsPerMegabit) * millisecondsPerSecond
	if crossZone {
		time *= crossZoneFactor
	}
	return minTransferTime + time
}
