package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/mechanism"
)

// rolloutPhase is the progress of a back end's weights update.
type rolloutPhase uint8

const (
	phaseIdle      rolloutPhase = iota
	phaseQuerying               // waits for a report of its weights and of the number of orders it accepted
	phaseDraining               // gateways send no new requests; the order follows
	phaseOrderSent              // waits for the result of the order
	phaseLoading                // the back end loads the weights, or may
	phaseUncertain              // the order got no answer, so it may be carried out at any time or never; requests continue
	phaseBackoff                // waits before the next attempt after a failure
)

const (
	// announceDelay is the minimum time between announcing and sending an order, for requests in flight to arrive.
	announceDelay = 30 * time.Millisecond
	// stepIntervalPerBackend, times the number of back ends, is the interval between rollout steps: a step visits each
	// of them.
	stepIntervalPerBackend = 10 * time.Microsecond
	// loadTimeout is how long after an order the weights may be missing before it is sent again.
	loadTimeout = 2500 * time.Millisecond
	// weightsCallTimeout is how long the leader waits for the result of a driver call.
	weightsCallTimeout = 3 * time.Second
	// rolloutBackoff is the delay after a failed call.
	rolloutBackoff = 300 * time.Millisecond
	// drainTimeout is how long running requests may delay an order. A load suspends requests that still run.
	drainTimeout = 2000 * time.Millisecond
	// uncertainTimeout is how long after an unanswered order the weights may be missing before it is sent again,
	// and uncertainPollInterval how often they are queried meanwhile.
	uncertainTimeout      = 1200 * time.Millisecond
	uncertainPollInterval = 350 * time.Millisecond
)

// rolloutState is the leader's state of the weights update of one back end.
type rolloutState struct {
	phase           rolloutPhase
	nextStepAt      time.Duration // when the next step is due or the current phase times out
	model           string
	version         uint64        // to be loaded by the current update
	announcedRoster uint64        // first roster version in which gateways send it no new requests
	drainUntil      time.Duration // when the order is sent even if requests still run
	orderedAt       time.Duration
	acceptedAt      time.Duration // when the order was accepted; 0 if unknown
	revision        uint64        // number of orders that the back end has accepted
	revisionKnown   bool
}

// blocksNewRequests reports whether gateways must send no new requests to the back end.
func (s *rolloutState) blocksNewRequests() bool {
	return s.phase == phaseDraining || s.phase == phaseOrderSent || s.phase == phaseLoading
}

// WeightsCallKind is the purpose of a call to a back end.
type WeightsCallKind uint8

// Kinds of call.
const (
	WeightsQuery WeightsCallKind = iota // read the loaded weights and the number of accepted orders
	WeightsOrder                        // load other weights
)

// WeightsCall is a call that a driver makes to a back end on behalf of the leader.
type WeightsCall struct {
	Kind     WeightsCallKind
	Instance string
	Address  string
	Model    string
	Version  uint64
	Fence    uint64 // rises with every leader; back ends reject lower ones
	Revision uint64 // expected number of accepted orders; the back end rejects the order if it differs
	Holder   string // name of the process that sends the order
}

// WeightsResultKind is the outcome of a call.
type WeightsResultKind uint8

// Outcomes of calls.
const (
	WeightsReported      WeightsResultKind = iota // the back end sent a report
	WeightsAccepted                               // the back end carries out the order
	WeightsAlreadyLoaded                          // the back end has loaded the version already
	WeightsBusy                                   // another order is in progress, or the revision differs
	WeightsFenced                                 // the back end has seen a higher fence
	WeightsRejected                               // the order was certainly not accepted
	WeightsUnknown                                // no answer: the order may have been accepted, or may be later
)

// WeightsResult is the result of a call. Versions and the fields after it are set with WeightsReported only.
type WeightsResult struct {
	Call      WeightsCall
	Kind      WeightsResultKind
	Versions  map[string]uint64 // loaded weights version, by model
	Busy      bool              // an order is in progress
	Revision  uint64            // number of orders that the back end has accepted
	StartedMS int64             // start of the reporting incarnation, in Unix ms; 0 if unknown
}

// mayOrder reports whether this replica may send orders at all: it holds the leader lease, its fence has committed, and
// no gateway may still use another leader's view.
func (r *Replica) mayOrder(now time.Duration) bool {
	return r.hasCurrentState(now) && r.leader.orderFence > 0 && r.allGatewaysFollow(now)
}

// rollOut advances the update of all back ends to the latest published weights.
func (r *Replica) rollOut(now time.Duration) {
	instances := r.machine.catalog.Instances()
	if len(r.machine.catalog.LatestVersions()) == 0 || now < r.leader.rolloutStepAt+stepIntervalPerBackend*time.Duration(len(instances)) {
		return
	}
	r.leader.rolloutStepAt = now
	r.requestFence(now)
	if !r.mayOrder(now) {
		return
	}
	busy := 0
	ids := r.rolloutsByDrainDeadline()
	loads := r.countLoads()
	running := r.runningByInstance(now)
	r.leader.ackedRoster = r.ackedRosterCount(now)
	r.leader.underCapacity = r.lacksCapacity(now)
	for _, id := range ids {
		state := r.ensureBackend(now, id)
		r.stepRollout(now, instances[id], state, &loads, running[id])
		if state.rollout.blocksNewRequests() || state.rollout.phase == phaseQuerying {
			busy++
		}
	}
	r.startRollouts(now, busy, running)
}

// rolloutsByDrainDeadline returns the back ends with an update in progress, in ascending order of drain deadline.
func (r *Replica) rolloutsByDrainDeadline() []string {
	var ids []string
	for _, id := range r.machine.catalog.IDs() {
		if state := r.leader.fleet[id]; state != nil && state.rollout.phase != phaseIdle {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(r.leader.fleet[a].rollout.drainUntil, r.leader.fleet[b].rollout.drainUntil)
	})
	return ids
}

// requestFence proposes a fence for this leader's orders until one has committed, at most once per weightsCallTimeout.
func (r *Replica) requestFence(now time.Duration) {
	if r.leader.orderFence == 0 && now >= r.leader.fenceRequestedAt+weightsCallTimeout {
		r.leader.fenceRequestedAt = now
		r.propose(now, 0, Command{Catalog: &catalog.Command{Fence: true}})
	}
}

// outdatedModel returns a model of which a ready back end holds an old version, and the version it should load.
func (r *Replica) outdatedModel(instance catalog.Instance, state *backendState) (string, uint64, bool) {
	for model, loaded := range state.versions {
		if latest := r.machine.catalog.LatestVersions()[model]; latest > loaded && instance.State == catalog.StateReady {
			return model, latest, true
		}
	}
	return "", 0, false
}

// oldestVersion returns the lowest weights version loaded by a back end.
func (r *Replica) oldestVersion(id string) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, version := range r.leader.fleet[id].versions {
		oldest = min(oldest, version)
	}
	return oldest
}

// startRollouts starts updates, limited to a fraction of the fleet at a time: those with the oldest weights first,
// among them those with the fewest running requests.
func (r *Replica) startRollouts(now time.Duration, busy int, running map[string]int) {
	var outdated []string
	engines := 0
	instances := r.machine.catalog.Instances()
	for _, id := range r.machine.catalog.IDs() {
		state := r.ensureBackend(now, id)
		if state.isEngine() {
			engines++
		}
		_, _, isOutdated := r.outdatedModel(instances[id], state)
		if (isOutdated || state.versionsDisputed) && state.rollout.phase == phaseIdle && !state.silent && r.handoverPauseOver(now, id) {
			outdated = append(outdated, id)
		}
	}
	slices.SortStableFunc(outdated, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.oldestVersion(a), r.oldestVersion(b)), cmp.Compare(running[a], running[b]))
	})
	maxBusy := maxConcurrent(engines, drainDivisor)
	for _, id := range outdated {
		if busy >= maxBusy {
			return
		}
		busy++
		r.beginRollout(now, instances[id], r.ensureBackend(now, id))
	}
}

// runningByInstance returns the number of running requests of all gateways, by instance ID.
func (r *Replica) runningByInstance(now time.Duration) map[string]int {
	return r.currentUsage(now).running
}

func (r *Replica) beginRollout(now time.Duration, instance catalog.Instance, state *backendState) {
	state.rollout.model, state.rollout.version, _ = r.outdatedModel(instance, state)
	if !state.rollout.revisionKnown || state.versionsDisputed {
		r.setPhase(state, phaseQuerying, now+weightsCallTimeout)
		r.callWeights(instance, state, WeightsQuery)
		return
	}
	r.announceOrder(now, instance.ID, state)
}

// announceOrder announces an order in the log and to the gateways, which stop sending new requests to the back end.
func (r *Replica) announceOrder(now time.Duration, id string, state *backendState) {
	r.queueOrderAnnouncement(id)
	state.rollout.drainUntil = now + drainTimeout
	if r.leader.underCapacity {
		state.rollout.drainUntil = now
	}
	r.setPhase(state, phaseDraining, now+announceDelay)
}

// setPhase sets the phase of a back end, and updates the roster if that changes whether it gets new requests.
func (r *Replica) setPhase(state *backendState, next rolloutPhase, nextStepAt time.Duration) {
	before := state.rollout.blocksNewRequests()
	state.rollout.phase, state.rollout.nextStepAt = next, nextStepAt
	if state.rollout.blocksNewRequests() != before {
		r.leader.markRosterChanged(state.id)
		state.rollout.announcedRoster = r.leader.rosterCount
	}
}

// stepRollout advances the update of one back end, on which the given number of requests run.
func (r *Replica) stepRollout(now time.Duration, instance catalog.Instance, state *backendState, loads *loadCount, running int) {
	if now < state.rollout.nextStepAt {
		return
	}
	switch state.rollout.phase {
	case phaseQuerying, phaseOrderSent:
		r.setPhase(state, phaseBackoff, now+rolloutBackoff) // the call timed out
	case phaseDraining:
		if loads.running >= loads.limit || r.leader.ackedRoster < state.rollout.announcedRoster {
			return
		}
		draining := running > 0 && now < state.rollout.drainUntil && r.config.Mechanisms.On(mechanism.WeightsDrain)
		if draining || !r.mayOrderBackend(now, instance.ID) {
			return
		}
		loads.running++
		state.rollout.version = max(state.rollout.version, r.machine.catalog.LatestVersions()[state.rollout.model])
		state.rollout.orderedAt, state.rollout.acceptedAt = now, 0
		r.setPhase(state, phaseOrderSent, now+weightsCallTimeout)
		r.callWeights(instance, state, WeightsOrder)
	case phaseLoading, phaseUncertain:
		state.rollout.nextStepAt = now + weightsCallTimeout
		r.callWeights(instance, state, WeightsQuery)
	case phaseBackoff:
		r.setPhase(state, phaseIdle, now)
	}
}

func (r *Replica) callWeights(instance catalog.Instance, state *backendState, kind WeightsCallKind) {
	r.effects.WeightsCalls = append(r.effects.WeightsCalls, WeightsCall{
		Kind: kind, Instance: instance.ID, Address: instance.Address, Model: state.rollout.model, Version: state.rollout.version,
		Fence: r.leader.orderFence, Revision: state.rollout.revision, Holder: r.config.Name,
	})
}

// ObserveWeightsResult handles the result of a driver call.
func (r *Replica) ObserveWeightsResult(now time.Duration, result WeightsResult) {
	if r.leader == nil || result.Call.Fence != r.leader.orderFence {
		return
	}
	state := r.leader.fleet[result.Call.Instance]
	if state == nil {
		return
	}
	if result.Call.Kind == WeightsQuery {
		r.handleQueryResult(now, state, result)
		return
	}
	r.handleOrderResult(now, state, result)
}

func (r *Replica) handleOrderResult(now time.Duration, state *backendState, result WeightsResult) {
	if state.rollout.phase != phaseOrderSent {
		return
	}
	switch result.Kind {
	case WeightsAccepted:
		state.rollout.revision++
		state.rollout.acceptedAt = now
		r.setPhase(state, phaseLoading, now+r.leader.firstLoadCheck())
	case WeightsAlreadyLoaded:
		r.finishRollout(now, state)
	case WeightsUnknown:
		r.leader.orderLostAt = now
		state.rollout.revisionKnown = false
		r.setPhase(state, phaseUncertain, now+uncertainPollInterval)
	case WeightsFenced:
		r.leader.orderFence = 0
		r.setPhase(state, phaseBackoff, now+weightsCallTimeout)
	default:
		state.rollout.revisionKnown = false
		r.setPhase(state, phaseBackoff, now+rolloutBackoff)
	}
}

func (r *Replica) finishRollout(now time.Duration, state *backendState) {
	state.versions[state.rollout.model] = max(state.versions[state.rollout.model], state.rollout.version)
	r.leader.unloggedWeights[state.id] = true
	r.leader.markRosterChanged(state.id)
	r.setPhase(state, phaseIdle, now)
}

// fromOtherIncarnation reports whether the result comes from another incarnation of the back end than the one called.
// It returns false if either start time is unknown.
func (w *WeightsResult) fromOtherIncarnation() bool {
	expected := catalog.ParseInstanceID(w.Call.Instance).StartedMS
	return w.StartedMS > 0 && expected > 0 && w.StartedMS != expected
}

// adoptReport replaces the recorded versions by those of the report, even by older ones: an unanswered order may be
// carried out after one for newer weights. Missing versions are ordered again.
func (r *Replica) adoptReport(now time.Duration, state *backendState, result WeightsResult) {
	state.versionsDisputed = false
	state.rollout.revision, state.rollout.revisionKnown = result.Revision, true
	maps.Copy(state.versions, result.Versions)
	r.leader.markRosterChanged(state.id)
	r.setPhase(state, phaseIdle, now)
}

func (r *Replica) handleQueryResult(now time.Duration, state *backendState, result WeightsResult) {
	loading := state.rollout.phase == phaseLoading
	uncertain := state.rollout.phase == phaseUncertain
	if !loading && !uncertain && state.rollout.phase != phaseQuerying {
		return
	}
	if result.Kind != WeightsReported || result.fromOtherIncarnation() {
		r.setPhase(state, phaseBackoff, now+rolloutBackoff)
		return
	}
	if state.versionsDisputed && !result.Busy {
		r.adoptReport(now, state, result)
		return
	}
	r.raiseVersions(now, state, result.Versions)
	loaded := state.versions[state.rollout.model] >= state.rollout.version
	switch {
	case result.Busy:
		r.setPhase(state, phaseLoading, now+loadCheckInterval)
	case loaded:
		r.leader.observeLoadTime(now, state.rollout.acceptedAt)
		state.rollout.revision, state.rollout.revisionKnown = max(state.rollout.revision, result.Revision), true
		r.finishRollout(now, state)
	case uncertain && now < state.rollout.orderedAt+uncertainTimeout:
		r.setPhase(state, phaseUncertain, now+uncertainPollInterval)
	case loading && now < state.rollout.orderedAt+loadTimeout:
		r.setPhase(state, phaseLoading, now+loadCheckInterval)
	default:
		state.rollout.revision, state.rollout.revisionKnown = result.Revision, true
		r.announceOrder(now, result.Call.Instance, state)
	}
}
