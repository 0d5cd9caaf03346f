package relay

import (
	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
)

// cacheEventReaders are which engines' cache events each gateway reads. They follow from layout and roster, so they are told to nobody else.
type cacheEventReaders struct {
	stale            bool // layout or roster have changed since
	sourcesByGateway map[string][]string
}

func (r *cacheEventReaders) sourcesOf(gateway string, layout *mesh.Layout, log *roster.Log) []string {
	if r.stale || r.sourcesByGateway == nil {
		r.stale, r.sourcesByGateway = false, CacheEventSources(layout, log)
	}
	return r.sourcesByGateway[gateway]
}

// CacheEventSources returns which engines of a roster each gateway reads, by name. Back ends without weights keep no prompts.
func CacheEventSources(layout *mesh.Layout, log *roster.Log) map[string][]string {
	var engines []mesh.Engine
	for _, id := range log.IDs() {
		if e, _ := log.Entry(id); len(e.Versions) > 0 {
			engines = append(engines, mesh.Engine{ID: id, Zone: e.Zone})
		}
	}
	return layout.CacheEventSources(engines)
}
