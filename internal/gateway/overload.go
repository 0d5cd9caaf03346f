package gateway

import (
	"math/rand/v2"
	"time"

	"kitetiller/internal/admission"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
)

// rejectIfOverloaded marks a placement of this gateway's own whose request is to be turned away.
func (g *Gateway) rejectIfOverloaded(now time.Duration, chosen *candidate, in selectionInput) {
	if chosen == nil {
		return
	}
	if retryAfter, rejected := g.checkAdmission(now, chosen, in); rejected {
		chosen.retryAfter = retryAfter
	}
}

// checkAdmission decides whether a request that was just placed is turned away for the wait that its placement predicts.
func (g *Gateway) checkAdmission(now time.Duration, chosen *candidate, in selectionInput) (retryAfter time.Duration, rejected bool) {
	if !in.firstAttempt || !in.service.Engine || !g.on(mechanism.Refusal) {
		return 0, false
	}
	req := admission.Request{
		Priority: in.priority, PredictedWait: belief.FromMilliseconds(chosen.queueWait), Objective: in.latencyTarget, Random: rand.Float64(),
	}
	if parts := in.call.Parts; len(parts) > 0 {
		req.Key = parts[len(parts)-1].ID // its own: shared parts come before
	}
	g.table.mutex.Lock()
	retryAfter, rejected = g.table.admissionController(in.service.Name).Decide(now, req)
	g.table.mutex.Unlock()
	if rejected && req.Key != "" {
		g.spread.own(send{Gateway: g.nick, Instance: chosen.row.entry.ID, Refused: req.Key}) // whoever it comes back to is to know it
	}
	return retryAfter, rejected
}

// admissionController returns the admissionController of a service. The caller holds the mutex.
func (t *table) admissionController(service string) *admission.Controller {
	controller := t.admission[service]
	if controller == nil {
		controller = &admission.Controller{}
		t.admission[service] = controller
	}
	return controller
}

// observeQueueWait learns how long a request waited before its prompt was read, against the milliseconds that were predicted. One
// whose first event never came waited at least as long as it stayed.
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
