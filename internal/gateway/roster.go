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

// rosterChange is news about one back end, for the log.
type rosterChange struct {
	event string
	entry control.RosterEntry
}

// applyRoster takes news of the roster up; rows of back ends that stay keep what was learnt about them.
func (t *table) applyRoster(now time.Duration, update *control.RosterNews, cacheLimits map[string]int) []rosterChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []rosterChange
	next := map[string]*endpoint{}
	if !update.Whole {
		maps.Copy(next, t.rows)
	}
	for _, id := range update.Gone {
		delete(next, id)
	}
	for _, entry := range update.Entries {
		row := t.rows[entry.ID]
		if row == nil {
			row = &endpoint{incarnation: catalog.ParseInstanceID(entry.ID), waiting: map[*attempt]time.Duration{}, lastByteAt: now, hash: xxhash.Sum64String(entry.Address)}
			row.cache = belief.NewCacheEstimate(cacheLimits[entry.Service])
			changes = append(changes, rosterChange{events.InstanceJoined, entry})
		}
		if entry.State == catalog.StateDraining && row.entry.State != entry.State {
			changes = append(changes, rosterChange{events.InstanceLeaving, entry})
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
	return changes
}

// update takes up what control tells of a back end. What it holds is forgotten when its weights are others.
func (e *endpoint) update(now time.Duration, entry control.RosterEntry) {
	reported := entry.Versions
	entry.Versions = newestVersions(e.entry.Versions, reported)
	for model, version := range reported {
		if version < e.controlVersions[model] {
			entry.Versions[model] = version // they fell, or a new leader hasn't heard of them yet: a send expects these, so nothing begins on others
		}
	}
	e.controlVersions = reported
	if !maps.Equal(e.entry.Versions, entry.Versions) {
		e.cache.Clear()
	}
	e.entry, e.entryAt = entry, now
}

// replaceRows puts the rows of a new roster in force and wakes who waits for one. The caller holds the mutex.
func (t *table) replaceRows(rows map[string]*endpoint) {
	services := map[string][]*endpoint{}
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		row := rows[id]
		services[row.entry.Service] = append(services[row.entry.Service], row)
	}
	t.rows, t.services = rows, services
	t.sweepHolders()
	t.rosterChanged.Ring()
}

// newestVersions merges what was known of a back end's weights with what is told: a new leader may not have heard of them yet.
func newestVersions(known, told map[string]uint64) map[string]uint64 {
	merged := maps.Clone(told)
	for model, version := range known {
		if merged == nil {
			merged = map[string]uint64{}
		}
		merged[model] = max(merged[model], version)
	}
	return merged
}
