package control

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"kitetiller/internal/consensus"
	"kitetiller/internal/node"
	"kitetiller/internal/storage"
	"kitetiller/internal/storage/unsynced"
)

// losingNames returns a file system that loses every name whose folder was not synced, and all contents that were not. One that is
// opened on the same folder afterwards sees what a loss of power leaves.
func losingNames() *unsynced.FileSystem {
	return unsynced.NewLosingNames(func() bool { return true })
}

// TestAcknowledgedStateOutlivesItsNewFolders guards against a folder that is gone after a loss of power with all it holds, since its
// parent was not synced after it was created.
func TestAcknowledgedStateOutlivesItsNewFolders(t *testing.T) {
	for _, path := range []string{".", "data", "made/for/control"} {
		folder := filepath.Join(t.TempDir(), path)
		disk, identity, _ := openedOn(t, losingNames(), folder)
		written(t, disk, firstSnapshot(identity))
		_, again, restored := openedOn(t, losingNames(), folder)
		if again != identity || restored.Snapshot.Meta.Index != 1 {
			t.Errorf("%s: after a loss of power the folder holds %v at index %d, want %v at 1", path, again, restored.Snapshot.Meta.Index, identity)
		}
	}
}

// storedFolder returns a data folder with a replica's first state, and its identity.
func storedFolder(t *testing.T) (folder string, identity Identity) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "data")
	disk, identity, _ := openedOn(t, storage.OperatingSystem, folder)
	written(t, disk, firstSnapshot(identity))
	_ = disk.Close()
	return folder, identity
}

// TestReplicaWithoutItsLogTakesANewIdentity guards against a replica that votes under the ID of one that had promised something: its
// log is gone and its identity file is still there.
func TestReplicaWithoutItsLogTakesANewIdentity(t *testing.T) {
	for name, lose := range map[string]func(log, segment string) error{
		"folder":            func(log, _ string) error { return os.RemoveAll(log) },
		"segment":           func(_, segment string) error { return os.Remove(segment) },
		"name of a segment": func(_, segment string) error { return os.Rename(segment, segment+".tmp") },
	} {
		folder, identity := storedFolder(t)
		log := filepath.Join(folder, logFolder)
		segments, err := filepath.Glob(filepath.Join(log, "*"))
		if err != nil || len(segments) != 1 {
			t.Fatalf("segments %v, %v, want one", segments, err)
		}
		if err := lose(log, segments[0]); err != nil {
			t.Fatal(err)
		}
		disk, next, restored := openedOn(t, storage.OperatingSystem, folder)
		if next.ID == identity.ID || next.Name != identity.Name || restored.Snapshot.Meta.Index != 0 {
			t.Errorf("lost %s: identity %v at index %d, want a new one at 0", name, next, restored.Snapshot.Meta.Index)
		}
		written(t, disk, firstSnapshot(next))
		_ = disk.Close()
		if _, again, restored := openedOn(t, storage.OperatingSystem, folder); again != next || restored.Snapshot.Meta.Index != 1 {
			t.Errorf("lost %s: %v at index %d after the next start, want %v at 1", name, again, restored.Snapshot.Meta.Index, next)
		}
	}
}

// TestLogWithoutIdentityFileNamesItsReplica guards against a replica that doesn't start on a whole log, since a loss of power in its
// first write kept that and not the identity file.
func TestLogWithoutIdentityFileNamesItsReplica(t *testing.T) {
	folder, identity := storedFolder(t)
	path := filepath.Join(folder, identityFile)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	before := listFolder(t, folder)
	for _, name := range []string{"c", "c1-1", "c2"} {
		if _, _, _, err := OpenDisk(folder, name); !errors.Is(err, storage.ErrForeign) {
			t.Errorf("opened as %s: error %v, want ErrForeign", name, err)
		}
	}
	if after := listFolder(t, folder); after != before {
		t.Errorf("contents of the data folder changed from %s to %s", before, after)
	}
	_, again, restored := openedOn(t, storage.OperatingSystem, folder)
	if again != identity || restored.Snapshot.Meta.Index != 1 {
		t.Errorf("opened as %v at index %d, want %v at 1", again, restored.Snapshot.Meta.Index, identity)
	}
	if err := storage.WriteJSON(storage.OperatingSystem, path, Identity{ID: "c1-000000000000", Name: "c1"}); err != nil {
		t.Fatal(err)
	}
	if _, again, restored = openedOn(t, storage.OperatingSystem, folder); again != identity || restored.Snapshot.Meta.Index != 1 {
		t.Errorf("beside the file of an earlier attempt: opened as %v at index %d, want %v at 1", again, restored.Snapshot.Meta.Index, identity)
	}
	var stored Identity
	if found, err := storage.ReadJSON(storage.OperatingSystem, path, &stored); err != nil || !found || stored != identity {
		t.Errorf("the identity file, which earlier builds need, holds %v (%t, %v), want %v", stored, found, err, identity)
	}
}

// unsyncable is a file system in which the sync of one folder fails.
type unsyncable struct {
	storage.FileSystem
	folder string // base name
}

func (f *unsyncable) SyncDir(path string) error {
	if filepath.Base(path) == f.folder {
		return &fs.PathError{Op: "sync", Path: path, Err: fs.ErrClosed}
	}
	return f.FileSystem.SyncDir(path)
}

// TestFirstWriteLastsAsAWhole guards against a first state of which a loss of power keeps a part. The identity, the log and their
// folders fare each by itself until all are synced; then all have to be there. The sync of any folder may fail before, and the write
// may be tried again on the same disk, as by a replica that creates a group.
func TestFirstWriteLastsAsAWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, err := os.MkdirTemp("", "first")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(root)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) // names change on other goroutines, where rapid can't draw
		folder, files := filepath.Join(root, "data"), &unsyncable{}
		open := func() (*Disk, Identity, uint64) {
			files.FileSystem = unsynced.NewLosingNames(func() bool { return random.IntN(2) == 0 })
			disk, identity, restored, err := openDiskOn(files, folder, "c1", nil)
			if err != nil {
				t.Fatalf("the folder can't be opened: %v", err)
			}
			return disk, identity, restored.Snapshot.Meta.Index
		}
		for {
			disk, identity, index := open()
			if index > 0 {
				return // the names were kept although a sync had failed
			}
			for range rapid.IntRange(1, 2).Draw(t, "tries") {
				files.folder = rapid.SampledFrom([]string{"", "data", logFolder, filepath.Base(root)}).Draw(t, "fails")
				_, err = disk.Write(firstWrite(t, identity))
				files.folder = ""
				if err != nil {
					continue
				}
				again, kept, index := open() // after a loss of power
				if kept != identity || again.IsEmpty() {
					t.Fatalf("%v, empty %t, index %d after a loss of power, want %v with its state", kept, again.IsEmpty(), index, identity)
				}
				return
			}
		}
	})
}

// firstWrite draws the first thing that a replica writes.
func firstWrite(t *rapid.T, identity Identity) Persist {
	if rapid.Bool().Draw(t, "vote") {
		return Persist{HardState: &consensus.HardState{Term: 3, Vote: identity.ID}}
	}
	return firstSnapshot(identity)
}

// TestOnlyAnUnusedIdentityIsUsedAgain guards against a disk that fails again and again before the first state and adds a member to
// the group each time, and against a replica that goes on under its ID after its folder was emptied.
func TestOnlyAnUnusedIdentityIsUsedAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	server, err := NewServer(t.Context(), &node.File{Name: "c1", DataDir: folder, Control: &node.Control{Founders: []string{"a"}, Replicas: 1, Heartbeat: time.Second}}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	restored := func() Identity {
		_ = server.disk.Close()
		if err := server.restore(); err != nil {
			t.Fatal(err)
		}
		return *server.identity.Load()
	}
	first := *server.identity.Load()
	if again := restored(); again != first {
		t.Errorf("identity %v after a failure before the first state, want %v", again, first)
	}
	written(t, server.disk, firstSnapshot(first))
	if again := restored(); again != first {
		t.Errorf("identity %v after a failure, want %v", again, first)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if next := restored(); next == first {
		t.Errorf("identity %v although its folder was emptied, want another", next)
	}
	_ = server.disk.Close()
}
