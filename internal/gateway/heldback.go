package gateway

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
)

// crashCheckTimeout is how long a request waits to learn whether the back end under which it broke off has ended, before it is sent to
// another: some times the way to another zone and back.
const crashCheckTimeout = 25 * time.Millisecond

// fingerprint returns what stays of the request when it comes again; ok is false before control told the seed.
func (x *exchange) fingerprint() (f quarantine.Fingerprint, ok bool) {
	if x.print != nil {
		return *x.print, true
	}
	request := quarantine.Request{Method: x.request.Method, Host: x.request.Host, Path: x.request.RequestURI, Body: x.body}
	if x.tenant != nil {
		request.Caller = x.tenant.Name
	}
	if f, ok = x.gateway.quarantine.Fingerprint(request); ok {
		x.print = &f
	}
	return f, ok
}

// crashCount returns how many crashCount of back ends ended under the request, as far as this gateway knows.
func (x *exchange) crashCount() int {
	if x.gateway.quarantine.IsEmpty() {
		return 0
	}
	f, ok := x.fingerprint()
	if !ok {
		return 0
	}
	return x.gateway.quarantine.CrashCount(f)
}

// rejectIfQuarantined answers a request that ends whoever runs it: at once, since no wait mends it.
func (x *exchange) rejectIfQuarantined() bool {
	if x.crashCount() < quarantine.QuarantineThreshold {
		return false
	}
	x.giveUp(reasonHeldBack, quarantine.RetryAfter)
	return true
}

// isSuspect reports whether so many lives ended under the request that the gateway doesn't send it to another one by itself: each
// takes all that runs there along.
func (x *exchange) isSuspect() bool { return x.crashCount() >= quarantine.SuspectThreshold }

// recordCompletion notes that a back end ran the request to a good end.
func (x *exchange) recordCompletion() {
	if f, ok := x.fingerprint(); ok {
		x.gateway.quarantine.RecordCompletion(f)
	}
}

// recordFailure notes that the run broke off without our doing. One on a back end that leaves ends with it as planned.
func (a *attempt) recordFailure() {
	x := a.exchange
	if !x.gateway.table.isReady(a.row) {
		return
	}
	if f, ok := x.fingerprint(); ok {
		a.looked = x.gateway.quarantine.RecordFailure(a.row.entry.ID, a.row.entry.Address, f)
	}
}

// awaitCrashCheck waits a moment to learn whether the back end has ended under which the run broke off.
func (a *attempt) awaitCrashCheck() {
	if a.looked == nil {
		return
	}
	select {
	case <-a.looked:
	case <-time.After(crashCheckTimeout):
	case <-a.exchange.ctx.Done():
	}
}

// isReady reports whether a back end is one that control knows, and isn't leaving, by its own word either.
func (t *table) isReady(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !row.gone && row.entry.State == catalog.StateReady && !t.signals.Restriction(0, row.incarnation).Draining
}

// replacedInstances returns the lives that are gone since another one stands at their address.
func replacedInstances(changes []rosterChange) []string {
	joined := map[string]bool{}
	for _, change := range changes {
		if change.event == events.InstanceJoined {
			joined[change.entry.Address] = true
		}
	}
	var ids []string
	for _, change := range changes {
		if change.event == events.InstanceGone && joined[change.entry.Address] && change.entry.State == catalog.StateReady {
			ids = append(ids, change.entry.ID)
		}
	}
	return ids
}
