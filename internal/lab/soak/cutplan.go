package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// firstCut is when the first cut of a plan begins. Each lasts for minCut to maxCut, and the next one begins up to maxCutGap after
	// its end, or while it lasts.
	firstCut  = 4 * time.Second
	minCut    = 6 * time.Second
	maxCut    = 12 * time.Second
	maxCutGap = 4 * time.Second
	maxCuts   = 3
	// besideRatio is the share of plans in which something else strikes beside the cuts.
	besideRatio = 0.5
	// cutStream separates the draws of cuts from others of the same seed.
	cutStream = 2
	// afterCuts is how long traffic goes on after the last one.
	afterCuts = 6 * time.Second
)

// GenerateCuts returns a random plan for a shape: one or more cuts between gateways and all workers, of one gateway, several or whole
// zones, that may overlap, and in a part of the plans something else beside them. The same seed yields the same plan.
func GenerateCuts(seed uint64, gateways int, shape Shape) Plan {
	random := rand.New(rand.NewPCG(seed, cutStream))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	shape.Direct = false
	plan := Plan{Seed: seed, Gateways: gateways, Shape: drawCapacity(seed, shape), NewIDs: random.IntN(2) == 0}
	at := firstCut
	for range 1 + random.IntN(maxCuts) {
		fault := Fault{AtMS: at.Milliseconds(), ForMS: between(minCut, maxCut).Milliseconds(), Target: random.IntN(64)}
		fault.Kind = []Kind{CutWorkers, CutWorkers, CutWorkersOneWay, ResetWorkers, RefuseWorkers}[random.IntN(5)]
		drawExtent(random, &fault, gateways, max(1, shape.Zones))
		plan.Faults = append(plan.Faults, fault)
		at = fault.End() + between(-minCut/2, maxCutGap)
	}
	if random.Float64() < besideRatio {
		beside := Fault{AtMS: between(firstCut, at).Milliseconds(), ForMS: between(minDark, maxOutage).Milliseconds(), Target: random.IntN(64)}
		beside.Kind = []Kind{KillGateway, StopGateway, KillWorker, LateAnswers, PauseLeader, CutAnswers, DelayLinks, PowerOff}[random.IntN(8)]
		if beside.Kind == LateAnswers {
			beside.DelayMS = 200 + random.Int64N(1000)
		}
		plan.Faults = append(plan.Faults, beside)
	}
	sortFaults(plan.Faults)
	plan.LengthMS = (plan.LastEnd() + shape.Recover() + afterCuts).Milliseconds()
	return plan
}

// drawExtent draws which gateways a cut strikes: half, one, all but an eighth, or whole zones.
func drawExtent(random *rand.Rand, cut *Fault, gateways, zones int) {
	switch random.IntN(5) {
	case 0:
		cut.Gateways = 1
	case 1:
		cut.Gateways = gateways - max(1, gateways/8)
	case 2:
		if zones > 1 {
			cut.Zones = 1
		}
	case 3:
		if zones > 1 {
			cut.Zones = 1 + random.IntN(zones-1)
		}
	}
}
