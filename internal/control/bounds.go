package control

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/inuse"
)

// inUse reports whether gateways are told of a back end.
func (r *Replica) inUse(now time.Duration, instance catalog.Instance) bool {
	return r.ensureBackend(now, instance.ID).hashWeight <= r.machine.catalog.MaxHashWeight(instance.Service)
}

// inUseCheckInterval is how often it is looked at which back ends are in use: often enough that a lost zone is replaced in a moment.
const inUseCheckInterval = 100 * time.Millisecond

// updateInUse follows the work with the back ends that are in use, and writes into the log which they are, so that the next leader names
// the same.
func (r *Replica) updateInUse(now time.Duration) {
	if now < r.leader.boundsCheckedAt+inUseCheckInterval {
		return
	}
	r.leader.boundsCheckedAt = now
	used := r.runningByInstance(now)
	services := map[string]*serviceLoad{}
	for id, instance := range r.machine.catalog.Instances() {
		work := services[instance.Service]
		if work == nil {
			work = &serviceLoad{maxHashWeight: r.machine.catalog.MaxHashWeight(instance.Service)}
			services[instance.Service] = work
		}
		work.running += used[id]
		work.add(instance, r.ensureBackend(now, id))
	}
	bounds := map[string]uint64{}
	for service, work := range services {
		size := r.leader.inUseSizes[service]
		if !r.machine.catalog.HasMaxHashWeight(service) {
			work.reachableInUse = 0
		}
		wanted := size.Update(now, work.running, work.reachableInUse)
		r.leader.inUseSizes[service] = size
		if bound := inuse.MaxHashWeight(work.maxHashWeight, work.reachable, work.unreachable, wanted); bound != work.maxHashWeight {
			bounds[service] = bound
		}
	}
	if len(bounds) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{MaxHashWeights: bounds}})
	}
}

// serviceLoad is what decides which back ends of a service are in use.
type serviceLoad struct {
	maxHashWeight  uint64   // in force
	reachable      []uint64 // weights of those that are able to work
	reachableInUse int      // of them, those in use
	unreachable    int      // that are silent, and don't leave
	running        int      // requests
}

func (w *serviceLoad) add(instance catalog.Instance, state *backendState) {
	switch {
	case instance.State != catalog.StateReady:
	case state.silent:
		w.unreachable++
	default:
		w.reachable = append(w.reachable, state.hashWeight)
		if state.hashWeight <= w.maxHashWeight {
			w.reachableInUse++
		}
	}
}

// markInUseChanges notes for the roster which back ends come into use or go out of it between two sets of bounds.
func (r *Replica) markInUseChanges(now time.Duration, before map[string]uint64) {
	for id, instance := range r.machine.catalog.Instances() {
		was, known := before[instance.Service]
		if !known {
			continue
		}
		weight := r.ensureBackend(now, id).hashWeight
		if weight <= was != (weight <= r.machine.catalog.MaxHashWeight(instance.Service)) {
			r.leader.rosterPending[id] = true
		}
	}
}
