package core

import (
	"cmp"
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

const (
	// unlistedTimeout is the silence after which a back end that left the platform's list is dead.
	unlistedTimeout = 10 * time.Second
	// suspectFailures is how many refused connections in a row make a back end suspect at once.
	suspectFailures = 2
	// membershipInterval is how often states are judged when nothing was heard.
	membershipInterval = 20 * time.Millisecond
)

// runMembership joins the three sources into one state for each back end.
//
// Rule: leaving, from any source, beats everything but death; a back end is ready only when it was heard
// lately, is on the platform's list, and is not loading weights; the list alone never makes it ready, and
// never kills one that answers.
func (c *Core) runMembership() {
	if !c.membershipDirty && c.now < c.membershipCheckedAt+membershipInterval {
		return
	}
	c.membershipDirty = false
	c.membershipCheckedAt = c.now
	for i := range c.backends {
		row := &c.backends[i]
		next := c.nextState(row)
		if next != row.state {
			c.enterState(row, next)
		}
	}
}

func (c *Core) nextState(row *backend) BackendState {
	silence := c.now - row.lastSeenAt
	suspectAfter := time.Duration(c.effectiveSettings(row.machine.Service, "").SuspectAfterMS) * time.Millisecond
	switch {
	case !row.listed && silence > unlistedTimeout:
		return BackendDead
	case c.isLeaving(row):
		return BackendLeaving
	case row.incarnation == 0:
		return BackendJoining
	case silence > suspectAfter || row.consecutiveFailures >= suspectFailures:
		return BackendSuspect
	case row.loading && row.kind == settings.KindLLM:
		return BackendJoining
	}
	return BackendReady
}

func (c *Core) isLeaving(row *backend) bool {
	if !c.config.Guards.On(guard.LeavingCheck) {
		return false
	}
	heard := c.config.Guards.On(guard.LeavingHeard) && c.announcedLeaving(row)
	return row.leaving || heard || (row.listed && row.machine.Leaving) || (!row.listed && row.incarnation != 0)
}

func (c *Core) enterState(row *backend, next BackendState) {
	row.state = next
	switch next {
	case BackendSuspect:
		c.failAttemptsOn(row, onlyRepeatable)
	case BackendDead:
		c.failAttemptsOn(row, allRequests)
		c.index.Forget(row.id)
		row.incarnation = 0
		row.pendingPrefill = row.pendingPrefill[:0]
	}
	c.service(row.machine.Service).ringStale = true
}

// allRequests selects all requests for breakAttempts.
func allRequests(*request) bool { return true }

// onlyRepeatable selects the requests that another back end may take over; a non-repeatable one waits for its
// answer as long as its deadline allows.
func onlyRepeatable(r *request) bool { return r.values.Repeatable }

// failAttemptsOn ends the attempts that run on an earlier life of a back end, or on a silent one, as if their
// connections had broken. Requests are taken in order of arrival, so that ticks are deterministic.
func (c *Core) failAttemptsOn(row *backend, affected func(*request) bool) {
	if row.running == 0 {
		return
	}
	var broken []*request
	for _, r := range c.requests {
		if attemptIndexOn(r, row.id) >= 0 && affected(r) {
			broken = append(broken, r)
		}
	}
	slices.SortFunc(broken, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range broken {
		at := attemptIndexOn(r, row.id)
		c.failAttempt(r, at, EventAttempt{ID: r.ID, Attempt: r.attempts[at].id, Kind: AttemptBroken})
	}
}

// attemptIndexOn returns the position of a request's attempt on a back end, or -1.
func attemptIndexOn(r *request, id prefix.EngineID) int {
	return slices.IndexFunc(r.attempts, func(sent attempt) bool { return sent.backend == id })
}

// recordConnectionFailure counts a refused or timed-out connection.
func (c *Core) recordConnectionFailure(row *backend) {
	row.consecutiveFailures++
	c.membershipDirty = true
}

const (
	// pauseThreshold is a time between two ticks that a running process never lets pass: it was stopped, or its
	// machine was.
	pauseThreshold = time.Second
	// maxListWait is how long a process that stood still waits for a fresh list before it goes on without one.
	maxListWait = 2 * time.Second
)

// detectPause notices that the process stood still, so that what it knows of leaving back ends is old.
func (c *Core) detectPause(now time.Duration) {
	if now > c.now+pauseThreshold {
		c.resumedAt = now
	}
}

// awaitsFreshList reports whether placing must wait for a list that is younger than a standstill.
func (c *Core) awaitsFreshList() bool {
	return c.resumedAt > c.listRequestedAt && c.now < c.resumedAt+maxListWait && c.config.Guards.On(guard.LeavingCheck)
}

// isReady reports whether new work may be sent to a back end.
func (c *Core) isReady(row *backend) bool { return row.state == BackendReady }
