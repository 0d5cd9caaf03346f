package control

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/guard"
	"kitetiller/internal/level"
)

// A deregistration that names no incarnation may be a delayed one of the previous incarnation, while the current one
// goes on running. It is contested if the current incarnation has a predecessor and registered only recently. The
// instance is deregistered all the same, since its back end may rely on the reply, and heartbeats that were sent before
// do not register it again. It is reinstated once its heartbeats prove that it is alive.

const (
	// maxMessageDelay is how long a message of a back end may take to arrive. It equals the time after which a back end
	// without messages is deregistered.
	maxMessageDelay = expiryTimeout
	// minLaterHeartbeats is how many heartbeats later than those received before the deregistration prove that an instance
	// is alive. Fewer may have been delayed for longer than maxMessageDelay.
	minLaterHeartbeats = 5
)

// recentRegistrations records when the incarnations that have a predecessor were registered.
type recentRegistrations struct {
	byName map[string]time.Duration // local time, for the last maxMessageDelay at least
	// unknownUntil is when all registrations that this replica has not applied itself, but restored, are old enough.
	unknownUntil time.Duration
}

// record records the registration of an incarnation and drops old records.
func (t *recentRegistrations) record(now time.Duration, name string) {
	maps.DeleteFunc(t.byName, func(_ string, at time.Duration) bool { return now > at+maxMessageDelay })
	t.byName[name] = now
}

// recordRestored records that the state was restored, with registrations of unknown times.
func (t *recentRegistrations) recordRestored(now time.Duration) {
	t.unknownUntil = now + maxMessageDelay
}

// includes reports whether the registered incarnation of a back end may have a predecessor and have registered recently.
func (t *recentRegistrations) includes(now time.Duration, name string) bool {
	at, known := t.byName[name]
	return known && now <= at+maxMessageDelay || now < t.unknownUntil
}

// recordRegistration must be called before an instance is registered.
func (r *Replica) recordRegistration(now time.Duration, instance catalog.Instance) {
	incarnation := catalog.ParseInstanceID(instance.ID)
	_, known := r.machine.catalog.Instances()[instance.ID]
	if !known && incarnation.StartedMS > 0 && r.machine.catalog.HasPredecessor(instance.ID) {
		r.registrations.record(now, incarnation.Name)
	}
}

// deregister proposes a deregistration, which is contested if it may be a delayed one of the previous incarnation. Below
// level Contested the instance expires instead, and only this leader knows that late heartbeats must not register it.
func (r *Replica) deregister(now time.Duration, client uint64, id string) {
	command := &catalog.Command{Deregister: id}
	incarnation, resolved := catalog.ParseInstanceID(id), r.machine.catalog.ResolveInstanceID(id)
	switch {
	case incarnation.StartedMS > 0 || !r.registrations.includes(now, incarnation.Name):
	case r.machine.level >= level.Contested:
		command.Contested = true
	case resolved != id:
		command = &catalog.Command{Expire: resolved}
		r.evidence[resolved] = r.newEvidence(now, resolved)
		r.evidence[resolved].expired = true
	}
	r.propose(now, client, Command{Catalog: command})
}

// heartbeatEvidence tracks the heartbeats of an instance since its contested deregistration.
type heartbeatEvidence struct {
	since   time.Duration // when the deregistration was applied here, or an upper bound
	highest uint64        // highest sequence number
	later   int           // heartbeats, each with a sequence number above those before it
	expired bool          // the instance has expired instead; see deregister
}

// newEvidence returns the evidence on an instance that is deregistered now.
func (r *Replica) newEvidence(now time.Duration, id string) *heartbeatEvidence {
	evidence := &heartbeatEvidence{since: now}
	if r.leader != nil && r.leader.fleet[id] != nil {
		evidence.highest = r.leader.fleet[id].sequence
	}
	return evidence
}

// maxEvidenceAge is how long the evidence on an expired instance is kept.
const maxEvidenceAge = 10 * maxMessageDelay

// observe records a heartbeat and reports whether the instance must have sent it after the deregistration.
func (e *heartbeatEvidence) observe(now time.Duration, sequence uint64) (alive bool) {
	if sequence <= e.highest {
		return false
	}
	e.highest = sequence
	e.later++
	return e.later >= minLaterHeartbeats && now > e.since+maxMessageDelay
}

// departure is a contested deregistration, or the reinstatement of its instance.
type departure struct {
	instance   string
	reinstated bool
	heartbeats int // later heartbeats that were received until the reinstatement
}

// maxUnloggedDepartures bounds the departures that wait to be logged.
const maxUnloggedDepartures = 100

// recordDeparture records a departure to be logged.
func (r *Replica) recordDeparture(d departure) {
	if len(r.departures) < maxUnloggedDepartures {
		r.departures = append(r.departures, d)
	}
}

// takeDepartures returns the departures since the last call.
func (r *Replica) takeDepartures() []departure {
	taken := r.departures
	r.departures = nil
	return taken
}

// logDepartures logs and counts the contested deregistrations and reinstatements of a leader.
func (s *Server) logDepartures() {
	for _, d := range s.replica.takeDepartures() {
		if s.replica.leader == nil {
			continue
		}
		if d.reinstated {
			s.usage.reinstated.Add(1)
			s.log.Info(events.InstanceReinstated, zap.String(events.FieldInstance, d.instance), zap.Int("heartbeats", d.heartbeats))
			continue
		}
		s.usage.contested.Add(1)
		s.log.Info(events.DeregistrationContested, zap.String(events.FieldInstance, d.instance))
	}
}

// recordContested must be called after a contested deregistration of an instance was applied.
func (r *Replica) recordContested(now time.Duration, id string) {
	maps.DeleteFunc(r.evidence, func(id string, e *heartbeatEvidence) bool {
		return !r.machine.catalog.IsContested(id) && (!e.expired || now > e.since+maxEvidenceAge)
	})
	if !r.machine.catalog.IsContested(id) {
		return
	}
	r.recordDeparture(departure{instance: id})
	r.evidence[id] = r.newEvidence(now, id)
}

// isContested reports whether an instance needs evidence to register again.
func (r *Replica) isContested(id string) bool {
	evidence := r.evidence[id]
	return r.machine.catalog.IsContested(id) || evidence != nil && evidence.expired
}

// recordReinstatement must be called after an instance was reinstated.
func (r *Replica) recordReinstatement(id string) {
	if evidence := r.evidence[id]; evidence != nil {
		r.recordDeparture(departure{instance: id, reinstated: true, heartbeats: evidence.later})
	}
	delete(r.evidence, id)
}

// handleContestedHeartbeat handles a heartbeat of an instance whose deregistration was contested.
func (r *Replica) handleContestedHeartbeat(now time.Duration, client uint64, heartbeat BackendHeartbeat) {
	id := heartbeat.Instance.ID
	evidence := r.evidence[id]
	if evidence == nil { // the deregistration was restored from a snapshot
		evidence = &heartbeatEvidence{since: r.leader.startedAt}
		r.evidence[id] = evidence
	}
	alive := evidence.observe(now, heartbeat.Sequence) || !r.config.Guards.On(guard.DeregistrationKept)
	if !alive || r.lacksWeights(heartbeat) || !r.mayTakeAddress(now, heartbeat.Instance) {
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	r.recordHeartbeat(now, heartbeat)
	if evidence.expired {
		delete(r.evidence, id)
		r.queueRegistration(client, heartbeat.Instance)
		return
	}
	r.propose(now, client, Command{Catalog: &catalog.Command{Reinstate: &heartbeat.Instance}})
}
