package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
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
	// coldCost is what a back end that has just started costs, in milliseconds.
	coldCost = 40.0
	// scoreAllUpTo is the number of a service's back ends up to which all are scored; beyond it at most maximumHolders of
	// those that hold parts are, and a random sample.
	scoreAllUpTo   = 64
	maximumHolders = 24
	holdersSeen    = 64 // of those that hold a first part, the newest are looked at
	sampleSize     = 12
	// rereadWeight is how much more than its time the reading of shared parts counts, and strayCost what it costs besides
	// to read them anywhere but at their owner.
	rereadWeight = 0.5
	strayCost    = 0.3
	// moveBase is the least time of a copy, in milliseconds; farFactor is how much longer one between zones takes.
	moveBase              = 4.0
	farFactor             = 2.0
	bitsPerByte           = 8
	bitsPerMegabit        = 1e6
	millisecondsPerSecond = 1e3
)

const (
	// outdatedAfter is how long after newer weights were named an answer on older ones is worth less to callers, and
	// outdatedShare of the route's objective is what that counts.
	outdatedAfter = 1500 * time.Millisecond
	outdatedShare = 0.25
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
	fetch    string        // address to take cached parts from, or ""
	save     string        // address of the store to keep the parts in, or ""
}

// need is what a decision depends on.
type need struct {
	service *catalog.Service
	store   *catalog.Service // of kept caches, or nil
	tenant  *catalog.Tenant
	call    *Call
	tried   []*endpoint
	trusted bool // the view is confirmed, so what it says of weights holds
	// objective is the time to the first event that callers want; 0 unknown.
	objective time.Duration
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
	}
	owner := g.owner(now, rows, wish)
	sources := g.sources(now, rows, wish)
	listed := g.shortlist(rows, owner, sources)
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
// prompt, and a random sample.
func (g *Gateway) shortlist(rows []*endpoint, owner *endpoint, sources []source) []*endpoint {
	if len(rows) <= scoreAllUpTo {
		return rows
	}
	var picked []*endpoint
	if owner != nil {
		picked = append(picked, owner)
	}
	for _, held := range sources[:min(len(sources), maximumHolders)] {
		picked = append(picked, held.row)
	}
	for range sampleSize {
		picked = append(picked, rows[rand.IntN(len(rows))])
	}
	return picked
}

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

// eligible reports whether a back end may get a new request at all.
func (g *Gateway) eligible(now time.Duration, row *endpoint, wish need) bool {
	if row.entry.State != catalog.StateReady || row.entry.Loading || slices.Contains(wish.tried, row) {
		return false
	}
	limit, limited := g.beginLimit(row, wish.call.Model)
	return !limited || now < limit-beginMargin
}

// beginLimit returns until when requests may begin on a back end's weights, if newer ones were named. The time counts
// from when the oldest version that it lacks was named, not the newest.
func (g *Gateway) beginLimit(row *endpoint, model string) (time.Duration, bool) {
	namedAt, lacks := g.lacksSince(row, model)
	return namedAt + g.settings.VersionLimit, lacks
}

// lacksSince returns when the oldest version that a back end lacks was named, if there is one.
func (g *Gateway) lacksSince(row *endpoint, model string) (time.Duration, bool) {
	held, holds := row.entry.Versions[model]
	if !holds {
		return 0, false
	}
	for _, version := range g.table.named[model] {
		if version.version > held {
			return version.namedAt, true
		}
	}
	return 0, false
}

// outdated is what speaks against a back end whose weights are not the newest, in milliseconds.
func (g *Gateway) outdated(now time.Duration, scored *candidate, wish need) float64 {
	namedAt, lacks := g.lacksSince(scored.row, wish.call.Model)
	begins := now + time.Duration(scored.wait*float64(time.Millisecond))
	if !lacks || begins < namedAt+outdatedAfter {
		return 0
	}
	return outdatedShare * float64(wish.objective) / float64(time.Millisecond)
}

// beginsTooLate reports whether a request would likely begin after the limit for the back end's weights.
func (g *Gateway) beginsTooLate(now time.Duration, scored *candidate, model string) bool {
	limit, limited := g.beginLimit(scored.row, model)
	if limited {
		scored.beginBy = limit
	}
	wait := time.Duration(beginFactor * float64(scored.wait) * float64(time.Millisecond))
	return limited && now+wait >= limit-beginMargin
}

// owner returns the back end on which requests with the same shared prompt meet while nobody is believed to hold it: the
// highest random weight among those that may be used (rendezvous hashing), so that all gateways agree without a word.
func (g *Gateway) owner(now time.Duration, rows []*endpoint, wish need) *endpoint {
	if !wish.service.Engine || len(wish.call.Parts) == 0 {
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
		if !g.eligible(now, row, wish) || now < row.avoidTo || row.astray(longest) > 0 {
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
		scored.cost += g.outdated(now, &scored, wish)
	} else {
		scored.cost = slotTime * float64(row.occupied.own.running+row.others) / float64(max(1, row.entry.Slots))
	}
	if row.entry.Zone != g.settings.Zone {
		scored.cost += zoneCost
	}
	scored.cost += doubt(now, row)
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
	scored.cost += crowding(held, row.entry.Slots, wish.service.CacheLimit, memoryOf(wish.call), g.table.stay(wish.service.Name))
	scored.wait = scored.cost
	scored.cost += row.astray(scored.uncached)
	scored.cost += rereadWeight * float64(sharedTokens-cached) / prefillRate
	scored.cost += runningCost * float64(held.running)
	if !owner {
		scored.cost += strayCost * float64(sharedTokens-cached) / prefillRate
	}
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

// doubt is what speaks against a back end, in milliseconds.
func doubt(now time.Duration, row *endpoint) float64 {
	cost := failingCost * row.failing
	if now < row.avoidTo || row.mute(now) {
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

// salt names the cached parts that a request may share: those of the same weights, and of the same tenant where it
// shares nothing.
func salt(version uint64, owner *catalog.Tenant) string {
	name := "w" + formatVersion(version)
	if owner != nil && owner.Isolated {
		name += "/" + owner.Name
	}
	return name
}

// uniqueSalt names cached parts that nobody shares, for where it is not known which weights made them.
func uniqueSalt() string { return "u" + strconv.FormatUint(rand.Uint64(), saltBase) }

const saltBase = 36

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
