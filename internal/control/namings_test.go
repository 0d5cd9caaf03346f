package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
)

// publish publishes a weights version of model m.
func (s *singleReplica) publish(version uint64) {
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: version}}})
}

// reportedAges returns the ages of the published versions as reported to a gateway, by version.
func (s *singleReplica) reportedAges() map[uint64]time.Duration {
	s.t.Helper()
	reply := s.watchNow("g1", RosterVersion{})
	if reply == nil {
		s.t.Fatal("the gateway got no answer")
	}
	ages := map[uint64]time.Duration{}
	for _, w := range reply.Publications {
		ages[w.Version] = w.Age
	}
	return ages
}

// wantAge fails unless the reported age of a version is within one step of the test's clock of the given one.
func (s *singleReplica) wantAge(version uint64, age time.Duration) {
	s.t.Helper()
	const step = 150 * time.Millisecond
	if reported, found := s.reportedAges()[version]; !found || reported < age-step || reported > age+step {
		s.t.Fatalf("version %d: reported age %v (reported: %t), want %v", version, reported, found, age)
	}
}

// successor returns a replica with its own clock that leads next, restored from a snapshot and the log entries after
// it.
func (s *singleReplica) successor(data []byte, entries []consensus.Entry, wallOffset time.Duration) *singleReplica {
	s.t.Helper()
	self := consensus.Member{ID: "c2", Name: "c2", Address: "b"}
	first := s.replica.applied
	if len(entries) > 0 {
		first = entries[0].Index - 1
	}
	meta := consensus.SnapshotMeta{Index: first, Term: 1, Membership: consensus.Membership{Members: []consensus.Member{self}}}
	restored := Checkpoint{HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Meta: meta, Data: data}, Entries: entries}
	replica, err := NewReplica(singleReplicaConfig("c2"), restored, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	disk, _, _, err := OpenDisk(s.t.TempDir(), "c2")
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := disk.Write(Persist{Checkpoint: &restored}); err != nil {
		s.t.Fatal(err)
	}
	return &singleReplica{t: s.t, disk: disk, replica: replica, replies: map[uint64]Response{}, wallOffset: wallOffset}
}

// TestPublicationAgeSurvivesLeaderChange guards against a leader that reports too low an age of a published version:
// requests would then start on old weights after the limit.
func TestPublicationAgeSurvivesLeaderChange(t *testing.T) {
	// A replica that restarts and reads its log must not count the age from the time of reading.
	t.Run("restart", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(2 * time.Second)
		s.wantAge(2, 2*time.Second)
		if err := s.disk.Close(); err != nil {
			t.Fatal(err)
		}
		restarted := reopenUnelected(t, s.folder)
		restarted.wallOffset = s.now + time.Second // it was stopped for a second
		restarted.advance(3 * time.Second)
		restarted.wantAge(2, 6*time.Second)
	})
	// A replica that lost its disk and restored a snapshot must not count from its own start.
	t.Run("snapshot", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(4 * time.Second)
		next := s.successor(s.replica.Machine().Snapshot(), nil, s.now)
		next.advance(3 * time.Second)
		next.wantAge(2, 7*time.Second)
	})
	// A follower that has run for a while and installs a snapshot must not count from its own start.
	t.Run("snapshot while running", func(t *testing.T) {
		s, other := openWithEngines(t), openWithEngines(t)
		s.publish(2)
		s.advance(4 * time.Second)
		other.advance(time.Minute)
		other.wallOffset = s.now - other.now
		other.replica.Tick(other.now, testWallStart+(other.wallOffset+other.now).Milliseconds())
		meta := consensus.SnapshotMeta{Index: other.replica.applied, Term: other.replica.appliedTerm}
		other.replica.installSnapshot(other.now, consensus.Snapshot{Meta: meta, Data: s.replica.Machine().Snapshot()})
		publications := other.replica.weightsPublications(other.now)
		if len(publications) != 1 || publications[0].Age < 4*time.Second-100*time.Millisecond || publications[0].Age > 4*time.Second+100*time.Millisecond {
			t.Fatalf("publications %+v, want one of age 4s", publications)
		}
	})
	// A replica that was partitioned or paused during the publication must not count from the time of applying the entry.
	t.Run("partitioned during the publication", func(t *testing.T) {
		s := openWithEngines(t)
		before, applied := s.replica.Machine().Snapshot(), s.replica.applied
		s.publish(2)
		s.advance(5 * time.Second)
		partitioned := s.successor(before, s.replica.Node().EntriesAfter(applied), s.now)
		partitioned.advance(3 * time.Second)
		partitioned.wantAge(2, 8*time.Second)
	})
	// A snapshot keeps the time of every version: a back end that lacks two is outdated since the earlier publication.
	t.Run("two versions before a snapshot", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(4 * time.Second)
		s.publish(3)
		s.advance(time.Second)
		next := s.successor(s.replica.Machine().Snapshot(), nil, s.now)
		next.advance(3 * time.Second)
		next.wantAge(2, 8*time.Second)
		next.wantAge(3, 4*time.Second)
	})
	// Publishing the same version again, or a lower one, changes no age.
	t.Run("published again", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(3)
		s.advance(2 * time.Second)
		s.publish(3)
		s.publish(2)
		s.advance(2 * time.Second)
		s.wantAge(3, 4*time.Second)
		if ages := s.reportedAges(); len(ages) != 1 {
			t.Fatalf("reported ages %v, want only that of version 3", ages)
		}
	})
	// If the wall clock is behind by more than the age, the time since the replica applied the entry is a lower bound.
	t.Run("wall clock behind", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(time.Second)
		s.wallOffset -= time.Minute
		s.advance(2 * time.Second)
		s.wantAge(2, 3*time.Second)
	})
	// Snapshots of the previous release hold no publication times. Such versions count as published long ago.
	t.Run("snapshot of the previous release", func(t *testing.T) {
		s := openWithEngines(t)
		machine := NewMachine(guard.Set{})
		if err := machine.Restore([]byte(`{"sessions":{},"orders":{},"now_ms":0,"peers_at":0,"catalog":{"document":{"revision":1},"instances":{},"tombstones":[],"versions":{"m":4},"fence":0}}`)); err != nil {
			t.Fatal(err)
		}
		next := s.successor(machine.Snapshot(), nil, s.now)
		next.advance(3 * time.Second)
		if age, known := next.reportedAges()[4]; !known || age < time.Hour {
			t.Fatalf("reported age %v (reported: %t), want at least 1h", age, known)
		}
	})
}
