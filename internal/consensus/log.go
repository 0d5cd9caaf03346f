package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// raftLog is the part of the log after the last snapshot.
//
// Invariant: entries[i].Index == base.Index+1+i, terms never decrease, and bytes is the total size of entries.
type raftLog struct {
	base    SnapshotMeta
	entries []Entry
	bytes   int
}

// append adds entries at the end.
func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += totalSize(entries)
}

func totalSize(entries []Entry) int {
	total := 0
	for i := range entries {
		total += entries[i].Size()
	}
	return total
}

func (l *raftLog) lastIndex() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an index, or false if the index is compacted or beyond the end of the log.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries in (after, upTo].
func (l *raftLog) slice(after, upTo uint64) []Entry {
	if after < l.base.Index || after >= upTo {
		return nil
	}
	return l.entries[after-l.base.Index : upTo-l.base.Index]
}

// limitSize returns the first entries whose total size is within a limit, and at least one if there are any.
func limitSize(entries []Entry, limit int, size func(Entry) int) []Entry {
	total := 0
	for i, entry := range entries {
		if total += size(entry); total > limit && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// truncateFrom removes the entry at index and all after it.
func (l *raftLog) truncateFrom(index uint64) {
	if index <= l.base.Index {
		panic(fmt.Sprintf("consensus: cannot truncate from index %d: the snapshot covers entries up to index %d", index, l.base.Index))
	}
	kept := l.entries[:index-l.base.Index-1]
	l.entries, l.bytes = slices.Clone(kept), totalSize(kept)
}

// compact removes the entries that the snapshot covers.
func (l *raftLog) compact(meta SnapshotMeta) {
	kept := l.slice(meta.Index, l.lastIndex())
	l.entries, l.bytes = slices.Clone(kept), totalSize(kept)
	l.base = meta
}

// membership returns the newest membership in the log, committed or not.
func (l *raftLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return decodeMembership(l.entries[i].Data), l.entries[i].Index
		}
	}
	return l.base.Membership, l.base.Index
}

func decodeMembership(data []byte) Membership {
	var membership Membership
	if err := json.Unmarshal(data, &membership); err != nil {
		panic(fmt.Sprintf("consensus: decode membership entry: %v", err))
	}
	return membership
}

// EncodeMembership returns the data of a membership entry.
func EncodeMembership(membership Membership) []byte {
	data, err := json.Marshal(membership)
	if err != nil {
		panic(fmt.Sprintf("consensus: encode membership: %v", err))
	}
	return data
}
