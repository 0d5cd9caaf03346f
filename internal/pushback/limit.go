package pushback

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
)

// Limit is what an answer says of the requests that its back end takes from all machines together, for as long as it names that.
type Limit struct {
	Advertised bool    // it names a limit
	Withdrawn  bool    // it names none any more; never together with Named
	Rate       float64 // requests a second where it names one; finite, 0 or more
}

// MinRate is the least rate, in requests a second, that all machines together send to a back end that names a lower one, or 0: whoever sends
// nothing never hears that a limit is over. One request in the longest window in which limits are judged.
const MinRate = 0.25

// IsEmpty reports whether nothing is said of a limit.
func (l Limit) IsEmpty() bool { return !l.Advertised && !l.Withdrawn }

// ObserveLimit takes up what was heard of a life's limit at a time, which may lie before what is known: then it changes nothing, since what a back
// end says counts as of when it was said. It reports whether that is news.
func (t *Tracker) ObserveLimit(at time.Duration, incarnation catalog.Life, limit Limit) (changed bool) {
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

// ObserveNoLimit takes up an answer that names no limit, to a request that was sent at a time: it tells that a limit is over that was heard before,
// and nothing of one that was heard since, which may have been named after the answer.
func (t *Tracker) ObserveNoLimit(now, sent time.Duration, incarnation catalog.Life) (withdrawn bool) {
	index := slices.IndexFunc(t.states[incarnation.Name], func(s incarnationState) bool { return s.incarnation == incarnation })
	if index < 0 || t.states[incarnation.Name][index].limitAt >= sent {
		return false
	}
	return t.ObserveLimit(now, incarnation, Limit{Withdrawn: true})
}

// Limit returns the limit that a life names. It is of this life alone: the next one says in its first answer what it takes.
func (t *Tracker) Limit(incarnation catalog.Life) Limit {
	limit, _ := t.LimitObservedAt(incarnation)
	return limit
}

// LimitObservedAt returns the limit that a life names, and when that was last heard.
func (t *Tracker) LimitObservedAt(incarnation catalog.Life) (limit Limit, observedAt time.Duration) {
	for _, s := range t.states[incarnation.Name] {
		if s.incarnation == incarnation && s.limit.Advertised {
			return s.limit, s.limitAt
		}
	}
	return Limit{}, 0
}

// stateOf returns the stateOf of a life, made when it first says something.
func (t *Tracker) stateOf(incarnation catalog.Life) *incarnationState {
	states := t.states[incarnation.Name]
	index := slices.IndexFunc(states, func(s incarnationState) bool { return s.incarnation == incarnation })
	if index < 0 {
		index, states = len(states), append(states, incarnationState{incarnation: incarnation})
		t.states[incarnation.Name] = states
	}
	return &states[index]
}
