package sim

import (
	"bytes"
	"runtime"
	"sync"
	"testing"

	"kitetiller/internal/guard"
)

const (
	testSeeds  = 60
	guardSeeds = 200
)

// firstViolation runs seeds until one breaks an invariant, and returns it, or nil.
func firstViolation(guards guard.Set, firstSeed uint64, seeds int) *Result {
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
				result := Run(firstSeed+uint64(at), guards, nil)
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

// TestWithoutAnyGuardAnInvariantBreaks: with any one protection off, some seed must break an invariant. A check that cannot fail
// proves nothing.
func TestWithoutAnyGuardAnInvariantBreaks(t *testing.T) {
	for _, off := range guard.All() {
		t.Run(string(off), func(t *testing.T) {
			if firstViolation(guard.Without(off), 1, guardSeeds) == nil {
				t.Fatalf("%d seeds without %s broke nothing", guardSeeds, off)
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
		t.Fatalf("%d invariants, the brief has nine", got)
	}
}

// TestManyGatewaysServedByFollowers: 300 gateways, which replicas answer for the leader, under the same faults.
func TestManyGatewaysServedByFollowers(t *testing.T) {
	result := RunLarge(300, 1, guard.Set{})
	if result.Violation != nil {
		t.Fatalf("%s at %v: %s", result.Violation.Invariant, result.Violation.At, result.Violation.Detail)
	}
}

// TestManyGatewaysShareAnAdvertisedLimit: 300 gateways before four back ends that name limits, under the same faults.
func TestManyGatewaysShareAnAdvertisedLimit(t *testing.T) {
	for _, seed := range []uint64{4, 7} {
		if result := RunLarge(300, seed, guard.Set{}); result.Violation != nil {
			t.Errorf("seed %d breaks %s at %v: %s", seed, result.Violation.Invariant, result.Violation.At, result.Violation.Detail)
		}
	}
	if result := RunLarge(300, 4, guard.Without(guard.AdvertisedLimitCheck)); result.Violation == nil || result.Violation.Invariant != AdvertisedLimitRespected {
		t.Errorf("without the check: %+v", result.Violation)
	}
}

// TestRegressionSeeds: 57 a request held back after a time in which nothing could be sent, 5667 and 6409 requests in a rest that a
// back end had asked for.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{57, 5667, 6409} {
		if found := firstViolation(guard.Set{}, seed, 1); found != nil {
			t.Errorf("seed %d breaks %s at %v: %s", found.Seed, found.Violation.Invariant, found.Violation.At, found.Violation.Detail)
		}
	}
}

// An engine had started again, and a router that didn't know yet sent a request to its last life. The new life turned it away and asked for rest;
// the router noted that of the last life, learnt of the new one, and sent it three requests more in its rest. The trace with the sends of that run:
//
//	28.297985  router-1 hears rest 4.943614285s of engine-1/2, meant for 1
//	30.753023  router-1 sends to engine-1/2, meant for 2; so at 31.056608 and 31.079562
//
// A refusal tells which life speaks, and its words are noted of that one.
func TestPushbackAppliesToTheRespondingIncarnation(t *testing.T) {
	if found := firstViolation(guard.Set{}, 32146, 1); found != nil {
		t.Errorf("seed %d breaks %s at %v: %s", found.Seed, found.Violation.Invariant, found.Violation.At, found.Violation.Detail)
	}
}
