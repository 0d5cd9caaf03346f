package sim

import (
	"math/rand/v2"
	"strings"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/level"
)

const (
	departureStream      = 41
	minDepartureInterval = 3 * time.Second
	maxDepartureInterval = 9 * time.Second
	maxUptime            = 15 * time.Second // of an incarnation that leaves early
	shortUptime          = 2 * time.Second
	maxHeartbeatDelay    = 8 * time.Second // of the heartbeats that are under way when a back end leaves
	maxHeartbeatsLate    = 3
	leavingServeTime     = 5 * time.Second // from the reply to its deregistration to its end
	// A heartbeat of a draining back end arrives this long after its drain, around the time at which control deregisters
	// silent back ends.
	minDrainSilence = 10 * time.Second
	maxDrainSilence = 18 * time.Second
	// departureGrace is how long after the reply to a deregistration views may contain the back end.
	departureGrace = 2 * time.Second
)

// departures holds what back ends were told that left without announcing it before.
type departures struct {
	random *rand.Rand               // nil: not planned
	acked  map[string]time.Duration // when the deregistration was acknowledged, by instance
}

// planDepartures lets back ends leave at any age, also right after a start, while heartbeats of them or deregistrations
// of their previous incarnation are under way. It has its own random source, so that other runs don't change.
func (w *world) planDepartures() {
	if w.seed%8 != 4 && w.seed%8 != 5 || len(w.gateways) > fleetGateways {
		return
	}
	w.departures = departures{random: rand.New(rand.NewPCG(w.seed, departureStream)), acked: map[string]time.Duration{}}
	for at := firstFault; at < lastFault; at += w.departures.between(minDepartureInterval, maxDepartureInterval) {
		backend := w.backends[w.departures.random.IntN(len(w.backends))]
		w.after(at, func() { w.replaceBackend(backend) })
	}
}

func (d *departures) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

// replaceBackend ends a back end, with or without a deregistration, starts its next incarnation, and mostly lets that
// one leave.
func (w *world) replaceBackend(b *fleetBackend) {
	d := &w.departures
	if !b.up || b.left {
		return
	}
	switch d.random.IntN(8) {
	case 0, 1, 2:
		b.leaveAtOnce()
		return
	case 3:
		b.drainSilently()
		return
	}
	former := b.id
	w.killBackend(b, false)
	w.after(d.between(0, time.Second), func() {
		if b.up {
			return
		}
		b.boot()
		if d.random.IntN(2) == 0 { // the former incarnation had sent its deregistration
			w.after(d.between(0, 3*time.Second), func() { w.deliverLateDeregistration(b, former) })
		}
		if d.random.IntN(3) > 0 {
			uptime := d.between(0, shortUptime)
			if d.random.IntN(4) == 0 {
				uptime = d.between(0, maxUptime)
			}
			b.after(uptime, b.leaveAtOnce)
		}
	})
}

// deliverLateDeregistration delivers a deregistration that a former incarnation had sent. It does not before the group
// has reached the level at which it is contested: the next incarnation would stay out.
func (w *world) deliverLateDeregistration(b *fleetBackend, id string) {
	if leader := w.leader(); leader == nil || leader.replica.Machine().Level() < level.Contested {
		return
	}
	leave := &control.BackendHeartbeat{Instance: catalog.Instance{ID: catalog.ParseInstanceID(id).Name}, Leaving: true}
	w.logf("a deregistration of %s arrives late", id)
	newControlClient(w, b.process).askOnce(control.Request{BackendHeartbeat: leave}, controlTimeout, func(control.Response, bool) {})
}

// leaveAtOnce deregisters without having announced a drain, as soon as the back end is registered, serves for a while,
// and restarts. Some of its last heartbeats are under way meanwhile.
func (b *fleetBackend) leaveAtOnce() {
	if b.left || b.draining {
		return
	}
	if !strings.HasPrefix(b.ackedState, b.id) {
		b.after(fleetHeartbeatInterval, b.leaveAtOnce)
		return
	}
	d := &b.w.departures
	for range d.random.IntN(maxHeartbeatsLate + 1) {
		b.sequence++
		late := &control.BackendHeartbeat{Instance: b.instance(), Sequence: b.sequence, Versions: map[string]uint64{fleetModel: b.version}}
		b.w.after(d.between(0, maxHeartbeatDelay), func() { b.sendHeartbeat(late) })
	}
	b.left = true
	id := b.id
	leave := &control.BackendHeartbeat{Instance: catalog.Instance{ID: catalog.ParseInstanceID(id).Name}, Leaving: true}
	b.asker.askUntil(control.Request{BackendHeartbeat: leave}, b.w.now()+10*time.Second, func(_ control.Response, decided bool) {
		if decided {
			d.acked[id] = b.w.now()
		}
		b.after(leavingServeTime, func() {
			b.kill(false)
			b.w.restart(b, d.between(200*time.Millisecond, 2*time.Second))
		})
	})
}

// drainSilently announces a drain and sends no heartbeats after that, as if cut off from control, for longer than control
// remembers a silent back end. A heartbeat from before arrives then.
func (b *fleetBackend) drainSilently() {
	if b.left || b.draining || !strings.HasPrefix(b.ackedState, b.id) {
		return
	}
	d := &b.w.departures
	b.sequence++
	late := &control.BackendHeartbeat{Instance: b.instance(), Sequence: b.sequence, Versions: map[string]uint64{fleetModel: b.version}}
	b.w.after(d.between(minDrainSilence, maxDrainSilence), func() { b.sendHeartbeat(late) })
	b.draining, b.left = true, true
	b.sequence++
	id := b.id
	drain := &control.BackendHeartbeat{Instance: b.instance(), Sequence: b.sequence}
	b.asker.askUntil(b.request(drain), b.w.now()+10*time.Second, func(_ control.Response, decided bool) {
		if decided {
			b.w.oracle.fleet.draining[id] = b.w.now()
		}
		b.after(maxDrainSilence+time.Second, func() {
			b.kill(false)
			b.w.restart(b, d.between(200*time.Millisecond, 2*time.Second))
		})
	})
}

// checkDepartures checks that a gateway's view contains no back end whose deregistration had been acknowledged when the
// gateway asked for it.
func (o *oracle) checkDepartures(g *fleetGateway, floor watchFloor) {
	for _, entry := range g.roster {
		if at, left := o.w.departures.acked[entry.ID]; left && at+departureGrace < floor.at {
			o.fail(DeregistrationRespected, "%s uses %s, %v after its deregistration had been acknowledged", g.process.name, entry.ID, floor.at-at)
		}
	}
}

// checkRegistered checks that every back end that runs is registered once all faults have ended.
func (o *oracle) checkRegistered() {
	leader := o.w.leader()
	if o.violation != nil || leader == nil {
		return
	}
	instances := leader.replica.Machine().Catalog().Instances()
	for _, b := range o.w.backends {
		if _, registered := instances[b.id]; b.up && !b.left && !b.draining && !registered {
			o.fail(DeregistrationRespected, "%s runs and sends heartbeats, but is not registered", b.id)
		}
	}
}
