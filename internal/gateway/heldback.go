package gateway

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
)

// crashCheckTimeout bounds how long a request waits to learn whether the back end that failed it has crashed, before it
// is sent to another one. It is a multiple of the round trip to another zone.
const crashCheckTimeout = 25 * time.Millisecond

// fingerprint returns the request's fingerprint, which is the same for each retry by the caller. ok is false while the
// seed is unknown.
func (x *exchange) fingerprint() (f quarantine.Fingerprint, ok bool) {
	if x.cachedFingerprint != nil {
		return *x.cachedFingerprint, true
	}
	request := quarantine.Request{Method: x.request.Method, Host: x.request.Host, Path: x.request.RequestURI, Body: x.body}
	if x.tenant != nil {
		request.Caller = x.tenant.Name
	}
	if f, ok = x.gateway.quarantine.Fingerprint(request); ok {
		x.cachedFingerprint = &f
	}
	return f, ok
}

// crashCount returns the known number of back ends that crashed while they ran the request.
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

// rejectIfQuarantined answers the request and returns true if it is quarantined. It does not wait first, since no back
// end could run the request.
func (x *exchange) rejectIfQuarantined() bool {
	if x.crashCount() < quarantine.QuarantineThreshold {
		return false
	}
	x.giveUp(reasonQuarantined, quarantine.RetryAfter)
	return true
}

// isSuspect reports whether the request crashed so many back ends that the gateway does not retry it: a crash also
// fails all other requests that run there.
func (x *exchange) isSuspect() bool { return x.crashCount() >= quarantine.SuspectThreshold }

// recordCompletion records that a back end completed the request.
func (x *exchange) recordCompletion() {
	if f, ok := x.fingerprint(); ok {
		x.gateway.quarantine.RecordCompletion(f)
	}
}

// recordFailure records that a run was cut off by the back end. Back ends that drain are ignored, as they are expected
// to end.
func (a *attempt) recordFailure() {
	x := a.exchange
	if !x.gateway.table.isReady(a.row) {
		return
	}
	if f, ok := x.fingerprint(); ok {
		a.crashChecked = x.gateway.quarantine.RecordFailure(a.row.entry.ID, a.row.entry.Address, f)
	}
}

// awaitCrashCheck waits until it is known whether the back end that failed the run has crashed, for up to
// crashCheckTimeout.
func (a *attempt) awaitCrashCheck() {
	if a.crashChecked == nil {
		return
	}
	select {
	case <-a.crashChecked:
	case <-time.After(crashCheckTimeout):
	case <-a.exchange.ctx.Done():
	}
}

// isReady reports whether a back end is in the roster and is not draining, by its own signals either.
func (t *table) isReady(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !row.gone && row.entry.State == catalog.StateReady && !t.signals.Restriction(0, row.incarnation).Draining
}

// replacedInstances returns the instances that are gone and have been replaced by another one at the same address.
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
