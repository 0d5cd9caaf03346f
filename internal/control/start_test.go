package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
)

// registerBackends registers count back ends in one cycle, in batches as other replicas forward them, and returns the
// number of log entries used.
func registerBackends(s *singleReplica, count int) uint64 {
	before := s.replica.Node().LastIndex()
	const batchSize = 50
	for first := 0; first < count; first += batchSize {
		var batch []BackendHeartbeat
		for i := first; i < min(first+batchSize, count); i++ {
			batch = append(batch, heartbeatOf(fmt.Sprintf("b-%05d", i), catalog.StateReady, 1))
		}
		s.replica.Handle(s.now, uint64(100_000+first), Request{BackendHeartbeats: batch})
	}
	s.work()
	return s.replica.Node().LastIndex() - before
}

// TestConcurrentRegistrationsShareOneEntry guards against a number of log entries that grows with the fleet at start.
func TestConcurrentRegistrationsShareOneEntry(t *testing.T) {
	for _, count := range []int{500, 1000} {
		s := openWithEngines(t)
		s.changeConfig(func(config *Config) { config.SnapshotEvery = 1 << 20 })
		if entries := registerBackends(s, count); entries != 1 {
			t.Fatalf("registration of %d back ends used %d entries, want 1", count, entries)
		}
		if held := len(s.replica.Machine().Catalog().Instances()); held != count+2 {
			t.Fatalf("registered back ends: got %d, want %d", held, count+2)
		}
		for first := 0; first < count; first += 50 {
			if reply := s.replies[uint64(100_000+first)]; reply.Kind != ResponseOK {
				t.Fatalf("batch from back end %d: reply %+v, want ok", first, reply)
			}
		}
	}
}

// TestRegisterAndLeaveInOneBatchKeepOrder guards against back ends that stay registered although they register and leave
// in the same batch.
func TestRegisterAndLeaveInOneBatchKeepOrder(t *testing.T) {
	s := openWithEngines(t)
	s.replica.Handle(s.now, 7000, Request{BackendHeartbeats: []BackendHeartbeat{
		heartbeatOf("i-8", catalog.StateReady, 1), {Instance: catalog.Instance{ID: "i-8"}, Leaving: true}, heartbeatOf("i-9", catalog.StateReady, 1),
		heartbeatOf("i-9", catalog.StateDraining, 2),
	}})
	s.work()
	instances := s.replica.Machine().Catalog().Instances()
	if _, known := instances["i-8"]; known || instances["i-9"].State != catalog.StateDraining || s.replies[7000].Kind != ResponseOK {
		t.Fatalf("instances %+v, want no i-8 and i-9 draining; reply %+v", instances, s.replies[7000])
	}
}

// TestPendingRegistrationsAreAnsweredOnLeadershipLoss guards against clients that wait for an entry that was never
// appended.
func TestPendingRegistrationsAreAnsweredOnLeadershipLoss(t *testing.T) {
	s := openWithEngines(t)
	s.replica.Handle(s.now, 7000, Request{BackendHeartbeats: []BackendHeartbeat{heartbeatOf("i-8", catalog.StateReady, 1)}})
	s.replica.leader.term = 0 // simulates the start of another term
	s.replica.checkLeadership(s.now)
	s.work()
	if reply := s.replies[7000]; reply.Kind != ResponseNotLeader {
		t.Fatalf("reply %+v, want not-leader", reply)
	}
}

// countSnapshots returns the number and total size of the snapshots taken while count back ends register one by one.
func countSnapshots(s *singleReplica, count int) (snapshots, bytes int) {
	last := s.replica.snapshot.Meta.Index
	for i := range count {
		s.replica.Handle(s.now, 0, Request{BackendHeartbeats: []BackendHeartbeat{heartbeatOf(fmt.Sprintf("b-%05d", i), catalog.StateReady, 1)}})
		s.work()
		if index := s.replica.snapshot.Meta.Index; index != last {
			last, snapshots, bytes = index, snapshots+1, bytes+len(s.replica.snapshot.Data)
		}
	}
	return snapshots, bytes
}

// TestSnapshotBytesGrowLinearlyWithRegistrations guards against snapshots taken every fixed number of entries, whose
// total size grows with the square of the fleet.
func TestSnapshotBytesGrowLinearlyWithRegistrations(t *testing.T) {
	written := func(count int) int {
		_, bytes := countSnapshots(openWithEngines(t), count)
		return bytes
	}
	half, whole := written(1000), written(2000)
	if whole > 3*half {
		t.Fatalf("snapshots of 1,000 back ends took %d bytes, those of 2,000 took %d, want at most three times as much", half, whole)
	}
}

// TestLogKeepsEntriesBeforeNewestSnapshot guards against followers that need a full snapshot although they lack only the
// newest entries.
func TestLogKeepsEntriesBeforeNewestSnapshot(t *testing.T) {
	s := openWithEngines(t)
	snapshots, _ := countSnapshots(s, 400)
	if snapshots < 2 {
		t.Fatalf("%d snapshots, want at least 2", snapshots)
	}
	if held := s.replica.node.EntriesAfter(s.replica.snapshot.Meta.Index - 1); len(held) == 0 {
		t.Fatalf("log has no entry before the snapshot at index %d", s.replica.snapshot.Meta.Index)
	}
	s.advance(time.Second)
}

// TestWatchIsHeldUntilGroupIsFormed guards against gateways that retry as fast as an incomplete group rejects them:
// watches are held for their hold time.
func TestWatchIsHeldUntilGroupIsFormed(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.changeConfig(func(config *Config) { config.Replicas = 3 })
	const holding, immediate = 1000, 1001
	s.replica.Handle(s.now, holding, Request{Watch: &Watch{Gateway: "g1", Hold: 400 * time.Millisecond}})
	s.replica.Handle(s.now, immediate, Request{Watch: &Watch{Gateway: "g2"}})
	s.work()
	if _, answered := s.replies[holding]; answered || s.replies[immediate].Kind != ResponseNotFormed {
		t.Fatalf("replies %+v, want only not-formed for the watch without hold time", s.replies)
	}
	s.advance(500 * time.Millisecond)
	if reply := s.replies[holding]; reply.Kind != ResponseNotFormed {
		t.Fatalf("reply %+v", reply)
	}
}

// TestWatchesAwaitingLeaderAreRelayed guards against a surge at a new leader: watches held during an election are
// answered by the replica that holds them.
func TestWatchesAwaitingLeaderAreRelayed(t *testing.T) {
	membership := consensus.Membership{Members: []consensus.Member{{ID: "c1", Name: "c1", Address: "a"}, {ID: "c2", Name: "c2", Address: "b"}}}
	machine := NewMachine(guard.Set{})
	machine.catalog.Apply(catalog.Command{AddGateways: []string{"g1"}})
	meta := consensus.SnapshotMeta{Index: 1, Term: 1, Membership: membership}
	r, err := NewReplica(singleReplicaConfig("c1"), Checkpoint{HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Meta: meta, Data: machine.Snapshot()}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(0, 7, Request{Watch: &Watch{Gateway: "g1", Hold: time.Second}})
	if len(r.awaitingLeader) != 1 {
		t.Fatal("watch is not held while there is no leader")
	}
	r.Step(0, consensus.Message{Kind: consensus.MessageAppend, From: "c2", To: "c1", Term: 2, Index: 1, LogTerm: 1})
	r.Tick(0, 0)
	if replies := r.effects.Replies; len(replies) > 0 {
		t.Fatalf("watch was answered instead of relayed: %+v", replies)
	}
	if calls := r.effects.RelayCalls; len(calls) == 0 || calls[len(calls)-1].Address != "b" {
		t.Fatalf("relay calls %+v, want one to leader b", calls)
	}
}
