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
	// partCompletionTTL is completionTTL of parts. It is longer, since a part counts for many requests, of which a series
	// of crashes may cut off most for some time.
	partCompletionTTL = 15 * time.Second
	// partRefreshInterval is how long a completion of a part is not stored again, so that parts shared by many requests
	// don't displace others.
	partRefreshInterval = time.Second
	// localTTL is how long crashes seen by this process count without an update from the control plane, which does
	// not send requests with a single crash.
	localTTL = 15 * time.Second
	// maxFailedIncarnations bounds the incarnations with failed runs, maxFailedRuns the failed runs of each, maxLocal
	// the requests with crashes seen by this process, and maxCompletions the completions kept.
	maxFailedIncarnations = 256
	maxFailedRuns         = 256
	maxLocal              = 1024
	maxCompletions        = 1024
	maxPartCompletions    = 4096
)

// Tracker is one process's view of requests and parts of prompts under which back ends crashed.
type Tracker struct {
	version   uint64
	reported  map[Fingerprint][]string      // incarnations, as sent by the control plane
	local     map[Fingerprint]*localCrashes // seen by this process; at most maxLocal
	failures  map[string]*failedRuns        // by incarnation; at most maxFailedIncarnations
	completed *completions                  // of requests
	parts     *completions                  // of parts
	groups    []partGroup                   // as of judgeParts, if judged is set
	judged    bool                          // groups is current
}

// localCrashes are crashes under one request seen by this process.
type localCrashes struct {
	lastAt       time.Duration // newest crash
	incarnations []string      // distinct; at most maxIncarnations
	acknowledged bool          // the control plane recorded all of them, so its next update supersedes them
}

// failedRuns are the runs that failed on one incarnation.
type failedRuns struct {
	lastAt    time.Duration // newest failure
	confirmed bool          // the incarnation has ended
	runs      []Fingerprint // of requests and parts, not counted yet; distinct; at most maxFailedRuns
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		reported: map[Fingerprint][]string{}, local: map[Fingerprint]*localCrashes{},
		failures:  map[string]*failedRuns{},
		completed: newCompletions(completionTTL, 0, maxCompletions), parts: newCompletions(partCompletionTTL, partRefreshInterval, maxPartCompletions),
	}
}

// Version returns the version of the last update.
func (t *Tracker) Version() uint64 { return t.version }

// ApplyUpdate replaces the reported crashes and returns the requests among them that completed here recently, which
// are to be released. Acknowledged local crashes are dropped, so that a release requested elsewhere takes effect
// here.
func (t *Tracker) ApplyUpdate(now time.Duration, update *Update) (completed []Fingerprint) {
	t.version, t.judged = update.Version, false
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

// RecordFailure records a failed run on an incarnation, of a request and with its parts. If the incarnation is known to
// have ended, it returns the crash to report.
func (t *Tracker) RecordFailure(now time.Duration, incarnation string, subject Subject) (crash Crash, ok bool) {
	counted := slices.DeleteFunc(subject.fingerprints(), func(f Fingerprint) bool { return t.recentlyCompleted(now, f) })
	if len(counted) == 0 {
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
	for _, f := range counted {
		if len(failed.runs) < maxFailedRuns && !slices.Contains(failed.runs, f) {
			failed.runs = append(failed.runs, f)
		}
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
	t.judged = false
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

// RecordCompletion records that a back end completed a request, and returns which of its fingerprints have crashes to be
// released.
func (t *Tracker) RecordCompletion(now time.Duration, subject Subject) (release []Fingerprint) {
	for _, f := range subject.fingerprints() {
		t.completionsOf(f).add(now, f)
		_, reported := t.reported[f]
		_, local := t.local[f]
		if reported || local {
			delete(t.reported, f)
			delete(t.local, f)
			t.judged = false
			release = append(release, f)
		}
	}
	return release
}

// RecordIdle records that this process could send nothing for a duration until now. Completions remain valid for as
// much longer, since no request could complete in that time.
func (t *Tracker) RecordIdle(now, idle time.Duration) {
	t.completed.extend(now, idle)
	t.parts.extend(now, idle)
}

// completionsOf returns the completions of requests or of parts, whichever the fingerprint is of.
func (t *Tracker) completionsOf(f Fingerprint) *completions {
	if f.IsPart() {
		return t.parts
	}
	return t.completed
}

// recentlyCompleted reports whether a request, or one with a part, completed here recently.
func (t *Tracker) recentlyCompleted(now time.Duration, f Fingerprint) bool {
	return t.completionsOf(f).isRecent(now, f)
}

// IsQuarantined reports whether a request must not be sent, since it or parts of it crashed too many back ends.
func (t *Tracker) IsQuarantined(subject Subject) bool {
	if t.CrashCount(subject.Request) >= QuarantineThreshold {
		return true
	}
	return slices.ContainsFunc(t.partGroups(), func(g partGroup) bool { return g.isQuarantined() && g.matches(subject.Parts) })
}

// IsSuspect reports whether a request, or parts of it, crashed so many back ends that it is not retried by itself.
func (t *Tracker) IsSuspect(subject Subject) bool {
	if t.CrashCount(subject.Request) >= SuspectThreshold {
		return true
	}
	return slices.ContainsFunc(t.partGroups(), func(g partGroup) bool { return g.matches(subject.Parts) })
}

// Explain returns the fingerprint for which a request is quarantined and its number of crashes.
func (t *Tracker) Explain(subject Subject) (f Fingerprint, crashes int) {
	for _, g := range t.partGroups() {
		if g.isQuarantined() && g.matches(subject.Parts) {
			return g.parts[0], len(g.incarnations)
		}
	}
	return subject.Request, t.CrashCount(subject.Request)
}

// partGroups returns the parts that explain crashes best.
func (t *Tracker) partGroups() []partGroup {
	if t.judged {
		return t.groups
	}
	evidence := make(map[Fingerprint][]string, len(t.reported)+len(t.local))
	for f, incarnations := range t.reported {
		evidence[f] = incarnations
	}
	for f, local := range t.local {
		evidence[f] = union(t.reported[f], local.incarnations)
	}
	t.groups, t.judged = judgeParts(evidence), true
	return t.groups
}

// union returns the distinct elements of two lists without duplicates.
func union(a, b []string) []string {
	both := slices.Clone(a)
	for _, s := range b {
		if !slices.Contains(a, s) {
			both = append(both, s)
		}
	}
	return both
}

// CrashCount returns the number of crashes under a request known to this process.
func (t *Tracker) CrashCount(f Fingerprint) int {
	local := t.local[f]
	if local == nil {
		return len(t.reported[f])
	}
	return len(union(t.reported[f], local.incarnations))
}

// IsEmpty reports whether no request or part has any crashes, so that fingerprints need not be computed.
func (t *Tracker) IsEmpty() bool { return len(t.reported) == 0 && len(t.local) == 0 }

// SuspectCounts returns the number of requests and parts reported by the control plane, and how many are quarantined.
func (t *Tracker) SuspectCounts() (suspects, quarantined int) {
	entries := make([]Entry, 0, len(t.reported))
	for f, incarnations := range t.reported {
		entries = append(entries, Entry{Request: f, Incarnations: incarnations})
	}
	return len(entries), len(QuarantinedEntries(entries))
}

// Sweep removes failures that were not confirmed in time and local crashes that expired.
func (t *Tracker) Sweep(now time.Duration) {
	t.sweepFailures(now)
	for f, local := range t.local {
		if now-local.lastAt > localTTL {
			t.judged = false
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
