package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/lab/window"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quota"
)

const (
	// limitGrace is how long after a limit is first advertised it may be exceeded; limitLearnDelay is how long after a
	// process learned of it the requests of that process aren't counted.
	limitGrace      = 3 * time.Second
	limitLearnDelay = 500 * time.Millisecond
	// limitChangeGrace is how long the previous limit may still apply after a change.
	limitChangeGrace = time.Second
	// maxLimitPeriods bounds the limit periods of a run. allLimitedRatio is the share that affects all back ends, and
	// limitChangeRatio the share in which the limit changes halfway.
	maxLimitPeriods  = 3
	allLimitedRatio  = 0.4
	limitChangeRatio = 0.5
	limitStream      = 17
)

// limitPeriod is a period in which a back end advertises a limit. The zero value is empty.
type limitPeriod struct {
	from, until time.Duration
	rate, later float64 // requests per second in the first and second half
}

// limit returns the limit that the back end advertises now.
func (n limitPeriod) limit(now time.Duration) pushback.Limit {
	switch {
	case now < n.from || now >= n.until:
		return pushback.Limit{}
	case now < (n.from+n.until)/2:
		return pushback.Limit{Advertised: true, Rate: n.rate}
	}
	return pushback.Limit{Advertised: true, Rate: n.later}
}

// highest returns the highest limit that was advertised between two times.
func (n limitPeriod) highest(from, to time.Duration) float64 {
	half := (n.from + n.until) / 2
	switch {
	case to < half:
		return n.rate
	case from >= half:
		return n.later
	}
	return max(n.rate, n.later)
}

// planAdvertisedLimits schedules limit periods in half of all runs. It has its own random source, so that other runs
// don't change.
func (w *world) planAdvertisedLimits() {
	w.limitRandom = rand.New(rand.NewPCG(w.seed, limitStream))
	if w.seed/4%2 == 0 {
		return
	}
	for range 1 + w.limitRandom.IntN(maxLimitPeriods) {
		at := firstFault + time.Duration(w.limitRandom.Int64N(int64(lastFault-firstFault)))
		w.after(at, w.advertiseLimit)
	}
}

// advertiseLimit makes one engine and one back end of the fleet, or all of them, advertise a limit for a while.
func (w *world) advertiseLimit() {
	now := w.now()
	period := limitPeriod{from: now, until: now + 6*time.Second + time.Duration(w.limitRandom.Int64N(int64(14*time.Second))), rate: 6 * w.limitRandom.Float64()}
	period.later = period.rate
	if w.limitRandom.Float64() < limitChangeRatio {
		period.later = 6 * w.limitRandom.Float64()
	}
	all := w.limitRandom.Float64() < allLimitedRatio
	engine, backend := w.limitRandom.IntN(len(w.engines)), w.limitRandom.IntN(len(w.backends))
	w.logf("FAULT back ends advertise a limit of %.2f, then %.2f, until %v; all: %v", period.rate, period.later, period.until, all)
	for i, e := range w.engines {
		if all || i == engine {
			e.advertised = period
		}
	}
	for i, b := range w.backends {
		if all || i == backend {
			b.advertised = period
		}
	}
}

// limitedIncarnation records the requests that one incarnation of a back end got in one limit period from processes that
// knew the limit.
type limitedIncarnation struct {
	learnedAt map[string]time.Duration // when each process first learned of the limit
	sentAt    []time.Duration          // in ascending order
}

// limitOracle records requests by incarnation and start of its limit period.
type limitOracle map[string]*limitedIncarnation

func (l limitOracle) of(incarnation string, n limitPeriod) *limitedIncarnation {
	key := fmt.Sprint(incarnation, n.from)
	if l[key] == nil {
		l[key] = &limitedIncarnation{learnedAt: map[string]time.Duration{}}
	}
	return l[key]
}

// recordLimit records that a process got a response in which a back end advertises its limit.
func (o *oracle) recordLimit(p senderBackend, n limitPeriod) {
	incarnation := o.limits.of(p.backend, n)
	if _, known := incarnation.learnedAt[p.sender]; !known {
		incarnation.learnedAt[p.sender] = o.w.now()
	}
}

// checkLimitedSend checks a request against the limit when it is sent to a back end.
func (o *oracle) checkLimitedSend(p senderBackend, n limitPeriod) {
	now := o.w.now()
	if !n.limit(now).Advertised {
		return
	}
	incarnation := o.limits.of(p.backend, n)
	if learnedAt, known := incarnation.learnedAt[p.sender]; !known || now < learnedAt+limitLearnDelay {
		return
	}
	incarnation.sentAt = window.Add(incarnation.sentAt, now)
	allowed := window.Allowed(n.highest(now-window.Length-limitChangeGrace, now))
	if now >= n.from+limitGrace && float64(len(incarnation.sentAt)) > allowed {
		o.fail(AdvertisedLimitRespected, "%s got %d requests in %v from processes that knew its limit, %.1f allowed, the last from %s", p.backend, len(incarnation.sentAt), window.Length, allowed, p.sender)
	}
}

// hasLease reports whether a gateway may send to a back end within its advertised limit now. If not, it requests a lease
// and sends the request when it gets one.
func (g *fleetGateway) hasLease(entry control.RosterEntry) bool {
	limit, observedAt := g.signals.LimitObservedAt(catalog.ParseInstanceID(entry.ID))
	if !limit.Advertised || !g.w.guards.On(guard.AdvertisedLimitCheck) {
		return true
	}
	name, now := quota.Backend(entry.ID), g.clock()
	advertised := allowance.AdvertisedLimit{Rate: limit.Rate, Age: now - observedAt}
	g.leases.SetAdvertisedLimit(now, name, advertised)
	if lease, ok := g.leases.Take(now, name, 1); ok {
		return lease.Valid(now)
	}
	if !g.requestingLease {
		g.requestLease(entry, []allowance.Demand{{Name: name, Amount: 1, Advertised: &advertised}})
	}
	return false
}

// requestLease requests a lease on a back end's limit from the leader and sends the request if it gets one.
func (g *fleetGateway) requestLease(entry control.RosterEntry, demands []allowance.Demand) {
	sentAt := g.clock()
	request := g.leases.NewRequest(sentAt, demands)
	g.requestingLease = true
	g.leaseAsker.askOnce(control.Request{AllowanceRequest: &request}, leaseTimeout, func(response control.Response, answered bool) {
		g.requestingLease = false
		var lease allowance.Lease
		if answered && response.AllowanceReply != nil {
			lease = g.leases.ApplyReply(g.clock(), sentAt, demands, *response.AllowanceReply)[0].Lease
		} else {
			lease, _ = g.leases.TakeFallback(g.clock(), demands[0].Name, 1)
		}
		at := slices.IndexFunc(g.roster, func(e control.RosterEntry) bool { return e.ID == entry.ID })
		if lease.Valid(g.clock()) && at >= 0 && g.maySendTo(g.roster[at]) {
			g.sendTo(g.roster[at])
		}
	})
}

// leaseTimeout is how long a gateway waits for the reply to a lease request.
const leaseTimeout = 150 * time.Millisecond
