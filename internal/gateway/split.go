package gateway

import (
	"math/rand/v2"
	"sync"

	"kitetiller/internal/catalog"
)

// maxPhase bounds the random number of rounds that a new split skips.
const maxPhase = 1000

// splits distributes the requests of a route over its targets by weight.
type splits struct {
	mu      sync.Mutex
	rng     *rand.Rand                    // guarded by mu
	credits map[string]map[string]float64 // by route and service; the sum over a route's services is 0
}

func newSplits(rng *rand.Rand) *splits {
	return &splits{rng: rng, credits: map[string]map[string]float64{}}
}

// next returns the target with the most credit (smooth weighted round robin), so that the shares hold over few
// requests. Each gateway starts at a random round, so that they also hold over many gateways with few requests
// each.
func (s *splits) next(route *catalog.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[route.Name]
	if credits == nil {
		credits = map[string]float64{}
		s.credits[route.Name] = credits
		for range s.rng.IntN(min(max(1, totalWeight(route)), maxPhase)) {
			advance(credits, route)
		}
	}
	return advance(credits, route)
}

// advance credits each target with its weight, and charges the total weight to the one with the most credit.
func advance(credits map[string]float64, route *catalog.Route) string {
	best := ""
	for _, t := range route.Targets {
		credits[t.Service] += float64(t.Weight)
		if t.Weight > 0 && (best == "" || credits[t.Service] > credits[best]) {
			best = t.Service
		}
	}
	credits[best] -= float64(totalWeight(route))
	return best
}

func totalWeight(route *catalog.Route) int {
	total := 0
	for _, t := range route.Targets {
		total += t.Weight
	}
	return total
}
