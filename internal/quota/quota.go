// Package quota defines the fleet-wide rate limits: the quotas of tenants and the retry budgets of services. Control
// leases shares of these limits to gateways.
package quota

import (
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
)

// Policy defines how limits are enforced over the whole fleet.
type Policy struct {
	Window      time.Duration // over which a tenant's use is summed up
	Overage     float64       // fraction by which the use in a window may exceed a tenant's quota
	Slack       float64       // units by which it may exceed the quota in addition
	RetryWindow time.Duration // over which retries are summed up
	RetrySlack  float64       // retries per service in a RetryWindow, in addition to a fraction of its requests
}

// Default values of a Policy.
const (
	DefaultWindow      = 8 * time.Second
	DefaultOverage     = 0.1
	DefaultRetryWindow = 10 * time.Second
)

// WithDefaults returns the policy with defaults for unset values.
func (p Policy) WithDefaults() Policy {
	if p.Window == 0 {
		p.Window = DefaultWindow
	}
	if p.Overage == 0 {
		p.Overage = DefaultOverage
	}
	if p.RetryWindow == 0 {
		p.RetryWindow = DefaultRetryWindow
	}
	return p
}

// Fractions of RetrySlack: the rate over a window, the burst, and the slack of the limit.
const (
	retryRateFraction  = 0.4
	retryBurstFraction = 0.3
	retrySlackFraction = 0.3
)

const (
	tenantPrefix  = "tenant/"
	retryPrefix   = "repeats/"
	backendPrefix = "back-end/"
)

// Tenant returns the resource name of a tenant's quota.
func Tenant(name string) string { return tenantPrefix + name }

// ServiceRetries returns the resource name of a service's retry budget.
func ServiceRetries(service string) string { return retryPrefix + service }

// Backend returns the resource name of the limit that an incarnation of a backend advertises.
func Backend(id string) string { return backendPrefix + id }

// Limits returns the limits of a document under a policy, by resource name.
func Limits(document *catalog.Document, policy Policy) map[string]allowance.Limit {
	limits := map[string]allowance.Limit{}
	for _, tenant := range document.Tenants {
		if tenant.Quota.Limited() {
			limits[Tenant(tenant.Name)] = policy.tenantLimit(tenant.Quota)
		}
	}
	if policy.RetrySlack <= 0 || policy.RetryWindow <= 0 {
		return limits
	}
	for _, service := range document.Services {
		if service.StoreAddress == "" {
			limits[ServiceRetries(service.Name)] = policy.retryLimit()
		}
	}
	return limits
}

func (p Policy) tenantLimit(quota catalog.Quota) allowance.Limit {
	room := p.Overage*(quota.Rate*p.Window.Seconds()+quota.Burst) + p.Slack
	return allowance.Limit{Rate: quota.Rate, Burst: quota.Burst, Slack: room}
}

func (p Policy) retryLimit() allowance.Limit {
	return allowance.Limit{
		Rate: retryRateFraction * p.RetrySlack / p.RetryWindow.Seconds(), Burst: retryBurstFraction * p.RetrySlack, Slack: retrySlackFraction * p.RetrySlack,
	}
}
