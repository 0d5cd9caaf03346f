package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/lab/syncs"
)

const (
	replacementStream = 53
	replacementRatio  = 0.5 // share of seeds of outages that draw replacements
	maxPairs          = 2   // of a replacement and a loss of power
	// noticeTime is the time in which the loss of a machine is noticed, a part of the time to catch up.
	noticeTime = 2 * time.Second
	// startMargin is added to the time to catch up: processes take a moment to stop and start.
	startMargin        = 300 * time.Millisecond
	maxReplaceDelay    = time.Second // between the losses of two machines of a pair
	minReplaceTime     = 300 * time.Millisecond
	maxReplaceTime     = time.Second
	maxSideDelay       = 3 * time.Second // from the first loss of a pair to a fault beside it
	sideMargin         = time.Second     // by which such a fault may take longer than planned
	nearDistance       = 2 * time.Second // beyond the time to catch up, of most losses of power
	farDistance        = 10 * time.Second
	minSlowSync        = 100 * time.Millisecond
	maxSlowSync        = time.Second
	maxUsualSync       = 10 * time.Millisecond // of disks that are not slow
	slowSyncRatio      = 0.5
	usualSyncRatio     = 0.25
	slowAllRatio       = 0.6
	slowBeyondRatio    = 0.5 // share of slow syncs that go on after the last loss of power
	replaceRatio       = 0.7 // of lost machines that come back at another address
	sideFaultRatio     = 0.5
	nearRatio          = 0.75
	allDisksRatio      = 0.8 // of losses of power with as many lost disks as are tolerated
	firstSlowSyncStart = time.Second
)

// replacementPlan is a plan of replacements that is being drawn.
type replacementPlan struct {
	Plan
	random *rand.Rand
	sync   time.Duration // by which syncs take longer
}

// generateReplacements draws a plan of pairs of faults: control machines are replaced or lose their disks, and once that must
// be made up for, all lose power and further disks are lost. It reports false for seeds and shapes without such a plan.
func generateReplacements(seed uint64, gateways int, shape Shape) (Plan, bool) {
	p := replacementPlan{Plan: Plan{Seed: seed, Gateways: gateways, Shape: shape}, random: rand.New(rand.NewPCG(seed, replacementStream))}
	if !p.chance(replacementRatio) || shape.CatchUpMS == 0 {
		return Plan{}, false
	}
	p.NewIDs = p.chance(0.5)
	slow := p.drawSlowSync()
	at := firstOutage
	for range 1 + p.random.IntN(maxPairs) {
		at = p.addPair(at) + shape.Recover() + restoredTime // so that service is judged after each return
	}
	last := p.LastEnd()
	p.LengthMS = at.Milliseconds()
	if p.sync > 0 {
		if p.chance(slowBeyondRatio) {
			last = p.Length()
		}
		slow.ForMS = (last - slow.At()).Milliseconds()
		p.Faults = append([]Fault{slow}, p.Faults...)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.AtMS - b.AtMS) })
	return p.Plan, true
}

func (p *replacementPlan) chance(probability float64) bool { return p.random.Float64() < probability }

func (p *replacementPlan) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

// tolerated returns the number of machines that may be lost at once.
func (p *replacementPlan) tolerated() int { return max(1, p.Shape.Tolerated) }

// drawSlowSync draws by how much the syncs of all machines, or of as many as may be lost, take longer.
func (p *replacementPlan) drawSlowSync() Fault {
	kind := p.random.Float64()
	switch {
	case !p.Shape.LoseUnsynced:
		return Fault{}
	case kind < slowSyncRatio:
		p.sync = p.between(minSlowSync, maxSlowSync)
	case kind < slowSyncRatio+usualSyncRatio:
		p.sync = p.between(time.Millisecond, maxUsualSync)
	}
	slow := Fault{AtMS: p.between(firstSlowSyncStart, firstOutage).Milliseconds(), Kind: SlowSync, Target: p.random.IntN(64), SyncMS: p.sync.Milliseconds()}
	if !p.chance(slowAllRatio) {
		slow.Disks = 1 + p.random.IntN(p.tolerated())
	}
	return slow
}

// add adds a fault and returns its end.
func (p *replacementPlan) add(at, length time.Duration, kind Kind, disks int) time.Duration {
	fault := Fault{AtMS: at.Milliseconds(), ForMS: length.Milliseconds(), Kind: kind, Target: p.random.IntN(64), Disks: disks, Aim: Aims()[p.random.IntN(len(Aims()))]}
	p.Faults = append(p.Faults, fault)
	return fault.End()
}

// addPair adds a pair of faults, and at times one beside it, and returns the end of the loss of power.
func (p *replacementPlan) addPair(at time.Duration) time.Duration {
	back := at
	for range 1 + p.random.IntN(p.tolerated()) {
		kind, disks := WipeControl, 1
		if p.chance(replaceRatio) {
			kind, disks = ReplaceControl, 0
		}
		back = max(back, p.add(at+p.between(0, maxReplaceDelay), p.between(minReplaceTime, maxReplaceTime), kind, disks))
	}
	if p.chance(sideFaultRatio) {
		kinds := []Kind{PauseLeader, RollControl, CutLeader}
		if p.Shape.Direct {
			kinds = kinds[:2]
		}
		end := p.add(at+p.between(0, maxSideDelay), p.between(minDark, maxOutage), kinds[p.random.IntN(len(kinds))], 0)
		back = max(back, end+sideMargin)
	}
	disks := p.tolerated()
	if !p.chance(allDisksRatio) {
		disks = p.random.IntN(disks + 1)
	}
	distance := syncs.RepairTime(p.Shape.CatchUp(), noticeTime, p.sync) + startMargin
	if p.chance(nearRatio) {
		distance += p.between(0, nearDistance)
	} else {
		distance += p.between(nearDistance, farDistance)
	}
	return p.add(back+distance, p.between(minDark, maxDark), PowerOff, disks)
}
