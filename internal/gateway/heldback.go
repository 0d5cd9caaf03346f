package gateway

import (
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/prefix"
	"kitetiller/internal/quarantine"
)

// crashCheckTimeout bounds how long a request waits to learn whether the back end that failed it has crashed, before it
// is sent to another one. It is a multiple of the round trip to another zone.
const crashCheckTimeout = 25 * time.Millisecond

// subject returns the fingerprints of the request and of the parts of its prompt that other requests may share. They are
// the same for each retry by the caller. ok is false while the seed is unknown.
func (x *exchange) subject() (s quarantine.Subject, ok bool) {
	if x.cachedSubject != nil {
		return *x.cachedSubject, true
	}
	request := quarantine.Request{Method: x.request.Method, Host: x.request.Host, Path: x.request.RequestURI, Body: x.body}
	if x.tenant != nil {
		request.Caller = x.tenant.Name
	}
	shared := prefix.SharedParts(x.call.Parts)
	partIDs := make([]string, len(shared))
	for i, part := range shared {
		partIDs[i] = part.ID
	}
	if s, ok = x.gateway.quarantine.Subject(request, partIDs...); ok {
		x.cachedSubject = &s
	}
	return s, ok
}

// isQuarantined reports whether the request or parts of it crashed so many back ends that it must not be sent.
func (x *exchange) isQuarantined() bool {
	if x.gateway.quarantine.IsEmpty() {
		return false
	}
	s, ok := x.subject()
	return ok && x.gateway.quarantine.IsQuarantined(s)
}

// rejectIfQuarantined answers the request and returns true if it is quarantined. It does not wait first, since no back
// end could run the request.
func (x *exchange) rejectIfQuarantined() bool {
	if !x.isQuarantined() {
		return false
	}
	x.giveUp(reasonQuarantined, quarantine.RetryAfter)
	return true
}

// isSuspect reports whether the request or parts of it crashed so many back ends that the gateway does not retry it: a
// crash also fails all other requests that run there.
func (x *exchange) isSuspect() bool {
	if x.gateway.quarantine.IsEmpty() {
		return false
	}
	s, ok := x.subject()
	return ok && x.gateway.quarantine.IsSuspect(s)
}

// quarantineFields returns the log fields that tell why the request is quarantined.
func (x *exchange) quarantineFields() []zap.Field {
	s, ok := x.subject()
	if !ok {
		return nil
	}
	f, crashes := x.gateway.quarantine.Explain(s)
	return []zap.Field{zap.Stringer(events.FieldFingerprint, f), zap.Bool(events.FieldPart, f.IsPart()), zap.Int(events.FieldIncarnations, crashes)}
}

// recordCompletion records that a back end completed the request.
func (x *exchange) recordCompletion() {
	if s, ok := x.subject(); ok {
		x.gateway.quarantine.RecordCompletion(s)
	}
}

// recordFailure records that a run was cut off by the back end. Back ends that drain are ignored, as they are expected
// to end.
func (a *attempt) recordFailure() {
	x := a.exchange
	if !x.gateway.table.isReady(a.row) {
		return
	}
	if s, ok := x.subject(); ok {
		a.crashChecked = x.gateway.quarantine.RecordFailure(a.row.entry.ID, a.row.entry.Address, s)
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
