// Package pushback tracks the back-pressure that back ends signal in their responses: that this process should back
// off for a while, that they are draining, or how many requests per second they accept from all machines together. A
// signal belongs to one incarnation of a back end and is independent of what the control plane reports: it survives
// roster updates, endpoints that are removed and added again, and changes of address. It is dropped when it expires
// or the incarnation ends.
//
// Callers check the Restriction of an incarnation when they choose it and again right before they send. A Tracker is
// not safe for concurrent use.
package pushback

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
)

const (
	// MaxBackoff caps the backoff that a back end can request.
	MaxBackoff = time.Hour
	// jitterFraction of a backoff, at most maxJitter, is added at random, so that requests refused together are not
	// retried together.
	jitterFraction = 0.1
	maxJitter      = 250 * time.Millisecond
	// maxClockSkew is the assumed difference between the clocks of a back end and this machine. It decides whether a
	// later incarnation of the same name may be the one that requested a backoff.
	maxClockSkew = time.Second
	// untimedTTL is how long draining and limits, which have no expiry of their own, are kept for incarnations that
	// are no longer known.
	untimedTTL = 10 * time.Minute
)

// Signals is the back-pressure in one response of a back end.
type Signals struct {
	Backoff  time.Duration // requested from this process; 0 if none
	Draining bool          // it shuts down soon and accepts no new requests
	Limit    Limit         // on the requests that it accepts
}

// IsEmpty reports whether the response carries no signal.
func (s Signals) IsEmpty() bool { return s.Backoff <= 0 && !s.Draining && s.Limit.IsEmpty() }

// Restriction is what currently limits requests to an incarnation.
type Restriction struct {
	Draining     bool          // until the incarnation ends
	BackoffUntil time.Duration // by the tracker's clock; 0 if no backoff applies
	Limit        Limit         // the advertised limit; requests beyond it may not be sent
}

// IsBlocked reports whether no request may be sent now.
func (r Restriction) IsBlocked(now time.Duration) bool { return r.Draining || r.IsBackingOff(now) }

// IsBackingOff reports whether a requested backoff is in effect.
func (r Restriction) IsBackingOff(now time.Duration) bool { return now < r.BackoffUntil }

// incarnationState is the last known back-pressure of one incarnation.
type incarnationState struct {
	incarnation       catalog.Incarnation
	backoffUntil      time.Duration
	backoffObservedAt time.Time // wall-clock time of the last backoff request; zero if incarnations have no start time
	draining          bool
	limit             Limit
	limitAt           time.Duration // when the limit was last observed; 0 if never
	updatedAt         time.Duration // when any signal was last observed
}

// Tracker holds the signals that are in effect.
type Tracker struct {
	states map[string][]incarnationState // by name, one for each incarnation; never empty
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{states: map[string][]incarnationState{}} }

// Observe applies the signals of a response from an incarnation and returns its current restriction. wallClock is
// zero if incarnations have no start time. random is uniform in [0, 1) and spreads the ends of backoffs.
func (t *Tracker) Observe(now time.Duration, wallClock time.Time, incarnation catalog.Incarnation, signals Signals, random float64) Restriction {
	if signals.IsEmpty() {
		return t.Restriction(now, incarnation)
	}
	s := t.stateOf(incarnation)
	s.updatedAt, s.draining = now, s.draining || signals.Draining
	if signals.Backoff > 0 {
		s.backoffUntil, s.backoffObservedAt = max(s.backoffUntil, now+WithJitter(min(signals.Backoff, MaxBackoff), random)), wallClock
	}
	t.ObserveLimit(now, incarnation, signals.Limit)
	return t.Restriction(now, incarnation)
}

// WithJitter adds a random fraction of the jitter to a duration; random is uniform in [0, 1).
func WithJitter(d time.Duration, random float64) time.Duration {
	maxAdded := min(time.Duration(jitterFraction*float64(d)), maxJitter)
	return d + time.Duration(random*float64(maxAdded))
}

// Restriction returns what currently limits requests to an incarnation. A backoff also applies to a later incarnation
// of the same name that may have been the one to request it, since the roster may still have listed the earlier one.
func (t *Tracker) Restriction(now time.Duration, incarnation catalog.Incarnation) Restriction {
	var restriction Restriction
	for _, s := range t.states[incarnation.Name] {
		if s.incarnation == incarnation {
			restriction.Draining = restriction.Draining || s.draining
			if s.limit.Advertised {
				restriction.Limit = s.limit
			}
		} else if !s.mayHaveRequested(incarnation) {
			continue
		}
		if now < s.backoffUntil {
			restriction.BackoffUntil = max(restriction.BackoffUntil, s.backoffUntil)
		}
	}
	return restriction
}

// mayHaveRequested reports whether a later incarnation had started by the time the backoff was requested.
func (s *incarnationState) mayHaveRequested(later catalog.Incarnation) bool {
	return !s.backoffObservedAt.IsZero() && s.incarnation.StartedBefore(later) && later.StartedMS <= s.backoffObservedAt.Add(maxClockSkew).UnixMilli()
}

// Sweep removes state that is no longer in effect. isKnown reports whether an incarnation may still be chosen.
func (t *Tracker) Sweep(now time.Duration, isKnown func(catalog.Incarnation) bool) {
	for name, states := range t.states {
		kept := slices.DeleteFunc(states, func(s incarnationState) bool {
			untimed := s.draining || s.limit.Advertised
			return now >= s.backoffUntil && (!untimed || now >= s.updatedAt+untimedTTL && !isKnown(s.incarnation))
		})
		if len(kept) == 0 {
			delete(t.states, name)
			continue
		}
		t.states[name] = kept
	}
}
