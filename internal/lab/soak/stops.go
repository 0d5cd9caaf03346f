package soak

import "time"

// readSlack is how long after its last byte was sent a request counts as read by a gateway.
const readSlack = 200 * time.Millisecond

// plannedStop is a planned stop of a gateway.
type plannedStop struct {
	gateway string
	fault   interval // of the fault, which is a disturbance as well
	until   time.Duration
}

// unanswered is a request whose connection ended without an answer.
type unanswered struct {
	id, gateway string
	sentAt      time.Duration // when its sending began
	writtenAt   time.Duration // when its last byte was sent
	failedAt    time.Duration
}

// RecordPlannedStop records that a gateway is told to stop, with the period of the fault and the time that it is granted.
func (w *Watcher) RecordPlannedStop(gateway string, from, to, grace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plannedStops = append(w.plannedStops, plannedStop{gateway: gateway, fault: interval{from, to}, until: from + grace + time.Second})
}

// RecordUnanswered records that the connection of a request that was sent whole has ended without an answer.
func (w *Watcher) RecordUnanswered(id, gateway string, sentAt, writtenAt, failedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unanswered = append(w.unanswered, unanswered{id, gateway, sentAt, writtenAt, failedAt})
}

// checkStops checks that requests that a gateway has read whole get an answer though it stops, while nothing else disturbs the
// system. The caller holds mu.
func (w *Watcher) checkStops() {
	for _, u := range w.unanswered {
		request := w.requests[u.id]
		if ran := request != nil && request.runs > 0; !ran && u.failedAt < u.writtenAt+readSlack {
			continue // the gateway may not have read it
		}
		for _, s := range w.plannedStops {
			if s.gateway == u.gateway && u.failedAt >= s.fault.from && u.failedAt <= s.until && !w.isDisturbedBesides(u.sentAt-disturbanceMemory, u.failedAt) {
				w.addViolation(StopsAnswer, "%s got no answer from %s, %.2f s after its last byte and %.2f s after the gateway was told to stop", u.id, u.gateway, (u.failedAt - u.writtenAt).Seconds(), (u.failedAt - s.fault.from).Seconds())
			}
		}
	}
}

// disturbanceMemory is how long after a disturbance its consequences are not counted.
const disturbanceMemory = 4 * time.Second

// isDisturbedBesides reports whether a disturbance other than planned stops overlaps a period. The caller holds mu.
func (w *Watcher) isDisturbedBesides(from, to time.Duration) bool {
	planned := map[interval]bool{}
	for _, s := range w.plannedStops {
		planned[s.fault] = true
	}
	for _, d := range w.disturbances {
		if !planned[d] && d.from <= to && d.to >= from {
			return true
		}
	}
	return false
}
