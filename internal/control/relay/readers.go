package relay

import (
	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
)

// cacheEventReaders caches which engines' cache events each gateway reads. Every replica derives it from layout and
// roster, so it is never sent between replicas.
type cacheEventReaders struct {
	stale            bool // layout or roster has changed since sourcesByGateway was computed
	sourcesByGateway map[string][]string
}

func (r *cacheEventReaders) sourcesOf(gateway string, layout *mesh.Layout, log *roster.Log) []string {
	if r.stale || r.sourcesByGateway == nil {
		r.stale, r.sourcesByGateway = false, CacheEventSources(layout, log)
	}
	return r.sourcesByGateway[gateway]
}

// CacheEventSources returns the IDs of the engines whose cache events each gateway reads, by gateway. Back ends without
// weights have no prefix cache.
func CacheEventSources(layout *mesh.Layout, log *roster.Log) map[string][]string {
	var engines []mesh.Engine
	for _, id := range log.IDs() {
		if e, _ := log.Entry(id); len(e.Versions) > 0 {
			engines = append(engines, mesh.Engine{ID: id, Zone: e.Zone})
		}
	}
	return layout.CacheEventSources(engines)
}
