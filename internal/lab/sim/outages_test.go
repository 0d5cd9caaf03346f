package sim

import (
	"testing"

	"kitetiller/internal/guard"
)

const outageSeeds = 60

func TestInvariantsHoldInOutages(t *testing.T) {
	if found := firstViolationOf(RunOutages, guard.Set{}, 1, outageSeeds); found != nil {
		t.Fatalf("seed %d breaks %s at %v: %s", found.Seed, found.Violation.Invariant, found.Violation.At, found.Violation.Detail)
	}
}

// A group that has lost the majority of its disks elects no leader, which the check must detect.
func TestMissingLeaderIsDetected(t *testing.T) {
	w := newOutageWorld(1, guard.Set{}, nil)
	for w.step(firstFault / 2) { // before the first fault
	}
	for _, n := range w.controls {
		n.crash(true)
		n.newDataDir()
		w.restartControl(n, 0)
	}
	for w.step(firstFault) {
	}
	w.oracle.checkLeader(firstFault / 2)
	if v := w.oracle.violation; v == nil || v.Invariant != LeaderElected {
		t.Fatalf("all disks lost: violation %+v, want %s", v, LeaderElected)
	}
}

// Runs must lose disks, and the leader must be checked after outages.
func TestOutagesLoseDisks(t *testing.T) {
	lost, checks := 0, 0
	for seed := range uint64(10) {
		w := newOutageWorld(seed+1, guard.Set{}, nil)
		w.finish()
		lost, checks = lost+w.outages.disksLost, checks+w.outages.leaderChecks
	}
	if lost < 30 || checks < 10 {
		t.Fatalf("%d disks lost and %d checks in 10 runs, want 30 and 10 or more", lost, checks)
	}
}
