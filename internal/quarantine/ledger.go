package quarantine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

const (
	// SuspectThreshold is the number of crashes from which control lists a request to processes: unrelated crashes rarely
	// hit one request twice.
	SuspectThreshold = 2
	// QuarantineThreshold is the number of crashes from which a request is quarantined. Two may be a coincidence when
	// many back ends crash.
	QuarantineThreshold = 3
	// PartSuspectThreshold is SuspectThreshold of parts of prompts. When many back ends crash at once, many parts that
	// requests share are hit twice.
	PartSuspectThreshold = 3
	// PartQuarantineThreshold is the number of crashes from which requests with a part of a prompt are quarantined. It is
	// higher than that of requests, since a part that many share is more often hit by unrelated crashes.
	PartQuarantineThreshold = 4
	// RetryAfter is the retry delay sent to callers of quarantined requests. Only an operator, or a day without
	// crashes, releases them; the delay discourages immediate retries.
	RetryAfter = time.Hour
	// maxIncarnations bounds the incarnations kept for one request.
	maxIncarnations = 8
	// maxEntries bounds the requests kept, at about 90 bytes each in a snapshot. The crash of one back end adds all
	// requests that ran there. A request is evicted only by as many others with at least as many crashes.
	maxEntries = 4096
)

// Crash reports that an incarnation of a back end ended while it ran requests.
type Crash struct {
	Incarnation string        `json:"life"`
	Requests    []Fingerprint `json:"requests"`
}

// Change is one change of the registry.
type Change struct {
	Seed     []byte    `json:"seed,omitempty"` // ignored if the registry has one
	Crashes  []Crash   `json:"ended,omitempty"`
	Releases []Release `json:"released,omitempty"`
}

// Release removes crashes from requests: all, or all but the newest Keep.
type Release struct {
	Requests []Fingerprint `json:"requests"`
	Keep     int           `json:"keep,omitempty"`
	Reason   Reason        `json:"why"`
}

// Reason is why requests are released.
type Reason string

// Reasons for a release.
const (
	ReasonCompleted Reason = "ended-well" // a back end completed the request
	ReasonOperator  Reason = "operator"
	ReasonExpired   Reason = "age" // no crash for a long time
)

// Entry is a request, or a part of prompts, with the incarnations that crashed under it, oldest first.
type Entry struct {
	Request      Fingerprint `json:"request"`
	Incarnations []string    `json:"lives"`
}

// Update is the state sent to processes.
type Update struct {
	Version uint64  `json:"version"`
	Seed    []byte  `json:"seed"`
	Entries []Entry `json:"entries,omitempty"` // requests and parts with enough crashes to be suspects
}

// entry is the registry's state of one request.
type entry struct {
	incarnations []string // distinct, oldest first; at most maxIncarnations
	order        uint64   // of the newest crash among all requests
}

// Registry counts crashes for the whole fleet, under requests and under parts of prompts. It is a deterministic state
// machine: replicas that apply the same changes in the same order hold the same state.
type Registry struct {
	seed    []byte
	entries map[Fingerprint]*entry // at most maxEntries
	order   uint64
	version uint64 // increases whenever an entry with SuspectThreshold crashes or more changes
	// listed is the version at which Update last changed. It is not part of the replicated state.
	listed uint64
	update *Update // cached; may be of an older version, or nil
}

// NewRegistry returns an empty registry without a seed.
func NewRegistry() *Registry { return &Registry{entries: map[Fingerprint]*entry{}} }

// Apply applies a change: first its releases, then its crashes.
func (r *Registry) Apply(c Change) {
	r.setSeed(c.Seed)
	for _, release := range c.Releases {
		for _, f := range release.Requests {
			r.trim(f, max(0, release.Keep))
		}
	}
	for _, crash := range c.Crashes {
		r.recordCrash(crash)
	}
}

// WouldChange reports whether applying a change would have an effect.
func (r *Registry) WouldChange(c Change) bool {
	if len(c.Seed) > 0 && !r.HasSeed() {
		return true
	}
	for _, release := range c.Releases {
		if slices.ContainsFunc(release.Requests, func(f Fingerprint) bool { return r.CrashCount(f) > release.Keep }) {
			return true
		}
	}
	return slices.ContainsFunc(c.Crashes, func(crash Crash) bool { return !r.contains(crash) })
}

func (r *Registry) setSeed(seed []byte) {
	if len(r.seed) == 0 && len(seed) == SeedBytes {
		r.seed = seed
		r.version++
		r.listed = r.version
	}
}

// HasSeed reports whether a seed is set.
func (r *Registry) HasSeed() bool { return len(r.seed) > 0 }

// Version returns the version of the current Update.
func (r *Registry) Version() uint64 { return r.listed }

// recordChange records that an entry with a number of crashes, before or after the change, has changed.
func (r *Registry) recordChange(f Fingerprint, crashes int) {
	if crashes >= SuspectThreshold {
		r.version++
	}
	if crashes >= f.suspectThreshold() {
		r.listed = r.version
	}
}

// recordCrash adds an incarnation to each request that it ran.
func (r *Registry) recordCrash(crash Crash) {
	for _, f := range crash.Requests {
		e := r.entries[f]
		if e == nil {
			r.evict()
			e = &entry{}
			r.entries[f] = e
		}
		if slices.Contains(e.incarnations, crash.Incarnation) || len(e.incarnations) >= maxIncarnations {
			continue
		}
		r.order++
		e.incarnations, e.order = append(e.incarnations, crash.Incarnation), r.order
		r.recordChange(f, len(e.incarnations))
	}
}

// contains reports whether recording a crash would change nothing.
func (r *Registry) contains(crash Crash) bool {
	for _, f := range crash.Requests {
		e := r.entries[f]
		if e == nil || !slices.Contains(e.incarnations, crash.Incarnation) && len(e.incarnations) < maxIncarnations {
			return false
		}
	}
	return true
}

// evict removes an entry if the registry is full: the one with the fewest crashes, of these the one whose newest crash
// is oldest.
func (r *Registry) evict() {
	if len(r.entries) < maxEntries {
		return
	}
	var victim Fingerprint
	var fewest *entry
	for f, e := range r.entries {
		if fewest == nil || cmp.Or(cmp.Compare(len(e.incarnations), len(fewest.incarnations)), cmp.Compare(e.order, fewest.order)) < 0 {
			victim, fewest = f, e
		}
	}
	r.trim(victim, 0)
}

// trim removes all but the newest crashes of a request.
func (r *Registry) trim(f Fingerprint, keep int) {
	e := r.entries[f]
	if e == nil || len(e.incarnations) <= keep {
		return
	}
	r.recordChange(f, len(e.incarnations))
	if keep == 0 {
		delete(r.entries, f)
		return
	}
	e.incarnations = slices.Clone(e.incarnations[len(e.incarnations)-keep:])
}

// CrashCount returns the number of crashes kept for a request.
func (r *Registry) CrashCount(f Fingerprint) int {
	if e := r.entries[f]; e != nil {
		return len(e.incarnations)
	}
	return 0
}

// Fingerprints returns the fingerprints of all requests, sorted.
func (r *Registry) Fingerprints() []Fingerprint {
	return slices.SortedFunc(maps.Keys(r.entries), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// Update returns the state to send to processes. Callers must not modify it.
func (r *Registry) Update() *Update {
	if r.update != nil && r.update.Version == r.listed {
		return r.update
	}
	update := &Update{Version: r.listed, Seed: r.seed}
	for _, f := range r.Fingerprints() {
		if e := r.entries[f]; len(e.incarnations) >= f.suspectThreshold() {
			update.Entries = append(update.Entries, Entry{Request: f, Incarnations: slices.Clip(e.incarnations)})
		}
	}
	r.update = update
	return update
}

// registryJSON is the snapshot format of a Registry.
type registryJSON struct {
	Seed    []byte      `json:"seed,omitempty"`
	Version uint64      `json:"version"`
	Order   uint64      `json:"order"`
	Entries []entryJSON `json:"entries,omitempty"`
}

type entryJSON struct {
	Entry
	Order uint64 `json:"order"`
}

// MarshalJSON encodes the whole state.
func (r *Registry) MarshalJSON() ([]byte, error) {
	state := registryJSON{Seed: r.seed, Version: r.version, Order: r.order}
	for _, f := range r.Fingerprints() {
		state.Entries = append(state.Entries, entryJSON{Entry: Entry{Request: f, Incarnations: r.entries[f].incarnations}, Order: r.entries[f].order})
	}
	return json.Marshal(state)
}

// UnmarshalJSON replaces the whole state.
func (r *Registry) UnmarshalJSON(data []byte) error {
	var state registryJSON
	if err := json.Unmarshal(data, &state); err != nil {
		return err
	}
	*r = Registry{seed: state.Seed, version: state.Version, listed: state.Version, order: state.Order, entries: make(map[Fingerprint]*entry, len(state.Entries))}
	for _, e := range state.Entries {
		r.entries[e.Request] = &entry{incarnations: e.Incarnations, order: e.Order}
	}
	return nil
}
