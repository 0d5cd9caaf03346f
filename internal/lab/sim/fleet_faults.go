package sim

import "time"

// faultFleetProcess kills a back end, or kills or freezes a gateway.
func (w *world) faultFleetProcess() {
	w.faults++
	if w.chance(0.4) {
		backend := pick(w, w.backends)
		w.killBackend(backend, w.chance(0.5))
		w.restart(backend, w.between(100*time.Millisecond, 4*time.Second))
		return
	}
	gateway := pick(w, w.gateways)
	if w.chance(0.5) {
		gateway.freeze()
		w.after(w.between(500*time.Millisecond, 5*time.Second), gateway.resume)
		return
	}
	gateway.kill(w.chance(0.5))
	w.restart(gateway, w.between(100*time.Millisecond, 3*time.Second))
}

// faultStallDisk blocks a replica's disk for a while. The replica must neither acknowledge changes nor lead meanwhile.
func (w *world) faultStallDisk() {
	n := pick(w, w.controls)
	if leader := w.leader(); leader != nil && w.chance(0.6) {
		n = leader
	}
	n.stallDisk(w.between(time.Second, 5*time.Second))
}

func (n *controlNode) stallDisk(length time.Duration) {
	n.w.logf("%s: its disk stalls for %v", n.name, length)
	n.diskStalledUntil = n.w.now() + length
	n.w.recordControlDisturbance(length + recoveryTime)
}

// faultFreezeOrder freezes the leader between the decision to send a weights order and its sending.
func (w *world) faultFreezeOrder() {
	w.pending.freezeOnOrder = true
	pick(w, w.fleetOperators).publishWeights()
}

// freezeOnOrder freezes the replica for a while.
func (n *controlNode) freezeOnOrder() {
	n.w.pending.freezeOnOrder = false
	n.freeze()
	length := n.w.between(3*time.Second, 6*time.Second)
	n.w.recordControlDisturbance(length + recoveryTime)
	generation := n.generation
	n.w.after(length, func() {
		if n.generation == generation && n.frozen {
			n.resume()
			n.advance()
		}
	})
}

// faultCutThenKill partitions a replica while changes are made, heals the partition and kills the others at once.
// Acknowledged changes must survive on their disks, and the outdated replica must not lead without them.
func (w *world) faultCutThenKill() {
	lagging := pick(w, w.controls)
	length := w.between(2*time.Second, 6*time.Second)
	w.after(length, w.partitionZone(lagging.zone))
	w.recordControlDisturbance(length + recoveryTime)
	w.after(length+w.between(0, 50*time.Millisecond), func() {
		for _, n := range w.controls {
			if n != lagging {
				n.crash(w.chance(0.5))
				w.restartControl(n, w.between(200*time.Millisecond, 2*time.Second))
			}
		}
	})
}
