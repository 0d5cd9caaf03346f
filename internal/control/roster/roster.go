// Package roster is what control tells gateways of back ends: entries, what changed from one roster to the next, and the versions that
// tell rosters apart. It has no I/O, lock or clock.
package roster

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/payload"
)

// Version tells rosters apart. Versions of one term are ordered by their count; each leader counts anew.
type Version struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// Entry is a back end as gateways see it.
type Entry struct {
	catalog.Instance
	Versions map[string]uint64 `json:"versions,omitempty"` // weights by model
	Loading  bool              `json:"loading,omitempty"`  // weights are being replaced: nothing new may be sent
	Silent   bool              `json:"silent,omitempty"`   // no heartbeat came for a while
	ColdLeft time.Duration     `json:"cold_left_ns,omitempty"`
}

// Publication is a weights version of a model that was named lately. A list of them rises by version; each one has its own
// time, since a back end that lacks several is late by the oldest of them.
type Publication struct {
	Model   string        `json:"model"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"` // since it was named, as far as whoever tells it knows
}

// equivalent compares what gateways decide by. The time that a back end is still cold passes by itself.
func (e Entry) equivalent(other Entry) bool {
	return e.Instance == other.Instance && e.Loading == other.Loading && e.Silent == other.Silent && maps.Equal(e.Versions, other.Versions) &&
		(e.ColdLeft > 0) == (other.ColdLeft > 0)
}

// Update is what somebody lacks of the roster.
type Update struct {
	Full    bool     `json:"whole,omitempty"`   // Entries are all there are; else those that are new or changed
	Entries []Entry  `json:"entries,omitempty"` // rising by id
	Removed []string `json:"gone,omitempty"`    // ids that are no longer in the roster, rising; empty with Whole

	shared *payload.Shared // the same as JSON, where many are told it; or nil
}

// MarshalJSON encodes the news, once for all who lack the same.
func (n *Update) MarshalJSON() ([]byte, error) {
	if n.shared != nil {
		return n.shared.MarshalJSON()
	}
	type plain Update
	return json.Marshal((*plain)(n))
}

// Shared returns the news as JSON that many messages share, or nil where they aren't told to many.
func (n *Update) Shared() *payload.Shared { return n.shared }

// encodeShared encodes the news for many.
func (n *Update) encodeShared() *Update {
	if shared, err := payload.NewShared(n); err == nil {
		n.shared = shared // else whoever tells it meets the error
	}
	return n
}

// Merge returns the roster that follows from the one that was held, rising by id.
func (n *Update) Merge(held []Entry) []Entry {
	if n.Full {
		return n.Entries
	}
	merged := map[string]Entry{}
	for _, e := range held {
		merged[e.ID] = e
	}
	for _, id := range n.Removed {
		delete(merged, id)
	}
	for _, e := range n.Entries {
		merged[e.ID] = e
	}
	entries := make([]Entry, 0, len(merged))
	for _, id := range slices.Sorted(maps.Keys(merged)) {
		entries = append(entries, merged[id])
	}
	return entries
}

const (
	// publishIntervalPerGateway and longestTelling bound how often a changed roster is told: a telling takes who tells it this long for each gateway, so
	// that many changes at once don't cost it more.
	publishIntervalPerGateway = time.Millisecond
	maxPublishInterval        = 250 * time.Millisecond
)

// PublishInterval returns the least time between two tellings to so many gateways.
func PublishInterval(gateways int) time.Duration {
	return min(publishIntervalPerGateway*time.Duration(gateways), maxPublishInterval)
}
