package soak

import (
	"slices"
	"time"

	"kitetiller/internal/lab/window"
)

const (
	// limitGracePeriod is the time after a back end first advertises a limit during which exceeding it is not a
	// violation. limitPropagationDelay is the time after a process learns of a limit during which its requests are not
	// counted.
	limitGracePeriod      = 3 * time.Second
	limitPropagationDelay = 500 * time.Millisecond
)

// advertisedLimit is a period in which one incarnation of a back end advertises a rate limit.
type advertisedLimit struct {
	from, until time.Duration
	rate        float64                  // requests per second
	observedAt  map[Sender]time.Duration // when each process was known to have received it
	arrivals    []time.Duration          // counted requests within the latest window, ascending
}

// RecordAdvertisedLimit records that an incarnation of a back end advertised a limit in its response to request id,
// valid until a given time.
func (w *Watcher) RecordAdvertisedLimit(at time.Duration, id, incarnation string, rate float64, until time.Duration) {
	w.mu.Lock()
	limit := w.signals.limits[incarnation]
	if limit == nil || at >= limit.until {
		limit = &advertisedLimit{from: at, until: until, rate: rate, observedAt: map[Sender]time.Duration{}}
		w.signals.limits[incarnation] = limit
	}
	_, known := limit.observedAt[w.signals.sent[id].sender]
	w.mu.Unlock()
	if !known {
		w.addSignal(id, &signal{incarnation: incarnation, limit: limit})
	}
}

// checkAdvertisedLimit counts a request that reached an incarnation of a back end and reports a violation if the
// advertised limit is exceeded. The caller holds mu.
func (w *Watcher) checkAdvertisedLimit(at time.Duration, request sentRequest, incarnation string) {
	limit := w.signals.limits[incarnation]
	if limit == nil || at >= limit.until {
		return
	}
	if observedAt, known := limit.observedAt[request.sender]; !known || request.at <= observedAt+limitPropagationDelay {
		return
	}
	limit.arrivals = window.Add(limit.arrivals, at)
	allowed := window.Allowed(limit.rate)
	if at >= limit.from+limitGracePeriod && float64(len(limit.arrivals)) > allowed && !w.mayBeBurst(at) {
		w.addViolation(AdvertisedLimitRespected, "%s advertised %.1f requests per second but received %d within %v from processes that knew the limit; %.0f allowed", incarnation, limit.rate, len(limit.arrivals), window.Length, allowed)
	}
}

// mayBeBurst reports whether a fault overlapped the window that ends at a given time, so that requests sent over a
// longer time may have arrived within it.
func (w *Watcher) mayBeBurst(at time.Duration) bool {
	return slices.ContainsFunc(w.burstWindows, func(s interval) bool { return at >= s.from && at-window.Length <= s.to })
}

// RecordBurstWindow records a period in which requests may be delayed between processes and then arrive together.
func (w *Watcher) RecordBurstWindow(from, to time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.burstWindows = append(w.burstWindows, interval{from, to})
}
