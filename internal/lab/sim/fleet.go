package sim

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/tunnel"
)

const (
	fleetService           = "fleet"
	fleetModel             = "m"
	fleetBackends          = 4
	fleetGateways          = 3
	fleetOperators         = 2
	fleetViewTTL           = 2 * time.Second
	fleetOrderDelay        = 2500 * time.Millisecond
	fleetHold              = 300 * time.Millisecond
	fleetHeartbeatInterval = 500 * time.Millisecond
	fleetSendInterval      = 60 * time.Millisecond
	fleetLoadTime          = 800 * time.Millisecond
	fleetDrainTime         = 2 * time.Second
	olderWeightsRatio      = 0.2             // share of starts with older weights than the last incarnation had
	maxOrderDelay          = 4 * time.Second // longest delay of an order whose reply was lost
	replicaSwitchRatio     = 0.1             // share of watches with which a gateway switches to another replica
	noRelay                = 1 << 20         // more gateways than any run has: the leader answers all watches
	// sendWindow is how long after a back end began to load no gateway may send to it, while the ordering leader leads.
	sendWindow = 300 * time.Millisecond
	// holderWindow is the minimum time between orders of two leaders to one back end, as a fast clock measures the delay.
	holderWindow = fleetOrderDelay * 100 / 105
)

// fleetOperator replaces the routing document and publishes weights, concurrently with the other operators. It retries
// when a reply is lost.
type fleetOperator struct {
	*process
	asker *controlClient
}

func (o *fleetOperator) boot() {
	o.start()
	o.asker = newControlClient(o.w, o.process)
	o.after(o.w.between(2*time.Second, 5*time.Second), o.replace)
	o.after(o.w.between(6*time.Second, 12*time.Second), o.publishWeightsPeriodically)
}

// replace sends a document a few revisions above the newest acknowledged one, so that two operators may use the same
// revision for different contents.
func (o *fleetOperator) replace() {
	if o.w.now() > activeTime {
		return
	}
	o.after(o.w.between(500*time.Millisecond, 4*time.Second), o.replace)
	fleet := &o.w.oracle.fleet
	document := catalog.Document{
		Revision: fleet.acknowledged + 1 + uint64(o.w.random.IntN(3)),
		Services: []catalog.Service{{Name: fmt.Sprintf("%s-%d", o.process.name, o.w.random.IntN(1000))}},
	}
	if o.w.chance(0.1) && document.Revision > 4 {
		document.Revision -= 4
	}
	o.send(document, maxChangeResends)
}

func (o *fleetOperator) send(document catalog.Document, left int) {
	request := control.Request{Catalog: &catalog.Command{Replace: &document}}
	o.asker.askOnce(request, controlTimeout, func(response control.Response, answered bool) {
		if answered && response.Catalog != nil && !o.w.chance(lostReplyRatio) {
			o.w.oracle.recordDocumentAck(document.Revision)
			return
		}
		if left > 0 {
			o.after(o.w.between(50*time.Millisecond, 400*time.Millisecond), func() { o.send(document, left-1) })
		}
	})
}

func (o *fleetOperator) publishWeightsPeriodically() {
	if o.w.now() > activeTime {
		return
	}
	o.after(o.w.between(4*time.Second, 14*time.Second), o.publishWeightsPeriodically)
	o.publishWeights()
}

func (o *fleetOperator) publishWeights() {
	version := o.w.oracle.fleet.lastPublishedSent + 1
	o.w.oracle.recordPublishSent(version)
	request := control.Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: fleetModel, Version: version}}}
	o.asker.askUntil(request, o.w.now()+20*time.Second, func(_ control.Response, decided bool) {
		if decided {
			o.w.oracle.recordPublishAck(version)
		}
	})
}

// fleetBackend registers itself, carries out weights orders, drains, deregisters and restarts as a new incarnation at
// its address.
type fleetBackend struct {
	*process
	asker        *controlClient
	incarnations int
	id           string
	sequence     uint64
	draining     bool
	left         bool // it has sent its deregistration without a drain
	version      uint64
	loadingUntil time.Duration
	revision     uint64 // orders accepted by this incarnation
	fence        uint64
	rejecting    rejection
	advertised   limitPeriod
	ackedState   string // state that the leader acknowledged last
}

func (b *fleetBackend) boot() {
	b.start()
	b.asker = newControlClient(b.w, b.process)
	b.incarnations++
	b.id = b.nextID()
	b.left = false
	b.sequence, b.draining, b.loadingUntil, b.revision, b.fence, b.ackedState = 0, false, 0, 0, 0, ""
	b.rejecting, b.advertised = rejection{}, limitPeriod{}
	b.version = max(b.version, 1)
	if b.version > 1 && b.w.chance(olderWeightsRatio) {
		b.version-- // restarts with older weights on its disk
	}
	b.ticker(fleetHeartbeatInterval, b.heartbeat)
	b.after(b.w.between(10*time.Second, 40*time.Second), b.drain)
}

// nextID returns the ID of the new incarnation: the back end's name with its start time, or, in runs without start times,
// a name of its own.
func (b *fleetBackend) nextID() string {
	if b.w.reportsStartTime {
		return catalog.Incarnation{Name: b.process.name, StartedMS: b.w.today().UnixMilli()}.ID()
	}
	return fmt.Sprintf("%s-%d", b.process.name, b.incarnations)
}

// matchesID reports whether a call to an instance is meant for this back end. It compares names only: a back end doesn't
// know its own instance ID.
func (b *fleetBackend) matchesID(id string) bool {
	return catalog.ParseInstanceID(id).Name == catalog.ParseInstanceID(b.id).Name
}

func (b *fleetBackend) instance() catalog.Instance {
	state := catalog.StateReady
	if b.draining {
		state = catalog.StateDraining
	}
	return catalog.Instance{ID: b.id, Service: fleetService, Address: b.process.name, Zone: b.zone, State: state}
}

// heartbeat sends a heartbeat. Some arrive seconds late.
func (b *fleetBackend) heartbeat() {
	if b.left {
		return
	}
	b.sequence++
	heartbeat := &control.BackendHeartbeat{Instance: b.instance(), Sequence: b.sequence, Versions: map[string]uint64{fleetModel: b.version}}
	delay := time.Duration(0)
	if b.w.chance(0.05) {
		delay = b.w.between(0, 3*time.Second)
	}
	b.w.after(delay, func() { b.sendHeartbeat(heartbeat) })
}

// sendHeartbeat sends a full heartbeat, or sometimes a keepalive if the leader has acknowledged the same state.
func (b *fleetBackend) sendHeartbeat(beat *control.BackendHeartbeat) {
	request := b.request(beat)
	if b.ackedState == heartbeatState(beat) && beat.Sequence%3 == 0 {
		request = control.Request{Keepalives: []control.Keepalive{{ID: beat.Instance.ID, Sequence: beat.Sequence}}}
	}
	b.asker.askOnce(request, controlTimeout, func(response control.Response, answered bool) {
		switch {
		case !answered || response.Kind != control.ResponseOK || len(response.UnknownBackends) > 0:
			b.ackedState = ""
		case len(request.Keepalives) == 0:
			b.ackedState = heartbeatState(beat)
		}
	})
}

// heartbeatState returns the contents of a heartbeat without its sequence number.
func heartbeatState(beat *control.BackendHeartbeat) string {
	return fmt.Sprint(beat.Instance.ID, beat.Instance.State, beat.Versions[fleetModel])
}

// request wraps a heartbeat: every other one as a batch, as replicas forward them.
func (b *fleetBackend) request(beat *control.BackendHeartbeat) control.Request {
	if beat.Sequence%2 == 0 {
		return control.Request{BackendHeartbeats: []control.BackendHeartbeat{*beat}}
	}
	return control.Request{BackendHeartbeat: beat}
}

// drain reports that the instance is draining. After the reply it deregisters, stops and restarts.
func (b *fleetBackend) drain() {
	if b.w.now() > activeTime || b.left {
		return
	}
	b.draining = true
	b.sequence++
	id := b.id
	beat := &control.BackendHeartbeat{Instance: b.instance(), Sequence: b.sequence}
	b.asker.askUntil(b.request(beat), b.w.now()+10*time.Second, func(_ control.Response, decided bool) {
		if decided {
			b.w.oracle.fleet.draining[id] = b.w.now()
		}
		b.after(fleetDrainTime, func() {
			leave := &control.BackendHeartbeat{Instance: catalog.Instance{ID: catalog.ParseInstanceID(id).Name}, Leaving: true}
			b.asker.askUntil(control.Request{BackendHeartbeat: leave}, b.w.now()+10*time.Second, func(control.Response, bool) {
				b.kill(false)
				b.w.restart(b, b.w.between(200*time.Millisecond, 2*time.Second))
			})
		})
	})
}

// handleCall carries out a weights call of a leader.
func (b *fleetBackend) handleCall(call control.WeightsCall) control.WeightsResult {
	loading := b.w.now() < b.loadingUntil
	switch {
	case !b.matchesID(call.Instance):
		return control.WeightsResult{Kind: control.WeightsRejected}
	case call.Kind == control.WeightsQuery:
		return control.WeightsResult{Kind: control.WeightsReported, Versions: map[string]uint64{fleetModel: b.version}, Busy: loading, Revision: b.revision}
	case call.Fence < b.fence:
		return control.WeightsResult{Kind: control.WeightsFenced}
	case loading || call.Revision != b.revision:
		return control.WeightsResult{Kind: control.WeightsBusy}
	}
	b.fence = call.Fence
	b.revision++
	b.loadingUntil = b.w.now() + fleetLoadTime
	b.after(fleetLoadTime, func() { b.version = call.Version })
	return control.WeightsResult{Kind: control.WeightsAccepted}
}

// callBackend delivers a leader's weights call and returns the result. Some replies are lost; the order is then carried
// out late or never.
func (n *controlNode) callBackend(call control.WeightsCall) {
	target := n.w.fleetBackend(call.Address)
	if target == nil {
		return
	}
	if call.Kind == control.WeightsOrder {
		n.w.oracle.checkOrder(n, call)
	}
	report := func(result control.WeightsResult) {
		result.Call = call
		n.handleInput(func() { n.replica.ObserveWeightsResult(n.clock(), result) })
	}
	if call.Kind == control.WeightsOrder && n.w.chance(0.15) {
		n.after(time.Second, func() { report(control.WeightsResult{Kind: control.WeightsUnknown}) })
		if n.w.chance(0.7) {
			n.w.after(n.w.between(0, maxOrderDelay), func() { target.run(target.generation, func() { target.handleCall(call) }) })
		}
		return
	}
	n.w.call(n.process, target.process, time.Second, func(respond func(func())) {
		result := target.handleCall(call)
		if result.Kind == control.WeightsAccepted {
			n.w.oracle.recordLoadStart(call)
		}
		respond(func() { report(result) })
	}, func(bool) {
		n.w.oracle.recordLostReply(call)
		report(control.WeightsResult{Kind: control.WeightsUnknown})
	})
}

func (w *world) fleetBackend(address string) *fleetBackend {
	at := slices.IndexFunc(w.backends, func(b *fleetBackend) bool { return b.process.name == address })
	if at < 0 {
		return nil
	}
	return w.backends[at]
}

// fleetGateway watches control as a gateway does, and sends to back ends of its roster while its view is valid.
type fleetGateway struct {
	*process
	asker           *controlClient
	startedAt       time.Duration
	revision        uint64
	version         control.RosterVersion
	roster          []control.RosterEntry
	confirmed       time.Duration // when its view was confirmed, by its own clock; 0: never
	crashes         *quarantine.Tracker
	publishTimes    *belief.PublishTimes
	signals         *pushback.Tracker // what back ends reported about themselves
	leases          *allowance.Client
	leaseAsker      *controlClient // requests leases on advertised limits
	requestingLease bool
	paths           *tunnel.Table
	links           backendPartition // newest
}

func (g *fleetGateway) boot() {
	g.start()
	g.startedAt = g.w.now()
	g.asker = newControlClient(g.w, g.process)
	g.revision, g.version, g.roster, g.confirmed, g.crashes = 0, control.RosterVersion{}, nil, 0, quarantine.NewTracker()
	g.publishTimes, g.signals = belief.NewPublishTimes(g.w.guards), pushback.NewTracker()
	g.leases, g.requestingLease = allowance.NewClient(fmt.Sprint(g.process.name, "#", g.generation), fleetViewTTL), false
	g.paths = tunnel.NewTable()
	g.leaseAsker = &controlClient{w: g.w, from: g.process}
	g.w.oracle.fleet.publicationSeenAt[g.process.name] = map[uint64]time.Duration{}
	g.w.oracle.fleet.usedRevision[g.process.name] = 0
	g.watchControl()
	g.ticker(fleetSendInterval, g.send)
	g.completeHotRequest()
}

func (g *fleetGateway) clock() time.Duration { return g.elapsed(g.startedAt, g.w.now()) }

func (g *fleetGateway) watchControl() {
	sentAt := g.clock()
	floor := g.w.oracle.currentFloor()
	watch := &control.Watch{
		Gateway: g.process.name, Zone: g.zone, Revision: g.revision, Roster: g.version, Hold: fleetHold, Quarantine: g.crashes.Version(),
	}
	if g.w.relaysWatches && g.w.chance(replicaSwitchRatio) {
		g.asker.leader = pick(g.w, g.w.controls).name // switch to another replica
	}
	g.asker.askOnce(control.Request{Watch: watch}, controlTimeout, func(response control.Response, answered bool) {
		delay := controlRetryDelay
		if answered && response.Kind == control.ResponseOK && response.Watch != nil {
			g.applyWatchReply(sentAt, floor, response.Watch)
			delay = time.Millisecond
		}
		g.after(delay, g.watchControl)
	})
}

func (g *fleetGateway) applyWatchReply(sentAt time.Duration, floor watchFloor, reply *control.WatchReply) {
	g.w.oracle.checkWatchReply(g.process.name, floor, reply)
	if reply.Document != nil && reply.Revision > g.revision {
		g.revision = reply.Revision
		g.w.oracle.checkDocument(g.process.name, *reply.Document)
	}
	before := g.roster
	if reply.Roster != nil {
		g.roster = reply.Roster.Merge(g.roster)
	}
	g.w.oracle.checkDepartures(g, floor)
	if g.confirmed > 0 {
		g.crashes.RecordIdle(g.clock(), g.clock()-g.confirmed-fleetViewTTL)
	}
	g.applyQuarantineUpdate(reply, before)
	g.publishTimes.Update(g.clock(), sentAt, reply.Version.Term, reply.Publications)
	g.w.oracle.recordPublicationsSeen(g.process.name, reply.Publications)
	g.version, g.confirmed = reply.Version, sentAt
	g.leases.RecordContact(sentAt, reply.Gateways)
}

// hasValidView reports whether the view was confirmed within its TTL.
func (g *fleetGateway) hasValidView() bool {
	return g.confirmed > 0 && g.clock()-g.confirmed < fleetViewTTL && len(g.roster) > 0
}

// send sends a request to a random back end of the roster if the gateway may use it.
func (g *fleetGateway) send() {
	if !g.hasValidView() {
		return
	}
	if entry := pick(g.w, g.roster); g.maySendTo(entry) && g.hasLease(entry) {
		g.sendTo(entry)
	}
}

// maySendTo reports whether a back end accepts requests, apart from its advertised limit.
func (g *fleetGateway) maySendTo(entry control.RosterEntry) bool {
	return g.hasValidView() && entry.State == catalog.StateReady && !entry.Loading && !g.startsTooLate(entry) && !g.isRestricted(entry)
}

func (g *fleetGateway) sendTo(entry control.RosterEntry) {
	reached := g.reach(entry)
	g.w.oracle.checkReach(g, entry, reached)
	if !reached {
		return
	}
	g.w.oracle.checkFleetSend(g.process.name, entry.ID)
	g.startRequest(entry)
}

// maxDirectGateways returns how many gateways the leader answers itself: none in runs with relays, otherwise all.
func (w *world) maxDirectGateways() int {
	if w.relaysWatches {
		return 0
	}
	return noRelay
}

// makeFleet creates the gateway fleet, spread over the zones.
func (w *world) makeFleet() {
	for i := range fleetBackends {
		w.backends = append(w.backends, &fleetBackend{process: newProcess(w, fmt.Sprintf("backend-%d", i+1), zones[i%len(zones)])})
	}
	for i := range w.gatewayCount {
		w.gateways = append(w.gateways, &fleetGateway{process: newProcess(w, fmt.Sprintf("gateway-%d", i+1), zones[i%len(zones)])})
	}
	for i := range fleetOperators {
		w.fleetOperators = append(w.fleetOperators, &fleetOperator{process: newProcess(w, fmt.Sprintf("document-operator-%d", i+1), callerZone)})
	}
}

func (w *world) bootFleet() {
	for _, b := range w.backends {
		b.boot()
	}
	for _, g := range w.gateways {
		g.boot()
	}
	for _, o := range w.fleetOperators {
		o.boot()
	}
}

// healFleet resumes or restarts every process of the fleet.
func (w *world) healFleet() {
	for _, g := range w.gateways {
		g.resume()
		w.restart(g, 0)
	}
	for _, b := range w.backends {
		b.resume()
		w.restart(b, 0)
	}
}
