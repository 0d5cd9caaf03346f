package control

import (
	"path/filepath"
	"testing"

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
