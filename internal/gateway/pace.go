package gateway

import (
	"time"

	"kitetiller/internal/gateway/belief"
)

// prefillEstimate returns the prefill estimate of a service's engines. The caller holds the mutex.
func (t *table) prefillEstimate(service string) belief.PrefillEstimate {
	if known, learnt := t.prefillEstimates[service]; learnt {
		return known
	}
	return belief.DefaultPrefillEstimate()
}

// observePrefill updates the estimate with a request's time to the first event. Only requests placed at an idle
// engine count.
func (t *table) observePrefill(row *endpoint, engineIdle bool, uncached int, first time.Duration) {
	if !engineIdle || first <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := row.entry.Service
	t.prefillEstimates[service] = t.prefillEstimate(service).Observe(uncached, first)
}

// addPrefill adds prompt tokens to the prefill queue of an engine. The caller holds the mutex.
func (t *table) addPrefill(now time.Duration, row *endpoint, tokens int) {
	row.prefillBusyUntil = max(now, row.prefillBusyUntil) + t.prefillEstimate(row.entry.Service).PrefillTime(tokens)
}
