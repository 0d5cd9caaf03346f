package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/allowance"
	"kitetiller/internal/allowance/desk"
	"kitetiller/internal/control"
	"kitetiller/internal/quota"
)

// retryLeaseTimeout bounds how long a failed request waits for a lease on a retry.
const retryLeaseTimeout = 50 * time.Millisecond

// quotaLease is a request's lease on its tenant's quota. Each send to a back end uses one up.
type quotaLease struct {
	lease    allowance.Lease
	acquired bool // the next send is allowed, by the lease or because there is no quota
}

// acquireQuota acquires the quota for the next send to a back end. If there is none, it answers the request and returns
// false.
func (x *exchange) acquireQuota() bool {
	if x.hasQuota() {
		return true
	}
	if x.tenant == nil || !x.tenant.Quota.Limited() {
		x.quotaLease.acquired = true
		return true
	}
	cost := x.tenant.Quota.Cost(x.call.PromptTokens+x.call.OutputTokens, x.call.TokensDeclared)
	result := x.gateway.leases.Acquire(x.request.Context(), quota.Tenant(x.tenant.Name), cost, x.viewWait())
	switch result.Outcome {
	case desk.Granted:
		x.gateway.recordStage(stageLease)
		x.quotaLease = quotaLease{lease: result.Lease, acquired: true}
		return true
	case desk.LimitReached:
		x.rejectForQuota(http.StatusTooManyRequests, reasonOverLimit, result.RetryAfter)
	default:
		x.rejectForQuota(http.StatusServiceUnavailable, reasonLimitUnknown, x.gateway.controlRetryAfter())
	}
	return false
}

// rejectForQuota answers a request that may not be sent because of its tenant's quota.
func (x *exchange) rejectForQuota(status int, reason string, retryAfter time.Duration) {
	switch {
	case x.request.Context().Err() != nil:
		x.abandon()
	case x.mayHaveRun || x.headRelayed.Load():
		x.giveUp(reason, 0)
	default:
		x.reject(status, reason, max(minRetryAfter, retryAfter))
	}
}

// hasQuota reports whether quota for the next send is held. A lease may have expired during a pause of the process or
// while the body was read slowly.
func (x *exchange) hasQuota() bool {
	return x.quotaLease.acquired && (x.quotaLease.lease.Amount == 0 || x.quotaLease.lease.Valid(x.gateway.now()))
}

// releaseQuota returns unused quota.
func (x *exchange) releaseQuota() {
	if x.quotaLease.acquired {
		x.gateway.leases.Release(x.quotaLease.lease)
	}
	x.quotaLease = quotaLease{}
}

// requestLeases requests leases from the control leader. It is the desk's RequestFunc.
func (g *Gateway) requestLeases(ctx context.Context, request allowance.Request) (allowance.Reply, error) {
	ask := g.group.AskOnce
	if !g.group.AnsweredWithin(controlContactWindow) {
		ask = g.group.AskAny
	}
	response, err := ask(ctx, control.Request{AllowanceRequest: &request})
	if err != nil {
		return allowance.Reply{}, err
	}
	if response.Kind != control.ResponseOK || response.AllowanceReply == nil {
		return allowance.Reply{}, eris.Errorf("unexpected response from control: %s", response.Kind)
	}
	return *response.AllowanceReply, nil
}

// acquireRetry acquires one retry of a request to a service, from this gateway's budget or else by a lease from the
// fleet's.
func (g *Gateway) acquireRetry(ctx context.Context, service string) bool {
	if g.budget.acquireRetry(service, g.now()) {
		return true
	}
	name := quota.ServiceRetries(service)
	result := g.leases.Acquire(ctx, name, 1, retryLeaseTimeout)
	return result.Outcome == desk.Granted && result.Lease.Name == name
}
