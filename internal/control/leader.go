package control

import (
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control/inuse"
	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

// routerLease is the leader's view of a router's settings lease.
type routerLease struct {
	acked         uint64
	sentVersion   uint64        // newest settings version sent to the router
	expires       time.Duration // latest time at which the router stops serving
	closeProposed bool          // a CloseSession command was proposed
	tunnel        string        // address at which the router opens tunnels, or ""
}

// engineState is the leader's view of one engine.
type engineState struct {
	report         EngineReport
	reportedAt     time.Duration
	orderedWeights string // weights of the order in progress, or ""
	orderedAt      time.Duration
}

// leaderState is the in-memory state of a leader. A new leader starts with an empty one.
//
// Invariant: a router's lease never outlives routerLease.expires, since the router counts it from before it sent the
// heartbeat and the leader from after the heartbeat arrived. Router leases granted by earlier leaders end within one
// lease duration of the election, since this leader was elected after the leader leases of its predecessors expired.
type leaderState struct {
	term         uint64
	routers      map[string]*routerLease
	openProposed map[string]bool
	engines      map[string]*engineState

	desiredVersion uint64                       // settings version that desired was resolved from
	desired        map[zoneService]desiredState // by zone and service
	reconciledAt   time.Duration

	startedAt                 time.Duration // when this replica became the leader
	orderFence                uint64        // fence of this leader's weights orders; 0 until its entry has committed
	fenceRequestedAt          time.Duration
	fleet                     map[string]*backendState // by instance ID
	fleetCheckedAt            time.Duration
	loadedLoggedAt            time.Duration // when the weights loaded by back ends were last checked for changes to log
	rolloutStepAt             time.Duration // time of the last rollout step
	ackedRoster               uint64        // at the last rollout step: roster version in use at every gateway that may still send
	underCapacity             bool          // at the last rollout step: whether the back ends lacked capacity
	totals                    usageTotals
	planner                   *mesh.Planner
	plannedLayoutCount        uint64        // count of the planner's layout that lastLayout was built from
	lastLayout                *relay.Layout // nil until the first layout
	lastLayoutAt              time.Duration
	layoutCount               uint64
	relayReplicas             map[string]relayReplica // followers that answer gateways, by name
	cacheEventSources         map[string][]string     // engines whose cache events a gateway reads, by gateway; nil after a change of layout
	cacheEventSourcesCount    uint64                  // roster count that cacheEventSources was computed from
	gatewayCounts             gatewayCounts
	rosterCount               uint64 // incremented whenever the roster may have changed
	roster                    roster.Log
	rosterPending             map[string]bool       // back ends with changes not yet in the roster
	unloggedWeights           map[string]bool       // back ends with loaded weights not yet in the log
	pendingOrderAnnouncements []string              // back ends whose upcoming orders have yet to be announced in the log
	inUseSizes                map[string]inuse.Size // by service
	inUseCheckedAt            time.Duration         // when the set of back ends in use was last checked
	publishedCount            uint64                // newest roster for which held watches are answered; at most rosterCount
	publishedAt               time.Duration
	readyPeak                 int // recent peak of the number of ready engines
	readyPeakAt               time.Duration
	gatewaysCheckedAt         time.Duration // when the gateways were last compared with those in the log
	gatewayUnlisted           bool          // a gateway waits to be added to the log
	gatewayListChanged        bool          // the gateways in the log have changed, so that held watches can be answered
	smoothedLoadTime          time.Duration // smoothed duration of loading weights; 0 before the first load
	orderLostAt               time.Duration // when a weights order last got no answer
	heldWatches               []heldWatch
	usage                     map[string]usageReport // by gateway
	lending                   lending
	pendingRegistrations      registrationBatch
	levels                    levelTracker
	unknownBackends           map[uint64][]string // back ends asked for a full heartbeat, by client that waits for an entry
	proposedMembership        *proposedMembership // nil if none waits to commit
}

// zoneService identifies a service in a zone.
type zoneService struct{ zone, service string }

// desiredState is what the settings tree requires of the engines of a service in a zone.
type desiredState struct {
	weights  string
	maxLoads int // concurrent loads allowed across the service
}

func newLeaderState(term uint64, now, leaseEnd time.Duration, machine *Machine) *leaderState {
	state := &leaderState{
		rosterCount: 1, // 0 stands for a gateway without a roster
		term:        term, routers: map[string]*routerLease{},
		openProposed: map[string]bool{}, engines: map[string]*engineState{},
		startedAt: now, orderLostAt: now - capacityWindow, fenceRequestedAt: now - weightsCallTimeout, fleet: map[string]*backendState{}, rosterPending: map[string]bool{},
		unloggedWeights: map[string]bool{}, planner: &mesh.Planner{}, relayReplicas: map[string]relayReplica{}, inUseSizes: map[string]inuse.Size{}, usage: map[string]usageReport{},
		lending: lending{allocator: allowance.NewAllocator(term)}, unknownBackends: map[uint64][]string{},
		levels: levelTracker{reported: map[consensus.ID]reportedLevel{}},
	}
	for router := range machine.sessions {
		state.routers[router] = &routerLease{expires: leaseEnd}
	}
	return state
}

// hasCurrentState reports whether this replica holds the leader lease and has applied every entry committed before its
// term, so that reads of its state are linearizable.
func (r *Replica) hasCurrentState(now time.Duration) bool {
	return r.node.LeaseValid(now) && r.applied >= r.node.TermStart()
}

// Handle answers a client's request, at once or after its entry has committed.
func (r *Replica) Handle(now time.Duration, client uint64, request Request) {
	if r.stopErr != nil {
		return
	}
	r.now = now
	if request.Status != nil {
		r.reply(client, Response{Kind: ResponseOK, Status: r.status(now)})
		return
	}
	if r.leader == nil {
		r.handleAsFollower(now, client, request)
		return
	}
	if !r.hasCurrentState(now) && (request.Watch == nil || !r.mayConfirmViews(now)) {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	switch {
	case request.Join != nil:
		r.join(now, client, *request.Join)
	case !r.formed() && request.Watch != nil && r.holdUntilFormed(now, client, *request.Watch):
	case !r.formed():
		r.reply(client, Response{Kind: ResponseNotFormed})
	case request.Heartbeat != nil:
		r.handleHeartbeat(now, client, *request.Heartbeat)
	case request.Claim != nil:
		r.proposeChange(now, client, Command{Claim: request.Claim})
	case request.End != nil:
		r.propose(now, client, Command{End: request.End})
	case request.Change != nil:
		r.proposeChange(now, client, Command{Change: request.Change})
	case request.Catalog != nil && request.Catalog.Quarantine != nil:
		r.handleQuarantineChange(now, client, *request.Catalog.Quarantine)
	case request.Catalog != nil && r.isSuperseded(request.Catalog.Replace):
		r.reply(client, Response{Kind: ResponseOK, Catalog: &catalog.Outcome{Revision: r.machine.catalog.Document().Revision}})
	case request.Catalog != nil:
		r.proposeChange(now, client, Command{Catalog: request.Catalog})
	case request.BackendHeartbeat != nil:
		r.handleBackendHeartbeat(now, client, *request.BackendHeartbeat)
	case len(request.BackendHeartbeats)+len(request.Keepalives) > 0:
		r.handleHeartbeatBatch(now, client, request.BackendHeartbeats, request.Keepalives)
	case request.Watch != nil:
		r.handleWatch(now, client, *request.Watch)
	case request.Relay != nil:
		r.handleRelay(now, client, *request.Relay)
	case request.AllowanceRequest != nil:
		r.allocateShares(now, client, *request.AllowanceRequest)
	case request.Document != nil:
		r.reply(client, Response{Kind: ResponseOK, Document: r.sourceOnly()})
	case request.Read != nil:
		r.reply(client, Response{Kind: ResponseOK, Read: r.read(now, *request.Read)})
	}
}

// sourceOnly returns the document as the operator sent it, without its decoded form, which is as large.
func (r *Replica) sourceOnly() *catalog.Document {
	document := r.machine.catalog.Document()
	return &catalog.Document{Revision: document.Revision, Source: document.Source}
}

// isSuperseded reports whether a document would have no effect, since one of its revision or a later one is in force. Such a
// document, as an operator sends again after a lost answer, needs no log entry.
func (r *Replica) isSuperseded(document *catalog.Document) bool {
	return document != nil && document.Revision <= r.machine.catalog.Document().Revision && r.config.Guards.On(guard.HighestRevision)
}

// formed reports whether the group has ever reached its configured size. Before that it accepts no changes, since they
// would be lost with the only member.
func (r *Replica) formed() bool {
	return r.machine.settings.Version() > 0 || r.machine.catalog.Document().Revision > 0 || len(r.machine.sessions) > 0 ||
		r.node.Membership().Formed || r.node.Membership().Voters() >= r.config.Replicas
}
