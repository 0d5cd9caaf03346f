package gateway

import (
	"sync"

	"kitetiller/internal/catalog"
)

// splits spreads the requests of a route over its targets by weight.
type splits struct {
	mutex sync.Mutex
	sent  map[string]map[string]float64 // by route and service: what it is owed
}

func newSplits() *splits { return &splits{sent: map[string]map[string]float64{}} }

// next returns the target that is owed most (smooth weighted round robin), so that shares hold over short spans.
func (s *splits) next(route *catalog.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owed := s.sent[route.Name]
	if owed == nil {
		owed = map[string]float64{}
		s.sent[route.Name] = owed
	}
	total, best := 0, ""
	for _, target := range route.Targets {
		total += target.Weight
		owed[target.Service] += float64(target.Weight)
		if target.Weight > 0 && (best == "" || owed[target.Service] > owed[best]) {
			best = target.Service
		}
	}
	owed[best] -= float64(total)
	return best
}
