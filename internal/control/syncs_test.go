package control

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/storage"
	"kitetiller/internal/storage/slow"
)

// syncsInARow returns how many syncs of files and folders an action waits for, those beside each other counted once.
func syncsInARow(action func()) int {
	began := time.Now()
	action()
	return int(time.Since(began) / time.Second)
}

// slowFiles returns a file system in which each sync takes a second of virtual time.
func slowFiles() storage.FileSystem {
	return slow.New(storage.OperatingSystem, func() time.Duration { return time.Second })
}

// openedOn opens a data folder in a file system.
func openedOn(t *testing.T, files storage.FileSystem, folder string) (*Disk, Identity, Checkpoint) {
	t.Helper()
	disk, identity, restored, err := openDiskOn(files, folder, "c1", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = disk.Close() })
	return disk, identity, restored
}

// written writes to a disk.
func written(t *testing.T, disk *Disk, persist Persist) {
	t.Helper()
	if _, err := disk.Write(persist); err != nil {
		t.Fatal(err)
	}
}

// firstSnapshot is what a replica without state writes when it receives a snapshot.
func firstSnapshot(identity Identity) Persist {
	state := BootstrapState(consensus.Member{ID: identity.ID, Name: identity.Name, Address: "a"})
	state.HardState.Term = 3
	return Persist{Checkpoint: &state}
}

// TestSyncsInARow guards against a replica that needs many syncs in a row before it has anything durable.
func TestSyncsInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		files, folder := slowFiles(), filepath.Join(t.TempDir(), "data")
		var disk *Disk
		var identity Identity
		opened := syncsInARow(func() { disk, identity, _ = openedOn(t, files, folder) })
		created := syncsInARow(func() {
			if err := disk.Create(); err != nil {
				t.Fatal(err)
			}
		})
		snapshot := syncsInARow(func() { written(t, disk, firstSnapshot(identity)) })
		checkpoint := syncsInARow(func() { written(t, disk, firstSnapshot(identity)) })
		if opened > 0 {
			t.Errorf("a replica with an empty folder waits for %d syncs in a row before it can join", opened)
		}
		if created > 2 || snapshot > 2 {
			t.Errorf("a replica that joins waits for %d syncs in a row for its identity and %d for its first snapshot, want 2 each: the files, then the folders", created, snapshot)
		}
		if checkpoint > 2 {
			t.Errorf("a checkpoint waits for %d syncs in a row, want 2: its file, then the folder", checkpoint)
		}
		t.Logf("opening an empty folder %d, creating it %d, a snapshot %d, a later checkpoint %d", opened, created, snapshot, checkpoint)
	})
}
