package gateway

import (
	"cmp"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const (
	// moveBase is the least time of a copy, in milliseconds; farFactor is how much longer one between zones takes.
	moveBase  = 4.0
	farFactor = 2.0
	// displaceWeight is what each copied token costs besides, as a part of the time of reading one.
	displaceWeight        = 0.8
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
// deepest first, at most maximumHolders.
func (g *Gateway) sources(now time.Duration, wish need) []source {
	shared := prefix.Shared(wish.call.Parts)
	if !wish.service.Engine || len(shared) == 0 || !wish.trusted {
		return nil
	}
	var found []source
	salts := map[uint64]string{}
	seen := map[*endpoint]bool{}
	for deepest := len(shared) - 1; deepest >= 0 && len(found) < maximumHolders; deepest-- {
		holders := g.table.holders[shared[deepest].ID]
		for _, row := range holders[max(0, len(holders)-holdersSeen):] {
			if held, holds := g.sourceAt(now, row, wish, salts); holds && !seen[row] && len(found) < maximumHolders {
				found = append(found, held)
			}
			seen[row] = true
		}
	}
	slices.SortStableFunc(found, func(a, b source) int { return cmp.Compare(b.tokens, a.tokens) })
	return found
}

// sourceAt returns what a back end holds of a prompt's shared parts under its own weights, whose salts are kept in salts.
func (g *Gateway) sourceAt(now time.Duration, row *endpoint, wish need, salts map[uint64]string) (source, bool) {
	version := row.entry.Versions[wish.call.Model]
	if version == 0 || row.entry.Service != wish.service.Name || now < row.avoidTo || row.entry.Loading {
		return source{}, false
	}
	name, made := salts[version]
	if !made {
		name = salt(version, wish.tenant)
		salts[version] = name
	}
	tokens := row.held.cached(name, prefix.Shared(wish.call.Parts))
	return source{row: row, version: version, tokens: tokens}, tokens > 0
}

// planFetch looks for the deepest copy of the missing shared parts and returns the tokens that need not be read. Where
// none is known the store is asked: a miss costs next to nothing.
func (g *Gateway) planFetch(now time.Duration, scored *candidate, wish need, cached int, sources []source) int {
	shared := prefix.Shared(wish.call.Parts)
	best, from := cached, (*endpoint)(nil)
	for _, other := range sources {
		if !g.on(mechanism.Copies) {
			break
		}
		if other.row == scored.row || other.version != scored.version || other.tokens < best || other.tokens <= cached {
			continue
		}
		nearer := from == nil || (from.entry.Zone != scored.row.entry.Zone && other.row.entry.Zone == scored.row.entry.Zone)
		if other.tokens > best || nearer {
			best, from = other.tokens, other.row
		}
	}
	stored := wish.store != nil && g.table.stored.holds(now, scored.salt, shared)
	switch {
	case from != nil && (!stored || best == prefix.PartTokens(shared)):
		scored.fetch = from.entry.Address
		scored.cost += g.moveCost(wish.service, best-cached, from.entry.Zone != scored.row.entry.Zone)
	case stored:
		best = prefix.PartTokens(shared)
		scored.fetch = wish.store.Store
		scored.cost += g.moveCost(wish.service, best-cached, wish.store.Zone != scored.row.entry.Zone)
	case wish.store != nil:
		scored.fetch, scored.save = wish.store.Store, wish.store.Store
	}
	return best
}

// moveCost is what a copy costs, in milliseconds: its time, and what it displaces at its engine, which somebody will have to
// read or to copy again.
func (g *Gateway) moveCost(service *catalog.Service, tokens int, far bool) float64 {
	cost := moveTime(service, tokens, far)
	if g.on(mechanism.Displacement) {
		cost += displaceWeight * float64(tokens) / prefillRate
	}
	return cost
}

// moveTime is how long copying cached tokens takes, in milliseconds.
func moveTime(service *catalog.Service, tokens int, far bool) float64 {
	if service.LinkMbps <= 0 {
		return moveBase
	}
	bits := float64(tokens) * service.TokenBytes * bitsPerByte
	time := bits / (service.LinkMbps * bitsPerMegabit) * millisecondsPerSecond
	if far {
		time *= farFactor
	}
	return moveBase + time
}
