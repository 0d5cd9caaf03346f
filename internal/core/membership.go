package core

import (
	"time"

	"kitetiller/internal/guard"
)

const (
	// deadAfter is the silence after which a back end that left the platform's list is dead.
	deadAfter = 10 * time.Second
	// failuresToSuspect is how many refused connections in a row make a back end suspect at once.
	failuresToSuspect = 2
	// membershipPeriod is how often states are judged when nothing was heard.
	membershipPeriod = 20 * time.Millisecond
	// kindLLM and kindService are the values of the setting "kind".
	kindLLM     = "llm"
	kindService = "service"
)

// runMembership joins the three sources into one state for each back end.
//
// Rule: leaving, from any source, beats everything but death; a back end is ready only when it was heard
// lately, is on the platform's list, and is not loading weights; the list alone never makes it ready, and
// never kills one that answers.
func (c *Core) runMembership() {
	if !c.membershipDirty && c.now < c.membershipAt+membershipPeriod {
		return
	}
	c.membershipDirty = false
	c.membershipAt = c.now
	for i := range c.backends {
		row := &c.backends[i]
		next := c.judge(row)
		if next != row.state {
			c.enterState(row, next)
		}
	}
}

func (c *Core) judge(row *backend) BackendState {
	silence := c.now - row.heardAt
	suspectAfter := time.Duration(c.effective(row.machine.Service, "").SuspectAfterMS) * time.Millisecond
	switch {
	case !row.listed && silence > deadAfter:
		return BackendDead
	case c.isLeaving(row):
		return BackendLeaving
	case row.incarnation == 0:
		return BackendJoining
	case silence > suspectAfter || row.failures >= failuresToSuspect:
		return BackendSuspect
	case row.loading && row.kind == kindLLM:
		return BackendJoining
	}
	return BackendReady
}

func (c *Core) isLeaving(row *backend) bool {
	if !c.config.Guards.On(guard.LeavingCheck) {
		return false
	}
	return row.leaving || (row.listed && row.machine.Leaving) || (!row.listed && row.incarnation != 0)
}

func (c *Core) enterState(row *backend, next BackendState) {
	row.state = next
	if next == BackendDead {
		c.index.Forget(row.id)
		row.incarnation = 0
		row.pendingPrefill = row.pendingPrefill[:0]
	}
	c.service(row.machine.Service).ringStale = true
}

// noteUnreachable counts a refused or timed-out connection.
func (c *Core) noteUnreachable(row *backend) {
	row.failures++
	c.membershipDirty = true
}

// ready reports whether new work may be sent to a back end.
func (c *Core) ready(row *backend) bool { return row.state == BackendReady }
