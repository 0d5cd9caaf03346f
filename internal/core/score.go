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
	// maxExhaustiveEngines is the number of ready engines up to which every one is scored; beyond it only holders
	// of the prefix, its rendezvous engines and a random sample are.
	maxExhaustiveEngines = 64
	sampleSize           = 12
	ringCandidates       = 2
	maxHolderCandidates  = 24
	// defaultPrefillRate is assumed until an engine reports its own, in tokens/s.
	defaultPrefillRate = 4000
	// doubtfulFraction is how much of a doubtful match is counted on.
	doubtfulFraction = 0.5
	// maxImportTimeRatio is the factor by which copying must beat recomputing.
	maxImportTimeRatio = 0.8
	// DisplacedFraction is the share of copied blocks that drive out others which are asked for again.
	DisplacedFraction = 0.6
	// minImportBlocks is the least run of blocks worth a copy.
	minImportBlocks = 4
)

// Candidate is one engine as placement sees it for one request.
type Candidate struct {
	Engine       prefix.EngineID
	Name         string
	Zone         string
	Cached       int // prompt tokens believed to be cached
	Uncached     int // prompt tokens to prefill after a copy, if any
	ImportBlocks int // leading blocks to copy from elsewhere first; 0 for none
	ImportFrom   string
	Running      int // own attempts, and those reported by the engine
	Wait         time.Duration
	Predicted    time.Duration // time to first token
	Cost         float64       // seconds, weighted
	unbiased     time.Duration // Predicted before the bias
}

// PlacementContext is what a placer may look at besides the candidates.
type PlacementContext struct {
	Now     time.Duration
	Request *Request
	Values  *settings.Values
	Random  *rand.Rand
}

// Placer picks one of the candidates, or -1 to leave the request queued.
type Placer interface {
	Pick(context PlacementContext, candidates []Candidate) int
	// AllowsImport reports whether cached blocks may be copied between engines.
	AllowsImport() bool
}

// CostPlacer picks the least cost; ties go to the first.
type CostPlacer struct{}

// Pick returns the candidate of least cost.
func (CostPlacer) Pick(_ PlacementContext, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].Cost < candidates[best].Cost {
			best = i
		}
	}
	return best
}

// AllowsImport is true: copies are part of the default policy.
func (CostPlacer) AllowsImport() bool { return true }

// ringPoint is an engine's place on the consistent hash ring of its service.
type ringPoint struct {
	hash   uint64
	engine prefix.EngineID
}

const ringPointsPerEngine = 16

// rebuildRing spreads the ready engines of a service over the ring.
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

// candidateEngines collects the engines worth scoring: ready, not failed on before, below their limit.
func (c *Core) candidateEngines(r *request, service *serviceState) []prefix.EngineID {
	if service.ringStale {
		c.rebuildRing(service)
	}
	if len(service.backends) <= maxExhaustiveEngines {
		return slices.DeleteFunc(slices.Clone(service.backends), func(id prefix.EngineID) bool { return !c.isEligible(r, id) })
	}
	var picked []prefix.EngineID
	add := func(id prefix.EngineID) {
		if !slices.Contains(picked, id) && c.isEligible(r, id) {
			picked = append(picked, id)
		}
	}
	for i, match := range c.matches {
		if i >= maxHolderCandidates {
			break
		}
		add(match.Engine)
	}
	for _, id := range c.ringOwners(r, service, ringCandidates) {
		add(id)
	}
	for range sampleSize {
		add(service.backends[c.random.IntN(len(service.backends))])
	}
	return picked
}

// ringOwners returns the first engines on the ring after the root of the request's chain.
func (c *Core) ringOwners(r *request, service *serviceState, count int) []prefix.EngineID {
	if len(service.ring) == 0 {
		return nil
	}
	target := ringKey(r)
	at, _ := slices.BinarySearchFunc(service.ring, target, func(point ringPoint, wanted uint64) int {
		switch {
		case point.hash < wanted:
			return -1
		case point.hash > wanted:
			return 1
		}
		return 0
	})
	var owners []prefix.EngineID
	for step := 0; step < len(service.ring) && len(owners) < count; step++ {
		engine := service.ring[(at+step)%len(service.ring)].engine
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
	return !slices.Contains(r.failedOn, id) && row.running < int(row.concurrencyLimit) && c.blockedFor(row) == 0
}

// chainFor returns the request's chain under the engine's weights.
func chainFor(r *request, row *backend) []prefix.Hash {
	for _, chain := range r.Chains {
		if chain.Weights == row.weights {
			return chain.Blocks
		}
	}
	return nil
}

// scoreCandidates fills c.scores with a candidate for each eligible engine.
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

// scoreEngine predicts what a request would cost on one engine.
func (c *Core) scoreEngine(r *request, row *backend) Candidate {
	match := c.matchFor(row.id)
	cached := match.Blocks * c.config.BlockTokens
	if match.Doubtful {
		cached = int(float64(cached) * doubtfulFraction)
	}
	rate := row.load.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	candidate := Candidate{
		Engine: row.id, Name: row.machine.Name, Zone: row.machine.Zone, Cached: cached,
		Uncached: max(1, r.PromptTokens+r.emitted-cached), Running: max(row.running, row.load.Running+row.load.Waiting),
	}
	copiedTokens, importTime := c.planImport(r, row, rate, &candidate)
	compute := float64(candidate.Uncached) / rate
	candidate.Wait = secondsToDuration(float64(c.pendingPrefillTokens(row, r.Lane)) / rate)
	candidate.unbiased = candidate.Wait + secondsToDuration(compute) + importTime
	network := 2 * c.config.ZoneLatency[row.machine.Zone]
	candidate.Predicted = network + time.Duration(float64(candidate.unbiased)*row.latencyBias)
	displaced := float64(copiedTokens) / rate
	candidate.Cost = r.values.TimeWeight*candidate.Predicted.Seconds() + r.values.RecomputeWeight*(compute+DisplacedFraction*displaced)
	return candidate
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pendingPrefillTokens is the prefill before a request of a lane: what the engine reported, and what we sent since.
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

// planImport adds a copy from the best holder, or the vault, when that beats recomputing. It returns the tokens to
// copy and the time that takes.
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
	copyTime := secondsToDuration(float64(tokens) / c.config.ImportRate)
	if copyTime > time.Duration(maxImportTimeRatio*float64(secondsToDuration(float64(tokens)/rate))) {
		return 0, 0
	}
	candidate.ImportBlocks, candidate.ImportFrom = blocks, source
	candidate.Uncached = max(1, candidate.Uncached-tokens)
	return tokens, copyTime
}

// holderCount counts the engines that are believed to hold a prefix of a length.
func (c *Core) holderCount(blocks int) int {
	count := 0
	for _, match := range c.matches {
		if match.Blocks >= blocks && !match.Doubtful {
			count++
		}
	}
	return count
}

// bestImportSource returns where the longest prefix of a chain can be copied from.
func (c *Core) bestImportSource(r *request, row *backend) (int, string) {
	chain := chainFor(r, row)
	blocks, source := 0, ""
	for _, match := range c.matches {
		other := &c.backends[match.Engine]
		if match.Engine != row.id && !match.Doubtful && match.Blocks > blocks && other.weights == row.weights && c.isReady(other) {
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

// vaultPrefixBlocks returns how many leading blocks the vault holds.
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
