package sim

import (
	"io"
	"math/rand/v2"
	"time"

	"kitetiller/internal/guard"
)

// Runs with outages have a larger control group, spread over the zones, and lose disks, several at once, while the other
// processes lose power, also during repairs of earlier losses.

const (
	outageStream   = 47
	outageVoters   = 5
	outageReplicas = 8
	mostVoters     = 9
	minOutages     = 6
	maxOutages     = 14
	// leaderTimeout bounds the time from the end of an outage until a leader answers.
	leaderTimeout = 5 * time.Second
	// slowSyncLeaderTime is how many times the duration of the slowest sync a leader may take longer.
	slowSyncLeaderTime = 8
)

// outages is the state of a run with outages.
type outages struct {
	random       *rand.Rand    // nil: usual faults, and a control group of the usual size
	replicas     int           // of control
	replacements replacements  // of runs with pairs of faults
	last         time.Duration // when a control replica last ended, or the end of the latest outage
	leaderChecks int
	disksLost    int
}

// outageKinds lists the faults of runs with outages.
var outageKinds = []fault{
	{"lost disks", (*world).outageLoseDisks},
	{"lost disks, and more while they are replaced", (*world).outageLoseDisksInRepair},
	{"power loss of all with lost disks", (*world).outagePowerLoss},
	{"power loss of all with lost disks, right after an acknowledgement", (*world).outagePowerLossAfterAck},
	{"power loss of all with lost disks during a repair", (*world).outagePowerLossInRepair},
	{"kill control replica", (*world).faultKillControl},
	{"freeze leader", (*world).faultFreezeLeader},
	{"cut zone", (*world).faultCutZone},
	{"stalled disk", (*world).faultStallDisk},
	{"slow syncs", (*world).outageSlowSync},
	{"slow syncs, again", (*world).outageSlowSync},
	{"slow links between control replicas", (*world).outageSlowLinks},
	{"slow links between control replicas, again", (*world).outageSlowLinks},
}

// RunOutages runs one seed with a larger control group that loses disks and power. In odd seeds all replicas may vote.
func RunOutages(seed uint64, guards guard.Set, trace io.Writer) Result {
	return newOutageWorld(seed, guards, trace).finish()
}

func newOutageWorld(seed uint64, guards guard.Set, trace io.Writer) *world {
	w := &world{
		seed: seed, random: rand.New(rand.NewPCG(seed, seedStream)), outages: outages{random: rand.New(rand.NewPCG(seed, outageStream)), replicas: outageReplicas},
		guards: guards, trace: trace, gatewayCount: fleetGateways, voters: outageVoters,
	}
	if seed%2 == 1 {
		w.mostVoters = mostVoters
	}
	return startWorld(w)
}

// planOutages schedules the faults of a run with outages.
func (w *world) planOutages() {
	w.checkLeases()
	for range minOutages + w.outages.random.IntN(maxOutages-minOutages+1) {
		kind := outageKinds[w.outages.random.IntN(len(outageKinds))]
		w.after(w.between(firstFault, lastFault), func() {
			w.faults++
			w.logf("FAULT %s", kind.name)
			kind.run(w)
		})
	}
}

// bearableLosses returns how many of the voters' disks may be lost or full now so that a majority of them is left. It returns 0
// without a leader, during a partition, and while a change of the members is not committed.
func (w *world) bearableLosses() int {
	leader := w.leader()
	if leader == nil || len(w.network.partitioned) > 0 || !leader.replica.Node().MembershipCommitted() {
		return 0
	}
	voters, intact := 0, 0
	for _, member := range leader.replica.Node().Membership().Members {
		if member.Learner {
			continue
		}
		voters++
		if n := w.control(member.Name); n.identity.ID == member.ID && !n.isFull() {
			intact++
		}
	}
	return max(0, intact-(voters/2+1))
}

// drawVictims returns up to count replicas whose disks may be lost now, voters first, and the leader among them at times.
func (w *world) drawVictims(count int) []*controlNode {
	count = min(count, w.bearableLosses())
	if count == 0 {
		return nil
	}
	leader := w.leader()
	var voters []*controlNode
	for _, member := range leader.replica.Node().Membership().Members {
		if n := w.control(member.Name); !member.Learner && n.identity.ID == member.ID {
			voters = append(voters, n)
		}
	}
	w.outages.random.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	return voters[:min(count, len(voters))]
}

func (w *world) drawLossCount() int { return 1 + w.outages.random.IntN(outageVoters/2) }

// outageLoseDisks makes one or two replicas lose their disks at the same moment.
func (w *world) outageLoseDisks() {
	for _, n := range w.drawVictims(w.drawLossCount()) {
		w.outages.disksLost++
		w.loseDisk(n)
	}
	w.expectLeader(time.Second)
}

// outageLoseDisksInRepair loses disks again at a moment at which earlier losses are being replaced.
func (w *world) outageLoseDisksInRepair() {
	w.outageLoseDisks()
	w.after(w.between(50*time.Millisecond, 2*repairAfter), w.outageLoseDisks)
}

// outagePowerLoss makes all control replicas and gateways lose power; some replicas come back without their disks.
func (w *world) outagePowerLoss() {
	victims := w.drawVictims(w.outages.random.IntN(outageVoters/2 + 1))
	dark := w.between(300*time.Millisecond, 3*time.Second)
	w.powerOff(victims, dark)
	w.expectLeader(dark)
}

// powerOff makes all control replicas and gateways lose power for a time, and some replicas their disks.
func (w *world) powerOff(victims []*controlNode, dark time.Duration) {
	for _, n := range w.controls {
		n.crash(true)
		w.restartControl(n, dark)
	}
	for _, n := range victims {
		w.logf("%s loses its disk", n.name)
		w.outages.disksLost++
		n.newDataDir()
	}
	for _, g := range w.gateways {
		g.kill(true)
		w.restart(g, dark)
	}
}

// outagePowerLossAfterAck is outagePowerLoss as soon as the next change is accepted.
func (w *world) outagePowerLossAfterAck() {
	w.onAccept = append(w.onAccept, w.outagePowerLoss)
}

// outagePowerLossInRepair is outagePowerLoss at a moment at which lost disks are being replaced.
func (w *world) outagePowerLossInRepair() {
	w.outageLoseDisks()
	w.after(w.between(20*time.Millisecond, repairAfter), w.outagePowerLoss)
}

// expectLeader checks some time after the end of an outage that a leader answers, unless there were further faults.
func (w *world) expectLeader(length time.Duration) {
	length = max(length, w.unboundedSlowLinks())
	end := w.now() + length
	w.outages.last = max(w.outages.last, end)
	faults := w.faults
	w.after(length+leaderTimeout+slowSyncLeaderTime*w.slowestSync(w.now())+slowLinkLeaderTime*w.network.controlLinks.delayNow(w.now()), func() {
		if w.faults != faults || w.outages.last > end || len(w.network.partitioned) > 0 {
			return // another one has struck since
		}
		if started := w.latestControlStart(); started > end {
			w.expectLeader(started - w.now()) // there may have been no majority before
			return
		}
		w.outages.leaderChecks++
		w.oracle.checkLeader(end)
	})
}

// latestControlStart returns when a control replica last started.
func (w *world) latestControlStart() time.Duration {
	latest := time.Duration(0)
	for _, n := range w.controls {
		latest = max(latest, n.startedAt)
	}
	return latest
}

// checkLeader checks that a replica leads and may answer, since all of them run.
func (o *oracle) checkLeader(since time.Duration) {
	for _, n := range o.w.controls {
		if !n.up || n.frozen || n.resumedAt > 0 && n.resumedAt+leaderTimeout > o.w.now() {
			return // another fault lasts, or has ended since
		}
	}
	if leader := o.w.leader(); leader == nil || !leader.replica.Node().LeaseValid(leader.clock()) {
		o.fail(LeaderElected, "no control replica leads with a valid lease %v after an outage ended", o.w.now()-since)
	}
}
