package sim

import (
	"fmt"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/pushback"
)

const (
	// backoffGrace is how long after its wish for rest a back end may get requests that were on their way, and restMost how many more until the
	// rest ends.
	backoffGrace       = 500 * time.Millisecond
	maxBackoffRequests = 2
	// drainGrace is how long after a back end said in an answer that it leaves it may get what was on its way.
	drainGrace = 500 * time.Millisecond
	// rejectAllRatio is the share of faults in which all back ends of a service turn requests away together.
	rejectAllRatio = 0.3
)

// rejection is a back end's refusal of all that comes, with a wish for rest.
type rejection struct {
	until   time.Duration
	backoff time.Duration
}

// faultRejectRequests lets back ends turn requests away for a while and ask for rest.
func (w *world) faultRejectRequests() {
	until, rest := w.now()+w.between(time.Second, 6*time.Second), w.between(time.Second, 5*time.Second)
	all := w.chance(rejectAllRatio)
	struckEngine, struckBackend := pick(w, w.engines), pick(w, w.backends)
	for _, e := range w.engines {
		if all || e == struckEngine {
			e.shed = rejection{until, rest}
		}
	}
	for _, b := range w.backends {
		if all || b == struckBackend {
			b.rejecting = rejection{until, rest}
		}
	}
}

// requestedBackoff returns for how long a back end wants rest, or 0 when it takes requests.
func (s rejection) requestedBackoff(now time.Duration) time.Duration {
	if now < s.until {
		return s.backoff
	}
	return 0
}

// senderBackend is one life of a process that sends and one life of a back end.
type senderBackend struct{ sender, backend string }

func pairOf(sender *process, backend string) senderBackend {
	return senderBackend{fmt.Sprintf("%s#%d", sender.name, sender.generation), backend}
}

// backoffWindow is the part of one rest in which requests count.
type backoffWindow struct {
	from, until time.Duration
	requests    int
}

// signalOracle is what back ends were heard to say of themselves.
type signalOracle struct {
	backoffs      map[senderBackend][]*backoffWindow
	drainingSince map[senderBackend]time.Duration // when it was first heard that the back end leaves
}

func newSignalOracle() signalOracle {
	return signalOracle{backoffs: map[senderBackend][]*backoffWindow{}, drainingSince: map[senderBackend]time.Duration{}}
}

// recordSignals notes that a process has an answer in which a back end speaks of itself. Its clock may run fast.
func (o *oracle) recordSignals(p senderBackend, said pushback.Signals) {
	now := o.w.now()
	if said.Backoff > 0 {
		end := now + time.Duration(float64(said.Backoff)/(1+clockSkew))
		o.said.backoffs[p] = append(o.said.backoffs[p], &backoffWindow{from: now + backoffGrace, until: end})
	}
	if _, known := o.said.drainingSince[p]; said.Draining && !known {
		o.said.drainingSince[p] = now
	}
}

// checkSend checks a request at the moment it is sent.
func (o *oracle) checkSend(p senderBackend) {
	now := o.w.now()
	for _, window := range o.said.backoffs[p] {
		if now <= window.from || now >= window.until {
			continue
		}
		if window.requests++; window.requests > maxBackoffRequests {
			o.fail(BackoffRespected, "%s sent %s %d requests in a rest that ends in %v", p.sender, p.backend, window.requests, window.until-now)
		}
	}
	if at, left := o.said.drainingSince[p]; left && now > at+drainGrace {
		o.fail(DrainRespected, "%s sent new work to %s %v after that one had said that it leaves", p.sender, p.backend, now-at)
	}
}

// isRestricted reports whether the back end itself wants no request from this gateway.
func (g *fleetGateway) isRestricted(entry control.RosterEntry) bool {
	restriction, now := g.signals.Restriction(g.clock(), catalog.ParseInstanceID(entry.ID)), g.clock()
	return restriction.IsBackingOff(now) && g.w.guards.On(guard.BackoffCheck) || restriction.Draining && g.w.guards.On(guard.LeavingSelfReported)
}

// observeResponse takes up what a back end says of itself in the answer to a request that was sent at a time. The gateway knows only whom it meant to ask,
// not which life answered.
func (g *fleetGateway) observeResponse(sent time.Duration, entry control.RosterEntry, b *fleetBackend) (rejected bool) {
	signals := pushback.Signals{Backoff: b.rejecting.requestedBackoff(g.w.now()), Draining: b.draining, Limit: b.advertised.limit(g.w.now())}
	g.w.oracle.recordSignals(pairOf(g.process, b.id), signals)
	g.signals.Observe(g.clock(), g.w.today(), catalog.ParseInstanceID(entry.ID), signals, g.w.random.Float64())
	if signals.Limit.Advertised {
		g.w.oracle.recordLimit(pairOf(g.process, b.id), b.advertised)
	} else {
		g.signals.ObserveNoLimit(g.clock(), sent, catalog.ParseInstanceID(entry.ID))
	}
	return signals.Backoff > 0
}

// today is the time of day by which back ends tell when they were started.
func (w *world) today() time.Time { return time.UnixMilli(1 + w.now().Milliseconds()) }
