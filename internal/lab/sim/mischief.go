package sim

import "time"

const (
	drainDuration = 10 * time.Second // until a draining back end stops
	restartDelay  = 2 * time.Second  // until it restarts
)

// pendingFaults are faults that last for a while or wait for an event.
type pendingFaults struct {
	freezeOnOrder bool // the leader freezes between deciding and sending the next weights order
	streamsUntil  time.Duration
	servicesUntil time.Duration
	onNextClaim   func(*routerNode)                // run at the next claim of a router
	onNextOrder   func(*controlNode) time.Duration // run at the next order to an engine
}

// delayOrder runs the fault that waits for an order, if any, and returns the order's delay.
func (m *pendingFaults) delayOrder(n *controlNode) time.Duration {
	waiting := m.onNextOrder
	if waiting == nil {
		return 0
	}
	m.onNextOrder = nil
	return waiting(n)
}

// onClaim runs the fault that waits for a claim, if any.
func (m *pendingFaults) onClaim(r *routerNode) {
	if waiting := m.onNextClaim; waiting != nil {
		m.onNextClaim = nil
		waiting(r)
	}
}

func (w *world) faultKillEngine() {
	e := pick(w, w.engines)
	e.kill(w.chance(0.5))
	if w.chance(0.5) {
		w.restart(e, w.between(10*time.Millisecond, 80*time.Millisecond)) // before the failure is detected
		return
	}
	w.restart(e, w.between(100*time.Millisecond, 3*time.Second))
}

func (w *world) faultFreezeEngine() {
	e := pick(w, w.engines)
	e.freeze()
	w.after(w.between(300*time.Millisecond, 6*time.Second), e.resume)
}

func (w *world) faultDrainEngine() {
	e := pick(w, w.engines)
	w.drainBackend(e.process, e)
}

func (w *world) faultDrainService() {
	s := pick(w, w.services)
	w.drainBackend(s.process, s)
}

// drainBackend marks a back end as leaving in the machine list only; the back end itself isn't told. It stops after
// drainDuration and restarts as a new incarnation.
func (w *world) drainBackend(p *process, n node) {
	if p.drainingSince > 0 {
		return
	}
	p.drainingSince = w.now()
	w.logf("%s is to leave", p.name)
	w.after(drainDuration, func() {
		p.kill(false)
		p.drainingSince = 0
		w.restart(n, restartDelay)
	})
}

func (w *world) faultKillService() {
	s := pick(w, w.services)
	s.kill(w.chance(0.5))
	w.restart(s, w.between(100*time.Millisecond, 2*time.Second))
}

func (w *world) faultStreams() {
	w.pending.streamsUntil = w.now() + w.between(2*time.Second, 8*time.Second)
}

func (w *world) faultServices() {
	w.pending.servicesUntil = w.now() + w.between(2*time.Second, 8*time.Second)
}

// faultWrongList omits a running engine from the machine list.
func (w *world) faultWrongList() {
	e := pick(w, w.engines)
	w.platform.omitted[e.name] = true
	w.after(w.between(time.Second, 6*time.Second), func() { delete(w.platform.omitted, e.name) })
}

// faultClaimFreeze freezes a router that waits for a claim. Meanwhile a change comes into force and the router's
// session expires. The router resumes in a partition, so that it can notice this by its own clock only.
func (w *world) faultClaimFreeze() {
	w.pending.onNextClaim = func(r *routerNode) {
		if r.zone == serveLastZone {
			return
		}
		w.operators[0].flipWeights()
		length := 2*settingsLease + w.between(time.Second, 3*time.Second)
		w.after(w.between(2*time.Millisecond, 12*time.Millisecond), func() { w.freezeRouter(r, length) })
		w.after(length-100*time.Millisecond, func() {
			heal := w.partitionZone(r.zone)
			w.recordControlDisturbance(4 * time.Second)
			w.after(3500*time.Millisecond, heal)
		})
	}
}

// faultKillEngines kills the engines one after the other. Each restarts at once with an empty cache.
func (w *world) faultKillEngines() {
	for i, e := range w.engines {
		w.after(time.Duration(i)*900*time.Millisecond, func() {
			e.kill(true)
			w.restart(e, 20*time.Millisecond)
		})
	}
}

func (w *world) faultClaimFreezes() {
	for round := range 3 {
		w.after(time.Duration(round)*4*time.Second, w.faultClaimFreeze)
	}
}

// faultSlowOrder delays an order while its leader is frozen, another one is elected and the settings are changed back,
// so that the order arrives after a newer one.
func (w *world) faultSlowOrder() {
	const length = 5 * time.Second
	w.pending.onNextOrder = func(leader *controlNode) time.Duration {
		w.after(10*time.Millisecond, leader.freeze)
		w.recordControlDisturbance(length)
		w.after(length, leader.resume)
		for round := range 3 {
			w.after(2*time.Second+time.Duration(round)*400*time.Millisecond, w.operators[1].flipWeights)
		}
		return length + w.between(0, time.Second)
	}
	w.operators[0].flipWeights()
}

// faultLeaseEnds tests the expiry of a router's lease several times.
func (w *world) faultLeaseEnds() {
	for round := range 3 {
		w.after(time.Duration(round)*6*time.Second, w.faultLeaseEnd)
	}
}

// faultLeaseEnd partitions a router, changes the settings and sends requests to that router while an operator polls
// whether the change is in force. The router must have stopped serving by then, whatever the skew of its clock.
func (w *world) faultLeaseEnd() {
	const length = 4 * time.Second
	leader := w.leader()
	r := pick(w, w.routers)
	if leader == nil || r.zone == serveLastZone || r.zone == leader.zone {
		return
	}
	w.recordControlDisturbance(length)
	w.after(length, w.partitionZone(r.zone))
	w.after(100*time.Millisecond, w.operators[0].flipWeights)
	for at := settingsLease * 3 / 4; at < settingsLease*5/4; at += 10 * time.Millisecond {
		w.after(at, w.operators[1].read)
		w.after(at, func() { w.callers.sendTo(w.callers.newJob(), r, nil) })
	}
}
