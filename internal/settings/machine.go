package settings

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/guard"
)

const (
	// maxHistory bounds the accepted changes kept for the history and for EditsSince.
	maxHistory = 500
	// maxOutcomes bounds the stored outcomes, which are returned when a change is resent.
	maxOutcomes = 20_000
)

// Change is an operator's request to edit the tree. Its edits are applied atomically.
type Change struct {
	Base        uint64 `json:"base"`         // version of the tree that the edits are based on
	OperationID string `json:"operation_id"` // identifies the change; the same for every resend
	Author      string `json:"author,omitempty"`
	Edits       []Edit `json:"edits"`
}

// OutcomeKind is the result of a change.
type OutcomeKind string

// Kinds of outcome.
const (
	OutcomeAccepted          OutcomeKind = "accepted"
	OutcomeConflict          OutcomeKind = "conflict"            // the tree is at another version
	OutcomeInvalid           OutcomeKind = "invalid"             // the edits or the resulting tree are invalid
	OutcomeOperationIDReused OutcomeKind = "operation-id-reused" // a change with other content has used the operation ID
)

// Outcome is the response to a change. A resent change gets the stored outcome of the first attempt.
type Outcome struct {
	Kind             OutcomeKind  `json:"kind"`
	Version          uint64       `json:"version"` // new version if accepted, else the current one
	Problems         []Problem    `json:"problems,omitempty"`
	ChangesSinceBase []Difference `json:"differing,omitempty"` // on a conflict: changes since the base version that the history still holds
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Version     uint64 `json:"version"`
	OperationID string `json:"operation_id"`
	Author      string `json:"author,omitempty"`
	UnixMS      int64  `json:"unix_ms"`
	Edits       []Edit `json:"edits"`
}

// storedOutcome is the outcome of an operation ID and a digest of the change it was used for.
type storedOutcome struct {
	OperationID string  `json:"id"`
	Digest      uint64  `json:"digest"`
	Outcome     Outcome `json:"outcome"`
}

// Machine is the replicated state machine of the settings tree. Versions start at 0 and increase by one with each
// accepted change.
type Machine struct {
	Guards          guard.Set `json:"-"`
	state           machineState
	outcomeIndexes  map[string]int // by operation ID: index into state.Outcomes, plus droppedOutcomes
	droppedOutcomes int            // outcomes evicted since outcomeIndexes was built
}

type machineState struct {
	Version  uint64          `json:"version"`
	Tree     Tree            `json:"tree"`
	History  []HistoryEntry  `json:"history"`
	Outcomes []storedOutcome `json:"outcomes"`
}

// NewMachine returns a machine with an empty tree at version 0.
func NewMachine() *Machine {
	return &Machine{state: machineState{Tree: NewTree()}, outcomeIndexes: map[string]int{}}
}

// Version returns the current version.
func (m *Machine) Version() uint64 { return m.state.Version }

// Tree returns the current tree; callers must not modify it.
func (m *Machine) Tree() Tree { return m.state.Tree }

// History returns the most recent accepted changes, oldest first.
func (m *Machine) History() []HistoryEntry { return m.state.History }

// Apply validates and applies a change from the replicated log. It is deterministic, so that all replicas reach the
// same outcome.
func (m *Machine) Apply(change Change, unixMS int64) Outcome {
	digest := changeDigest(change)
	if index, seen := m.outcomeIndexes[change.OperationID]; seen && m.Guards.On(guard.OperationCheck) {
		first := m.state.Outcomes[index-m.droppedOutcomes]
		if first.Digest != digest {
			return Outcome{Kind: OutcomeOperationIDReused, Version: m.state.Version}
		}
		return first.Outcome
	}
	outcome := m.applyNew(change, unixMS)
	m.storeOutcome(storedOutcome{OperationID: change.OperationID, Digest: digest, Outcome: outcome})
	return outcome
}

// applyNew applies a change whose operation ID has not been seen before.
func (m *Machine) applyNew(change Change, unixMS int64) Outcome {
	if change.OperationID == "" {
		return Outcome{Kind: OutcomeInvalid, Version: m.state.Version, Problems: []Problem{{Path: "/", Message: "operation_id is missing"}}}
	}
	if change.Base != m.state.Version && m.Guards.On(guard.VersionCheck) {
		return Outcome{Kind: OutcomeConflict, Version: m.state.Version, ChangesSinceBase: m.changedSince(change.Base)}
	}
	next, problems := m.state.Tree.Apply(change.Edits)
	if len(problems) > 0 {
		return Outcome{Kind: OutcomeInvalid, Version: m.state.Version, Problems: problems}
	}
	m.state.Tree = next
	m.state.Version++
	m.state.History = append(m.state.History, HistoryEntry{
		Version: m.state.Version, OperationID: change.OperationID, Author: change.Author, UnixMS: unixMS, Edits: change.Edits,
	})
	if len(m.state.History) > maxHistory {
		m.state.History = slices.Clone(m.state.History[len(m.state.History)-maxHistory:])
	}
	return Outcome{Kind: OutcomeAccepted, Version: m.state.Version}
}

// changedSince returns the edits accepted after a version, as far as the history reaches back.
func (m *Machine) changedSince(base uint64) []Difference {
	var differences []Difference
	for _, entry := range m.state.History {
		if entry.Version <= base {
			continue
		}
		for _, edit := range entry.Edits {
			differences = append(differences, Difference{Path: edit.Path, Setting: edit.Setting, After: edit.Value})
		}
	}
	return differences
}

// EditsSince returns the edits that lead from a version to the current one, or false if the history does not reach
// back to it and the whole tree must be sent.
func (m *Machine) EditsSince(base uint64) ([]Edit, bool) {
	if base == m.state.Version {
		return nil, true
	}
	if len(m.state.History) == 0 || base+1 < m.state.History[0].Version || base > m.state.Version {
		return nil, false
	}
	var edits []Edit
	for _, entry := range m.state.History {
		if entry.Version > base {
			edits = append(edits, entry.Edits...)
		}
	}
	return edits, true
}

// storeOutcome records an outcome and evicts the oldest one when there are more than maxOutcomes.
func (m *Machine) storeOutcome(stored storedOutcome) {
	if stored.OperationID == "" {
		return
	}
	m.outcomeIndexes[stored.OperationID] = m.droppedOutcomes + len(m.state.Outcomes)
	m.state.Outcomes = append(m.state.Outcomes, stored)
	if len(m.state.Outcomes) <= maxOutcomes {
		return
	}
	oldest := m.state.Outcomes[0]
	delete(m.outcomeIndexes, oldest.OperationID)
	m.state.Outcomes = m.state.Outcomes[1:]
	m.droppedOutcomes++
}

// changeDigest hashes the content of a change, to detect an operation ID that is reused for another change.
func changeDigest(change Change) uint64 {
	data, err := json.Marshal(change)
	if err != nil {
		panic("settings: encode change: " + err.Error())
	}
	return xxhash.Sum64(data)
}

// MarshalJSON encodes the whole state for a snapshot.
func (m *Machine) MarshalJSON() ([]byte, error) { return json.Marshal(m.state) }

// UnmarshalJSON restores a state encoded by MarshalJSON.
func (m *Machine) UnmarshalJSON(data []byte) error {
	var state machineState
	if err := json.Unmarshal(data, &state); err != nil {
		return err
	}
	m.state = state
	m.droppedOutcomes = 0
	m.outcomeIndexes = make(map[string]int, len(state.Outcomes))
	for i, stored := range state.Outcomes {
		m.outcomeIndexes[stored.OperationID] = i
	}
	return nil
}
