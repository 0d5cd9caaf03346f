package control

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"kitetiller/internal/catalog"
)

// RosterVersion tells rosters apart. Versions of one term are ordered by their count; each leader counts anew.
type RosterVersion struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// RosterEntry is a back end as gateways see it.
type RosterEntry struct {
	catalog.Instance
	Versions map[string]uint64 `json:"versions,omitempty"` // weights by model
	Loading  bool              `json:"loading,omitempty"`  // weights are being replaced: nothing new may be sent
	Silent   bool              `json:"silent,omitempty"`   // no heartbeat came for a while
	ColdLeft time.Duration     `json:"cold_left_ns,omitempty"`
}

// RosterNews is what a gateway lacks of the roster.
type RosterNews struct {
	Whole   bool          `json:"whole,omitempty"`   // Entries are all there are; else those that are new or changed
	Entries []RosterEntry `json:"entries,omitempty"` // rising by id
	Gone    []string      `json:"gone,omitempty"`    // ids that are no longer in the roster; empty with Whole

	encoded json.RawMessage // the same as JSON, where many gateways are told it; or nil
}

// MarshalJSON encodes the news, once for all gateways where they were prepared for that.
func (n *RosterNews) MarshalJSON() ([]byte, error) {
	if n.encoded != nil {
		return n.encoded, nil
	}
	type plain RosterNews
	return json.Marshal((*plain)(n))
}

// Merge returns the roster that follows from the one that a gateway held, rising by id.
func (n *RosterNews) Merge(held []RosterEntry) []RosterEntry {
	if n.Whole {
		return n.Entries
	}
	merged := map[string]RosterEntry{}
	for _, e := range held {
		merged[e.ID] = e
	}
	for _, id := range n.Gone {
		delete(merged, id)
	}
	for _, e := range n.Entries {
		merged[e.ID] = e
	}
	entries := make([]RosterEntry, 0, len(merged))
	for _, id := range sortedKeys(merged) {
		entries = append(entries, merged[id])
	}
	return entries
}

// goneKept bounds the back ends whose removal is remembered; a gateway that lacks more of them gets the whole roster.
const goneKept = 256

// loggedEntry is an entry and the count of the first roster that held it so.
type loggedEntry struct {
	entry RosterEntry
	since uint64
}

// goneEntry is a back end that a roster no longer held, and that roster's count.
type goneEntry struct {
	id    string
	count uint64
}

// rosterLog knows what changed from one roster of a leadership to the next, so that gateways are told only that.
type rosterLog struct {
	count   uint64                 // of the roster in entries; 0 before the first
	entries map[string]loggedEntry // since is at most count
	ids     []string               // of entries, rising
	gone    []goneEntry            // rising by count
	floor   uint64                 // gone holds every removal after the roster of this count
	whole   *RosterNews            // all entries, encoded; nil until somebody asks for them
}

// update takes the roster of a count. The caller passes rosters in the order of their counts.
func (l *rosterLog) update(count uint64, entries []RosterEntry) {
	next := make(map[string]loggedEntry, len(entries))
	for _, e := range entries {
		logged, known := l.entries[e.ID]
		if !known || !sameEntry(logged.entry, e) {
			logged = loggedEntry{entry: e, since: count}
		}
		next[e.ID] = logged
	}
	for _, id := range l.ids {
		if _, stays := next[id]; !stays {
			l.gone = append(l.gone, goneEntry{id: id, count: count})
		}
	}
	if extra := len(l.gone) - goneKept; extra > 0 {
		l.floor = l.gone[extra-1].count
		l.gone = slices.Delete(l.gone, 0, extra)
	}
	l.count, l.entries, l.ids, l.whole = count, next, sortedKeys(next), nil
}

// all returns the whole roster.
func (l *rosterLog) all() *RosterNews {
	if l.whole != nil {
		return l.whole
	}
	news := &RosterNews{Whole: true, Entries: make([]RosterEntry, 0, len(l.entries))}
	for _, id := range l.ids {
		news.Entries = append(news.Entries, l.entries[id].entry)
	}
	if encoded, err := json.Marshal(news); err == nil {
		news.encoded = encoded
	}
	l.whole = news
	return news
}

// since returns what changed after the roster of a count; 0 asks for everything.
func (l *rosterLog) since(count uint64) *RosterNews {
	if count == 0 || count < l.floor {
		return l.all()
	}
	news := &RosterNews{}
	for _, id := range l.ids {
		if logged := l.entries[id]; logged.since > count {
			news.Entries = append(news.Entries, logged.entry)
		}
	}
	for _, gone := range l.gone {
		if _, back := l.entries[gone.id]; gone.count > count && !back {
			news.Gone = append(news.Gone, gone.id)
		}
	}
	return news
}

// sameEntry compares what gateways decide by. The time that a back end is still cold passes by itself.
func sameEntry(a, b RosterEntry) bool {
	return a.Instance == b.Instance && a.Loading == b.Loading && a.Silent == b.Silent && maps.Equal(a.Versions, b.Versions) &&
		(a.ColdLeft > 0) == (b.ColdLeft > 0)
}

// rosterNews returns what a gateway lacks of the current roster.
func (r *Replica) rosterNews(now time.Duration, held RosterVersion) *RosterNews {
	l := &r.lead.roster
	if l.count != r.lead.rosterCount {
		l.update(r.lead.rosterCount, r.roster(now))
	}
	if held.Term != r.lead.term {
		return l.since(0)
	}
	return l.since(held.Count)
}

// roster returns the back ends as gateways see them, ordered by id.
func (r *Replica) roster(now time.Duration) []RosterEntry {
	instances := r.machine.catalog.Instances()
	entries := make([]RosterEntry, 0, len(instances))
	for _, id := range sortedKeys(instances) {
		state := r.member(now, id)
		entries = append(entries, RosterEntry{
			Instance: instances[id], Versions: maps.Clone(state.versions), Loading: state.rollout.loading(),
			Silent: state.silent, ColdLeft: max(0, state.coldUntil-now),
		})
	}
	return entries
}

// tellingPace and longestTelling bound how often a changed roster is told: a telling takes the leader this long for each
// gateway, so that many changes at once don't cost it more.
const (
	tellingPace    = time.Millisecond
	longestTelling = 250 * time.Millisecond
)

// pace lets the newest roster be told if the last telling is long enough ago.
func (l *leadership) pace(now time.Duration) {
	if l.rosterCount == l.toldCount || now < l.toldAt+min(tellingPace*time.Duration(len(l.usage)), longestTelling) {
		return
	}
	l.toldCount, l.toldAt = l.rosterCount, now
}

// tellsRoster reports whether a held question is to be answered for the roster's sake.
func (l *leadership) tellsRoster(held RosterVersion) bool {
	return held.Term != l.term || held.Count < l.toldCount
}

func (l *leadership) rosterChanged() { l.rosterCount++ }

func (l *leadership) rosterVersion() RosterVersion {
	return RosterVersion{Term: l.term, Count: l.rosterCount}
}
