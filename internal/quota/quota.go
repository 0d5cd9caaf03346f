// Package quota says which resources of a gateway fleet are limited, and by how much: what tenants may use, and how often
// requests to a service may be sent again. Control lends these, gateways borrow them.
package quota

import (
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
)

// Policy are how limits are judged. They are settings of the whole fleet.
type Policy struct {
	Window      time.Duration // that a tenant's use is added up in
	Overage     float64       // share by which use in a window may exceed a tenant's limit
	Slack       float64       // units by which it may besides
	RetryWindow time.Duration // that repeats are added up in
	RetrySlack  float64       // repeats of a service in it, beyond a share of its requests
}

// Defaults of Terms.
const (
	DefaultWindow  = 8 * time.Second
	DefaultOverage = 0.1
	// DefaultRetryWindow is the window for repeats.
	DefaultRetryWindow = 10 * time.Second
)

// WithDefaults returns the terms with defaults where nothing is set.
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

// Shares of the slack for repeats: what comes in over a window, what may be lent at once, and the room for the rest.
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

// Tenant names the resource of a tenant.
func Tenant(name string) string { return tenantPrefix + name }

// ServiceRetries names the resource of a service's repeats.
func ServiceRetries(service string) string { return retryPrefix + service }

// Backend names the resource of a life of a back end, which names its limit itself.
func Backend(id string) string { return backendPrefix + id }

// Limits returns the limits that a document and terms set, by resource.
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
