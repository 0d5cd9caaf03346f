package gateway

import (
	"time"

	"kitetiller/internal/mechanism"
)

const (
	// minAvoidance and maxAvoidance bound how long a back end is avoided after a failure. The time doubles with each
	// consecutive failure.
	minAvoidance = 200 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// unreachableAvoidance is how long a back end is avoided after the first failed connection. It is longer because
	// each further try delays a request by the connection timeout.
	unreachableAvoidance = 800 * time.Millisecond
	// failureSmoothing is the weight of the newest outcome in a back end's failure rate.
	failureSmoothing = 0.1
	// peerReportWindow is the time within which two gateways must report a back end as unreachable for it to be
	// avoided, so that a gateway with network problems of its own does not affect others. The back end is then avoided
	// for peerReportAvoidance.
	peerReportWindow    = 2 * time.Second
	peerReportAvoidance = 1200 * time.Millisecond
)

// attemptOutcome is what an attempt shows about its back end.
type attemptOutcome uint8

const (
	outcomeUnknown attemptOutcome = iota // shows nothing
	outcomeSuccess
	outcomeRejected // it is alive but rejected the request
	outcomeFailure
)

// recordOutcome records the outcome of an attempt. The caller holds the table's mutex.
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

// raiseFailureRate counts a failure in the failure rate.
func (e *endpoint) raiseFailureRate() { e.failureRate += failureSmoothing * (1 - e.failureRate) }

// recordFailure records a failure and avoids the back end for base, doubled for each failure before.
func (e *endpoint) recordFailure(now, base time.Duration) {
	e.failures++
	e.raiseFailureRate()
	e.avoidUntil = max(e.avoidUntil, now+min(base<<min(e.failures-1, 10), maxAvoidance))
}

// recordUnreachable records a failed connection, and reports whether the back end was not avoided before, so that other
// gateways are to be notified.
func (t *table) recordUnreachable(now time.Duration, row *endpoint) (newlyAvoided bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	newlyAvoided = now >= row.avoidUntil
	row.recordFailure(now, unreachableAvoidance)
	return newlyAvoided
}

// peerReport is the last report of another gateway that a back end is unreachable.
type peerReport struct {
	reporter string
	at       time.Duration
}

// recordPeerReport records another gateway's report that a back end is unreachable, if that mechanism is enabled. The
// caller holds the mutex.
func (t *table) recordPeerReport(at time.Duration, row *endpoint, reporter string) {
	if t.mechanisms.On(mechanism.PeerFailureReports) {
		row.recordPeerReport(at, reporter)
	}
}

// recordPeerReport records another gateway's report that a back end is unreachable. The back end is avoided if a second
// gateway reported it too or this gateway's last attempt failed, unless it has sent bytes since the report.
func (e *endpoint) recordPeerReport(at time.Duration, reporter string) {
	previous := e.reports
	e.reports = peerReport{reporter: reporter, at: at}
	confirmed := previous.reporter != "" && previous.reporter != reporter && at-previous.at < peerReportWindow
	if (confirmed || e.failures > 0) && e.lastByteAt < at {
		e.avoidUntil = max(e.avoidUntil, at+peerReportAvoidance)
	}
}
