package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a machine with fast syncs in place of one that is replaced while the syncs of all are slow, and against
// syncs that stay slow on it.
func TestNewMachineSyncsSlowlyWhileAllDo(t *testing.T) {
	folder := t.TempDir()
	p := &Process{Name: "control-0", DataDir: filepath.Join(folder, "control-0")}
	f := &Fleet{Control: []*Process{p}, Disks: NewDisks(1, time.Second)}
	f.Leader = func() int { return 0 }
	f.Replace = func(p *Process) { p.Move(nil, filepath.Join(folder, "control-1")) }
	p.Args = []string{"program that is not started"}
	ended := make(chan struct{})
	go func() {
		f.slowSyncs(t.Context(), Fault{SyncMS: 7}, 100*time.Millisecond)
		close(ended)
	}()
	for f.allSyncsMS.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.replace(t.Context(), Fault{}, 0)
	if delay, err := os.ReadFile(SyncDelayFile(p.Folder())); string(delay) != "7" {
		t.Errorf("delay %q, %v, want 7", delay, err)
	}
	<-ended
	if _, err := os.Stat(SyncDelayFile(p.Folder())); !os.IsNotExist(err) {
		t.Errorf("syncs are delayed after the fault: %v", err)
	}
}
