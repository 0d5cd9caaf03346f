// Package bench compares routing policies in virtual time: the router's core, with the policy under test as its
// placer, drives engine models with a deployment's sizes and traffic. All policies get the same requests.
package bench

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/core"
)

// Policy names a way to choose an engine.
type Policy string

// Policies compared, the baselines first.
const (
	Random            Policy = "random"
	RoundRobin        Policy = "round-robin"
	LeastLoaded       Policy = "least-loaded"
	PrefixHash        Policy = "prefix-hash"
	BoundedPrefixHash Policy = "bounded-prefix-hash"
	Kitetiller        Policy = "kitetiller"
	Clairvoyant       Policy = "clairvoyant"
)

// Policies lists every policy in the order of reports.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastLoaded, PrefixHash, BoundedPrefixHash, Kitetiller, Clairvoyant}
}

const (
	// maxLoadFactor is the factor over the mean load at which bounded prefix hashing goes on to the next engine.
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

// noImports is embedded by the baselines, which move no cached blocks.
type noImports struct{}

// AllowsImport is false: baselines move no cached blocks.
func (noImports) AllowsImport() bool { return false }

type randomPlacer struct{ noImports }

// Pick returns any candidate.
func (randomPlacer) Pick(context core.PlacementContext, candidates []core.Candidate) int {
	return context.Random.IntN(len(candidates))
}

type roundRobinPlacer struct {
	noImports
	last int
}

// Pick returns the candidate after the last one, in order of engine rows.
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

// prefixHashPlacer places by rendezvous hashing of the prompt's root; with a bound it passes over engines that
// have much more than the mean load.
type prefixHashPlacer struct {
	noImports
	depth     int // blocks of the prompt that are hashed
	limitLoad bool
}

// Pick returns the candidate with the highest hash that the bound allows.
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
	return xxhash.Sum64(sum[:]) // mixed once more: the names differ in their last digits only
}

// clairvoyantPlacer knows every cache and every queue exactly, and chooses by the same cost as the router.
type clairvoyantPlacer struct{ run *run }

// AllowsImport is true: the bound may move cached blocks too.
func (clairvoyantPlacer) AllowsImport() bool { return true }

// Pick corrects every candidate by what is true and returns the cheapest.
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
