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
	// suspectTTL is how long a life counts against a request that isn't held back: ordinary losses of an hour rarely add up under one.
	suspectTTL = time.Hour
	// quarantineTTL is how long a request is held back after the last life that ended under it. Then it may be tried again, and one more life
	// holds it back again: a day for whatever may have mended it, at the price of one back end if nothing did.
	quarantineTTL = 24 * time.Hour
	// quarantineSweepInterval is how often old entries are looked for.
	quarantineSweepInterval = time.Second
)

// crashTimes is when lives were last counted against requests, as this process saw it, since the log has no time.
type crashTimes struct {
	sweptAt        time.Duration
	changedAt      map[quarantine.Fingerprint]time.Duration
	releaseReasons map[quarantine.Fingerprint]quarantine.Reason // of the newest release; of those in seen
}

func newCrashTimes() crashTimes {
	return crashTimes{changedAt: map[quarantine.Fingerprint]time.Duration{}, releaseReasons: map[quarantine.Fingerprint]quarantine.Reason{}}
}

// handleQuarantineChange takes what a process tells of requests under which back ends ended. What is known already needs no entry of the log.
func (r *Replica) handleQuarantineChange(now time.Duration, client uint64, change quarantine.Change) {
	if !r.machine.catalog.Quarantine().WouldChange(change) {
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	r.propose(now, client, Command{Catalog: &catalog.Command{Quarantine: &change}})
}

// quarantineUpdate returns what a process is told that holds the news of a version; nil when it holds these.
func (r *Replica) quarantineUpdate(heldVersion uint64) *quarantine.Update {
	registry := r.machine.catalog.Quarantine()
	if heldVersion == registry.Version() {
		return nil
	}
	return registry.Update()
}

// recordQuarantineChange remembers when lives were counted.
func (r *Replica) recordQuarantineChange(now time.Duration, change quarantine.Change) {
	for _, crash := range change.Crashes {
		for _, f := range crash.Requests {
			r.quarantined.changedAt[f] = now
		}
	}
	for _, released := range change.Releases {
		for _, f := range released.Requests {
			r.quarantined.changedAt[f], r.quarantined.releaseReasons[f] = now, released.Reason
		}
	}
}

// maintainQuarantine plants the seed of fingerprints, and releases requests under which nothing ended for long.
func (r *Replica) maintainQuarantine(now time.Duration) {
	if r.quarantined.sweptAt > 0 && now < r.quarantined.sweptAt+quarantineSweepInterval {
		return
	}
	r.quarantined.sweptAt = now
	registry := r.machine.catalog.Quarantine()
	if !registry.HasSeed() {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Seed: r.newSeed()}}})
		return
	}
	if expired := r.expiredEntries(now, registry); len(expired) > 0 {
		r.propose(now, 0, Command{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Releases: expired}}})
	}
}

// expiredEntries returns what is to be released for its age. Entries that came with a snapshot count from their first look.
func (r *Replica) expiredEntries(now time.Duration, registry *quarantine.Registry) []quarantine.Release {
	dropped := quarantine.Release{Reason: quarantine.ReasonExpired}
	retryable := quarantine.Release{Reason: quarantine.ReasonExpired, Keep: quarantine.QuarantineThreshold - 1}
	changedAt := make(map[quarantine.Fingerprint]time.Duration, len(r.quarantined.changedAt))
	for _, f := range registry.Fingerprints() {
		at, known := r.quarantined.changedAt[f]
		if !known {
			at = now
		}
		changedAt[f] = at
		switch quarantined := registry.CrashCount(f) >= quarantine.QuarantineThreshold; {
		case quarantined && now-at > quarantineTTL:
			retryable.Requests = append(retryable.Requests, f)
		case !quarantined && now-at > suspectTTL:
			dropped.Requests = append(dropped.Requests, f)
		}
	}
	r.quarantined.changedAt = changedAt
	maps.DeleteFunc(r.quarantined.releaseReasons, func(f quarantine.Fingerprint, _ quarantine.Reason) bool { return registry.CrashCount(f) == 0 })
	var expired []quarantine.Release
	for _, released := range []quarantine.Release{dropped, retryable} {
		if len(released.Requests) > 0 {
			expired = append(expired, released)
		}
	}
	return expired
}

// newSeed returns a secret for fingerprints.
func (r *Replica) newSeed() []byte {
	seed := make([]byte, 0, quarantine.SeedBytes)
	for len(seed) < quarantine.SeedBytes {
		seed = binary.LittleEndian.AppendUint64(seed, uint64(r.config.Random(math.MaxInt64)))
	}
	return seed
}

// quarantineLogState are the requests that the log says are held back. They are owned by the decide thread.
type quarantineLogState struct {
	version uint64
	since   map[quarantine.Fingerprint]time.Duration
}

// logQuarantineChanges logs when a request begins and ends to be held back, one line each, from the leader.
func (s *Server) logQuarantineChanges() {
	registry := s.replica.machine.catalog.Quarantine()
	if s.replica.leader == nil || registry.Version() == s.heldBackLog.version {
		return
	}
	now := s.now()
	s.heldBackLog.version = registry.Version()
	since := map[quarantine.Fingerprint]time.Duration{}
	for _, e := range registry.Update().Entries {
		if len(e.Incarnations) < quarantine.QuarantineThreshold {
			continue
		}
		at, known := s.heldBackLog.since[e.Request]
		if !known {
			at = now
			s.log.Info(events.RequestQuarantined, zap.Stringer(events.FieldFingerprint, e.Request), zap.Strings("ended", e.Incarnations))
		}
		since[e.Request] = at
	}
	for f, at := range s.heldBackLog.since {
		if _, held := since[f]; !held {
			s.log.Info(events.RequestReleased, zap.Stringer(events.FieldFingerprint, f), zap.String("why", string(s.replica.quarantined.releaseReasons[f])), zap.Duration("held", now-at), zap.Int(events.FieldIncarnations, registry.CrashCount(f)))
		}
	}
	s.heldBackLog.since = since
}
