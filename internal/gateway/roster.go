package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/gateway/belief"
)

// rosterChange is a logged change of one back end.
type rosterChange struct {
	event string
	entry control.RosterEntry
}

// applyRoster applies a roster update. Rows of back ends that remain keep their state.
func (t *table) applyRoster(now time.Duration, update *control.RosterUpdate, cacheLimits map[string]int) []rosterChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.mayHaveMissed(update) {
		t.interruptSoftware(now)
	}
	t.rosterHeld = true
	var changes []rosterChange
	next := map[string]*endpoint{}
	if !update.Full {
		maps.Copy(next, t.rows)
	}
	for _, id := range update.Removed {
		delete(next, id)
	}
	for _, entry := range update.Entries {
		row := t.rows[entry.ID]
		if row == nil {
			row = &endpoint{incarnation: catalog.ParseInstanceID(entry.ID), waiting: map[*attempt]time.Duration{}, lastByteAt: now, joinedAt: now, hash: xxhash.Sum64String(entry.Address)}
			row.cache = belief.NewCacheEstimate(cacheLimits[entry.Service])
			changes = append(changes, rosterChange{events.InstanceJoined, entry})
		}
		if entry.State == catalog.StateDraining && row.entry.State != entry.State {
			changes = append(changes, rosterChange{events.InstanceLeaving, entry})
		}
		if row.observeSoftware(entry) {
			changes = append(changes, rosterChange{events.SoftwareDisputed, entry})
		}
		row.update(now, entry)
		next[entry.ID] = row
	}
	for id, row := range t.rows {
		row.gone = next[id] == nil
		if row.gone {
			changes = append(changes, rosterChange{events.InstanceGone, row.entry})
		}
	}
	t.replaceRows(next)
	t.observeSoftware(now)
	return changes
}

// observeSoftware records the software version in a roster entry, and reports whether it newly contradicts another one.
// A new leader may not know it before the back end's next heartbeat.
func (e *endpoint) observeSoftware(entry control.RosterEntry) (disputed bool) {
	before := e.software.Disputed()
	if entry.SoftwareDisputed {
		e.software.Dispute()
	}
	e.software.Observe(entry.SoftwareVersion)
	return e.software.Disputed() && !before
}

// update applies a roster entry. Different weights invalidate the estimate of the engine's cache.
func (e *endpoint) update(now time.Duration, entry control.RosterEntry) {
	reported := entry.Versions
	entry.Versions = newestVersions(e.entry.Versions, reported)
	for model, version := range reported {
		if version < e.controlVersions[model] {
			entry.Versions[model] = version // a downgrade, or a new leader without the heartbeat
		}
	}
	e.controlVersions = reported
	if !maps.Equal(e.entry.Versions, entry.Versions) {
		e.cache.Clear()
	}
	e.entry, e.entryAt = entry, now
}

// replaceRows installs the rows of a new roster and wakes the requests that wait for one. The caller holds the mutex.
func (t *table) replaceRows(rows map[string]*endpoint) {
	services := map[string][]*endpoint{}
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		row := rows[id]
		services[row.entry.Service] = append(services[row.entry.Service], row)
	}
	t.rows, t.services = rows, services
	for service, rates := range t.queueRates {
		rates.SetEngines(len(services[service]))
	}
	t.sweepHolders()
	t.rosterChanged.Notify()
}

// newestVersions returns the newer of the known and the reported versions of each model. A new leader may not have
// received the back end's heartbeat yet and then reports none.
func newestVersions(known, reported map[string]uint64) map[string]uint64 {
	merged := maps.Clone(reported)
	for model, version := range known {
		if merged == nil {
			merged = map[string]uint64{}
		}
		merged[model] = max(merged[model], version)
	}
	return merged
}
