package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/mechanism"
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
	// foreignCost is what an engine costs that another gateway of a large fleet samples, in milliseconds: what that one sends there
	// in the next moment is not known yet.
	foreignCost = 15.0
	// coldCost is what a back end that has just started costs, in milliseconds.
	coldCost = 40.0
	// scoreAllUpTo is the number of a service's back ends up to which all are scored; beyond it at most maximumHolders of
	// those that hold parts are, and a random sample.
	scoreAllUpTo   = 64
	maximumHolders = 24
	// holdersSampled of those that hold a part are looked at as sources of copies. Of them some holdersScored are scored, and
	// homeSample and sampleSize of the others: several gateways decide at once and know of each other 20 ms late, so that the best of
	// many would be the same one for all of them (measured in design/015).
	holdersSampled = 24
	holdersScored  = 4
	homeSample     = 4
	sampleSize     = 2
	plainSample    = 3  // of a service without engines, where schedulers place
	sampleTries    = 24 // to find so many that may get the request
	// rereadWeight is how much more than its time the reading of shared parts counts, and strayCost what it costs besides
	// to read them anywhere but at their owner.
	rereadWeight = 2.0
	strayCost    = 0.3
)

// candidate is one back end as the decision sees it.
type candidate struct {
	row      *endpoint
	cost     float64 // milliseconds
	salt     string
	version  uint64        // of its weights
	wait     float64       // predicted time until the request begins, in milliseconds
	beginBy  time.Duration // when it must have begun, or 0
	uncached int           // prompt tokens to read
	alone    bool          // nothing else is taken to be read there
	fetch    string        // address to take cached parts from, or ""
	save     string        // address of the store to keep the parts in, or ""
	move     move          // of cached parts that the placement causes
	// scheduled names the placement where a scheduler made it; else this gateway did.
	scheduled *scheduled
}

// need is what a decision depends on.
type need struct {
	service *catalog.Service
	store   *catalog.Service // of kept caches, or nil
	tenant  *catalog.Tenant
	call    *Call
	tried   []*endpoint
	trusted bool  // the view is confirmed, so what it says of weights holds
	memory  int   // tokens that the prompt takes of an engine's memory; set by choose
	stay    stays // how long requests stay at the service's back ends; set by choose
}

// total is the number of prompt tokens.
func (w *need) total() int { return max(w.call.PromptTokens, prefix.PartTokens(w.call.Parts)) }

// longest is how many prompt tokens have to be read where nothing but the shared parts is held.
func (w *need) longest() int {
	return w.total() - prefix.PartTokens(prefix.Shared(w.call.Parts))
}

// choose filters, scores and picks the back end of least cost, or returns nil.
func (g *Gateway) choose(now time.Duration, wish need) (best *candidate) {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	rows := g.table.services[wish.service.Name]
	if wish.service.Engine {
		g.table.lane(wish.service.Name).divide(rows)
		wish.memory, wish.stay = memoryOf(wish.call), g.table.stay(wish.service.Name)
	}
	owner := g.owner(now, rows, wish)
	sources := g.sources(now, wish)
	listed := g.shortlist(now, rows, owner, sources, wish)
	first := rand.IntN(max(1, len(listed))) // so that gateways which see the same don't all take the same one of equals
	for i := range listed {
		row := listed[(first+i)%len(listed)]
		if !g.eligible(now, row, wish) {
			continue
		}
		scored := g.score(now, row, wish, row == owner, sources)
		if g.beginsTooLate(now, &scored, wish.call.Model) {
			continue
		}
		if best == nil || scored.cost < best.cost {
			best = &scored
		}
	}
	return best
}

// shortlist returns the back ends worth scoring: all of a small service, else the owner, those that hold parts of the
// prompt, and a random sample of those that are meant for requests as long as this one.
func (g *Gateway) shortlist(now time.Duration, rows []*endpoint, owner *endpoint, sources []source, wish need) []*endpoint {
	switch {
	case !wish.service.Engine && g.table.homes > 0:
		return g.pick(now, nil, rows, plainSample, wish)
	case len(rows) <= scoreAllUpTo:
		return rows
	}
	var picked []*endpoint
	if owner != nil {
		picked = append(picked, owner)
	}
	picked = append(picked, holders(sources, prefix.PartTokens(prefix.Shared(wish.call.Parts)))...)
	return append(picked, g.sample(now, g.laneOf(rows, wish), wish)...)
}

// holders returns a few back ends that hold all shared tokens of the prompt, and a few of those that hold less, at random.
func holders(sources []source, shared int) []*endpoint {
	var picked, less []*endpoint
	for _, held := range sources {
		if held.tokens == shared && len(picked) < holdersScored {
			picked = append(picked, held.row)
		} else {
			less = append(less, held.row)
		}
	}
	return append(picked, sampled(less, holdersScored)...)
}

// laneOf returns the back ends that serve requests as long as this one, or all where there are no lanes.
func (g *Gateway) laneOf(rows []*endpoint, wish need) []*endpoint {
	if !wish.service.Engine || !g.on(mechanism.Lanes) {
		return rows
	}
	if lane := g.table.lane(wish.service.Name).of(wish.longest()); len(lane) > 0 {
		return lane
	}
	return rows
}

// sample returns a few back ends at random that may get the request: of those that this gateway reads, which are few and which
// nobody else samples, and of all.
func (g *Gateway) sample(now time.Duration, rows []*endpoint, wish need) []*endpoint {
	var home []*endpoint
	for _, row := range rows {
		if row.home {
			home = append(home, row)
		}
	}
	picked := g.pick(now, nil, home, homeSample, wish)
	return g.pick(now, picked, rows, homeSample+sampleSize, wish)
}

// pick adds back ends at random that may get the request, until there are so many.
func (g *Gateway) pick(now time.Duration, picked, rows []*endpoint, count int, wish need) []*endpoint {
	for tries := 0; tries < sampleTries && len(picked) < count && len(rows) > 0; tries++ {
		if row := rows[rand.IntN(len(rows))]; g.eligible(now, row, wish) && !slices.Contains(picked, row) {
			picked = append(picked, row)
		}
	}
	return picked
}

// eligible reports whether a back end may get a new request at all.
func (g *Gateway) eligible(now time.Duration, row *endpoint, wish need) bool {
	if row.entry.State != catalog.StateReady || row.entry.Loading || slices.Contains(wish.tried, row) {
		return false
	}
	limit, limited := g.beginLimit(row, wish.call.Model)
	return !limited || now < limit-beginMargin
}

// owner returns the back end on which requests with the same shared prompt meet while nobody is believed to hold it: the
// highest random weight among those that may be used (rendezvous hashing), so that all gateways agree without a word.
func (g *Gateway) owner(now time.Duration, rows []*endpoint, wish need) *endpoint {
	if !wish.service.Engine || len(wish.call.Parts) == 0 || !g.on(mechanism.Owner) {
		return nil
	}
	key := xxhash.Sum64String(prefix.AffinityKey(wish.call.Parts))
	longest := wish.longest()
	var best *endpoint
	var highest uint64
	for _, row := range rows {
		weight := mix(key ^ row.hash)
		if best != nil && weight <= highest {
			continue
		}
		if !g.eligible(now, row, wish) || now < row.avoidTo || g.astray(row, longest) > 0 {
			continue
		}
		best, highest = row, weight
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score predicts the time to the first event at a back end, in milliseconds, with what speaks against it.
func (g *Gateway) score(now time.Duration, row *endpoint, wish need, owner bool, sources []source) candidate {
	scored := candidate{row: row}
	if wish.service.Engine {
		g.scoreEngine(now, &scored, wish, owner, sources)
	} else {
		scored.cost = slotTime * float64(row.occupied.total().running) / float64(max(1, row.entry.Slots))
	}
	if row.entry.Zone != g.settings.Zone && g.on(mechanism.ZoneCost) {
		scored.cost += zoneCost
	}
	scored.cost += g.doubt(now, row)
	if len(g.table.services[wish.service.Name]) > scoreAllUpTo && !row.home && g.table.homes > 0 {
		scored.cost += foreignCost
	}
	return scored
}

// scoreEngine adds up the queue of prompts, what is read, and what is copied from elsewhere. Reading shared parts again
// costs more than its time, since it is work that the fleet has done already.
func (g *Gateway) scoreEngine(now time.Duration, scored *candidate, wish need, owner bool, sources []source) {
	row := scored.row
	scored.version = row.entry.Versions[wish.call.Model]
	scored.salt = salt(scored.version, wish.tenant)
	if scored.version == 0 || !wish.trusted {
		scored.version, scored.salt = 0, uniqueSalt()
	}
	shared := prefix.Shared(wish.call.Parts)
	cached := row.held.cached(scored.salt, shared)
	sharedTokens := prefix.PartTokens(shared)
	if cached < sharedTokens && scored.version > 0 {
		cached = g.planFetch(now, scored, wish, cached, sources)
	} else if scored.version > 0 && sharedTokens > 0 && wish.store != nil {
		scored.fetch = wish.store.Store // the engine may have given up what it is believed to hold; a needless question costs nothing
	}
	scored.uncached = wish.total() - cached
	queue := max(0, row.busyTo-now)
	held := row.occupied.total()
	scored.cost += float64(queue)/float64(time.Millisecond) + float64(scored.uncached)/prefillRate
	if g.on(mechanism.Occupancy) {
		scored.cost += crowding(held, row.entry.Slots, wish.service.CacheLimit, wish.memory, wish.stay)
	}
	scored.wait, scored.alone = scored.cost, queue == 0
	scored.cost += g.astray(row, scored.uncached)
	if g.on(mechanism.RereadWeight) {
		scored.cost += rereadWeight * float64(sharedTokens-cached) / prefillRate
	}
	scored.cost += runningCost * float64(held.running)
	if !owner && g.on(mechanism.StrayCost) {
		scored.cost += strayCost * float64(sharedTokens-cached) / prefillRate
	}
}

// doubt is what speaks against a back end, in milliseconds.
func (g *Gateway) doubt(now time.Duration, row *endpoint) float64 {
	cost := failingCost * row.failing
	if g.on(mechanism.Avoidance) && (now < row.avoidTo || row.mute(now)) {
		cost += avoidCost
	}
	if row.entry.Silent {
		cost += silentCost
	}
	if row.entry.Silent && row.failures > 0 {
		cost += avoidCost // neither control nor this gateway has heard it since
	}
	if now < row.heardAt+row.entry.ColdLeft {
		cost += coldCost
	}
	return cost
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
