package soak

import "time"

// contactTime is how long a machine must have been undisturbed before bounds on its knowledge apply.
const contactTime = 4 * time.Second

// deregistered is when the deregistration of a back end was acknowledged, and how long it may get requests after that.
type deregistered struct {
	at        time.Duration
	drainTime time.Duration
}

// RecordDeregistered records that the deregistration of an incarnation of a back end was acknowledged.
func (w *Watcher) RecordDeregistered(at time.Duration, incarnation string, drainTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deregistered[incarnation] = deregistered{at, drainTime}
}

// checkDeregistered checks a request that reached an incarnation of a back end. Disturbances excuse requests that
// reached it within contactTime. The caller holds mu.
func (w *Watcher) checkDeregistered(at time.Duration, id, incarnation string) {
	left, known := w.deregistered[incarnation]
	if !known || at <= left.at+left.drainTime {
		return
	}
	for _, disturbance := range w.disturbances {
		if disturbance.from <= at && at <= disturbance.to+contactTime {
			return
		}
	}
	w.addViolation(DeregistrationRespected, "%s received %s %v after its deregistration had been acknowledged", incarnation, id, at-left.at)
}
