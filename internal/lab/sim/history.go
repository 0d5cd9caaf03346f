package sim

import (
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/ledger"
	"kitetiller/internal/settings"
)

// Operation is one request to the control group as its client saw it. An operation without an answer may take
// effect at any later time.
type Operation struct {
	Client   string
	Called   time.Duration
	Returned time.Duration
	Answered bool
	Sends    int // how often it was sent until its answer came
	Change   *settings.Change
	Outcome  *settings.Outcome
	Read     *control.ReadReply
	Claim    *ledger.Claim
	Claimed  *ledger.Outcome
	End      *ledger.End
}

// History collects operations in the order of their calls. Resends of one operation count as one until the first
// answer: they carry the same id, and the group must carry it out once.
type History struct {
	Operations []*Operation
	open       map[string]*Operation // without an answer so far, by client and id
}

// operationKey names what a request's resends have in common, or "" for reads.
func operationKey(client string, request control.Request) string {
	switch {
	case request.Change != nil:
		return client + "/change/" + request.Change.OperationID
	case request.Claim != nil:
		return client + "/claim/" + request.Claim.ClaimID
	case request.End != nil:
		return client + "/end/" + request.End.ClaimID
	}
	return ""
}

// begin returns the operation that a request belongs to.
func (h *History) begin(now time.Duration, client string, request control.Request) *Operation {
	id := operationKey(client, request)
	if existing := h.open[id]; existing != nil && id != "" {
		existing.Sends++
		return existing
	}
	operation := &Operation{Client: client, Called: now, Sends: 1, Change: request.Change, Claim: request.Claim, End: request.End}
	h.Operations = append(h.Operations, operation)
	h.open[id] = operation
	return operation
}

// recordCall records a call and returns what notes its answer. Without a history it does nothing.
func (w *world) recordCall(client string, request control.Request) func(control.Response) {
	if w.history == nil {
		return func(control.Response) {}
	}
	operation := w.history.begin(w.now(), client, request)
	return func(response control.Response) {
		if response.Kind != control.ResponseOK || operation.Answered {
			return
		}
		operation.Returned, operation.Answered = w.now(), true
		operation.Outcome, operation.Read, operation.Claimed = response.Change, response.Read, response.Claim
		delete(w.history.open, operationKey(client, request))
	}
}

// RunWithHistory runs one seed and returns every request to the control group besides the result.
func RunWithHistory(seed uint64) (Result, History) {
	w := newWorld(seed, allGuardsOn, nil)
	w.history = &History{open: map[string]*Operation{}}
	return w.finish(), *w.history
}
