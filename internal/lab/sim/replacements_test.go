package sim

import (
	"testing"
	"time"

	"kitetiller/internal/guard"
)

const replacementSeeds = 40

// Guards against a group without a leader for good: one that has not made up for a lost machine within the time after which
// another one may be lost.
func TestGroupBearsALossOnceAMachineIsReplaced(t *testing.T) {
	runReplacements(t, false)
}

// The same with slow syncs, where the time leaves room for the syncs in a row that a replacement needs.
func TestGroupBearsALossOnceAMachineIsReplacedWithSlowSyncs(t *testing.T) {
	runReplacements(t, true)
}

func runReplacements(t *testing.T, slow bool) {
	t.Helper()
	for seed := uint64(1); seed <= replacementSeeds; seed++ {
		w := newReplacementWorld(seed, guard.Set{}, nil)
		if w.outages.replacements.slow != slow {
			continue
		}
		if found := w.finish().Violation; found != nil {
			t.Fatalf("seed %d breaks %s at %v: %s", seed, found.Invariant, found.At, found.Detail)
		}
	}
}

// Runs must replace machines and lose disks, no more at a time than the group tolerates: a machine counts until it has been
// back for the time to catch up.
func TestReplacementsKeepToTheTolerance(t *testing.T) {
	pairs, lost, checks := 0, 0, 0
	for seed := uint64(1); seed <= 12; seed++ {
		w := newReplacementWorld(seed, guard.Set{}, nil)
		w.finish()
		r := w.outages.replacements
		pairs, lost, checks = pairs+r.pairs, lost+w.outages.disksLost, checks+w.outages.leaderChecks
		for _, loss := range r.losses {
			if count := countLostAt(r.losses, loss.from); count > w.tolerated() {
				t.Errorf("seed %d: %d machines count as lost at %v, %d are tolerated", seed, count, loss.from, w.tolerated())
			}
		}
	}
	if pairs < 20 || lost < 50 || checks < 10 {
		t.Errorf("%d pairs of faults, %d losses and %d checks in 12 runs, want 20, 50 and 10 or more", pairs, lost, checks)
	}
}

func countLostAt(losses []machineLoss, at time.Duration) int {
	count := 0
	for _, loss := range losses {
		if loss.from <= at && at < loss.back+catchUp {
			count++
		}
	}
	return count
}
