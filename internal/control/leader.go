package control

import (
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control/inuse"
	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/control/roster"
)

// routerLease is the leader's view of one session.
type routerLease struct {
	acked         uint64
	sentVersion   uint64        // newest version sent to the router
	expires       time.Duration // the router stops serving by then at the latest
	closeProposed bool          // a close was proposed
}

// engineState is the leader's view of one engine.
type engineState struct {
	report         EngineReport
	reportedAt     time.Duration
	orderedWeights string // weights of the order in progress
	orderedAt      time.Duration
}

// leaderState is what a leader keeps in memory; a new leader starts it afresh.
//
// Invariant: a router's lease never outlives routerLease.expires, since the router counts from before it
// sent the heartbeat and the leader from after it arrived. Leases granted by earlier leaders end within one
// lease time of the election, because this leader was elected after theirs ran out.
type leaderState struct {
	term         uint64
	routers      map[string]*routerLease
	openProposed map[string]bool
	engines      map[string]*engineState

	desiredVersion uint64                       // settings version that wanted was resolved from
	desired        map[zoneService]desiredState // by zone and service
	reconciledAt   time.Duration

	startedAt                 time.Duration // when this leadership began
	orderFence                uint64        // of its orders for weights; 0 until the log gave one
	fenceRequestedAt          time.Duration
	fleet                     map[string]*memberState // by instance
	fleetCheckedAt            time.Duration
	heldLoggedAt              time.Duration // when the weights of back ends were last written into the log
	rolloutStepAt             time.Duration // when the roll-out last went a step
	ackedRoster               uint64        // roster that every gateway which may still send had taken up, as of that step
	underCapacity             bool          // the back ends were short of hands, as of that step
	totals                    usageTotals
	planner                   *mesh.Planner
	plannedLayoutCount        uint64        // of the planner's layout that laidOut holds
	lastLayout                *relay.Layout // nil before the first
	lastLayoutAt              time.Duration
	layoutCount               uint64
	relayReplicas             map[string]relayReplica // by name; those that ask for gateways
	cacheEventSources         map[string][]string     // by gateway: engines whose cache events it reads; nil when the layout has changed
	cacheEventSourcesCount    uint64                  // of the roster that it follows from
	trusting                  trusting
	rosterCount               uint64 // rises whenever the roster may have changed
	roster                    roster.Log
	rosterPending             map[string]bool       // back ends that the roster doesn't show as they are yet
	unlogged                  map[string]bool       // back ends whose weights the log doesn't tell yet
	pendingOrderAnnouncements []string              // back ends that are about to be ordered, which the log doesn't tell yet
	inUseSizes                map[string]inuse.Size // by service
	boundsCheckedAt           time.Duration         // when it was last looked at which back ends are in use
	publishedCount            uint64                // newest roster that held questions are answered for; at most rosterCount
	publishedAt               time.Duration
	readyPeak                 int // engines that were ready lately
	readyPeakAt               time.Duration
	gatewaysCheckedAt         time.Duration // when gateways were last looked through for the log
	gatewayUnlisted           bool          // a gateway waits until the log holds it
	gatewayListChanged        bool          // the log holds others than before: who waits for it can be answered
	smoothedLoadTime          time.Duration // smoothed length of a load of weights; 0 before the first
	orderLostAt               time.Duration // when an order for weights last got no answer
	watchers                  []watcher
	usage                     map[string]usageReport // by gateway
	lending                   lending
	joining                   joining
	levels                    levelTracker
	unknownBackends           map[uint64][]string // by client that waits for an entry: back ends of which a whole heartbeat is wanted
}

// zoneService names a service in a zone.
type zoneService struct{ zone, service string }

// desiredState is what the tree wants of the engines at a place.
type desiredState struct {
	weights  string
	maxLoads int // at the same time, of the whole service
}

func newLeaderState(term uint64, now, leaseEnd time.Duration, machine *Machine) *leaderState {
	state := &leaderState{
		rosterCount: 1, // 0 is the version of a gateway that holds none
		term:        term, routers: map[string]*routerLease{},
		openProposed: map[string]bool{}, engines: map[string]*engineState{},
		startedAt: now, orderLostAt: now - stressMemory, fenceRequestedAt: now - callPatience, fleet: map[string]*memberState{}, rosterPending: map[string]bool{},
		unlogged: map[string]bool{}, planner: &mesh.Planner{}, relayReplicas: map[string]relayReplica{}, inUseSizes: map[string]inuse.Size{}, usage: map[string]usageReport{},
		lending: lending{lender: allowance.NewLender(term)}, unknownBackends: map[uint64][]string{},
		levels: levelTracker{reported: map[consensus.ID]reportedLevel{}},
	}
	for router := range machine.sessions {
		state.routers[router] = &routerLease{expires: leaseEnd}
	}
	return state
}

// hasCurrentState reports whether this replica leads, holds the leader lease and has applied every entry that was
// committed before its term, so that its state may be read.
func (r *Replica) hasCurrentState(now time.Duration) bool {
	return r.node.LeaseValid(now) && r.applied >= r.node.TermStart()
}

// Handle answers a client's request, at once or after its entry committed.
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
		r.turnAway(now, client, request)
		return
	}
	if !r.hasCurrentState(now) && (request.Watch == nil || !r.confirms(now)) {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	switch {
	case request.Join != nil:
		r.join(now, client, *request.Join)
	case !r.formed() && request.Watch != nil && r.holdUnformed(now, client, *request.Watch):
	case !r.formed():
		r.reply(client, Response{Kind: ResponseNotFormed})
	case request.Heartbeat != nil:
		r.heartbeat(now, client, *request.Heartbeat)
	case request.Claim != nil:
		r.propose(now, client, Command{Claim: request.Claim})
	case request.End != nil:
		r.propose(now, client, Command{End: request.End})
	case request.Change != nil:
		r.propose(now, client, Command{Change: request.Change})
	case request.Catalog != nil && request.Catalog.Quarantine != nil:
		r.quarantine(now, client, *request.Catalog.Quarantine)
	case request.Catalog != nil:
		r.propose(now, client, Command{Catalog: request.Catalog})
	case request.Beat != nil:
		r.beat(now, client, *request.Beat)
	case len(request.Beats)+len(request.Signs) > 0:
		r.takeBeats(now, client, request.Beats, request.Signs)
	case request.Watch != nil:
		r.watch(now, client, *request.Watch)
	case request.Relay != nil:
		r.handleRelay(now, client, *request.Relay)
	case request.Borrow != nil:
		r.lend(now, client, *request.Borrow)
	case request.Document != nil:
		r.reply(client, Response{Kind: ResponseOK, Document: r.machine.catalog.Document()})
	case request.Read != nil:
		r.reply(client, Response{Kind: ResponseOK, Read: r.read(now, *request.Read)})
	}
}

// formed reports whether the group once reached its size; before that nothing is accepted, since the loss
// of the founder would lose it.
func (r *Replica) formed() bool {
	return r.machine.settings.Version() > 0 || r.machine.catalog.Document().Revision > 0 || len(r.machine.sessions) > 0 ||
		r.node.Membership().Voters() >= r.config.Replicas
}
