package sim

import (
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/streamorigin"
)

const (
	streamRecordTTL  = time.Minute
	findOriginWindow = 120 * time.Millisecond
)

// streamKey returns the key of the stream that an exchange begins or goes on with.
func (e *exchange) streamKey() streamorigin.Key {
	key, _ := streamorigin.NewKey(modelService, e.job.tenant, e.beganAs)
	return key
}

// recordOrigin records at which software version a stream began, and sends the record to the routers that keep it.
func (r *routerNode) recordOrigin(action core.ActionRecordOrigin) {
	ex := r.exchanges[action.ID]
	if ex == nil {
		return
	}
	record := streamorigin.Record{Key: ex.streamKey(), Service: modelService, Software: action.Software, TTL: streamRecordTTL}
	r.streams.AddOwn(r.clock(), record)
	if !action.Replicate {
		return
	}
	for _, address := range streamorigin.Keepers(record.Key, r.w.routerZones(), r.zone, r.name) {
		keeper := r.w.router(address)
		r.w.message(r.process, keeper.process, func() { keeper.streams.Add(keeper.clock(), record) })
	}
}

// findOrigin looks for the origin of the stream that an exchange goes on with, and calls then once it is found or nobody
// who may have it knows it.
func (r *routerNode) findOrigin(ex *exchange, then func(streamorigin.SoftwareVersion)) {
	key := ex.streamKey()
	if own := r.streams.Find(r.clock(), key); ex.resumeFrom == 0 || own.IsKnown() || own.Disputed() {
		then(own)
		return
	}
	candidates := streamorigin.Candidates(key, r.w.routerZones(), r.zone, r.name)
	pending := len(candidates)
	decided := false
	finish := func(found streamorigin.SoftwareVersion) {
		pending--
		if !decided && (found.IsKnown() || pending == 0) {
			decided = true
			then(found)
		}
	}
	for _, address := range candidates {
		keeper := r.w.router(address)
		r.w.call(r.process, keeper.process, findOriginWindow, func(respond func(func())) {
			found := keeper.streams.Find(keeper.clock(), key)
			respond(func() { finish(found) })
		}, func(bool) { finish(streamorigin.SoftwareVersion{}) })
	}
	if pending == 0 {
		then(streamorigin.SoftwareVersion{})
	}
}

// routerZones returns the routers that keep records, by zone.
func (w *world) routerZones() []streamorigin.Zone {
	var list []streamorigin.Zone
	for _, zone := range zones {
		z := streamorigin.Zone{Name: zone}
		for _, r := range w.routers {
			if r.zone == zone {
				z.Addresses = append(z.Addresses, r.name)
			}
		}
		list = append(list, z)
	}
	return list
}

// router returns a router by name.
func (w *world) router(name string) *routerNode {
	for _, r := range w.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}
