package sim

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/quarantine"
)

const (
	// fatalDuration is how long a request that ends whoever runs it comes again, at most so often.
	fatalDuration           = 25 * time.Second
	fatalMinInterval        = 30 * time.Millisecond
	fatalMaxInterval        = 900 * time.Millisecond
	quarantineReportTimeout = 20 * time.Second
	// quarantineContactTime is how long control and a gateway must have been well for what the gateway sends to count, and deadlyMore how many
	// sends beyond the third life may count.
	quarantineContactTime = 4 * time.Second
	maxFatalSends         = 3
	// hotMinInterval and hotLatest are the pauses between the ends of a request that many callers send at once, at one gateway.
	hotMinInterval = 500 * time.Millisecond
	hotMaxInterval = 4 * time.Second
)

// hotRequest ends well wherever it isn't cut off by the end of its back end.
var hotRequest = quarantine.Fingerprint{0, 'h', 'o', 't'}

// faultFatalRequest lets a request come again and again that ends each back end that begins to run it.
func (w *world) faultFatalRequest() {
	w.oracle.fatalCount++
	f := quarantine.Fingerprint{byte(w.oracle.fatalCount), 'd'}
	until := min(w.now()+fatalDuration, activeTime)
	var come func()
	come = func() {
		if w.now() > until {
			return
		}
		g := pick(w, w.gateways)
		g.run(g.generation, func() { g.sendFatal(f) })
		w.after(w.between(fatalMinInterval, fatalMaxInterval), come)
	}
	come()
}

// sendFatal sends a deadly request as a gateway would, to a back end that then ends.
func (g *fleetGateway) sendFatal(f quarantine.Fingerprint) {
	if !g.hasValidView() || g.w.guards.On(guard.QuarantineCheck) && g.crashes.CrashCount(f) >= quarantine.QuarantineThreshold {
		return
	}
	entry := pick(g.w, g.roster)
	target := g.w.fleetBackend(entry.Address)
	if entry.State != catalog.StateReady || entry.Loading || target == nil || !target.up || target.frozen || target.id != entry.ID {
		return // nothing listens there, or it doesn't run the request
	}
	g.w.oracle.checkFatalSend(g, f, target.id)
	g.w.killBackend(target, g.w.chance(0.2), f)
	g.w.restart(target, g.w.between(300*time.Millisecond, 4*time.Second))
}

// killBackend ends a back end with everything that runs there: the hot request from some gateways, others of their own, and those given.
func (w *world) killBackend(b *fleetBackend, silent bool, ran ...quarantine.Fingerprint) {
	life := b.id
	b.kill(silent)
	for _, g := range w.gateways {
		w.killedRuns++
		runs := append([]quarantine.Fingerprint{{byte(w.killedRuns), byte(w.killedRuns >> 8), 'o'}}, ran...)
		if w.chance(0.5) {
			runs = append(runs, hotRequest)
		}
		g.after(w.between(time.Millisecond, 5*time.Millisecond), func() { g.recordBrokenRuns(b, life, silent, runs) })
	}
}

// recordBrokenRuns notes runs that broke off, and looks whether their back end has ended: an address of a machine without power says nothing.
func (g *fleetGateway) recordBrokenRuns(b *fleetBackend, life string, silent bool, runs []quarantine.Fingerprint) {
	for _, f := range runs {
		if told, counts := g.crashes.RecordFailure(g.clock(), life, f); counts {
			g.reportCrash(told)
		}
	}
	if silent || g.w.isPartitioned(g.process, b.process) {
		return
	}
	g.after(g.w.between(time.Millisecond, 6*time.Millisecond), func() {
		if !b.up {
			g.confirmEnd(life)
		}
	})
}

// confirmEnd notes the proof that a life ended.
func (g *fleetGateway) confirmEnd(life string) {
	if told, counts := g.crashes.ConfirmEnd(g.clock(), life); counts {
		g.reportCrash(told)
	}
}

func (g *fleetGateway) reportCrash(told quarantine.Crash) {
	g.proposeQuarantineChange(quarantine.Change{Crashes: []quarantine.Crash{told}})
}

// proposeQuarantineChange has control make a change, as a gateway's thread does.
func (g *fleetGateway) proposeQuarantineChange(change quarantine.Change) {
	request := control.Request{Catalog: &catalog.Command{Quarantine: &change}}
	record := g.crashes
	g.asker.askUntil(request, g.w.now()+quarantineReportTimeout, func(_ control.Response, taken bool) {
		if taken {
			record.Acknowledge(change.Crashes)
		}
	})
}

func (g *fleetGateway) release(innocent ...quarantine.Fingerprint) {
	if len(innocent) > 0 {
		g.proposeQuarantineChange(quarantine.Change{Releases: []quarantine.Release{{Requests: innocent, Reason: quarantine.ReasonCompleted}}})
	}
}

// applyQuarantineUpdate takes up what control tells of ended back ends.
func (g *fleetGateway) applyQuarantineUpdate(reply *control.WatchReply, before []control.RosterEntry) {
	if reply.Quarantine != nil {
		g.release(g.crashes.ApplyUpdate(g.clock(), reply.Quarantine)...)
	}
	now := map[string]string{}
	for _, e := range g.roster {
		now[e.Address] = e.ID
	}
	for _, e := range before {
		if other := now[e.Address]; other != "" && other != e.ID && e.State == catalog.StateReady {
			g.confirmEnd(e.ID)
		}
	}
	g.crashes.Sweep(g.clock())
}

// completeHotRequest ends one run of the hot request well, and looks whether it is held back.
func (g *fleetGateway) completeHotRequest() {
	g.after(g.w.between(hotMinInterval, hotMaxInterval), g.completeHotRequest)
	if !g.hasValidView() {
		return
	}
	if g.w.guards.On(guard.QuarantineCheck) && g.crashes.CrashCount(hotRequest) >= quarantine.QuarantineThreshold {
		g.w.oracle.fail(QuarantineEnforced, "%s holds a request back that ends well, for %d lives", g.process.name, g.crashes.CrashCount(hotRequest))
	}
	if g.crashes.RecordCompletion(g.clock(), hotRequest) {
		g.release(hotRequest)
	}
}

// fatalRequest is what the oracle knows of a request that ends whoever runs it.
type fatalRequest struct {
	crashes     int           // lives
	thresholdAt time.Duration // when the last life ended that a request may end before it is held back
	excessSends int           // sends that count against it
}

// checkFatalSend checks a send of a deadly request.
func (o *oracle) checkFatalSend(g *fleetGateway, f quarantine.Fingerprint, life string) {
	d := o.fatalRequests[f]
	if d == nil {
		d = &fatalRequest{}
		o.fatalRequests[f] = d
	}
	now := o.w.now()
	well := now > max(o.controlFaultEnd, g.startedAt, g.resumedAt, d.thresholdAt)+quarantineContactTime
	if d.crashes >= quarantine.QuarantineThreshold && well {
		if d.excessSends++; d.excessSends > maxFatalSends {
			o.fail(QuarantineEnforced, "%s sent a request to %s under which %d back ends had ended, the third %v ago", g.process.name, life, d.crashes, now-d.thresholdAt)
		}
	}
	if d.crashes++; d.crashes == quarantine.QuarantineThreshold {
		d.thresholdAt = now
	}
}
