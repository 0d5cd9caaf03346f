package bench

import "testing"

// TestGoodputStaysUnderOverload: refusing in time keeps at least 0.9 of the peak at twice the load; sending everything does not.
func TestGoodputStaysUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		peak := map[bool]float64{}
		at := map[bool]map[float64]float64{false: {}, true: {}}
		for _, p := range GoodputCurve(seed) {
			peak[p.Refusal] = max(peak[p.Refusal], p.InTime)
			at[p.Refusal][p.Load] = p.InTime
		}
		if rejected := at[true][2]; rejected < 0.9*peak[true] {
			t.Errorf("seed %d: %.3f in time at twice the load, %.3f at the peak", seed, rejected, peak[true])
		}
		if accepted := at[false][2]; accepted > 0.5*peak[false] {
			t.Errorf("seed %d: the stand-in does not collapse: %.3f of %.3f", seed, accepted, peak[false])
		}
		if halfLoad := at[true][0.5]; halfLoad < 0.98*at[false][0.5] {
			t.Errorf("seed %d: %.3f in time at half the load, %.3f without refusals", seed, halfLoad, at[false][0.5])
		}
	}
}
