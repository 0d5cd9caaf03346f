package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/level"
	"kitetiller/internal/storage"
)

// TestCompressedCommandsDecodeToTheSame guards against entries and snapshots that a level leaves unreadable, and against
// compression before all members can read it.
func TestCompressedCommandsDecodeToTheSame(t *testing.T) {
	command := Command{UnixMS: 7, Catalog: &catalog.Command{Replace: largeDocument(3, 1400)}}
	plain, compressed := encodeCommand(level.Announced, command), encodeCommand(level.Compressed, command)
	if plain[0] != '{' || len(compressed)*8 > len(plain) {
		t.Fatalf("%d bytes at level %d, %d at level %d, want plain JSON and an eighth of it", len(plain), level.Announced, len(compressed), level.Compressed)
	}
	if decoded := decodeCommand(compressed); !reflect.DeepEqual(decoded, decodeCommand(plain)) {
		t.Fatalf("the compressed command decodes to another one: %+v", decoded)
	}
	if size := applySize(consensus.Entry{Data: compressed}); size != len(plain) {
		t.Fatalf("applying costs %d bytes, want %d", size, len(plain))
	}
	machine := NewMachine(guard.Set{})
	machine.catalog.Apply(*command.Catalog)
	machine.level = level.Compressed
	restored := NewMachine(guard.Set{})
	if err := restored.Restore(machine.Snapshot()); err != nil || !reflect.DeepEqual(restored.catalog.Document(), machine.catalog.Document()) {
		t.Fatalf("the compressed snapshot restores another document: %v", err)
	}
}

// TestRestartDecodesNoLongEntries guards against a start that takes as long as applying the log.
func TestRestartDecodesNoLongEntries(t *testing.T) {
	long := consensus.Entry{Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "{%*s", maxLevelCommandBytes, "not decodable")}
	raise := consensus.Entry{Kind: consensus.EntryCommand, Data: encodeCommand(level.Compressed, Command{UnixMS: testWallStart, Level: 3})}
	if highest := NewMachine(guard.Set{}).highestLevel([]consensus.Entry{long, raise}); highest != 3 {
		t.Fatalf("highest level %d, want 3", highest)
	}
}

// TestRaisedLevelRaisesTheLogFormat guards against builds without levels that start on a folder with records that they can't
// read. The format rises with the level, also if the process ended in between.
func TestRaisedLevelRaisesTheLogFormat(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	if format := s.disk.log.Format(); format != storage.FirstFormat {
		t.Fatalf("format %d before the level is raised, want %d", format, storage.FirstFormat)
	}
	s.advance(4 * time.Second)
	if format := s.disk.log.Format(); s.replica.machine.level != level.Current || format != storage.LatestFormat {
		t.Fatalf("format %d at level %d, want %d", format, s.replica.machine.level, storage.LatestFormat)
	}
	joining := openSingleReplica(t, t.TempDir())
	joining.replica.installSnapshot(joining.now, consensus.Snapshot{Meta: s.replica.snapshot.Meta, Data: s.replica.machine.Snapshot()})
	if joining.work(); joining.disk.log.Format() != storage.LatestFormat {
		t.Fatalf("format %d after a snapshot of level %d, want %d", joining.disk.log.Format(), level.Compressed, storage.LatestFormat)
	}
	replica, err := NewReplica(s.replica.config, Checkpoint{
		HardState: s.replica.hardState, Snapshot: consensus.Snapshot{Meta: s.replica.snapshot.Meta, Data: s.replica.machine.Snapshot()}, Format: storage.FirstFormat,
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if persist := replica.Prepare(); persist.Checkpoint == nil || persist.Checkpoint.Format != storage.LatestFormat {
		t.Fatalf("a replica of level %d on an older format writes %+v, want a checkpoint of the new format", level.Compressed, persist)
	}
}
