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
	// minTransferTime is the minimum duration of a copy, in milliseconds; crossZoneFactor multiplies that of copies
	// between zones.
	minTransferTime = 4.0
	crossZoneFactor = 2.0
	// displacementWeight is the cost of each copied token for evicting others, as a fraction of the prefill time of a
	// token.
	displacementWeight = 0.8
	// maxSaveWait is how long a store's link may be busy for parts to be saved there; copies that requests wait for
	// take precedence.
	maxSaveWait           = 60 * time.Millisecond
	bitsPerByte           = 8
	bitsPerMegabit        = 1e6
	millisecondsPerSecond = 1e3
)

// source is a back end that is estimated to have leading parts of a prompt cached.
type source struct {
	row     *endpoint
	version uint64
	tokens  int
}

// sources returns up to maxSources back ends that have leading shared parts of the prompt cached, each under the
// salt of its own weights, those with the most tokens first. Of the many holders of a common part a random sample
// is checked, so that gateways with equal knowledge do not all choose among the same few.
func (g *Gateway) sources(now time.Duration, in selectionInput) []source {
	shared := prefix.SharedParts(in.call.Parts)
	if !in.service.Engine || len(shared) == 0 || !in.trusted {
		return nil
	}
	found := make([]source, 0, maxSources)
	salts := saltCache{namespace: in.namespace}
	for deepest := len(shared) - 1; deepest >= 0 && len(found) < maxSources; deepest-- {
		for _, row := range sampled(g.table.holders[shared[deepest].ID], holderSample) {
			if len(found) == maxSources || slices.ContainsFunc(found, func(other source) bool { return other.row == row }) {
				continue
			}
			if cached, ok := g.sourceFrom(now, row, in, &salts); ok {
				found = append(found, cached)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b source) int { return cmp.Compare(b.tokens, a.tokens) })
	return found
}

// sampled returns all rows if there are at most count, else count random ones with replacement.
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

// saltCache caches the last computed salt; most back ends have the same version.
type saltCache struct {
	namespace namespace
	version   uint64
	name      string
}

// of returns the salt of a version.
func (k *saltCache) of(version uint64) string {
	if k.name == "" || k.version != version {
		k.version, k.name = version, k.namespace.salt(version)
	}
	return k.name
}

// sourceFrom returns what a back end has cached of a prompt's shared parts under its own weights.
func (g *Gateway) sourceFrom(now time.Duration, row *endpoint, in selectionInput, salts *saltCache) (source, bool) {
	version := row.entry.Versions[in.call.Model]
	if version == 0 || row.entry.Service != in.service.Name || now < row.avoidUntil || row.entry.Loading {
		return source{}, false
	}
	tokens := row.cache.Cached(salts.of(version), prefix.SharedParts(in.call.Parts))
	return source{row: row, version: version, tokens: tokens}, tokens > 0
}

// copyPlan is a way to get missing shared parts to an engine.
type copyPlan struct {
	from   string  // address, or ""
	tokens int     // leading tokens cached there
	time   float64 // duration of the transfer, in milliseconds
	cost   float64 // milliseconds, including the wait for the link and displacement
}

// planFetch decides how the engine gets the missing shared parts, and returns the tokens that it need not prefill.
// They are copied from another engine or the store if that costs less than recomputing them. If the store is not
// known to have them and its link is free, it is asked anyway, since a miss costs little, and they are saved
// there.
func (g *Gateway) planFetch(now time.Duration, scored *candidate, in selectionInput, cached int, sources []source) int {
	if in.storeIndexed {
		return g.planIndexedFetch(now, scored, in, cached, sources)
	}
	shared := prefix.SharedParts(in.call.Parts)
	sharedTokens := prefix.PartTokens(shared)
	stored := in.store != nil && g.table.stored.Holds(now, scored.salt, shared)
	best, found := copyPlan{tokens: cached}, false
	if g.enabled(mechanism.EngineTransfers) {
		best, found = g.bestEngineCopy(now, scored, in, cached, sources)
	}
	if stored {
		fromStore := g.planStoreCopy(now, scored, in, sharedTokens, cached)
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
		saved := g.planStoreCopy(now, scored, in, sharedTokens, cached) // saving takes as long as fetching
		scored.transfer = belief.Transfer{From: saved.from, Time: belief.FromMilliseconds(saved.time)}
	}
	return cached
}

// netCost returns the cost of a copy minus that of recomputing the parts, in milliseconds.
func (p copyPlan) netCost(cached int) float64 {
	return p.cost - (1+recomputeWeight)*float64(p.tokens-cached)/belief.PrefillRate
}

// bestEngineCopy returns the copy from an engine with the least net cost.
func (g *Gateway) bestEngineCopy(now time.Duration, scored *candidate, in selectionInput, cached int, sources []source) (best copyPlan, found bool) {
	for _, other := range sources {
		if other.row == scored.row || other.version != scored.version || other.tokens <= cached {
			continue
		}
		crossZone := other.row.entry.Zone != scored.row.entry.Zone
		plan := g.planCopy(now, in, other.row.entry.Address, in.service.LinkMbps, other.tokens, cached, crossZone)
		if !found || plan.netCost(cached) < best.netCost(cached) {
			best, found = plan, true
		}
	}
	return best, found
}

// planStoreCopy returns the cost of a copy between the store and the engine.
func (g *Gateway) planStoreCopy(now time.Duration, scored *candidate, in selectionInput, tokens, cached int) copyPlan {
	crossZone := in.store.Zone != scored.row.entry.Zone
	return g.planCopy(now, in, in.store.StoreAddress, in.store.LinkMbps, tokens, cached, crossZone)
}

// planCopy returns the cost of copying the tokens beyond the cached ones over a link of the given Mbit/s.
func (g *Gateway) planCopy(now time.Duration, in selectionInput, from string, linkMbps float64, tokens, cached int, crossZone bool) copyPlan {
	plan := copyPlan{from: from, tokens: tokens, time: transferTime(in.service, linkMbps, tokens-cached, crossZone)}
	plan.cost = plan.time
	if g.enabled(mechanism.EvictionCost) {
		plan.cost += displacementWeight * float64(tokens-cached) / belief.PrefillRate
	}
	if g.enabled(mechanism.LinkQueueing) {
		plan.cost += belief.Milliseconds(g.table.links.Wait(now, from))
	}
	return plan
}

// transferTime returns how long copying cached tokens over the slower of two links takes, in milliseconds.
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
