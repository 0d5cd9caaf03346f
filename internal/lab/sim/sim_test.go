package sim

import (
	"bytes"
	"io"
	"runtime"
	"sync"
	"testing"

	"kitetiller/internal/guard"
)

const (
	testSeeds  = 60
	guardSeeds = 200
)

// firstViolation runs seeds in parallel until one violates an invariant, and returns its result, or nil.
func firstViolation(guards guard.Set, firstSeed uint64, seeds int) *Result {
	return firstViolationOf(Run, guards, firstSeed, seeds)
}

// firstViolationOf is firstViolation for another kind of run.
func firstViolationOf(run func(uint64, guard.Set, io.Writer) Result, guards guard.Set, firstSeed uint64, seeds int) *Result {
	var mutex sync.Mutex
	var found *Result
	next := 0
	var workers sync.WaitGroup
	for range runtime.NumCPU() {
		workers.Go(func() {
			for {
				mutex.Lock()
				at := next
				next++
				stop := at >= seeds || found != nil
				mutex.Unlock()
				if stop {
					return
				}
				result := run(firstSeed+uint64(at), guards, nil)
				mutex.Lock()
				if result.Violation != nil && (found == nil || result.Seed < found.Seed) {
					found = &result
				}
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	return found
}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	if found := firstViolation(guard.Set{}, 1, testSeeds); found != nil {
		t.Fatalf("seed %d breaks %s at %v: %s", found.Seed, found.Violation.Invariant, found.Violation.At, found.Violation.Detail)
	}
}

// TestWithoutAnyGuardAnInvariantBreaks checks that some seed violates an invariant when any single guard is off, which
// shows that the checks can fail.
func TestWithoutAnyGuardAnInvariantBreaks(t *testing.T) {
	for _, off := range guard.All() {
		t.Run(string(off), func(t *testing.T) {
			if firstViolation(guard.Without(off), 1, guardSeeds) == nil {
				t.Fatalf("%d seeds without guard %s: got no violation, want one", guardSeeds, off)
			}
		})
	}
}

func TestSameSeedSameTrace(t *testing.T) {
	var first, second bytes.Buffer
	Run(7, guard.Set{}, &first)
	Run(7, guard.Set{}, &second)
	if first.Len() == 0 || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatalf("traces of %d and %d bytes differ", first.Len(), second.Len())
	}
}

func TestInvariantCount(t *testing.T) {
	if got := len(Invariants()); got != 9 {
		t.Fatalf("got %d invariants, want 9", got)
	}
}

// TestManyGatewaysServedByFollowers runs 300 gateways, which control replicas answer on behalf of the leader.
func TestManyGatewaysServedByFollowers(t *testing.T) {
	result := RunLarge(300, 1, guard.Set{})
	if result.Violation != nil {
		t.Fatalf("%s at %v: %s", result.Violation.Invariant, result.Violation.At, result.Violation.Detail)
	}
}

// TestManyGatewaysShareAnAdvertisedLimit runs 300 gateways with four back ends that advertise limits.
func TestManyGatewaysShareAnAdvertisedLimit(t *testing.T) {
	for _, seed := range []uint64{4, 7} {
		if result := RunLarge(300, seed, guard.Set{}); result.Violation != nil {
			t.Errorf("seed %d breaks %s at %v: %s", seed, result.Violation.Invariant, result.Violation.At, result.Violation.Detail)
		}
	}
	if result := RunLarge(300, 4, guard.Without(guard.AdvertisedLimitCheck)); result.Violation == nil || result.Violation.Invariant != AdvertisedLimitRespected {
		t.Errorf("without the advertised-limit check: got violation %+v, want AdvertisedLimitRespected", result.Violation)
	}
}

// TestRegressionSeeds covers a request that was quarantined after a time in which nothing could be sent (seed 57), and
// requests during the backoff that a back end had asked for (seeds 5667 and 6409).
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{57, 5667, 6409} {
		if found := firstViolation(guard.Set{}, seed, 1); found != nil {
			t.Errorf("seed %d breaks %s at %v: %s", found.Seed, found.Violation.Invariant, found.Violation.At, found.Violation.Detail)
		}
	}
}

// TestPushbackAppliesToTheRespondingIncarnation guards against pushback from a restarted engine being recorded for the
// incarnation that the request was addressed to, so that the router ignored the new one's backoff.
func TestPushbackAppliesToTheRespondingIncarnation(t *testing.T) {
	if found := firstViolation(guard.Set{}, 32146, 1); found != nil {
		t.Errorf("seed %d breaks %s at %v: %s", found.Seed, found.Violation.Invariant, found.Violation.At, found.Violation.Detail)
	}
}
