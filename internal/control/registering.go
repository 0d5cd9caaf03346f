package control

import (
	"time"

	"kitetiller/internal/catalog"
)

// Any process may send a heartbeat, and one may arrive long after its sender has stopped. The checks in this file
// decide which of them may register, replace or deregister a back end.

// lateDeregistrationWindow is how long after the registration of an incarnation a deregistration without an incarnation
// may come from the previous one. It is several times the timeout of a call (1 s).
const lateDeregistrationWindow = 3 * time.Second

// lacksWeights reports whether the heartbeat of an engine names no loaded weights, so that no gateway could tell
// whether a request may start there.
func (r *Replica) lacksWeights(beat BackendHeartbeat) bool {
	service, _ := r.machine.catalog.Document().Service(beat.Instance.Service)
	return service.Engine && len(beat.Versions) == 0
}

// mayMeanPreviousIncarnation reports whether a deregistration that names no incarnation may be a late one from the
// previous incarnation. The caller then expires the current incarnation, which may register again.
func (r *Replica) mayMeanPreviousIncarnation(now time.Duration, id string) bool {
	resolved := r.machine.catalog.ResolveInstanceID(id)
	state := r.leader.fleet[resolved]
	return resolved != id && state != nil && state.registeredAt > 0 && now < state.registeredAt+lateDeregistrationWindow
}

// mayRegister reports whether a heartbeat may register an instance. It may not if the instance started before the one
// at its address, unless that one is silent, or if it would replace one of a routed service with one of an unrouted
// service.
func (r *Replica) mayRegister(now time.Duration, instance catalog.Instance) bool {
	if !r.machine.catalog.Accepts(instance) {
		return false
	}
	registered, known := r.machine.catalog.InstanceByName(catalog.ParseInstanceID(instance.ID).Name)
	if known && !r.mayReplace(registered, instance) {
		return false
	}
	holder, taken := r.machine.catalog.InstanceAt(instance.Address)
	if !taken || catalog.ParseInstanceID(holder.ID).Name == catalog.ParseInstanceID(instance.ID).Name {
		return true
	}
	if !r.mayReplace(holder, instance) {
		return false
	}
	if now-r.ensureBackend(now, holder.ID).heardAt > silenceTimeout {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Expire: holder.ID}}) // its start time may be from a fast clock
		return true
	}
	return !catalog.ParseInstanceID(instance.ID).StartedBefore(catalog.ParseInstanceID(holder.ID))
}

// mayReplace reports whether a reported instance may replace a registered one. An instance of an unrouted service must
// not replace one of a routed service.
func (r *Replica) mayReplace(registered, reported catalog.Instance) bool {
	routed := func(service string) bool {
		_, found := r.machine.catalog.Document().Service(service)
		return found
	}
	return reported.Service == registered.Service || routed(reported.Service) || !routed(registered.Service)
}
