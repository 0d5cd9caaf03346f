package sim

import (
	"time"

	"kitetiller/internal/control"
)

const (
	// oldWeightsStartLimit is how long after newer weights were named a request may begin on older ones.
	oldWeightsStartLimit = 4 * time.Second
	// clockSlack is what clocks cost: leader and gateway count the limit by clocks that run up to clockSkew slow.
	clockSlack = oldWeightsStartLimit / 19 // 0.05 / 0.95
	// wallClockRounding is what times of day in whole milliseconds cost, at the proposer and at the leader.
	wallClockRounding = 2 * time.Millisecond
)

// publication is a version that an operator names.
type publication struct {
	acked   bool
	ackedAt time.Duration
	// maxSkew is how far any replica's time of day was ahead while it may have been proposed, minSkew how far behind since. A leader that
	// didn't see the naming takes it to be younger by as much as its clock is behind the proposer's.
	maxSkew, minSkew time.Duration
}

// startsTooLate reports whether no request may begin on a back end's weights any more. It sends none where it doesn't know them.
func (g *fleetGateway) startsTooLate(entry control.RosterEntry) bool {
	held, known := entry.Versions[fleetModel]
	namedAt, lacks := g.publishTimes.OldestMissing(fleetModel, held)
	return !known || lacks && g.clock() >= namedAt+oldWeightsStartLimit
}

// startRequest begins a request that names the weights it counts on, unless the back end refuses it.
func (g *fleetGateway) startRequest(entry control.RosterEntry) {
	b := g.w.fleetBackend(entry.Address)
	if b == nil || !b.up || b.frozen {
		return
	}
	g.w.oracle.checkSend(pairOf(g.process, b.id))
	g.w.oracle.checkLimitedSend(pairOf(g.process, b.id), b.advertised)
	asked := g.clock()
	if !b.matchesID(entry.ID) {
		return // it refuses for that alone, and wants no rest for it
	}
	refused := g.observeResponse(asked, entry, b) || b.version != entry.Versions[fleetModel] || g.w.now() < b.loadingUntil
	if !refused {
		g.w.oracle.checkRequestStart(g.process.name, b)
	}
}

// recordPublishSent notes that a version is about to be named.
func (o *oracle) recordPublishSent(version uint64) {
	o.fleet.lastPublishedSent = version
	o.fleet.publications[version] = &publication{maxSkew: o.w.controls[0].wallSkew, minSkew: o.w.controls[0].wallSkew}
	o.updateWallSkews()
}

// recordPublishAck notes that an operator was told that a version is named.
func (o *oracle) recordPublishAck(version uint64) {
	naming := o.fleet.publications[version]
	naming.acked, naming.ackedAt = true, o.w.now()
	o.fleet.lastPublishedAcked = max(o.fleet.lastPublishedAcked, version)
	waiting := o.w.onPublished
	o.w.onPublished = nil
	for _, run := range waiting {
		run()
	}
}

// updateWallSkews takes up the replicas' times of day.
func (o *oracle) updateWallSkews() {
	for _, naming := range o.fleet.publications {
		for _, n := range o.w.controls {
			naming.minSkew = min(naming.minSkew, n.wallSkew)
			if !naming.acked {
				naming.maxSkew = max(naming.maxSkew, n.wallSkew)
			}
		}
	}
}

// recordPublicationsSeen notes when a gateway first heard of each naming, in its current life.
func (o *oracle) recordPublicationsSeen(gateway string, wanted []control.WeightsPublication) {
	for _, w := range wanted {
		if _, told := o.fleet.publicationSeenAt[gateway][w.Version]; !told {
			o.fleet.publicationSeenAt[gateway][w.Version] = o.w.now()
		}
	}
}

// checkRequestStart checks that a request begins in time: within the limit after a newer version was acknowledged, give or take what clocks
// cost, and, whatever times of day did, within the limit after this gateway first heard of one.
func (o *oracle) checkRequestStart(gateway string, b *fleetBackend) {
	now := o.w.now()
	for version, naming := range o.fleet.publications {
		if version <= b.version {
			continue
		}
		day := naming.maxSkew - naming.minSkew + wallClockRounding
		if late := now - naming.ackedAt - oldWeightsStartLimit - clockSlack - day; naming.acked && late > 0 {
			o.fail(OldWeightsLimitRespected, "%s begins on weights %d of %s %v after %d was acknowledged", gateway, b.version, b.id, now-naming.ackedAt, version)
		}
		heard, told := o.fleet.publicationSeenAt[gateway][version]
		if late := now - heard - oldWeightsStartLimit - clockSlack; told && late > 0 {
			o.fail(OldWeightsLimitRespected, "%s begins on weights %d of %s %v after it heard of %d", gateway, b.version, b.id, now-heard, version)
		}
	}
}

// faultLateLeader lets a replica lead that didn't see a version named as it happened: one that starts again, or was cut off or frozen
// meanwhile. Some replicas' times of day are set back, and some gateways start again.
func (w *world) faultLateLeader() {
	leader, late := w.leader(), pick(w, w.controls)
	away := w.between(1500*time.Millisecond, 4*time.Second)
	switch {
	case leader == nil || late == leader || w.chance(0.4):
		w.onPublished = append(w.onPublished, func() { w.after(w.between(0, away), w.restartAllControl) })
	case w.chance(0.5):
		w.after(away, w.partitionZone(late.zone))
		w.after(away+w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.restartReplica(leader) })
	default:
		late.freeze()
		w.after(away, late.resume)
		w.after(away+w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.restartReplica(leader) })
	}
	w.recordControlDisturbance(2 * away)
	w.onPublished = append(w.onPublished, func() {
		for _, g := range w.gateways {
			if w.chance(0.4) {
				w.after(w.between(0, away), func() { g.kill(false) })
				w.restart(g, away)
			}
		}
	})
	pick(w, w.fleetOperators).publishWeights()
}

func (w *world) restartAllControl() {
	for _, n := range w.controls {
		w.restartReplica(n)
	}
}

// restartReplica ends a replica, which starts again soon, some with their time of day set back.
func (w *world) restartReplica(n *controlNode) {
	n.crash(w.chance(0.5))
	if w.chance(0.3) {
		n.wallSkew -= w.between(time.Second, 20*time.Second)
		w.oracle.updateWallSkews()
	}
	w.restartControl(n, w.between(200*time.Millisecond, 800*time.Millisecond))
}
