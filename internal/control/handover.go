package control

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

// A new leader must not give an order to a back end that the last leader gave one a moment ago, nor one that gateways do
// not know of which still trust a view of the last leader. Both are written into the log, so that a new leader waits only
// for what there is to wait for: for the back ends that were ordered, and for the gateways that asked.

// An order waits until gateways have turned away, requests have ended and others have loaded, for seconds; the next leader knows when it was
// announced, not when it was given.
const (
	// maxDecisionAge is how long after its announcement an order may be decided; later it is announced again. More than a step of the roll-out
	// takes in a large fleet (100 ms).
	maxDecisionAge = 150 * time.Millisecond
	// maxDispatchAge is how long after its announcement an order may leave this replica, after the sync that follows its decision.
	maxDispatchAge = 300 * time.Millisecond
	// maxOrderAge is how long after its announcement an order has left the process at the latest, little of the pause between two holders (3 s).
	maxOrderAge = maxDispatchAge + maxCallAge
)

// orderMark is when a back end was last about to be given orders, as far as this process knows. It is of the back end, whatever lives it
// has: an order names it alone.
type orderMark struct {
	term             uint64        // of the leader that wrote the newest
	appliedAt        time.Duration // when that was applied here
	foreign          bool          // a leader before that one wrote one too
	foreignAppliedAt time.Duration // when the newest of those was applied here
	renewalDeadline  time.Duration // until when this leader waits for one that it writes again; 0 when it waits for none
}

// recordOrderAnnouncement remembers that a leader is about to order back ends.
func (r *Replica) recordOrderAnnouncement(now time.Duration, term uint64, ids []string) {
	for _, id := range ids {
		name := catalog.ParseInstanceID(id).Name
		mark, known := r.orderMarks[name]
		if known && mark.term != term {
			mark.foreign, mark.foreignAppliedAt = true, mark.appliedAt
		}
		if !known && r.machine.catalog.MayHaveWeightsCommand(id) {
			mark.foreign = true // by an entry that a snapshot covers: it counts from the start of this process
		}
		mark.term, mark.appliedAt, mark.renewalDeadline = term, now, 0
		r.orderMarks[name] = mark
	}
}

// recordSnapshotOrders takes every order that an installed snapshot covers to be as young as the snapshot's arrival: its entry was
// never applied here.
func (r *Replica) recordSnapshotOrders(now time.Duration) {
	for id := range r.machine.catalog.Instances() {
		if r.machine.catalog.MayHaveWeightsCommand(id) {
			r.orderMarks[catalog.ParseInstanceID(id).Name] = orderMark{appliedAt: now} // of no leadership, so that it is another one's for whoever leads
		}
	}
}

// lastForeignOrder returns when another leader was last about to order a back end, if one may have been.
func (r *Replica) lastForeignOrder(id string) (time.Duration, bool) {
	mark, known := r.orderMarks[catalog.ParseInstanceID(id).Name]
	switch {
	case !known:
		return 0, r.machine.catalog.MayHaveWeightsCommand(id)
	case mark.term != r.node.Term():
		return mark.appliedAt, true
	}
	return mark.foreignAppliedAt, mark.foreign
}

// mayOrderBackend reports whether a back end may be ordered now: this leader's intent is in the log, has been for a moment only, and the back
// end was handed over.
func (r *Replica) mayOrderBackend(now time.Duration, id string) bool {
	name := catalog.ParseInstanceID(id).Name
	mark := r.orderMarks[name]
	if mark.term != r.node.Term() || !r.handoverPauseOver(now, id) {
		return false // what is announced is written in the same step; it commits in a moment
	}
	if r.announcedWithin(now, id, maxDecisionAge) {
		return true
	}
	if now >= mark.renewalDeadline {
		mark.renewalDeadline = now + weightsCallTimeout
		r.orderMarks[name] = mark
		r.queueOrderAnnouncement(id)
	}
	return false
}

// announcedWithin reports whether the announcement of an order is so young.
func (r *Replica) announcedWithin(now time.Duration, id string, age time.Duration) bool {
	return now <= r.orderMarks[catalog.ParseInstanceID(id).Name].appliedAt+age || !r.config.Guards.On(guard.WeightsCommandDelay)
}

// dropLateOrders forgets orders that would follow their announcements too late, and has them announced again.
func (r *Replica) dropLateOrders(now time.Duration, calls []WeightsCall) []WeightsCall {
	return slices.DeleteFunc(calls, func(call WeightsCall) bool {
		late := call.Kind == WeightsOrder && !r.announcedWithin(now, call.Instance, maxDispatchAge)
		if state := r.leader.fleet[call.Instance]; late && state != nil && state.rollout.phase == phaseOrderSent {
			r.setPhase(state, phaseDraining, now)
		}
		return late
	})
}

// handoverPauseOver reports whether no other leader's order to a back end can be as young as the pause between two holders. Its order may be
// younger than its announcement.
func (r *Replica) handoverPauseOver(now time.Duration, id string) bool {
	at, ordered := r.lastForeignOrder(id)
	return !ordered || now >= at+maxOrderAge+r.config.OrderWait || !r.config.Guards.On(guard.WeightsCommandDelay)
}

// queueOrderAnnouncement has the log tell that a back end is about to be ordered. All that are decided in one cycle share an entry.
func (r *Replica) queueOrderAnnouncement(id string) {
	r.leader.pendingOrderAnnouncements = append(r.leader.pendingOrderAnnouncements, id)
}

// proposeOrderAnnouncements proposes them.
func (r *Replica) proposeOrderAnnouncements(now time.Duration) {
	if r.leader == nil || len(r.leader.pendingOrderAnnouncements) == 0 {
		return
	}
	ids := r.leader.pendingOrderAnnouncements
	r.leader.pendingOrderAnnouncements = nil
	r.propose(now, 0, Command{Catalog: &catalog.Command{WeightsCommandTargets: ids}})
}

const (
	// gatewayListInterval is how often changes of the gateways that ask are written into the log; one that waits for it is written at once, with
	// those that come within listPause after the last.
	gatewayListInterval = time.Second
	gatewayListDelay    = 20 * time.Millisecond
	// gatewayListTimeout is how long a question waits, beyond its own time, until the log holds who asks: some times what a write takes.
	gatewayListTimeout = 300 * time.Millisecond
)

// unlisted reports whether the log doesn't hold a gateway yet, so that the next leader wouldn't wait for it: its view isn't confirmed. One
// that closes is written no more.
func (r *Replica) unlisted(watch Watch) bool {
	return !r.machine.catalog.HasGateway(watch.Gateway) && !watch.Closing
}

// updateGatewayList writes which gateways may trust this leader's views.
func (r *Replica) updateGatewayList(now time.Duration) {
	pause := gatewayListInterval
	if r.leader.gatewayUnlisted {
		pause = gatewayListDelay
	}
	if now < r.leader.gatewaysCheckedAt+pause {
		return
	}
	r.leader.gatewaysCheckedAt, r.leader.gatewayUnlisted = now, false
	var added, removed []string
	for name, report := range r.leader.usage {
		if now-report.receivedAt <= r.viewExpiry() && !r.machine.catalog.HasGateway(name) {
			added = append(added, name)
		}
	}
	slices.Sort(added)
	if now >= r.leader.startedAt+r.viewExpiry() { // until then they may still trust a view of the last leader
		for _, name := range r.machine.catalog.Gateways() {
			if report, asked := r.leader.usage[name]; !asked || now-report.receivedAt > r.viewExpiry() {
				removed = append(removed, name)
			}
		}
	}
	if len(added) == 0 && len(removed) == len(r.machine.catalog.Gateways()) {
		removed = nil // all at once: nobody is left to mislead, and they come back soon
	}
	if len(added)+len(removed) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{AddGateways: added, RemoveGateways: removed}})
	}
}

// allGatewaysFollow reports whether no gateway can trust a view of another leader any more: all that asked the last one have
// asked this one, or the time for that is over.
func (r *Replica) allGatewaysFollow(now time.Duration) bool {
	if now >= r.leader.startedAt+r.viewExpiry() || !r.config.Guards.On(guard.WeightsCommandDelay) {
		return true
	}
	known := r.machine.catalog.Gateways()
	missing := slices.ContainsFunc(known, func(name string) bool { _, asked := r.leader.usage[name]; return !asked })
	return len(known) > 0 && !missing
}
