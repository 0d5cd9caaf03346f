package control

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

// publishedVersion is a published weights version with its publication time by this process's clock.
type publishedVersion struct {
	version     uint64
	publishedAt time.Duration
}

// wallClockMS returns the wall clock, extrapolated from the last tick.
func (r *Replica) wallClockMS(now time.Duration) int64 {
	return r.unixMS + (now - r.tickedAt).Milliseconds()
}

// localPublication converts the publication time from the proposer's wall clock to this process's clock; it is at most
// now. The time of applying the entry would not do, since a replica that restarts, was partitioned or paused, or
// installs a snapshot applies it late.
func (r *Replica) localPublication(now time.Duration, publication catalog.Publication) publishedVersion {
	local := publishedVersion{version: publication.Version, publishedAt: now}
	if r.unixMS > 0 && r.config.Guards.On(guard.PublicationTimeFromLog) {
		local.publishedAt -= max(0, time.Duration(r.wallClockMS(now)-publication.UnixMS)*time.Millisecond)
	}
	return local
}

// recordPublication records the publication time of a version that has just been applied.
func (r *Replica) recordPublication(now time.Duration, model string) {
	publications := r.machine.catalog.Publications(model)
	versions := append(r.publications[model], r.localPublication(now, publications[len(publications)-1]))
	r.publications[model] = versions[max(0, len(versions)-catalog.MaxPublications):]
}

// refreshPublicationTimes computes all publication times again, at the start of a term as leader and after a snapshot
// was installed. It keeps the earlier of the recorded and the computed time. Times do not change in between, so that a
// gateway may keep the highest age reported during one leader's term.
func (r *Replica) refreshPublicationTimes(now time.Duration) {
	refreshed := map[string][]publishedVersion{}
	for model := range r.machine.catalog.LatestVersions() {
		for _, publication := range r.machine.catalog.Publications(model) {
			local := r.localPublication(now, publication)
			i := slices.IndexFunc(r.publications[model], func(p publishedVersion) bool { return p.version == publication.Version })
			if i >= 0 {
				local.publishedAt = min(local.publishedAt, r.publications[model][i].publishedAt)
			}
			refreshed[model] = append(refreshed[model], local)
		}
	}
	r.publications = refreshed
}

// weightsPublications returns the recently published weights versions with their ages.
func (r *Replica) weightsPublications(now time.Duration) []WeightsPublication {
	var publications []WeightsPublication
	for _, model := range sortedKeys(r.publications) {
		for _, published := range r.publications[model] {
			publications = append(publications, WeightsPublication{Model: model, Version: published.version, Age: max(0, now-published.publishedAt)})
		}
	}
	return publications
}

// maxLoggedPublications bounds the number of versions in a new leader's log line.
const maxLoggedPublications = 8

// recentPublications formats the latest published versions as "MODEL/VERSION AGE".
func (r *Replica) recentPublications(now time.Duration) []string {
	publications := r.weightsPublications(now)
	slices.SortStableFunc(publications, func(a, b WeightsPublication) int { return int(a.Age.Milliseconds() - b.Age.Milliseconds()) })
	var lines []string
	for _, p := range publications[:min(len(publications), maxLoggedPublications)] {
		lines = append(lines, fmt.Sprintf("%s/%d %v", p.Model, p.Version, p.Age.Round(time.Millisecond)))
	}
	return lines
}
