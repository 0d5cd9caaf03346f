package gateway

import "time"

const (
	// paceQuantile of the requests that were taken to be alone at their engine are read at the learnt pace or faster: below the
	// median, since some of them were not alone.
	paceQuantile = 0.3
	// paceStep is by how much one request moves the pace, as a part of it, and paceMost how far it may get from the first guess.
	paceStep = 0.05
	paceMost = 4.0
)

// pace is how long an engine takes to read a prompt token, in milliseconds, beside the other work that it has. It is learnt from
// requests that were taken to be alone there, and tells until when an engine is busy; what reading weighs against waiting is a
// matter of its own (prefillRate).
type pace float64

// firstPace is taken before anything was learnt.
const firstPace = pace(1 / prefillRate)

// next moves the pace towards its quantile by one request, of so many tokens to read, whose first event came after a time.
func (p pace) next(tokens int, first time.Duration) pace {
	seen := pace(milliseconds(first)) / pace(tokens)
	step := paceStep * p
	if seen > p {
		p += paceQuantile * step
	} else {
		p -= (1 - paceQuantile) * step
	}
	return min(max(p, firstPace/paceMost), firstPace*paceMost)
}

// reading returns how long the tokens take.
func (p pace) reading(tokens int) time.Duration {
	return fromMilliseconds(float64(p) * float64(tokens))
}

// pace returns the learnt pace of a service's engines. The caller holds the mutex.
func (t *table) pace(service string) pace {
	if known, learnt := t.paces[service]; learnt {
		return known
	}
	return firstPace
}

// notePace learns from a request that was placed so, and whose first event came after a time.
func (t *table) notePace(row *endpoint, alone bool, uncached int, first time.Duration) {
	if !alone || uncached < longPrompt || first <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := row.entry.Service
	t.paces[service] = t.pace(service).next(uncached, first)
}

// read notes that an engine has so many more prompt tokens to read. The caller holds the mutex.
func (t *table) read(now time.Duration, row *endpoint, tokens int) {
	row.busyTo = max(now, row.busyTo) + t.pace(row.entry.Service).reading(tokens)
}
