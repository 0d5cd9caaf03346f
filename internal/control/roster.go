package control

import (
	"maps"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/roster"
)

// What gateways are told of back ends, by the names of the messages.
type (
	RosterVersion      = roster.Version
	RosterEntry        = roster.Entry
	RosterUpdate       = roster.Update
	WeightsPublication = roster.Publication
)

// rosterUpdate returns what a gateway lacks of the current roster.
func (r *Replica) rosterUpdate(now time.Duration, held RosterVersion) *RosterUpdate {
	r.refreshRoster(now)
	if held.Term != r.leader.term {
		return r.leader.roster.Since(0)
	}
	return r.leader.roster.Since(held.Count)
}

// refreshRoster brings the roster up to its count: only back ends that changed are looked at.
func (r *Replica) refreshRoster(now time.Duration) {
	lead := r.leader
	if lead.roster.Count() == lead.rosterCount {
		return
	}
	if lead.roster.Count() == 0 {
		for id := range r.machine.catalog.Instances() {
			lead.rosterPending[id] = true
		}
	}
	var changed []RosterEntry
	var gone []string
	for id := range lead.rosterPending {
		if instance, known := r.machine.catalog.Instances()[id]; known && r.inUse(now, instance) {
			changed = append(changed, r.rosterEntry(now, instance))
		} else {
			gone = append(gone, id)
		}
	}
	lead.roster.Update(lead.rosterCount, changed, gone)
	clear(lead.rosterPending)
}

// rosterEntry returns a back end as gateways see it.
func (r *Replica) rosterEntry(now time.Duration, instance catalog.Instance) RosterEntry {
	state := r.ensureBackend(now, instance.ID)
	return RosterEntry{
		Instance: instance, Versions: maps.Clone(state.versions), Loading: state.rollout.blocksNewRequests(), Silent: state.silent,
		ColdLeft: max(0, state.coldUntil-now),
	}
}

// publishRosterIfDue lets the newest roster be told if the last telling is long enough ago.
func (l *leaderState) publishRosterIfDue(now time.Duration) {
	if l.rosterCount == l.publishedCount || now < l.publishedAt+roster.PublishInterval(len(l.usage)) {
		return
	}
	l.publishedCount, l.publishedAt = l.rosterCount, now
}

// hasRosterUpdate reports whether a held question is to be answered for the roster's sake.
func (l *leaderState) hasRosterUpdate(held RosterVersion) bool {
	return held.Term != l.term || held.Count < l.publishedCount
}

// markRosterChanged notes that gateways are to be told something new of these back ends, or of all weights if none are named.
func (l *leaderState) markRosterChanged(ids ...string) {
	l.rosterCount++
	for _, id := range ids {
		l.rosterPending[id] = true
	}
}

func (l *leaderState) rosterVersion() RosterVersion {
	return RosterVersion{Term: l.term, Count: l.rosterCount}
}
