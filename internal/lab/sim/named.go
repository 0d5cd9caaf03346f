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
	// namedFrom is how long after it was first named it must hold, and namedHeard how long after a process heard of it what that one sends counts.
	namedFrom  = 3 * time.Second
	namedHeard = 500 * time.Millisecond
	// namedSettle is how long a limit from before may still count that has changed.
	namedSettle = time.Second
	// needsMost bounds how often back ends are in need in one run; needAllShare is how often all of them are together, and needChangeShare how
	// often the limit changes meanwhile.
	needsMost       = 3
	needAllShare    = 0.4
	needChangeShare = 0.5
	needStream      = 17
)

// need is a time in which a back end names a limit. Its zero value is none.
type need struct {
	from, until time.Duration
	rate, later float64 // requests a second, from the start and from half of the time on
}

// limit returns what the back end names now.
func (n need) limit(now time.Duration) pushback.Limit {
	switch {
	case now < n.from || now >= n.until:
		return pushback.Limit{}
	case now < (n.from+n.until)/2:
		return pushback.Limit{Advertised: true, Rate: n.rate}
	}
	return pushback.Limit{Advertised: true, Rate: n.later}
}

// highest returns the highest limit that was named between two times.
func (n need) highest(from, to time.Duration) float64 {
	half := (n.from + n.until) / 2
	switch {
	case to < half:
		return n.rate
	case from >= half:
		return n.later
	}
	return max(n.rate, n.later)
}

// planNeeds lets back ends be in need in half of all runs. Its chances are its own, so that the other runs are as they were without it.
func (w *world) planNeeds() {
	w.needs = rand.New(rand.NewPCG(w.seed, needStream))
	if w.seed/4%2 == 0 {
		return
	}
	for range 1 + w.needs.IntN(needsMost) {
		at := firstFault + time.Duration(w.needs.Int64N(int64(lastFault-firstFault)))
		w.after(at, w.beginNeed)
	}
}

// beginNeed lets one engine and one back end of the fleet, or all of them, name a limit for a while.
func (w *world) beginNeed() {
	now := w.now()
	made := need{from: now, until: now + 6*time.Second + time.Duration(w.needs.Int64N(int64(14*time.Second))), rate: 6 * w.needs.Float64()}
	made.later = made.rate
	if w.needs.Float64() < needChangeShare {
		made.later = 6 * w.needs.Float64()
	}
	all := w.needs.Float64() < needAllShare
	engine, backend := w.needs.IntN(len(w.engines)), w.needs.IntN(len(w.backends))
	w.logf("FAULT back ends name a limit of %.2f, then %.2f, until %v; all: %v", made.rate, made.later, made.until, all)
	for i, e := range w.engines {
		if all || i == engine {
			e.need = made
		}
	}
	for i, b := range w.backends {
		if all || i == backend {
			b.need = made
		}
	}
}

// limitedLife is what was sent to one life of a back end in one time of need, by processes that had heard of it.
type limitedLife struct {
	heard map[string]time.Duration // when each process first heard of it
	sends []time.Duration          // rising
}

// limitOracle is what back ends in need got. Its keys name a life and the start of its need.
type limitOracle map[string]*limitedLife

func (l limitOracle) of(life string, n need) *limitedLife {
	key := fmt.Sprint(life, n.from)
	if l[key] == nil {
		l[key] = &limitedLife{heard: map[string]time.Duration{}}
	}
	return l[key]
}

// heardLimit notes that a process has an answer in which a back end names its limit.
func (o *oracle) heardLimit(p pair, n need) {
	life := o.limits.of(p.backend, n)
	if _, known := life.heard[p.sender]; !known {
		life.heard[p.sender] = o.w.now()
	}
}

// sendsLimited checks a request at the moment it is sent to a back end.
func (o *oracle) sendsLimited(p pair, n need) {
	now := o.w.now()
	if !n.limit(now).Advertised {
		return
	}
	life := o.limits.of(p.backend, n)
	if heard, known := life.heard[p.sender]; !known || now < heard+namedHeard {
		return
	}
	life.sends = window.Add(life.sends, now)
	allowed := window.Allowed(n.highest(now-window.Length-namedSettle, now))
	if now >= n.from+namedFrom && float64(len(life.sends)) > allowed {
		o.fail(LimitKept, "%s got %d requests in %v from processes that had heard its limit, %.1f allowed, the last from %s", p.backend, len(life.sends), window.Length, allowed, p.sender)
	}
}

// permitted reports whether a gateway may send to a back end now for the limit that this names; else it asks for a part of it, and sends then.
func (g *fleetGateway) permitted(entry control.RosterEntry) bool {
	limit, heard := g.pushed.LimitObservedAt(catalog.ParseInstanceID(entry.ID))
	if !limit.Advertised || !g.w.guards.On(guard.AdvertisedLimitCheck) {
		return true
	}
	name, now := quota.Backend(entry.ID), g.clock()
	named := allowance.AdvertisedLimit{Rate: limit.Rate, Age: now - heard}
	g.borrower.SetAdvertisedLimit(now, name, named)
	if hold, ok := g.borrower.Take(now, name, 1); ok {
		return hold.Valid(now)
	}
	if !g.asking {
		g.askPermit(entry, []allowance.Demand{{Name: name, Amount: 1, Advertised: &named}})
	}
	return false
}

// askPermit asks the leader for a part of a back end's limit, and sends there if there is one.
func (g *fleetGateway) askPermit(entry control.RosterEntry, wants []allowance.Demand) {
	asked := g.clock()
	question := g.borrower.NewRequest(asked, wants)
	g.asking = true
	g.lender.once(control.Request{AllowanceRequest: &question}, permitTimeout, func(response control.Response, answered bool) {
		g.asking = false
		var hold allowance.Lease
		if answered && response.AllowanceReply != nil {
			hold = g.borrower.ApplyReply(g.clock(), asked, wants, *response.AllowanceReply)[0].Lease
		} else {
			hold, _ = g.borrower.TakeFallback(g.clock(), wants[0].Name, 1)
		}
		at := slices.IndexFunc(g.roster, func(e control.RosterEntry) bool { return e.ID == entry.ID })
		if hold.Valid(g.clock()) && at >= 0 && g.maySendTo(g.roster[at]) {
			g.sendTo(g.roster[at])
		}
	})
}

// permitTimeout is how long a gateway waits for the lender.
const permitTimeout = 150 * time.Millisecond
