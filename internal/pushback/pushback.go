// Package pushback keeps what back ends say of themselves in their answers: that they want nothing from this process for a while, that
// they leave, or how many requests a second they take from all machines together. Such a word is of one life of a back end and holds whatever control tells: it outlives a roster, a row that left and came
// back, and an address that changed. It ends with its time, or with the life.
//
// Whoever decides asks a Book whether a life may be sent to now, and asks again right before the send. A Book is not safe for concurrent use.
package pushback

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
)

const (
	// MaxBackoff bounds what is believed of a wish for rest: a figure beyond it is taken for it.
	MaxBackoff = time.Hour
	// jitterFraction of a time, spreadMost at most, is added to it at random, so that those which were refused together don't come back together.
	jitterFraction = 0.1
	maxJitter      = 250 * time.Millisecond
	// maxClockSkew is how far the clocks of a back end and of this machine may be apart before a life that began after it was heard that its
	// name wants rest counts as one that may have said it.
	maxClockSkew = time.Second
	// untimedTTL is how long a word without an end is kept, that a life leaves or its limit, once nobody names that life any more.
	untimedTTL = 10 * time.Minute
)

// Signals is what one answer of a back end says of itself.
type Signals struct {
	Backoff  time.Duration // it wants nothing from this process for so long; 0 says nothing of it
	Draining bool          // it ends soon and wants nothing new
	Limit    Limit         // of the requests that it takes
}

// IsEmpty reports whether an answer says nothing of its back end.
func (s Signals) IsEmpty() bool { return s.Backoff <= 0 && !s.Draining && s.Limit.IsEmpty() }

// Restriction is what keeps requests from a life.
type Restriction struct {
	Draining     bool          // until its end
	BackoffUntil time.Duration // end of its rest, by the clock of the book's owner; 0 it asked for none
	Limit        Limit         // that it names now; it bars what has no part of it
}

// IsBlocked reports whether nothing may be sent now.
func (r Restriction) IsBlocked(now time.Duration) bool { return r.Draining || r.IsBackingOff(now) }

// IsBackingOff reports whether the life wants rest now.
func (r Restriction) IsBackingOff(now time.Duration) bool { return now < r.BackoffUntil }

// incarnationState is what one life said.
type incarnationState struct {
	incarnation    catalog.Life
	backoffUntil   time.Duration // end of the rest
	backoffHeardAt time.Time     // time of day at which it was last heard that it wants rest; zero where lives don't tell their start
	draining       bool
	limit          Limit
	limitAt        time.Duration // when that was last heard; 0 never
	updatedAt      time.Duration // when anything was last heard
}

// Tracker holds the words of back ends that still count.
type Tracker struct {
	states map[string][]incarnationState // by name, one for each life; none is empty
}

// NewTracker returns a book without a word.
func NewTracker() *Tracker { return &Tracker{states: map[string][]incarnationState{}} }

// Observe takes up what an answer says that came from a life, and returns what now keeps requests from it. day is the time of day, or zero where
// lives don't tell when they began; chance lies in [0, 1) and spreads the ends of rests.
func (t *Tracker) Observe(now time.Duration, wallClock time.Time, incarnation catalog.Life, signals Signals, random float64) Restriction {
	if signals.IsEmpty() {
		return t.Restriction(now, incarnation)
	}
	s := t.stateOf(incarnation)
	s.updatedAt, s.draining = now, s.draining || signals.Draining
	if signals.Backoff > 0 {
		s.backoffUntil, s.backoffHeardAt = max(s.backoffUntil, now+WithJitter(min(signals.Backoff, MaxBackoff), random)), wallClock
	}
	t.ObserveLimit(now, incarnation, signals.Limit)
	return t.Restriction(now, incarnation)
}

// WithJitter returns a time with a part of the spread on top; chance lies in [0, 1).
func WithJitter(d time.Duration, random float64) time.Duration {
	maxAdded := min(time.Duration(jitterFraction*float64(d)), maxJitter)
	return d + time.Duration(random*float64(maxAdded))
}

// Restriction returns what keeps requests from a life. A rest binds a later life of that name as well if it may be the one that asked for it: the
// roster may have named the earlier one still.
func (t *Tracker) Restriction(now time.Duration, incarnation catalog.Life) Restriction {
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

// mayHaveRequested reports whether a later life of the name had begun when the word was heard.
func (s *incarnationState) mayHaveRequested(later catalog.Life) bool {
	return !s.backoffHeardAt.IsZero() && s.incarnation.Precedes(later) && later.Born <= s.backoffHeardAt.Add(maxClockSkew).UnixMilli()
}

// Sweep forgets words that count no longer; named reports whether a life is one that may still be chosen.
func (t *Tracker) Sweep(now time.Duration, isKnown func(catalog.Life) bool) {
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
