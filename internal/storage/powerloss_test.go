package storage_test

import (
	"io/fs"
	"math/rand/v2"
	"os"
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

// TestOlderSegmentsThatComeBackArePassedOver guards against a log that a loss of power takes back to an older state, since it brought
// back any of the segments whose removal was not synced.
func TestOlderSegmentsThatComeBackArePassedOver(t *testing.T) {
	folder := t.TempDir()
	log, _ := open(t, storage.OperatingSystem, folder)
	var older []string
	for _, state := range []string{"1", "2", "3", "newest"} {
		appendSynced(t, log, "after "+state)
		paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
		if err != nil || len(paths) != 1 {
			t.Fatalf("segments %v, %v, want one", paths, err)
		}
		if err := os.Link(paths[0], paths[0]+".kept"); err != nil {
			t.Fatal(err)
		}
		older = append(older, paths[0])
		if err := checkpoint(log, state); err != nil {
			t.Fatal(err)
		}
	}
	_ = log.Close()
	var kept [][]byte
	for _, path := range older {
		data, err := os.ReadFile(path + ".kept")
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, data)
		if err := os.Remove(path + ".kept"); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"newest"}
	for returned := range 1 << len(older) {
		for i, path := range older {
			if returned&(1<<i) != 0 {
				if err := os.WriteFile(path, kept[i], 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		log, held := open(t, storage.OperatingSystem, folder)
		if !slices.Equal(held, want) {
			t.Fatalf("read back %q with older segments %04b, want %q", held, returned, want)
		}
		appendSynced(t, log, "x")
		want = append(want, "x")
		_ = log.Close()
		if paths, _ := filepath.Glob(filepath.Join(folder, "*.log")); len(paths) != 1 {
			t.Fatalf("segments %v after the log was opened, want the newest alone", paths)
		}
	}
}

// TestLossOfPowerKeepsWhatWasAcknowledged lets the power fail between appends and checkpoints, and the sync of a folder fail. Each
// name that was not synced fares by itself.
func TestLossOfPowerKeepsWhatWasAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, err := os.MkdirTemp("", "log")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(root)
		folder := filepath.Join(root, "data", "log")
		files := &interruptible{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) // names change on other goroutines, where rapid can't draw
		newProcess := func() {
			files.FileSystem = unsynced.NewLosingNames(func() bool { return random.IntN(2) == 0 })
		}
		newProcess()
		log, _ := open(t, files, folder)
		var durable []string
		count := 0
		reopen := func(allowed ...[]string) {
			files.fails = false
			if rapid.Bool().Draw(t, "loses power") {
				newProcess()
			} else {
				_ = log.Close()
			}
			var held []string
			log, held = open(t, files, folder)
			if !slices.ContainsFunc(allowed, func(texts []string) bool { return slices.Equal(texts, held) }) {
				t.Fatalf("read back %q, want one of %q", held, allowed)
			}
			durable = held
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				count++
				text := string(rune('a' + count%26))
				appendSynced(t, log, text)
				durable = append(durable, text)
			},
			"checkpoint": func(t *rapid.T) {
				files.fails = rapid.Bool().Draw(t, "interrupted")
				count++
				state := "state" + string(rune('a'+count%26))
				if err := checkpoint(log, state); err != nil {
					reopen(durable, []string{state})
					return
				}
				durable = []string{state}
			},
			"restart": func(*rapid.T) { reopen(durable) },
		})
		_ = log.Close()
	})
}
