package control

import (
	"maps"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
	"kitetiller/internal/mechanism"
)

const (
	// silentAfter is the silence after which a back end is shown as silent: it may be cut off from control only.
	silentAfter = 3500 * time.Millisecond
	// forgetAfter is the silence after which a back end is taken off the roster. It may register again.
	forgetAfter = 12 * time.Second
	// fleetPeriod is how often the roster is looked through.
	fleetPeriod = 100 * time.Millisecond
	// heldPeriod is how often the weights that back ends hold are written into the log, all in one entry.
	heldPeriod = 300 * time.Millisecond
	// usageCounts is how long a router's figures of its work count.
	usageCounts = 2 * time.Second
)

// Beat is a back end's heartbeat. The first one registers it.
type Beat struct {
	Instance catalog.Instance  `json:"instance"`
	Sequence uint64            `json:"sequence"` // rises with each heartbeat of a life
	ColdLeft time.Duration     `json:"cold_left_ns"`
	Versions map[string]uint64 `json:"versions,omitempty"` // weights by model
	Leaves   bool              `json:"leaves,omitempty"`   // the instance ends
}

// memberState is what the leader keeps of a back end in memory.
type memberState struct {
	heardAt   time.Duration
	sequence  uint64
	coldUntil time.Duration
	versions  map[string]uint64
	silent    bool
	rollout   rolloutState
}

// engine reports whether the back end holds weights; only such a one takes orders, and gateways tell each other of their
// requests there. It may be called on nil.
func (s *memberState) engine() bool { return s != nil && len(s.versions) > 0 }

// WantedVersion is a weights version of a model that was named lately. The list rises by version; each one has its own
// time, since a back end that lacks several is late by the oldest of them.
type WantedVersion struct {
	Model   string        `json:"model"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"` // since it was named, as far as this replica knows
}

// beat takes a heartbeat. What ends or registers a life is answered once a majority holds it, since the back end
// relies on it; everything else is soft state of the leader.
func (r *Replica) beat(now time.Duration, client uint64, beat Beat) {
	id := beat.Instance.ID
	if !r.config.Guards.On(guard.DrainCommitted) {
		r.reply(client, Response{Kind: ResponseOK})
		client = 0
	}
	held, known := r.machine.catalog.Instances()[id]
	switch {
	case beat.Leaves:
		r.propose(now, client, Command{Catalog: &catalog.Command{Remove: id}})
	case r.machine.catalog.Ended(id):
		r.reply(client, Response{Kind: ResponseOK})
	case !known:
		r.heard(now, beat)
		r.register(client, beat.Instance)
	case beat.Instance.State == catalog.StateDraining && held.State != catalog.StateDraining:
		r.propose(now, client, Command{Catalog: &catalog.Command{Drain: id}})
	default:
		r.heard(now, beat)
		r.reply(client, Response{Kind: ResponseOK})
	}
}

// heard updates the soft state of a back end. Heartbeats may overtake each other; an older one changes nothing.
func (r *Replica) heard(now time.Duration, beat Beat) {
	state := r.member(now, beat.Instance.ID)
	state.heardAt = now
	if beat.Sequence < state.sequence {
		return
	}
	state.sequence = beat.Sequence
	state.coldUntil = now + beat.ColdLeft
	if state.silent {
		state.silent = false
		r.lead.rosterChanged()
	}
	if state.rollout.phase == phaseIdle && r.takeVersions(state, beat.Versions) {
		r.lead.rosterChanged()
	}
}

// takeVersions notes the weights that a back end holds and reports whether they are news. A heartbeat may be older
// than a report, so versions only rise.
func (r *Replica) takeVersions(state *memberState, versions map[string]uint64) bool {
	changed := false
	for model, version := range versions {
		if state.versions[model] < version {
			state.versions[model] = version
			changed = true
		}
	}
	return changed
}

// member returns the soft state of a back end, made when it is first named.
func (r *Replica) member(now time.Duration, id string) *memberState {
	state := r.lead.fleet[id]
	if state == nil {
		state = &memberState{heardAt: now, versions: map[string]uint64{}}
		if r.config.Mechanisms.On(mechanism.HeldWeights) {
			maps.Copy(state.versions, r.machine.catalog.Held(id)) // until its first heartbeat to this leader
		}
		r.lead.fleet[id] = state
	}
	return state
}

// noteHeld writes into the log what back ends hold, so that the next leader knows it from the start.
func (r *Replica) noteHeld(now time.Duration) {
	if now < r.lead.heldAt+heldPeriod {
		return
	}
	r.lead.heldAt = now
	var seen []catalog.HeldWeight
	for _, id := range sortedKeys(r.machine.catalog.Instances()) {
		state := r.lead.fleet[id]
		if !state.engine() {
			continue
		}
		logged := r.machine.catalog.Held(id)
		for _, model := range sortedKeys(state.versions) {
			if version := state.versions[model]; version > logged[model] {
				seen = append(seen, catalog.HeldWeight{Instance: id, NamedWeight: catalog.NamedWeight{Model: model, Version: version}})
			}
		}
	}
	if len(seen) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Held: seen}})
	}
}

// watchFleet marks silent back ends and forgets those that stay silent.
func (r *Replica) watchFleet(now time.Duration) {
	if now < r.lead.fleetAt+fleetPeriod {
		return
	}
	r.lead.fleetAt = now
	instances := r.machine.catalog.Instances()
	for _, id := range sortedKeys(instances) {
		state := r.member(now, id)
		silence := now - state.heardAt
		if silence > silentAfter && !state.silent {
			state.silent = true
			r.lead.rosterChanged()
		}
		if silence > forgetAfter {
			r.propose(now, 0, Command{Catalog: &catalog.Command{Forget: id}})
			state.heardAt = now
		}
	}
	for id, mark := range r.orders {
		if _, known := instances[id]; !known && now > mark.at+forgetAfter {
			delete(r.orders, id)
		}
	}
	for id := range r.lead.fleet {
		if _, known := instances[id]; !known && now-r.lead.fleet[id].heardAt > silentAfter {
			delete(r.lead.fleet, id)
		}
	}
}

// namedVersion is a version and when it was applied here.
type namedVersion struct {
	version uint64
	at      time.Duration
}

// namingsKept bounds the versions of a model whose times are remembered.
const namingsKept = 32

// noteNaming remembers when a version was named.
func (r *Replica) noteNaming(now time.Duration, model string, version uint64) {
	namings := append(r.namings[model], namedVersion{version: version, at: now})
	r.namings[model] = namings[max(0, len(namings)-namingsKept):]
}

// wantedVersions returns the versions that were named lately, with how long ago that was. A version that came with a
// snapshot counts from the start of this process.
func (r *Replica) wantedVersions(now time.Duration) []WantedVersion {
	var wanted []WantedVersion
	versions := r.machine.catalog.Versions()
	for _, model := range sortedKeys(versions) {
		namings := r.namings[model]
		if len(namings) == 0 {
			namings = []namedVersion{{version: versions[model]}}
		}
		for _, naming := range namings {
			wanted = append(wanted, WantedVersion{Model: model, Version: naming.version, Age: now - naming.at})
		}
	}
	return wanted
}

// applyCatalog applies a command of the catalog and tells watchers of it.
func (r *Replica) applyCatalog(now time.Duration, command catalog.Command) *catalog.Outcome {
	before := command.Version != nil && r.machine.catalog.Versions()[command.Version.Model] < command.Version.Version
	outcome := r.machine.catalog.Apply(command)
	if command.Quarantine != nil {
		r.noteQuarantined(now, *command.Quarantine)
	}
	if before {
		r.noteNaming(now, command.Version.Model, command.Version.Version)
	}
	quiet := len(command.Held)+len(command.Ordering)+len(command.Gateways) > 0 || command.Quarantine != nil // no roster tells of these
	if r.lead != nil {
		r.lead.listedNews = r.lead.listedNews || len(command.Gateways) > 0
	}
	if r.lead != nil && !quiet {
		r.lead.rosterChanged()
	}
	return &outcome
}
