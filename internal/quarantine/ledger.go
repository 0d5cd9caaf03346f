package quarantine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

const (
	// SuspectThreshold is from how many lives on processes are told of a request: ordinary losses rarely hit one request twice.
	SuspectThreshold = 2
	// QuarantineThreshold is from how many lives on a request is held back. Two may be chance where back ends end in numbers; who may repeat beyond a
	// third is for the users' rules to say, and they allow three more.
	QuarantineThreshold = 3
	// RetryAfter is when a caller may come back whose request is held back. Nothing but an operator, or a day, releases it; the time keeps
	// callers that repeat at once from doing so.
	RetryAfter = time.Hour
	// maxIncarnations bounds the lives that are remembered of one request: enough to count, and to show an operator.
	maxIncarnations = 8
	// maxEntries bounds the requests that are remembered, some 90 bytes each in a snapshot. The loss of one back end brings as many as
	// run there; a request is pushed out only by so many others that took part in as many losses as it, or more.
	maxEntries = 4096
)

// Crash says that a life of a back end ended while it ran requests.
type Crash struct {
	Incarnation string        `json:"life"`
	Requests    []Fingerprint `json:"requests"`
}

// Change is one change of the ledger.
type Change struct {
	Seed     []byte    `json:"seed,omitempty"` // taken if there is none
	Crashes  []Crash   `json:"ended,omitempty"`
	Releases []Release `json:"released,omitempty"`
}

// Release says that requests are no longer held against lives that ended: all, or all but the newest few.
type Release struct {
	Requests []Fingerprint `json:"requests"`
	Keep     int           `json:"keep,omitempty"`
	Reason   Reason        `json:"why"`
}

// Reason tells why requests are released.
type Reason string

// Reasons of a release.
const (
	ReasonCompleted Reason = "ended-well" // a back end ran one to a good end
	ReasonOperator  Reason = "operator"
	ReasonExpired   Reason = "age" // nothing ended under it for long
)

// Entry is a request and the lives that ended under it, oldest first.
type Entry struct {
	Request      Fingerprint `json:"request"`
	Incarnations []string    `json:"lives"`
}

// Update is all that a process is told.
type Update struct {
	Version uint64  `json:"version"`
	Seed    []byte  `json:"seed"`
	Entries []Entry `json:"entries,omitempty"` // with Suspected lives or more
}

// entry is what the ledger holds of one request.
type entry struct {
	incarnations []string // distinct, oldest first; at most livesKept
	order        uint64   // of its newest life among all
}

// Registry is the fleet's count, a pure state machine: replicas that apply the same calls in the same order hold the same state.
type Registry struct {
	seed    []byte
	entries map[Fingerprint]*entry // at most entriesMost
	order   uint64
	version uint64  // rises whenever News differ
	update  *Update // of that version, or an older one; nil before somebody asked
}

// NewRegistry returns an empty ledger without a seed.
func NewRegistry() *Registry { return &Registry{entries: map[Fingerprint]*entry{}} }

// Apply makes one change: first lives are released, then new ones counted.
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

// WouldChange reports whether a change would change anything.
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
	}
}

// HasSeed reports whether there is a seed.
func (r *Registry) HasSeed() bool { return len(r.seed) > 0 }

// Version returns the version of the news.
func (r *Registry) Version() uint64 { return r.version }

// recordCrash counts an ended life for each request that it ran.
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
		if len(e.incarnations) >= SuspectThreshold {
			r.version++
		}
	}
}

// contains reports whether noting a life would change nothing.
func (r *Registry) contains(crash Crash) bool {
	for _, f := range crash.Requests {
		e := r.entries[f]
		if e == nil || !slices.Contains(e.incarnations, crash.Incarnation) && len(e.incarnations) < maxIncarnations {
			return false
		}
	}
	return true
}

// evict pushes out the request with the fewest lives, of these the one whose newest life is oldest.
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

// trim forgets all but the newest lives of a request.
func (r *Registry) trim(f Fingerprint, keep int) {
	e := r.entries[f]
	if e == nil || len(e.incarnations) <= keep {
		return
	}
	if len(e.incarnations) >= SuspectThreshold {
		r.version++
	}
	if keep == 0 {
		delete(r.entries, f)
		return
	}
	e.incarnations = slices.Clone(e.incarnations[len(e.incarnations)-keep:])
}

// CrashCount returns how many lives ended under a request, as far as they are kept.
func (r *Registry) CrashCount(f Fingerprint) int {
	if e := r.entries[f]; e != nil {
		return len(e.incarnations)
	}
	return 0
}

// Fingerprints returns every request in a fixed order.
func (r *Registry) Fingerprints() []Fingerprint {
	return slices.SortedFunc(maps.Keys(r.entries), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// Update returns what processes are told; callers only read it.
func (r *Registry) Update() *Update {
	if r.update != nil && r.update.Version == r.version {
		return r.update
	}
	update := &Update{Version: r.version, Seed: r.seed}
	for _, f := range r.Fingerprints() {
		if e := r.entries[f]; len(e.incarnations) >= SuspectThreshold {
			update.Entries = append(update.Entries, Entry{Request: f, Incarnations: slices.Clip(e.incarnations)})
		}
	}
	r.update = update
	return update
}

// registryJSON is a ledger in a snapshot.
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

// MarshalJSON writes the whole state.
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
	*r = Registry{seed: state.Seed, version: state.Version, order: state.Order, entries: make(map[Fingerprint]*entry, len(state.Entries))}
	for _, e := range state.Entries {
		r.entries[e.Request] = &entry{incarnations: e.Incarnations, order: e.Order}
	}
	return nil
}
