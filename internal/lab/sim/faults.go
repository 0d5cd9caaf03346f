package sim

import "time"

const (
	firstFault       = 6 * time.Second
	lastFault        = 84 * time.Second
	minFaults        = 4
	maxFaults        = 10
	followUpRatio    = 0.35
	followUpMaxDelay = 2 * time.Second
)

// fault is one kind of failure. It ends by itself.
type fault struct {
	name string
	run  func(*world)
}

// faultKinds lists every fault. Its order determines what a seed draws.
var faultKinds = []fault{
	{"kill router", (*world).faultKillRouter},
	{"freeze router", (*world).faultFreezeRouter},
	{"planned stop of a router", (*world).faultStopRouter},
	{"herd restart of routers", (*world).faultRestartAllRouters},
	{"kill control replica", (*world).faultKillControl},
	{"freeze leader", (*world).faultFreezeLeader},
	{"power loss of all control replicas", (*world).faultPowerLoss},
	{"lost disk", (*world).faultLoseDisk},
	{"lost disk, and a second one right after the repair", (*world).faultLoseDiskTwice},
	{"lagging replica, then lost disk and dead leader", (*world).faultLaggingElected},
	{"cut zone", (*world).faultCutZone},
	{"one-way cut", (*world).faultCutOneWay},
	{"bad network", (*world).faultBadNetwork},
	{"kill engine", (*world).faultKillEngine},
	{"kill engines in a row", (*world).faultKillEngines},
	{"freeze engine", (*world).faultFreezeEngine},
	{"leaving engine", (*world).faultDrainEngine},
	{"leaving service", (*world).faultDrainService},
	{"kill service", (*world).faultKillService},
	{"misbehaving streams", (*world).faultStreams},
	{"services that drop connections", (*world).faultServices},
	{"wrong machine list", (*world).faultWrongList},
	{"race of operators", (*world).faultRace},
	{"weights changed back and forth", (*world).faultFlipWeights},
	{"order under way while its leader is frozen", (*world).faultSlowOrder},
	{"change while a router is cut off, watched to the end of its lease", (*world).faultLeaseEnds},
	{"wall clock jump", (*world).faultClockJump},
	{"hot prefix shift", (*world).faultShiftHotPrefix},
	{"control blackout with router restarts", (*world).faultBlackout},
	{"router frozen in a claim, thawed into a cut", (*world).faultClaimFreeze},
	{"routers frozen in claims, one after the other", (*world).faultClaimFreezes},
	{"process of the gateway fleet killed or frozen", (*world).faultFleetProcess},
	{"process of the gateway fleet killed or frozen, again", (*world).faultFleetProcess},
	{"request that ends whoever runs it", (*world).faultFatalRequest},
	{"suspended control replica", (*world).faultSuspendControl},
	{"suspended gateway or router", (*world).faultSuspendGateway},
	{"stalled disk", (*world).faultStallDisk},
	{"leader frozen between deciding and sending an order for weights", (*world).faultFreezeOrder},
	{"writes while a replica is cut off, the others killed after the heal", (*world).faultCutThenKill},
	{"leader that didn't see weights named", (*world).faultLateLeader},
	{"back ends that turn requests away and ask for rest", (*world).faultRejectRequests},
}

// planFaults schedules the random faults of a run.
func (w *world) planFaults() {
	for range minFaults + w.random.IntN(maxFaults-minFaults+1) {
		at := w.between(firstFault, lastFault)
		w.planFault(at)
		if w.chance(followUpRatio) {
			w.planFault(at + w.between(0, followUpMaxDelay))
		}
	}
}

func (w *world) planFault(at time.Duration) {
	kind := pick(w, faultKinds)
	w.after(at, func() {
		w.faults++
		w.logf("FAULT %s", kind.name)
		kind.run(w)
	})
}

// recordControlDisturbance records that control may be unavailable for a while.
func (w *world) recordControlDisturbance(length time.Duration) {
	w.oracle.controlFaultEnd = max(w.oracle.controlFaultEnd, w.now()+length)
}

func (w *world) faultKillRouter() {
	r := pick(w, w.routers)
	r.kill(w.chance(0.5))
	w.restart(r, w.between(100*time.Millisecond, 3*time.Second))
}

func (w *world) faultFreezeRouter() {
	r := pick(w, w.routers)
	w.freezeRouter(r, w.between(300*time.Millisecond, 8*time.Second))
}

func (w *world) freezeRouter(r *routerNode, length time.Duration) {
	r.freeze()
	r.stopping = false
	w.after(length, r.resume)
}

func (w *world) faultStopRouter() {
	r := pick(w, w.routers)
	if r.frozen {
		return
	}
	r.plannedStop(func() { w.restart(r, w.between(200*time.Millisecond, 2*time.Second)) })
}

func (w *world) faultRestartAllRouters() {
	for _, r := range w.routers {
		r.kill(w.chance(0.3))
		w.restart(r, w.between(100*time.Millisecond, 500*time.Millisecond))
	}
}

func (w *world) restartControl(n *controlNode, after time.Duration) {
	w.recordControlDisturbance(after)
	w.restart(n, after)
}

func (w *world) faultKillControl() {
	n := pick(w, w.controls)
	n.crash(w.chance(0.5))
	w.restartControl(n, w.between(200*time.Millisecond, 7*time.Second))
}

func (w *world) faultFreezeLeader() {
	n := w.leader()
	if n == nil || w.chance(0.2) {
		n = pick(w, w.controls)
	}
	length := w.between(300*time.Millisecond, 12*time.Second)
	n.freeze()
	w.recordControlDisturbance(length)
	w.after(length, n.resume)
}

// faultSuspendControl suspends a replica's machine, mostly the leader's, sometimes right after a change was accepted.
func (w *world) faultSuspendControl() {
	n := w.leader()
	if n == nil || w.chance(0.2) {
		n = pick(w, w.controls)
	}
	length := w.between(200*time.Millisecond, 8*time.Second)
	suspend := func() {
		n.suspend(length)
		w.recordControlDisturbance(length)
	}
	if w.chance(0.4) {
		w.onAccept = append(w.onAccept, suspend)
		return
	}
	suspend()
}

// faultSuspendGateway suspends the machine of a gateway or a router, some routers during a claim.
func (w *world) faultSuspendGateway() {
	length := w.between(200*time.Millisecond, 8*time.Second)
	if w.chance(0.5) {
		pick(w, w.gateways).suspend(length)
		return
	}
	if w.chance(0.5) {
		w.pending.onNextClaim = func(r *routerNode) { w.suspendRouter(r, length) }
		return
	}
	w.suspendRouter(pick(w, w.routers), length)
}

func (w *world) suspendRouter(r *routerNode, length time.Duration) {
	r.stopping = false
	r.suspend(length)
}

// faultPowerLoss kills all control replicas right after a change was acknowledged to an operator.
func (w *world) faultPowerLoss() {
	w.onAccept = append(w.onAccept, func() {
		for _, n := range w.controls {
			w.after(w.between(0, 3*time.Millisecond), func() { n.crash(true) })
			w.restartControl(n, w.between(500*time.Millisecond, 2*time.Second))
		}
	})
}

// toleratesDiskLoss reports whether the loss of one disk must lose no data: there is no partition, and every voter is
// intact.
func (w *world) toleratesDiskLoss() bool {
	return len(w.network.partitioned) == 0 && w.allVotersIntact()
}

// allVotersIntact reports whether there is a leader with a committed membership and every voter runs on the disk
// that it joined with.
func (w *world) allVotersIntact() bool {
	leader := w.leader()
	if leader == nil || !leader.replica.Node().MembershipCommitted() {
		return false
	}
	voters := 0
	for _, member := range leader.replica.Node().Membership().Members {
		if member.Learner {
			continue
		}
		voters++
		voter := w.control(member.Name)
		if voter.identity.ID != member.ID || !voter.up || voter.frozen {
			return false
		}
	}
	return voters >= w.voters
}

func (w *world) control(name string) *controlNode {
	for _, n := range w.controls {
		if n.name == name {
			return n
		}
	}
	if n := w.outages.replacements.former[name]; n != nil {
		return n
	}
	panic("sim: no control replica " + name)
}

// loseDisk kills a replica, which restarts with an empty data directory.
func (w *world) loseDisk(n *controlNode) {
	w.logf("%s loses its disk", n.name)
	n.crash(w.chance(0.5))
	n.newDataDir()
	w.restartControl(n, w.between(50*time.Millisecond, time.Second))
	w.recordControlDisturbance(2 * repairAfter)
}

func (w *world) randomVoter() *controlNode {
	members := w.leader().replica.Node().Membership().Members
	for {
		if member := pick(w, members); !member.Learner {
			return w.control(member.Name)
		}
	}
}

func (w *world) faultLoseDisk() {
	if w.toleratesDiskLoss() {
		w.loseDisk(w.randomVoter())
	}
}

func (w *world) faultLoseDiskTwice() {
	if !w.toleratesDiskLoss() {
		return
	}
	w.loseDisk(w.randomVoter())
	deadline := w.now() + 4*repairAfter
	var second func()
	second = func() {
		switch {
		case w.now() > min(deadline, activeTime):
		case w.toleratesDiskLoss():
			w.loseDisk(w.randomVoter())
		default:
			w.after(20*time.Millisecond, second)
		}
	}
	w.after(20*time.Millisecond, second)
}

// faultLaggingElected partitions one follower, waits for an accepted change, kills the leader, loses the other
// follower's disk and heals the partition. Only the leader's disk has the change then.
func (w *world) faultLaggingElected() {
	if !w.toleratesDiskLoss() {
		return
	}
	leader := w.leader()
	var followers []*controlNode
	for _, member := range leader.replica.Node().Membership().Members {
		if !member.Learner && member.Name != leader.name {
			followers = append(followers, w.control(member.Name))
		}
	}
	lagging, lost := followers[0], followers[1]
	if lagging.zone == leader.zone || lagging.zone == lost.zone {
		return
	}
	heal := w.partitionZone(lagging.zone)
	w.recordControlDisturbance(4 * time.Second)
	w.onAccept = append(w.onAccept, func() {
		if !w.allVotersIntact() {
			return // another disk was lost meanwhile; a group of three doesn't tolerate two
		}
		leader.crash(true)
		w.loseDisk(lost)
		w.restartControl(leader, 6*time.Second)
	})
	w.after(3500*time.Millisecond, heal)
}

// partitionZone partitions a zone from the others and returns a function that heals the partition.
func (w *world) partitionZone(zone string) (heal func()) {
	var pairs [][2]string
	for _, other := range zones {
		if other != zone {
			pairs = append(pairs, [2]string{zone, other}, [2]string{other, zone})
		}
	}
	return w.partition(pairs)
}

func (w *world) partition(pairs [][2]string) (heal func()) {
	for _, pair := range pairs {
		w.network.partitioned[pair]++
	}
	return func() {
		for _, pair := range pairs {
			if w.network.partitioned[pair]--; w.network.partitioned[pair] <= 0 {
				delete(w.network.partitioned, pair)
			}
		}
		w.logf("partition healed")
		if w.outages.random != nil {
			w.expectLeader(0) // a partition that had to end first is part of the outage
		}
	}
}

func (w *world) faultCutZone() {
	length := w.between(500*time.Millisecond, 9*time.Second)
	w.recordControlDisturbance(length)
	w.after(length, w.partitionZone(pick(w, zones)))
}

func (w *world) faultCutOneWay() {
	from, to := pick(w, zones), pick(w, zones)
	if from == to {
		return
	}
	length := w.between(500*time.Millisecond, 9*time.Second)
	w.recordControlDisturbance(length)
	w.after(length, w.partition([][2]string{{from, to}}))
}

func (w *world) faultBadNetwork() {
	length := w.between(time.Second, 8*time.Second)
	w.network.degradedUntil = max(w.network.degradedUntil, w.now()+length)
	w.network.lossRatio = 0.02 + 0.2*w.random.Float64()
	w.recordControlDisturbance(length)
}

// faultBlackout kills a majority of the control replicas while all routers restart.
func (w *world) faultBlackout() {
	length := w.between(3*time.Second, 8*time.Second)
	for _, n := range w.controls[:w.voters-1] {
		n.crash(true)
		w.restartControl(n, length)
	}
	for _, r := range w.routers {
		r.kill(false)
		w.restart(r, w.between(100*time.Millisecond, 2*time.Second))
	}
}

// faultRace makes the operators edit the same version concurrently, several times.
func (w *world) faultRace() {
	for round := range 4 {
		w.after(time.Duration(round)*700*time.Millisecond, func() {
			base := w.oracle.acknowledged
			for _, o := range w.operators {
				if base > 0 {
					o.submit(base, o.randomEdits())
				}
			}
		})
	}
}

func (w *world) faultFlipWeights() {
	for round := range 5 {
		w.after(time.Duration(round)*800*time.Millisecond, func() { w.operators[0].flipWeights() })
	}
}

func (w *world) faultClockJump() {
	pick(w, w.controls).wallSkew += w.between(-10*time.Minute, 10*time.Minute)
	w.oracle.updateWallSkews()
}

func (w *world) faultShiftHotPrefix() { w.callers.hotTemplateOffset += 3 }
