package storage_test

import (
	"io/fs"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kitetiller/internal/storage"
	"kitetiller/internal/storage/unsynced"
)

func always() bool { return true }

// interruptible is a file system in which the syncs of folders can be made to fail, as if the process had been killed in one.
type interruptible struct {
	*unsynced.FileSystem
	fails bool
}

func (f *interruptible) SyncDir(path string) error {
	if f.fails {
		return &fs.PathError{Op: "sync", Path: path, Err: fs.ErrClosed}
	}
	return f.FileSystem.SyncDir(path)
}

// appendSynced adds records to a log, each with a sync of its own.
func appendSynced(t rapid.TB, log *storage.Log, texts ...string) {
	t.Helper()
	for _, text := range texts {
		log.Append(record(text))
		if err := log.Sync(); err != nil {
			t.Fatal(err)
		}
	}
}

// checkpoint replaces the records of a log by one.
func checkpoint(log *storage.Log, text string) error {
	return log.Checkpoint(storage.FirstFormat, slices.Values([]storage.Record{record(text)}))
}

// TestSegmentOfAnInterruptedCheckpointLasts guards against a log that goes on with a segment whose name was never synced, since the
// process that renamed it was killed before. A loss of power would take it with all that was appended.
func TestSegmentOfAnInterruptedCheckpointLasts(t *testing.T) {
	files, folder := &interruptible{FileSystem: unsynced.NewLosingNames(always)}, filepath.Join(t.TempDir(), "log")
	log, _ := open(t, files, folder)
	appendSynced(t, log, "a")
	files.fails = true
	if err := checkpoint(log, "state"); err == nil {
		t.Fatal("the checkpoint was not interrupted")
	}
	files.fails = false
	_ = log.Close()
	log, held := open(t, files, folder)
	if !slices.Equal(held, []string{"state"}) {
		t.Fatalf("read back %q, want the state", held)
	}
	appendSynced(t, log, "b")
	if _, held := open(t, unsynced.NewLosingNames(always), folder); !slices.Equal(held, []string{"state", "b"}) {
		t.Fatalf("read back %q after a loss of power, want state and b", held)
	}
}
