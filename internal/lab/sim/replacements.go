package sim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/lab/syncs"
)

// Runs with replacements lose control machines in pairs of faults: replicas are replaced, or lose their disks, and once that
// must be made up for, all lose power and as many more disks are lost as the group tolerates. A machine counts as lost while
// it is down, frozen or cut off, and for catchUp after its return or, if it is new, its start.

const (
	replacementStream = 53
	catchUp           = 4 * time.Second
	// replacementRepairAfter is the RepairAfter of deployments with that catchUp. It is part of the time to catch up.
	replacementRepairAfter = 2 * time.Second
	smallReplicas          = 3 // of runs with a group of the usual size

	minReplaceTime = 200 * time.Millisecond // from the loss of a machine to the start of the one that takes its place
	maxReplaceTime = time.Second
	minDarkTime    = 300 * time.Millisecond
	maxDarkTime    = 3 * time.Second
	// Most losses of power follow within nearDistance of the earliest permitted moment, the others within farDistance.
	nearDistance = 2 * time.Second
	farDistance  = 20 * time.Second
	// betweenPairs is the longest time from a permitted moment to the next pair.
	betweenPairs = 6 * time.Second

	maxUsualSync    = 5 * time.Millisecond // of disks that are not slow
	minReplacedSync = 100 * time.Millisecond
	maxReplacedSync = time.Second
	maxSlowLead     = 3 * time.Second // from when syncs become slow to the first fault of a pair

	maxSideDelay  = 2 * time.Second // from the start of a new machine, or the loss before, to a machine's freeze or cut
	minSideLength = 300 * time.Millisecond
	maxSideLength = 3 * time.Second
	slowLinkDelay = 50 * time.Millisecond

	slowLinkRatio   = 0.3
	sideFaultRatio  = 0.4
	bareLossRatio   = 0.3 // share of losses of power that follow another one without a replacement between
	allDisksRatio   = 0.8 // share of losses of power with as many lost disks as are tolerated
	sameMachine     = 0.3 // share of lost disks whose machine comes back under its name
	nearRatio       = 0.75
	slowAllRatio    = 0.6
	slowBeyondRatio = 0.5 // share of slow syncs that go on after the power is back
	leaderAimRatio  = 0.4
	newestAimRatio  = 0.4
)

// replacements is the state of a run with replacements.
type replacements struct {
	on         bool
	slow       bool                    // syncs are slow in some pairs
	newest     []*controlNode          // that lost their disks in the latest pair
	former     map[string]*controlNode // by names that replicas had before they were replaced
	losses     []machineLoss
	pairs      int
	successors int // number of machines that took the place of others
}

// machineLoss is the loss of a machine or its disk, until it is back for good.
type machineLoss struct {
	replica    *controlNode
	from, back time.Duration
}

// RunReplacements runs one seed with pairs of faults. Even seeds have a group of three and odd ones one of five among eight
// replicas, all of which may vote in two of eight seeds. Syncs are slow in every second pair of seeds.
func RunReplacements(seed uint64, guards guard.Set, trace io.Writer) Result {
	return newReplacementWorld(seed, guards, trace).finish()
}

func newReplacementWorld(seed uint64, guards guard.Set, trace io.Writer) *world {
	w := &world{
		seed: seed, random: rand.New(rand.NewPCG(seed, seedStream)), guards: guards, trace: trace, gatewayCount: fleetGateways,
		voters: usualVoters, outages: outages{random: rand.New(rand.NewPCG(seed, replacementStream)), replicas: smallReplicas},
	}
	if seed%2 == 1 {
		w.voters, w.outages.replicas = outageVoters, outageReplicas
		if seed/4%2 == 1 {
			w.mostVoters = mostVoters
		}
	}
	w.outages.replacements = replacements{on: true, slow: seed/2%2 == 1, former: map[string]*controlNode{}}
	return startWorld(w)
}

func (w *world) tolerated() int { return w.voters / 2 }

// drawOutage returns a random duration of the faults' own random source.
func (w *world) drawOutage(low, high time.Duration) time.Duration {
	return low + time.Duration(w.outages.random.Int64N(int64(high-low)))
}

func (w *world) outageChance(probability float64) bool {
	return w.outages.random.Float64() < probability
}

// planReplacements schedules the first pair of faults. Each loss of power schedules what follows it.
func (w *world) planReplacements() { w.after(firstFault, w.beginPair) }

// pair is the course of one pair of faults.
type pair struct {
	sync   time.Duration // of slow disks; 0: no disk is slow
	slowed []*controlNode
	links  time.Duration // delay of all links
}

// repairTime returns how long a replacement may take.
func (p pair) repairTime() time.Duration {
	if p.sync <= maxUsualSync {
		return catchUp
	}
	return syncs.RepairTime(catchUp, replacementRepairAfter, p.sync)
}

// beginPair draws a pair of faults and begins it.
func (w *world) beginPair() {
	if w.now() > lastFault {
		return
	}
	p := w.drawPair()
	lead := time.Duration(0)
	if p.sync > 0 {
		lead = w.drawOutage(0, maxSlowLead)
	}
	for _, n := range w.controls {
		n.endSlowSyncs()
	}
	w.slowPair(p)
	w.after(lead, func() {
		w.faults++
		w.network.linkDelay = p.links
		back := w.replaceMachines(1+w.outages.random.IntN(w.tolerated()), p)
		w.after(back+w.drawDistance(p), func() { w.losePower(p) })
	})
}

func (w *world) drawPair() pair {
	var p pair
	switch {
	case w.outages.replacements.slow:
		p.sync = w.drawOutage(minReplacedSync, maxReplacedSync)
	case w.outages.random.IntN(2) == 0:
		p.sync = w.drawOutage(0, maxUsualSync)
	}
	p.slowed = w.controls
	if !w.outageChance(slowAllRatio) {
		p.slowed = nil
		for _, i := range w.outages.random.Perm(len(w.controls))[:w.tolerated()] {
			p.slowed = append(p.slowed, w.controls[i])
		}
	}
	if w.outageChance(slowLinkRatio) {
		p.links = slowLinkDelay
	}
	return p
}

// slowPair makes the syncs of a pair slow until the next one.
func (w *world) slowPair(p pair) {
	for _, n := range p.slowed {
		if p.sync > maxUsualSync {
			n.slowDown(p.sync, RunLength)
			continue
		}
		n.slowSync, n.slowUntil = p.sync, RunLength
	}
}

// drawDistance returns the time from when all replicas are back to the next loss.
func (w *world) drawDistance(p pair) time.Duration {
	if w.outageChance(nearRatio) {
		return p.repairTime() + w.drawOutage(0, nearDistance)
	}
	return p.repairTime() + w.drawOutage(nearDistance, farDistance)
}

// replaceMachines takes machines or disks of replicas away. It returns the time until all have been back for good: a machine
// that takes the place of another may be frozen or cut off, and then counts as lost again. So may another one, if the group
// tolerates one more.
func (w *world) replaceMachines(count int, p pair) (back time.Duration) {
	victims := w.drawLost(count)
	w.outages.replacements.newest = victims
	for _, n := range victims {
		down := w.drawOutage(minReplaceTime, maxReplaceTime)
		back = max(back, down)
		n.crash(w.outageChance(0.5))
		if w.outageChance(sameMachine) {
			w.logf("%s loses its disk", n.name)
		} else {
			w.rename(n)
		}
		w.outages.disksLost++
		n.newDataDir()
		w.restartControl(n, down)
		if w.outageChance(sideFaultRatio) {
			back = max(back, w.strike(n, down))
		}
	}
	if count < w.tolerated() && w.outageChance(sideFaultRatio) {
		other := w.drawOther(victims)
		end := w.strike(other, 0)
		w.recordLosses([]*controlNode{other}, end)
		back = max(back, end)
	}
	w.outages.replacements.pairs++
	w.recordLosses(victims, back)
	w.recordControlDisturbance(back + p.repairTime() + recoveryTime)
	return back
}

func (w *world) recordLosses(replicas []*controlNode, length time.Duration) {
	for _, n := range replicas {
		w.outages.replacements.losses = append(w.outages.replacements.losses, machineLoss{n, w.now(), w.now() + length})
	}
}

// rename makes a replica that is down one on a new machine, with a name and an address of its own.
func (w *world) rename(n *controlNode) {
	r := &w.outages.replacements
	r.successors++
	r.former[n.name] = n
	successor := fmt.Sprintf("control-%d", len(w.controls)+r.successors)
	w.logf("%s is replaced by %s", n.name, successor)
	n.name = successor
}

// drawOther returns a replica that is not among the given ones.
func (w *world) drawOther(replicas []*controlNode) *controlNode {
	for {
		if n := w.controls[w.outages.random.IntN(len(w.controls))]; !slices.Contains(replicas, n) {
			return n
		}
	}
}

// strike freezes a replica, or cuts it off, soon after a start. It returns the time until that ends.
func (w *world) strike(n *controlNode, start time.Duration) time.Duration {
	at, length := start+w.drawOutage(0, maxSideDelay), w.drawOutage(minSideLength, maxSideLength)
	freeze := w.outageChance(0.5)
	w.after(at, func() {
		if freeze {
			n.freeze()
			w.after(length, n.resume)
			return
		}
		w.logf("%s is cut off", n.name)
		w.network.isolated[n.process] = true
		w.after(length, func() { delete(w.network.isolated, n.process) })
	})
	return at + length
}

// drawLost returns the replicas that are lost, voters first: the leader, those of the latest pair, or any.
func (w *world) drawLost(count int) []*controlNode {
	order := slices.Clone(w.controls)
	w.outages.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	leader, aim := w.leader(), w.outages.random.Float64()
	rank := func(n *controlNode) int {
		switch {
		case aim < leaderAimRatio && n == leader:
			return 0
		case aim >= leaderAimRatio && aim < leaderAimRatio+newestAimRatio && slices.Contains(w.outages.replacements.newest, n):
			return 0
		case leader != nil && leader.hasVoter(n):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(order, func(a, b *controlNode) int { return rank(a) - rank(b) })
	return order[:count]
}

// hasVoter reports whether another replica has a vote, as far as this one knows.
func (n *controlNode) hasVoter(other *controlNode) bool {
	member, found := n.replica.Node().Membership().Find(other.identity.ID)
	return found && !member.Learner
}

// losePower makes all control replicas and gateways lose power and some replicas their disks, and schedules what follows.
func (w *world) losePower(p pair) {
	if w.now() > activeTime-maxDarkTime {
		return
	}
	w.faults++
	count := w.tolerated()
	if !w.outageChance(allDisksRatio) {
		count = w.outages.random.IntN(count + 1)
	}
	victims, dark := w.drawLost(count), w.drawOutage(minDarkTime, maxDarkTime)
	w.outages.replacements.newest = victims
	w.logf("FAULT power loss of all with %d lost disks", count)
	w.recordLosses(victims, dark)
	w.powerOff(victims, dark)
	if p.sync > 0 && !w.outageChance(slowBeyondRatio) {
		p.sync = 0
		for _, n := range p.slowed {
			n.slowUntil = w.now() + dark
		}
	}
	w.expectLeader(dark)
	if w.outageChance(bareLossRatio) {
		w.after(dark+w.drawDistance(p), func() { w.losePower(p) })
		return
	}
	w.after(dark+p.repairTime()+w.drawOutage(0, betweenPairs), w.beginPair)
}
