package core

import "time"

// tenant returns the row of a request's tenant at its service, creating it on first use.
func (c *Core) tenant(r *request) *tenantState {
	key := tenantKey{r.Service, r.Tenant}
	state := c.tenants[key]
	if state == nil {
		state = &tenantState{rateTokens: float64(r.values.RequestBurst), refilledAt: c.now}
		c.tenants[key] = state
	}
	return state
}

// tenantLimitExceeded applies the tenant's concurrency and rate limits. It returns the reason for a refusal, or "",
// and the Retry-After.
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
		retryAfter := (1 - tenant.rateTokens) / rate
		return ReasonRateLimit, time.Duration(retryAfter * float64(time.Second))
	}
	tenant.rateTokens--
	return "", 0
}

const (
	minConcurrencyLimit  = 4   // lower bound of an engine's adaptive concurrency limit
	limitIncrease        = 0.2 // added after a first token in time
	limitDecrease        = 0.9 // factor after a late first token
	lateFactor           = 3   // a first token is late after lateFactor times the predicted latency plus lateSlack
	lateSlack            = 300 * time.Millisecond
	latencyBiasSmoothing = 0.1
	minLatencyBias       = 0.5
	maxLatencyBias       = 3.0
	minPredictedLatency  = time.Millisecond
)

// recordFirstTokenLatency compares predicted and observed time to first token, and adjusts the engine's latency bias
// and its concurrency limit (additive increase, multiplicative decrease).
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

// setMaxConcurrency changes the upper bound of the concurrency limit and scales the limit with it.
func (row *backend) setMaxConcurrency(limit float64) {
	row.concurrencyLimit = min(limit, max(minConcurrencyLimit, row.concurrencyLimit*limit/row.maxConcurrency))
	row.maxConcurrency = limit
}
