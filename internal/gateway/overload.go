package gateway

import (
	"math/rand/v2"
	"time"

	"kitetiller/internal/admission"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
)

// rejectIfOverloaded sets the candidate's retry time if admission control rejects the request. It is used for
// placements that this gateway makes for itself.
func (g *Gateway) rejectIfOverloaded(now time.Duration, chosen *candidate, in selectionInput) {
	if chosen == nil {
		return
	}
	if retryAfter, rejected := g.checkAdmission(now, chosen, in); rejected {
		chosen.retryAfter = retryAfter
	}
}

// checkAdmission decides whether a request that was just placed is rejected because of its predicted wait.
func (g *Gateway) checkAdmission(now time.Duration, chosen *candidate, in selectionInput) (retryAfter time.Duration, rejected bool) {
	if !in.firstAttempt || !in.service.Engine || !g.enabled(mechanism.EarlyRejection) {
		return 0, false
	}
	req := admission.Request{
		Priority: in.priority, PredictedWait: belief.FromMilliseconds(chosen.queueWait), Objective: in.latencyTarget, Random: rand.Float64(),
	}
	if parts := in.call.Parts; len(parts) > 0 {
		req.Key = parts[len(parts)-1].ID // the request's own part; shared parts come before it
	}
	if in.latencyCritical && g.enabled(mechanism.Reservations) {
		retryAfter, rejected = g.table.decideReservation(now, chosen, in, req)
	} else {
		g.table.mutex.Lock()
		retryAfter, rejected = g.table.admissionController(in.service.Name).Decide(now, req)
		g.table.mutex.Unlock()
	}
	if rejected && req.Key != "" {
		g.peers.announce(announcement{Gateway: g.shortName, Instance: chosen.row.entry.ID, RejectedRequest: req.Key}) // so that any gateway recognizes the retry
	}
	return retryAfter, rejected
}

// admissionController returns the admission controller of a service. The caller holds the mutex.
func (t *table) admissionController(service string) *admission.Controller {
	controller := t.admission[service]
	if controller == nil {
		controller = &admission.Controller{}
		t.admission[service] = controller
	}
	return controller
}

// observeQueueWait records how long a request waited before its prefill started, compared with the predicted
// milliseconds. A request without a first event waited at least as long as it stayed.
func (t *table) observeQueueWait(service string, priority int, predicted float64, uncached int, first, stayed time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	controller := t.admissionController(service)
	predictedWait := belief.FromMilliseconds(predicted)
	if first > 0 {
		controller.ObserveWait(priority, predictedWait, max(0, first-t.prefillEstimate(service).TimeToFirstEvent(uncached)))
		return
	}
	if stayed > controller.ExpectedWait(priority, predictedWait) {
		controller.ObserveWait(priority, predictedWait, stayed)
	}
}
