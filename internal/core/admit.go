package core

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
)

const (
	// startGrace is how long a request may wait for the first lease after a router starts.
	startGrace = 1500 * time.Millisecond
	// holdPeriod is how often a held request is looked at.
	holdPeriod = 20 * time.Millisecond
	// retrySoon is the advice when another router, or the same one in a moment, can serve.
	retrySoon = time.Second
	// minimumGrace is the least time a dispatched request gets beyond its deadline.
	minimumGrace = 500 * time.Millisecond
	// cutOffServeLast is the value of when_cut_off that keeps serving without a lease.
	cutOffServeLast = "serve_last"
)

func (c *Core) observeRequest(incoming Request) {
	c.counters.Requests++
	fresh := &request{Request: incoming, arrived: c.now, emitted: incoming.ResumeFrom}
	c.requests[incoming.ID] = fresh
	c.arrivals = append(c.arrivals, fresh)
}

// runAdmit decides on the requests that arrived.
func (c *Core) runAdmit() {
	for _, r := range c.arrivals {
		if c.requests[r.ID] == r {
			c.admit(r)
		}
	}
	c.arrivals = c.arrivals[:0]
}

// admit holds, refuses, claims or queues a request.
func (c *Core) admit(r *request) {
	if c.draining {
		c.refuse(r, ReasonDraining, retrySoon)
		return
	}
	if !c.mayServe() {
		c.holdOrRefuse(r)
		return
	}
	if !slices.Contains(c.tree.Services(), r.Service) {
		c.refuse(r, ReasonUnknownTarget, 0)
		return
	}
	r.values = c.effective(r.Service, r.Tenant)
	if !r.values.Repeatable && r.Key == "" {
		c.refuse(r, ReasonKeyRequired, 0)
		return
	}
	if reason, wait := c.overLimit(r); reason != "" {
		c.refuse(r, reason, wait)
		return
	}
	c.tenant(r).active++
	r.state = stateQueued
	c.chooseLane(r)
	c.setDeadline(r)
	if !r.values.Repeatable && c.config.Guards.On(guard.ClaimBeforeRun) {
		c.claim(r)
		return
	}
	c.enqueueNew(r)
}

// mayServe reports whether new requests may be decided on: settings are known, and either the lease runs or
// the operator prefers stale service.
func (c *Core) mayServe() bool {
	if !c.hasTree {
		return false
	}
	return c.LeaseValid() || c.tree.Resolve(c.config.Zone).WhenCutOff == cutOffServeLast
}

func (c *Core) holdOrRefuse(r *request) {
	starting := !c.hadLease && c.now < c.config.StartedAt+startGrace
	if starting {
		r.state = stateHeld
		c.wakeAt(r, c.now+holdPeriod)
		return
	}
	reason := ReasonNoLease
	if !c.hasTree {
		reason = ReasonNoSettings
	}
	c.refuse(r, reason, retrySoon)
}

// chooseLane puts short prompts, and small services, into the interactive lane unless the caller chose.
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
		limit = r.values.InteractiveMS
	}
	allowed := time.Duration(limit) * time.Millisecond
	if r.Deadline > 0 && r.Deadline < allowed {
		allowed = r.Deadline
	}
	r.deadline = r.arrived + allowed
	c.wakeAt(r, r.deadline)
}

// claim asks the ledger before anything is sent.
func (c *Core) claim(r *request) {
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
	r, alive := c.requests[event.ID]
	if !alive || r.state != stateClaiming || r.claimID != event.ClaimID {
		return // a late answer: the claim was released when the request was given up on
	}
	if event.Failed {
		c.refuse(r, ReasonLedger, retrySoon)
		return
	}
	switch event.Outcome.Kind {
	case ledger.Granted:
		r.claimed = true
		c.enqueueNew(r)
	case ledger.Replayed:
		c.finish(r, ActionFinish{Reason: ReasonReplayed, Run: RunYes, Answer: event.Outcome.Response})
	case ledger.InProgress:
		c.finish(r, ActionFinish{Reason: ReasonInProgress, Run: RunUnknown, RetryAfter: retrySoon})
	case ledger.RunUnknown:
		c.finish(r, ActionFinish{Reason: ReasonRunUnknown, Run: RunUnknown})
	case ledger.DigestMismatch:
		c.finish(r, ActionFinish{Reason: ReasonKeyReused, Run: RunUnknown})
	case ledger.KeyExpired:
		c.finish(r, ActionFinish{Reason: ReasonKeyExpired, Run: RunUnknown})
	default: // withdrawn or session closed: nothing is known of earlier sends
		c.refuse(r, ReasonLedger, retrySoon)
	}
}

// refuse gives up on a request that has not been dispatched, or whose attempts provably did not run.
func (c *Core) refuse(r *request, reason Reason, retryAfter time.Duration) {
	c.finish(r, ActionFinish{Reason: reason, Run: c.provenRun(r), RetryAfter: retryAfter})
}

// provenRun tells what can be proved. A request with an idempotency key that was never granted its claim
// may have run when it was sent before, so "not run" cannot be proved for it.
func (c *Core) provenRun(r *request) Run {
	if !c.config.Guards.On(guard.NotRunProof) {
		return RunNot
	}
	switch {
	case r.unproven > 0:
		return RunUnknown
	case r.Key != "" && !r.claimed && c.keyMatters(r):
		return RunUnknown
	}
	return RunNot
}

// keyMatters reports whether the request may go to a non-repeatable service. Without a lease the settings may be
// older than the ones by which another router ran it, so they prove nothing.
func (c *Core) keyMatters(r *request) bool {
	return !c.hasTree || !c.LeaseValid() || !c.effective(r.Service, r.Tenant).Repeatable
}

// finish gives the final answer and clears every trace of the request.
func (c *Core) finish(r *request, final ActionFinish) {
	final.ID = r.ID
	for _, sent := range r.attempts {
		c.emit(ActionCancel{ID: r.ID, Attempt: sent.id})
		c.endAttempt(sent)
	}
	c.endClaim(r, final)
	c.emit(final)
	c.count(final)
	if r.state != stateHeld && r.values.Kind != "" {
		if tenant := c.tenant(r); tenant.active > 0 && r.deadline > 0 {
			tenant.active--
		}
	}
	delete(c.requests, r.ID)
	if r.state == stateQueued {
		c.service(r.Service).remove(r)
	}
	c.decisions.finish(r, final, c.now)
}

func (c *Core) count(final ActionFinish) {
	if final.Reason == ReasonComplete || final.Reason == ReasonReplayed {
		c.counters.Complete++
		return
	}
	c.counters.Refused[final.Reason]++
}

// endClaim tells the ledger how a claim ended: with the answer, provably not run, or unknown. A claim whose
// answer never came is withdrawn, so that it cannot be granted later.
func (c *Core) endClaim(r *request, final ActionFinish) {
	if r.claimID == "" {
		return
	}
	end := ledger.End{Key: r.ledgerKey(), ClaimID: r.claimID, Kind: ledger.EndUnknown}
	switch {
	case !r.claimed && r.state != stateClaiming:
		return
	case final.Reason == ReasonComplete:
		end.Kind, end.Response = ledger.EndFinished, final.Answer
	case !r.claimed && !claimLost(final.Reason):
		return // the ledger refused the claim; there is nothing to end
	case r.unproven == 0:
		end.Kind = ledger.EndReleased
	}
	c.emit(ActionEnd{End: end})
}

// claimLost reports whether a request ended while its claim's outcome was not known.
func claimLost(reason Reason) bool {
	return slices.Contains([]Reason{ReasonLedger, ReasonCallerGone}, reason)
}

func (c *Core) observeGone(id RequestID) {
	r, alive := c.requests[id]
	if !alive {
		return
	}
	if !r.values.Repeatable && r.state == stateRunning {
		return // the run goes on; its answer is stored for the resend
	}
	c.finish(r, ActionFinish{Reason: ReasonCallerGone, Run: c.provenRun(r)})
}
