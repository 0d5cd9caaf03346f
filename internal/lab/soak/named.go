package soak

import (
	"slices"
	"time"

	"kitetiller/internal/lab/window"
)

const (
	// limitGracePeriod is how long after it was first named it must hold, and namedFree how long after a process was seen to have heard of it what callers
	// send there doesn't count.
	limitGracePeriod      = 3 * time.Second
	limitPropagationDelay = 500 * time.Millisecond
)

// advertisedLimit is a time in which one life of a back end names a limit.
type advertisedLimit struct {
	from, until time.Duration
	rate        float64                  // requests a second
	observedAt  map[Sender]time.Duration // when each process was seen to have heard of it
	arrivals    []time.Duration          // that count, of the newest window; rising
}

// RecordAdvertisedLimit notes that a life of a back end names a limit in its answer to a request, and until when it will.
func (w *Watcher) RecordAdvertisedLimit(at time.Duration, id, incarnation string, rate float64, until time.Duration) {
	w.mu.Lock()
	n := w.signals.limits[incarnation]
	if n == nil || at >= n.until {
		n = &advertisedLimit{from: at, until: until, rate: rate, observedAt: map[Sender]time.Duration{}}
		w.signals.limits[incarnation] = n
	}
	_, heard := n.observedAt[w.signals.sent[id].by]
	w.mu.Unlock()
	if !heard {
		w.addSignal(id, &signal{incarnation: incarnation, limit: n})
	}
}

// checkAdvertisedLimit counts a request that came to a life of a back end. The caller holds mu.
func (w *Watcher) checkAdvertisedLimit(at time.Duration, request sentRequest, incarnation string) {
	n := w.signals.limits[incarnation]
	if n == nil || at >= n.until {
		return
	}
	if heard, known := n.observedAt[request.by]; !known || request.at <= heard+limitPropagationDelay {
		return
	}
	n.arrivals = window.Add(n.arrivals, at)
	allowed := window.Allowed(n.rate)
	if at >= n.from+limitGracePeriod && float64(len(n.arrivals)) > allowed && !w.mayBeBurst(at) {
		w.addViolation(AdvertisedLimitRespected, "%s takes %.1f a second and got %d requests in %v from processes that had heard it, %.0f allowed", incarnation, n.rate, len(n.arrivals), window.Length, allowed)
	}
}

// mayBeBurst reports whether links or gateways were struck in a window, so that what was sent over a longer time may have come in it.
func (w *Watcher) mayBeBurst(at time.Duration) bool {
	return slices.ContainsFunc(w.burstWindows, func(s interval) bool { return at >= s.from && at-window.Length <= s.to })
}

// RecordBurstWindow notes that requests may be held up between processes for a time and come together at its end.
func (w *Watcher) RecordBurstWindow(from, to time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.burstWindows = append(w.burstWindows, interval{from, to})
}
