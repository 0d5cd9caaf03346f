package sim

import (
	"time"

	"kitetiller/internal/level"
)

const (
	minControlDelay = 50 * time.Millisecond
	maxControlDelay = 350 * time.Millisecond
	// slowLinkLeaderTime is how many times the delay of a message a leader may take longer: several rounds of an election, and
	// those in which a leader learns that it has to ask for a longer lease, and gets it.
	slowLinkLeaderTime = 12
	minSlowLinkLength  = 8 * time.Second
	maxSlowLinkLength  = 25 * time.Second
	leaseCheckInterval = 20 * time.Millisecond
)

// controlLinks is the state of the links between control replicas.
type controlLinks struct {
	delay     time.Duration // of each message, in addition
	slowUntil time.Duration
}

// delayNow returns the delay of a message between control replicas.
func (l *controlLinks) delayNow(now time.Duration) time.Duration {
	if now >= l.slowUntil {
		return 0
	}
	return l.delay
}

// unboundedSlowLinks returns for how long links are still slow if the group can't adapt to them, since it has members of builds that
// don't know longer leases.
func (w *world) unboundedSlowLinks() time.Duration {
	for _, n := range w.controls {
		if n.replica.Machine().Level() >= level.LongLeases {
			return 0
		}
	}
	return max(0, w.network.controlLinks.slowUntil-w.now())
}

// isControl reports whether a process is a control replica.
func (w *world) isControl(p *process) bool {
	for _, n := range w.controls {
		if n.process == p {
			return true
		}
	}
	return false
}

// outageSlowLinks delays all messages between control replicas for a time. In half of the cases all lose power first.
func (w *world) outageSlowLinks() {
	delay, length := w.drawOutage(minControlDelay, maxControlDelay), w.drawOutage(minSlowLinkLength, maxSlowLinkLength)
	w.logf("messages between control replicas take %v for %v", delay, length)
	w.network.controlLinks = controlLinks{delay: delay, slowUntil: w.now() + length}
	w.recordControlDisturbance(length + recoveryTime)
	if w.outages.random.IntN(2) == 0 {
		w.outagePowerLoss()
	}
}

// checkLeases checks again and again that at most one control replica leads with a valid lease.
func (w *world) checkLeases() {
	holder := ""
	for _, n := range w.controls {
		if !n.up || n.frozen || !n.replica.Node().LeaseValid(n.clock()) {
			continue
		}
		if holder != "" {
			w.oracle.fail(OneLease, "%s and %s lead with valid leases at the same time", holder, n.name)
		}
		holder = n.name
	}
	w.after(leaseCheckInterval, w.checkLeases)
}
