package gateway

import (
	"time"

	"kitetiller/internal/gateway/belief"
)

// prefillEstimate returns the learnt prefillEstimate of a service's engines. The caller holds the mutex.
func (t *table) prefillEstimate(service string) belief.PrefillEstimate {
	if known, learnt := t.prefillEstimates[service]; learnt {
		return known
	}
	return belief.DefaultPrefillEstimate()
}

// observePrefill learns from a request that was placed so, and whose first event came after a time.
func (t *table) observePrefill(row *endpoint, alone bool, uncached int, first time.Duration) {
	if !alone || first <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := row.entry.Service
	t.prefillEstimates[service] = t.prefillEstimate(service).Observe(uncached, first)
}

// addPrefill notes that an engine has so many more prompt tokens to addPrefill. The caller holds the mutex.
func (t *table) addPrefill(now time.Duration, row *endpoint, tokens int) {
	row.prefillBusyUntil = max(now, row.prefillBusyUntil) + t.prefillEstimate(row.entry.Service).PrefillTime(tokens)
}
