package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// firstOutage is when the first fault of an outage plan begins. Faults begin up to maxOutageGap after each other, so that
	// some strike while others last or are being repaired.
	firstOutage      = 6 * time.Second
	maxOutageGap     = 5 * time.Second
	maxOutage        = 3 * time.Second
	minOutageFaults  = 2
	maxOutageFaults  = 6
	maxDark          = 3 * time.Second
	minDark          = 500 * time.Millisecond
	largeOutageRatio = 0.3 // share of plans with large documents
	// maxSpread is the longest time over which machines return.
	maxSpread = 6 * time.Second
	// restoredTime is how long traffic goes on after service must be back.
	restoredTime = 4 * time.Second
)

// GenerateOutages returns a random plan for a shape: faults of control processes in a row, then a loss of power of all
// machines, in which data folders may be lost. In a part of the plans workers share a capacity. On shapes with a time to catch up,
// half of the seeds draw replacements that are followed by such a loss of power once they must be made up for. The same seed yields
// the same plan.
func GenerateOutages(seed uint64, gateways int, shape Shape) Plan {
	if plan, drawn := generateReplacements(seed, gateways, shape); drawn {
		return plan
	}
	shape = drawCapacity(seed, shape)
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Gateways: gateways, Shape: shape, NewIDs: random.IntN(2) == 0}
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	add := func(at, length time.Duration, kind Kind, disks int) {
		plan.Faults = append(plan.Faults, Fault{
			AtMS: at.Milliseconds(), ForMS: length.Milliseconds(), Kind: kind, Target: random.IntN(64), Disks: disks, Aim: Aims()[random.IntN(len(Aims()))],
		})
	}
	disks := func() int { return random.IntN(max(1, shape.Tolerated) + 1) }
	kinds := outageKinds(shape)
	at := firstOutage
	if random.Float64() < largeOutageRatio {
		add(firstOutage/2, maxOutageGap, LargeDocuments, 0)
	}
	for range minOutageFaults + random.IntN(maxOutageFaults-minOutageFaults+1) {
		kind := kinds[random.IntN(len(kinds))]
		length := between(minDark, maxOutage)
		if kind.StopsAll() {
			length = between(minDark, maxDark)
		}
		lost := 0
		if kind == PowerOff || kind == WipeControl {
			lost = disks()
		}
		add(at, length, kind, lost)
		at += between(0, maxOutageGap)
	}
	last := at + between(0, maxOutageGap)
	add(last, between(minDark, maxDark), PowerOff, disks())
	drawReturn(random, &plan.Faults[len(plan.Faults)-1])
	plan.LengthMS = (plan.LastEnd() + shape.Recover() + restoredTime).Milliseconds()
	return plan
}

const (
	// capacityStream separates the draws of drawCapacity from those of the plan.
	capacityStream = 1
	// sharedRatio is the share of plans whose workers share a capacity, and maxRequestLoad the most of it that all requests take.
	sharedRatio    = 1.0 / 3
	maxRequestLoad = 1.5
	minRequestLoad = 0.3
	// A new connection costs up to maxConnectionCost times, and any other call up to maxCallCost times as much as a request.
	maxConnectionCost = 1.0
	maxCallCost       = 0.3
	// usualRate is the rate of requests of all tenants on shapes that state none.
	usualRate    = 40.0
	usualTenants = 4
)

// drawCapacity draws whether the workers of a shape share a capacity, and what requests, connections and calls take of it.
func drawCapacity(seed uint64, shape Shape) Shape {
	random := rand.New(rand.NewPCG(seed, capacityStream))
	if shape.SharesCapacity() || random.Float64() >= sharedRatio {
		return shape
	}
	rate := usualRate
	if shape.Rate > 0 {
		rate = shape.Rate * usualTenants
	}
	load := minRequestLoad + random.Float64()*(maxRequestLoad-minRequestLoad)
	shape.RequestCostMS = load / rate * float64(time.Second/time.Millisecond)
	shape.ConnectionCostMS = random.Float64() * maxConnectionCost * shape.RequestCostMS
	shape.CallCostMS = random.Float64() * maxCallCost * shape.RequestCostMS
	return shape
}

// drawReturn draws whether gateways are spared, whether workers lose power as well, whether the output of processes is read
// afterwards, and over which time and in which order processes start again.
func drawReturn(random *rand.Rand, outage *Fault) {
	outage.ControlOnly, outage.LoseLogs = random.IntN(3) == 0, random.IntN(6) == 0
	outage.Workers = random.IntN(3) == 0 && !outage.ControlOnly
	if random.IntN(2) == 0 {
		outage.SpreadMS, outage.SeedsLast = random.Int64N(maxSpread.Milliseconds()), random.IntN(2) == 0
	}
}

// outageKinds lists the kinds that GenerateOutages draws from, those that lose data most often.
func outageKinds(shape Shape) []Kind {
	kinds := []Kind{WipeControl, WipeControl, WipeControl, ReplaceControl, ReplaceControl, KillControl, PauseLeader, RollControl, KillAll, PowerOff}
	if !shape.Direct {
		kinds = append(kinds, CutZone, CutLeader, ResetControl)
	}
	return kinds
}
