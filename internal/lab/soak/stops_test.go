package soak

import (
	"testing"
	"time"
)

// Guards against a check that overlooks requests without an answer, or counts those that something else has cut off.
func TestWatcherChecksPlannedStops(t *testing.T) {
	const stop, grace = 10 * time.Second, 3 * time.Second
	for name, c := range map[string]struct {
		record func(*Watcher)
		broken bool
	}{
		"sent on": {func(w *Watcher) {
			w.RecordExecution(stop, "r", "t", 1)
			w.RecordUnanswered("r", "g", stop, stop, stop+time.Second)
		}, true},
		"read":            {func(w *Watcher) { w.RecordUnanswered("r", "g", stop, stop, stop+time.Second) }, true},
		"maybe not read":  {func(w *Watcher) { w.RecordUnanswered("r", "g", stop, stop, stop+time.Millisecond) }, false},
		"another gateway": {func(w *Watcher) { w.RecordUnanswered("r", "h", stop, stop, stop+time.Second) }, false},
		"before the stop": {func(w *Watcher) { w.RecordUnanswered("r", "g", 0, 0, stop-time.Second) }, false},
		"beside another disturbance": {func(w *Watcher) {
			w.RecordDisturbance(stop, stop+1)
			w.RecordUnanswered("r", "g", stop, stop, stop+time.Second)
		}, false},
	} {
		w := NewWatcher(time.Second, 0)
		w.RecordLimit("t", TenantLimit{Units: func(time.Duration) float64 { return 10 }})
		w.RecordRequest("r", false)
		w.RecordDisturbance(stop, stop+grace)
		w.RecordPlannedStop("g", stop, stop+grace, grace)
		c.record(w)
		if violations := w.Close(); len(violations) > 0 != c.broken {
			t.Errorf("%s: %v", name, violations)
		}
	}
}
