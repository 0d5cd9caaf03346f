package control

import (
	"time"

	"kitetiller/internal/catalog"
)

// Any process may send a heartbeat, and one may arrive long after its sender has stopped. The checks in this file
// decide which of them may register, replace or deregister a back end.

// lacksWeights reports whether the heartbeat of an engine names no loaded weights, so that no gateway could tell
// whether a request may start there.
func (r *Replica) lacksWeights(beat BackendHeartbeat) bool {
	service, _ := r.machine.catalog.Document().Service(beat.Instance.Service)
	return service.Engine && len(beat.Versions) == 0
}

// mayRegister reports whether a heartbeat may register an instance.
func (r *Replica) mayRegister(now time.Duration, instance catalog.Instance) bool {
	return r.machine.catalog.Accepts(instance) && r.mayTakeAddress(now, instance)
}

// mayTakeAddress reports whether an instance may be registered at its address. It may not if it started before the one
// there, unless that one is silent, or if it would replace one of a routed service with one of an unrouted service.
func (r *Replica) mayTakeAddress(now time.Duration, instance catalog.Instance) bool {
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
		r.proposeExpiry(now, holder.ID) // its start time may be from a fast clock
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
