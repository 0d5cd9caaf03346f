package sim

import (
	"math/rand/v2"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
	"kitetiller/internal/quarantine"
)

const (
	fatalPartStream = 31
	// maxFatalPartSends is how many requests with a fatal part may still be sent, as of quarantineContactTime after the
	// last crash that it takes to quarantine the part and one to tell it from other parts.
	maxFatalPartSends      = 3
	decisivePartCrashes    = quarantine.PartQuarantineThreshold + 1
	fatalPartMinInterval   = 60 * time.Millisecond
	fatalPartMaxInterval   = 700 * time.Millisecond
	bystanderMinInterval   = 200 * time.Millisecond
	bystanderMaxInterval   = 1500 * time.Millisecond
	fatalPartRestartMin    = 300 * time.Millisecond
	fatalPartRestartMax    = 3 * time.Second
	fatalPartRequestMarker = 'q'
)

// partFingerprint returns the fingerprint of a part, marked as the hasher marks it.
func partFingerprint(kind, number byte) quarantine.Fingerprint {
	f := quarantine.Fingerprint{kind, number}
	copy(f[len(f)-len("part"):], "part")
	return f
}

// fatalPartRun is a series of requests that share a root and a part which crashes each back end, among others that share
// the root.
type fatalPartRun struct {
	w           *world
	random      *rand.Rand
	until       time.Duration
	root, fatal quarantine.Fingerprint
	requests    int
	crashes     int
	decidedAt   time.Duration // when decisivePartCrashes were reached
	excessSends int
}

// planFatalParts sends such requests in a quarter of all runs, with a random source of its own, so that other runs don't
// change.
func (w *world) planFatalParts() {
	if w.seed%4 != 2 || len(w.gateways) > fleetGateways {
		return
	}
	random := rand.New(rand.NewPCG(w.seed, fatalPartStream))
	for number := range 1 + random.IntN(2) {
		r := &fatalPartRun{w: w, random: random, root: partFingerprint('r', byte(number)), fatal: partFingerprint('f', byte(number))}
		at := firstFault + time.Duration(random.Int64N(int64(lastFault-firstFault)))
		r.until = min(at+fatalDuration, activeTime)
		w.after(at, r.sendFatal)
		w.after(at, r.sendBystander)
	}
}

func (r *fatalPartRun) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// subject returns a request, unlike all others, with the given parts.
func (r *fatalPartRun) subject(parts ...quarantine.Fingerprint) quarantine.Subject {
	r.requests++
	return quarantine.Subject{Request: quarantine.Fingerprint{byte(r.requests), byte(r.requests >> 8), fatalPartRequestMarker}, Parts: parts}
}

// sendFatal sends a request with the fatal part at a random gateway, and schedules the next one.
func (r *fatalPartRun) sendFatal() {
	if r.w.now() > r.until {
		return
	}
	r.w.after(r.between(fatalPartMinInterval, fatalPartMaxInterval), r.sendFatal)
	g, silent := r.w.gateways[r.random.IntN(len(r.w.gateways))], r.random.IntN(5) == 0
	subject := r.subject(r.root, r.fatal)
	g.run(g.generation, func() {
		target := g.targetFor(r.random, subject)
		if target == nil {
			return
		}
		r.checkSend(g)
		r.w.killBackendRunning(target, silent, g, subject)
		r.w.after(r.between(fatalPartRestartMin, fatalPartRestartMax), func() { r.w.restart(target, 0) })
	})
}

// sendBystander completes a request that shares the root only, and schedules the next one.
func (r *fatalPartRun) sendBystander() {
	if r.w.now() > r.until {
		return
	}
	r.w.after(r.between(bystanderMinInterval, bystanderMaxInterval), r.sendBystander)
	g := r.w.gateways[r.random.IntN(len(r.w.gateways))]
	subject := r.subject(r.root)
	g.run(g.generation, func() {
		if !g.hasValidView() {
			return
		}
		if g.isQuarantined(subject) && r.w.now() >= r.decidedAt+quarantineContactTime && r.decidedAt > 0 {
			r.w.oracle.fail(QuarantineEnforced, "%s rejects requests that share only the root with those that crash back ends", g.process.name)
		}
		if g.targetFor(r.random, subject) != nil {
			g.release(g.crashes.RecordCompletion(g.clock(), subject)...)
		}
	})
}

// checkSend records the send of a request with the fatal part and checks that few follow once the part must be
// quarantined.
func (r *fatalPartRun) checkSend(g *fleetGateway) {
	now := r.w.now()
	healthy := now > max(r.w.oracle.controlFaultEnd, g.startedAt, g.resumedAt, r.decidedAt)+quarantineContactTime
	if r.crashes >= decisivePartCrashes && healthy {
		if r.excessSends++; r.excessSends > maxFatalPartSends {
			r.w.oracle.fail(QuarantineEnforced, "%s sent a request with a part under which %d back ends had crashed, %v after that was decided", g.process.name, r.crashes, now-r.decidedAt)
		}
	}
	if r.crashes++; r.crashes == decisivePartCrashes {
		r.decidedAt = now
	}
}

// isQuarantined reports whether the gateway rejects a request because of crashes.
func (g *fleetGateway) isQuarantined(subject quarantine.Subject) bool {
	if !g.w.guards.On(guard.PartQuarantine) {
		subject.Parts = nil
	}
	return g.crashes.IsQuarantined(subject)
}

// targetFor returns a back end to which the gateway sends a request, or nil.
func (g *fleetGateway) targetFor(random *rand.Rand, subject quarantine.Subject) *fleetBackend {
	if !g.hasValidView() || g.isQuarantined(subject) || g.isCut() {
		return nil
	}
	entry := g.roster[random.IntN(len(g.roster))]
	target := g.w.fleetBackend(entry.Address)
	if entry.State != catalog.StateReady || entry.Loading || target == nil || !target.up || target.frozen || target.id != entry.ID {
		return nil
	}
	return target
}

// killBackendRunning kills a back end on which a gateway was running one request.
func (w *world) killBackendRunning(b *fleetBackend, silent bool, g *fleetGateway, subject quarantine.Subject) {
	incarnation := b.id
	b.kill(silent)
	if crash, counts := g.crashes.RecordFailure(g.clock(), incarnation, subject); counts {
		g.reportCrash(crash)
	}
	if !silent {
		g.after(time.Millisecond, func() {
			if !b.up {
				g.confirmEnd(incarnation)
			}
		})
	}
}
