package soak

import (
	"testing"
	"time"
)

// TestSlotRejectionsAreChecked guards against a check that misses back ends which reject too many requests, or that
// counts those while schedulers are disturbed.
func TestSlotRejectionsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		arrived, rejected int
		disturbed         bool
		want              int
	}{
		"none":          {1000, 0, false, 0},
		"few":           {1000, 20, false, 0},
		"too many":      {1000, 21, false, 1},
		"disturbed":     {1000, 500, true, 0},
		"few requests":  {99, 99, false, 0},
		"all of enough": {100, 100, false, 1},
	} {
		w := NewWatcher(time.Second, time.Second)
		if c.disturbed {
			w.RecordDisturbance(0, time.Second)
		}
		for i := range c.arrived {
			w.RecordSlotArrival(time.Second, i < c.rejected)
		}
		if got := w.Close(); len(got) != c.want || c.want > 0 && got[0].Guarantee != SlotsRespected {
			t.Errorf("%s: %v, want %d violations", name, got, c.want)
		}
	}
}
