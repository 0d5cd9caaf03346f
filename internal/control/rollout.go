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

// rolloutPhase tells where a back end stands in the replacement of its weights.
type rolloutPhase uint8

const (
	phaseIdle      rolloutPhase = iota
	phaseQuerying               // its order count is being read
	phaseDraining               // gateways send nothing new; the order follows
	phaseOrderSent              // the order is on its way
	phaseLoading                // the order was taken, or may have been
	phaseUncertain              // the order got no answer: it may be carried out any time, or never; requests go on meanwhile
	phaseBackoff                // something failed; it is tried again later
)

const (
	// announceDelay is how long requests that are on their way have to arrive, before the order is sent.
	announceDelay = 30 * time.Millisecond
	// stepIntervalPerBackend is the time between two steps of the roll-out, for each back end: a step looks at all of them.
	stepIntervalPerBackend = 10 * time.Microsecond
	// loadTimeout is how long an order may show no effect before it is given again.
	loadTimeout = 2500 * time.Millisecond
	// weightsCallTimeout is how long a call of the driver may stay without a result.
	weightsCallTimeout = 3 * time.Second
	// rolloutBackoff is the pause after a failure.
	rolloutBackoff = 300 * time.Millisecond
	// drainTimeout is how long requests that run on a back end may take to end before its order is sent; a load stops
	// them for its time.
	drainTimeout = 2000 * time.Millisecond
	// uncertainTimeout is how long an unanswered order may show no effect before it is given again, and uncertainCheck
	// how often that is looked at.
	uncertainTimeout      = 1200 * time.Millisecond
	uncertainPollInterval = 350 * time.Millisecond
)

// rolloutState is the leader's view of one back end's weights.
type rolloutState struct {
	phase           rolloutPhase
	nextStepAt      time.Duration // when the next step is due
	model           string
	version         uint64        // of the order in progress
	announcedRoster uint64        // count of the roster that told gateways to turn away
	drainUntil      time.Duration // when the order is sent although requests still run
	orderedAt       time.Duration
	acceptedAt      time.Duration // when the order was taken; 0 when that is not known
	revision        uint64        // orders that the back end has taken
	revisionKnown   bool
}

// blocksNewRequests reports whether gateways must send nothing new.
func (s *rolloutState) blocksNewRequests() bool {
	return s.phase == phaseDraining || s.phase == phaseOrderSent || s.phase == phaseLoading
}

// WeightsCallKind tells what a driver shall ask of a back end.
type WeightsCallKind uint8

// Kinds of calls.
const (
	WeightsQuery WeightsCallKind = iota // read which weights it holds and how many orders it took
	WeightsOrder                        // replace its weights
)

// WeightsCall is a call that a driver makes to a back end on behalf of the leader.
type WeightsCall struct {
	Kind     WeightsCallKind
	Instance string
	Address  string
	Model    string
	Version  uint64
	Fence    uint64 // rises with every leader; back ends refuse lower ones
	Revision uint64 // orders that the back end is expected to have taken; another count refuses the order
	Holder   string // name of the process that gives the order
}

// WeightsResultKind tells how a call ended.
type WeightsResultKind uint8

// Results of calls.
const (
	WeightsReported      WeightsResultKind = iota // a report came
	WeightsAccepted                               // the order is being carried out
	WeightsAlreadyLoaded                          // the back end holds the version already
	WeightsBusy                                   // another order is under way, or the count differs
	WeightsFenced                                 // a higher fence was seen
	WeightsRejected                               // provably not taken
	WeightsUnknown                                // no answer: it may have been taken, or may be yet
)

// WeightsResult is how a call ended.
type WeightsResult struct {
	Call      WeightsCall
	Kind      WeightsResultKind
	Versions  map[string]uint64 // with WeightsReported
	Busy      bool              // with WeightsReported: an order is under way
	Revision  uint64            // with WeightsReported
	StartedMS int64             // with WeightsReported: start of the life that reports, in Unix ms; 0 where it doesn't tell
}

// mayOrder reports whether this replica may give orders at all: it holds the lease, has a fence of its own, and no gateway
// trusts a view of another leader.
func (r *Replica) mayOrder(now time.Duration) bool {
	return r.hasCurrentState(now) && r.leader.orderFence > 0 && r.allGatewaysFollow(now)
}

// rollOut takes the next steps towards the newest weights everywhere.
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

// rolloutsByDrainDeadline returns the back ends whose weights are being replaced, those first that have been turned away from for longest.
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

// requestFence asks for a fence of this leadership, once.
func (r *Replica) requestFence(now time.Duration) {
	if r.leader.orderFence == 0 && now >= r.leader.fenceRequestedAt+weightsCallTimeout {
		r.leader.fenceRequestedAt = now
		r.propose(now, 0, Command{Catalog: &catalog.Command{Fence: true}})
	}
}

// outdatedModel returns the model and version that a back end should hold and does not, if any.
func (r *Replica) outdatedModel(instance catalog.Instance, state *backendState) (string, uint64, bool) {
	for model, loaded := range state.versions {
		if wanted := r.machine.catalog.LatestVersions()[model]; wanted > loaded && instance.State == catalog.StateReady {
			return model, wanted, true
		}
	}
	return "", 0, false
}

// oldestVersion returns the lowest weights version that a back end holds.
func (r *Replica) oldestVersion(id string) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, version := range r.leader.fleet[id].versions {
		oldest = min(oldest, version)
	}
	return oldest
}

// startRollouts begins with the back ends that lag most, the least used first, a few at a time.
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

// runningByInstance returns the running requests of all gateways by instance.
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

// announceOrder makes gateways turn away from a back end.
func (r *Replica) announceOrder(now time.Duration, id string, state *backendState) {
	r.queueOrderAnnouncement(id)
	state.rollout.drainUntil = now + drainTimeout
	if r.leader.underCapacity {
		state.rollout.drainUntil = now
	}
	r.setPhase(state, phaseDraining, now+announceDelay)
}

// setPhase moves a back end to another phase and tells watchers when that changes what they may send.
func (r *Replica) setPhase(state *backendState, next rolloutPhase, due time.Duration) {
	before := state.rollout.blocksNewRequests()
	state.rollout.phase, state.rollout.nextStepAt = next, due
	if state.rollout.blocksNewRequests() != before {
		r.leader.markRosterChanged(state.id)
		state.rollout.announcedRoster = r.leader.rosterCount
	}
}

// stepRollout does what is due at one back end, on which so many requests still run.
func (r *Replica) stepRollout(now time.Duration, instance catalog.Instance, state *backendState, loads *loadCount, running int) {
	if now < state.rollout.nextStepAt {
		return
	}
	switch state.rollout.phase {
	case phaseQuerying, phaseOrderSent:
		r.setPhase(state, phaseBackoff, now+rolloutBackoff) // no result came
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

// ObserveWeightsResult takes the result of a call.
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
	r.leader.unlogged[state.id] = true
	r.leader.markRosterChanged(state.id)
	r.setPhase(state, phaseIdle, now)
}

// fromOtherIncarnation reports whether a back end that started again under its name gave the report. It can be told only where its heartbeats tell
// their start, too.
func (w *WeightsResult) fromOtherIncarnation() bool {
	requested := catalog.ParseInstanceID(w.Call.Instance).StartedMS
	return w.StartedMS > 0 && requested > 0 && w.StartedMS != requested
}

// adoptReport believes a back end's own report of its weights, also where they are older than believed: an order that got no answer may be
// carried out after one for newer weights. What it lacks is ordered again.
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
