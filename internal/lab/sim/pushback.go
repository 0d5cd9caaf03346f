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
	// backoffGrace is how long after asking for backoff a back end may get requests that were in flight;
	// maxBackoffRequests is how many more it may get until the backoff ends.
	backoffGrace       = 500 * time.Millisecond
	maxBackoffRequests = 2
	// drainGrace is how long after reporting that it drains a back end may get requests that were in flight.
	drainGrace = 500 * time.Millisecond
	// rejectAllRatio is the share of faults in which all back ends reject requests together.
	rejectAllRatio = 0.3
)

// rejection makes a back end reject all requests and ask for backoff until a time.
type rejection struct {
	until   time.Duration
	backoff time.Duration
}

// faultRejectRequests makes back ends reject requests and ask for backoff for a while.
func (w *world) faultRejectRequests() {
	until, backoff := w.now()+w.between(time.Second, 6*time.Second), w.between(time.Second, 5*time.Second)
	all := w.chance(rejectAllRatio)
	targetEngine, targetBackend := pick(w, w.engines), pick(w, w.backends)
	for _, e := range w.engines {
		if all || e == targetEngine {
			e.shed = rejection{until, backoff}
		}
	}
	for _, b := range w.backends {
		if all || b == targetBackend {
			b.rejecting = rejection{until, backoff}
		}
	}
}

// requestedBackoff returns the backoff that a back end asks for, or 0 if it accepts requests.
func (s rejection) requestedBackoff(now time.Duration) time.Duration {
	if now < s.until {
		return s.backoff
	}
	return 0
}

// senderBackend is an incarnation of a sender and an incarnation of a back end.
type senderBackend struct{ sender, backend string }

func pairOf(sender *process, backend string) senderBackend {
	return senderBackend{fmt.Sprintf("%s#%d", sender.name, sender.generation), backend}
}

// backoffWindow is the part of a backoff in which requests are counted.
type backoffWindow struct {
	from, until time.Duration
	requests    int
}

// signalOracle records the signals that senders received from back ends.
type signalOracle struct {
	backoffs      map[senderBackend][]*backoffWindow
	drainingSince map[senderBackend]time.Duration // when the sender first learned of it
}

func newSignalOracle() signalOracle {
	return signalOracle{backoffs: map[senderBackend][]*backoffWindow{}, drainingSince: map[senderBackend]time.Duration{}}
}

// recordSignals records the signals in a response that a process received. The backoff is shortened by clockSkew, as the
// process's clock may run fast.
func (o *oracle) recordSignals(p senderBackend, signals pushback.Signals) {
	now := o.w.now()
	if signals.Backoff > 0 {
		end := now + time.Duration(float64(signals.Backoff)/(1+clockSkew))
		o.signals.backoffs[p] = append(o.signals.backoffs[p], &backoffWindow{from: now + backoffGrace, until: end})
	}
	if _, known := o.signals.drainingSince[p]; signals.Draining && !known {
		o.signals.drainingSince[p] = now
	}
}

// checkSend checks a request against the received signals when it is sent.
func (o *oracle) checkSend(p senderBackend) {
	now := o.w.now()
	for _, window := range o.signals.backoffs[p] {
		if now <= window.from || now >= window.until {
			continue
		}
		if window.requests++; window.requests > maxBackoffRequests {
			o.fail(BackoffRespected, "%s sent %s %d requests in a backoff that ends in %v", p.sender, p.backend, window.requests, window.until-now)
		}
	}
	if at, left := o.signals.drainingSince[p]; left && now > at+drainGrace {
		o.fail(DrainRespected, "%s sent a new request to %s %v after that one had reported that it drains", p.sender, p.backend, now-at)
	}
}

// isRestricted reports whether the back end asked this gateway for backoff or reported that it drains.
func (g *fleetGateway) isRestricted(entry control.RosterEntry) bool {
	restriction, now := g.signals.Restriction(g.clock(), catalog.ParseInstanceID(entry.ID)), g.clock()
	return restriction.IsBackingOff(now) && g.w.guards.On(guard.BackoffCheck) || restriction.Draining && g.w.guards.On(guard.LeavingSelfReported)
}

// observeResponse records a back end's signals in the response to a request. The gateway attributes them to the
// incarnation that it meant to call; it doesn't know which one responded.
func (g *fleetGateway) observeResponse(sentAt time.Duration, entry control.RosterEntry, b *fleetBackend) (rejected bool) {
	signals := pushback.Signals{Backoff: b.rejecting.requestedBackoff(g.w.now()), Draining: b.draining, Limit: b.advertised.limit(g.w.now())}
	g.w.oracle.recordSignals(pairOf(g.process, b.id), signals)
	g.signals.Observe(g.clock(), g.w.today(), catalog.ParseInstanceID(entry.ID), signals, g.w.random.Float64())
	if signals.Limit.Advertised {
		g.w.oracle.recordLimit(pairOf(g.process, b.id), b.advertised)
	} else {
		g.signals.ObserveNoLimit(g.clock(), sentAt, catalog.ParseInstanceID(entry.ID))
	}
	return signals.Backoff > 0
}

// today returns the wall-clock time by which back ends report their start time.
func (w *world) today() time.Time { return time.UnixMilli(1 + w.now().Milliseconds()) }
