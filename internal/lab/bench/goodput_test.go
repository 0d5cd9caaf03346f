package bench

import "testing"

// Guards that early rejection keeps goodput at twice the capacity near its peak, while goodput collapses without it.
func TestGoodputStaysUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		peak := map[bool]float64{}
		at := map[bool]map[float64]float64{false: {}, true: {}}
		for _, p := range GoodputCurve(seed) {
			peak[p.EarlyRejection] = max(peak[p.EarlyRejection], p.InTime)
			at[p.EarlyRejection][p.Load] = p.InTime
		}
		if goodput := at[true][2]; goodput < 0.9*peak[true] {
			t.Errorf("seed %d: goodput with early rejection is %.3f at twice the capacity, peak is %.3f", seed, goodput, peak[true])
		}
		if goodput := at[false][2]; goodput > 0.5*peak[false] {
			t.Errorf("seed %d: goodput without rejection does not collapse: %.3f at twice the capacity, peak is %.3f", seed, goodput, peak[false])
		}
		if goodput := at[true][0.5]; goodput < 0.98*at[false][0.5] {
			t.Errorf("seed %d: goodput at half the capacity is %.3f with early rejection, %.3f without", seed, goodput, at[false][0.5])
		}
	}
}
