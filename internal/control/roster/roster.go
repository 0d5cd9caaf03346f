// Package roster holds what the control plane sends to gateways about back ends: roster entries, updates from one
// roster to the next, and roster versions. It has no I/O, locks or clock.
package roster

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/payload"
)

// Version identifies a roster. Versions of one term are ordered by count. Every leader starts a new count.
type Version struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// Precedes reports whether a version is older than another.
func (v Version) Precedes(other Version) bool {
	return v.Term < other.Term || v.Term == other.Term && v.Count < other.Count
}

// Entry is the state of a back end as sent to gateways.
type Entry struct {
	catalog.Instance
	Versions map[string]uint64 `json:"versions,omitempty"` // weights versions by model
	Loading  bool              `json:"loading,omitempty"`  // weights are being replaced; no new requests may be sent to it
	Silent   bool              `json:"silent,omitempty"`   // heartbeats have stopped
	ColdLeft time.Duration     `json:"cold_left_ns,omitempty"`
	// SoftwareVersion is the version of the back end's software; "" if it is not known. SoftwareDisputed means that
	// heartbeats of the same incarnation named several.
	SoftwareVersion  string `json:"software,omitempty"`
	SoftwareDisputed bool   `json:"software_disputed,omitempty"`
}

// Publication is a recently published weights version of a model. Lists of publications are in ascending order of
// version. Each has its own age, since a back end that lacks several is outdated since the oldest of them.
type Publication struct {
	Model   string        `json:"model"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"` // since publication, as far as the sender knows
}

// equivalent reports whether two entries lead to the same decisions in gateways. ColdLeft counts only as zero or
// non-zero, since gateways count it down by themselves.
func (e Entry) equivalent(other Entry) bool {
	return e.Instance == other.Instance && e.Loading == other.Loading && e.Silent == other.Silent && maps.Equal(e.Versions, other.Versions) &&
		(e.ColdLeft > 0) == (other.ColdLeft > 0) && e.SoftwareVersion == other.SoftwareVersion && e.SoftwareDisputed == other.SoftwareDisputed
}

// Update holds the changes from one roster to another.
type Update struct {
	Full    bool     `json:"whole,omitempty"`   // Entries is the whole roster; otherwise it holds added and changed entries
	Entries []Entry  `json:"entries,omitempty"` // in ascending order of ID
	Removed []string `json:"gone,omitempty"`    // sorted IDs of removed entries; empty if Full is set

	shared *payload.SharedJSON // the update encoded as JSON for many recipients, or nil
}

// MarshalJSON returns the shared encoding if there is one.
func (u *Update) MarshalJSON() ([]byte, error) {
	if u.shared != nil {
		return u.shared.MarshalJSON()
	}
	type plain Update
	return json.Marshal((*plain)(u))
}

// Shared returns the encoding that many messages share, or nil.
func (u *Update) Shared() *payload.SharedJSON { return u.shared }

// encodeShared stores the shared encoding.
func (u *Update) encodeShared() *Update {
	if shared, err := payload.NewSharedJSON(u); err == nil {
		u.shared = shared // on failure, MarshalJSON reports the error
	}
	return u
}

// Merge returns the roster that results from applying the update to held, in ascending order of ID.
func (u *Update) Merge(held []Entry) []Entry {
	if u.Full {
		return u.Entries
	}
	merged := map[string]Entry{}
	for _, e := range held {
		merged[e.ID] = e
	}
	for _, id := range u.Removed {
		delete(merged, id)
	}
	for _, e := range u.Entries {
		merged[e.ID] = e
	}
	entries := make([]Entry, 0, len(merged))
	for _, id := range slices.Sorted(maps.Keys(merged)) {
		entries = append(entries, merged[id])
	}
	return entries
}

const (
	// publishIntervalPerGateway and maxPublishInterval limit how often a changed roster is published. The cost of
	// publishing grows with the number of gateways, and so does the interval.
	publishIntervalPerGateway = time.Millisecond
	maxPublishInterval        = 250 * time.Millisecond
)

// PublishInterval returns the minimum interval between two publications of the roster to a number of gateways.
func PublishInterval(gateways int) time.Duration {
	return min(publishIntervalPerGateway*time.Duration(gateways), maxPublishInterval)
}
