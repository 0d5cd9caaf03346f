package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const (
	// maxScoreAll is the number of a service's back ends up to which all are scored; beyond it a shortlist is.
	maxScoreAll = 64
	// maxSources and holdersSampled bound the back ends that are looked at as sources of copies: in all, and of those that hold
	// the same part.
	maxSources   = 24
	holderSample = 24
	// Of a large service few back ends are scored: several gateways decide at once and know of each other 20 ms late, so that the
	// best of many would be the same one for all of them. maxHoldersScored of those that hold the whole shared prompt are, as many of
	// those that hold a part of it, homeSample of those that this gateway reads, and sampleSize of all. Samples of 24 and 12, 8 and
	// 6, 4 and 4 were played (design/015).
	maxHoldersScored = 4
	assignedSample   = 4
	serviceSample    = 2
	// plainSample back ends of a service without engines are scored where schedulers place: two choices do nearly as well as all,
	// and three allow for one that is slow.
	plainSample = 3
	// maxSampleTries is how often a random back end is drawn to find some that may get the request; a third of them may be loading.
	maxSampleTries = 24
)

// shortlist returns the back ends worth scoring: all of a small service, else the owner, those that hold parts of the
// prompt, and a random sample of those that are meant for requests as long as this one.
func (g *Gateway) shortlist(now time.Duration, rows []*endpoint, owner *endpoint, sources []source, in selectionInput) []*endpoint {
	switch {
	case !in.service.Engine && g.table.assignedCount > 0:
		return g.pickRandom(now, nil, rows, plainSample, in)
	case len(rows) <= maxScoreAll:
		return rows
	}
	var picked []*endpoint
	if owner != nil {
		picked = append(picked, owner)
	}
	picked = append(picked, sampleHolders(sources, prefix.PartTokens(prefix.SharedParts(in.call.Parts)))...)
	return append(picked, g.sample(now, g.laneMembers(rows, in), in)...)
}

// sampleHolders returns a few back ends that hold all shared tokens of the prompt, and a few of those that hold less, at random.
func sampleHolders(sources []source, shared int) []*endpoint {
	var picked, partial []*endpoint
	for _, held := range sources {
		if held.tokens == shared && len(picked) < maxHoldersScored {
			picked = append(picked, held.row)
		} else {
			partial = append(partial, held.row)
		}
	}
	return append(picked, sampled(partial, maxHoldersScored)...)
}

// laneMembers returns the back ends that serve requests as long as this one, or all where there are no lanes.
func (g *Gateway) laneMembers(rows []*endpoint, in selectionInput) []*endpoint {
	if !in.service.Engine || !g.on(mechanism.Lanes) {
		return rows
	}
	lanes := g.table.lanesOf(in.service.Name)
	if lane := lanes.of(in.maxUncached()); len(lane) > 0 && lanes.weight() > 0 {
		return lane
	}
	return rows
}

// sample returns a few back ends at random that may get the request: of those that this gateway reads, which are few and which
// nobody else samples, and of all.
func (g *Gateway) sample(now time.Duration, rows []*endpoint, in selectionInput) []*endpoint {
	var home []*endpoint
	for _, row := range rows {
		if row.assigned {
			home = append(home, row)
		}
	}
	picked := g.pickRandom(now, nil, home, assignedSample, in)
	return g.pickRandom(now, picked, rows, assignedSample+serviceSample, in)
}

// scanEligible returns a few back ends that may get the request, in order from a random one on: where most of a service want rest or load, a sample may
// hold none of the others.
func (g *Gateway) scanEligible(now time.Duration, rows []*endpoint, in selectionInput) []*endpoint {
	var found []*endpoint
	first := rand.IntN(len(rows))
	for i := 0; i < len(rows) && len(found) < assignedSample+serviceSample; i++ {
		if row := rows[(first+i)%len(rows)]; g.eligible(now, row, in) {
			found = append(found, row)
		}
	}
	return found
}

// pickRandom adds back ends at random that may get the request, until there are so many.
func (g *Gateway) pickRandom(now time.Duration, picked, rows []*endpoint, count int, in selectionInput) []*endpoint {
	for tries := 0; tries < maxSampleTries && len(picked) < count && len(rows) > 0; tries++ {
		if row := rows[rand.IntN(len(rows))]; g.eligible(now, row, in) && !slices.Contains(picked, row) {
			picked = append(picked, row)
		}
	}
	return picked
}
