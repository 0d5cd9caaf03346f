package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
)

// registerBackends has so many back ends register in one cycle, gathered by several replicas, and returns the entries that it took.
func registerBackends(s *singleReplica, count int) uint64 {
	before := s.replica.Node().LastIndex()
	const batchSize = 50
	for first := 0; first < count; first += batchSize {
		var batch []Beat
		for i := first; i < min(first+batchSize, count); i++ {
			batch = append(batch, beatOf(fmt.Sprintf("b-%05d", i), catalog.StateReady, 1))
		}
		s.replica.Handle(s.now, uint64(100_000+first), Request{Beats: batch})
	}
	s.work()
	return s.replica.Node().LastIndex() - before
}

// TestConcurrentRegistrationsShareOneEntry: what registers together is one entry, and all that wait for it are answered.
func TestConcurrentRegistrationsShareOneEntry(t *testing.T) {
	for _, count := range []int{500, 1000} {
		s := openFleet(t)
		s.config(func(config *Config) { config.SnapshotEvery = 1 << 20 })
		if entries := registerBackends(s, count); entries != 1 {
			t.Fatalf("%d back ends took %d entries", count, entries)
		}
		if held := len(s.replica.Machine().Catalog().Instances()); held != count+2 {
			t.Fatalf("%d back ends are registered, wanted %d", held, count+2)
		}
		for first := 0; first < count; first += 50 {
			if reply := s.replies[uint64(100_000+first)]; reply.Kind != ResponseOK {
				t.Fatalf("batch %d: %+v", first, reply)
			}
		}
	}
}

// TestRegisterAndLeaveInOneBatchKeepOrder: a life that registers and leaves in one cycle stays gone.
func TestRegisterAndLeaveInOneBatchKeepOrder(t *testing.T) {
	s := openFleet(t)
	s.replica.Handle(s.now, 7000, Request{Beats: []Beat{
		beatOf("i-8", catalog.StateReady, 1), {Instance: catalog.Instance{ID: "i-8"}, Leaves: true}, beatOf("i-9", catalog.StateReady, 1),
		beatOf("i-9", catalog.StateDraining, 2),
	}})
	s.work()
	instances := s.replica.Machine().Catalog().Instances()
	if _, known := instances["i-8"]; known || instances["i-9"].State != catalog.StateDraining || s.replies[7000].Kind != ResponseOK {
		t.Fatalf("instances %+v, reply %+v", instances, s.replies[7000])
	}
}

// TestPendingRegistrationsAreAnsweredOnLeadershipLoss: nobody waits for an entry that was never written.
func TestPendingRegistrationsAreAnsweredOnLeadershipLoss(t *testing.T) {
	s := openFleet(t)
	s.replica.Handle(s.now, 7000, Request{Beats: []Beat{beatOf("i-8", catalog.StateReady, 1)}})
	s.replica.leader.term = 0 // as if another term had begun
	s.replica.checkLeadership(s.now)
	s.work()
	if reply := s.replies[7000]; reply.Kind != ResponseNotLeader {
		t.Fatalf("reply %+v", reply)
	}
}

// countSnapshots counts the snapshots that a replica writes while so many back ends register one after the other.
func countSnapshots(s *singleReplica, count int) (snapshots, bytes int) {
	last := s.replica.snapshot.Meta.Index
	for i := range count {
		s.replica.Handle(s.now, 0, Request{Beats: []Beat{beatOf(fmt.Sprintf("b-%05d", i), catalog.StateReady, 1)}})
		s.work()
		if index := s.replica.snapshot.Meta.Index; index != last {
			last, snapshots, bytes = index, snapshots+1, bytes+len(s.replica.snapshot.Data)
		}
	}
	return snapshots, bytes
}

// TestSnapshotBytesGrowLinearlyWithRegistrations: a snapshot is written once the log has as many bytes as the last one, so that twice the
// back ends write some twice the bytes. One every so many entries wrote four times as many.
func TestSnapshotBytesGrowLinearlyWithRegistrations(t *testing.T) {
	written := func(count int) int {
		_, bytes := countSnapshots(openFleet(t), count)
		return bytes
	}
	half, whole := written(1000), written(2000)
	if whole > 3*half {
		t.Fatalf("%d bytes of snapshots for 1,000 back ends, %d for 2,000", half, whole)
	}
}

// TestLogKeepsEntriesBeforeNewestSnapshot: a replica that lacks the newest entries only gets these after a snapshot was written, not all of
// the state.
func TestLogKeepsEntriesBeforeNewestSnapshot(t *testing.T) {
	s := openFleet(t)
	snapshots, _ := countSnapshots(s, 400)
	if snapshots < 2 {
		t.Fatalf("%d snapshots", snapshots)
	}
	if held := s.replica.node.EntriesAfter(s.replica.snapshot.Meta.Index - 1); len(held) == 0 {
		t.Fatalf("the log holds nothing before the snapshot at %d", s.replica.snapshot.Meta.Index)
	}
	s.advance(time.Second)
}

// TestWatchIsHeldUntilGroupIsFormed: until it has its size, a gateway that can wait is held for its time and no longer, so that a whole fleet asks
// once in that time and not as fast as it is refused.
func TestWatchIsHeldUntilGroupIsFormed(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.config(func(config *Config) { config.Replicas = 3 })
	const holding, immediate = 1000, 1001
	s.replica.Handle(s.now, holding, Request{Watch: &Watch{Gateway: "g1", Hold: 400 * time.Millisecond}})
	s.replica.Handle(s.now, immediate, Request{Watch: &Watch{Gateway: "g2"}})
	s.work()
	if _, answered := s.replies[holding]; answered || s.replies[immediate].Kind != ResponseNotFormed {
		t.Fatalf("replies %+v", s.replies)
	}
	s.advance(500 * time.Millisecond)
	if reply := s.replies[holding]; reply.Kind != ResponseNotFormed {
		t.Fatalf("reply %+v", reply)
	}
}

// TestWatchesAwaitingLeaderAreRelayed: those that waited for a leader are answered by the replica that they came to once one leads; they
// don't all go to the leader at once.
func TestWatchesAwaitingLeaderAreRelayed(t *testing.T) {
	membership := consensus.Membership{Members: []consensus.Member{{ID: "c1", Name: "c1", Address: "a"}, {ID: "c2", Name: "c2", Address: "b"}}}
	machine := NewMachine(guard.Set{})
	machine.catalog.Apply(catalog.Command{Came: []string{"g1"}})
	meta := consensus.SnapshotMeta{Index: 1, Term: 1, Membership: membership}
	r, err := NewReplica(singleReplicaConfig("c1"), Checkpoint{HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Meta: meta, Data: machine.Snapshot()}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(0, 7, Request{Watch: &Watch{Gateway: "g1", Hold: time.Second}})
	if len(r.awaitingLeader) != 1 {
		t.Fatal("the question doesn't wait for a leader")
	}
	r.Step(0, consensus.Message{Kind: consensus.MessageAppend, From: "c2", To: "c1", Term: 2, Index: 1, LogTerm: 1})
	r.Tick(0, 0)
	if replies := r.effects.Replies; len(replies) > 0 {
		t.Fatalf("sent away: %+v", replies)
	}
	if calls := r.effects.RelayCalls; len(calls) == 0 || calls[len(calls)-1].Address != "b" {
		t.Fatalf("asked the leader %+v", calls)
	}
}
