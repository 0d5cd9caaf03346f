package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/level"
)

// groupMember is a member of a mixedGroup.
type groupMember struct {
	id          consensus.ID
	level       level.Level
	replica     *Replica // nil while it is stopped
	disk        Checkpoint
	partitioned bool
}

// mixedGroup is an in-memory group whose members may run builds of different levels.
type mixedGroup struct {
	t       rapid.TB
	now     time.Duration
	members []*groupMember
	random  *rand.Rand
}

func newMixedGroup(t rapid.TB, levels ...level.Level) *mixedGroup {
	m := &mixedGroup{t: t, random: rand.New(rand.NewPCG(1, 1))}
	var membership consensus.Membership
	for i := range levels {
		id := consensus.ID(fmt.Sprint("c", i))
		membership.Members = append(membership.Members, consensus.Member{ID: id, Name: string(id), Address: string(id)})
	}
	for i, l := range levels {
		disk := Checkpoint{HardState: consensus.HardState{Term: 1}}
		disk.Snapshot = consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1, Membership: membership}, Data: NewMachine(guard.Set{}).Snapshot()}
		b := &groupMember{id: membership.Members[i].ID, level: l, disk: disk}
		m.members = append(m.members, b)
		m.start(b)
	}
	return m
}

// start starts a member from its disk. A build that is too old must refuse to start and leave the disk unchanged.
func (m *mixedGroup) start(b *groupMember) {
	config := singleReplicaConfig(b.id)
	config.Replicas, config.Level, config.SnapshotEvery, config.Random = len(m.members), b.level, 5, m.random.Int64N
	before := b.disk
	restored := b.disk
	restored.Entries = slices.Clone(restored.Entries)
	replica, err := NewReplica(config, restored, m.now)
	if err != nil {
		if !errors.Is(err, level.ErrTooOld) || !reflect.DeepEqual(before, b.disk) {
			m.t.Fatalf("starting %s with level %d: %v", b.id, b.level, err)
		}
		return
	}
	b.replica = replica
}

// advance moves the clock forward and delivers messages.
func (m *mixedGroup) advance(length time.Duration) {
	for end := m.now + length; m.now < end; m.now += 20 * time.Millisecond {
		var sent []consensus.Message
		for _, b := range m.members {
			if b.replica != nil {
				b.replica.Tick(m.now, m.now.Milliseconds())
				sent = append(sent, m.work(b)...)
			}
		}
		for len(sent) > 0 {
			message := sent[0]
			sent = append(sent[1:], m.deliver(message)...)
		}
	}
}

func (m *mixedGroup) work(b *groupMember) (sent []consensus.Message) {
	for b.replica.HasWork() {
		if err := b.disk.Apply(b.replica.Prepare()); err != nil {
			m.t.Fatal(err)
		}
		sent = append(sent, b.replica.Advance(m.now).Messages...)
	}
	m.checkMember(b)
	return sent
}

func (m *mixedGroup) deliver(message consensus.Message) []consensus.Message {
	from, to := m.member(message.From), m.member(message.To)
	if to == nil || to.replica == nil || from.partitioned || to.partitioned {
		return nil
	}
	entries, snapshot := len(to.disk.Entries), to.disk.Snapshot.Meta.Index
	to.replica.Step(m.now, message)
	if to.replica.Err() != nil && (len(to.disk.Entries) != entries || to.disk.Snapshot.Meta.Index != snapshot) {
		m.t.Fatalf("%s stopped only after it had stored data of an unsupported level", to.id)
	}
	return m.work(to)
}

func (m *mixedGroup) member(id consensus.ID) *groupMember {
	for _, b := range m.members {
		if b.id == id {
			return b
		}
	}
	return nil
}

// checkMember removes a replica that has stopped, and fails the test if a running one holds state of an unsupported
// level.
func (m *mixedGroup) checkMember(b *groupMember) {
	if err := b.replica.Err(); err != nil {
		if !errors.Is(err, level.ErrTooOld) {
			m.t.Fatal(err)
		}
		b.replica = nil
		return
	}
	if held := b.replica.Machine().Level(); held > b.level {
		m.t.Fatalf("%s supports level %d but runs with state of level %d", b.id, b.level, held)
	}
}

// inForce returns the highest level in force at a running member.
func (m *mixedGroup) inForce() (highest level.Level) {
	for _, b := range m.members {
		if b.replica != nil {
			highest = max(highest, b.replica.Machine().Level())
		}
	}
	return highest
}

// TestLevelRisesOnlyWhenAllMembersSupportIt guards against a level that a member with an older build, or one that is
// stopped or has just started, may not support.
func TestLevelRisesOnlyWhenAllMembersSupportIt(t *testing.T) {
	m := newMixedGroup(t, 1, 2, 2)
	m.advance(20 * time.Second)
	if got := m.inForce(); got != 1 {
		t.Fatalf("level in force with builds of levels 1, 2 and 2: got %d, want 1", got)
	}
	m.members[0].replica, m.members[0].level = nil, 2
	m.advance(20 * time.Second)
	if got := m.inForce(); got != 1 {
		t.Fatalf("level in force while one of three members is stopped: got %d, want 1", got)
	}
	m.start(m.members[0])
	m.advance(levelStablePeriod / 2)
	m.members[0].replica = nil
	m.advance(20 * time.Second)
	if got := m.inForce(); got != 1 {
		t.Fatalf("level in force after a member announced level 2 only briefly: got %d, want 1", got)
	}
	m.start(m.members[0])
	m.advance(20 * time.Second)
	if got := m.inForce(); got != 2 {
		t.Fatalf("level in force with all builds of level 2: got %d, want 2", got)
	}
}

// TestReplicaStopsAtEntryOfUnsupportedLevel guards against a replica that applies, or restarts from, an entry that its
// build does not support.
func TestReplicaStopsAtEntryOfUnsupportedLevel(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.replica.propose(s.now, 0, Command{Level: level.Current + 1})
	s.work()
	if err := s.replica.Err(); !errors.Is(err, level.ErrTooOld) {
		t.Fatalf("replica stopped with error %v, want ErrTooOld", err)
	}
	if s.replica.Handle(s.now, 1, Request{Status: &StatusRequest{}}); s.replica.HasWork() {
		t.Fatal("stopped replica still handles requests")
	}
	disk, _, restored, err := OpenDisk(s.folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	before := listFolder(t, s.folder)
	if _, err := NewReplica(singleReplicaConfig(s.replica.config.ID), restored, 0); !errors.Is(err, level.ErrTooOld) {
		t.Fatalf("restart: error %v, want ErrTooOld", err)
	}
	if after := listFolder(t, s.folder); after != before {
		t.Fatalf("contents of the data folder changed from %s to %s", before, after)
	}
}

// TestOutdatedBuildLeavesStateUnchanged guards against an outdated build that modifies its disk, when started on state
// of a newer build or after the level rose while it was stopped.
func TestOutdatedBuildLeavesStateUnchanged(t *testing.T) {
	m := newMixedGroup(t, 2, 2, 2)
	outdatedDisk := m.members[0].disk
	outdatedDisk.Entries = slices.Clone(outdatedDisk.Entries)
	m.advance(20 * time.Second)
	outdated := m.members[0]
	for _, disk := range []Checkpoint{outdated.disk, outdatedDisk} {
		outdated.level, outdated.disk, outdated.replica = 1, disk, nil
		m.start(outdated)
		m.advance(2 * time.Second)
		if outdated.replica != nil || !reflect.DeepEqual(outdated.disk, disk) {
			t.Fatalf("outdated build: running %t, %d entries on disk, %d before", outdated.replica != nil, len(outdated.disk.Entries), len(disk.Entries))
		}
	}
	outdated.level = 2
	m.start(outdated)
	m.advance(2 * time.Second)
	if outdated.replica == nil || outdated.replica.Machine().Level() != 2 {
		t.Fatal("member does not reach level 2 after it was restarted with the newer build")
	}
}

// TestLevelsUnderRandomBuildChanges stops, partitions and replaces members at random. No build may run with state of an
// unsupported level, and a level that all members support must come into force.
func TestLevelsUnderRandomBuildChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMixedGroup(t, 1, 1, 1)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			b := m.members[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.SampledFrom([]string{"replace", "cut", "heal", "end"}).Draw(t, "what") {
			case "replace":
				b.replica, b.level = nil, rapid.SampledFrom([]level.Level{1, 2, 3}).Draw(t, "build")
				m.start(b)
			case "cut":
				b.partitioned = true
			case "heal":
				b.partitioned = false
			case "end":
				b.replica = nil
			}
			m.advance(time.Duration(rapid.IntRange(20, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		for _, b := range m.members {
			b.partitioned, b.level, b.replica = false, 3, nil
			m.start(b)
		}
		m.advance(20 * time.Second)
		for _, b := range m.members {
			if b.replica == nil || b.replica.Machine().Level() != 3 {
				t.Fatalf("%s did not reach level 3", b.id)
			}
		}
	})
}
