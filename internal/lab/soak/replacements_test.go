package soak

import (
	"reflect"
	"testing"
	"time"
)

// Guards against plans that lose a disk before a replaced machine has caught up, and against returns of all machines after
// which service is not judged.
func TestReplacementPlansLeaveTimeToCatchUp(t *testing.T) {
	const seeds = 200
	shape := Shape{Control: 3, Tolerated: 1, RecoverMS: 12_000, CatchUpMS: 4000, LoseUnsynced: true}
	drawn, slow, beside, disks := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		plan, replaces := generateReplacements(seed, 7, shape)
		if !replaces {
			continue
		}
		drawn++
		if again := GenerateOutages(seed, 7, shape); !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d: plans differ:\n%+v\n%+v", seed, plan, again)
		}
		back := time.Duration(0)
		for _, fault := range plan.Faults {
			switch fault.Kind {
			case SlowSync:
				slow++
				continue
			case PauseLeader, CutLeader, RollControl:
				beside++
			case PowerOff:
				disks += fault.Disks
				if fault.At() < back+shape.CatchUp() {
					t.Errorf("seed %d: loss of power at %v, all were back at %v", seed, fault.At(), back)
				}
				back = fault.End()
				continue
			}
			if last := lastPowerOff(plan, fault.At()); last > 0 && fault.At() < last+shape.Recover()+minRestoredTime {
				t.Errorf("seed %d: %s at %v, the power was back at %v", seed, fault.Kind, fault.At(), last)
			}
			back = max(back, fault.End())
		}
		if last := lastPowerOff(plan, plan.Length()); plan.Length() < last+shape.Recover()+minRestoredTime {
			t.Errorf("seed %d: ends at %v, the power was back at %v", seed, plan.Length(), last)
		}
	}
	if drawn < seeds/3 || slow < drawn/2 || beside < drawn/3 || disks < drawn/2 {
		t.Errorf("%d plans with replacements of %d seeds, %d with slow syncs, %d faults beside them, %d lost disks", drawn, seeds, slow, beside, disks)
	}
}

// lastPowerOff returns the end of the last loss of power before a time, or 0.
func lastPowerOff(plan Plan, before time.Duration) time.Duration {
	last := time.Duration(0)
	for _, fault := range plan.Faults {
		if fault.Kind == PowerOff && fault.End() <= before {
			last = max(last, fault.End())
		}
	}
	return last
}
