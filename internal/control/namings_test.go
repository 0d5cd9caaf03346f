package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
)

// publish names a version of model m, as an operator does.
func (s *singleReplica) publish(version uint64) {
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: version}}})
}

// reportedAges returns the ages that a gateway is reportedAges, by version.
func (s *singleReplica) reportedAges() map[uint64]time.Duration {
	s.t.Helper()
	reply := s.watchNow("g1", RosterVersion{})
	if reply == nil {
		s.t.Fatal("the gateway gets no answer")
	}
	ages := map[uint64]time.Duration{}
	for _, w := range reply.Publications {
		ages[w.Version] = w.Age
	}
	return ages
}

// wantAge fails unless a version is told to be of an age, give or take a step of the test's clock.
func (s *singleReplica) wantAge(version uint64, age time.Duration) {
	s.t.Helper()
	const step = 150 * time.Millisecond
	if told, known := s.reportedAges()[version]; !known || told < age-step || told > age+step {
		s.t.Fatalf("version %d is told to be %v old (known: %t), it is %v", version, told, known, age)
	}
}

// successor makes a replica with a clock of its own that leads next: it has a snapshot, and entries of the log after that.
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
	if err := disk.Write(Persist{Checkpoint: &restored}); err != nil {
		s.t.Fatal(err)
	}
	return &singleReplica{t: s.t, disk: disk, replica: replica, replies: map[uint64]Response{}, wallOffset: wallOffset}
}

// TestPublicationAgeSurvivesLeaderChange: the limit for old weights counts from when newer ones were named. Whoever leads tells gateways how
// long ago that was, and must not tell less than is true, or requests begin on old weights after the limit.
func TestPublicationAgeSurvivesLeaderChange(t *testing.T) {
	// A replica was ended and started again while old weights were still in use. It read its log back, took each naming to be as young
	// as the reading, and told gateways so once it led.
	t.Run("restart", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(2 * time.Second)
		s.wantAge(2, 2*time.Second)
		if err := s.disk.Close(); err != nil {
			t.Fatal(err)
		}
		again := reopenUnelected(t, s.folder)
		again.wallOffset = s.now + time.Second // it was away for a second
		again.advance(3 * time.Second)
		again.wantAge(2, 6*time.Second)
	})
	// A replica that had lost its disk got a snapshot a while after the naming, and led. It counted from its own start, or, with a long
	// life behind it, would have told any age.
	t.Run("snapshot", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(4 * time.Second)
		next := s.successor(s.replica.Machine().Snapshot(), nil, s.now)
		next.advance(3 * time.Second)
		next.wantAge(2, 7*time.Second)
	})
	// A replica that had run for minutes got one while it followed. What it had not applied itself counted from the start of its process.
	t.Run("snapshot in the middle of a life", func(t *testing.T) {
		s, other := openWithEngines(t), openWithEngines(t)
		s.publish(2)
		s.advance(4 * time.Second)
		other.advance(time.Minute)
		other.wallOffset = s.now - other.now
		other.replica.Tick(other.now, testWallStart+(other.wallOffset+other.now).Milliseconds())
		meta := consensus.SnapshotMeta{Index: other.replica.applied, Term: other.replica.appliedTerm}
		other.replica.installSnapshot(other.now, consensus.Snapshot{Meta: meta, Data: s.replica.Machine().Snapshot()})
		wanted := other.replica.wantedVersions(other.now)
		if len(wanted) != 1 || wanted[0].Age < 4*time.Second-100*time.Millisecond || wanted[0].Age > 4*time.Second+100*time.Millisecond {
			t.Fatalf("told %+v, it is 4s old", wanted)
		}
	})
	// A replica was cut off, or frozen, when the version was named. It applied the entry as soon as it heard the leader again, led a moment
	// later, and told gateways that the naming was as young as that.
	t.Run("cut off meanwhile", func(t *testing.T) {
		s := openWithEngines(t)
		before, applied := s.replica.Machine().Snapshot(), s.replica.applied
		s.publish(2)
		s.advance(5 * time.Second)
		late := s.successor(before, s.replica.Node().EntriesAfter(applied), s.now)
		late.advance(3 * time.Second)
		late.wantAge(2, 8*time.Second)
	})
	// Two versions were named before a snapshot was taken. A back end that lacks both is late by the older one, whose time the snapshot
	// had lost.
	t.Run("two before a snapshot", func(t *testing.T) {
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
	// A version was named again, by an operator whose answer was lost, or one below it. Nothing newer was wanted by that, so no limit moves.
	t.Run("named again", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(3)
		s.advance(2 * time.Second)
		s.publish(3)
		s.publish(2)
		s.advance(2 * time.Second)
		s.wantAge(3, 4*time.Second)
		if ages := s.reportedAges(); len(ages) != 1 {
			t.Fatalf("told %v", ages)
		}
	})
	// A replica's clock of the day was behind by more than the naming's age. What it had seen itself still bounds the age from below.
	t.Run("clock of the day behind", func(t *testing.T) {
		s := openWithEngines(t)
		s.publish(2)
		s.advance(time.Second)
		s.wallOffset -= time.Minute
		s.advance(2 * time.Second)
		s.wantAge(2, 3*time.Second)
	})
	// Snapshots of the release before tell no times. Namings of which no time is known are long past: nothing may begin on older weights.
	t.Run("snapshot of the release before", func(t *testing.T) {
		s := openWithEngines(t)
		machine := NewMachine(guard.Set{})
		if err := machine.Restore([]byte(`{"sessions":{},"orders":{},"now_ms":0,"peers_at":0,"catalog":{"document":{"revision":1},"instances":{},"tombstones":[],"versions":{"m":4},"fence":0}}`)); err != nil {
			t.Fatal(err)
		}
		next := s.successor(machine.Snapshot(), nil, s.now)
		next.advance(3 * time.Second)
		if age, known := next.reportedAges()[4]; !known || age < time.Hour {
			t.Fatalf("told to be %v old (known: %t)", age, known)
		}
	})
}
