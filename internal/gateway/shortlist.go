package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const (
	// maxScoreAll is the number of back ends of a service up to which all are scored; above it only a shortlist is.
	maxScoreAll = 64
	// maxSources bounds the back ends considered as sources of copies, and holderSample those checked for one part.
	maxSources   = 24
	holderSample = 24
	// Few back ends of a large service are scored: several gateways decide at the same time and learn of each other's
	// decisions 20 ms late, so that all would pick the same best one. Scored are up to maxHoldersScored back ends that have the whole shared prompt cached,
	// as many that have a part of it, assignedSample of those assigned to this gateway, and serviceSample of all.
	maxHoldersScored = 4
	assignedSample   = 4
	serviceSample    = 2
	// plainSample is the number of back ends scored for a service without engines where schedulers place requests.
	// Two random choices are nearly as good as scoring all; the third allows for a slow one.
	plainSample = 3
	// maxSampleTries bounds the random draws that look for eligible back ends, of which a third may be loading
	// weights.
	maxSampleTries = 24
)

// shortlist returns the back ends to score: all of a small service, else the owner, holders of the prompt's parts,
// and a random sample of the lane of the request.
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
	picked = append(picked, g.sample(now, g.laneMembers(rows, in), in)...)
	if in.service.Engine && g.table.lanesOf(in.service.Name).strict {
		// The weight of strict lanes never falls, so a full lane would be closed to the idle engines of the other one.
		picked = g.pickRandom(now, picked, rows, len(picked)+serviceSample, in)
	}
	return picked
}

// sampleHolders returns a few back ends that have all shared tokens of the prompt cached, and a few random ones of
// those that have fewer.
func sampleHolders(sources []source, shared int) []*endpoint {
	var picked, partial []*endpoint
	for _, holder := range sources {
		if holder.tokens == shared && len(picked) < maxHoldersScored {
			picked = append(picked, holder.row)
		} else {
			partial = append(partial, holder.row)
		}
	}
	return append(picked, sampled(partial, maxHoldersScored)...)
}

// laneMembers returns the back ends of the request's lane, or all if lanes are not used.
func (g *Gateway) laneMembers(rows []*endpoint, in selectionInput) []*endpoint {
	if !in.service.Engine || !g.enabled(mechanism.Lanes) {
		return rows
	}
	lanes := g.table.lanesOf(in.service.Name)
	if lane := lanes.of(lanes.isLong(in.promptTokens(), in.maxUncached())); len(lane) > 0 && lanes.weight() > 0 {
		return lane
	}
	return rows
}

// sample returns a few random eligible back ends: first some assigned to this gateway, which no other gateway
// samples, then any.
func (g *Gateway) sample(now time.Duration, rows []*endpoint, in selectionInput) []*endpoint {
	var assigned []*endpoint
	for _, row := range rows {
		if row.assigned {
			assigned = append(assigned, row)
		}
	}
	picked := g.pickRandom(now, nil, assigned, assignedSample, in)
	return g.pickRandom(now, picked, rows, assignedSample+serviceSample, in)
}

// scanEligible returns a few eligible back ends, scanning from a random one on. It is used if the shortlist has
// none, as may be when most back ends of a service are backing off or overloaded.
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

// pickRandom adds random eligible back ends until there are count.
func (g *Gateway) pickRandom(now time.Duration, picked, rows []*endpoint, count int, in selectionInput) []*endpoint {
	for tries := 0; tries < maxSampleTries && len(picked) < count && len(rows) > 0; tries++ {
		if row := rows[rand.IntN(len(rows))]; g.eligible(now, row, in) && !slices.Contains(picked, row) {
			picked = append(picked, row)
		}
	}
	return picked
}
