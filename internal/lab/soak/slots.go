package soak

import "time"

const (
	// maxSlotRejections is the fraction of the requests at back ends with few slots that these may reject, and
	// minSlotArrivals the number of requests from which on it is checked.
	maxSlotRejections = 0.02
	minSlotArrivals   = 100
)

// slotArrival is a request that arrived at a back end with few slots.
type slotArrival struct {
	at       time.Duration
	rejected bool
}

// RecordSlotArrival records that a request arrived at a back end with few slots, and whether all of them were taken.
func (w *Watcher) RecordSlotArrival(at time.Duration, rejected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotArrivals = append(w.slotArrivals, slotArrival{at: at, rejected: rejected})
	if rejected {
		w.outcomes["sends without a free slot"]++
	}
}

// checkSlots reports a violation if too many requests arrived at back ends without a free slot, outside disturbances. The
// caller holds mu.
func (w *Watcher) checkSlots() {
	arrived, rejected := 0, 0
	for _, arrival := range w.slotArrivals {
		if w.disturbed(arrival.at) {
			continue
		}
		arrived++
		if arrival.rejected {
			rejected++
		}
	}
	if arrived >= minSlotArrivals && float64(rejected) > maxSlotRejections*float64(arrived) {
		w.addViolation(SlotsRespected, "%d of %d requests arrived at back ends whose slots were taken", rejected, arrived)
	}
}
