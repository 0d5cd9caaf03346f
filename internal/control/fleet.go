package control

import (
	"maps"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/inuse"
	"kitetiller/internal/guard"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/streamorigin"
)

const (
	// silenceTimeout is the time without heartbeats after which a back end is marked silent. It may only have lost its
	// connection to the control plane.
	silenceTimeout = 3500 * time.Millisecond
	// expiryTimeout is the time without heartbeats after which a back end is deregistered. It may register again.
	expiryTimeout = 12 * time.Second
	// fleetCheckInterval is how often back ends are checked for silence.
	fleetCheckInterval = 100 * time.Millisecond
	// lateHeartbeatWindow is how long after a rise of its weights version a back end's heartbeat with a lower one is
	// taken to be delayed. It exceeds the heartbeat interval and the usual delay.
	lateHeartbeatWindow = 2 * time.Second
	// loadedLogInterval is how often changes of the weights versions that back ends hold are logged, in one entry.
	loadedLogInterval = 300 * time.Millisecond
	// usageTTL is how long a gateway's usage report counts.
	usageTTL = 2 * time.Second
)

// BackendHeartbeat is a heartbeat of a back end. The first one registers it.
type BackendHeartbeat struct {
	Instance catalog.Instance  `json:"instance"`
	Sequence uint64            `json:"sequence"` // increases with each heartbeat of an incarnation
	ColdLeft time.Duration     `json:"cold_left_ns"`
	Versions map[string]uint64 `json:"versions,omitempty"` // weights versions by model
	Leaving  bool              `json:"leaves,omitempty"`   // deregisters the back end
	// SoftwareVersion is the version of the back end's software, not of its weights; "" if it reports none.
	SoftwareVersion string `json:"software,omitempty"`
}

// backendState is the leader's in-memory state of a back end.
type backendState struct {
	id                string
	hashWeight        uint64        // in use if at most the bound of its service
	heardAt           time.Duration // time of the last heartbeat or keepalive
	sequence          uint64
	coldUntil         time.Duration
	versions          map[string]uint64 // weights versions that it is assumed to hold, by model
	versionsRoseAt    time.Duration     // when one of versions last rose
	versionsDisputed  bool              // a heartbeat held lower versions; the back end must be queried
	software          streamorigin.SoftwareVersion
	silent            bool
	fullHeartbeatSeen bool // this leader has received a full heartbeat
	rollout           rolloutState
}

// isEngine reports whether the back end holds weights. Only engines receive weights orders, and gateways announce
// dispatched requests to each other for engines only. It may be called on nil.
func (s *backendState) isEngine() bool { return s != nil && len(s.versions) > 0 }

// handleBackendHeartbeat handles a full heartbeat. A registration, drain or deregistration is answered once it has
// committed, since the back end relies on it. Everything else only changes in-memory state of the leader.
func (r *Replica) handleBackendHeartbeat(now time.Duration, client uint64, heartbeat BackendHeartbeat) {
	id := heartbeat.Instance.ID
	if !r.config.Guards.On(guard.DrainCommitted) {
		r.reply(client, Response{Kind: ResponseOK})
		client = 0
	}
	registered, known := r.machine.catalog.Instances()[id]
	switch {
	case heartbeat.Leaving:
		r.deregister(now, client, id)
	case !known && r.isContested(id):
		r.handleContestedHeartbeat(now, client, heartbeat)
	case !known && (r.lacksWeights(heartbeat) || !r.mayRegister(now, heartbeat.Instance)):
		r.reply(client, Response{Kind: ResponseOK})
	case known && !r.mayReplace(registered, heartbeat.Instance):
		r.reply(client, Response{Kind: ResponseOK})
	case !known || heartbeat.Instance.Service != registered.Service:
		r.recordHeartbeat(now, heartbeat)
		r.recordRegistration(now, heartbeat.Instance)
		r.retireDrainingHolder(now, heartbeat.Instance)
		r.queueRegistration(client, heartbeat.Instance)
	case heartbeat.Instance.State == catalog.StateDraining && registered.State != catalog.StateDraining:
		r.propose(now, client, Command{Catalog: &catalog.Command{Drain: id}})
	default:
		r.recordHeartbeat(now, heartbeat)
		r.reply(client, Response{Kind: ResponseOK})
	}
}

// Keepalive stands for a heartbeat that differs from the previous one only in its sequence number.
type Keepalive struct {
	ID       string `json:"id"`
	Sequence uint64 `json:"seq"`
}

// handleKeepalive handles a keepalive and reports whether this leader knows the back end. It does not know one whose
// incarnation has ended, which a delayed keepalive may be from, or one without a full heartbeat to this leader.
func (r *Replica) handleKeepalive(now time.Duration, keepalive Keepalive) bool {
	state := r.leader.fleet[keepalive.ID]
	if _, known := r.machine.catalog.Instances()[keepalive.ID]; !known || state == nil || !state.fullHeartbeatSeen {
		return false
	}
	state.heardAt, state.sequence = now, max(state.sequence, keepalive.Sequence)
	if state.silent {
		state.silent = false
		r.leader.markRosterChanged(keepalive.ID)
	}
	return true
}

// recordHeartbeat updates the in-memory state of a back end. Heartbeats may be reordered; an older one only shows
// that the back end is alive.
func (r *Replica) recordHeartbeat(now time.Duration, heartbeat BackendHeartbeat) {
	state := r.ensureBackend(now, heartbeat.Instance.ID)
	state.heardAt = now
	if heartbeat.Sequence < state.sequence {
		return
	}
	state.fullHeartbeatSeen = true
	wasWarm := now >= state.coldUntil
	state.sequence = heartbeat.Sequence
	state.coldUntil = now + heartbeat.ColdLeft
	changed := state.silent || wasWarm && heartbeat.ColdLeft > 0
	state.silent = false
	changed = state.software.Observe(heartbeat.SoftwareVersion) || changed
	if state.rollout.phase == phaseIdle {
		changed = r.raiseVersions(now, state, heartbeat.Versions) || changed
		state.versionsDisputed = state.versionsDisputed || now > state.versionsRoseAt+lateHeartbeatWindow && state.hasNewerThan(heartbeat.Versions)
	}
	if changed {
		r.leader.markRosterChanged(state.id)
	}
}

// raiseVersions records the weights versions in a heartbeat and reports whether any rose. A heartbeat may be older than
// a report of the back end, so it only raises versions. Whether they fell is learned by querying the back end.
func (r *Replica) raiseVersions(now time.Duration, state *backendState, versions map[string]uint64) bool {
	changed := false
	for model, version := range versions {
		if state.versions[model] < version {
			state.versions[model], state.versionsRoseAt = version, now
			r.leader.unloggedWeights[state.id] = true
			changed = true
		}
	}
	return changed
}

// hasNewerThan reports whether the back end is assumed to hold a higher weights version than one of the given versions.
func (s *backendState) hasNewerThan(versions map[string]uint64) bool {
	for model, version := range versions {
		if s.versions[model] > version {
			return true
		}
	}
	return false
}

// ensureBackend returns the in-memory state of a back end, creating it if needed.
func (r *Replica) ensureBackend(now time.Duration, id string) *backendState {
	state := r.leader.fleet[id]
	if state == nil {
		state = &backendState{id: id, heardAt: now, versions: map[string]uint64{}}
		if r.config.Mechanisms.On(mechanism.LoggedWeights) {
			maps.Copy(state.versions, r.machine.catalog.LoadedVersions(id)) // until its first heartbeat to this leader
		}
		r.leader.fleet[id] = state
	}
	if instance, known := r.machine.catalog.Instances()[id]; known && state.hashWeight == 0 {
		state.hashWeight = inuse.HashWeight(instance.Address) // its address is known once the registration has committed
	}
	return state
}

// logLoadedWeights logs changes of the weights versions that back ends hold, so that the next leader knows them from
// the start.
func (r *Replica) logLoadedWeights(now time.Duration) {
	if now < r.leader.loadedLoggedAt+loadedLogInterval {
		return
	}
	r.leader.loadedLoggedAt = now
	var loaded []catalog.LoadedWeights
	for _, id := range sortedKeys(r.leader.unloggedWeights) {
		unlogged := r.unloggedWeights(id)
		if _, known := r.machine.catalog.Instances()[id]; len(unlogged) == 0 && known {
			delete(r.leader.unloggedWeights, id)
		}
		loaded = append(loaded, unlogged...)
	}
	if len(loaded) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Loaded: loaded}})
	}
}

// unloggedWeights returns the weights versions of a registered back end that are higher than those in the log.
func (r *Replica) unloggedWeights(id string) []catalog.LoadedWeights {
	state := r.leader.fleet[id]
	if _, known := r.machine.catalog.Instances()[id]; !known || state == nil {
		return nil
	}
	var unlogged []catalog.LoadedWeights
	logged := r.machine.catalog.LoadedVersions(id)
	for _, model := range sortedKeys(state.versions) {
		if version := state.versions[model]; version > logged[model] {
			unlogged = append(unlogged, catalog.LoadedWeights{Instance: id, WeightsVersion: catalog.WeightsVersion{Model: model, Version: version}})
		}
	}
	return unlogged
}

// checkFleet marks back ends as silent and expires those that stay silent.
func (r *Replica) checkFleet(now time.Duration) {
	if now < r.leader.fleetCheckedAt+fleetCheckInterval {
		return
	}
	r.leader.fleetCheckedAt = now
	for _, id := range r.machine.catalog.IDs() {
		state := r.ensureBackend(now, id)
		silence := now - state.heardAt
		if silence > silenceTimeout && !state.silent {
			state.silent = true
			r.leader.markRosterChanged(id)
		}
		if silence > expiryTimeout {
			r.proposeExpiry(now, id)
			state.heardAt = now
		}
	}
	r.pruneUnregistered(now)
}

// proposeExpiry proposes to deregister a silent back end. One that was draining has left for good, since a delayed
// heartbeat could register it as ready.
func (r *Replica) proposeExpiry(now time.Duration, id string) {
	command := &catalog.Command{Expire: id}
	if r.machine.catalog.Instances()[id].State == catalog.StateDraining && r.config.Guards.On(guard.DeregistrationKept) {
		command = &catalog.Command{Deregister: id}
	}
	r.propose(now, 0, Command{Catalog: command})
}

// retireDrainingHolder deregisters a draining instance whose address another one takes, since a delayed heartbeat could
// register it as ready.
func (r *Replica) retireDrainingHolder(now time.Duration, instance catalog.Instance) {
	holder, taken := r.machine.catalog.InstanceAt(instance.Address)
	if taken && holder.ID != instance.ID && holder.State == catalog.StateDraining {
		r.proposeExpiry(now, holder.ID)
	}
}

// pruneUnregistered deletes in-memory state of back ends that have been deregistered for a while.
func (r *Replica) pruneUnregistered(now time.Duration) {
	instances := r.machine.catalog.Instances()
	if len(r.orderMarks) > len(instances) {
		for name, mark := range r.orderMarks {
			if _, known := r.machine.catalog.InstanceByName(name); !known && now > mark.appliedAt+expiryTimeout {
				delete(r.orderMarks, name)
			}
		}
	}
	if len(r.leader.fleet) == len(instances) {
		return
	}
	for id, state := range r.leader.fleet {
		if _, known := instances[id]; !known && now-state.heardAt > silenceTimeout {
			delete(r.leader.fleet, id)
			delete(r.leader.unloggedWeights, id)
		}
	}
}

// applyCatalog applies a catalog command and marks roster changes for held watches.
func (r *Replica) applyCatalog(now time.Duration, command catalog.Command) *catalog.Outcome {
	publishes := command.PublishWeights != nil && r.machine.catalog.LatestVersions()[command.PublishWeights.Model] < command.PublishWeights.Version
	oldBounds := map[string]uint64{}
	for service := range command.MaxHashWeights {
		oldBounds[service] = r.machine.catalog.MaxHashWeight(service)
	}
	for _, instance := range command.RegisterBatch {
		r.recordRegistration(now, instance)
	}
	deregistered := r.machine.catalog.ResolveInstanceID(command.Deregister)
	outcome := r.machine.catalog.Apply(command)
	if command.Contested {
		r.recordContested(now, deregistered)
	}
	if command.Reinstate != nil {
		r.recordReinstatement(command.Reinstate.ID)
	}
	if command.Quarantine != nil {
		r.recordQuarantineChange(now, *command.Quarantine)
	}
	if publishes {
		r.recordPublication(now, command.PublishWeights.Model)
	}
	changed := r.machine.catalog.TakeChanged()
	if r.leader == nil {
		return &outcome
	}
	gatewaysChanged := len(command.ReplaceGateways)+len(command.AddGateways)+len(command.RemoveGateways) > 0
	r.leader.gatewayListChanged = r.leader.gatewayListChanged || gatewaysChanged
	if len(command.MaxHashWeights) > 0 {
		r.markInUseChanges(now, oldBounds)
	}
	rosterUnaffected := len(command.Loaded)+len(command.WeightsOrderTargets) > 0 || gatewaysChanged || command.Quarantine != nil
	if !rosterUnaffected {
		r.leader.markRosterChanged(changed...)
	}
	return &outcome
}
