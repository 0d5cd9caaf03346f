package inuse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// weightsOf returns the weights of size back ends.
func weightsOf(size int) []uint64 {
	weights := make([]uint64, size)
	for i := range weights {
		weights[i] = HashWeight(fmt.Sprintf("10.%d.%d.%d:8000", i%5, i/200, i%200))
	}
	return weights
}

func countUpTo(weights []uint64, bound uint64) int {
	count := 0
	for _, w := range weights {
		if w <= bound {
			count++
		}
	}
	return count
}

// TestSmallServicesUseAll: services of up to MinBackends plus the slack use all their back ends.
func TestSmallServicesUseAll(t *testing.T) {
	for _, size := range []int{0, 1, 12, 240, MinBackends, MinBackends + MinBackends/slackDivisor} {
		if bound := MaxHashWeight(Unbounded, weightsOf(size), 0, MinBackends); bound != Unbounded {
			t.Fatalf("%d of %d back ends are in use, want all", countUpTo(weightsOf(size), bound), size)
		}
	}
}

// TestBackendsInUseFollowLoad: at a given load, the number of back ends in use does not grow with the fleet.
func TestBackendsInUseFollowLoad(t *testing.T) {
	for _, running := range []int{0, 100, 800} {
		var size Size
		target := size.Update(0, running, 0)
		for _, count := range []int{5000, 10000, 20000} {
			all := weightsOf(count)
			bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, target)
			if inUse := countUpTo(all, bound); inUse < target || inUse > target+target/slackDivisor || inUse > MinBackends+MinBackends/slackDivisor+3*running {
				t.Fatalf("%d running requests: %d of %d back ends are in use, target %d", running, inUse, count, target)
			}
		}
	}
}

// TestEnoughBackendsRemainAfterLosses: after the loss of a zone, of a quarter of the fleet, or of the back ends that a
// release restarts at a time, at least one reachable back end per running request stays in use, and one step of the
// bound restores the target.
func TestEnoughBackendsRemainAfterLosses(t *testing.T) {
	const running = 600
	all := weightsOf(5000)
	rng := rand.New(rand.NewPCG(1, 2))
	var size Size
	target := size.Update(0, running, 0)
	first := MaxHashWeight(Unbounded, slices.Clone(all), 0, target)
	lose := func(fraction float64) []uint64 {
		return slices.DeleteFunc(slices.Clone(all), func(uint64) bool { return rng.Float64() < fraction })
	}
	for name, reachable := range map[string][]uint64{"a zone": lose(0.2), "a quarter": lose(0.25), "a release": lose(89.0 / 5000)} {
		if remaining := countUpTo(reachable, first); remaining < running {
			t.Fatalf("%s: %d of %d back ends remain for %d running requests", name, remaining, target, running)
		}
		bound := MaxHashWeight(first, slices.Clone(reachable), len(all)-len(reachable), target)
		if inUse := countUpTo(reachable, bound); inUse < target {
			t.Fatalf("%s: %d back ends are in use after one step, target %d", name, inUse, target)
		}
		if kept := countUpTo(all, min(first, bound)); kept < countUpTo(all, first) {
			t.Fatalf("%s: only %d of the back ends in use stay in use", name, kept)
		}
	}
}

// TestTargetGrowsAtOnceAndShrinksSlowly: a restart of the whole fleet, during which nothing runs, does not lower the
// target.
func TestTargetGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	var size Size
	size.Update(0, 10, 0)
	if target := size.Update(time.Second, 2000, 0); target < 2000*backendsPerRequest {
		t.Fatalf("target %d for 2,000 running requests", target)
	}
	before := size.Update(2*time.Second, 2000, 0)
	if target := size.Update(peakWindow-time.Second, 0, 0); target != before {
		t.Fatalf("target %d after a pause, %d before", target, before)
	}
	now := peakWindow
	for range 20 {
		now += peakWindow
		size.Update(now, 10, 0)
	}
	if target := size.Update(now, 10, 0); target > 2*MinBackends {
		t.Fatalf("target %d when idle", target)
	}
}

// TestBoundIsStableUnderSmallChanges: the bound stays while the number of reachable back ends stays near the target.
func TestBoundIsStableUnderSmallChanges(t *testing.T) {
	all := weightsOf(5000)
	bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, MinBackends)
	changes := 0
	rng := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		reachable := slices.DeleteFunc(slices.Clone(all), func(uint64) bool { return rng.Float64() < 0.02 })
		if next := MaxHashWeight(bound, reachable, len(all)-len(reachable), MinBackends); next != bound {
			bound, changes = next, changes+1
		}
	}
	if changes > 4 {
		t.Fatalf("the bound moved %d times while 2 in 100 back ends were unreachable", changes)
	}
}

// TestBoundIsKeptWhileMostAreUnreachable: the set in use stays if more than half of the back ends are unreachable.
func TestBoundIsKeptWhileMostAreUnreachable(t *testing.T) {
	all := weightsOf(5000)
	bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, MinBackends)
	for _, reachable := range []int{0, 100, 2400} {
		if next := MaxHashWeight(bound, slices.Clone(all[:reachable]), len(all)-reachable, MinBackends); next != bound {
			t.Fatalf("%d back ends are in use when %d of %d are reachable", countUpTo(all, next), reachable, len(all))
		}
	}
}

// TestNextLeaderKeepsBackendsInUse: a new leader without load reports keeps the back ends in use for as long as a load
// peak counts, then lowers their number.
func TestNextLeaderKeepsBackendsInUse(t *testing.T) {
	all := weightsOf(5000)
	var before, after Size
	bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, before.Update(0, 1000, 0))
	inUse := countUpTo(all, bound)
	for now := time.Duration(0); now < peakWindow; now += time.Second {
		if next := MaxHashWeight(bound, slices.Clone(all), 0, after.Update(time.Hour+now, 0, inUse)); next != bound {
			t.Fatalf("%d back ends were in use, %d are %v after a leader change", inUse, countUpTo(all, next), now)
		}
	}
	target := 0
	for now := time.Hour + peakWindow; now < time.Hour+10*peakWindow; now += peakWindow {
		target = after.Update(now, 0, inUse)
	}
	if target > 2*MinBackends {
		t.Fatalf("target %d when idle", target)
	}
}
