package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/admission/reservation"
	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/enginequeue"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
	"kitetiller/internal/streamorigin"
)

const (
	// runningCost is the cost of each request running at an engine, in milliseconds.
	runningCost = 0.6
	// interferenceWeight is the cost of a prefill for each request running at the engine, as a fraction of the
	// prefill time: between two prefill chunks each of them gets only one decode step.
	interferenceWeight = 0.3
	// plainRequestTime is the assumed duration of a request at a service without engines, in milliseconds.
	plainRequestTime = 40.0
	// crossZoneCost is the cost of a back end in another zone, in milliseconds.
	crossZoneCost = 4.0
	// avoidCost, silentCost and failingCost are the costs of back ends that are avoided, send control no heartbeats,
	// or fail requests, in milliseconds.
	avoidCost   = 2000.0
	silentCost  = 300.0
	failingCost = 400.0
	// assignedElsewhereCost is the cost of an engine that another gateway of a large fleet samples, in milliseconds.
	// It accounts for requests which that gateway is sending there and which are not known here yet.
	assignedElsewhereCost = 15.0
	// coldCost is the cost of a back end that has just started, in milliseconds.
	coldCost = 40.0
	// minPlacementCost is the least cost of a new connection for which a request goes where one is idle.
	minPlacementCost = 5 * time.Millisecond
	// recomputeWeight is the extra cost of recomputing shared parts, relative to their prefill time. nonOwnerWeight
	// is the extra cost of doing so at an engine that is not their owner.
	recomputeWeight = 2.0
	nonOwnerWeight  = 0.3
)

// candidate is a back end that a decision considers, with what sending the request there would mean.
type candidate struct {
	row             *endpoint
	cost            float64 // milliseconds
	namespace       namespace
	salt            string         // of the namespace, or a unique one if version is 0
	version         uint64         // of the weights expected there; 0 if unknown
	wait            float64        // predicted time until the request starts, in milliseconds
	queueWait       float64        // part of wait before the prefill starts
	startDeadline   time.Duration  // time by which the request must start, as known at the decision, or 0; for logs only
	uncached        int            // prompt tokens to prefill
	recomputed      int            // tokens of shared parts among uncached
	recomputeReason recomputeCause // set for the chosen candidate if recomputed > 0
	copyCostsMore   bool           // a copy of the shared parts exists, but costs more than recomputing them
	engineIdle      bool           // no other prefill is estimated to be running or queued there
	priority        int8           // of the request; set for the chosen candidate of a service with queues
	// pause is the predicted longest pause of the streams running there, in milliseconds, and slowness the factor by which
	// the engine is taken to be slower than its service. Both are 0 if not predicted.
	pause, slowness float32
	queueNumber     uint64     // of the request in the engine's queue; 0 without a queue or reports of first events, or if a scheduler chose
	copySource      copySource // set like storeGap and storeSave if the store index plans copies and saves
	storeGap        storeGap
	storeSave       storeindex.Save
	fetchFrom       string          // address of the engine or store to copy cached parts from, or ""
	saveTo          string          // address of the store to save the parts in, or ""
	transfer        belief.Transfer // of cached parts, caused by the placement
	retryAfter      time.Duration   // if not 0, the request is to be rejected, and retried after this time
	// scheduled is set if a scheduler made the placement, and nil if this gateway did.
	scheduled *schedulerPlacement
	// reserved is the decision on the request's reservation, for logs. It is set for latency-critical services.
	reserved reservation.Decision
	slot     *slotGrant // set if the request goes to a slot of a small service
}

// selectionInput describes the request for which a back end is selected.
type selectionInput struct {
	service       *catalog.Service
	store         *catalog.Service // cache store of the prompt, or nil
	namespace     namespace
	call          *Call
	tried         []*endpoint         // back ends that the request was sent to already
	trusted       bool                // the view was confirmed recently, so its weight versions are valid
	memory        int                 // tokens of engine memory that the prompt uses; set by choose
	meanDuration  belief.MeanDuration // of the service's requests; set by choose
	firstAttempt  bool                // no back end was sent the request yet
	priority      int                 // as of enginePriority
	latencyTarget time.Duration       // the route's objective
	// sentByPeer means that another gateway sends the request. A back end that asked only this gateway to back off
	// remains eligible then.
	sentByPeer bool
	// latencyCritical is set if the parts that need a short objective take effect for the service, and offer holds the
	// optional features of its back ends.
	latencyCritical bool
	offer           catalog.Offer
	maxEventGap     time.Duration      // shortest of the longest permitted gaps between events of the service's streams, or 0
	rates           *enginequeue.Rates // of the service's engines, if it has queues; set by choose
	// tenantName is "" if the tenant is unknown, and timeLeft is the time until the request's deadline.
	tenantName string
	timeLeft   time.Duration
	// reportsFirstEvent means that the sender learns and reports when the first event comes.
	reportsFirstEvent bool
	software          *streamorigin.Requirement // of a stream that goes on, else nil
	// newConnectionCost is the cost of a back end to which no connection is idle, in milliseconds; set by choose.
	newConnectionCost float64
	maxIdle           time.Duration // of connections that the request may use
	onlyConnected     bool          // no connection may be opened, so that only back ends to which one is idle are eligible
	storeIndexed      bool          // the store index plans copies from and to the store; set by choose
}

// promptTokens returns the number of prompt tokens.
func (w *selectionInput) promptTokens() int { return w.call.promptTokens() }

// maxUncached returns the prompt tokens to prefill at an engine that has all the shared parts cached.
func (w *selectionInput) maxUncached() int {
	return w.promptTokens() - prefix.PartTokens(prefix.SharedParts(w.call.Parts))
}

// choose returns the eligible back end of least cost, or nil if there is none.
func (g *Gateway) choose(now time.Duration, in selectionInput) *candidate {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	in.maxIdle = cmp.Or(in.maxIdle, maxIdleOnce)
	if !in.sentByPeer { // which has other connections than this gateway
		in.newConnectionCost = g.placementCost(in.service).Seconds() * 1000
	}
	rows := g.table.services[in.service.Name]
	if in.service.Engine {
		lanes := g.table.lanesOf(in.service.Name)
		lanes.divide(rows)
		lanes.measureUtilization(now, rows)
		lanes.strict = in.latencyCritical && g.enabled(mechanism.PauseBound)
		in.rates = g.table.queueRates[in.service.Name]
		in.memory, in.meanDuration = promptMemory(in.call), g.table.meanDuration(in.service.Name)
		if lanes.strict {
			in.meanDuration = lanes.duration(in.promptTokens() >= longPromptTokens)
		}
	}
	in.storeIndexed = g.usesStoreIndex(now, &in)
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
	if in.storeIndexed {
		g.planStoreSave(now, &best, in)
	}
	g.table.assignQueueNumber(&best, in)
	if best.recomputed > 0 {
		best.recomputeReason = g.explainRecompute(now, &best, prefix.SharedParts(in.call.Parts), sources)
	}
	return &best
}

// placementCost returns the cost of a back end to which no connection is idle. The caller holds the table's mutex.
func (g *Gateway) placementCost(service *catalog.Service) time.Duration {
	cost := g.congestion.connectionCost(service, g.table.lifeReplyTimes[service.Name])
	if cost < minPlacementCost {
		cost = 0
	}
	return max(cost, g.congestion.limitedConnectionCost(service.Name))
}

// cheapest returns the eligible back end of a list that has the least cost.
func (g *Gateway) cheapest(now time.Duration, listed []*endpoint, owner *endpoint, sources []source, in selectionInput) (best candidate, found bool) {
	first := rand.IntN(max(1, len(listed))) // so that gateways with equal knowledge pick different ones of equals
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

// eligible reports whether a back end may get a new request.
func (g *Gateway) eligible(now time.Duration, row *endpoint, in selectionInput) bool {
	if !row.acceptsRequests() || slices.Contains(in.tried, row) || !in.software.Admits(row.software) || g.table.restrictionCause(now, row, in.sentByPeer) != "" {
		return false
	}
	if in.onlyConnected && !g.pool.hasIdle(row.entry.ID, in.maxIdle) {
		return false
	}
	deadline, hasDeadline := g.startDeadline(row, in.service, in.call.Model)
	return !hasDeadline || now < deadline-startMargin
}

// owner returns the engine that computes a shared prompt which no engine is known to have cached. It uses
// rendezvous hashing over the eligible engines, so that all gateways agree without communicating.
func (g *Gateway) owner(now time.Duration, rows []*endpoint, in selectionInput) *endpoint {
	if !in.service.Engine || len(in.call.Parts) == 0 || !g.enabled(mechanism.AffinityOwner) {
		return nil
	}
	key := xxhash.Sum64String(prefix.AffinityKey(in.call.Parts))
	uncached := in.maxUncached()
	var best *endpoint
	var highest uint64
	for _, row := range rows {
		weight := mix(key ^ row.hash)
		if best != nil && weight <= highest {
			continue
		}
		if !g.eligible(now, row, in) || now < row.avoidUntil || g.offLaneCost(row, &in, uncached) > 0 || g.table.signals.Limit(row.incarnation).Advertised {
			continue // one with an advertised limit is eligible only at times, so the prompt would be computed in two places
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

// score predicts the time to the first event at a back end, in milliseconds, plus penalties.
func (g *Gateway) score(now time.Duration, row *endpoint, in selectionInput, owner bool, sources []source) candidate {
	scored := candidate{row: row}
	if in.service.Engine {
		g.scoreEngine(now, &scored, in, owner, sources)
	} else {
		scored.cost = plainRequestTime * float64(row.occupancy.Total().Running) / float64(max(1, row.entry.Slots))
	}
	if row.entry.Zone != g.settings.Zone && g.enabled(mechanism.ZoneCost) {
		scored.cost += crossZoneCost
	}
	scored.cost += g.healthPenalty(now, row)
	if in.newConnectionCost > 0 && !g.pool.hasIdle(row.entry.ID, in.maxIdle) {
		scored.cost += in.newConnectionCost
	}
	if g.assignedElsewhere(row, in) {
		scored.cost += assignedElsewhereCost
	}
	return scored
}

// assignedElsewhere reports whether another gateway samples a back end of a large service.
func (g *Gateway) assignedElsewhere(row *endpoint, in selectionInput) bool {
	return !row.assigned && g.table.assignedCount > 0 && len(g.table.services[in.service.Name]) > maxScoreAll
}

// scoreEngine adds the cost of queueing, prefill and copying at an engine. Recomputing shared parts costs more
// than its time, since the fleet has done that work already.
func (g *Gateway) scoreEngine(now time.Duration, scored *candidate, in selectionInput, owner bool, sources []source) {
	row := scored.row
	scored.version = row.entry.Versions[in.call.Model]
	scored.namespace, scored.salt = in.namespace, in.namespace.salt(scored.version)
	if scored.version == 0 || !in.trusted {
		scored.version, scored.salt = 0, uniqueSalt()
	}
	shared := prefix.SharedParts(in.call.Parts)
	cached := row.cache.Cached(scored.salt, shared)
	sharedTokens := prefix.PartTokens(shared)
	if cached < sharedTokens && scored.version > 0 {
		cached = g.planFetch(now, scored, in, cached, sources)
	} else if scored.version > 0 && sharedTokens > 0 && in.store != nil && !(in.storeIndexed && g.table.stores.State(now, in.store.StoreAddress) == storeindex.Silent) {
		scored.fetchFrom = in.store.StoreAddress // the engine may have evicted the parts, and asking the store is cheap
	}
	scored.uncached, scored.recomputed = in.promptTokens()-cached, max(0, sharedTokens-cached)
	load := row.occupancy.Total()
	queueTime, prefillTime := g.predictPrefill(now, scored, &in)
	scored.cost += queueTime + prefillTime
	if g.enabled(mechanism.Occupancy) {
		scored.cost += belief.CapacityWait(load, row.entry.Slots, in.service.CacheTokens, in.memory, in.meanDuration)
	}
	scored.wait = scored.cost
	scored.queueWait = scored.wait - prefillTime
	scored.cost += g.pauseCost(scored, &in, load.Running)
	scored.cost += g.offLaneCost(row, &in, scored.uncached)
	if g.enabled(mechanism.RecomputeCost) {
		scored.cost += recomputeWeight * float64(sharedTokens-cached) / belief.PrefillRate
	}
	scored.cost += runningCost * float64(load.Running)
	if g.enabled(mechanism.Interference) {
		scored.cost += interferenceWeight * float64(scored.uncached) / belief.PrefillRate * float64(load.Running)
	}
	if !owner && g.enabled(mechanism.AffinityMissCost) {
		scored.cost += nonOwnerWeight * float64(sharedTokens-cached) / belief.PrefillRate
	}
}

// healthPenalty returns the cost of signs that a back end is unhealthy or overloaded, in milliseconds.
func (g *Gateway) healthPenalty(now time.Duration, row *endpoint) float64 {
	cost := failingCost * row.failureRate
	if g.enabled(mechanism.FailureAvoidance) && (now < row.avoidUntil || row.unresponsive(now)) {
		cost += avoidCost
	}
	if row.entry.Silent {
		cost += silentCost
	}
	if row.entry.Silent && row.failures > 0 {
		cost += avoidCost // neither control nor this gateway has had a sign of it since
	}
	if now < row.entryAt+row.entry.ColdLeft {
		cost += coldCost
	}
	if limit, observedAt := g.table.signals.LimitObservedAt(row.incarnation); limit.Advertised {
		cost += limitCost - limitCostDecay*min(now-observedAt, maxLimitCostDecayTime).Seconds()
	}
	return cost
}

// enginePriority returns a request's priority at an engine, 0 being the highest. The tenant's priority takes
// precedence over the route's.
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
