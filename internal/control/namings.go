package control

import (
	"fmt"
	"slices"
	"time"
)

// namedVersion is a version and when it was applied here.
type namedVersion struct {
	version uint64
	at      time.Duration
}

// namingsKept bounds the versions of a model whose times are remembered.
const namingsKept = 32

// noteNaming remembers when a version was named.
func (r *Replica) noteNaming(now time.Duration, model string, version uint64) {
	namings := append(r.namings[model], namedVersion{version: version, at: now})
	r.namings[model] = namings[max(0, len(namings)-namingsKept):]
}

// wantedVersions returns the versions that were named lately, with how long ago that was. A version that came with a
// snapshot counts from the start of this process.
func (r *Replica) wantedVersions(now time.Duration) []WantedVersion {
	var wanted []WantedVersion
	versions := r.machine.catalog.Versions()
	for _, model := range sortedKeys(versions) {
		namings := r.namings[model]
		if len(namings) == 0 {
			namings = []namedVersion{{version: versions[model]}}
		}
		for _, naming := range namings {
			wanted = append(wanted, WantedVersion{Model: model, Version: naming.version, Age: now - naming.at})
		}
	}
	return wanted
}

// namingsTold bounds the namings that the log tells of a new leader.
const namingsTold = 8

// namingsLine tells the newest namings that gateways are told, as MODEL/VERSION and how long ago that was.
func (r *Replica) namingsLine(now time.Duration) []string {
	wanted := r.wantedVersions(now)
	slices.SortStableFunc(wanted, func(a, b WantedVersion) int { return int(a.Age.Milliseconds() - b.Age.Milliseconds()) })
	var line []string
	for _, w := range wanted[:min(len(wanted), namingsTold)] {
		line = append(line, fmt.Sprintf("%s/%d %v", w.Model, w.Version, w.Age.Round(time.Millisecond)))
	}
	return line
}
