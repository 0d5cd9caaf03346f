package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// minGoodputFraction is the fraction of the requests that the back ends' capacity bears which must be served.
	minGoodputFraction = 0.8
	// maxLeftUnanswered is the fraction of requests that may end without a response of a back end and without a refusal, while
	// the back ends are asked for more than they bear.
	maxLeftUnanswered = 0.1
	// maxRefusalTime is how long a refusal may take, and maxLateRefusals the fraction that may take longer.
	maxRefusalTime  = 300 * time.Millisecond
	maxLateRefusals = 0.1
)

// Goodput is what became of the requests sent in a period, while all back ends share a capacity.
type Goodput struct {
	From, To     time.Duration // of the sending
	Sent, Served int
	Refused      int // with 429 or 503
	RefusedLate  int // of these, later than maxRefusalTime
	Borne        int // that the capacity bears, at most Sent
}

// String returns the counts.
func (g Goodput) String() string {
	return fmt.Sprintf("%v to %v: %d of %d served, %d refused (%d late), %d borne", g.From.Round(time.Millisecond), g.To.Round(time.Millisecond), g.Served, g.Sent, g.Refused, g.RefusedLate, g.Borne)
}

// ExpectGoodput makes Close check the requests sent in a period, in which the back ends bear a number of requests a second.
func (w *Watcher) ExpectGoodput(from, to time.Duration, bornePerSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.goodputs = append(w.goodputs, expectedGoodput{from, to, bornePerSecond})
}

// expectedGoodput is a period in which the back ends bear a number of requests a second.
type expectedGoodput struct {
	from, to       time.Duration
	bornePerSecond float64
}

// borneFraction returns the fraction of the requests sent in a period that the back ends bear.
func (w *Watcher) borneFraction() float64 {
	fraction := 1.0
	for _, expected := range w.goodputs {
		if g := w.goodput(expected); g.Sent > 0 {
			fraction = min(fraction, float64(g.Borne)/float64(g.Sent))
		}
	}
	return fraction
}

// goodput returns what became of the requests sent in a period. The caller holds mu.
func (w *Watcher) goodput(expected expectedGoodput) Goodput {
	g := Goodput{From: expected.from, To: expected.to}
	for _, o := range w.requestOutcomes {
		if o.SentAt < expected.from || o.SentAt >= expected.to {
			continue
		}
		g.Sent++
		switch {
		case o.Served:
			g.Served++
		case o.Refused:
			g.Refused++
			if o.Took > maxRefusalTime {
				g.RefusedLate++
			}
		}
	}
	g.Borne = int(min(float64(g.Sent), expected.bornePerSecond*(expected.to-expected.from).Seconds()))
	return g
}

// checkGoodputs reports periods in which less was served than the back ends bear, or the rest was not refused. The caller holds mu.
func (w *Watcher) checkGoodputs() {
	for _, expected := range w.goodputs {
		g := w.goodput(expected)
		if float64(g.Served) < minGoodputFraction*float64(g.Borne) {
			w.addViolation(GoodputHolds, "under load %v", g)
		}
		if left := g.Sent - g.Served - g.Refused; float64(left) > maxLeftUnanswered*float64(g.Sent) {
			w.addViolation(GoodputHolds, "%d requests were neither served nor refused: %v", left, g)
		}
		if float64(g.RefusedLate) > maxLateRefusals*float64(g.Refused) && g.RefusedLate > minGatewayRequests {
			w.addViolation(GoodputHolds, "refused late: %v", g)
		}
	}
}

// Timeline returns what became of the requests sent in each period from a time on.
func (w *Watcher) Timeline(from, to, period time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines strings.Builder
	for at := from; at < to; at += period {
		fmt.Fprintf(&lines, "\n    %v", w.goodput(expectedGoodput{from: at, to: min(to, at+period)}))
	}
	return lines.String()
}
