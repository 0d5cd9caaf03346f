package enginequeue

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the decaying sums of work sent to the engines of a service.
	loadWindow = 500 * time.Millisecond
	// maxLoad bounds the share of an engine's time that expected prefills are taken to use.
	maxLoad = 0.85
)

// serviceLoad measures the work that is sent to the engines of a service, by priority, as decaying sums. A scheduler
// does not know yet what others sent within the delay of their announcements, nor what will be sent before a first
// event, but it can expect as much as lately.
type serviceLoad struct {
	all, peers [levels]float64
	at         time.Duration
	engines    int
	latest     loadShares // of the latest call of shares, since a decision asks for many engines
}

// loadShares are the parts of an engine's time that are sent to it as prefills.
type loadShares struct {
	at       time.Duration
	priority int
	valid    bool

	total      float64 // of all priorities
	moreUrgent float64 // of higher priorities than the given one
	peers      float64 // of at least this priority, sent by other schedulers
}

// record adds the work of a request.
func (l *serviceLoad) record(at time.Duration, priority int, work float64, from origin) {
	l.latest.valid = false
	if at > l.at {
		factor := math.Exp(-float64(at-l.at) / float64(loadWindow))
		for p := range levels {
			l.all[p] *= factor
			l.peers[p] *= factor
		}
		l.at = at
	}
	l.all[priority] += work
	if from == peer {
		l.peers[priority] += work
	}
}

// shares returns which part of an engine's time the work sent lately takes.
func (l *serviceLoad) shares(now time.Duration, priority int) loadShares {
	if l.latest.valid && l.latest.at == now && l.latest.priority == priority {
		return l.latest
	}
	s := loadShares{at: now, priority: priority, valid: true}
	if l.engines == 0 {
		return s // unknown
	}
	for p := range levels {
		s.total += l.all[p]
		if p < priority {
			s.moreUrgent += l.all[p]
		}
		if p <= priority {
			s.peers += l.peers[p]
		}
	}
	// A cheap substitute for the exponential decay since the latest request.
	scale := 1 / (1 + max(0, float64(now-l.at))/float64(loadWindow)) / (float64(loadWindow/time.Millisecond) * float64(l.engines))
	s.total, s.moreUrgent, s.peers = min(s.total*scale, maxLoad), min(s.moreUrgent*scale, maxLoad), min(s.peers*scale, maxLoad)
	l.latest = s
	return s
}
