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
	// unlistedTimeout is how long a back end missing from the machine list may be silent before it is dead.
	unlistedTimeout = 10 * time.Second
	// suspectFailures is the number of consecutive connection failures that make a back end suspect.
	suspectFailures = 2
	// membershipInterval is how often states are re-evaluated without new information.
	membershipInterval = 20 * time.Millisecond
)

// runMembership derives the state of each back end from its reports, the machine list and connection failures.
//
// Leaving, according to any source, takes precedence over every state but dead. A back end is ready only if it
// reported recently, is on the machine list, and is not loading weights. The list alone neither makes a back
// end ready nor makes one that reports dead.
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
	c.observeSoftwareVersions()
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
	announced := c.config.Guards.On(guard.LeavingSelfReported) && c.announcedLeaving(row)
	return row.leaving || announced || (row.listed && row.machine.Leaving) || (!row.listed && row.incarnation != 0)
}

func (c *Core) enterState(row *backend, next BackendState) {
	row.state = next
	switch next {
	case BackendSuspect:
		c.failAttemptsOn(row, onlyRepeatable)
	case BackendDead:
		c.failAttemptsOn(row, allRequests)
		c.index.InvalidateEngine(row.id)
		row.incarnation = 0
		row.pendingPrefill = row.pendingPrefill[:0]
	}
	service := c.service(row.machine.Service)
	service.ringStale, service.softwareStale = true, true
}

// allRequests selects every request for failAttemptsOn.
func allRequests(*request) bool { return true }

// onlyRepeatable selects requests that another back end may take over. Non-repeatable ones keep waiting for their
// answer until their deadline.
func onlyRepeatable(r *request) bool { return r.values.Repeatable }

// failAttemptsOn fails the attempts on a back end that restarted or is unreachable, as if their connections had
// broken. Requests are processed in order of arrival to keep ticks deterministic.
func (c *Core) failAttemptsOn(row *backend, selected func(*request) bool) {
	if row.running == 0 {
		return
	}
	var requests []*request
	for _, r := range c.requests {
		if attemptIndexOn(r, row.id) >= 0 && selected(r) {
			requests = append(requests, r)
		}
	}
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range requests {
		index := attemptIndexOn(r, row.id)
		c.failAttempt(r, index, EventAttempt{ID: r.ID, Attempt: r.attempts[index].id, Kind: AttemptBroken})
	}
}

// attemptIndexOn returns the index of the request's attempt on a back end, or -1.
func attemptIndexOn(r *request, id prefix.EngineID) int {
	return slices.IndexFunc(r.attempts, func(sent attempt) bool { return sent.backend == id })
}

// recordConnectionFailure counts a refused or timed-out connection.
func (c *Core) recordConnectionFailure(row *backend) {
	row.consecutiveFailures++
	c.membershipDirty = true
}

const (
	// pauseThreshold is the time between ticks from which the process or its machine counts as paused.
	pauseThreshold = time.Second
	// maxListWait is how long placement waits for a fresh machine list after a pause.
	maxListWait = 2 * time.Second
)

// detectPause detects that the process was paused, after which its knowledge of leaving back ends may be
// outdated.
func (c *Core) detectPause(now time.Duration) {
	if now > c.now+pauseThreshold {
		c.resumedAt = now
	}
}

// awaitsFreshList reports whether placement must wait for a machine list requested after the last pause.
func (c *Core) awaitsFreshList() bool {
	return c.resumedAt > c.listRequestedAt && c.now < c.resumedAt+maxListWait && c.config.Guards.On(guard.LeavingCheck)
}

// isReady reports whether new work may be dispatched to a back end.
func (c *Core) isReady(row *backend) bool { return row.state == BackendReady }
