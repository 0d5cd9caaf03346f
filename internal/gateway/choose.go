package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const (
	// runningCost is what each running request adds to a request's time at an engine, in milliseconds.
	runningCost = 0.6
	// interferenceWeight is what the reading of a prompt costs for each request that runs there meanwhile, as a part of its time:
	// between two pieces of it each of them gets one token.
	interferenceWeight = 0.3
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
	// rereadWeight is how much more than its time the reading of shared parts counts, and strayCost what it costs besides
	// to read them anywhere but at their owner. Weights of 0.5, 2 and 5 were played (design/015).
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
	queue    float64       // of it, the time until its prompt is read
	beginBy  time.Duration // when it must have begun as far as the choice knew, or 0; only the log may rely on it
	uncached int           // prompt tokens to read
	reread   int           // of them, tokens of shared parts
	dearer   bool          // a copy of these is known, and costs more than to read them
	why      rereadCause   // of reread; "" where that is 0, and before the choice is made
	alone    bool          // nothing else is taken to be read there
	fetch    string        // address to take cached parts from, or ""
	save     string        // address of the store to keep the parts in, or ""
	move     belief.Move   // of cached parts that the placement causes
	back     time.Duration // the request is to be turned away, and to come back after this time; else 0
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
	trusted bool          // the view is confirmed, so what it says of weights holds
	memory  int           // tokens that the prompt takes of an engine's memory; set by choose
	stay    belief.Stays  // how long requests stay at the service's back ends; set by choose
	first   bool          // no back end was sent the request yet
	rank    int           // of urgency, 0 the most
	target  time.Duration // the route's objective
	// elsewhere says that another gateway sends the request: a rest that a back end asked this one for doesn't bind that one, which names
	// its own.
	elsewhere bool
}

// total is the number of prompt tokens.
func (w *need) total() int { return max(w.call.PromptTokens, prefix.PartTokens(w.call.Parts)) }

// longest is how many prompt tokens have to be read where nothing but the shared parts is held.
func (w *need) longest() int {
	return w.total() - prefix.PartTokens(prefix.Shared(w.call.Parts))
}

// choose filters, scores and picks the back end of least cost, or returns nil.
func (g *Gateway) choose(now time.Duration, wish need) *candidate {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	rows := g.table.services[wish.service.Name]
	if wish.service.Engine {
		lanes := g.table.lane(wish.service.Name)
		lanes.divide(rows)
		lanes.measure(now, rows)
		wish.memory, wish.stay = memoryOf(wish.call), g.table.stay(wish.service.Name)
	}
	owner := g.owner(now, rows, wish)
	sources := g.sources(now, wish)
	listed := g.shortlist(now, rows, owner, sources, wish)
	best, found := g.cheapest(now, listed, owner, sources, wish)
	if !found && len(listed) < len(rows) {
		best, found = g.cheapest(now, g.anyOf(now, rows, wish), owner, sources, wish)
	}
	if !found {
		return nil
	}
	if best.reread > 0 {
		best.why = g.whyReread(now, &best, prefix.Shared(wish.call.Parts), sources)
	}
	return &best
}

// cheapest scores the back ends of a list that may get a request and returns the one of least cost.
func (g *Gateway) cheapest(now time.Duration, listed []*endpoint, owner *endpoint, sources []source, wish need) (best candidate, found bool) {
	first := rand.IntN(max(1, len(listed))) // so that gateways which see the same don't all take the same one of equals
	for i := range listed {
		row := listed[(first+i)%len(listed)]
		if !g.eligible(now, row, wish) {
			continue
		}
		scored := g.score(now, row, wish, row == owner, sources)
		if g.chosenTooLate(now, &scored, wish) {
			continue
		}
		if !found || scored.cost < best.cost {
			best, found = scored, true
		}
	}
	return best, found
}

// eligible reports whether a back end may get a new request at all.
func (g *Gateway) eligible(now time.Duration, row *endpoint, wish need) bool {
	if !row.open() || slices.Contains(wish.tried, row) || g.table.bar(now, row, wish.elsewhere) != "" {
		return false
	}
	limit, limited := g.beginLimit(row, wish.service, wish.call.Model)
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
		if !g.eligible(now, row, wish) || now < row.avoidTo || g.astray(row, longest) > 0 || g.table.pushed.Limit(row.life).Advertised {
			continue // one with a limit is open and closed in turn: the prompt would be read in two places
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
		scored.cost = slotTime * float64(row.occupied.Total().Running) / float64(max(1, row.entry.Slots))
	}
	if row.entry.Zone != g.settings.Zone && g.on(mechanism.ZoneCost) {
		scored.cost += zoneCost
	}
	scored.cost += g.doubt(now, row)
	if g.foreign(row, wish) {
		scored.cost += foreignCost
	}
	return scored
}

// foreign reports whether another gateway samples a back end of a large service.
func (g *Gateway) foreign(row *endpoint, wish need) bool {
	return !row.home && g.table.homes > 0 && len(g.table.services[wish.service.Name]) > scoreAllUpTo
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
	cached := row.held.Cached(scored.salt, shared)
	sharedTokens := prefix.PartTokens(shared)
	if cached < sharedTokens && scored.version > 0 {
		cached = g.planFetch(now, scored, wish, cached, sources)
	} else if scored.version > 0 && sharedTokens > 0 && wish.store != nil {
		scored.fetch = wish.store.Store // the engine may have given up what it is believed to hold; a needless question costs nothing
	}
	scored.uncached, scored.reread = wish.total()-cached, max(0, sharedTokens-cached)
	queue := max(0, row.busyTo-now)
	held := row.occupied.Total()
	reading := belief.Milliseconds(g.table.pace(wish.service.Name).Reading(scored.uncached))
	scored.cost += belief.Milliseconds(queue) + reading
	if g.on(mechanism.Occupancy) {
		scored.cost += belief.Crowding(held, row.entry.Slots, wish.service.CacheLimit, wish.memory, wish.stay)
	}
	scored.wait, scored.alone = scored.cost, queue == 0
	scored.queue = scored.wait - reading
	scored.cost += g.astray(row, scored.uncached)
	if g.on(mechanism.RereadWeight) {
		scored.cost += rereadWeight * float64(sharedTokens-cached) / belief.PrefillRate
	}
	scored.cost += runningCost * float64(held.Running)
	if g.on(mechanism.Interference) {
		scored.cost += interferenceWeight * float64(scored.uncached) / belief.PrefillRate * float64(held.Running)
	}
	if !owner && g.on(mechanism.StrayCost) {
		scored.cost += strayCost * float64(sharedTokens-cached) / belief.PrefillRate
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
	if limit, heard := g.table.pushed.LimitObservedAt(row.life); limit.Advertised {
		cost += permitCost - staleGain*min(now-heard, staleMost).Seconds()
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
