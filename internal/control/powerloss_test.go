package control

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

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
	var stored Identity
	if found, err := storage.ReadJSON(storage.OperatingSystem, path, &stored); err != nil || !found || stored != identity {
		t.Errorf("the identity file, which earlier builds need, holds %v (%t, %v), want %v", stored, found, err, identity)
	}
}
