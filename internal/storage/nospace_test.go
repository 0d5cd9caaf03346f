package storage_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kitetiller/internal/storage"
	"kitetiller/internal/storage/faulty"
)

const owner = "replica-1"

func record(text string) storage.Record { return storage.Record{Kind: 2, Data: []byte(text)} }

func open(t rapid.TB, files storage.FileSystem, folder string) (*storage.Log, []string) {
	t.Helper()
	var texts []string
	log, err := storage.OpenOn(files, folder, owner, func(r storage.Record) error {
		texts = append(texts, string(r.Data))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return log, texts
}

// TestNoSpaceLosesNoSyncedRecord lets any write, sync, creation or rename fail. A log that was opened again holds every
// synced record, at most followed by some that were written, and a checkpoint replaces all or nothing.
func TestNoSpaceLosesNoSyncedRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "log")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		files := faulty.New(0)
		log, _ := open(t, files, folder)
		var durable []string
		count := 0
		reopen := func(allowed ...[]string) {
			_ = log.Close()
			files.FailOperation(-1)
			var held []string
			log, held = open(t, files, folder)
			if !slices.ContainsFunc(allowed, func(texts []string) bool { return slices.Equal(texts, held) }) {
				t.Fatalf("read back %q, want one of %q", held, allowed)
			}
			durable = held
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				files.FailOperation(rapid.IntRange(-1, 3).Draw(t, "operations"))
				count++
				text := strings.Repeat("x", count%7) + string(rune('a'+count%26))
				log.Append(record(text))
				if err := log.Sync(); err != nil {
					reopen(durable, append(slices.Clone(durable), text))
					return
				}
				durable = append(durable, text)
			},
			"checkpoint": func(t *rapid.T) {
				files.FailOperation(rapid.IntRange(-1, 7).Draw(t, "operations"))
				count++
				state := "state" + string(rune('a'+count%26))
				err := log.Checkpoint(storage.FirstFormat, slices.Values([]storage.Record{record(state)}))
				switch {
				case err == nil:
					durable = []string{state}
				case !errors.Is(err, storage.ErrNotReplaced):
					reopen(durable, []string{state})
				}
			},
			"restart": func(*rapid.T) { reopen(durable) },
		})
		_ = log.Close()
	})
}

// TestFullDiskIsLeftByACheckpoint guards against a log that can't be opened, or leaves temporary files, on a full disk.
func TestFullDiskIsLeftByACheckpoint(t *testing.T) {
	const limit = 10_000
	folder, files := t.TempDir(), faulty.New(limit)
	log, _ := open(t, files, folder)
	var synced []string
	for text := strings.Repeat("x", 1000); ; {
		log.Append(record(text))
		if err := log.Sync(); err != nil {
			break
		}
		synced = append(synced, text)
	}
	_ = log.Close()
	log, held := open(t, files, folder)
	if !slices.Equal(held, synced) {
		t.Fatalf("%d records read back, %d were synced", len(held), len(synced))
	}
	state := strings.Repeat("s", limit)
	if err := log.Checkpoint(storage.FirstFormat, slices.Values([]storage.Record{record(state)})); !errors.Is(err, storage.ErrNotReplaced) {
		t.Fatalf("a checkpoint without room: error %v, want ErrNotReplaced", err)
	}
	if left, _ := filepath.Glob(filepath.Join(folder, "*.tmp")); len(left) > 0 {
		t.Fatalf("%v was left on a full disk", left)
	}
	if err := log.Checkpoint(storage.FirstFormat, slices.Values([]storage.Record{record("small")})); err != nil {
		t.Fatalf("a checkpoint that fits: %v", err)
	}
	log.Append(record("after"))
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	if _, held := open(t, files, folder); !slices.Equal(held, []string{"small", "after"}) {
		t.Fatalf("read back %q, want small and after", held)
	}
}

// TestTemporaryFilesAreRemovedAtTheStart guards against the rest of an interrupted checkpoint that takes space for good.
func TestTemporaryFilesAreRemovedAtTheStart(t *testing.T) {
	folder := t.TempDir()
	log, _ := open(t, storage.OperatingSystem, folder)
	_ = log.Close()
	left := filepath.Join(folder, "0000000000000002.log.tmp")
	if err := os.WriteFile(left, []byte("incomplete"), 0o600); err != nil {
		t.Fatal(err)
	}
	log, _ = open(t, storage.OperatingSystem, folder)
	_ = log.Close()
	if _, err := os.Stat(left); !os.IsNotExist(err) {
		t.Fatalf("the temporary file is still there: %v", err)
	}
}
