package pushback

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
)

// Limit is the request rate that a back end advertises for all machines together. It applies until it is replaced or
// withdrawn.
type Limit struct {
	Advertised bool    // the response contains a limit
	Withdrawn  bool    // an earlier limit no longer applies; never set together with Advertised
	Rate       float64 // requests per second if Advertised; finite and not negative
}

// MinRate is the lowest rate, in requests per second, at which all machines together send to a back end that
// advertises less: without requests they would never learn that the limit was raised. It allows one request in the
// longest window in which limits are checked.
const MinRate = 0.25

// IsEmpty reports whether the response states no limit.
func (l Limit) IsEmpty() bool { return !l.Advertised && !l.Withdrawn }

// ObserveLimit records a limit that an incarnation advertised at the given time and reports whether the known limit
// changed. Observations older than the known one are ignored.
func (t *Tracker) ObserveLimit(at time.Duration, incarnation catalog.Incarnation, limit Limit) (changed bool) {
	if limit.IsEmpty() {
		return false
	}
	known := t.Limit(incarnation)
	if limit.Withdrawn && !known.Advertised {
		return false
	}
	s := t.stateOf(incarnation)
	if s.limitAt > at {
		return false
	}
	s.limit, s.limitAt, s.updatedAt = limit, at, max(s.updatedAt, at)
	return known.Advertised != limit.Advertised || known.Rate != limit.Rate
}

// ObserveNoLimit records a response without a limit to a request sent at the given time. It withdraws a limit
// observed before the request was sent. One observed later is kept, since it may have been advertised after this
// response.
func (t *Tracker) ObserveNoLimit(now, sent time.Duration, incarnation catalog.Incarnation) (withdrawn bool) {
	index := slices.IndexFunc(t.states[incarnation.Name], func(s incarnationState) bool { return s.incarnation == incarnation })
	if index < 0 || t.states[incarnation.Name][index].limitAt >= sent {
		return false
	}
	return t.ObserveLimit(now, incarnation, Limit{Withdrawn: true})
}

// Limit returns the limit that an incarnation advertises. Limits don't carry over to the next incarnation, whose
// first response states its own.
func (t *Tracker) Limit(incarnation catalog.Incarnation) Limit {
	limit, _ := t.LimitObservedAt(incarnation)
	return limit
}

// LimitObservedAt returns the limit that an incarnation advertises and when it was last observed.
func (t *Tracker) LimitObservedAt(incarnation catalog.Incarnation) (limit Limit, observedAt time.Duration) {
	for _, s := range t.states[incarnation.Name] {
		if s.incarnation == incarnation && s.limit.Advertised {
			return s.limit, s.limitAt
		}
	}
	return Limit{}, 0
}

// stateOf returns the state of an incarnation and creates it if necessary.
func (t *Tracker) stateOf(incarnation catalog.Incarnation) *incarnationState {
	states := t.states[incarnation.Name]
	index := slices.IndexFunc(states, func(s incarnationState) bool { return s.incarnation == incarnation })
	if index < 0 {
		index, states = len(states), append(states, incarnationState{incarnation: incarnation})
		t.states[incarnation.Name] = states
	}
	return &states[index]
}
