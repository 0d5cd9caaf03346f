package sim

import (
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/quarantine"
)

const (
	// fatalDuration is how long a fatal request is repeated; fatalMinInterval and fatalMaxInterval bound its interval.
	fatalDuration           = 25 * time.Second
	fatalMinInterval        = 30 * time.Millisecond
	fatalMaxInterval        = 900 * time.Millisecond
	quarantineReportTimeout = 20 * time.Second
	// quarantineContactTime is how long control and a gateway must have been undisturbed for the gateway's sends to count;
	// maxFatalSends is how many such sends are tolerated after the quarantine threshold.
	quarantineContactTime = 4 * time.Second
	maxFatalSends         = 3
	// hotMinInterval and hotMaxInterval bound the time between completions of the hot request at one gateway.
	hotMinInterval = 500 * time.Millisecond
	hotMaxInterval = 4 * time.Second
)

// hotRequest is a harmless request that many callers send. It completes unless its back end ends.
var hotRequest = quarantine.Fingerprint{0, 'h', 'o', 't'}

// faultFatalRequest repeats a request that crashes each back end that starts to run it.
func (w *world) faultFatalRequest() {
	w.oracle.fatalCount++
	f := quarantine.Fingerprint{byte(w.oracle.fatalCount), 'd'}
	until := min(w.now()+fatalDuration, activeTime)
	var repeat func()
	repeat = func() {
		if w.now() > until {
			return
		}
		g := pick(w, w.gateways)
		g.run(g.generation, func() { g.sendFatal(f) })
		w.after(w.between(fatalMinInterval, fatalMaxInterval), repeat)
	}
	repeat()
}

// sendFatal sends a fatal request as a gateway would, to a back end that then crashes.
func (g *fleetGateway) sendFatal(f quarantine.Fingerprint) {
	if !g.hasValidView() || g.w.guards.On(guard.QuarantineCheck) && g.crashes.CrashCount(f) >= quarantine.QuarantineThreshold {
		return
	}
	entry := pick(g.w, g.roster)
	target := g.w.fleetBackend(entry.Address)
	if entry.State != catalog.StateReady || entry.Loading || target == nil || !target.up || target.frozen || target.id != entry.ID {
		return // no server at the address, or it doesn't run the request
	}
	g.w.oracle.checkFatalSend(g, f, target.id)
	g.w.killBackend(target, g.w.chance(0.2), f)
	g.w.restart(target, g.w.between(300*time.Millisecond, 4*time.Second))
}

// killBackend kills a back end on which each gateway was running the given requests, one of its own and perhaps the hot
// request.
func (w *world) killBackend(b *fleetBackend, silent bool, ran ...quarantine.Fingerprint) {
	incarnation := b.id
	b.kill(silent)
	for _, g := range w.gateways {
		w.killedRuns++
		runs := append([]quarantine.Fingerprint{{byte(w.killedRuns), byte(w.killedRuns >> 8), 'o'}}, ran...)
		if w.chance(0.5) {
			runs = append(runs, hotRequest)
		}
		g.after(w.between(time.Millisecond, 5*time.Millisecond), func() { g.recordBrokenRuns(b, incarnation, silent, runs) })
	}
}

// recordBrokenRuns records runs that broke off and checks whether their back end has ended. This can't be determined if
// the machine lost power or is partitioned.
func (g *fleetGateway) recordBrokenRuns(b *fleetBackend, incarnation string, silent bool, runs []quarantine.Fingerprint) {
	for _, f := range runs {
		if crash, counts := g.crashes.RecordFailure(g.clock(), incarnation, quarantine.Subject{Request: f}); counts {
			g.reportCrash(crash)
		}
	}
	if silent || g.w.isPartitioned(g.process, b.process) {
		return
	}
	g.after(g.w.between(time.Millisecond, 6*time.Millisecond), func() {
		if !g.appearsEnded(b) {
			return
		}
		if b.up && b.id == incarnation {
			g.w.oracle.fail(QuarantineEnforced, "%s takes %s for ended, which lives", g.process.name, incarnation)
		}
		g.confirmEnd(incarnation)
	})
}

// confirmEnd records that an incarnation has ended for certain.
func (g *fleetGateway) confirmEnd(incarnation string) {
	if crash, counts := g.crashes.ConfirmEnd(g.clock(), incarnation); counts {
		g.reportCrash(crash)
	}
}

func (g *fleetGateway) reportCrash(crash quarantine.Crash) {
	g.proposeQuarantineChange(quarantine.Change{Crashes: []quarantine.Crash{crash}})
}

// proposeQuarantineChange sends a change of the crash registry to control.
func (g *fleetGateway) proposeQuarantineChange(change quarantine.Change) {
	request := control.Request{Catalog: &catalog.Command{Quarantine: &change}}
	tracker := g.crashes
	g.asker.askUntil(request, g.w.now()+quarantineReportTimeout, func(_ control.Response, accepted bool) {
		if accepted {
			tracker.Acknowledge(change.Crashes)
		}
	})
}

func (g *fleetGateway) release(completed ...quarantine.Fingerprint) {
	if len(completed) > 0 {
		g.proposeQuarantineChange(quarantine.Change{Releases: []quarantine.Release{{Requests: completed, Reason: quarantine.ReasonCompleted}}})
	}
}

// applyQuarantineUpdate applies control's crash counts and confirms the end of incarnations that the roster replaced.
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

// completeHotRequest completes a run of the hot request and checks that it isn't quarantined.
func (g *fleetGateway) completeHotRequest() {
	g.after(g.w.between(hotMinInterval, hotMaxInterval), g.completeHotRequest)
	if !g.hasValidView() {
		return
	}
	if g.w.guards.On(guard.QuarantineCheck) && g.crashes.CrashCount(hotRequest) >= quarantine.QuarantineThreshold {
		g.w.oracle.fail(QuarantineEnforced, "%s quarantines a request that completes, for %d crashes", g.process.name, g.crashes.CrashCount(hotRequest))
	}
	g.release(g.crashes.RecordCompletion(g.clock(), quarantine.Subject{Request: hotRequest})...)
}

// fatalRequest is the oracle's record of a fatal request.
type fatalRequest struct {
	crashes     int           // back ends that it crashed
	thresholdAt time.Duration // when the crashes reached the quarantine threshold
	excessSends int           // counted sends after the threshold
}

// checkFatalSend records the send of a fatal request and checks that a quarantined one isn't sent.
func (o *oracle) checkFatalSend(g *fleetGateway, f quarantine.Fingerprint, incarnation string) {
	d := o.fatalRequests[f]
	if d == nil {
		d = &fatalRequest{}
		o.fatalRequests[f] = d
	}
	now := o.w.now()
	healthy := now > max(o.controlFaultEnd, g.startedAt, g.resumedAt, d.thresholdAt)+quarantineContactTime
	if d.crashes >= quarantine.QuarantineThreshold && healthy {
		if d.excessSends++; d.excessSends > maxFatalSends {
			o.fail(QuarantineEnforced, "%s sent a request to %s that had crashed %d back ends; it reached the quarantine threshold %v ago", g.process.name, incarnation, d.crashes, now-d.thresholdAt)
		}
	}
	if d.crashes++; d.crashes == quarantine.QuarantineThreshold {
		d.thresholdAt = now
	}
}
