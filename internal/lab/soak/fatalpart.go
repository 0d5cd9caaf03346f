package soak

import (
	"slices"
	"time"
)

const (
	// partThreshold is how many workers a part of a prompt may crash before requests with it must be quarantined, and
	// maxExtraPartArrivals how many more of these may reach workers.
	partThreshold        = 5
	maxExtraPartArrivals = 3
	// bystanderDelay is how long after the last of these crashes requests that share other parts with the fatal ones must
	// be served again, at least minBystanderRatio times as often as before. minBystanders is the number of requests of
	// each kind that the check needs.
	bystanderDelay    = 2 * quarantinePropagationDelay
	minBystanderRatio = 0.5
	minBystanders     = 20
)

// fatalPart is what was observed of requests with a part that crashes workers, and of those that share their other parts.
type fatalPart struct {
	sentFrom   time.Duration // when the first fatal request was sent
	arrivals   []time.Duration
	refused    int // fatal requests rejected as quarantined
	bystanders []bystander
}

// bystander is a request that shares all parts but the fatal one with the fatal requests.
type bystander struct {
	at      time.Duration
	outcome string // Served, or any other
}

// Served is the outcome of a bystander that got its whole answer.
const Served = "answered"

// fatalPartOf returns the record of a part. The caller holds mu.
func (w *Watcher) fatalPartOf(name string) *fatalPart {
	part := w.fatalParts[name]
	if part == nil {
		part = &fatalPart{}
		w.fatalParts[name] = part
	}
	return part
}

// serviceLimitDelay is how long after the end of a fault its effect on workers and callers' limits may last.
const serviceLimitDelay = 2 * time.Second

// RecordServiceLimit records a period in which a fault makes workers reject requests or callers exceed their limits.
// Requests sent then tell nothing about the quarantine.
func (w *Watcher) RecordServiceLimit(from, to time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serviceLimits = append(w.serviceLimits, interval{from, to})
}

// serviceLimited reports whether such a fault may affect a request sent at a time. The caller holds mu.
func (w *Watcher) serviceLimited(at time.Duration) bool {
	return slices.ContainsFunc(w.serviceLimits, func(s interval) bool { return at >= s.from && at <= s.to+serviceLimitDelay })
}

// RecordFatalPartSent records that requests with a fatal part are sent from now on.
func (w *Watcher) RecordFatalPartSent(at time.Duration, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fatalPartOf(name).sentFrom = at
}

// RecordFatalPartArrival records that a request with a fatal part reached a worker, which crashes from it.
func (w *Watcher) RecordFatalPartArrival(at time.Duration, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	part := w.fatalPartOf(name)
	part.arrivals = append(part.arrivals, at)
}

// RecordFatalPartQuarantined records that a request with a fatal part was rejected as quarantined.
func (w *Watcher) RecordFatalPartQuarantined(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fatalPartOf(name).refused++
}

// RecordBystander records the outcome of a request that shares its other parts with the requests with a fatal one.
func (w *Watcher) RecordBystander(sentAt time.Duration, name, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	part := w.fatalPartOf(name)
	part.bystanders = append(part.bystanders, bystander{sentAt, outcome})
}

// FatalPartResult holds what was observed of one fatal part.
type FatalPartResult struct {
	Name                      string
	Arrivals, Excess, Refused int
	SentBefore, ServedBefore  int            // bystanders before the first fatal request
	SentAfter, ServedAfter    int            // bystanders from bystanderDelay after the threshold on
	OutcomesAfter             map[string]int // of these bystanders
}

// FatalPartResults returns what was observed of each fatal part.
func (w *Watcher) FatalPartResults() []FatalPartResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	var results []FatalPartResult
	for name := range w.fatalParts {
		results = append(results, w.fatalPartResult(name))
	}
	return results
}

// fatalPartResult evaluates the observations of a part. The caller holds mu.
func (w *Watcher) fatalPartResult(name string) FatalPartResult {
	part := w.fatalParts[name]
	result := FatalPartResult{Name: name, Arrivals: len(part.arrivals), Refused: part.refused, OutcomesAfter: map[string]int{}}
	if len(part.arrivals) == 0 {
		return result
	}
	decisive := part.arrivals[min(partThreshold, len(part.arrivals))-1]
	for i, at := range part.arrivals {
		if i >= partThreshold && at > decisive+quarantinePropagationDelay && !w.disturbed(at) {
			result.Excess++
		}
	}
	for _, b := range part.bystanders {
		sent, served := &result.SentAfter, &result.ServedAfter
		switch {
		case w.serviceLimited(b.at):
			continue
		case b.at < part.sentFrom:
			sent, served = &result.SentBefore, &result.ServedBefore
		case b.at < decisive+bystanderDelay || w.disturbed(b.at):
			continue
		default:
			result.OutcomesAfter[b.outcome]++
		}
		*sent++
		if b.outcome == Served {
			*served++
		}
	}
	return result
}

// checkFatalParts reports a violation for each fatal part that reached too many workers, or because of which too few
// other requests were served. The caller holds mu.
func (w *Watcher) checkFatalParts() {
	for name := range w.fatalParts {
		r := w.fatalPartResult(name)
		if r.Excess > maxExtraPartArrivals {
			w.addViolation(QuarantineEnforced, "requests with part %q reached %d workers after it had crashed %d, %d in total", name, r.Excess, partThreshold, r.Arrivals)
		}
		enough := r.SentBefore >= minBystanders && r.SentAfter >= minBystanders
		if enough && float64(r.ServedAfter)*float64(r.SentBefore) < minBystanderRatio*float64(r.ServedBefore)*float64(r.SentAfter) {
			w.addViolation(BystandersServed, "of requests that share other parts with those with %q, %d of %d were served, %d of %d before", name, r.ServedAfter, r.SentAfter, r.ServedBefore, r.SentBefore)
		}
	}
}
