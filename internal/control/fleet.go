package control

import (
	"maps"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/inuse"
	"kitetiller/internal/guard"
	"kitetiller/internal/mechanism"
)

const (
	// silenceTimeout is the silence after which a back end is shown as silent: it may be cut off from control only.
	silenceTimeout = 3500 * time.Millisecond
	// expiryTimeout is the silence after which a back end is taken off the roster. It may register again.
	expiryTimeout = 12 * time.Second
	// fleetCheckInterval is how often the roster is looked through.
	fleetCheckInterval = 100 * time.Millisecond
	// lateHeartbeatWindow is how long after its weights were seen to rise a heartbeat that tells older ones is taken for one that was sent before:
	// more than a period of heartbeats, and than most are late.
	lateHeartbeatWindow = 2 * time.Second
	// loadedLogInterval is how often the weights that back ends hold are written into the log, all in one entry.
	loadedLogInterval = 300 * time.Millisecond
	// usageTTL is how long a router's figures of its work count.
	usageTTL = 2 * time.Second
)

// BackendHeartbeat is a back end's heartbeat. The first one registers it.
type BackendHeartbeat struct {
	Instance catalog.Instance  `json:"instance"`
	Sequence uint64            `json:"sequence"` // rises with each heartbeat of a life
	ColdLeft time.Duration     `json:"cold_left_ns"`
	Versions map[string]uint64 `json:"versions,omitempty"` // weights by model
	Leaving  bool              `json:"leaves,omitempty"`   // the instance ends
}

// backendState is what the leader keeps of a back end in memory.
type backendState struct {
	id         string
	hashWeight uint64 // by which it is in use
	heardAt    time.Duration
	// registeredAt is when this leader took its registration; 0 where an earlier one did.
	registeredAt      time.Duration
	sequence          uint64
	coldUntil         time.Duration
	versions          map[string]uint64 // that it is believed to hold, by model
	versionsRoseAt    time.Duration     // when one of them last rose
	versionsDisputed  bool              // a heartbeat told older ones than are believed; its report decides
	silent            bool
	fullHeartbeatSeen bool // a whole heartbeat came to this leader
	rollout           rolloutState
}

// isEngine reports whether the back end holds weights; only such a one takes orders, and gateways tell each other of their
// requests there. It may be called on nil.
func (s *backendState) isEngine() bool { return s != nil && len(s.versions) > 0 }

// handleBackendHeartbeat takes a heartbeat. What ends or registers a life is answered once a majority holds it, since the back end
// relies on it; everything else is soft state of the leader.
func (r *Replica) handleBackendHeartbeat(now time.Duration, client uint64, beat BackendHeartbeat) {
	id := beat.Instance.ID
	if !r.config.Guards.On(guard.DrainCommitted) {
		r.reply(client, Response{Kind: ResponseOK})
		client = 0
	}
	held, known := r.machine.catalog.Instances()[id]
	switch {
	case beat.Leaving && r.mayMeanPreviousIncarnation(now, id):
		r.propose(now, client, Command{Catalog: &catalog.Command{Expire: r.machine.catalog.ResolveInstanceID(id)}})
	case beat.Leaving:
		r.propose(now, client, Command{Catalog: &catalog.Command{Deregister: id}})
	case !known && (r.lacksWeights(beat) || !r.mayRegister(now, beat.Instance)):
		r.reply(client, Response{Kind: ResponseOK})
	case known && !r.mayReplace(held, beat.Instance):
		r.reply(client, Response{Kind: ResponseOK})
	case !known || beat.Instance.Service != held.Service:
		r.recordHeartbeat(now, beat)
		r.ensureBackend(now, id).registeredAt = now
		r.queueRegistration(client, beat.Instance)
	case beat.Instance.State == catalog.StateDraining && held.State != catalog.StateDraining:
		r.propose(now, client, Command{Catalog: &catalog.Command{Drain: id}})
	default:
		r.recordHeartbeat(now, beat)
		r.reply(client, Response{Kind: ResponseOK})
	}
}

// Keepalive is a heartbeat that tells nothing new: the back end lives.
type Keepalive struct {
	ID       string `json:"id"`
	Sequence uint64 `json:"seq"`
}

// handleKeepalive takes a heartbeat that tells nothing new, and reports whether this leader knows the back end it is of. It may be late, and
// tell of a life that has ended.
func (r *Replica) handleKeepalive(now time.Duration, sign Keepalive) bool {
	state := r.leader.fleet[sign.ID]
	if _, known := r.machine.catalog.Instances()[sign.ID]; !known || state == nil || !state.fullHeartbeatSeen {
		return false
	}
	state.heardAt, state.sequence = now, max(state.sequence, sign.Sequence)
	if state.silent {
		state.silent = false
		r.leader.markRosterChanged(sign.ID)
	}
	return true
}

// recordHeartbeat updates the soft state of a back end. Heartbeats may overtake each other; an older one changes nothing.
func (r *Replica) recordHeartbeat(now time.Duration, beat BackendHeartbeat) {
	state := r.ensureBackend(now, beat.Instance.ID)
	state.heardAt = now
	if beat.Sequence < state.sequence {
		return
	}
	state.fullHeartbeatSeen = true
	warm := now >= state.coldUntil
	state.sequence = beat.Sequence
	state.coldUntil = now + beat.ColdLeft
	news := state.silent || warm && beat.ColdLeft > 0
	state.silent = false
	if state.rollout.phase == phaseIdle {
		news = r.raiseVersions(now, state, beat.Versions) || news
		state.versionsDisputed = state.versionsDisputed || now > state.versionsRoseAt+lateHeartbeatWindow && state.hasNewerThan(beat.Versions)
	}
	if news {
		r.leader.markRosterChanged(state.id)
	}
}

// raiseVersions notes the weights that a back end holds and reports whether they are news. A heartbeat may be older
// than a report, so that versions only rise by it; whether they fell is asked of the back end.
func (r *Replica) raiseVersions(now time.Duration, state *backendState, versions map[string]uint64) bool {
	changed := false
	for model, version := range versions {
		if state.versions[model] < version {
			state.versions[model], state.versionsRoseAt = version, now
			r.leader.unlogged[state.id] = true
			changed = true
		}
	}
	return changed
}

// hasNewerThan reports whether newer weights are believed than these.
func (s *backendState) hasNewerThan(versions map[string]uint64) bool {
	for model, version := range versions {
		if s.versions[model] > version {
			return true
		}
	}
	return false
}

// ensureBackend returns the soft state of a back end, made when it is first named.
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
		state.hashWeight = inuse.HashWeight(instance.Address) // its first heartbeat comes before the log tells where it is
	}
	return state
}

// logLoadedWeights writes into the log what back ends hold, so that the next leader knows it from the start.
func (r *Replica) logLoadedWeights(now time.Duration) {
	if now < r.leader.heldLoggedAt+loadedLogInterval {
		return
	}
	r.leader.heldLoggedAt = now
	var seen []catalog.LoadedWeights
	for _, id := range sortedKeys(r.leader.unlogged) {
		fresh := r.unloggedWeights(id)
		if _, known := r.machine.catalog.Instances()[id]; len(fresh) == 0 && known {
			delete(r.leader.unlogged, id)
		}
		seen = append(seen, fresh...)
	}
	if len(seen) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Loaded: seen}})
	}
}

// unloggedWeights returns what a registered back end holds that the log doesn't tell.
func (r *Replica) unloggedWeights(id string) []catalog.LoadedWeights {
	state := r.leader.fleet[id]
	if _, known := r.machine.catalog.Instances()[id]; !known || state == nil {
		return nil
	}
	var fresh []catalog.LoadedWeights
	logged := r.machine.catalog.LoadedVersions(id)
	for _, model := range sortedKeys(state.versions) {
		if version := state.versions[model]; version > logged[model] {
			fresh = append(fresh, catalog.LoadedWeights{Instance: id, WeightsVersion: catalog.WeightsVersion{Model: model, Version: version}})
		}
	}
	return fresh
}

// checkFleet marks silent back ends and forgets those that stay silent.
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
			r.propose(now, 0, Command{Catalog: &catalog.Command{Expire: id}})
			state.heardAt = now
		}
	}
	r.pruneUnregistered(now)
}

// pruneUnregistered drops what is kept of back ends that are long gone.
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
			delete(r.leader.unlogged, id)
		}
	}
}

// applyCatalog applies a command of the catalog and tells watchers of it.
func (r *Replica) applyCatalog(now time.Duration, command catalog.Command) *catalog.Outcome {
	before := command.PublishWeights != nil && r.machine.catalog.LatestVersions()[command.PublishWeights.Model] < command.PublishWeights.Version
	bounds := map[string]uint64{}
	for service := range command.MaxHashWeights {
		bounds[service] = r.machine.catalog.MaxHashWeight(service)
	}
	outcome := r.machine.catalog.Apply(command)
	if command.Quarantine != nil {
		r.recordQuarantineChange(now, *command.Quarantine)
	}
	if before {
		r.recordPublication(now, command.PublishWeights.Model)
	}
	touched := r.machine.catalog.TakeChanged()
	if r.leader == nil {
		return &outcome
	}
	listed := len(command.ReplaceGateways)+len(command.AddGateways)+len(command.RemoveGateways) > 0
	r.leader.gatewayListChanged = r.leader.gatewayListChanged || listed
	if len(command.MaxHashWeights) > 0 {
		r.markInUseChanges(now, bounds)
	}
	quiet := len(command.Loaded)+len(command.WeightsCommandTargets) > 0 || listed || command.Quarantine != nil // no roster tells of these
	if !quiet {
		r.leader.markRosterChanged(touched...)
	}
	return &outcome
}
