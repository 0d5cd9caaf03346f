package soak

import (
	"context"
	"os"
	"slices"
	"strconv"
	"time"
)

// syncDelaySuffix follows the path of a data folder in the path of the file with the delay of its syncs.
const syncDelaySuffix = ".sync-delay"

// SyncDelayFile returns the path of the file with the delay of the syncs of a data folder, in milliseconds.
func SyncDelayFile(dataDir string) string { return dataDir + syncDelaySuffix }

// slowSyncs makes the syncs of control processes slow: of Disks processes from the target on, or of all if that is 0, also on
// machines that take the place of others meanwhile. Two faults at a time must not strike the same processes.
func (f *Fleet) slowSyncs(ctx context.Context, fault Fault, duration time.Duration) {
	first := fault.Target % len(f.Control)
	slowed := append(slices.Clone(f.Control[first:]), f.Control[:first]...)
	if fault.Disks > 0 {
		slowed = slowed[:min(fault.Disks, len(slowed))]
	} else {
		f.allSyncsMS.Store(fault.SyncMS)
	}
	for _, p := range slowed {
		delaySyncs(p.Folder(), fault.SyncMS)
	}
	Sleep(ctx, duration)
	if fault.Disks == 0 {
		f.allSyncsMS.Store(0)
	}
	for _, p := range slowed {
		_ = os.Remove(SyncDelayFile(p.Folder()))
	}
}

// delaySyncs delays the syncs of a data folder. Without the file, the plan is undisturbed.
func delaySyncs(dataDir string, delayMS int64) {
	_ = os.WriteFile(SyncDelayFile(dataDir), []byte(strconv.FormatInt(delayMS, 10)), 0o600)
}

// inheritSlowSyncs delays the syncs of a machine that takes the place of another while those of all are slow.
func (f *Fleet) inheritSlowSyncs(p *Process) {
	if delay := f.allSyncsMS.Load(); delay > 0 {
		delaySyncs(p.Folder(), delay)
	}
}
