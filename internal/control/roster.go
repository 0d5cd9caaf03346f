package control

import (
	"maps"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/roster"
)

// Types of the roster package that are part of the watch messages.
type (
	RosterVersion      = roster.Version
	RosterEntry        = roster.Entry
	RosterUpdate       = roster.Update
	WeightsPublication = roster.Publication
)

// rosterUpdate returns the update from the roster held by a gateway to the current one.
func (r *Replica) rosterUpdate(now time.Duration, held RosterVersion) *RosterUpdate {
	r.refreshRoster(now)
	if held.Term != r.leader.term {
		return r.leader.roster.Since(0)
	}
	return r.leader.roster.Since(held.Count)
}

// refreshRoster updates the roster to rosterCount. It only visits back ends marked as changed.
func (r *Replica) refreshRoster(now time.Duration) {
	leader := r.leader
	if leader.roster.Count() == leader.rosterCount {
		return
	}
	if leader.roster.Count() == 0 {
		for id := range r.machine.catalog.Instances() {
			leader.rosterPending[id] = true
		}
	}
	var changed []RosterEntry
	var removed []string
	for id := range leader.rosterPending {
		if instance, known := r.machine.catalog.Instances()[id]; known && r.inUse(now, instance) {
			changed = append(changed, r.rosterEntry(now, instance))
		} else {
			removed = append(removed, id)
		}
	}
	leader.roster.Update(leader.rosterCount, changed, removed)
	clear(leader.rosterPending)
}

// rosterEntry returns the roster entry of a back end.
func (r *Replica) rosterEntry(now time.Duration, instance catalog.Instance) RosterEntry {
	state := r.ensureBackend(now, instance.ID)
	return RosterEntry{
		Instance: instance, Versions: maps.Clone(state.versions), Loading: state.rollout.blocksNewRequests(), Silent: state.silent,
		ColdLeft: max(0, state.coldUntil-now), SoftwareVersion: state.software.Name(), SoftwareDisputed: state.software.Disputed(),
	}
}

// publishRosterIfDue marks the newest roster as published if the minimum interval has passed since the last
// publication.
func (l *leaderState) publishRosterIfDue(now time.Duration) {
	if l.rosterCount == l.publishedCount || now < l.publishedAt+roster.PublishInterval(len(l.usage)) {
		return
	}
	l.publishedCount, l.publishedAt = l.rosterCount, now
}

// hasRosterUpdate reports whether the published roster is newer than the one held or from another term.
func (l *leaderState) hasRosterUpdate(held RosterVersion) bool {
	return held.Term != l.term || held.Count < l.publishedCount
}

// markRosterChanged starts a new roster version in which the given back ends may have changed. Without IDs, only what
// is sent along with the roster has changed.
func (l *leaderState) markRosterChanged(ids ...string) {
	l.rosterCount++
	for _, id := range ids {
		l.rosterPending[id] = true
	}
}

func (l *leaderState) rosterVersion() RosterVersion {
	return RosterVersion{Term: l.term, Count: l.rosterCount}
}
