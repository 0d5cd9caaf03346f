package core

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

// backendIncarnation names a life of a back end. Incarnations tell lives apart and no time.
func backendIncarnation(name string, incarnation uint64) catalog.Life {
	return catalog.Life{Name: name, Born: int64(incarnation)}
}

// observePushback takes up what a back end says of itself.
func (c *Core) observePushback(event EventPushback) {
	c.pushback.Note(c.now, time.Time{}, backendIncarnation(event.Name, event.Incarnation), event.Signals, c.random.Float64())
	c.membershipDirty = c.membershipDirty || event.Signals.Leaving
}

// announcedLeaving reports whether the back end itself said in a refusal that its present life leaves. A report that was written before doesn't
// undo that.
func (c *Core) announcedLeaving(row *backend) bool {
	return c.pushback.At(c.now, backendIncarnation(row.machine.Name, row.incarnation)).Leaving
}

// remainingBackoff returns how long a back end still wants nothing from this router.
func (c *Core) remainingBackoff(row *backend) time.Duration {
	if !c.config.Guards.On(guard.RestCheck) {
		return 0
	}
	return max(0, c.pushback.At(c.now, backendIncarnation(row.machine.Name, row.incarnation)).Until-c.now)
}

// blockedFor returns how long a back end itself wants nothing more from this router: for its rest, or for its limit.
func (c *Core) blockedFor(row *backend) time.Duration {
	return max(c.remainingBackoff(row), c.rateLimitedFor(row))
}

// allBlockedFor returns how long it takes until the first ready back end of a service may be asked again, where all of them want rest or have reached
// their limits, and which of the two; else 0.
func (c *Core) allBlockedFor(service *serviceState) (first time.Duration, reason Reason) {
	for _, id := range service.backends {
		row := &c.backends[id]
		if !c.isReady(row) {
			continue
		}
		left, why := c.remainingBackoff(row), ReasonResting
		if limited := c.rateLimitedFor(row); limited > left {
			left, why = limited, ReasonLimited
		}
		if left == 0 {
			return 0, ""
		}
		if first == 0 || left < first {
			first, reason = left, why
		}
	}
	return first, reason
}

// waitOrRefuse decides on the head of a queue whose service takes nothing for a while. A time that is no longer than requests wait for a back end to
// appear is waited for, and by a stream in progress any that ends while its caller still waits; else the request is refused at once. It returns
// false when the request must wait.
func (c *Core) waitOrRefuse(r *request, service *serviceState, rest time.Duration, reason Reason) bool {
	if c.now+rest < r.deadline && (rest <= backendWaitTimeout || r.streamStarted()) {
		c.wakeAt(r, c.now+rest)
		return false
	}
	service.remove(r)
	r.state = stateRunning
	c.refuse(r, reason, rest+time.Duration(c.random.Float64()*retryAfterJitter*float64(rest)))
	return true
}

// retryAfterJitter is the share of the time to come back that is added to it at random, so that callers who were refused together don't return
// together.
const retryAfterJitter = 0.1

// pushbackSweepInterval is how often words of back ends that count no longer are forgotten.
const pushbackSweepInterval = 10 * time.Second

// sweepPushback forgets words that count no longer.
func (c *Core) sweepPushback() {
	if c.now < c.pushbackSweptAt+pushbackSweepInterval {
		return
	}
	c.pushbackSweptAt = c.now
	c.pushback.Sweep(c.now, func(life catalog.Life) bool {
		id, known := c.backendIDs[life.Name]
		return known && c.backends[id].incarnation == uint64(life.Born)
	})
}
