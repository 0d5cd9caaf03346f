package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

const (
	// maxExhaustiveEngines is the number of engines up to which all of them are scored. In larger services only
	// engines that hold part of the prefix, its owners on the hash ring and a random sample are.
	maxExhaustiveEngines = 64
	sampleSize           = 12
	ringCandidates       = 2
	maxHolderCandidates  = 24
	// defaultPrefillRate is assumed until an engine reports its rate, in tokens/s.
	defaultPrefillRate = 4000
	// staleMatchFraction is the fraction of a stale match that is counted as cached.
	staleMatchFraction = 0.5
	// maxImportTimeRatio is the maximum ratio of copy time to compute time at which blocks are copied.
	maxImportTimeRatio = 0.8
	// DisplacedFraction is the assumed fraction of copied blocks that evict blocks which are requested again.
	DisplacedFraction = 0.6
	// minImportBlocks is the minimum number of blocks to copy.
	minImportBlocks = 4
)

// Candidate is the score of one engine for one request. Decisions are shown to operators as JSON under these field
// names.
type Candidate struct {
	Engine       prefix.EngineID
	Name         string
	Zone         string
	Cached       int // prompt tokens assumed to be cached
	Uncached     int // prompt tokens to prefill after the copy, if any
	ImportBlocks int // leading blocks to copy from ImportFrom first; 0 for none
	ImportFrom   string
	Running      int           // attempts of this router, or running and waiting requests as reported if more
	Wait         time.Duration // for prefill that is already pending
	Predicted    time.Duration // time to first token
	Cost         float64       // weighted seconds
	unbiased     time.Duration // Predicted without bias correction and network latency
}

// PlacementContext is what a Placer may use besides the candidates.
type PlacementContext struct {
	Now     time.Duration
	Request *Request
	Values  *settings.Values
	Random  *rand.Rand
}

// Placer is a placement policy.
type Placer interface {
	// Pick returns the index of a candidate, or -1 to keep the request queued.
	Pick(context PlacementContext, candidates []Candidate) int
	// AllowsImport reports whether cached blocks may be copied between engines.
	AllowsImport() bool
}

// CostPlacer picks the candidate with the lowest cost; the first of equals.
type CostPlacer struct{}

// Pick returns the candidate with the lowest cost.
func (CostPlacer) Pick(_ PlacementContext, candidates []Candidate) int {
	bestIndex := -1
	for i := range candidates {
		if bestIndex < 0 || candidates[i].Cost < candidates[bestIndex].Cost {
			bestIndex = i
		}
	}
	return bestIndex
}

// AllowsImport returns true.
func (CostPlacer) AllowsImport() bool { return true }

// ringPoint is a point of an engine on the consistent hash ring of its service.
type ringPoint struct {
	hash   uint64
	engine prefix.EngineID
}

const ringPointsPerEngine = 16

// rebuildRing rebuilds the hash ring of a service from its ready engines.
func (c *Core) rebuildRing(service *serviceState) {
	service.ring = service.ring[:0]
	for _, id := range service.backends {
		row := &c.backends[id]
		if !c.isReady(row) {
			continue
		}
		for point := range ringPointsPerEngine {
			service.ring = append(service.ring, ringPoint{hash: ringHash(row.machine.Name, point), engine: id})
		}
	}
	slices.SortFunc(service.ring, func(a, b ringPoint) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return int(a.engine) - int(b.engine)
	})
	service.ringStale = false
}

// candidateEngines returns the eligible engines to score.
func (c *Core) candidateEngines(r *request, service *serviceState) []prefix.EngineID {
	if service.ringStale {
		c.rebuildRing(service)
	}
	if len(service.backends) <= maxExhaustiveEngines {
		return slices.DeleteFunc(slices.Clone(service.backends), func(id prefix.EngineID) bool { return !c.isEligible(r, id) })
	}
	var picked []prefix.EngineID
	addIfEligible := func(id prefix.EngineID) {
		if !slices.Contains(picked, id) && c.isEligible(r, id) {
			picked = append(picked, id)
		}
	}
	for i, match := range c.matches {
		if i >= maxHolderCandidates {
			break
		}
		addIfEligible(match.Engine)
	}
	for _, id := range c.ringOwners(r, service, ringCandidates) {
		addIfEligible(id)
	}
	for range sampleSize {
		addIfEligible(service.backends[c.random.IntN(len(service.backends))])
	}
	return picked
}

// ringOwners returns the first count engines on the ring from the request's ring key on.
func (c *Core) ringOwners(r *request, service *serviceState, count int) []prefix.EngineID {
	if len(service.ring) == 0 {
		return nil
	}
	key := ringKey(r)
	start, _ := slices.BinarySearchFunc(service.ring, key, func(point ringPoint, target uint64) int {
		switch {
		case point.hash < target:
			return -1
		case point.hash > target:
			return 1
		}
		return 0
	})
	var owners []prefix.EngineID
	for step := 0; step < len(service.ring) && len(owners) < count; step++ {
		engine := service.ring[(start+step)%len(service.ring)].engine
		if !slices.Contains(owners, engine) {
			owners = append(owners, engine)
		}
	}
	return owners
}

func (c *Core) isEligible(r *request, id prefix.EngineID) bool {
	row := &c.backends[id]
	if !c.isReady(row) && (c.config.Guards.On(guard.LeavingCheck) || row.state != BackendReady) {
		return false
	}
	return c.admitsSoftware(r, row) && !slices.Contains(r.failedOn, id) && row.running < int(row.concurrencyLimit) && c.blockedFor(row) == 0
}

// chainFor returns the request's block chain under the engine's weights.
func chainFor(r *request, row *backend) []prefix.Hash {
	for _, chain := range r.Chains {
		if chain.Weights == row.weights {
			return chain.Blocks
		}
	}
	return nil
}

// scoreCandidates fills c.candidates with the scores of the eligible engines.
func (c *Core) scoreCandidates(r *request, service *serviceState) []Candidate {
	c.matches = c.matches[:0]
	for _, chain := range r.Chains {
		c.matches = c.index.Lookup(chain.Blocks, c.now, c.matches)
	}
	c.candidates = c.candidates[:0]
	for _, id := range c.candidateEngines(r, service) {
		c.candidates = append(c.candidates, c.scoreEngine(r, &c.backends[id]))
	}
	return c.candidates
}

func (c *Core) matchFor(id prefix.EngineID) prefix.Match {
	for _, match := range c.matches {
		if match.Engine == id {
			return match
		}
	}
	return prefix.Match{}
}

// scoreEngine predicts the latency and cost of a request on one engine.
func (c *Core) scoreEngine(r *request, row *backend) Candidate {
	match := c.matchFor(row.id)
	cached := match.Blocks * c.config.BlockTokens
	if match.Stale {
		cached = int(float64(cached) * staleMatchFraction)
	}
	rate := row.load.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	candidate := Candidate{
		Engine: row.id, Name: row.machine.Name, Zone: row.machine.Zone, Cached: cached,
		Uncached: max(1, r.PromptTokens+r.emitted-cached), Running: max(row.running, row.load.Running+row.load.Waiting),
	}
	importTokens, importTime := c.planImport(r, row, rate, &candidate)
	compute := float64(candidate.Uncached) / rate
	candidate.Wait = secondsToDuration(float64(c.pendingPrefillTokens(row, r.Lane)) / rate)
	candidate.unbiased = candidate.Wait + secondsToDuration(compute) + importTime
	network := 2 * c.config.ZoneLatency[row.machine.Zone]
	candidate.Predicted = network + time.Duration(float64(candidate.unbiased)*row.latencyBias)
	displaced := float64(importTokens) / rate
	candidate.Cost = r.values.TimeWeight*candidate.Predicted.Seconds() + r.values.RecomputeWeight*(compute+DisplacedFraction*displaced)
	return candidate
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pendingPrefillTokens returns the prefill tokens ahead of a request of a lane: those that the engine reported, and
// those dispatched since by this router and by others.
func (c *Core) pendingPrefillTokens(row *backend, l Lane) int {
	pending := row.load.WaitingTokens
	if l == LaneInteractive {
		pending = row.load.InteractiveTokens
	}
	for _, sent := range row.pendingPrefill {
		if sent.sentAt >= row.loadMeasuredAt && (l == LaneBatch || sent.lane == LaneInteractive) {
			pending += sent.tokens
		}
	}
	for _, sent := range row.peerPrefill {
		if l == LaneBatch || sent.lane == LaneInteractive {
			pending += sent.tokens
		}
	}
	return pending
}

// planImport adds a copy from another engine or the vault to the candidate if that is faster than recomputing. It
// returns the tokens to copy and the time that this takes.
func (c *Core) planImport(r *request, row *backend, rate float64, candidate *Candidate) (int, time.Duration) {
	if c.config.ImportRate <= 0 || !c.config.Placer.AllowsImport() {
		return 0, 0
	}
	blocks, source := c.bestImportSource(r, row)
	if c.holderCount(blocks) >= r.values.HotCopies {
		return 0, 0
	}
	missing := blocks - candidate.Cached/c.config.BlockTokens
	if missing < minImportBlocks {
		return 0, 0
	}
	tokens := missing * c.config.BlockTokens
	importTime := secondsToDuration(float64(tokens) / c.config.ImportRate)
	if importTime > time.Duration(maxImportTimeRatio*float64(secondsToDuration(float64(tokens)/rate))) {
		return 0, 0
	}
	candidate.ImportBlocks, candidate.ImportFrom = blocks, source
	candidate.Uncached = max(1, candidate.Uncached-tokens)
	return tokens, importTime
}

// holderCount returns the number of engines assumed to hold a prefix of at least that many blocks.
func (c *Core) holderCount(blocks int) int {
	count := 0
	for _, match := range c.matches {
		if match.Blocks >= blocks && !match.Stale {
			count++
		}
	}
	return count
}

// bestImportSource returns the length in blocks of the longest cached prefix elsewhere, and the address to copy it
// from.
func (c *Core) bestImportSource(r *request, row *backend) (int, string) {
	chain := chainFor(r, row)
	blocks, source := 0, ""
	for _, match := range c.matches {
		other := &c.backends[match.Engine]
		if match.Engine != row.id && !match.Stale && match.Blocks > blocks && other.weights == row.weights && c.isReady(other) {
			blocks, source = match.Blocks, other.machine.Address
		}
	}
	if c.config.Vault == "" || blocks == len(chain) {
		return blocks, source
	}
	if held := c.vaultPrefixBlocks(chain); held > blocks {
		return held, c.config.Vault
	}
	return blocks, source
}

// vaultPrefixBlocks returns the number of leading blocks that the vault holds.
func (c *Core) vaultPrefixBlocks(chain []prefix.Hash) int {
	low, high := 0, len(chain)
	for low < high {
		middle := (low + high) / 2
		if c.vaultBlocks[chain[middle]] {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
