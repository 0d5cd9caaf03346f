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
	"kitetiller/internal/streamorigin"
)

const (
	heartbeatInterval   = 400 * time.Millisecond
	backendPollInterval = 400 * time.Millisecond
	machineListInterval = 500 * time.Millisecond
	claimTimeout        = 4 * time.Second
	endTimeout          = 60 * time.Second
	attemptTimeout      = 60 * time.Second
	drainTimeout        = 40 * time.Second
	drainCheckInterval  = 20 * time.Millisecond
	lateReplyRatio      = 0.02 // fraction of heartbeat replies that arrive a second time, late
)

// routerNode is a simulated router process: the core, its session and its disk.
type routerNode struct {
	*process
	core           *core.Core
	session        *session.Machine
	control        *controlClient
	syncedSettings session.Settings // on disk
	incarnation    uint64           // on disk
	startedAt      time.Duration
	wakeup         vtime.Alarm
	exchanges      map[core.RequestID]*exchange
	attempts       map[core.AttemptID]*activeAttempt
	nextID         core.RequestID
	streams        *streamorigin.Table
	stopping       bool // a planned stop is in progress, undisturbed by faults
}

func (r *routerNode) clock() time.Duration { return r.elapsed(r.startedAt, r.w.now()) }

// boot starts the process from the state on its disk.
func (r *routerNode) boot() {
	r.start()
	r.incarnation++
	r.startedAt, r.wakeup = r.w.now(), vtime.Alarm{}
	r.stopping = false
	r.exchanges = map[core.RequestID]*exchange{}
	r.attempts = map[core.AttemptID]*activeAttempt{}
	r.nextID = 0
	r.streams = streamorigin.NewTable()
	r.control = newControlClient(r.w, r.process)
	r.core = core.New(core.Config{
		Router: r.name, Zone: r.zone, Seed: r.w.random.Uint64(), BlockTokens: tokensPerBlock, IndexLimit: 2000,
		ZoneLatency: map[string]time.Duration{}, ImportRate: 4000, Guards: r.w.guards,
	})
	saved := session.Settings{}
	if r.w.guards.On(guard.PersistedSettings) {
		saved = r.syncedSettings
	}
	r.session = session.New(session.Identity{Router: r.name, Incarnation: r.incarnation, Zone: r.zone, Address: r.name}, saved, heartbeatInterval, r.w.guards)
	r.w.logf("%s starts as incarnation %d with settings %d", r.name, r.incarnation, saved.Version)
	if saved.Version > 0 {
		r.post(core.EventSettings{Version: saved.Version, Tree: saved.Tree})
	}
	r.renewSession()
	r.readMachineList()
	r.ticker(machineListInterval, r.readMachineList)
	for _, e := range r.w.engines {
		r.pollEngine(e, &membership.Cursor{})
	}
	for _, s := range r.w.services {
		r.ticker(backendPollInterval, func() { r.pollService(s) })
	}
}

// post passes events to the core and performs the resulting actions.
func (r *routerNode) post(events ...core.Event) {
	for _, action := range r.core.Tick(r.clock(), events) {
		r.perform(action)
	}
	r.w.oracle.routerTicked(r)
	r.scheduleWakeup()
}

func (r *routerNode) scheduleWakeup() {
	due, any := r.core.NextWakeup()
	if any {
		r.wakeup.Set(r.w.now(), r.trueTime(r.startedAt, due), time.Millisecond, r.after, func() { r.post() })
	}
}

// renewSession sends a heartbeat and schedules the next one.
func (r *routerNode) renewSession() {
	sent := r.clock()
	beat := r.session.Heartbeat()
	r.control.askOnce(control.Request{Heartbeat: &beat}, controlTimeout, func(response control.Response, answered bool) {
		if !answered || response.Heartbeat == nil {
			r.after(session.FastHeartbeatInterval, r.renewSession)
			return
		}
		reply := *response.Heartbeat
		if r.w.chance(lateReplyRatio) {
			r.after(r.w.between(0, 2*time.Second), func() { r.handleReply(sent, reply, func(time.Duration) {}) })
		}
		r.handleReply(sent, reply, func(pause time.Duration) { r.after(pause, r.renewSession) })
	})
}

// handleReply processes a heartbeat reply. New settings are synced to disk before they are used and acknowledged.
func (r *routerNode) handleReply(sent time.Duration, reply control.HeartbeatReply, done func(time.Duration)) {
	step := r.session.HandleReply(sent, reply)
	if step.RejectReason != "" || step.ToSync == nil {
		if step.RejectReason == "" {
			r.post(r.sessionEvents(step)...)
		}
		done(step.NextHeartbeatIn)
		return
	}
	r.after(r.w.between(500*time.Microsecond, 4*time.Millisecond), func() {
		r.syncedSettings = *step.ToSync
		r.session.MarkSynced(*step.ToSync)
		r.post(append([]core.Event{core.EventSettings{Version: step.ToSync.Version, Tree: step.ToSync.Tree}}, r.sessionEvents(step)...)...)
		done(step.NextHeartbeatIn)
	})
}

// sessionEvents returns the lease and, if known, the peers of a renewed session as events for the core.
func (r *routerNode) sessionEvents(step session.ReplyActions) []core.Event {
	if step.Peers == nil {
		return []core.Event{step.Lease}
	}
	peers := core.EventPeerRouters{}
	for _, peer := range step.Peers {
		peers.Names = append(peers.Names, peer.Name)
	}
	return []core.Event{step.Lease, peers}
}

func (r *routerNode) readMachineList() {
	asked := r.clock()
	r.w.call(r.process, r.w.platform.process, time.Second, func(respond func(func())) {
		machines := r.w.platform.currentMachines()
		respond(func() { r.post(core.EventMachineList{RequestedAt: asked, Machines: machines}) })
	}, func(bool) {})
}

func (r *routerNode) pollEngine(e *engineNode, cursor *membership.Cursor) {
	asked := r.clock()
	pollAgain := func() { r.after(backendPollInterval, func() { r.pollEngine(e, cursor) }) }
	r.w.call(r.process, e.process, pollTimeout, func(respond func(func())) {
		e.advance()
		report := e.model.Report(e.w.now(), cursor.Next())
		respond(func() {
			cursor.Advance(&report)
			r.post(core.EventBackendPoll{Name: e.name, RequestedAt: asked, Report: &report})
			pollAgain()
		})
	}, func(bool) {
		r.post(core.EventBackendPoll{Name: e.name, RequestedAt: asked})
		pollAgain()
	})
}

func (r *routerNode) pollService(s *serviceNode) {
	asked := r.clock()
	r.w.call(r.process, s.process, pollTimeout, func(respond func(func())) {
		report := s.report()
		respond(func() { r.post(core.EventBackendPoll{Name: s.name, RequestedAt: asked, Report: report}) })
	}, func(bool) { r.post(core.EventBackendPoll{Name: s.name, RequestedAt: asked}) })
}

// perform performs one action of the core.
func (r *routerNode) perform(action core.Action) {
	switch typed := action.(type) {
	case core.ActionDispatch:
		r.dispatch(typed)
	case core.ActionCancel:
		r.cancel(typed.Attempt)
	case core.ActionRecordOrigin:
		r.recordOrigin(typed)
	case core.ActionChunk:
		if ex := r.exchanges[typed.ID]; ex != nil {
			ex.deliverChunk(typed)
		}
	case core.ActionFinish:
		r.finish(typed)
	case core.ActionClaim:
		r.claim(typed)
	case core.ActionEndClaim:
		end := typed.End
		newControlClient(r.w, r.process).askUntil(control.Request{End: &end}, r.w.now()+endTimeout, func(control.Response, bool) {})
	case core.ActionRequestSnapshot:
		r.fetchSnapshot(typed)
	}
}

func (r *routerNode) finish(final core.ActionFinish) {
	ex := r.exchanges[final.ID]
	if ex == nil {
		return
	}
	delete(r.exchanges, final.ID)
	r.w.oracle.routerFinished(r, ex, final)
	ex.deliverFinal(final)
}

func (r *routerNode) claim(action core.ActionClaim) {
	claim := action.Claim
	r.w.pending.onClaim(r)
	newControlClient(r.w, r.process).askUntil(control.Request{Claim: &claim}, r.w.now()+claimTimeout, func(response control.Response, decided bool) {
		event := core.EventClaim{ID: action.ID, ClaimID: claim.ClaimID, Failed: !decided || response.Claim == nil}
		if !event.Failed {
			event.Outcome = *response.Claim
		}
		r.post(event)
	})
}

func (r *routerNode) dispatch(action core.ActionDispatch) {
	ex := r.exchanges[action.ID]
	if ex == nil {
		return
	}
	r.w.oracle.routerDispatched(r, ex, action)
	r.announceDispatch(core.PeerDispatch{Backend: action.Backend, Tokens: action.PrefillTokens, Lane: action.Lane})
	if e := r.w.engine(action.Backend); e != nil {
		r.sendToEngine(e, ex, action)
		return
	}
	r.sendToService(r.w.service(action.Backend), ex, action)
}

func (r *routerNode) sendToEngine(e *engineNode, ex *exchange, action core.ActionDispatch) {
	s := &activeAttempt{engine: e, request: ex, attempt: action.Attempt, router: r, stream: r.w.newStream(e.process, r.process)}
	r.attempts[action.Attempt] = s
	r.w.oracle.checkSend(pairOf(r.process, e.incarnationName()))
	r.w.oracle.checkLimitedSend(pairOf(r.process, e.incarnationName()), e.advertised)
	r.w.call(r.process, e.process, attemptTimeout, func(respond func(func())) {
		incarnation := e.incarnation // the responding one, which may not be the one addressed
		if backoff := e.shed.requestedBackoff(e.w.now()); backoff > 0 {
			receiver := pairOf(r.process, e.incarnationName())
			respond(func() {
				signals := pushback.Signals{Backoff: backoff}
				r.w.oracle.recordSignals(receiver, signals)
				r.handleRejection(s, action, incarnation, signals)
			})
			return
		}
		result := e.submit(action, s)
		advertised, limit, receiver := e.advertised, e.advertised.limit(e.w.now()), pairOf(r.process, e.incarnationName())
		respond(func() {
			if limit.Advertised {
				r.w.oracle.recordLimit(receiver, advertised)
				r.post(core.EventPushback{Name: action.Backend, Incarnation: incarnation, Signals: pushback.Signals{Limit: limit}})
			}
			switch result {
			case engine.Accepted:
			case engine.AcceptedWithoutReuse:
				r.attemptEvent(s, core.EventAttempt{Kind: core.AttemptIncarnationMismatch})
			default:
				r.handleRejection(s, action, incarnation, pushback.Signals{Draining: result == engine.RejectedDraining, Backoff: 100 * time.Millisecond})
			}
		})
	}, func(refused bool) { r.attemptEvent(s, core.EventAttempt{Kind: failureKind(refused)}) })
}

func failureKind(rejected bool) core.AttemptEventKind {
	if rejected {
		return core.AttemptRefused
	}
	return core.AttemptBroken
}

func (r *routerNode) sendToService(target *serviceNode, ex *exchange, action core.ActionDispatch) {
	s := &activeAttempt{request: ex, attempt: action.Attempt, router: r}
	r.w.call(r.process, target.process, attemptTimeout, func(respond func(func())) {
		target.serve(ex, action.Attempt, func(event core.EventAttempt) {
			respond(func() { r.attemptEvent(s, event) })
		})
	}, func(refused bool) { r.attemptEvent(s, core.EventAttempt{Kind: failureKind(refused)}) })
}

// handleRejection passes an engine's rejection and its pushback signals to the core.
func (r *routerNode) handleRejection(s *activeAttempt, action core.ActionDispatch, incarnation uint64, signals pushback.Signals) {
	r.post(core.EventPushback{Name: action.Backend, Incarnation: incarnation, Signals: signals})
	r.attemptEvent(s, core.EventAttempt{Kind: core.AttemptRefused, BackendNotAtFault: true})
}

// attemptEvent passes a back end's response to an attempt to the core.
func (r *routerNode) attemptEvent(s *activeAttempt, event core.EventAttempt) {
	event.ID, event.Attempt = s.request.id, s.attempt
	r.post(event)
}

func (r *routerNode) cancel(attempt core.AttemptID) {
	s := r.attempts[attempt]
	if s == nil {
		return
	}
	delete(r.attempts, attempt)
	s.finished = true
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

// plannedStop drains the router and ends the process, then calls then.
func (r *routerNode) plannedStop(then func()) {
	if !r.up {
		return
	}
	r.w.logf("%s begins a planned stop with %d requests", r.name, len(r.exchanges))
	r.stopping = true
	r.post(core.EventDrain{})
	deadline := r.w.now() + drainTimeout
	var check func()
	check = func() {
		if len(r.exchanges) > 0 && r.w.now() < deadline && r.w.guards.On(guard.DrainBeforeExit) {
			r.after(drainCheckInterval, check)
			return
		}
		r.w.oracle.routerStopped(r)
		beat := r.session.ClosingHeartbeat()
		r.control.askOnce(control.Request{Heartbeat: &beat}, controlTimeout, func(control.Response, bool) {})
		r.after(drainCheckInterval, func() {
			r.kill(false)
			then()
		})
	}
	check()
}

// announceDispatch notifies the other routers of a dispatch.
func (r *routerNode) announceDispatch(dispatch core.PeerDispatch) {
	for _, peer := range r.w.routers {
		if peer != r {
			r.w.message(r.process, peer.process, func() { peer.post(core.EventPeerDispatches{Sends: []core.PeerDispatch{dispatch}}) })
		}
	}
}
