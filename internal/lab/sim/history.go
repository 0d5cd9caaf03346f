package sim

import (
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/ledger"
	"kitetiller/internal/settings"
)

// Operation is one request to the control group as its client observed it. An operation without a response may take
// effect at any later time.
type Operation struct {
	Client   string
	Called   time.Duration
	Returned time.Duration
	Answered bool
	Sends    int // number of sends before the first response
	Change   *settings.Change
	Outcome  *settings.Outcome
	Read     *control.ReadReply
	Claim    *ledger.Claim
	Claimed  *ledger.Outcome
	End      *ledger.End
}

// History records operations in call order. Retries carry the same ID and must take effect once, so those before the
// first response count as one operation.
type History struct {
	Operations []*Operation
	open       map[string]*Operation // operations without a response, by operationKey
}

// operationKey returns a key that all retries of a request share, or "" for reads.
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

// begin returns the operation that a request belongs to, and adds it if it is new.
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

// recordCall records a call and returns a function that records its response. Without a history both do nothing.
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

// RunWithHistory runs one seed and returns the result and every request to the control group.
func RunWithHistory(seed uint64) (Result, History) {
	w := newWorld(seed, allGuardsOn, nil)
	w.history = &History{open: map[string]*Operation{}}
	return w.finish(), *w.history
}
