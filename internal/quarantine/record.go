package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// confirmationTimeout is how long a broken run waits for the proof that its back end ended: control names another life at the address some
	// seconds after the end, or forgets a silent one after twelve.
	confirmationTimeout = 15 * time.Second
	// completionTTL is how long a good end speaks for a request: some times what news take through the fleet. One that turns deadly after
	// it ended well, under other weights, is counted after that.
	completionTTL = 5 * time.Second
	// localTTL is how long a process counts by itself what it proved, where no news of it come: one life is told to nobody.
	localTTL = 15 * time.Second
	// maxFailedIncarnations bounds the lives with broken runs, runsMost the runs of each, ownMost the requests under which this process saw lives
	// end, and wellMost the good ends that are remembered.
	maxFailedIncarnations = 256
	maxFailedRuns         = 256
	maxLocal              = 1024
	maxCompletions        = 1024
)

// Tracker is what one process knows of requests that end their back ends.
type Tracker struct {
	version     uint64
	reported    map[Fingerprint][]string      // by control: lives; with Suspected or more
	local       map[Fingerprint]*localCrashes // what this process proved itself; at most ownMost
	failures    map[string]*failedRuns        // by life; at most breaksMost
	completions map[Fingerprint]completion    // at most wellMost
	ring        [maxCompletions]Fingerprint   // the places of well
	nextSlot    int                           // place of the next good end
}

// localCrashes are lives that this process saw end under a request.
type localCrashes struct {
	lastAt       time.Duration // of the newest
	incarnations []string      // distinct; at most livesKept
	acknowledged bool          // control has taken them all, so that its next news say what counts
}

// completion is when a request last ended well, and its place in the ring.
type completion struct {
	at   time.Duration
	slot int
}

// failedRuns is what broke off at one life of a back end.
type failedRuns struct {
	lastAt    time.Duration // of the newest
	confirmed bool          // the life's end is proved
	runs      []Fingerprint // not counted yet; distinct; at most runsMost
}

// NewTracker returns a record that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		reported: map[Fingerprint][]string{}, local: map[Fingerprint]*localCrashes{}, failures: map[string]*failedRuns{}, completions: map[Fingerprint]completion{},
	}
}

// Version returns that of the newest news.
func (t *Tracker) Version() uint64 { return t.version }

// ApplyUpdate takes news up, and returns the requests among them that ended well here a moment ago: they are to be released. What control had taken
// before counts as the news say, so that what was released elsewhere is released here.
func (t *Tracker) ApplyUpdate(now time.Duration, update *Update) (completed []Fingerprint) {
	t.version = update.Version
	clear(t.reported)
	maps.DeleteFunc(t.local, func(_ Fingerprint, s *localCrashes) bool { return s.acknowledged })
	for _, e := range update.Entries {
		if t.recentlyCompleted(now, e.Request) {
			completed = append(completed, e.Request)
			continue
		}
		t.reported[e.Request] = e.Incarnations
	}
	return completed
}

// RecordFailure notes a run that broke off at a life. It returns what is to be told when that life is known to have ended.
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

// ConfirmEnd notes the proof that a life ended, and returns what is to be told if runs broke off there.
func (t *Tracker) ConfirmEnd(now time.Duration, incarnation string) (crash Crash, ok bool) {
	failed := t.failures[incarnation]
	if failed == nil || now-failed.lastAt > confirmationTimeout {
		return Crash{}, false
	}
	failed.confirmed = true
	return t.countCrash(now, incarnation, failed)
}

// AwaitsConfirmation reports whether runs that broke off at a life wait for the proof of its end.
func (t *Tracker) AwaitsConfirmation(incarnation string) bool {
	failed := t.failures[incarnation]
	return failed != nil && !failed.confirmed
}

// countCrash counts an ended life for the requests whose runs broke off there.
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

// addLocal notes a life of a request. What doesn't fit is counted by control alone.
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

// Acknowledge notes that control has taken what it was told.
func (t *Tracker) Acknowledge(crashes []Crash) {
	for _, crash := range crashes {
		for _, f := range crash.Requests {
			if s := t.local[f]; s != nil && s.incarnations[len(s.incarnations)-1] == crash.Incarnation {
				s.acknowledged = true
			}
		}
	}
}

// RecordCompletion notes that a back end ran a request to a good end, and reports whether control is to be told so.
func (t *Tracker) RecordCompletion(now time.Duration, f Fingerprint) (release bool) {
	t.addCompletion(now, f)
	_, reported := t.reported[f]
	_, local := t.local[f]
	delete(t.reported, f)
	delete(t.local, f)
	return reported || local
}

// addCompletion keeps a good end, in the place of the oldest.
func (t *Tracker) addCompletion(now time.Duration, f Fingerprint) {
	oldest := t.ring[t.nextSlot]
	if last, known := t.completions[oldest]; known && last.slot == t.nextSlot {
		delete(t.completions, oldest)
	}
	t.ring[t.nextSlot], t.completions[f] = f, completion{at: now, slot: t.nextSlot}
	t.nextSlot = (t.nextSlot + 1) % maxCompletions
}

// RecordIdle notes that this process could send nothing for so long until now: what ended well before speaks for its request as much longer, since
// it could not end well again meanwhile.
func (t *Tracker) RecordIdle(now, idle time.Duration) {
	for f, last := range t.completions {
		last.at = min(now, last.at+max(0, idle))
		t.completions[f] = last
	}
}

// recentlyCompleted reports whether a request ended well here a moment ago.
func (t *Tracker) recentlyCompleted(now time.Duration, f Fingerprint) bool {
	last, known := t.completions[f]
	return known && now-last.at <= completionTTL
}

// CrashCount returns how many lives ended under a request, as far as this process knows.
func (t *Tracker) CrashCount(f Fingerprint) int {
	crashes := len(t.reported[f])
	if s := t.local[f]; s != nil {
		for _, incarnation := range s.incarnations {
			if !slices.Contains(t.reported[f], incarnation) {
				crashes++
			}
		}
	}
	return crashes
}

// IsEmpty reports whether no request has any life against it, so that none needs to be looked up.
func (t *Tracker) IsEmpty() bool { return len(t.reported) == 0 && len(t.local) == 0 }

// SuspectCounts returns how many requests control tells of, and how many of these are held back.
func (t *Tracker) SuspectCounts() (suspects, quarantined int) {
	for _, incarnations := range t.reported {
		if len(incarnations) >= QuarantineThreshold {
			quarantined++
		}
	}
	return len(t.reported), quarantined
}

// Sweep forgets runs that wait for a proof that comes no more, and lives that control counts by now.
func (t *Tracker) Sweep(now time.Duration) {
	t.sweepFailures(now)
	for f, s := range t.local {
		if now-s.lastAt > localTTL {
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
