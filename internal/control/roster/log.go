package roster

import (
	"maps"
	"slices"
)

// maxRemovedKept bounds the back ends whose removal is remembered; whoever lacks more of them gets the whole roster.
const maxRemovedKept = 256

// change is that an entry became another one, or none, in the roster of a count.
type change struct {
	count uint64
	id    string
}

// Log knows what changed from one roster to the next, so that only that is told. What an update costs grows with what changed, what news
// cost with what is told; neither grows with the roster. Its zero value is the empty roster of count 0.
type Log struct {
	count         uint64             // of the newest roster
	entries       map[string]Entry   // of the newest roster
	ids           []string           // of entries, rising; nil when they have changed
	changes       []change           // rising by count; at most twice the entries and what is kept of those gone
	oldestCount   uint64             // changes holds all after the roster of this count
	cachedUpdates map[uint64]*Update // by the count that was held: news of the newest roster that somebody asked for
}

// Count returns the count of the newest roster.
func (l *Log) Count() uint64 { return l.count }

// IDs returns the ids of the newest roster, rising; callers only read them.
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

// Update makes the roster of a count, which is not below the newest one, from back ends that may have changed since.
func (l *Log) Update(count uint64, entries []Entry, gone []string) {
	var changed []Entry
	for _, e := range entries {
		if before, known := l.entries[e.ID]; !known || !before.equivalent(e) {
			changed = append(changed, e)
		}
	}
	gone = slices.DeleteFunc(slices.Clone(gone), func(id string) bool { _, known := l.entries[id]; return !known })
	l.Apply(count, &Update{Entries: changed, Removed: gone})
}

// Apply makes the roster of a count from the news of another log. All of them are told on, also what comes back to what it was here: somebody
// may hold a roster in between that the other log told.
func (l *Log) Apply(count uint64, news *Update) {
	if news.Full {
		l.replace(count, news.Entries)
		return
	}
	if l.entries == nil {
		l.entries = map[string]Entry{}
	}
	l.count, l.cachedUpdates = count, nil
	for _, e := range news.Entries {
		if _, known := l.entries[e.ID]; !known {
			l.ids = nil
		}
		l.entries[e.ID] = e
		l.changes = append(l.changes, change{count: count, id: e.ID})
	}
	for _, id := range news.Removed {
		l.ids = nil
		delete(l.entries, id)
		l.changes = append(l.changes, change{count: count, id: id})
	}
	if len(l.changes) > 2*(len(l.entries)+maxRemovedKept) {
		l.compact()
	}
}

// replace makes the roster of a count from all its entries. Whoever held an earlier one gets it whole.
func (l *Log) replace(count uint64, entries []Entry) {
	*l = Log{count: count, oldestCount: count, entries: make(map[string]Entry, len(entries))}
	for _, e := range entries {
		l.entries[e.ID] = e
	}
}

// compact keeps the newest change of each entry, and those of the last that are gone.
func (l *Log) compact() {
	seen := make(map[string]bool, len(l.entries))
	var kept []change
	gone := 0
	for i := len(l.changes) - 1; i >= 0; i-- {
		c := l.changes[i]
		if seen[c.id] {
			continue
		}
		seen[c.id] = true
		if _, stays := l.entries[c.id]; !stays {
			if gone++; gone > maxRemovedKept {
				l.oldestCount = max(l.oldestCount, c.count)
				continue
			}
		}
		kept = append(kept, c)
	}
	slices.Reverse(kept)
	l.changes = kept
}

// Since returns what changed after the roster of a count; 0 asks for everything. Callers only read it.
func (l *Log) Since(count uint64) *Update {
	if count < l.oldestCount {
		count = 0
	}
	if news := l.cachedUpdates[count]; news != nil {
		return news
	}
	if l.cachedUpdates == nil {
		l.cachedUpdates = map[uint64]*Update{}
	}
	news := l.updateSince(count)
	if count == 0 {
		news = l.fullUpdate()
	}
	l.cachedUpdates[count] = news.encodeShared()
	return news
}

func (l *Log) fullUpdate() *Update {
	news := &Update{Full: true, Entries: make([]Entry, 0, len(l.entries))}
	for _, id := range l.IDs() {
		news.Entries = append(news.Entries, l.entries[id])
	}
	return news
}

func (l *Log) updateSince(count uint64) *Update {
	var ids []string
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].count > count; i-- {
		ids = append(ids, l.changes[i].id)
	}
	slices.Sort(ids)
	news := &Update{}
	for _, id := range slices.Compact(ids) {
		if e, stays := l.entries[id]; stays {
			news.Entries = append(news.Entries, e)
		} else {
			news.Removed = append(news.Removed, id)
		}
	}
	return news
}
