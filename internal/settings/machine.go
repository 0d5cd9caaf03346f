package settings

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/guard"
)

const (
	// maxHistory bounds the accepted changes kept for config history and deltas.
	maxHistory = 500
	// maxOutcomes bounds the operation ids whose first outcome is remembered.
	maxOutcomes = 20_000
)

// Change is one operator's atomic request to edit the tree.
type Change struct {
	Base        uint64 `json:"base"`         // version the operator looked at
	OperationID string `json:"operation_id"` // the same for every resend of this change
	Author      string `json:"author,omitempty"`
	Edits       []Edit `json:"edits"`
}

// OutcomeKind tells what became of a change.
type OutcomeKind string

// Kinds of outcome.
const (
	OutcomeAccepted          OutcomeKind = "accepted"
	OutcomeConflict          OutcomeKind = "conflict"            // the tree is at another version
	OutcomeInvalid           OutcomeKind = "invalid"             // the edits or the resulting tree are wrong
	OutcomeOperationIDReused OutcomeKind = "operation-id-reused" // the operation id was used for another change
)

// Outcome is the answer to a change. A resend gets the stored first outcome.
type Outcome struct {
	Kind             OutcomeKind  `json:"kind"`
	Version          uint64       `json:"version"` // new version when accepted, else the current one
	Problems         []Problem    `json:"problems,omitempty"`
	ChangesSinceBase []Difference `json:"differing,omitempty"` // with a conflict: what changed since the base, if still known
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Version     uint64 `json:"version"`
	OperationID string `json:"operation_id"`
	Author      string `json:"author,omitempty"`
	UnixMS      int64  `json:"unix_ms"`
	Edits       []Edit `json:"edits"`
}

// storedOutcome remembers the outcome of an operation id and what it was used for.
type storedOutcome struct {
	OperationID string  `json:"id"`
	Digest      uint64  `json:"digest"`
	Outcome     Outcome `json:"outcome"`
}

// Machine is the replicated state of the tree. Versions start at 0 and only grow.
type Machine struct {
	Guards          guard.Set `json:"-"`
	state           machineState
	outcomeIndexes  map[string]int // index into state.Outcomes
	droppedOutcomes int            // outcomes dropped from the front since byID was built
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

// Tree returns the current tree; callers must not change it.
func (m *Machine) Tree() Tree { return m.state.Tree }

// History returns the newest accepted changes, oldest first.
func (m *Machine) History() []HistoryEntry { return m.state.History }

// Apply decides a change. It is deterministic: every replica gets the same outcome.
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

// changedSince lists the edits accepted after a version, as far as the history reaches.
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

// EditsSince returns the edits that lead from a version to the current one, or false when the history no
// longer reaches back and the whole tree must be sent.
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

// changeDigest identifies the content of a change, so that a reused operation id is noticed.
func changeDigest(change Change) uint64 {
	data, err := json.Marshal(change)
	if err != nil {
		panic("settings: change cannot be written: " + err.Error())
	}
	return xxhash.Sum64(data)
}

// MarshalJSON writes the whole state for a snapshot.
func (m *Machine) MarshalJSON() ([]byte, error) { return json.Marshal(m.state) }

// UnmarshalJSON restores a state written by MarshalJSON.
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
