package sim

import (
	"slices"

	"kitetiller/internal/settings"
)

// checkSettled checks that the system has converged to the required state after all faults were removed.
func (o *oracle) checkSettled() {
	if o.violation != nil {
		return
	}
	leader := o.w.leader()
	if leader == nil {
		o.fail(SettingsDurable, "no control replica leads %v after all faults were removed", settleTime)
		return
	}
	o.checkMembers(leader)
	o.checkHistory(leader)
	o.checkRouters(leader)
	o.checkEngines(leader)
	o.checkResponses()
}

// checkMembers checks that every replica is a member of the group. One that was replaced while it was down must
// rejoin as a spare.
func (o *oracle) checkMembers(leader *controlNode) {
	membership := leader.replica.Node().Membership()
	for _, n := range o.w.controls {
		if _, member := membership.Find(n.identity.ID); !member {
			o.fail(SettingsDurable, "%s (%s) is no longer a member of the group", n.name, n.identity.ID)
			return
		}
	}
}

// checkHistory checks that the final history matches the outcomes that operators received.
func (o *oracle) checkHistory(leader *controlNode) {
	final := leader.replica.Machine().Settings()
	if final.Version() < o.acknowledged {
		o.fail(SettingsDurable, "the tree is at version %d after version %d was accepted", final.Version(), o.acknowledged)
		return
	}
	versionByOperation := map[string]uint64{}
	for _, entry := range final.History() {
		versionByOperation[entry.OperationID] = entry.Version
	}
	for _, id := range sortedOperations(o.outcomes) {
		outcome := o.outcomes[id]
		version, found := versionByOperation[id]
		accepted := outcome.Kind == settings.OutcomeAccepted
		if found != accepted || (found && version != outcome.Version) {
			o.fail(SettingsDurable, "%s got outcome %s at version %d, but the history has it at version %d", id, outcome.Kind, outcome.Version, version)
			return
		}
	}
}

// checkRouters checks that every router has a valid lease and uses the newest settings, which are in force.
func (o *oracle) checkRouters(leader *controlNode) {
	newest := leader.replica.Machine().Settings().Version()
	for _, r := range o.w.routers {
		if r.core.SettingsVersion() != newest || !r.core.LeaseValid() {
			o.fail(SettingsDurable, "%s uses version %d, lease=%v, while version %d is the newest", r.name, r.core.SettingsVersion(), r.core.LeaseValid(), newest)
			return
		}
	}
	if inForce := leader.replica.InForce(leader.clock()); inForce != newest {
		o.fail(SettingsDurable, "version %d is in force, version %d is the newest", inForce, newest)
	}
}

// checkEngines checks that every engine has loaded the weights that the settings specify.
func (o *oracle) checkEngines(leader *controlNode) {
	tree := leader.replica.Machine().Settings().Tree()
	for _, e := range o.w.engines {
		wanted := tree.Resolve(e.zone, modelService).WeightsVersion
		if e.model.Weights != wanted {
			o.fail(SettingsDurable, "%s has weights %s, the settings specify %s", e.name, e.model.Weights, wanted)
			return
		}
	}
}

// checkResponses checks that every exchange has finished.
func (o *oracle) checkResponses() {
	for _, ex := range o.w.callers.exchanges {
		if !ex.finished {
			o.fail(CorrectResponse, "%s, sent to %s, got no final response", ex.job.name, ex.router.name)
			return
		}
	}
}

func sortedOperations(outcomes map[string]settings.Outcome) []string {
	ids := make([]string, 0, len(outcomes))
	for id := range outcomes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
