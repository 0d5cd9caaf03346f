package control

import (
	"time"

	"kitetiller/internal/guard"
)

const (
	// orderTimeout is how long an order may have no effect before it is issued again.
	orderTimeout = 5 * time.Second
	// reconcileInterval is the interval between comparisons of desired and reported weights.
	reconcileInterval = 50 * time.Millisecond
	// engineReportTTL is how long an engine's report stays valid.
	engineReportTTL = 3 * time.Second
)

// ObserveEngineReport handles an engine's report. If the engine has not seen the leader's term, the leader first raises
// the engine's fence, so that the engine rejects orders of earlier leaders.
func (r *Replica) ObserveEngineReport(now time.Duration, report EngineReport) {
	if r.leader == nil || !r.hasCurrentState(now) {
		return
	}
	state := r.leader.engines[report.Name]
	if state == nil || state.report.Incarnation != report.Incarnation {
		state = &engineState{}
		r.leader.engines[report.Name] = state
	}
	state.report, state.reportedAt = report, now
	if report.Weights == state.orderedWeights {
		state.orderedWeights = ""
	}
	if report.Fence.Term < r.leader.term && r.config.Guards.On(guard.FenceCheck) {
		r.effects.EngineCalls = append(r.effects.EngineCalls, EngineCall{Engine: report.Name, Address: report.Address, Fence: Fence{Term: r.leader.term}})
	}
}

// reconcile orders engines to load the weights that the settings tree requires, within the limit of concurrent loads of
// each service.
func (r *Replica) reconcile(now time.Duration) {
	if now < r.leader.reconciledAt+reconcileInterval {
		return
	}
	r.leader.reconciledAt = now
	names := sortedKeys(r.leader.engines)
	loading := r.countLoading(now, names)
	for _, name := range names {
		state := r.leader.engines[name]
		report := state.report
		fenced := report.Fence.Term >= r.leader.term || !r.config.Guards.On(guard.FenceCheck)
		if now > state.reportedAt+engineReportTTL || !fenced {
			continue
		}
		target := r.desired(zoneService{report.Zone, report.Service})
		ordered := state.orderedWeights != "" && now < state.orderedAt+orderTimeout
		if report.Weights == target.weights || report.Loading || ordered || loading[report.Service] >= target.maxLoads {
			continue
		}
		loading[report.Service]++
		state.orderedWeights, state.orderedAt = target.weights, now
		r.propose(now, 0, Command{Order: &Order{Engine: name, Incarnation: report.Incarnation, Weights: target.weights}})
	}
}

// desired returns the state that the settings tree requires at a place. It is resolved once per settings version.
func (r *Replica) desired(place zoneService) desiredState {
	version := r.machine.settings.Version()
	if r.leader.desired == nil || r.leader.desiredVersion != version {
		r.leader.desired, r.leader.desiredVersion = map[zoneService]desiredState{}, version
	}
	state, known := r.leader.desired[place]
	if !known {
		values := r.machine.settings.Tree().Resolve(place.zone, place.service)
		state = desiredState{weights: values.WeightsVersion, maxLoads: values.MaxConcurrentLoads}
		r.leader.desired[place] = state
	}
	return state
}

// countLoading returns the number of engines that load weights or have been ordered to, by service.
func (r *Replica) countLoading(now time.Duration, names []string) map[string]int {
	loading := map[string]int{}
	for _, name := range names {
		state := r.leader.engines[name]
		if now > state.reportedAt+engineReportTTL {
			continue
		}
		if state.report.Loading || (state.orderedWeights != "" && now < state.orderedAt+orderTimeout) {
			loading[state.report.Service]++
		}
	}
	return loading
}

// issueOrder sends a committed order to its engine.
func (r *Replica) issueOrder(now time.Duration, order Order) {
	state := r.leader.engines[order.Engine]
	if state == nil || !r.node.LeaseValid(now) {
		return
	}
	r.effects.EngineCalls = append(r.effects.EngineCalls, EngineCall{
		Engine: order.Engine, Address: state.report.Address, Fence: order.Fence, Order: &order,
	})
}
