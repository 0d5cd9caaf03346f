package roster

import (
	"maps"
	"slices"
)

// maxRemovedKept is the number of removed back ends that a log remembers. A gateway that lacks more of them gets a full
// update.
const maxRemovedKept = 256

// change records that an entry was added, changed or removed in the roster of a count.
type change struct {
	count uint64
	id    string
}

// Log keeps the newest roster and the changes that led to it, to send only what a gateway lacks. The cost of Update
// grows with the number of changes and that of Since with the size of its result, except for full updates; neither
// grows with the roster. The zero value is the empty roster of count 0.
type Log struct {
	count         uint64             // of the newest roster
	entries       map[string]Entry   // of the newest roster
	ids           []string           // sorted IDs of entries; nil if they have changed
	changes       []change           // in ascending order of count; at most twice the entries plus maxRemovedKept
	oldestCount   uint64             // changes is complete for all counts after this one
	cachedUpdates map[uint64]*Update // updates to the newest roster, by the count that they start from
}

// Count returns the count of the newest roster.
func (l *Log) Count() uint64 { return l.count }

// IDs returns the sorted IDs of the newest roster. The caller must not modify them.
func (l *Log) IDs() []string {
	if l.ids == nil {
		l.ids = slices.Sorted(maps.Keys(l.entries))
	}
	return l.ids
}

// Entry returns an entry of the newest roster.
func (l *Log) Entry(id string) (Entry, bool) {
	e, known := l.entries[id]
	return e, known
}

// Update advances to the roster of a count, which must not be below the current one. Entries that have not changed and
// removals of unknown IDs are ignored.
func (l *Log) Update(count uint64, entries []Entry, removed []string) {
	var changed []Entry
	for _, e := range entries {
		if before, known := l.entries[e.ID]; !known || !before.equivalent(e) {
			changed = append(changed, e)
		}
	}
	removed = slices.DeleteFunc(slices.Clone(removed), func(id string) bool { _, known := l.entries[id]; return !known })
	l.Apply(count, &Update{Entries: changed, Removed: removed})
}

// Apply advances to the roster of a count with an update from another log. It records every entry, even one equal to
// the entry held here, since a gateway may hold a roster in between that it got from the other log.
func (l *Log) Apply(count uint64, update *Update) {
	if update.Full {
		l.replace(count, update.Entries)
		return
	}
	if l.entries == nil {
		l.entries = map[string]Entry{}
	}
	l.count, l.cachedUpdates = count, nil
	for _, e := range update.Entries {
		if _, known := l.entries[e.ID]; !known {
			l.ids = nil
		}
		l.entries[e.ID] = e
		l.changes = append(l.changes, change{count: count, id: e.ID})
	}
	for _, id := range update.Removed {
		l.ids = nil
		delete(l.entries, id)
		l.changes = append(l.changes, change{count: count, id: id})
	}
	if len(l.changes) > 2*(len(l.entries)+maxRemovedKept) {
		l.compact()
	}
}

// replace sets the roster of a count from all its entries. Gateways that hold an earlier one get a full update.
func (l *Log) replace(count uint64, entries []Entry) {
	*l = Log{count: count, oldestCount: count, entries: make(map[string]Entry, len(entries))}
	for _, e := range entries {
		l.entries[e.ID] = e
	}
}

// compact keeps only the newest change of each entry, and the newest maxRemovedKept removals.
func (l *Log) compact() {
	seen := make(map[string]bool, len(l.entries))
	var kept []change
	removed := 0
	for i := len(l.changes) - 1; i >= 0; i-- {
		c := l.changes[i]
		if seen[c.id] {
			continue
		}
		seen[c.id] = true
		if _, exists := l.entries[c.id]; !exists {
			if removed++; removed > maxRemovedKept {
				l.oldestCount = max(l.oldestCount, c.count)
				continue
			}
		}
		kept = append(kept, c)
	}
	slices.Reverse(kept)
	l.changes = kept
}

// Since returns the update from the roster of a count to the newest one. Count 0 requests a full update. The caller
// must not modify it.
func (l *Log) Since(count uint64) *Update {
	if count < l.oldestCount {
		count = 0
	}
	if update := l.cachedUpdates[count]; update != nil {
		return update
	}
	if l.cachedUpdates == nil {
		l.cachedUpdates = map[uint64]*Update{}
	}
	update := l.updateSince(count)
	if count == 0 {
		update = l.fullUpdate()
	}
	l.cachedUpdates[count] = update.encodeShared()
	return update
}

func (l *Log) fullUpdate() *Update {
	update := &Update{Full: true, Entries: make([]Entry, 0, len(l.entries))}
	for _, id := range l.IDs() {
		update.Entries = append(update.Entries, l.entries[id])
	}
	return update
}

func (l *Log) updateSince(count uint64) *Update {
	var ids []string
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].count > count; i-- {
		ids = append(ids, l.changes[i].id)
	}
	slices.Sort(ids)
	update := &Update{}
	for _, id := range slices.Compact(ids) {
		if e, exists := l.entries[id]; exists {
			update.Entries = append(update.Entries, e)
		} else {
			update.Removed = append(update.Removed, id)
		}
	}
	return update
}
