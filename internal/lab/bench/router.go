package bench

import (
	"slices"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/traffic"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/membership"
)

const (
	localLatency = 200 * time.Microsecond // one way, within a zone
	pollInterval = 100 * time.Millisecond
	indexLimit   = 200_000
	// announceDelay is how long dispatches are collected before they are announced to the other routers in one batch.
	announceDelay = 20 * time.Millisecond
)

// routerNode is the router of a zone.
type routerNode struct {
	run           *run
	zone          string
	core          *core.Core
	alarm         vtime.Alarm
	pending       map[core.RequestID]*pending
	attempts      map[core.AttemptID]*attempt
	targets       map[core.AttemptID]*engineNode
	nextID        core.RequestID
	announcements []announcement
}

// announcement is a dispatch to announce to the other routers, and its time.
type announcement struct {
	send core.PeerDispatch
	at   time.Duration
}

// pending is an unfinished request.
type pending struct {
	request        core.Request
	prompt         traffic.Prompt
	sentAt         time.Duration
	firstTokenSeen bool
	vaultBlocks    blockList
}

func (r *run) newRouter(zone string, seed uint64) *routerNode {
	latency := map[string]time.Duration{}
	for _, other := range r.deployment.Zones {
		if other != zone {
			latency[other] = r.deployment.ZoneLatency
		}
	}
	node := &routerNode{run: r, zone: zone, pending: map[core.RequestID]*pending{},
		attempts: map[core.AttemptID]*attempt{}, targets: map[core.AttemptID]*engineNode{}}
	node.core = core.New(core.Config{
		Router: zone, Zone: zone, Seed: seed, BlockTokens: r.options.blockTokens(), IndexLimit: indexLimit,
		ZoneLatency: latency, Vault: vaultName, ImportRate: r.rates.ImportTokensPerSecond, Placer: placerFor(r.policy, r),
	})
	return node
}

func (n *routerNode) start() {
	machines := make([]core.Machine, 0, len(n.run.engines))
	for _, e := range n.run.engines {
		machines = append(machines, core.Machine{Name: e.name, Zone: e.zone, Service: n.run.service, Address: e.name})
	}
	n.tick(core.EventSettings{Version: 1, Tree: n.run.tree}, core.EventLease{Epoch: 1, Until: 1 << 62}, core.EventMachineList{Machines: machines})
	for i, e := range n.run.engines {
		offset := time.Duration(i) * pollInterval / time.Duration(len(n.run.engines))
		cursor := &membership.Cursor{}
		n.run.clock.After(offset, func() { n.poll(e, cursor) })
	}
}

func (n *routerNode) latency(e *engineNode) time.Duration {
	if e.zone == n.zone {
		return localLatency
	}
	return n.run.deployment.ZoneLatency
}

// tick passes events to the core and performs the actions it returns.
func (n *routerNode) tick(events ...core.Event) {
	now := n.run.clock.Now()
	for _, action := range n.core.Tick(now, events) {
		n.perform(action)
	}
	if due, ok := n.core.NextWakeup(); ok {
		n.alarm.Set(now, due, time.Millisecond, n.run.clock.After, func() { n.tick() })
	}
}

func (n *routerNode) poll(e *engineNode, cursor *membership.Cursor) {
	requestedAt := n.run.clock.Now()
	n.run.clock.After(n.latency(e), func() {
		event := core.EventBackendPoll{Name: e.name, RequestedAt: requestedAt}
		if !e.down {
			e.advance()
			report := e.model.Report(n.run.clock.Now(), cursor.Next())
			cursor.Advance(&report)
			event.Report = &report
		}
		n.run.clock.After(n.latency(e), func() { n.tick(event) })
	})
	n.run.clock.After(pollInterval, func() { n.poll(e, cursor) })
}

// handlePrompt turns a caller's prompt into a request.
func (n *routerNode) handlePrompt(prompt traffic.Prompt, sentAt time.Duration) {
	n.nextID++
	request := core.Request{
		ID: n.nextID, Tenant: prompt.Tenant, Service: n.run.service, PromptTokens: tokensOf(prompt.Text), MaxTokens: prompt.MaxTokens,
		Chains: []core.Chain{{Weights: weights, Blocks: n.run.hasher.Chain(prompt.Tenant, weights, []byte(prompt.Text))}},
	}
	if prompt.Short { // short prompts ask for the interactive lane
		request.Lane, request.LaneFixed = core.LaneInteractive, true
	}
	n.pending[request.ID] = &pending{request: request, prompt: prompt, sentAt: sentAt}
	n.tick(core.EventRequest{Request: request})
}

func (n *routerNode) perform(action core.Action) {
	switch typed := action.(type) {
	case core.ActionDispatch:
		n.dispatch(typed)
	case core.ActionCancel:
		n.cancel(typed.Attempt)
	case core.ActionChunk:
		n.chunk(typed)
	case core.ActionFinish:
		n.finish(typed)
	case core.ActionRequestSnapshot:
		n.fetchSnapshot(typed)
	}
}

func (n *routerNode) dispatch(action core.ActionDispatch) {
	request := n.pending[action.ID]
	e := n.run.byName[action.Backend]
	s := &attempt{router: n, request: request, attempt: action.Attempt, lane: action.Lane,
		tokens: max(1, request.request.PromptTokens-action.ExpectedCachedTokens)}
	if action.StoreInVault {
		request.vaultBlocks = action.Blocks[:action.VaultBlocks]
	}
	n.attempts[action.Attempt], n.targets[action.Attempt] = s, e
	n.announce(core.PeerDispatch{Backend: e.name, Tokens: action.PrefillTokens, Lane: action.Lane})
	e.adjustInFlight(s, 1)
	n.run.clock.After(n.latency(e), func() { e.submit(action, s) })
}

// reply delivers an event of an attempt to the router, unless the attempt was cancelled.
func (n *routerNode) reply(e *engineNode, s *attempt, event core.EventAttempt) {
	event.ID, event.Attempt, event.Echo = s.request.request.ID, s.attempt, s.attempt
	n.run.clock.After(n.latency(e), func() {
		if !s.cancelled {
			n.tick(event)
		}
	})
}

// sendPushback delivers an engine's pushback to the router, even if the attempt was cancelled.
func (n *routerNode) sendPushback(e *engineNode, event core.EventPushback) {
	n.run.clock.After(n.latency(e), func() { n.tick(event) })
}

func (n *routerNode) cancel(attempt core.AttemptID) {
	s, e := n.attempts[attempt], n.targets[attempt]
	if s == nil {
		return
	}
	n.forget(attempt)
	s.cancelled = true
	n.run.clock.After(n.latency(e), func() {
		if !e.down {
			e.model.Cancel(n.zone, attempt)
			e.advance()
		}
	})
}

func (n *routerNode) forget(attempt core.AttemptID) {
	delete(n.attempts, attempt)
	delete(n.targets, attempt)
}

// breakAttempts reports a broken connection for every attempt on a crashed engine.
func (n *routerNode) breakAttempts(e *engineNode) {
	var broken []core.AttemptID
	for attempt, target := range n.targets {
		if target == e {
			broken = append(broken, attempt)
		}
	}
	slices.Sort(broken)
	for _, attempt := range broken {
		n.reply(e, n.attempts[attempt], core.EventAttempt{Kind: core.AttemptBroken})
	}
}

func (n *routerNode) chunk(action core.ActionChunk) {
	request := n.pending[action.ID]
	if request == nil || request.firstTokenSeen {
		return
	}
	request.firstTokenSeen = true
	n.run.measure.firstToken(n.run.clock.Now()+n.run.deployment.ClientLatency, request)
}

func (n *routerNode) finish(action core.ActionFinish) {
	request := n.pending[action.ID]
	delete(n.pending, action.ID)
	n.run.measure.finished(n.run.clock.Now()+n.run.deployment.ClientLatency, request, action)
	for attempt, s := range n.attempts {
		if s.request == request {
			n.forget(attempt)
		}
	}
}

func (n *routerNode) fetchSnapshot(action core.ActionRequestSnapshot) {
	e := n.run.byName[action.Backend]
	n.run.clock.After(n.latency(e), func() {
		if e.down {
			return
		}
		blocks, sequence := e.model.Snapshot()
		event := core.EventCacheSnapshot{Name: e.name, Incarnation: e.model.Incarnation, Sequence: sequence, Blocks: blocks}
		n.run.clock.After(n.latency(e), func() { n.tick(event) })
	})
}

func (n *routerNode) recordStored(blocks blockList) {
	n.tick(core.EventVault{Blocks: blocks, Held: true})
}

// announce queues a dispatch for the next batch to the other routers.
func (n *routerNode) announce(send core.PeerDispatch) {
	n.announcements = append(n.announcements, announcement{send: send, at: n.run.clock.Now()})
	if len(n.announcements) > 1 {
		return
	}
	n.run.clock.After(announceDelay, n.flushAnnouncements)
}

func (n *routerNode) flushAnnouncements() {
	announcements := n.announcements
	n.announcements = nil
	for _, peer := range n.run.routers {
		if peer == n {
			continue
		}
		n.run.clock.After(n.run.deployment.ZoneLatency, func() { peer.receiveAnnouncements(announcements) })
	}
}

func (n *routerNode) receiveAnnouncements(announcements []announcement) {
	event := core.EventPeerDispatches{}
	for _, item := range announcements {
		send := item.send
		send.Age = n.run.clock.Now() - item.at
		event.Sends = append(event.Sends, send)
	}
	n.tick(event)
}
