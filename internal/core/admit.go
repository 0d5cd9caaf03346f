package core

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
)

const (
	// startupGracePeriod is how long after startup requests are held for the first lease.
	startupGracePeriod = 1500 * time.Millisecond
	// holdCheckInterval is how often a held request is checked.
	holdCheckInterval = 20 * time.Millisecond
	// shortRetryAfter is the Retry-After of conditions that end soon or that another router does not have.
	shortRetryAfter = time.Second
	// minFirstTokenGrace is the minimum time that a dispatched request gets beyond its deadline.
	minFirstTokenGrace = 500 * time.Millisecond
	// cutOffServeLast is the value of when_cut_off that continues to serve without a lease.
	cutOffServeLast = "serve_last"
)

func (c *Core) observeRequest(incoming Request) {
	c.counters.Requests++
	r := &request{Request: incoming, arrivedAt: c.now, emitted: incoming.ResumeFrom}
	c.requests[incoming.ID] = r
	c.arrivals = append(c.arrivals, r)
}

// runAdmission decides on newly arrived requests.
func (c *Core) runAdmission() {
	for _, r := range c.arrivals {
		if c.requests[r.ID] == r {
			c.admit(r)
		}
	}
	c.arrivals = c.arrivals[:0]
}

// admit holds, refuses or queues a request, or requests its claim first.
func (c *Core) admit(r *request) {
	if c.draining {
		c.refuse(r, ReasonDraining, shortRetryAfter)
		return
	}
	if !c.mayAdmit() {
		c.holdOrRefuse(r)
		return
	}
	if !slices.Contains(c.tree.Services(), r.Service) {
		c.refuse(r, ReasonUnknownService, 0)
		return
	}
	r.values = c.effectiveSettings(r.Service, r.Tenant)
	if !r.values.Repeatable && r.Key == "" {
		c.refuse(r, ReasonKeyRequired, 0)
		return
	}
	if reason, wait := c.tenantLimitExceeded(r); reason != "" {
		c.refuse(r, reason, wait)
		return
	}
	if retryAfter, admitted := c.service(r.Service).congestion.Admit(c.now); !admitted {
		c.refuse(r, ReasonCongested, max(shortRetryAfter, retryAfter)+time.Duration(c.random.Float64()*float64(retryAfter)))
		return
	}
	if !c.bindOrigin(r) {
		c.refuse(r, ReasonOriginUnknown, 0)
		return
	}
	c.tenant(r).activeRequests++
	r.state = stateQueued
	c.chooseLane(r)
	c.setDeadline(r)
	if !r.values.Repeatable && c.config.Guards.On(guard.ClaimBeforeRun) {
		c.requestClaim(r)
		return
	}
	c.enqueueNew(r)
}

// mayAdmit reports whether the router has settings and may use them: the lease is valid, or the operator prefers
// serving with stale settings.
func (c *Core) mayAdmit() bool {
	if !c.hasSettings {
		return false
	}
	return c.LeaseValid() || c.tree.Resolve(c.config.Zone).WhenCutOff == cutOffServeLast
}

func (c *Core) holdOrRefuse(r *request) {
	starting := !c.hadLease && c.now < c.config.StartedAt+startupGracePeriod
	if starting {
		r.state = stateAwaitingLease
		c.wakeAt(r, c.now+holdCheckInterval)
		return
	}
	reason := ReasonNoLease
	if !c.hasSettings {
		reason = ReasonNoSettings
	}
	c.refuse(r, reason, shortRetryAfter)
}

// chooseLane assigns requests with little uncached prompt to the interactive lane, the others to the batch lane,
// unless the client chose a lane.
func (c *Core) chooseLane(r *request) {
	if r.LaneFixed {
		return
	}
	r.Lane = LaneBatch
	if c.estimateUncached(r) <= r.values.InteractiveMaxTokens {
		r.Lane = LaneInteractive
	}
}

func (c *Core) estimateUncached(r *request) int {
	best := 0
	for _, chain := range r.Chains {
		c.matches = c.index.Lookup(chain.Blocks, c.now, c.matches[:0])
		if len(c.matches) > 0 {
			best = max(best, c.matches[0].Blocks*c.config.BlockTokens)
		}
	}
	return r.PromptTokens - best
}

func (c *Core) setDeadline(r *request) {
	limit := r.values.RequestDeadlineMS
	if r.Lane == LaneInteractive {
		limit = r.values.InteractiveDeadlineMS
	}
	allowed := time.Duration(limit) * time.Millisecond
	if r.Deadline > 0 && r.Deadline < allowed {
		allowed = r.Deadline
	}
	r.deadline = r.arrivedAt + allowed
	c.wakeAt(r, r.deadline)
}

// requestClaim asks the ledger for permission before anything is dispatched.
func (c *Core) requestClaim(r *request) {
	r.state = stateClaiming
	r.claimID = fmt.Sprintf("%s-%d-%d", c.config.Router, c.epoch, r.ID)
	r.epoch = c.epoch
	c.emit(ActionClaim{ID: r.ID, Claim: ledger.Claim{
		Key: r.ledgerKey(), Digest: r.Digest, ClaimID: r.claimID,
		Holder:      ledger.Holder{Router: c.config.Router, Epoch: c.epoch},
		RetentionMS: int64(r.values.RetentionSeconds) * 1000,
	}})
}

func (r *request) ledgerKey() ledger.Key {
	return ledger.Key{Tenant: r.Tenant, Service: r.Service, Key: r.Key}
}

func (c *Core) observeClaim(event EventClaim) {
	r, found := c.requests[event.ID]
	if !found || r.state != stateClaiming || r.claimID != event.ClaimID {
		return // stale reply: the request has ended and its claim has been released
	}
	if event.Failed {
		c.refuse(r, ReasonLedgerUnavailable, shortRetryAfter)
		return
	}
	switch event.Outcome.Kind {
	case ledger.Granted:
		r.claimGranted = true
		c.enqueueNew(r)
	case ledger.Replayed:
		c.finish(r, ActionFinish{Reason: ReasonReplayed, Run: RunYes, Answer: event.Outcome.Response})
	case ledger.InProgress:
		c.finish(r, ActionFinish{Reason: ReasonInProgress, Run: RunUnknown, RetryAfter: shortRetryAfter})
	case ledger.RunUnknown:
		c.finish(r, ActionFinish{Reason: ReasonRunUnknown, Run: RunUnknown})
	case ledger.DigestMismatch:
		c.finish(r, ActionFinish{Reason: ReasonKeyReused, Run: RunUnknown})
	case ledger.KeyExpired:
		c.finish(r, ActionFinish{Reason: ReasonKeyExpired, Run: RunUnknown})
	default: // withdrawn or session closed: earlier runs are unknown
		c.refuse(r, ReasonLedgerUnavailable, shortRetryAfter)
	}
}

// refuse ends a request without a running attempt. Its run status follows from its attempts and claim.
func (c *Core) refuse(r *request, reason Reason, retryAfter time.Duration) {
	c.finish(r, ActionFinish{Reason: reason, Run: c.runStatus(r), RetryAfter: retryAfter})
}

// runStatus returns RunNot only if that can be proved. A request with an idempotency key and no granted claim may
// have run through an earlier request with the same key.
func (c *Core) runStatus(r *request) RunStatus {
	if !c.config.Guards.On(guard.NotRunProof) {
		return RunNot
	}
	switch {
	case r.possibleRuns > 0:
		return RunUnknown
	case r.Key != "" && !r.claimGranted && c.mayBeNonRepeatable(r):
		return RunUnknown
	}
	return RunNot
}

// mayBeNonRepeatable reports whether the service may be non-repeatable. Without a valid lease another router may have
// run the request under newer settings, so the settings in use do not rule it out.
func (c *Core) mayBeNonRepeatable(r *request) bool {
	return !c.hasSettings || !c.LeaseValid() || !c.effectiveSettings(r.Service, r.Tenant).Repeatable
}

// finish gives the final answer, cancels running attempts and removes the request from all tables.
func (c *Core) finish(r *request, final ActionFinish) {
	final.ID = r.ID
	for _, sent := range r.attempts {
		c.emit(ActionCancel{ID: r.ID, Attempt: sent.id})
		c.endAttempt(sent)
	}
	c.endClaim(r, final)
	c.emit(final)
	c.countOutcome(final)
	if r.state != stateAwaitingLease && r.values.Kind != "" {
		if tenant := c.tenant(r); tenant.activeRequests > 0 && r.deadline > 0 {
			tenant.activeRequests--
		}
	}
	delete(c.requests, r.ID)
	if r.state == stateQueued {
		c.service(r.Service).remove(r)
	}
	c.decisions.finish(r, final, c.now)
}

func (c *Core) countOutcome(final ActionFinish) {
	if final.Reason == ReasonComplete || final.Reason == ReasonReplayed {
		c.counters.Completed++
		return
	}
	c.counters.Refused[final.Reason]++
}

// endClaim reports the end of a claim to the ledger: finished with an answer, released or unknown. A claim with no
// reply yet is released too, so that it cannot be granted later.
func (c *Core) endClaim(r *request, final ActionFinish) {
	if r.claimID == "" {
		return
	}
	end := ledger.End{Key: r.ledgerKey(), ClaimID: r.claimID, Kind: ledger.EndUnknown}
	switch {
	case !r.claimGranted && r.state != stateClaiming:
		return
	case final.Reason == ReasonComplete:
		end.Kind, end.Response = ledger.EndFinished, final.Answer
	case !r.claimGranted && !claimOutcomeUnknown(final.Reason):
		return // the ledger denied the claim
	case r.possibleRuns == 0:
		end.Kind = ledger.EndReleased
	}
	c.emit(ActionEndClaim{End: end})
}

// claimOutcomeUnknown reports whether a request without a granted claim ended before the claim's outcome was known.
func claimOutcomeUnknown(reason Reason) bool {
	return slices.Contains([]Reason{ReasonLedgerUnavailable, ReasonCallerGone}, reason)
}

func (c *Core) observeCallerGone(id RequestID) {
	r, found := c.requests[id]
	if !found {
		return
	}
	if !r.values.Repeatable && r.state == stateRunning {
		return // the attempt continues; its answer is stored for a repeated request
	}
	c.finish(r, ActionFinish{Reason: ReasonCallerGone, Run: c.runStatus(r)})
}
