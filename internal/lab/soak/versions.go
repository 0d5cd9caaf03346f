package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// contactDelay is how long after a fault of its own or of control a gateway still counts as out of touch.
	contactDelay = 3 * time.Second
	// minTakeUps is the number of streams taken up that the check needs. They must go on at least minContinuedRatio times as
	// often as new streams begin.
	minTakeUps        = 12
	minContinuedRatio = 0.5
)

// versionLog holds what callers saw of streams while back ends of several software versions serve.
type versionLog struct {
	outOfTouch                        []outage
	starts, takeUps                   []streamTry
	mixedAnswers, mixedTries, streams int
	takeUpsUnchecked                  bool
}

// outage is a period in which a fault affects the named gateways, or all of them if there are no names.
type outage struct {
	interval
	gateways []string
}

// streamTry is a caller's request to begin a stream or to go on with one, and whether an event of it arrived.
type streamTry struct {
	at   time.Duration
	to   Sender
	goes bool
}

// LeaveTakeUpsUnchecked makes the check pass over streams that callers take up. It is for runs beside builds that keep no
// records of streams: who gets such a stream has no right way to go on with it.
func (w *Watcher) LeaveTakeUpsUnchecked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions.takeUpsUnchecked = true
}

// RecordOutOfTouch records a period in which a fault affects the named gateways, or all of them if there are no names.
func (w *Watcher) RecordOutOfTouch(from, to time.Duration, gateways []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions.outOfTouch = append(w.versions.outOfTouch, outage{interval{from, to}, gateways})
}

// RecordStreamStart records whether a new stream began.
func (w *Watcher) RecordStreamStart(at time.Duration, to Sender, begun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions.starts = append(w.versions.starts, streamTry{at, to, begun})
}

// RecordTakeUp records whether a stream went on that a caller took up while two workers of its version served.
func (w *Watcher) RecordTakeUp(at time.Duration, to Sender, continued bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions.takeUps = append(w.versions.takeUps, streamTry{at, to, continued})
}

// RecordStreamVersions records the software versions whose events a caller received in each answer of one stream, in
// order and without repetitions in sequence.
func (w *Watcher) RecordStreamVersions(id string, answers [][]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions.streams++
	var all []string
	for _, versions := range answers {
		if len(versions) > 1 {
			w.versions.mixedAnswers++
			w.addViolation(OneVersionPerAnswer, "one answer of stream %s holds events of %v", id, versions)
		}
		all = append(all, versions...)
	}
	if len(slices.Compact(all)) > 1 {
		w.versions.mixedTries++
		w.addViolation(OneVersionPerStream, "stream %s holds events of the versions %v", id, answers)
	}
}

// inTouch reports whether no fault affects a gateway at a time, nor did shortly before. The caller holds mu.
func (w *Watcher) inTouch(at time.Duration, gateway string) bool {
	return !slices.ContainsFunc(w.versions.outOfTouch, func(o outage) bool {
		return at >= o.from && at <= o.to+contactDelay && (len(o.gateways) == 0 || slices.Contains(o.gateways, gateway))
	})
}

// VersionResult holds how many streams began and went on at gateways in touch, and how many held several versions.
type VersionResult struct {
	Starts, Begun, TakeUps, Continued int
	Streams, MixedAnswers, Mixed      int
}

// String returns the counts.
func (r VersionResult) String() string {
	return fmt.Sprintf("%d streams, %d of several versions, %d answers of several versions; at gateways in touch %d of %d began and %d of %d taken up went on",
		r.Streams, r.Mixed, r.MixedAnswers, r.Begun, r.Starts, r.Continued, r.TakeUps)
}

// tooFew reports whether streams that were taken up went on too rarely.
func (r VersionResult) tooFew() bool {
	return r.TakeUps >= minTakeUps && float64(r.Continued)*float64(r.Starts) < minContinuedRatio*float64(r.Begun)*float64(r.TakeUps)
}

// VersionResult returns the counts of the run.
func (w *Watcher) VersionResult() VersionResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versionResult()
}

// versionResult returns the counts. The caller holds mu.
func (w *Watcher) versionResult() VersionResult {
	count := func(tries []streamTry) (sent, going int) {
		for _, try := range tries {
			if !w.inTouch(try.at, try.to.Name) || w.serviceLimited(try.at) {
				continue
			}
			sent++
			if try.goes {
				going++
			}
		}
		return sent, going
	}
	result := VersionResult{Streams: w.versions.streams, MixedAnswers: w.versions.mixedAnswers, Mixed: w.versions.mixedTries}
	result.Starts, result.Begun = count(w.versions.starts)
	result.TakeUps, result.Continued = count(w.versions.takeUps)
	return result
}

// checkTakeUps reports a violation if streams that were taken up went on too rarely. The caller holds mu.
func (w *Watcher) checkTakeUps() {
	if result := w.versionResult(); result.tooFew() && !w.versions.takeUpsUnchecked {
		w.addViolation(TakenUpStreamsContinue, "%v", result)
	}
}
