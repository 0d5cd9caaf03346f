package control

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
	"kitetiller/internal/storage/faulty"
)

// openOnLimitedDisk opens a group of one whose log may take limit bytes. A write beyond them fails the test.
func openOnLimitedDisk(t *testing.T, limit int64) (*singleReplica, *faulty.FileSystem) {
	t.Helper()
	files, folder := faulty.New(limit), t.TempDir()
	disk, identity, state := foundGroup(t, files, folder)
	config := singleReplicaConfig(identity.ID)
	config.DiskLimit = limit
	replica, err := NewReplica(config, state, 0)
	if err != nil {
		t.Fatal(err)
	}
	s := &singleReplica{t: t, folder: folder, disk: disk, replica: replica, replies: map[uint64]Response{}}
	s.advance(7 * time.Second) // until the level is raised
	return s, files
}

// foundGroup writes the state of a group of one to an empty folder.
func foundGroup(t *testing.T, files *faulty.FileSystem, folder string) (*Disk, Identity, Checkpoint) {
	t.Helper()
	disk, identity, _, err := openDiskOn(files, folder, "c1", nil)
	if err != nil {
		t.Fatal(err)
	}
	state := BootstrapState(consensus.Member{ID: identity.ID, Name: "c1", Address: "a"})
	if _, err := disk.Write(Persist{Checkpoint: &state}); err != nil {
		t.Fatal(err)
	}
	return disk, identity, state
}

// incompressibleDocument returns a document whose source has the given size in the log.
func incompressibleDocument(revision uint64, bytes int) *catalog.Document {
	random := rand.New(rand.NewPCG(revision, 1))
	var source strings.Builder
	source.WriteByte('"')
	for range bytes {
		source.WriteByte(byte('a' + random.IntN(26)))
	}
	source.WriteByte('"')
	return &catalog.Document{Revision: revision, Source: []byte(source.String())}
}

// TestChangesThatDoNotFitAreRejected guards against a log that grows until the disk is full. A change that never fits is told
// from one for which there is no room now, what was acknowledged is kept, and smaller changes go on.
func TestChangesThatDoNotFitAreRejected(t *testing.T) {
	const limit = 4 << 20
	s, files := openOnLimitedDisk(t, limit)
	acknowledged, busy := uint64(0), 0
	replace := func(document *catalog.Document) ResponseKind {
		reply := s.ask(Request{Catalog: &catalog.Command{Replace: document}})
		switch reply.Kind {
		case ResponseOK:
			acknowledged = document.Revision
		case ResponseBusy:
			busy++
			if reply.RetryAfter == 0 || reply.Detail == "" {
				t.Fatalf("reply %+v without a reason or a time to retry", reply)
			}
		case ResponseTooLarge:
			if reply.Detail == "" {
				t.Fatalf("reply %+v without a reason", reply)
			}
		default:
			t.Fatalf("revision %d: reply %+v", document.Revision, reply)
		}
		s.advance(50 * time.Millisecond)
		return reply.Kind
	}
	for revision := uint64(1); revision <= 60; revision++ {
		size := 200 << 10
		if revision%10 == 0 {
			size = 3 << 20
		}
		kind := replace(incompressibleDocument(revision, size))
		if (kind == ResponseTooLarge) != (revision%10 == 0) {
			t.Fatalf("revision %d of %d bytes: reply %s", revision, size, kind)
		}
	}
	if held := s.replica.Machine().Catalog().Document().Revision; held != acknowledged || acknowledged < 55 {
		t.Fatalf("revision %d is in force, %d was acknowledged, want at least 55", held, acknowledged)
	}
	if peak := files.Peak(); peak > limit {
		t.Fatalf("the folder held %d bytes, the limit is %d", peak, limit)
	}
}

// TestFullFolderOfAnEarlierBuildIsLeft guards against a folder that an earlier build has filled up to the limit and that no
// later one can use: it has room for small records only, until a checkpoint replaces the log.
func TestFullFolderOfAnEarlierBuildIsLeft(t *testing.T) {
	const limit = 8 << 20
	files, folder := faulty.New(0), t.TempDir()
	disk, identity, _ := foundGroup(t, files, folder)
	revision := uint64(0)
	for disk.Size() < limit-200<<10 {
		revision++
		data := encodeCommand(level.Announced, Command{Catalog: &catalog.Command{Replace: largeDocument(revision, 100)}})
		if _, err := disk.Write(Persist{Entries: []consensus.Entry{{Index: 1 + revision, Term: 1, Data: data}}}); err != nil {
			t.Fatal(err)
		}
	}
	_ = disk.Close()
	files.SetLimit(limit)
	disk, _, restored, err := openDiskOn(files, folder, "c1", nil)
	if err != nil {
		t.Fatal(err)
	}
	config := singleReplicaConfig(identity.ID)
	config.DiskLimit = limit
	replica, err := NewReplica(config, restored, 0)
	if err != nil {
		t.Fatal(err)
	}
	replica.ObserveStorage(disk.Size())
	s := &singleReplica{t: t, folder: folder, disk: disk, replica: replica, replies: map[uint64]Response{}}
	s.advance(3 * time.Second)
	if held := s.replica.Machine().Catalog().Document().Revision; held != revision {
		t.Fatalf("revision %d is in force, %d was stored", held, revision)
	}
	if reply := s.ask(Request{Catalog: &catalog.Command{Replace: largeDocument(revision+1, 100)}}); reply.Kind != ResponseOK {
		t.Fatalf("reply %+v, want ok", reply)
	}
	if held := disk.Size(); held > limit/4 {
		t.Fatalf("the log still takes %d bytes", held)
	}
}

// TestUnsyncedChangesAreBounded guards against a leader whose memory fills up with changes that a majority has committed
// while its own disk stalls.
func TestUnsyncedChangesAreBounded(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	const limit = 4 << 20
	s.changeConfig(func(config *Config) { config.DiskLimit = limit })
	s.replica.Handle(s.now, 1, Request{Catalog: &catalog.Command{Replace: largeDocument(1, 400)}})
	s.replica.Prepare() // the write does not end
	for revision := uint64(2); revision <= 40; revision++ {
		s.replica.Handle(s.now, revision, Request{Catalog: &catalog.Command{Replace: largeDocument(revision, 400)}})
		if held := s.replica.Node().UnsyncedBytes(); held > limit/4 {
			t.Fatalf("%d bytes wait for the disk, whose limit is %d", held, limit)
		}
	}
	if replies := s.replica.Release(s.now).Replies; len(replies) == 0 || replies[0].Response.Kind != ResponseBusy {
		t.Fatalf("replies %+v, want busy", replies)
	}
}

// TestUncommittedChangesAreBounded guards against a leader whose memory fills up with changes that no follower
// acknowledges.
func TestUncommittedChangesAreBounded(t *testing.T) {
	m := newMixedGroup(t, level.Current, level.Current, level.Current)
	m.advance(10 * time.Second)
	at := slices.IndexFunc(m.members, func(b *groupMember) bool { return b.replica.leader != nil })
	if at < 0 {
		t.Fatal("no leader")
	}
	leader := m.members[at]
	accepted := 0
	for revision := uint64(1); revision <= 40; revision++ {
		leader.replica.Handle(m.now, revision, Request{Catalog: &catalog.Command{Replace: incompressibleDocument(revision, 1<<20)}})
		if held := leader.replica.Node().UncommittedBytes(); held > maxUncommittedBytes {
			t.Fatalf("%d bytes are uncommitted, the limit is %d", held, maxUncommittedBytes)
		}
	}
	for _, reply := range leader.replica.effects.Replies {
		if reply.Response.Kind != ResponseBusy {
			t.Fatalf("reply %+v, want busy", reply.Response)
		}
		accepted++
	}
	if accepted == 0 || accepted == 40 {
		t.Fatalf("%d of 40 changes were rejected", accepted)
	}
}

// TestLearnerFarBehindInBytesIsNotPromoted guards against commits that wait for a new voter that lacks few, but large
// entries.
func TestLearnerFarBehindInBytesIsNotPromoted(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.changeConfig(func(config *Config) { config.SnapshotEvery = 1 << 20 })
	s.ask(Request{Catalog: &catalog.Command{Replace: incompressibleDocument(1, 10)}})
	match := s.replica.Node().LastIndex()
	s.ask(Request{Catalog: &catalog.Command{Replace: incompressibleDocument(2, 10)}})
	if !s.replica.hasCaughtUp(match) {
		t.Fatal("a learner that lacks one small entry is not promoted")
	}
	s.ask(Request{Catalog: &catalog.Command{Replace: incompressibleDocument(3, maxLearnerLagBytes)}})
	if s.replica.hasCaughtUp(match) {
		t.Fatal("a learner that lacks a large entry is promoted")
	}
	if !s.replica.hasCaughtUp(s.replica.Node().Commit()) {
		t.Fatal("a learner that has all committed entries is not promoted")
	}
}

// TestJoiningReplicaGetsANewSnapshot guards against a replica that has lost its disk and has to apply a long log before it
// can replace its predecessor.
func TestJoiningReplicaGetsANewSnapshot(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.changeConfig(func(config *Config) { config.SnapshotEvery = 1 << 20 })
	for revision := uint64(1); revision <= 4; revision++ {
		s.ask(Request{Catalog: &catalog.Command{Replace: incompressibleDocument(revision, joinSnapshotCost/3)}})
	}
	s.ask(Request{Join: &consensus.Member{ID: "c2", Name: "c2", Address: "b"}})
	if behind := s.replica.Applied() - s.replica.snapshot.Meta.Index; behind > 1 {
		t.Fatalf("the snapshot lacks %d of %d entries after a replica has joined", behind, s.replica.Applied())
	}
}
