package catalog

import (
	"maps"
	"slices"
)

// maxSharers bounds the tenants that are remembered to have shared cached prompts in the current epoch. Beyond it, a new
// epoch begins.
const maxSharers = 20_000

// sharing tracks which tenants have shared cached prompts since the current epoch began. A tenant that becomes isolated
// after it has shared leaves prompts behind that nobody else may use any more, so a new epoch begins then. That includes
// a tenant that was removed in between.
type sharing struct {
	epoch   uint64          // revision at which the epoch began; 0 for the first one
	sharers map[string]bool // names of tenants; at most maxSharers
}

// advance returns the state after a document is put in force.
func (s sharing) advance(document *Document) sharing {
	withdrawn := slices.ContainsFunc(document.Tenants, func(t Tenant) bool { return t.Isolated && s.sharers[t.Name] })
	next := sharing{epoch: s.epoch, sharers: maps.Clone(s.sharers)}
	if withdrawn || len(s.sharers) >= maxSharers {
		next = sharing{epoch: document.Revision}
	}
	if next.sharers == nil {
		next.sharers = map[string]bool{}
	}
	for _, t := range document.Tenants {
		if !t.Isolated {
			next.sharers[t.Name] = true
		}
	}
	return next
}

// sharingSnapshot is the JSON form of a sharing. Its epoch is that of the document.
type sharingSnapshot struct {
	Sharers []string `json:"sharers"` // sorted
}

func (s sharing) snapshot() *sharingSnapshot {
	return &sharingSnapshot{Sharers: slices.Sorted(maps.Keys(s.sharers))}
}

// restoreSharing returns the state in a snapshot. One of an older build has none: its document counts as the first of an
// epoch, which is not before the known one.
func restoreSharing(document *Document, snapshot *sharingSnapshot, known sharing) sharing {
	restored := sharing{epoch: document.SharingEpoch, sharers: map[string]bool{}}
	if snapshot == nil {
		restored.epoch = max(restored.epoch, known.epoch)
		return restored.advance(document)
	}
	for _, name := range snapshot.Sharers {
		restored.sharers[name] = true
	}
	return restored
}
