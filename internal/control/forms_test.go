package control

import (
	"encoding/json"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/lab/forms"
	"kitetiller/internal/ledger"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/settings"
)

// TestEncodedMessagesMatchGoldenFiles guards against incompatible changes of what replicas store, send and receive.
func TestEncodedMessagesMatchGoldenFiles(t *testing.T) {
	forms.Check[Request](t, "request")
	forms.Check[Response](t, "response")
	forms.Check[raftBatch](t, "raft-batch")
	forms.Check[HelloReply](t, "hello")
	forms.Check[Command](t, "command")
	forms.Check[Identity](t, "identity")
	forms.Check[consensus.Entry](t, "entry")
	forms.Check[consensus.HardState](t, "hard-state")
	forms.Check[consensus.Snapshot](t, "snapshot")
	forms.Check[consensus.Membership](t, "membership")
}

// machineState encodes a Machine as its snapshot.
type machineState struct{ machine *Machine }

// MarshalJSON returns a snapshot of the machine.
func (s *machineState) MarshalJSON() ([]byte, error) { return s.machine.Snapshot(), nil }

// UnmarshalJSON restores the machine from a snapshot.
func (s *machineState) UnmarshalJSON(data []byte) error {
	s.machine = NewMachine(guard.Set{})
	return s.machine.Restore(data)
}

// TestSnapshotMatchesGoldenFile guards against incompatible changes of snapshots, with a state that has data of every
// kind.
func TestSnapshotMatchesGoldenFile(t *testing.T) {
	machine := NewMachine(guard.Set{})
	holder := ledger.Holder{Router: "r1", Epoch: 1}
	key := ledger.Key{Tenant: "north", Service: "small", Key: "k1"}
	instance := func(id string) catalog.Instance {
		return catalog.Instance{ID: id, Service: "engine", Address: id + ":80", Zone: "z1", Slots: 4, State: catalog.StateReady}
	}
	for i, command := range []Command{
		{OpenSession: &Session{Router: "r1", Incarnation: 1, Zone: "z1", Address: "10.0.0.9:80"}},
		{Change: &settings.Change{OperationID: "o1", Author: "lea", Edits: []settings.Edit{{Path: "/", Setting: "queue_limit", Value: json.RawMessage("7")}}}},
		{Claim: &ledger.Claim{Key: key, Digest: 5, ClaimID: "c1", Holder: holder, RetentionMS: time.Hour.Milliseconds()}},
		{End: &ledger.End{Key: key, ClaimID: "c1", Kind: ledger.EndFinished, Response: &ledger.Response{Status: 200, ContentType: "text/plain", Body: []byte("ok")}}},
		{Order: &Order{Engine: "e1", Incarnation: 2, Weights: "w1"}},
	} {
		command.UnixMS = testWallStart
		machine.Apply(uint64(i+1), 1, command)
	}
	for i, command := range []catalog.Command{
		{Replace: &catalog.Document{Revision: 3, Services: []catalog.Service{{Name: "engine", Engine: true}}, Source: json.RawMessage("{}")}},
		{Register: ptr(instance("i-1"))}, {RegisterBatch: []catalog.Instance{instance("i-2"), instance("i-3")}},
		{Drain: "i-2"}, {Deregister: "i-3"},
		{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}, {Fence: true},
		{Loaded: []catalog.LoadedWeights{{Instance: "i-1", WeightsVersion: catalog.WeightsVersion{Model: "m", Version: 1}}}},
		{WeightsOrderTargets: []string{"i-1"}}, {ReplaceGateways: []string{"g1", "g2"}}, {MaxHashWeights: map[string]uint64{"engine": 9}},
		{Quarantine: &quarantine.Change{Seed: make([]byte, quarantine.SeedBytes), Crashes: []quarantine.Crash{{Incarnation: "i-1", Requests: []quarantine.Fingerprint{{1}}}}}},
	} {
		command.UnixMS = testWallStart + int64(i)
		machine.catalog.Apply(command)
	}
	forms.CheckValue(t, "state", &machineState{machine})
}

func ptr[T any](value T) *T { return &value }
