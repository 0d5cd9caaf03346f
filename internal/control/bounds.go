package control

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/inuse"
)

// inUse reports whether a back end is in the set that gateways use.
func (r *Replica) inUse(now time.Duration, instance catalog.Instance) bool {
	return r.ensureBackend(now, instance.ID).hashWeight <= r.machine.catalog.MaxHashWeight(instance.Service)
}

// inUseCheckInterval is how often the set of back ends in use is checked. It is short so that a lost zone is replaced
// quickly.
const inUseCheckInterval = 100 * time.Millisecond

// updateInUse adapts the set of back ends in use to the load. It logs the bounds that define the set, so that the next
// leader uses the same one.
func (r *Replica) updateInUse(now time.Duration) {
	if now < r.leader.inUseCheckedAt+inUseCheckInterval {
		return
	}
	r.leader.inUseCheckedAt = now
	running := r.runningByInstance(now)
	services := map[string]*serviceLoad{}
	for id, instance := range r.machine.catalog.Instances() {
		load := services[instance.Service]
		if load == nil {
			load = &serviceLoad{maxHashWeight: r.machine.catalog.MaxHashWeight(instance.Service)}
			services[instance.Service] = load
		}
		load.running += running[id]
		load.add(instance, r.ensureBackend(now, id))
	}
	bounds := map[string]uint64{}
	for service, load := range services {
		size := r.leader.inUseSizes[service]
		if !r.machine.catalog.HasMaxHashWeight(service) {
			load.reachableInUse = 0
		}
		target := size.Update(now, load.running, load.reachableInUse)
		r.leader.inUseSizes[service] = size
		if bound := inuse.MaxHashWeight(load.maxHashWeight, load.reachable, load.unreachable, target); bound != load.maxHashWeight {
			bounds[service] = bound
		}
	}
	if len(bounds) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{MaxHashWeights: bounds}})
	}
}

// serviceLoad is the input for the selection of the back ends of a service that are in use.
type serviceLoad struct {
	maxHashWeight  uint64   // bound in force
	reachable      []uint64 // hash weights of the reachable back ends
	reachableInUse int      // number of reachable back ends in use
	unreachable    int      // number of silent back ends that are not draining
	running        int      // number of running requests
}

func (l *serviceLoad) add(instance catalog.Instance, state *backendState) {
	switch {
	case instance.State != catalog.StateReady:
	case state.silent:
		l.unreachable++
	default:
		l.reachable = append(l.reachable, state.hashWeight)
		if state.hashWeight <= l.maxHashWeight {
			l.reachableInUse++
		}
	}
}

// markInUseChanges marks for the next roster the back ends that a change of bounds has added to the set in use or
// removed from it.
func (r *Replica) markInUseChanges(now time.Duration, oldBounds map[string]uint64) {
	for id, instance := range r.machine.catalog.Instances() {
		oldBound, known := oldBounds[instance.Service]
		if !known {
			continue
		}
		weight := r.ensureBackend(now, id).hashWeight
		if weight <= oldBound != (weight <= r.machine.catalog.MaxHashWeight(instance.Service)) {
			r.leader.rosterPending[id] = true
		}
	}
}
