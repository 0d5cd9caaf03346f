package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// confirmationTimeout is how long a failed run waits for confirmation that its back end ended. The control plane
	// lists a new incarnation some seconds after the end, or removes a silent back end after twelve seconds.
	confirmationTimeout = 15 * time.Second
	// completionTTL is how long a completion protects a request: several times the delay with which updates spread.
	// If the request crashes back ends only later, for example under other weights, those crashes count.
	completionTTL = 5 * time.Second
	// localTTL is how long crashes seen by this process count without an update from the control plane, which does
	// not send requests with a single crash.
	localTTL = 15 * time.Second
	// maxFailedIncarnations bounds the incarnations with failed runs, maxFailedRuns the failed runs of each, maxLocal
	// the requests with crashes seen by this process, and maxCompletions the completions kept.
	maxFailedIncarnations = 256
	maxFailedRuns         = 256
	maxLocal              = 1024
	maxCompletions        = 1024
)

// Tracker is one process's view of requests under which back ends crashed.
type Tracker struct {
	version     uint64
	reported    map[Fingerprint][]string      // incarnations, as sent by the control plane
	local       map[Fingerprint]*localCrashes // seen by this process; at most maxLocal
	failures    map[string]*failedRuns        // by incarnation; at most maxFailedIncarnations
	completions map[Fingerprint]completion    // at most maxCompletions
	ring        [maxCompletions]Fingerprint   // completions by slot
	nextSlot    int                           // of the next completion
}

// localCrashes are crashes under one request seen by this process.
type localCrashes struct {
	lastAt       time.Duration // newest crash
	incarnations []string      // distinct; at most maxIncarnations
	acknowledged bool          // the control plane recorded all of them, so its next update supersedes them
}

// completion is the last completion of a request and its slot in the ring.
type completion struct {
	at   time.Duration
	slot int
}

// failedRuns are the runs that failed on one incarnation.
type failedRuns struct {
	lastAt    time.Duration // newest failure
	confirmed bool          // the incarnation has ended
	runs      []Fingerprint // not counted yet; distinct; at most maxFailedRuns
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		reported: map[Fingerprint][]string{}, local: map[Fingerprint]*localCrashes{},
		failures: map[string]*failedRuns{}, completions: map[Fingerprint]completion{},
	}
}

// Version returns the version of the last update.
func (t *Tracker) Version() uint64 { return t.version }

// ApplyUpdate replaces the reported crashes and returns the requests among them that completed here recently, which
// are to be released. Acknowledged local crashes are dropped, so that a release requested elsewhere takes effect
// here.
func (t *Tracker) ApplyUpdate(now time.Duration, update *Update) (completed []Fingerprint) {
	t.version = update.Version
	clear(t.reported)
	maps.DeleteFunc(t.local, func(_ Fingerprint, local *localCrashes) bool { return local.acknowledged })
	for _, e := range update.Entries {
		if t.recentlyCompleted(now, e.Request) {
			completed = append(completed, e.Request)
			continue
		}
		t.reported[e.Request] = e.Incarnations
	}
	return completed
}

// RecordFailure records a failed run on an incarnation. If the incarnation is known to have ended, it returns the
// crash to report.
func (t *Tracker) RecordFailure(now time.Duration, incarnation string, f Fingerprint) (crash Crash, ok bool) {
	if t.recentlyCompleted(now, f) {
		return Crash{}, false
	}
	failed := t.failures[incarnation]
	if failed == nil {
		t.sweepFailures(now)
		if len(t.failures) >= maxFailedIncarnations {
			return Crash{}, false
		}
		failed = &failedRuns{}
		t.failures[incarnation] = failed
	}
	failed.lastAt = now
	if len(failed.runs) < maxFailedRuns && !slices.Contains(failed.runs, f) {
		failed.runs = append(failed.runs, f)
	}
	if failed.confirmed {
		return t.countCrash(now, incarnation, failed)
	}
	return Crash{}, false
}

// ConfirmEnd records that an incarnation ended and returns the crash to report if runs failed there.
func (t *Tracker) ConfirmEnd(now time.Duration, incarnation string) (crash Crash, ok bool) {
	failed := t.failures[incarnation]
	if failed == nil || now-failed.lastAt > confirmationTimeout {
		return Crash{}, false
	}
	failed.confirmed = true
	return t.countCrash(now, incarnation, failed)
}

// AwaitsConfirmation reports whether failed runs on an incarnation wait for confirmation of its end.
func (t *Tracker) AwaitsConfirmation(incarnation string) bool {
	failed := t.failures[incarnation]
	return failed != nil && !failed.confirmed
}

// countCrash counts a crash for the requests whose runs failed on the incarnation.
func (t *Tracker) countCrash(now time.Duration, incarnation string, failed *failedRuns) (crash Crash, ok bool) {
	if len(failed.runs) == 0 {
		return Crash{}, false
	}
	crash = Crash{Incarnation: incarnation, Requests: failed.runs}
	failed.runs = nil
	for _, f := range crash.Requests {
		t.addLocal(now, incarnation, f)
	}
	return crash, true
}

// addLocal adds a crash to a request. Beyond the bounds, only the control plane counts it.
func (t *Tracker) addLocal(now time.Duration, incarnation string, f Fingerprint) {
	local := t.local[f]
	if local == nil {
		if len(t.local) >= maxLocal {
			return
		}
		local = &localCrashes{}
		t.local[f] = local
	}
	local.lastAt, local.acknowledged = now, false
	if !slices.Contains(local.incarnations, incarnation) && len(local.incarnations) < maxIncarnations {
		local.incarnations = append(local.incarnations, incarnation)
	}
}

// Acknowledge records that the control plane accepted the reported crashes.
func (t *Tracker) Acknowledge(crashes []Crash) {
	for _, crash := range crashes {
		for _, f := range crash.Requests {
			if local := t.local[f]; local != nil && local.incarnations[len(local.incarnations)-1] == crash.Incarnation {
				local.acknowledged = true
			}
		}
	}
}

// RecordCompletion records that a back end completed a request, and reports whether the request has crashes to be
// released.
func (t *Tracker) RecordCompletion(now time.Duration, f Fingerprint) (release bool) {
	t.addCompletion(now, f)
	_, reported := t.reported[f]
	_, local := t.local[f]
	delete(t.reported, f)
	delete(t.local, f)
	return reported || local
}

// addCompletion stores a completion in place of the oldest.
func (t *Tracker) addCompletion(now time.Duration, f Fingerprint) {
	oldest := t.ring[t.nextSlot]
	if last, known := t.completions[oldest]; known && last.slot == t.nextSlot {
		delete(t.completions, oldest)
	}
	t.ring[t.nextSlot], t.completions[f] = f, completion{at: now, slot: t.nextSlot}
	t.nextSlot = (t.nextSlot + 1) % maxCompletions
}

// RecordIdle records that this process could send nothing for a duration until now. Completions remain valid for as
// much longer, since no request could complete in that time.
func (t *Tracker) RecordIdle(now, idle time.Duration) {
	for f, last := range t.completions {
		last.at = min(now, last.at+max(0, idle))
		t.completions[f] = last
	}
}

// recentlyCompleted reports whether a request completed here within completionTTL.
func (t *Tracker) recentlyCompleted(now time.Duration, f Fingerprint) bool {
	last, known := t.completions[f]
	return known && now-last.at <= completionTTL
}

// CrashCount returns the number of crashes under a request known to this process.
func (t *Tracker) CrashCount(f Fingerprint) int {
	crashes := len(t.reported[f])
	if local := t.local[f]; local != nil {
		for _, incarnation := range local.incarnations {
			if !slices.Contains(t.reported[f], incarnation) {
				crashes++
			}
		}
	}
	return crashes
}

// IsEmpty reports whether no request has any crashes, so that fingerprints need not be computed.
func (t *Tracker) IsEmpty() bool { return len(t.reported) == 0 && len(t.local) == 0 }

// SuspectCounts returns the number of requests reported by the control plane, and how many of them are quarantined.
func (t *Tracker) SuspectCounts() (suspects, quarantined int) {
	for _, incarnations := range t.reported {
		if len(incarnations) >= QuarantineThreshold {
			quarantined++
		}
	}
	return len(t.reported), quarantined
}

// Sweep removes failures that were not confirmed in time and local crashes that expired.
func (t *Tracker) Sweep(now time.Duration) {
	t.sweepFailures(now)
	for f, local := range t.local {
		if now-local.lastAt > localTTL {
			delete(t.local, f)
		}
	}
}

func (t *Tracker) sweepFailures(now time.Duration) {
	for incarnation, failed := range t.failures {
		if now-failed.lastAt > confirmationTimeout {
			delete(t.failures, incarnation)
		}
	}
}
