// Package bench compares routing policies in virtual time. The router's core, with the policy under test as its placer,
// drives emulated engines with the sizes and traffic of a deployment. All policies get the same requests.
package bench

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/core"
)

// Policy is the name of a routing policy.
type Policy string

// Policies under comparison, baselines first.
const (
	Random            Policy = "random"
	RoundRobin        Policy = "round-robin"
	LeastLoaded       Policy = "least-loaded"
	PrefixHash        Policy = "prefix-hash"
	BoundedPrefixHash Policy = "bounded-prefix-hash"
	Kitetiller        Policy = "kitetiller"
	Clairvoyant       Policy = "clairvoyant"
)

// Policies returns all policies in the order of the reports.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastLoaded, PrefixHash, BoundedPrefixHash, Kitetiller, Clairvoyant}
}

const (
	// maxLoadFactor is the multiple of the mean load from which bounded prefix hashing skips an engine.
	maxLoadFactor = 1.25
)

// placerFor returns the placer of a policy.
func placerFor(policy Policy, r *run) core.Placer {
	switch policy {
	case Random:
		return randomPlacer{}
	case RoundRobin:
		return &roundRobinPlacer{}
	case LeastLoaded:
		return leastLoadedPlacer{}
	case PrefixHash:
		return prefixHashPlacer{depth: r.options.hashDepth()}
	case BoundedPrefixHash:
		return prefixHashPlacer{depth: r.options.hashDepth(), limitLoad: true}
	case Clairvoyant:
		return clairvoyantPlacer{run: r}
	}
	return core.CostPlacer{}
}

// noImports is embedded by the baselines, which import no cached blocks.
type noImports struct{}

// AllowsImport returns false.
func (noImports) AllowsImport() bool { return false }

type randomPlacer struct{ noImports }

// Pick returns a random candidate.
func (randomPlacer) Pick(context core.PlacementContext, candidates []core.Candidate) int {
	return context.Random.IntN(len(candidates))
}

type roundRobinPlacer struct {
	noImports
	last int
}

// Pick returns the candidate after the last chosen one, by engine ID.
func (p *roundRobinPlacer) Pick(_ core.PlacementContext, candidates []core.Candidate) int {
	best := -1
	for i := range candidates {
		if int(candidates[i].Engine) > p.last && (best < 0 || candidates[i].Engine < candidates[best].Engine) {
			best = i
		}
	}
	if best < 0 {
		best = 0
	}
	p.last = int(candidates[best].Engine)
	return best
}

type leastLoadedPlacer struct{ noImports }

// Pick returns the candidate with the fewest running requests.
func (leastLoadedPlacer) Pick(_ core.PlacementContext, candidates []core.Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Running < candidates[best].Running {
			best = i
		}
	}
	return best
}

// prefixHashPlacer places by rendezvous hashing of the prompt's first blocks. With limitLoad set it skips engines whose
// load is far above the mean.
type prefixHashPlacer struct {
	noImports
	depth     int // blocks of the prompt that are hashed
	limitLoad bool
}

// Pick returns the candidate with the highest hash among those within the load limit.
func (p prefixHashPlacer) Pick(context core.PlacementContext, candidates []core.Candidate) int {
	order := make([]int, len(candidates))
	weights := make([]uint64, len(candidates))
	total := 0
	for i := range candidates {
		order[i], weights[i] = i, rendezvous(context.Request, p.depth, candidates[i].Name)
		total += candidates[i].Running
	}
	slices.SortFunc(order, func(a, b int) int {
		if weights[a] > weights[b] {
			return -1
		}
		return 1
	})
	if !p.limitLoad {
		return order[0]
	}
	maxRunning := maxLoadFactor * float64(total+1) / float64(len(candidates))
	for _, i := range order {
		if float64(candidates[i].Running) < max(1, maxRunning) {
			return i
		}
	}
	return order[0]
}

func rendezvous(request *core.Request, depth int, name string) uint64 {
	digest := xxhash.New()
	blocks := request.Chains[0].Blocks
	if len(blocks) > 0 {
		root := blocks[min(depth, len(blocks))-1]
		_, _ = digest.Write(root[:])
	}
	_, _ = digest.WriteString(name)
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], digest.Sum64())
	return xxhash.Sum64(sum[:]) // hashed again because the names differ only in their last digits
}

// clairvoyantPlacer knows the exact state of every cache and queue and uses the router's cost function. It shows how
// much better state would help.
type clairvoyantPlacer struct{ run *run }

// AllowsImport returns true, as for the router.
func (clairvoyantPlacer) AllowsImport() bool { return true }

// Pick replaces the estimates of each candidate by the true state and returns the cheapest.
func (p clairvoyantPlacer) Pick(context core.PlacementContext, candidates []core.Candidate) int {
	chain := context.Request.Chains[0].Blocks
	best := -1
	source, longestCached := p.run.longestCachedPrefix(chain)
	for i := range candidates {
		p.applyTrueState(context, &candidates[i], source, longestCached)
		if best < 0 || candidates[i].Cost < candidates[best].Cost {
			best = i
		}
	}
	return best
}

func (p clairvoyantPlacer) applyTrueState(context core.PlacementContext, candidate *core.Candidate, source string, longestCached int) {
	node := p.run.engines[candidate.Engine]
	rates := p.run.rates
	cachedBlocks := node.model.CachedPrefix(context.Request.Chains[0].Blocks)
	computeTokens := p.uncachedTokens(context.Request, cachedBlocks)
	importTime, displacedTime := time.Duration(0), time.Duration(0)
	candidate.ImportBlocks, candidate.ImportFrom = 0, ""
	if longestCached > cachedBlocks && source != node.name {
		importTokens := (longestCached - cachedBlocks) * p.run.options.blockTokens()
		timeWithImport := seconds(float64(importTokens)/rates.ImportTokensPerSecond) + seconds(float64(p.uncachedTokens(context.Request, longestCached))/rates.PrefillTokensPerSecond)
		if timeWithImport < seconds(float64(computeTokens)/rates.PrefillTokensPerSecond) {
			candidate.ImportBlocks, candidate.ImportFrom = longestCached, source
			computeTokens, importTime = p.uncachedTokens(context.Request, longestCached), seconds(float64(importTokens)/rates.ImportTokensPerSecond)
			displacedTime = seconds(core.DisplacedFraction * float64(importTokens) / rates.PrefillTokensPerSecond)
		}
	}
	wait := seconds(float64(node.pendingTokens(context.Request.Lane)) / rates.PrefillTokensPerSecond)
	work := seconds(float64(computeTokens) / rates.PrefillTokensPerSecond)
	candidate.Cached, candidate.Uncached = cachedBlocks*p.run.options.blockTokens(), computeTokens
	candidate.Predicted = wait + work + importTime
	candidate.Cost = context.Values.TimeWeight*candidate.Predicted.Seconds() + context.Values.RecomputeWeight*(work+displacedTime).Seconds()
}

func (p clairvoyantPlacer) uncachedTokens(request *core.Request, blocks int) int {
	return max(1, request.PromptTokens-blocks*p.run.options.blockTokens())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
