package soak

import "time"

// isolation is a period in which a tenant shares no cached parts of prompts, as all gateways in touch know.
type isolation struct {
	tenant string
	interval
}

// RecordIsolation records that a tenant shares no cached parts from a time on. The period lasts until
// RecordIsolationEnd.
func (w *Watcher) RecordIsolation(from time.Duration, tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolations = append(w.isolations, isolation{tenant, interval{from, endless}})
}

// endless is after the end of every run.
const endless = 1 << 62

// RecordIsolationEnd records that a tenant may share cached parts again from a time on.
func (w *Watcher) RecordIsolationEnd(at time.Duration, tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.isolations {
		if w.isolations[i].tenant == tenant {
			w.isolations[i].to = min(w.isolations[i].to, at)
		}
	}
}

// RecordPartUse records that a request of one tenant used a cached part that a request of another had made.
// Disturbances excuse it within contactTime.
func (w *Watcher) RecordPartUse(at time.Duration, id, user, maker, part string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, disturbance := range w.disturbances {
		if disturbance.from <= at && at <= disturbance.to+contactTime {
			return
		}
	}
	for _, walled := range w.isolations {
		if (walled.tenant == user || walled.tenant == maker) && walled.from <= at && at < walled.to {
			w.addViolation(IsolationRespected, "request %s of %s used part %s, which a request of %s had made, %v after %s was isolated", id, user, part, maker, at-walled.from, walled.tenant)
			return
		}
	}
}
