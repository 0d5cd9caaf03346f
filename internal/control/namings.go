package control

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

// datedNaming is a naming, and when it was by this process's clock.
type datedNaming struct {
	version uint64
	at      time.Duration
}

// wallMS returns the time of day. The shell tells it with each tick.
func (r *Replica) wallMS(now time.Duration) int64 {
	return r.unixMS + (now - r.tickedAt).Milliseconds()
}

// dateNaming returns when a version was named: as long ago as the times of day of whoever proposed it and of this replica differ, and not
// after now. An entry may be applied long after it was proposed: by a replica that restarts, was cut off or frozen, or gets a snapshot.
func (r *Replica) dateNaming(now time.Duration, naming catalog.Publication) datedNaming {
	dated := datedNaming{version: naming.Version, at: now}
	if r.unixMS > 0 && r.config.Guards.On(guard.PublicationTimeFromLog) {
		dated.at -= max(0, time.Duration(r.wallMS(now)-naming.UnixMS)*time.Millisecond)
	}
	return dated
}

// noteNaming remembers when a version was named that has just been applied.
func (r *Replica) noteNaming(now time.Duration, model string) {
	namings := r.machine.catalog.Publications(model)
	dated := append(r.namedVersions[model], r.dateNaming(now, namings[len(namings)-1]))
	r.namedVersions[model] = dated[max(0, len(dated)-catalog.MaxPublications):]
}

// dateNamings dates all namings anew, at the start of a leadership and with a snapshot. What is known to be older stays so: of the time
// since this process saw it and the difference of the times of day the larger counts. Between, no time changes, so that gateways
// may take the best they heard of one leadership.
func (r *Replica) dateNamings(now time.Duration) {
	dated := map[string][]datedNaming{}
	for model := range r.machine.catalog.LatestVersions() {
		for _, naming := range r.machine.catalog.Publications(model) {
			fresh := r.dateNaming(now, naming)
			at := slices.IndexFunc(r.namedVersions[model], func(d datedNaming) bool { return d.version == naming.Version })
			if at >= 0 {
				fresh.at = min(fresh.at, r.namedVersions[model][at].at)
			}
			dated[model] = append(dated[model], fresh)
		}
	}
	r.namedVersions = dated
}

// wantedVersions returns the versions that were named lately, with how long ago that was.
func (r *Replica) wantedVersions(now time.Duration) []WeightsPublication {
	var wanted []WeightsPublication
	for _, model := range sortedKeys(r.namedVersions) {
		for _, naming := range r.namedVersions[model] {
			wanted = append(wanted, WeightsPublication{Model: model, Version: naming.version, Age: max(0, now-naming.at)})
		}
	}
	return wanted
}

// namingsTold bounds the namings that the log tells of a new leader.
const namingsTold = 8

// namingsLine tells the newest namings that gateways are told, as MODEL/VERSION and how long ago that was.
func (r *Replica) namingsLine(now time.Duration) []string {
	wanted := r.wantedVersions(now)
	slices.SortStableFunc(wanted, func(a, b WeightsPublication) int { return int(a.Age.Milliseconds() - b.Age.Milliseconds()) })
	var line []string
	for _, w := range wanted[:min(len(wanted), namingsTold)] {
		line = append(line, fmt.Sprintf("%s/%d %v", w.Model, w.Version, w.Age.Round(time.Millisecond)))
	}
	return line
}
