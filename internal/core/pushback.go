package core

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

// backendIncarnation identifies an incarnation of a back end. StartedMS holds its number, which is not a time here.
func backendIncarnation(name string, incarnation uint64) catalog.Incarnation {
	return catalog.Incarnation{Name: name, StartedMS: int64(incarnation)}
}

// observePushback records what a back end states about itself.
func (c *Core) observePushback(event EventPushback) {
	c.pushback.Observe(c.now, time.Time{}, backendIncarnation(event.Name, event.Incarnation), event.Signals, c.random.Float64())
	c.membershipDirty = c.membershipDirty || event.Signals.Draining
}

// announcedLeaving reports whether the current incarnation announced in a refusal that it is leaving. An older report
// does not revoke that.
func (c *Core) announcedLeaving(row *backend) bool {
	return c.pushback.Restriction(c.now, backendIncarnation(row.machine.Name, row.incarnation)).Draining
}

// remainingBackoff returns how long a back end still wants no requests from this router.
func (c *Core) remainingBackoff(row *backend) time.Duration {
	if !c.config.Guards.On(guard.BackoffCheck) {
		return 0
	}
	return max(0, c.pushback.Restriction(c.now, backendIncarnation(row.machine.Name, row.incarnation)).BackoffUntil-c.now)
}

// blockedFor returns how long a back end must not be sent requests because of its backoff or its advertised rate
// limit.
func (c *Core) blockedFor(row *backend) time.Duration {
	return max(c.remainingBackoff(row), c.rateLimitedFor(row))
}

// allBlockedFor returns the time until the first ready back end of a service is no longer blocked, and what blocks it.
// It returns 0 if one is not blocked or none is ready.
func (c *Core) allBlockedFor(service *serviceState) (first time.Duration, reason Reason) {
	for _, id := range service.backends {
		row := &c.backends[id]
		if !c.isReady(row) {
			continue
		}
		remaining, cause := c.remainingBackoff(row), ReasonResting
		if limited := c.rateLimitedFor(row); limited > remaining {
			remaining, cause = limited, ReasonLimited
		}
		if remaining == 0 {
			return 0, ""
		}
		if first == 0 || remaining < first {
			first, reason = remaining, cause
		}
	}
	return first, reason
}

// waitOrRefuse handles the head of a queue whose service is blocked as a whole. It waits if the
// block ends before its deadline and lasts at most backendWaitTimeout, or longer for a started stream; otherwise it is
// refused with a Retry-After. It returns false if the request must wait.
func (c *Core) waitOrRefuse(r *request, service *serviceState, blocked time.Duration, reason Reason) bool {
	if c.now+blocked < r.deadline && (blocked <= backendWaitTimeout || r.streamStarted()) {
		c.wakeAt(r, c.now+blocked)
		return false
	}
	service.remove(r)
	r.state = stateRunning
	c.refuse(r, reason, blocked+time.Duration(c.random.Float64()*retryAfterJitter*float64(blocked)))
	return true
}

// retryAfterJitter is the maximum fraction randomly added to a Retry-After, so that clients refused together do not
// retry together.
const retryAfterJitter = 0.1

// pushbackSweepInterval is how often expired pushback is removed.
const pushbackSweepInterval = 10 * time.Second

// sweepPushback removes expired pushback.
func (c *Core) sweepPushback() {
	if c.now < c.pushbackSweptAt+pushbackSweepInterval {
		return
	}
	c.pushbackSweptAt = c.now
	c.pushback.Sweep(c.now, func(incarnation catalog.Incarnation) bool {
		id, found := c.backendIDs[incarnation.Name]
		return found && c.backends[id].incarnation == uint64(incarnation.StartedMS)
	})
}
