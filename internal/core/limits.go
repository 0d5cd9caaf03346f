package core

import "time"

// tenant returns the limit state of a request's tenant at its service.
func (c *Core) tenant(r *request) *tenantState {
	key := tenantKey{r.Service, r.Tenant}
	state := c.tenants[key]
	if state == nil {
		state = &tenantState{rateTokens: float64(r.values.RequestBurst), refilledAt: c.now}
		c.tenants[key] = state
	}
	return state
}

// tenantLimitExceeded applies the tenant's rate and concurrency limits and returns when to come back.
func (c *Core) tenantLimitExceeded(r *request) (Reason, time.Duration) {
	tenant := c.tenant(r)
	if r.values.MaxConcurrent > 0 && tenant.activeRequests >= r.values.MaxConcurrent {
		return ReasonConcurrencyLimit, shortRetryAfter
	}
	rate := r.values.RequestsPerSecond
	if rate <= 0 {
		return "", 0
	}
	elapsed := (c.now - tenant.refilledAt).Seconds()
	tenant.rateTokens = min(tenant.rateTokens+elapsed*rate, float64(r.values.RequestBurst))
	tenant.refilledAt = c.now
	if tenant.rateTokens < 1 {
		wait := (1 - tenant.rateTokens) / rate
		return ReasonRateLimit, time.Duration(wait * float64(time.Second))
	}
	tenant.rateTokens--
	return "", 0
}

const (
	minConcurrencyLimit  = 4   // least adaptive concurrency of an engine
	limitIncrease        = 0.2 // added per answer in time
	limitDecrease        = 0.9 // factor per answer that came far too late
	lateFactor           = 3   // observed over predicted time that counts as far too late
	lateSlack            = 300 * time.Millisecond
	latencyBiasSmoothing = 0.1
	minLatencyBias       = 0.5
	maxLatencyBias       = 3.0
	minPredictedLatency  = time.Millisecond
)

// recordFirstTokenLatency compares a prediction with its outcome: it corrects the engine's bias and its concurrency limit.
func (c *Core) recordFirstTokenLatency(row *backend, predicted, observed time.Duration) {
	predicted = max(predicted, minPredictedLatency)
	ratio := float64(observed) / float64(predicted)
	row.latencyBias += latencyBiasSmoothing * (row.latencyBias*ratio - row.latencyBias)
	row.latencyBias = min(max(row.latencyBias, minLatencyBias), maxLatencyBias)
	if observed > lateFactor*predicted+lateSlack {
		row.concurrencyLimit = min(row.maxConcurrency, max(minConcurrencyLimit, row.concurrencyLimit*limitDecrease))
		return
	}
	row.concurrencyLimit = min(row.maxConcurrency, row.concurrencyLimit+limitIncrease)
}

// setMaxConcurrency takes up another highest limit; the limit keeps its share of it.
func (row *backend) setMaxConcurrency(limit float64) {
	row.concurrencyLimit = min(limit, max(minConcurrencyLimit, row.concurrencyLimit*limit/row.maxConcurrency))
	row.maxConcurrency = limit
}
