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

// slowSyncs makes the syncs of control processes slow: of Disks processes from the target on, or of all if that is 0.
func (f *Fleet) slowSyncs(ctx context.Context, fault Fault, duration time.Duration) {
	first := fault.Target % len(f.Control)
	slowed := append(slices.Clone(f.Control[first:]), f.Control[:first]...)
	if fault.Disks > 0 {
		slowed = slowed[:min(fault.Disks, len(slowed))]
	}
	var files []string
	for _, p := range slowed {
		files = append(files, SyncDelayFile(p.DataDir))
	}
	for _, path := range files {
		_ = os.WriteFile(path, []byte(strconv.FormatInt(fault.SyncMS, 10)), 0o600) // without it, the plan is undisturbed
	}
	Sleep(ctx, duration)
	for _, path := range files {
		_ = os.Remove(path)
	}
}
