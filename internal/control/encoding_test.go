package control

import (
	"fmt"
	"reflect"
	"testing"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/level"
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
