package control

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
)

const (
	// suspectTTL is how long crashes count against a request that is not quarantined. Unrelated crashes within it rarely
	// reach the threshold for one request.
	suspectTTL = time.Hour
	// quarantineTTL is how long a request stays quarantined after its last crash. Then it may run again, and a single
	// further crash quarantines it again: a day for whatever may have fixed it, at the price of one back end if nothing did.
	quarantineTTL = 24 * time.Hour
	// partQuarantineTTL is quarantineTTL of parts of prompts. It is shorter, as a part affects all requests that share it,
	// and these can't clear it while they are rejected.
	partQuarantineTTL = time.Hour
	// quarantineSweepInterval is the interval between sweeps of expired entries.
	quarantineSweepInterval = time.Second
)

// crashTimes records when the crash count of each request last changed, by this process's clock, since the replicated
// registry stores no times.
type crashTimes struct {
	sweptAt        time.Duration
	changedAt      map[quarantine.Fingerprint]time.Duration
	releaseReasons map[quarantine.Fingerprint]quarantine.Reason // of the newest release of a request
}

func newCrashTimes() crashTimes {
	return crashTimes{changedAt: map[quarantine.Fingerprint]time.Duration{}, releaseReasons: map[quarantine.Fingerprint]quarantine.Reason{}}
}

// handleQuarantineChange handles reported crashes and releases. A change without effect is acknowledged without a log
// entry.
func (r *Replica) handleQuarantineChange(now time.Duration, client uint64, change quarantine.Change) {
	if !r.machine.catalog.Quarantine().WouldChange(change) {
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	r.propose(now, client, Command{Catalog: &catalog.Command{Quarantine: &change}})
}

// quarantineUpdate returns the update for a process that holds the given version, or nil if that is current.
func (r *Replica) quarantineUpdate(heldVersion uint64) *quarantine.Update {
	registry := r.machine.catalog.Quarantine()
	if heldVersion == registry.Version() {
		return nil
	}
	return registry.Update()
}

// recordQuarantineChange records the time of an applied change and the reasons of its releases.
func (r *Replica) recordQuarantineChange(now time.Duration, change quarantine.Change) {
	for _, crash := range change.Crashes {
		for _, f := range crash.Requests {
			r.crashTimes.changedAt[f] = now
		}
	}
	for _, release := range change.Releases {
		for _, f := range release.Requests {
			r.crashTimes.changedAt[f], r.crashTimes.releaseReasons[f] = now, release.Reason
		}
	}
}

// maintainQuarantine proposes the seed of the fingerprints if there is none, and the release of expired entries.
func (r *Replica) maintainQuarantine(now time.Duration) {
	if r.crashTimes.sweptAt > 0 && now < r.crashTimes.sweptAt+quarantineSweepInterval {
		return
	}
	r.crashTimes.sweptAt = now
	registry := r.machine.catalog.Quarantine()
	if !registry.HasSeed() {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Seed: r.newSeed()}}})
		return
	}
	if expired := r.expiredEntries(now, registry); len(expired) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Releases: expired}}})
	}
}

// expiredEntries returns the releases of entries that have expired. The age of an entry from a snapshot counts from the
// first sweep that sees it.
func (r *Replica) expiredEntries(now time.Duration, registry *quarantine.Registry) []quarantine.Release {
	expiredSuspects := quarantine.Release{Reason: quarantine.ReasonExpired}
	expiredQuarantines := quarantine.Release{Reason: quarantine.ReasonExpired, Keep: quarantine.QuarantineThreshold - 1}
	expiredParts := quarantine.Release{Reason: quarantine.ReasonExpired, Keep: quarantine.PartQuarantineThreshold - 1}
	changedAt := make(map[quarantine.Fingerprint]time.Duration, len(r.crashTimes.changedAt))
	for _, f := range registry.Fingerprints() {
		at, known := r.crashTimes.changedAt[f]
		if !known {
			at = now
		}
		changedAt[f] = at
		expired, ttl := &expiredSuspects, suspectTTL
		switch quarantined := registry.CrashCount(f) >= f.QuarantineThreshold(); {
		case quarantined && f.IsPart():
			expired, ttl = &expiredParts, partQuarantineTTL
		case quarantined:
			expired, ttl = &expiredQuarantines, quarantineTTL
		}
		if now-at > ttl {
			expired.Requests = append(expired.Requests, f)
		}
	}
	r.crashTimes.changedAt = changedAt
	maps.DeleteFunc(r.crashTimes.releaseReasons, func(f quarantine.Fingerprint, _ quarantine.Reason) bool { return registry.CrashCount(f) == 0 })
	var expired []quarantine.Release
	for _, release := range []quarantine.Release{expiredSuspects, expiredQuarantines, expiredParts} {
		if len(release.Requests) > 0 {
			expired = append(expired, release)
		}
	}
	return expired
}

// newSeed returns a random seed for fingerprints.
func (r *Replica) newSeed() []byte {
	seed := make([]byte, 0, quarantine.SeedBytes)
	for len(seed) < quarantine.SeedBytes {
		seed = binary.LittleEndian.AppendUint64(seed, uint64(r.config.Random(math.MaxInt64)))
	}
	return seed
}

// quarantineLogState holds the requests last logged as quarantined. It is owned by the goroutine that owns the replica.
type quarantineLogState struct {
	version uint64
	since   map[quarantine.Fingerprint]time.Duration
}

// logQuarantineChanges logs the start and end of each quarantine, on the leader only.
func (s *Server) logQuarantineChanges() {
	registry := s.replica.machine.catalog.Quarantine()
	if s.replica.leader == nil || registry.Version() == s.quarantineLog.version {
		return
	}
	now := s.now()
	s.quarantineLog.version = registry.Version()
	since := map[quarantine.Fingerprint]time.Duration{}
	for _, entry := range quarantine.QuarantinedEntries(registry.Update().Entries) {
		at, known := s.quarantineLog.since[entry.Request]
		if !known {
			at = now
			s.log.Info(events.RequestQuarantined, zap.Stringer(events.FieldFingerprint, entry.Request), zap.Bool(events.FieldPart, entry.Request.IsPart()), zap.Strings("ended", entry.Incarnations))
		}
		since[entry.Request] = at
	}
	for f, at := range s.quarantineLog.since {
		if _, quarantined := since[f]; !quarantined {
			s.log.Info(events.RequestReleased, zap.Stringer(events.FieldFingerprint, f), zap.String("why", string(s.replica.crashTimes.releaseReasons[f])), zap.Duration("held", now-at), zap.Int(events.FieldIncarnations, registry.CrashCount(f)))
		}
	}
	s.quarantineLog.since = since
}
