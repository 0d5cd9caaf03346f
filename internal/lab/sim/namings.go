package sim

import (
	"time"

	"kitetiller/internal/control"
)

const (
	// oldWeightsStartLimit is how long after a newer version is published a request may start on older weights.
	oldWeightsStartLimit = 4 * time.Second
	// clockSlack allows for the clocks of leader and gateway, which run up to clockSkew slow.
	clockSlack = oldWeightsStartLimit / 19 // 0.05 / 0.95
	// wallClockRounding allows for wall-clock times in whole milliseconds, at the proposer and at the leader.
	wallClockRounding = 2 * time.Millisecond
)

// publication is a version of weights that an operator publishes.
type publication struct {
	acked   bool
	ackedAt time.Duration
	// maxSkew is the highest wall-clock skew of any replica until the acknowledgement, minSkew the lowest so far. A leader
	// that didn't see the publication underestimates its age by the difference between the proposer's clock and its own.
	maxSkew, minSkew time.Duration
}

// startsTooLate reports whether requests may no longer start on a back end's weights, or its weights are unknown.
func (g *fleetGateway) startsTooLate(entry control.RosterEntry) bool {
	version, known := entry.Versions[fleetModel]
	publishedAt, outdated := g.publishTimes.OldestMissing(fleetModel, version)
	return !known || outdated && g.clock() >= publishedAt+oldWeightsStartLimit
}

// startRequest sends a request that names the expected weights. The back end may reject it.
func (g *fleetGateway) startRequest(entry control.RosterEntry) {
	b := g.w.fleetBackend(entry.Address)
	if b == nil || !b.up || b.frozen {
		return
	}
	g.w.oracle.checkSend(pairOf(g.process, b.id))
	g.w.oracle.checkLimitedSend(pairOf(g.process, b.id), b.advertised)
	sentAt := g.clock()
	if !b.matchesID(entry.ID) {
		return // rejected for its instance ID; that isn't a request to back off
	}
	rejected := g.observeResponse(sentAt, entry, b) || b.version != entry.Versions[fleetModel] || g.w.now() < b.loadingUntil
	if !rejected {
		g.w.oracle.checkRequestStart(g.process.name, b)
	}
}

// recordPublishSent records that a version is about to be published.
func (o *oracle) recordPublishSent(version uint64) {
	o.fleet.lastPublishedSent = version
	o.fleet.publications[version] = &publication{maxSkew: o.w.controls[0].wallSkew, minSkew: o.w.controls[0].wallSkew}
	o.updateWallSkews()
}

// recordPublishAck records that a publication was acknowledged to an operator.
func (o *oracle) recordPublishAck(version uint64) {
	published := o.fleet.publications[version]
	published.acked, published.ackedAt = true, o.w.now()
	o.fleet.lastPublishedAcked = max(o.fleet.lastPublishedAcked, version)
	waiting := o.w.onPublished
	o.w.onPublished = nil
	for _, run := range waiting {
		run()
	}
}

// updateWallSkews updates the range of skews of every publication.
func (o *oracle) updateWallSkews() {
	for _, p := range o.fleet.publications {
		for _, n := range o.w.controls {
			p.minSkew = min(p.minSkew, n.wallSkew)
			if !p.acked {
				p.maxSkew = max(p.maxSkew, n.wallSkew)
			}
		}
	}
}

// recordPublicationsSeen records when a gateway's incarnation first received each publication.
func (o *oracle) recordPublicationsSeen(gateway string, publications []control.WeightsPublication) {
	for _, w := range publications {
		if _, seen := o.fleet.publicationSeenAt[gateway][w.Version]; !seen {
			o.fleet.publicationSeenAt[gateway][w.Version] = o.w.now()
		}
	}
}

// checkRequestStart checks that a request starts on older weights only within the limit after a newer version was
// acknowledged, allowing for clock errors, and after this gateway first received it, whatever the wall clocks did.
func (o *oracle) checkRequestStart(gateway string, b *fleetBackend) {
	now := o.w.now()
	for version, publication := range o.fleet.publications {
		if version <= b.version {
			continue
		}
		skewSlack := publication.maxSkew - publication.minSkew + wallClockRounding
		if late := now - publication.ackedAt - oldWeightsStartLimit - clockSlack - skewSlack; publication.acked && late > 0 {
			o.fail(OldWeightsLimitRespected, "%s starts a request on weights %d of %s %v after %d was acknowledged", gateway, b.version, b.id, now-publication.ackedAt, version)
		}
		seenAt, seen := o.fleet.publicationSeenAt[gateway][version]
		if late := now - seenAt - oldWeightsStartLimit - clockSlack; seen && late > 0 {
			o.fail(OldWeightsLimitRespected, "%s starts a request on weights %d of %s %v after it received %d", gateway, b.version, b.id, now-seenAt, version)
		}
	}
}

// faultLateLeader makes a replica leader that missed the publication of a version: it restarted, or was partitioned or
// frozen meanwhile. Some replicas' wall clocks are set back, and some gateways restart.
func (w *world) faultLateLeader() {
	leader, lagging := w.leader(), pick(w, w.controls)
	duration := w.between(1500*time.Millisecond, 4*time.Second)
	switch {
	case leader == nil || lagging == leader || w.chance(0.4):
		w.onPublished = append(w.onPublished, func() { w.after(w.between(0, duration), w.restartAllControl) })
	case w.chance(0.5):
		w.after(duration, w.partitionZone(lagging.zone))
		w.after(duration+w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.restartReplica(leader) })
	default:
		lagging.freeze()
		w.after(duration, lagging.resume)
		w.after(duration+w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.restartReplica(leader) })
	}
	w.recordControlDisturbance(2 * duration)
	w.onPublished = append(w.onPublished, func() {
		for _, g := range w.gateways {
			if w.chance(0.4) {
				w.after(w.between(0, duration), func() { g.kill(false) })
				w.restart(g, duration)
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

// restartReplica kills and restarts a replica, sometimes with its wall clock set back.
func (w *world) restartReplica(n *controlNode) {
	n.crash(w.chance(0.5))
	if w.chance(0.3) {
		n.wallSkew -= w.between(time.Second, 20*time.Second)
		w.oracle.updateWallSkews()
	}
	w.restartControl(n, w.between(200*time.Millisecond, 800*time.Millisecond))
}
