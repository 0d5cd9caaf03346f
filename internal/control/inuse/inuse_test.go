package inuse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// weightsOf are the weights of so many back ends, all able to work.
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

// TestSmallServicesUseAll: by the same rule, also when they grow a little past the least.
func TestSmallServicesUseAll(t *testing.T) {
	for _, size := range []int{0, 1, 12, 240, MinBackends, MinBackends + MinBackends/slackDivisor} {
		if bound := MaxHashWeight(Unbounded, weightsOf(size), 0, MinBackends); bound != Unbounded {
			t.Fatalf("%d of %d back ends are used", countUpTo(weightsOf(size), bound), size)
		}
	}
}

// TestBackendsInUseFollowLoad: at one load, twice the back ends or four times as many change nothing in how many are used.
func TestBackendsInUseFollowLoad(t *testing.T) {
	for _, running := range []int{0, 100, 800} {
		var size Size
		wanted := size.Update(0, running, 0)
		for _, count := range []int{5000, 10000, 20000} {
			all := weightsOf(count)
			bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, wanted)
			if used := countUpTo(all, bound); used < wanted || used > wanted+wanted/slackDivisor || used > MinBackends+MinBackends/slackDivisor+3*running {
				t.Fatalf("%d run: %d of %d back ends are used, wanted %d", running, used, count, wanted)
			}
		}
	}
}

// TestEnoughBackendsRemainAfterLosses replays losses of a fleet of 5,000 with 600 requests running: a zone, a quarter in the dark, a release of
// 45% in which 89 are away at a time. Those that are in use and able never fall under one for each running request, and the bound
// replaces what is lost in one step.
func TestEnoughBackendsRemainAfterLosses(t *testing.T) {
	const running = 600
	all := weightsOf(5000)
	random := rand.New(rand.NewPCG(1, 2))
	var size Size
	wanted := size.Update(0, running, 0)
	first := MaxHashWeight(Unbounded, slices.Clone(all), 0, wanted)
	lose := func(share float64) []uint64 {
		return slices.DeleteFunc(slices.Clone(all), func(uint64) bool { return random.Float64() < share })
	}
	for name, able := range map[string][]uint64{"a zone": lose(0.2), "a quarter": lose(0.25), "a release": lose(89.0 / 5000)} {
		if left := countUpTo(able, first); left < running {
			t.Fatalf("%s: %d are left of %d for %d requests", name, left, wanted, running)
		}
		bound := MaxHashWeight(first, slices.Clone(able), len(all)-len(able), wanted)
		if used := countUpTo(able, bound); used < wanted {
			t.Fatalf("%s: %d are used after one step, wanted %d", name, used, wanted)
		}
		if stay := countUpTo(all, min(first, bound)); stay < countUpTo(all, first) {
			t.Fatalf("%s: only %d of those in use before are used on", name, stay)
		}
	}
}

// TestTargetGrowsAtOnceAndShrinksSlowly: a restart of all, during which nothing runs, makes nobody forget what is needed.
func TestTargetGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	var size Size
	size.Update(0, 10, 0)
	if wanted := size.Update(time.Second, 2000, 0); wanted < 2000*backendsPerRequest {
		t.Fatalf("%d are wanted for 2,000 running requests", wanted)
	}
	before := size.Update(2*time.Second, 2000, 0)
	if wanted := size.Update(peakWindow-time.Second, 0, 0); wanted != before {
		t.Fatalf("%d are wanted after a pause, %d before", wanted, before)
	}
	now := peakWindow
	for range 20 {
		now += peakWindow
		size.Update(now, 10, 0)
	}
	if wanted := size.Update(now, 10, 0); wanted > 2*MinBackends {
		t.Fatalf("%d are wanted at rest", wanted)
	}
}

// TestBoundIsStableUnderSmallChanges: as long as what is able stays near what is wanted, nobody joins or leaves.
func TestBoundIsStableUnderSmallChanges(t *testing.T) {
	all := weightsOf(5000)
	bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, MinBackends)
	changes := 0
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		able := slices.DeleteFunc(slices.Clone(all), func(uint64) bool { return random.Float64() < 0.02 })
		if next := MaxHashWeight(bound, able, len(all)-len(able), MinBackends); next != bound {
			bound, changes = next, changes+1
		}
	}
	if changes > 4 {
		t.Fatalf("the bound moved %d times while 2 in 100 were away", changes)
	}
}

// TestBoundIsKeptWhileMostAreUnreachable: when control hears of less than half, or of nobody, who is in use stays.
func TestBoundIsKeptWhileMostAreUnreachable(t *testing.T) {
	all := weightsOf(5000)
	bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, MinBackends)
	for _, heard := range []int{0, 100, 2400} {
		if next := MaxHashWeight(bound, slices.Clone(all[:heard]), len(all)-heard, MinBackends); next != bound {
			t.Fatalf("%d are used when %d of %d are heard", countUpTo(all, next), heard, len(all))
		}
	}
}

// TestNextLeaderKeepsBackendsInUse: it has heard of no work yet; what is in use when it begins stays for as long as work seen would count,
// and shrinks after that.
func TestNextLeaderKeepsBackendsInUse(t *testing.T) {
	all := weightsOf(5000)
	var before, after Size
	bound := MaxHashWeight(Unbounded, slices.Clone(all), 0, before.Update(0, 1000, 0))
	used := countUpTo(all, bound)
	for now := time.Duration(0); now < peakWindow; now += time.Second {
		if next := MaxHashWeight(bound, slices.Clone(all), 0, after.Update(time.Hour+now, 0, used)); next != bound {
			t.Fatalf("%d were in use, %d are %v after a change of leader", used, countUpTo(all, next), now)
		}
	}
	wanted := 0
	for now := time.Hour + peakWindow; now < time.Hour+10*peakWindow; now += peakWindow {
		wanted = after.Update(now, 0, used)
	}
	if wanted > 2*MinBackends {
		t.Fatalf("%d are wanted at rest", wanted)
	}
}
