package control

import (
	"time"

	"kitetiller/internal/catalog"
)

// Anybody may send a heartbeat, and one may come long after its sender has ended. What stands here says which of them register, replace or end
// a back end; the catalog then holds to it for every replica.

// lateDeregistrationWindow is how long after a life was registered a leave that names the back end alone may be of the life before: some times what a
// caller waits for one answer (1 s).
const lateDeregistrationWindow = 3 * time.Second

// lacksWeights reports whether a heartbeat names an engine and doesn't tell what it holds: nobody could say whether a request may begin there.
func (r *Replica) lacksWeights(beat BackendHeartbeat) bool {
	service, _ := r.machine.catalog.Document().Service(beat.Instance.Service)
	return service.Engine && len(beat.Versions) == 0
}

// mayMeanPreviousIncarnation reports whether a leave that names a back end alone may have been passed on late, by the life before the one that stands
// there: that one is forgotten then, and may register again.
func (r *Replica) mayMeanPreviousIncarnation(now time.Duration, id string) bool {
	resolved := r.machine.catalog.ResolveInstanceID(id)
	state := r.leader.fleet[resolved]
	return resolved != id && state != nil && state.registeredAt > 0 && now < state.registeredAt+lateDeregistrationWindow
}

// mayRegister reports whether a heartbeat may register an instance. Only the catalog's word and what is heard now count: one that was started
// earlier than who stands at its address, or that is of no service that is routed to, may be anybody's, or long gone.
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
		r.propose(now, 0, Command{Catalog: &catalog.Command{Expire: holder.ID}}) // its clock may have run ahead of the other's
		return true
	}
	return !catalog.ParseInstanceID(instance.ID).StartedBefore(catalog.ParseInstanceID(holder.ID))
}

// mayReplace reports whether what a heartbeat tells may take the place of a registered instance. One of a service that isn't routed to
// takes none of a service that is.
func (r *Replica) mayReplace(registered, reported catalog.Instance) bool {
	routed := func(service string) bool {
		_, found := r.machine.catalog.Document().Service(service)
		return found
	}
	return reported.Service == registered.Service || routed(reported.Service) || !routed(registered.Service)
}
