package gateway

import (
	"cmp"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/prefix"
)

const (
	// moveBase is the least time of a copy, in milliseconds; farFactor is how much longer one between zones takes.
	moveBase              = 4.0
	farFactor             = 2.0
	bitsPerByte           = 8
	bitsPerMegabit        = 1e6
	millisecondsPerSecond = 1e3
)

// source is a back end that is believed to hold leading parts of a prompt.
type source struct {
	row     *endpoint
	salt    string
	version uint64
	tokens  int
}

// sources returns the back ends that hold leading shared parts of the prompt, each under the salt of its own weights, the
// deepest first.
func (g *Gateway) sources(now time.Duration, rows []*endpoint, wish need) []source {
	shared := prefix.Shared(wish.call.Parts)
	if !wish.service.Engine || len(shared) == 0 || !wish.trusted {
		return nil
	}
	var found []source
	salts := map[uint64]string{}
	holders := g.table.holders[shared[0].ID]
	for _, row := range holders[max(0, len(holders)-holdersSeen):] {
		version := row.entry.Versions[wish.call.Model]
		if version == 0 || row.entry.Service != wish.service.Name || now < row.avoidTo || row.entry.Loading {
			continue
		}
		name, made := salts[version]
		if !made {
			name = salt(version, wish.tenant)
			salts[version] = name
		}
		if tokens := row.held.cached(name, shared); tokens > 0 {
			found = append(found, source{row: row, salt: name, version: version, tokens: tokens})
		}
	}
	slices.SortStableFunc(found, func(a, b source) int { return cmp.Compare(b.tokens, a.tokens) })
	return found
}

// planFetch looks for the deepest copy of the missing shared parts and returns the tokens that need not be read. Where
// none is known the store is asked: a miss costs next to nothing.
func (g *Gateway) planFetch(now time.Duration, scored *candidate, wish need, cached int, sources []source) int {
	shared := prefix.Shared(wish.call.Parts)
	best, from := cached, (*endpoint)(nil)
	for _, other := range sources {
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
		scored.cost += moveTime(wish.service, best-cached, from.entry.Zone != scored.row.entry.Zone)
	case stored:
		best = prefix.PartTokens(shared)
		scored.fetch = wish.store.Store
		scored.cost += moveTime(wish.service, best-cached, wish.store.Zone != scored.row.entry.Zone)
	case wish.store != nil:
		scored.fetch, scored.save = wish.store.Store, wish.store.Store
	}
	return best
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
