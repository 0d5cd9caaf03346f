package sim

import (
	"fmt"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/membership"
	"kitetiller/internal/pushback"
	"kitetiller/internal/session"
)

const (
	beatPeriod    = 400 * time.Millisecond
	backendPoll   = 400 * time.Millisecond
	listPoll      = 500 * time.Millisecond
	claimPatience = 4 * time.Second
	endPatience   = 60 * time.Second
	serviceLimit  = 60 * time.Second
	drainLimit    = 40 * time.Second
	drainCheck    = 20 * time.Millisecond
	replyLate     = 0.02 // share of heartbeat replies that arrive once more, late
)

// routerNode is a router process: the core, its session and its disk.
type routerNode struct {
	*process
	core        *core.Core
	session     *session.Machine
	asker       *asker
	saved       session.Settings // on disk
	incarnation uint64           // on disk
	startedAt   time.Duration
	alarm       vtime.Alarm
	waiting     map[core.RequestID]*exchange
	sendings    map[core.AttemptID]*sending
	nextID      core.RequestID
	stopping    bool // a planned stop is in progress and no fault has disturbed it
}

func (r *routerNode) clock() time.Duration { return r.elapsed(r.startedAt, r.w.now()) }

// boot starts the process from its disk.
func (r *routerNode) boot() {
	r.start()
	r.incarnation++
	r.startedAt, r.alarm = r.w.now(), vtime.Alarm{}
	r.stopping = false
	r.waiting = map[core.RequestID]*exchange{}
	r.sendings = map[core.AttemptID]*sending{}
	r.nextID = 0
	r.asker = newAsker(r.w, r.process)
	r.core = core.New(core.Config{
		Router: r.name, Zone: r.zone, Seed: r.w.random.Uint64(), BlockTokens: tokensPerBlock, IndexLimit: 2000,
		ZoneLatency: map[string]time.Duration{}, ImportRate: 4000, Guards: r.w.guards,
	})
	held := session.Settings{}
	if r.w.guards.On(guard.PersistedSettings) {
		held = r.saved
	}
	r.session = session.New(session.Identity{Router: r.name, Incarnation: r.incarnation, Zone: r.zone, Address: r.name}, held, beatPeriod, r.w.guards)
	r.w.logf("%s starts as incarnation %d with settings %d", r.name, r.incarnation, held.Version)
	if held.Version > 0 {
		r.post(core.EventSettings{Version: held.Version, Tree: held.Tree})
	}
	r.beat()
	r.readList()
	r.ticker(listPoll, r.readList)
	for _, e := range r.w.engines {
		r.pollEngine(e, &membership.Cursor{})
	}
	for _, s := range r.w.services {
		r.ticker(backendPoll, func() { r.pollService(s) })
	}
}

// post passes events to the core and carries out what it decides.
func (r *routerNode) post(events ...core.Event) {
	for _, action := range r.core.Tick(r.clock(), events) {
		r.carryOut(action)
	}
	r.w.oracle.routerTicked(r)
	r.setWake()
}

func (r *routerNode) setWake() {
	due, any := r.core.NextWakeup()
	if any {
		r.alarm.Set(r.w.now(), r.trueTime(r.startedAt, due), time.Millisecond, r.after, func() { r.post() })
	}
}

// beat renews the session again and again.
func (r *routerNode) beat() {
	sent := r.clock()
	beat := r.session.Heartbeat()
	r.asker.once(control.Request{Heartbeat: &beat}, askTimeout, func(response control.Response, answered bool) {
		if !answered || response.Heartbeat == nil {
			r.after(session.FastHeartbeatInterval, r.beat)
			return
		}
		reply := *response.Heartbeat
		if r.w.chance(replyLate) {
			r.after(r.w.between(0, 2*time.Second), func() { r.take(sent, reply, func(time.Duration) {}) })
		}
		r.take(sent, reply, func(pause time.Duration) { r.after(pause, r.beat) })
	})
}

// take syncs new settings before they are used and acknowledged.
func (r *routerNode) take(sent time.Duration, reply control.HeartbeatReply, done func(time.Duration)) {
	step := r.session.HandleReply(sent, reply)
	if step.RejectReason != "" || step.ToSync == nil {
		if step.RejectReason == "" {
			r.post(r.renewed(step)...)
		}
		done(step.NextHeartbeatIn)
		return
	}
	r.after(r.w.between(500*time.Microsecond, 4*time.Millisecond), func() {
		r.saved = *step.ToSync
		r.session.MarkSynced(*step.ToSync)
		r.post(append([]core.Event{core.EventSettings{Version: step.ToSync.Version, Tree: step.ToSync.Tree}}, r.renewed(step)...)...)
		done(step.NextHeartbeatIn)
	})
}

// renewed is what a renewed session tells the core beside settings.
func (r *routerNode) renewed(step session.ReplyActions) []core.Event {
	if step.Peers == nil {
		return []core.Event{step.Lease}
	}
	told := core.EventPeerRouters{}
	for _, peer := range step.Peers {
		told.Names = append(told.Names, peer.Name)
	}
	return []core.Event{step.Lease, told}
}

func (r *routerNode) readList() {
	asked := r.clock()
	r.w.call(r.process, r.w.platform.process, time.Second, func(respond func(func())) {
		machines := r.w.platform.currentMachines()
		respond(func() { r.post(core.EventMachineList{RequestedAt: asked, Machines: machines}) })
	}, func(bool) {})
}

func (r *routerNode) pollEngine(e *engineNode, cursor *membership.Cursor) {
	asked := r.clock()
	again := func() { r.after(backendPoll, func() { r.pollEngine(e, cursor) }) }
	r.w.call(r.process, e.process, pollTimeout, func(respond func(func())) {
		e.advance()
		report := e.model.Report(e.w.now(), cursor.Next())
		respond(func() {
			cursor.Advance(&report)
			r.post(core.EventBackendPoll{Name: e.name, RequestedAt: asked, Report: &report})
			again()
		})
	}, func(bool) {
		r.post(core.EventBackendPoll{Name: e.name, RequestedAt: asked})
		again()
	})
}

func (r *routerNode) pollService(s *serviceNode) {
	asked := r.clock()
	r.w.call(r.process, s.process, pollTimeout, func(respond func(func())) {
		report := s.report()
		respond(func() { r.post(core.EventBackendPoll{Name: s.name, RequestedAt: asked, Report: report}) })
	}, func(bool) { r.post(core.EventBackendPoll{Name: s.name, RequestedAt: asked}) })
}

// carryOut performs one action of the core.
func (r *routerNode) carryOut(action core.Action) {
	switch typed := action.(type) {
	case core.ActionDispatch:
		r.dispatch(typed)
	case core.ActionCancel:
		r.cancel(typed.Attempt)
	case core.ActionChunk:
		if run := r.waiting[typed.ID]; run != nil {
			run.chunk(typed)
		}
	case core.ActionFinish:
		r.finish(typed)
	case core.ActionClaim:
		r.claim(typed)
	case core.ActionEndClaim:
		end := typed.End
		newAsker(r.w, r.process).ask(control.Request{End: &end}, r.w.now()+endPatience, func(control.Response, bool) {})
	case core.ActionRequestSnapshot:
		r.fetchSnapshot(typed)
	}
}

func (r *routerNode) finish(final core.ActionFinish) {
	run := r.waiting[final.ID]
	if run == nil {
		return
	}
	delete(r.waiting, final.ID)
	r.w.oracle.routerFinished(r, run, final)
	run.final(final)
}

func (r *routerNode) claim(action core.ActionClaim) {
	claim := action.Claim
	r.w.pending.onClaim(r)
	newAsker(r.w, r.process).ask(control.Request{Claim: &claim}, r.w.now()+claimPatience, func(response control.Response, decided bool) {
		event := core.EventClaim{ID: action.ID, ClaimID: claim.ClaimID, Failed: !decided || response.Claim == nil}
		if !event.Failed {
			event.Outcome = *response.Claim
		}
		r.post(event)
	})
}

func (r *routerNode) dispatch(action core.ActionDispatch) {
	run := r.waiting[action.ID]
	if run == nil {
		return
	}
	r.w.oracle.routerDispatched(r, run, action)
	r.announce(core.PeerDispatch{Backend: action.Backend, Tokens: action.PrefillTokens, Lane: action.Lane})
	if e := r.w.engine(action.Backend); e != nil {
		r.sendToEngine(e, run, action)
		return
	}
	r.sendToService(r.w.service(action.Backend), run, action)
}

func (r *routerNode) sendToEngine(e *engineNode, run *exchange, action core.ActionDispatch) {
	s := &sending{engine: e, request: run, attempt: action.Attempt, router: r, stream: r.w.newStream(e.process, r.process)}
	r.sendings[action.Attempt] = s
	r.w.oracle.checkSend(pairOf(r.process, e.lifeName()))
	r.w.oracle.checkLimitedSend(pairOf(r.process, e.lifeName()), e.advertised)
	r.w.call(r.process, e.process, serviceLimit, func(respond func(func())) {
		life := e.lives // that speaks, whichever was meant
		if rest := e.shed.requestedBackoff(e.w.now()); rest > 0 {
			asker := pairOf(r.process, e.lifeName())
			respond(func() {
				said := pushback.Signals{Backoff: rest}
				r.w.oracle.recordSignals(asker, said)
				r.refused(s, action, life, said)
			})
			return
		}
		result := e.submit(action, s)
		inNeed, limit, asker := e.advertised, e.advertised.limit(e.w.now()), pairOf(r.process, e.lifeName())
		respond(func() {
			if limit.Advertised {
				r.w.oracle.recordLimit(asker, inNeed)
				r.post(core.EventPushback{Name: action.Backend, Incarnation: life, Signals: pushback.Signals{Limit: limit}})
			}
			switch result {
			case engine.Accepted:
			case engine.AcceptedWithoutReuse:
				r.attemptEvent(s, core.EventAttempt{Kind: core.AttemptIncarnationMismatch})
			default:
				r.refused(s, action, life, pushback.Signals{Draining: result == engine.RejectedDraining, Backoff: 100 * time.Millisecond})
			}
		})
	}, func(refused bool) { r.attemptEvent(s, core.EventAttempt{Kind: failureKind(refused)}) })
}

func failureKind(refused bool) core.AttemptEventKind {
	if refused {
		return core.AttemptRefused
	}
	return core.AttemptBroken
}

func (r *routerNode) sendToService(target *serviceNode, run *exchange, action core.ActionDispatch) {
	s := &sending{request: run, attempt: action.Attempt, router: r}
	r.w.call(r.process, target.process, serviceLimit, func(respond func(func())) {
		target.serve(run, action.Attempt, func(event core.EventAttempt) {
			respond(func() { r.attemptEvent(s, event) })
		})
	}, func(refused bool) { r.attemptEvent(s, core.EventAttempt{Kind: failureKind(refused)}) })
}

// attemptEvent passes what a back end answered to the core.
// refused takes up an engine's refusal, with what it says of itself.
func (r *routerNode) refused(s *sending, action core.ActionDispatch, life uint64, said pushback.Signals) {
	r.post(core.EventPushback{Name: action.Backend, Incarnation: life, Signals: said})
	r.attemptEvent(s, core.EventAttempt{Kind: core.AttemptRefused, BackendNotAtFault: true})
}

func (r *routerNode) attemptEvent(s *sending, event core.EventAttempt) {
	event.ID, event.Attempt = s.request.id, s.attempt
	r.post(event)
}

func (r *routerNode) cancel(attempt core.AttemptID) {
	s := r.sendings[attempt]
	if s == nil {
		return
	}
	delete(r.sendings, attempt)
	s.over = true
	origin := fmt.Sprintf("%s#%d", r.name, r.generation)
	r.w.message(r.process, s.engine.process, func() {
		s.engine.model.Cancel(origin, attempt)
		s.engine.advance()
	})
}

func (r *routerNode) fetchSnapshot(action core.ActionRequestSnapshot) {
	e := r.w.engine(action.Backend)
	r.w.call(r.process, e.process, time.Second, func(respond func(func())) {
		blocks, sequence := e.model.Snapshot()
		event := core.EventCacheSnapshot{Name: e.name, Incarnation: e.model.Incarnation, Sequence: sequence, Blocks: blocks}
		respond(func() { r.post(event) })
	}, func(bool) {})
}

// plannedStop drains and ends the process; then runs when it has ended.
func (r *routerNode) plannedStop(then func()) {
	if !r.up {
		return
	}
	r.w.logf("%s begins a planned stop with %d requests", r.name, len(r.waiting))
	r.stopping = true
	r.post(core.EventDrain{})
	deadline := r.w.now() + drainLimit
	var check func()
	check = func() {
		if len(r.waiting) > 0 && r.w.now() < deadline && r.w.guards.On(guard.DrainBeforeExit) {
			r.after(drainCheck, check)
			return
		}
		r.w.oracle.routerStopped(r)
		beat := r.session.ClosingHeartbeat()
		r.asker.once(control.Request{Heartbeat: &beat}, askTimeout, func(control.Response, bool) {})
		r.after(drainCheck, func() {
			r.kill(false)
			then()
		})
	}
	check()
}

// announce tells the other routers of a send.
func (r *routerNode) announce(send core.PeerDispatch) {
	for _, peer := range r.w.routers {
		if peer != r {
			r.w.message(r.process, peer.process, func() { peer.post(core.EventPeerDispatches{Sends: []core.PeerDispatch{send}}) })
		}
	}
}
