package sim

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kitetiller/internal/ledger"
	"kitetiller/internal/settings"
)

const (
	linearSeeds  = 12
	linearWithin = 60 * time.Second // a check that exceeds it is undecided and fails the test
)

// settingsState models the settings tree: its version and the first outcome of each operation ID.
type settingsState struct {
	version  uint64
	outcomes map[string]settings.Outcome
}

// settingsModel is the sequential specification of settings changes and reads.
func settingsModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return settingsState{outcomes: map[string]settings.Outcome{}} },
		Step: func(held, input, output any) (bool, any) {
			state, asked, got := held.(settingsState), input.(*Operation), output.(*Operation)
			if asked.Change == nil {
				return !got.Answered || got.Read == nil || got.Read.Version == state.version, state
			}
			next, outcome := state.apply(*asked.Change)
			matches := !got.Answered || (got.Outcome != nil && got.Outcome.Kind == outcome.Kind && got.Outcome.Version == outcome.Version)
			return matches, next
		},
		Equal: func(a, b any) bool {
			left, right := a.(settingsState), b.(settingsState)
			return left.version == right.version && maps.EqualFunc(left.outcomes, right.outcomes, sameOutcome)
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
}

func sameOutcome(a, b settings.Outcome) bool { return a.Kind == b.Kind && a.Version == b.Version }

// apply applies a change. A repeated operation ID returns the first outcome.
func (s settingsState) apply(change settings.Change) (settingsState, settings.Outcome) {
	if first, known := s.outcomes[change.OperationID]; known {
		return s, first
	}
	next := settingsState{version: s.version, outcomes: maps.Clone(s.outcomes)}
	outcome := settings.Outcome{Kind: settings.OutcomeConflict, Version: s.version}
	if change.Base == s.version {
		next.version++
		outcome = settings.Outcome{Kind: settings.OutcomeAccepted, Version: next.version}
	}
	next.outcomes[change.OperationID] = outcome
	return next, outcome
}

// keyState models one key of the run ledger.
type keyState struct {
	state     ledger.State // "" when the key is free
	claimID   string
	withdrawn string // released claim IDs, each enclosed in commas
}

// ledgerModel is the sequential specification of claims and ends of one key. It is nondeterministic, as a session
// may end at any time, which turns a running claim into an unknown one.
func ledgerModel() porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(held, input, output any) []any {
			state, asked, got := held.(keyState), input.(*Operation), output.(*Operation)
			var results []any
			for _, before := range state.afterSessionEnds() {
				if next, possible := before.step(asked, got); possible {
					results = append(results, next)
				}
			}
			return results
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

func (s keyState) afterSessionEnds() []keyState {
	if s.state != ledger.StateRunning {
		return []keyState{s}
	}
	ended := s
	ended.state = ledger.StateUnknown
	return []keyState{s, ended}
}

func (s keyState) step(asked, got *Operation) (keyState, bool) {
	if asked.End != nil {
		return s.end(*asked.End), true
	}
	next, kinds := s.claim(asked.Claim.ClaimID)
	if s.state == "" && got.Answered && got.Sends > 1 && got.Claimed != nil && got.Claimed.Kind == ledger.RunUnknown && kinds == ledger.Granted {
		next.state = ledger.StateUnknown // an earlier send was granted, its response lost, and the session ended before the last send
		return next, true
	}
	if !got.Answered || got.Claimed == nil {
		return next, true
	}
	if got.Claimed.Kind == ledger.SessionClosed && s.state == "" {
		return s, true // the session had ended, so nothing was claimed
	}
	return next, got.Claimed.Kind == kinds
}

func (s keyState) claim(id string) (keyState, ledger.OutcomeKind) {
	switch {
	case s.isWithdrawn(id):
		return s, ledger.Withdrawn
	case s.state == "":
		return keyState{state: ledger.StateRunning, claimID: id, withdrawn: s.withdrawn}, ledger.Granted
	case s.state == ledger.StateFinished:
		return s, ledger.Replayed
	case s.state == ledger.StateUnknown:
		return s, ledger.RunUnknown
	case s.claimID == id:
		return s, ledger.Granted
	}
	return s, ledger.InProgress
}

func (s keyState) isWithdrawn(id string) bool {
	return id != "" && strings.Contains(s.withdrawn, ","+id+",")
}

func (s keyState) end(end ledger.End) keyState {
	mine := s.state != "" && s.claimID == end.ClaimID
	switch end.Kind {
	case ledger.EndReleased:
		if !s.isWithdrawn(end.ClaimID) {
			s.withdrawn += "," + end.ClaimID + ","
		}
		if mine && s.state != ledger.StateFinished {
			return keyState{withdrawn: s.withdrawn}
		}
	case ledger.EndFinished:
		if mine {
			s.state = ledger.StateFinished
		}
	case ledger.EndUnknown:
		if mine && s.state != ledger.StateFinished {
			s.state = ledger.StateUnknown
		}
	}
	return s
}

// toPorcupine converts operations to Porcupine's type. An operation without a response never returns.
func toPorcupine(operations []*Operation) []porcupine.Operation {
	clients := map[string]int{}
	var list []porcupine.Operation
	for _, operation := range operations {
		if _, known := clients[operation.Client]; !known {
			clients[operation.Client] = len(clients)
		}
		returned := int64(math.MaxInt64)
		if operation.Answered {
			returned = int64(operation.Returned)
		}
		list = append(list, porcupine.Operation{ClientId: clients[operation.Client], Input: operation, Output: operation, Call: int64(operation.Called), Return: returned})
	}
	return list
}

// isSetting reports whether the operation is a settings change or an answered read.
func isSetting(operation *Operation) bool {
	return operation.Change != nil || (operation.Answered && operation.Read != nil)
}

func TestSettingsHistoriesAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= linearSeeds; seed++ {
		_, history := RunWithHistory(seed)
		var operations []*Operation
		for _, operation := range history.Operations {
			if isSetting(operation) {
				operations = append(operations, operation)
			}
		}
		if got := porcupine.CheckOperationsTimeout(settingsModel(), toPorcupine(operations), linearWithin); got != porcupine.Ok {
			t.Fatalf("seed %d: %d operations: %v", seed, len(operations), got)
		}
	}
}

func TestLedgerHistoriesAreLinearizable(t *testing.T) {
	nondeterministic := ledgerModel()
	model := nondeterministic.ToModel()
	for seed := uint64(1); seed <= linearSeeds; seed++ {
		_, history := RunWithHistory(seed)
		byKey := map[ledger.Key][]*Operation{}
		for _, operation := range history.Operations {
			switch {
			case operation.Claim != nil:
				byKey[operation.Claim.Key] = append(byKey[operation.Claim.Key], operation)
			case operation.End != nil:
				byKey[operation.End.Key] = append(byKey[operation.End.Key], operation)
			}
		}
		for key, operations := range byKey {
			if got := porcupine.CheckOperationsTimeout(model, toPorcupine(operations), linearWithin); got != porcupine.Ok {
				t.Fatalf("seed %d, key %v: %d operations: %v", seed, key, len(operations), got)
			}
		}
	}
}

// TestCheckersRejectInvalidHistory checks that a stale read makes the history not linearizable.
func TestCheckersRejectInvalidHistory(t *testing.T) {
	_, history := RunWithHistory(1)
	var reads []*Operation
	for _, operation := range history.Operations {
		if operation.Read != nil && operation.Read.Version > 0 {
			reads = append(reads, operation)
		}
	}
	last := reads[len(reads)-1]
	stale := *last.Read
	stale.Version--
	last.Read = &stale
	var operations []*Operation
	for _, operation := range history.Operations {
		if isSetting(operation) {
			operations = append(operations, operation)
		}
	}
	if got := porcupine.CheckOperationsTimeout(settingsModel(), toPorcupine(operations), linearWithin); got != porcupine.Illegal {
		t.Fatalf("history with a stale read: got %v, want Illegal", got)
	}
}
