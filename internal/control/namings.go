package control

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

// publishedVersion is a naming, and when it was by this process's clock.
type publishedVersion struct {
	version     uint64
	publishedAt time.Duration
}

// wallClockMS returns the time of day. The shell tells it with each tick.
func (r *Replica) wallClockMS(now time.Duration) int64 {
	return r.unixMS + (now - r.tickedAt).Milliseconds()
}

// localPublication returns when a version was named: as long ago as the times of day of whoever proposed it and of this replica differ, and not
// after now. An entry may be applied long after it was proposed: by a replica that restarts, was cut off or frozen, or gets a snapshot.
func (r *Replica) localPublication(now time.Duration, publication catalog.Publication) publishedVersion {
	local := publishedVersion{version: publication.Version, publishedAt: now}
	if r.unixMS > 0 && r.config.Guards.On(guard.PublicationTimeFromLog) {
		local.publishedAt -= max(0, time.Duration(r.wallClockMS(now)-publication.UnixMS)*time.Millisecond)
	}
	return local
}

// recordPublication remembers when a version was named that has just been applied.
func (r *Replica) recordPublication(now time.Duration, model string) {
	publications := r.machine.catalog.Publications(model)
	versions := append(r.namedVersions[model], r.localPublication(now, publications[len(publications)-1]))
	r.namedVersions[model] = versions[max(0, len(versions)-catalog.MaxPublications):]
}

// refreshPublicationTimes dates all namings anew, at the start of a leadership and with a snapshot. What is known to be older stays so: of the time
// since this process saw it and the difference of the times of day the larger counts. Between, no time changes, so that gateways
// may take the best they heard of one leadership.
func (r *Replica) refreshPublicationTimes(now time.Duration) {
	refreshed := map[string][]publishedVersion{}
	for model := range r.machine.catalog.LatestVersions() {
		for _, publication := range r.machine.catalog.Publications(model) {
			local := r.localPublication(now, publication)
			i := slices.IndexFunc(r.namedVersions[model], func(d publishedVersion) bool { return d.version == publication.Version })
			if i >= 0 {
				local.publishedAt = min(local.publishedAt, r.namedVersions[model][i].publishedAt)
			}
			refreshed[model] = append(refreshed[model], local)
		}
	}
	r.namedVersions = refreshed
}

// wantedVersions returns the versions that were named lately, with how long ago that was.
func (r *Replica) wantedVersions(now time.Duration) []WeightsPublication {
	var wanted []WeightsPublication
	for _, model := range sortedKeys(r.namedVersions) {
		for _, published := range r.namedVersions[model] {
			wanted = append(wanted, WeightsPublication{Model: model, Version: published.version, Age: max(0, now-published.publishedAt)})
		}
	}
	return wanted
}

// maxLoggedPublications bounds the namings that the log tells of a new leader.
const maxLoggedPublications = 8

// recentPublications tells the newest namings that gateways are told, as MODEL/VERSION and how long ago that was.
func (r *Replica) recentPublications(now time.Duration) []string {
	wanted := r.wantedVersions(now)
	slices.SortStableFunc(wanted, func(a, b WeightsPublication) int { return int(a.Age.Milliseconds() - b.Age.Milliseconds()) })
	var lines []string
	for _, w := range wanted[:min(len(wanted), maxLoggedPublications)] {
		lines = append(lines, fmt.Sprintf("%s/%d %v", w.Model, w.Version, w.Age.Round(time.Millisecond)))
	}
	return lines
}
