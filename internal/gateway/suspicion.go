package gateway

import (
	"time"

	"kitetiller/internal/mechanism"
)

const (
	// minAvoidance and suspectLimit bound how long a back end that failed is avoided; the time doubles with each failure.
	minAvoidance = 200 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// unreachableAvoidance is how long one is avoided after the first connection that did not come up: each try costs a request
	// the time that a connection may take.
	unreachableAvoidance = 800 * time.Millisecond
	// failureSmoothing weighs the newest outcome in a back end's share of failures.
	failureSmoothing = 0.1
	// peerReportWindow is the time within which two gateways must report a back end, so that one which is cut off by itself
	// turns nobody away; reported ones are avoided for reportedFor.
	peerReportWindow    = 2 * time.Second
	peerReportAvoidance = 1200 * time.Millisecond
)

// attemptOutcome tells what an attempt says of its back end.
type attemptOutcome uint8

const (
	outcomeUnknown attemptOutcome = iota // says nothing
	outcomeSuccess
	outcomeRejected // it is alive but turned the request away
	outcomeFailure
)

// recordOutcome notes how an attempt at a back end went. The caller holds the table's mutex.
func (e *endpoint) recordOutcome(now time.Duration, outcome attemptOutcome) {
	switch outcome {
	case outcomeSuccess:
		e.failures = 0
		e.failureRate *= 1 - failureSmoothing
		e.lastByteAt = now
	case outcomeRejected:
		e.avoidUntil = max(e.avoidUntil, now+minAvoidance/2)
		e.lastByteAt = now
	case outcomeFailure:
		e.recordFailure(now, minAvoidance)
	}
}

// raiseFailureRate counts a failure in the back end's share of them.
func (e *endpoint) raiseFailureRate() { e.failureRate += failureSmoothing * (1 - e.failureRate) }

func (e *endpoint) recordFailure(now, base time.Duration) {
	e.failures++
	e.raiseFailureRate()
	e.avoidUntil = max(e.avoidUntil, now+min(base<<min(e.failures-1, 10), maxAvoidance))
}

// recordUnreachable notes that no connection came up, and reports whether that is news to the other gateways.
func (t *table) recordUnreachable(now time.Duration, row *endpoint) (newlyAvoided bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	newlyAvoided = now >= row.avoidUntil
	row.recordFailure(now, unreachableAvoidance)
	return newlyAvoided
}

// peerReport is who lately reported a back end as unreachable.
type peerReport struct {
	reporter string
	at       time.Duration
}

// recordPeerReport takes another gateway's report, where such reports count. The caller holds the mutex.
func (t *table) recordPeerReport(at time.Duration, row *endpoint, reporter string) {
	if t.mechanisms.On(mechanism.Suspicion) {
		row.recordPeerReport(at, reporter)
	}
}

// recordPeerReport takes another gateway's report that no connection to a back end came up. It counts with a second gateway's, and
// unless the back end has spoken to this one since.
func (e *endpoint) recordPeerReport(at time.Duration, reporter string) {
	previous := e.reports
	e.reports = peerReport{reporter: reporter, at: at}
	confirmed := previous.reporter != "" && previous.reporter != reporter && at-previous.at < peerReportWindow
	if (confirmed || e.failures > 0) && e.lastByteAt < at {
		e.avoidUntil = max(e.avoidUntil, at+peerReportAvoidance)
	}
}
