package control

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
	"kitetiller/internal/level"
)

// A new leader must not send an order to a back end that an earlier leader has just ordered, nor one that is unknown to
// gateways that still use an earlier leader's view. Upcoming orders and the watching gateways are therefore recorded in
// the log, so that a new leader waits only for the back ends and gateways concerned.

// An order may be sent seconds after its announcement, once gateways have stopped sending, requests have drained and
// other loads have ended. The next leader knows only the time of the announcement, so the delay is bounded and late
// orders are announced again.
const (
	// maxDecisionAge is how long after its announcement an order may be decided. It exceeds the interval between rollout
	// steps in a large fleet (100 ms).
	maxDecisionAge = 150 * time.Millisecond
	// maxDispatchAge is how long after its announcement an order may be passed to the driver, once the sync that follows
	// its decision is complete.
	maxDispatchAge = 300 * time.Millisecond
	// maxOrderAge is how long after its announcement an order may be sent at the latest. It is small beside the pause of
	// 3 s between the orders of two holders.
	maxOrderAge = maxDispatchAge + maxCallAge
)

// orderMark records the announcements of orders to a back end that this process has applied. It covers all incarnations
// of the back end, since an order names the back end only.
type orderMark struct {
	term             uint64        // of the leader that wrote the newest announcement
	appliedAt        time.Duration // when the newest announcement was applied here
	foreign          bool          // an earlier leader wrote one, too
	foreignAppliedAt time.Duration // when the newest announcement of an earlier leader was applied here
	renewalDeadline  time.Duration // how long to wait for a repeated announcement to commit; 0 if there is none
}

// recordOrderAnnouncement records the announcement by a leader of orders to back ends.
func (r *Replica) recordOrderAnnouncement(now time.Duration, term uint64, ids []string) {
	for _, id := range ids {
		name := catalog.ParseInstanceID(id).Name
		mark, known := r.orderMarks[name]
		if known && mark.term != term {
			mark.foreign, mark.foreignAppliedAt = true, mark.appliedAt
		}
		if !known && r.machine.catalog.MayHaveWeightsOrder(id) {
			mark.foreign, mark.foreignAppliedAt = true, r.startedAt // its entry is part of a snapshot, so its age counts from the start of this replica
		}
		mark.term, mark.appliedAt, mark.renewalDeadline = term, now, 0
		r.orderMarks[name] = mark
	}
}

// recordSnapshotOrders records an announcement at the current time for every back end that may have been ordered, after
// a snapshot was installed: the entries that it covers were never applied here.
func (r *Replica) recordSnapshotOrders(now time.Duration) {
	for id := range r.machine.catalog.Instances() {
		if r.machine.catalog.MayHaveWeightsOrder(id) {
			r.orderMarks[catalog.ParseInstanceID(id).Name] = orderMark{appliedAt: now} // term 0 counts as another leader's
		}
	}
}

// lastForeignOrder returns when another leader's last announcement of an order to a back end was applied here, and
// whether there may have been one. It is the start of this replica if the time is unknown.
func (r *Replica) lastForeignOrder(id string) (time.Duration, bool) {
	mark, known := r.orderMarks[catalog.ParseInstanceID(id).Name]
	switch {
	case !known:
		return r.startedAt, r.machine.catalog.MayHaveWeightsOrder(id)
	case mark.term != r.node.Term():
		return mark.appliedAt, true
	}
	return mark.foreignAppliedAt, mark.foreign
}

// mayOrderBackend reports whether a back end may be ordered now: this leader's announcement has committed recently, and
// the pause after another leader's order is over. It repeats an announcement that is too old.
func (r *Replica) mayOrderBackend(now time.Duration, id string) bool {
	name := catalog.ParseInstanceID(id).Name
	mark := r.orderMarks[name]
	if mark.term != r.node.Term() || !r.handoverPauseOver(now, id) {
		return false // the announcement was proposed already and has yet to commit
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

// announcedWithin reports whether an order to a back end was announced no longer ago than age.
func (r *Replica) announcedWithin(now time.Duration, id string, age time.Duration) bool {
	return now <= r.orderMarks[catalog.ParseInstanceID(id).Name].appliedAt+age || !r.config.Guards.On(guard.WeightsOrderDelay)
}

// dropLateOrders removes the orders whose announcement is older than maxDispatchAge and returns their back ends to
// phaseDraining, where the order is announced again.
func (r *Replica) dropLateOrders(now time.Duration, calls []WeightsCall) []WeightsCall {
	return slices.DeleteFunc(calls, func(call WeightsCall) bool {
		late := call.Kind == WeightsOrder && !r.announcedWithin(now, call.Instance, maxDispatchAge)
		if state := r.leader.fleet[call.Instance]; late && state != nil && state.rollout.phase == phaseOrderSent {
			r.setPhase(state, phaseDraining, now)
		}
		return late
	})
}

// handoverPauseOver reports whether every other leader's order to a back end was sent at least
// Config.WeightsOrderDelay ago. An order may be sent up to maxOrderAge after its announcement.
func (r *Replica) handoverPauseOver(now time.Duration, id string) bool {
	at, ordered := r.lastForeignOrder(id)
	return !ordered || now >= at+maxOrderAge+r.config.WeightsOrderDelay || !r.config.Guards.On(guard.WeightsOrderDelay)
}

// queueOrderAnnouncement queues the announcement of an order to a back end. Announcements queued in one cycle share a
// log entry.
func (r *Replica) queueOrderAnnouncement(id string) {
	r.leader.pendingOrderAnnouncements = append(r.leader.pendingOrderAnnouncements, id)
}

// proposeOrderAnnouncements proposes the queued announcements.
func (r *Replica) proposeOrderAnnouncements(now time.Duration) {
	if r.leader == nil || len(r.leader.pendingOrderAnnouncements) == 0 {
		return
	}
	ids := r.leader.pendingOrderAnnouncements
	r.leader.pendingOrderAnnouncements = nil
	r.propose(now, 0, Command{Catalog: &catalog.Command{WeightsOrderTargets: ids}})
}

const (
	// gatewayListInterval is the interval between updates of the list of watching gateways in the log. While a gateway
	// waits to be listed, it is gatewayListDelay.
	gatewayListInterval = time.Second
	gatewayListDelay    = 20 * time.Millisecond
	// gatewayListTimeout is how long a watch is held beyond its deadline until its gateway is in the log. It is several
	// times the duration of a log write.
	gatewayListTimeout = 300 * time.Millisecond
)

// unlisted reports whether a gateway has yet to be added to the log. Its view must not be confirmed before, since the
// next leader would not wait for it. A closing gateway is no longer added.
func (r *Replica) unlisted(watch Watch) bool {
	return !r.machine.catalog.HasGateway(watch.Gateway) && !watch.Closing
}

// updateGatewayList proposes changes to the list of gateways that may use a view of this leader.
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
		if now-report.receivedAt <= r.viewExpiry() && (!r.machine.catalog.HasGateway(name) || r.lacksAddress(name, report.address)) {
			added = append(added, name)
		}
	}
	slices.Sort(added)
	if now >= r.leader.startedAt+r.viewExpiry() { // until then they may still use a view of the previous leader
		for _, name := range r.machine.catalog.Gateways() {
			if report, reported := r.leader.usage[name]; !reported || now-report.receivedAt > r.viewExpiry() {
				removed = append(removed, name)
			}
		}
	}
	if len(added) == 0 && len(removed) == len(r.machine.catalog.Gateways()) {
		removed = nil // keep the list if all gateways are silent at once: they are likely to return soon
	}
	if len(added)+len(removed) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{AddGateways: added, RemoveGateways: removed, GatewayAddresses: r.addressesOf(added)}})
	}
}

// lacksAddress reports whether a gateway's address is to be recorded.
func (r *Replica) lacksAddress(gateway, address string) bool {
	return r.machine.level >= level.Addressed && address != "" && r.machine.catalog.GatewayAddress(gateway) != address
}

// addressesOf returns the addresses of gateways that are to be recorded.
func (r *Replica) addressesOf(gateways []string) map[string]string {
	addresses := map[string]string{}
	for _, name := range gateways {
		if address := r.leader.usage[name].address; r.lacksAddress(name, address) {
			addresses[name] = address
		}
	}
	return addresses
}

// allGatewaysFollow reports whether no gateway can still use a view of another leader: every gateway in the log has
// sent a watch to this one, or all views of earlier leaders have expired.
func (r *Replica) allGatewaysFollow(now time.Duration) bool {
	if now >= r.leader.startedAt+r.viewExpiry() || !r.config.Guards.On(guard.WeightsOrderDelay) {
		return true
	}
	known := r.machine.catalog.Gateways()
	missing := slices.ContainsFunc(known, func(name string) bool { _, reported := r.leader.usage[name]; return !reported })
	return len(known) > 0 && !missing
}
