package belief

import "time"

const (
	// paceQuantile of the requests that were taken to be alone at their engine are read at the learnt pace or faster: below the
	// median, since some of them were not alone.
	paceQuantile = 0.3
	// paceStep is by how much one request moves the pace, as a part of it, and paceMost how far it may get from the first guess.
	paceStep = 0.05
	paceMost = 4.0
)

// PrefillRate is how many prompt tokens an engine is taken to read in a millisecond.
const PrefillRate = 40.0

// Pace is how long an engine takes to read a prompt token, in milliseconds, beside the other work that it has. It is learnt from
// requests that were taken to be alone there, and tells until when an engine is busy; what reading weighs against waiting is a
// matter of its own (PrefillRate).
type Pace float64

// FirstPace is taken before anything was learnt.
const FirstPace = Pace(1 / PrefillRate)

// Next moves the pace towards its quantile by one request, of so many tokens to read, whose first event came after a time.
func (p Pace) Next(tokens int, first time.Duration) Pace {
	seen := Pace(Milliseconds(first)) / Pace(tokens)
	step := paceStep * p
	if seen > p {
		p += paceQuantile * step
	} else {
		p -= (1 - paceQuantile) * step
	}
	return min(max(p, FirstPace/paceMost), FirstPace*paceMost)
}

// Reading returns how long the tokens take.
func (p Pace) Reading(tokens int) time.Duration {
	return FromMilliseconds(float64(p) * float64(tokens))
}
