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

// retryLeaseTimeout is how long a request that failed waits for the fleet's word whether it may be sent again.
const retryLeaseTimeout = 50 * time.Millisecond

// quotaLease is what a request holds of its tenant's limit. Each send to a back end uses one hold up.
type quotaLease struct {
	lease    allowance.Lease
	acquired bool // the next send is covered, by hold or because there is no limit
}

// acquireQuota takes what the next send to a back end counts of the tenant's limit, or answers the request.
func (x *exchange) acquireQuota() bool {
	if x.hasQuota() {
		return true
	}
	if x.tenant == nil || !x.tenant.Quota.Limited() {
		x.cover.acquired = true
		return true
	}
	cost := x.tenant.Quota.Cost(x.call.PromptTokens+x.call.OutputTokens, x.call.Counted)
	result := x.gateway.desk.Acquire(x.request.Context(), quota.Tenant(x.tenant.Name), cost, x.viewWait())
	switch result.Outcome {
	case desk.Granted:
		x.cover = quotaLease{lease: result.Lease, acquired: true}
		return true
	case desk.LimitReached:
		x.rejectForQuota(http.StatusTooManyRequests, reasonOverLimit, result.RetryAfter)
	default:
		x.rejectForQuota(http.StatusServiceUnavailable, reasonUncounted, x.gateway.controlRetryAfter())
	}
	return false
}

// rejectForQuota answers a request that may not be sent for its tenant's limit.
func (x *exchange) rejectForQuota(status int, reason string, retryAfter time.Duration) {
	switch {
	case x.request.Context().Err() != nil:
		x.abandon()
	case x.mayHave || x.relayed:
		x.giveUp(reason, 0)
	default:
		x.refuse(status, reason, max(retrySoon, retryAfter))
	}
}

// hasQuota reports whether the next send is hasQuota now: a hold ends while the process stands still, or the body is slow.
func (x *exchange) hasQuota() bool {
	return x.cover.acquired && (x.cover.lease.Amount == 0 || x.cover.lease.Valid(x.gateway.now()))
}

// releaseQuota gives back what was not used.
func (x *exchange) releaseQuota() {
	if x.cover.acquired {
		x.gateway.desk.Release(x.cover.lease)
	}
	x.cover = quotaLease{}
}

// requestLeases asks the leader for amounts; it is the desk's way to the lender.
func (g *Gateway) requestLeases(ctx context.Context, request allowance.Request) (allowance.Reply, error) {
	ask := g.group.Once
	if !g.group.HeardWithin(controlContactWindow) {
		ask = g.group.Any
	}
	response, err := ask(ctx, control.Request{Borrow: &request})
	if err != nil {
		return allowance.Reply{}, err
	}
	if response.Kind != control.ResponseOK || response.Lent == nil {
		return allowance.Reply{}, eris.Errorf("control answers %s", response.Kind)
	}
	return *response.Lent, nil
}

// acquireRetry takes one repeat of a request to a service: from this gateway's own share, else from what the fleet lends.
func (g *Gateway) acquireRetry(ctx context.Context, service string) bool {
	if g.budget.acquireRetry(service, g.now()) {
		return true
	}
	name := quota.ServiceRetries(service)
	result := g.desk.Acquire(ctx, name, 1, retryLeaseTimeout)
	return result.Outcome == desk.Granted && result.Lease.Name == name
}
