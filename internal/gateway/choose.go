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
	// plainRequestTime is the work of a typical request at a service without prompts, in milliseconds.
	plainRequestTime = 40.0
	// crossZoneCost is what a back end in another zone costs, in milliseconds of waiting.
	crossZoneCost = 4.0
	// avoidCost, silentCost and failingCost keep requests from back ends that are in doubt, in milliseconds.
	avoidCost   = 2000.0
	silentCost  = 300.0
	failingCost = 400.0
	// assignedElsewhereCost is what an engine costs that another gateway of a large fleet samples, in milliseconds: what that one sends there
	// in the next moment is not known yet.
	assignedElsewhereCost = 15.0
	// coldCost is what a back end that has just started costs, in milliseconds.
	coldCost = 40.0
	// recomputeWeight is how much more than its time the reading of shared parts counts, and strayCost what it costs besides
	// to read them anywhere but at their owner. Weights of 0.5, 2 and 5 were played (design/015).
	recomputeWeight = 2.0
	nonOwnerWeight  = 0.3
)

// candidate is one back end as the decision sees it.
type candidate struct {
	row             *endpoint
	cost            float64 // milliseconds
	salt            string
	version         uint64          // of its weights
	wait            float64         // predicted time until the request begins, in milliseconds
	queueWait       float64         // of it, the time until its prompt is read
	startDeadline   time.Duration   // when it must have begun as far as the choice knew, or 0; only the log may rely on it
	uncached        int             // prompt tokens to read
	recomputed      int             // of them, tokens of shared parts
	copyCostsMore   bool            // a copy of these is known, and costs more than to read them
	recomputeReason recomputeCause  // of reread; "" where that is 0, and before the choice is made
	engineIdle      bool            // nothing else is taken to be read there
	fetchFrom       string          // address to take cached parts from, or ""
	saveTo          string          // address of the store to keep the parts in, or ""
	transfer        belief.Transfer // of cached parts that the placement causes
	retryAfter      time.Duration   // the request is to be turned away, and to come back after this time; else 0
	// scheduled names the placement where a scheduler made it; else this gateway did.
	scheduled *scheduled
}

// selectionInput is what a decision depends on.
type selectionInput struct {
	service       *catalog.Service
	store         *catalog.Service // of kept caches, or nil
	tenant        *catalog.Tenant
	call          *Call
	tried         []*endpoint
	trusted       bool                // the view is confirmed, so what it says of weights holds
	memory        int                 // tokens that the prompt takes of an engine's memory; set by choose
	meanDuration  belief.MeanDuration // how long requests stay at the service's back ends; set by choose
	firstAttempt  bool                // no back end was sent the request yet
	priority      int                 // of urgency, 0 the most
	latencyTarget time.Duration       // the route's objective
	// sentByPeer says that another gateway sends the request: a rest that a back end asked this one for doesn't bind that one, which names
	// its own.
	sentByPeer bool
}

// promptTokens is the number of prompt tokens.
func (w *selectionInput) promptTokens() int {
	return max(w.call.PromptTokens, prefix.PartTokens(w.call.Parts))
}

// maxUncached is how many prompt tokens have to be read where nothing but the shared parts is held.
func (w *selectionInput) maxUncached() int {
	return w.promptTokens() - prefix.PartTokens(prefix.SharedParts(w.call.Parts))
}

// choose filters, scores and picks the back end of least cost, or returns nil.
func (g *Gateway) choose(now time.Duration, in selectionInput) *candidate {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	rows := g.table.services[in.service.Name]
	if in.service.Engine {
		lanes := g.table.lanesOf(in.service.Name)
		lanes.divide(rows)
		lanes.measureUtilization(now, rows)
		in.memory, in.meanDuration = memoryOf(in.call), g.table.meanDuration(in.service.Name)
	}
	owner := g.owner(now, rows, in)
	sources := g.sources(now, in)
	listed := g.shortlist(now, rows, owner, sources, in)
	best, found := g.cheapest(now, listed, owner, sources, in)
	if !found && len(listed) < len(rows) {
		best, found = g.cheapest(now, g.scanEligible(now, rows, in), owner, sources, in)
	}
	if !found {
		return nil
	}
	if best.recomputed > 0 {
		best.recomputeReason = g.explainRecompute(now, &best, prefix.SharedParts(in.call.Parts), sources)
	}
	return &best
}

// cheapest scores the back ends of a list that may get a request and returns the one of least cost.
func (g *Gateway) cheapest(now time.Duration, listed []*endpoint, owner *endpoint, sources []source, in selectionInput) (best candidate, found bool) {
	first := rand.IntN(max(1, len(listed))) // so that gateways which see the same don't all take the same one of equals
	for i := range listed {
		row := listed[(first+i)%len(listed)]
		if !g.eligible(now, row, in) {
			continue
		}
		scored := g.score(now, row, in, row == owner, sources)
		if g.scoredTooLate(now, &scored, in) {
			continue
		}
		if !found || scored.cost < best.cost {
			best, found = scored, true
		}
	}
	return best, found
}

// eligible reports whether a back end may get a new request at all.
func (g *Gateway) eligible(now time.Duration, row *endpoint, in selectionInput) bool {
	if !row.open() || slices.Contains(in.tried, row) || g.table.bar(now, row, in.sentByPeer) != "" {
		return false
	}
	limit, limited := g.startDeadline(row, in.service, in.call.Model)
	return !limited || now < limit-beginMargin
}

// owner returns the back end on which requests with the same shared prompt meet while nobody is believed to hold it: the
// highest random weight among those that may be used (rendezvous hashing), so that all gateways agree without a word.
func (g *Gateway) owner(now time.Duration, rows []*endpoint, in selectionInput) *endpoint {
	if !in.service.Engine || len(in.call.Parts) == 0 || !g.on(mechanism.AffinityOwner) {
		return nil
	}
	key := xxhash.Sum64String(prefix.AffinityKey(in.call.Parts))
	longest := in.maxUncached()
	var best *endpoint
	var highest uint64
	for _, row := range rows {
		weight := mix(key ^ row.hash)
		if best != nil && weight <= highest {
			continue
		}
		if !g.eligible(now, row, in) || now < row.avoidUntil || g.offLaneCost(row, longest) > 0 || g.table.signals.Limit(row.life).Advertised {
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
func (g *Gateway) score(now time.Duration, row *endpoint, in selectionInput, owner bool, sources []source) candidate {
	scored := candidate{row: row}
	if in.service.Engine {
		g.scoreEngine(now, &scored, in, owner, sources)
	} else {
		scored.cost = plainRequestTime * float64(row.occupancy.Total().Running) / float64(max(1, row.entry.Slots))
	}
	if row.entry.Zone != g.settings.Zone && g.on(mechanism.ZoneCost) {
		scored.cost += crossZoneCost
	}
	scored.cost += g.healthPenalty(now, row)
	if g.assignedElsewhere(row, in) {
		scored.cost += assignedElsewhereCost
	}
	return scored
}

// assignedElsewhere reports whether another gateway samples a back end of a large service.
func (g *Gateway) assignedElsewhere(row *endpoint, in selectionInput) bool {
	return !row.assigned && g.table.assignedCount > 0 && len(g.table.services[in.service.Name]) > maxScoreAll
}

// scoreEngine adds up the queue of prompts, what is read, and what is copied from elsewhere. Reading shared parts again
// costs more than its time, since it is work that the fleet has done already.
func (g *Gateway) scoreEngine(now time.Duration, scored *candidate, in selectionInput, owner bool, sources []source) {
	row := scored.row
	scored.version = row.entry.Versions[in.call.Model]
	scored.salt = cacheSalt(scored.version, in.tenant)
	if scored.version == 0 || !in.trusted {
		scored.version, scored.salt = 0, uniqueSalt()
	}
	shared := prefix.SharedParts(in.call.Parts)
	cached := row.cache.Cached(scored.salt, shared)
	sharedTokens := prefix.PartTokens(shared)
	if cached < sharedTokens && scored.version > 0 {
		cached = g.planFetch(now, scored, in, cached, sources)
	} else if scored.version > 0 && sharedTokens > 0 && in.store != nil {
		scored.fetchFrom = in.store.StoreAddress // the engine may have given up what it is believed to hold; a needless question costs nothing
	}
	scored.uncached, scored.recomputed = in.promptTokens()-cached, max(0, sharedTokens-cached)
	queue := max(0, row.prefillBusyUntil-now)
	held := row.occupancy.Total()
	reading := belief.Milliseconds(g.table.prefillEstimate(in.service.Name).PrefillTime(scored.uncached))
	scored.cost += belief.Milliseconds(queue) + reading
	if g.on(mechanism.Occupancy) {
		scored.cost += belief.CapacityWait(held, row.entry.Slots, in.service.CacheTokens, in.memory, in.meanDuration)
	}
	scored.wait, scored.engineIdle = scored.cost, queue == 0
	scored.queueWait = scored.wait - reading
	scored.cost += g.offLaneCost(row, scored.uncached)
	if g.on(mechanism.RecomputeCost) {
		scored.cost += recomputeWeight * float64(sharedTokens-cached) / belief.PrefillRate
	}
	scored.cost += runningCost * float64(held.Running)
	if g.on(mechanism.Interference) {
		scored.cost += interferenceWeight * float64(scored.uncached) / belief.PrefillRate * float64(held.Running)
	}
	if !owner && g.on(mechanism.AffinityMissCost) {
		scored.cost += nonOwnerWeight * float64(sharedTokens-cached) / belief.PrefillRate
	}
}

// healthPenalty is what speaks against a back end, in milliseconds.
func (g *Gateway) healthPenalty(now time.Duration, row *endpoint) float64 {
	cost := failingCost * row.failureRate
	if g.on(mechanism.FailureAvoidance) && (now < row.avoidUntil || row.unresponsive(now)) {
		cost += avoidCost
	}
	if row.entry.Silent {
		cost += silentCost
	}
	if row.entry.Silent && row.failures > 0 {
		cost += avoidCost // neither control nor this gateway has heard it since
	}
	if now < row.entryAt+row.entry.ColdLeft {
		cost += coldCost
	}
	if limit, heard := g.table.signals.LimitObservedAt(row.life); limit.Advertised {
		cost += permitCost - staleGain*min(now-heard, staleMost).Seconds()
	}
	return cost
}

// enginePriority is the priority of a request at an engine: the tenant's comes first.
func enginePriority(tenant *catalog.Tenant, route *catalog.Route) int {
	tenantPriority := 0
	if tenant != nil {
		tenantPriority = tenant.Priority
	}
	return min(lowestPriority, tenantPriority*tenantPriorityStep+route.Priority)
}

const (
	lowestPriority     = 9
	tenantPriorityStep = 3
)
