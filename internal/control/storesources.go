package control

import (
	"kitetiller/internal/catalog"
	"kitetiller/internal/control/mesh"
)

// storeList holds the stores that gateways read, derived from the document of a revision.
type storeList struct {
	revision uint64
	stores   []mesh.Store
}

// storeSourcesOf returns the addresses of the stores whose cache events a gateway reads on behalf of all. There are none
// if no service is latency-critical, since the contents of stores are used for such services only.
func (r *Replica) storeSourcesOf(layout *mesh.Layout, gateway string) []string {
	document := r.machine.catalog.Document()
	if r.storeList.revision != document.Revision {
		r.storeList = storeList{revision: document.Revision, stores: storesToRead(document)}
	}
	if gateway == "" || len(r.storeList.stores) == 0 {
		return nil
	}
	return layout.StoresReadBy(gateway, r.storeList.stores)
}

// storesToRead returns the stores of a document that has a latency-critical service.
func storesToRead(document *catalog.Document) []mesh.Store {
	var stores []mesh.Store
	critical := false
	for i := range document.Services {
		service := &document.Services[i]
		critical = critical || document.LatencyCritical(service.Name)
		if service.StoreAddress != "" {
			stores = append(stores, mesh.Store{Address: service.StoreAddress, Zone: service.Zone})
		}
	}
	if !critical {
		return nil
	}
	return stores
}
