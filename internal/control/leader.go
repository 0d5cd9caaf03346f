package control

import (
	"slices"
	"sort"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
)

const (
	// orderTimeout is how long an order may stay without effect before it is issued again.
	orderTimeout = 5 * time.Second
	// reconcilePeriod is how often wanted and reported weights are compared.
	reconcilePeriod = 50 * time.Millisecond
	// engineSilence is how long an engine's report counts.
	engineSilence = 3 * time.Second
	// learnerLag is how many entries a learner may lack and still be promoted.
	learnerLag = 64
	// learnerSilence is how long a learner may be silent before it is dropped.
	learnerSilence = 60 * time.Second
	// alwaysHeard is the silence below which a replica counts as present for a repair.
	alwaysHeard = time.Second
)

// routerLease is the leader's view of one session.
type routerLease struct {
	acked   uint64
	offered uint64        // newest version sent to the router
	expires time.Duration // the router stops serving by then at the latest
	closing bool          // a close was proposed
}

// engineState is the leader's view of one engine.
type engineState struct {
	report    EngineReport
	heardAt   time.Duration
	ordered   string // weights of the order in progress
	orderedAt time.Duration
}

// leadership is what a leader keeps in memory; a new leader starts it afresh.
//
// Invariant: a router's lease never outlives routerLease.expires, since the router counts from before it
// sent the heartbeat and the leader from after it arrived. Leases granted by earlier leaders end within one
// lease time of since, because this leader was elected after theirs ran out.
type leadership struct {
	since   time.Duration
	term    uint64
	routers map[string]*routerLease
	opening map[string]bool
	engines map[string]*engineState

	wantedVersion uint64                // settings version that wanted was resolved from
	wanted        map[place]wantedState // by zone and service
	reconciled    time.Duration
}

// place names a service in a zone.
type place struct{ zone, service string }

// wantedState is what the tree wants of the engines at a place.
type wantedState struct {
	weights string
	loads   int // at the same time, of the whole service
}

func newLeadership(now time.Duration, term uint64, lease time.Duration, machine *Machine) *leadership {
	lead := &leadership{
		since: now, term: term, routers: map[string]*routerLease{},
		opening: map[string]bool{}, engines: map[string]*engineState{},
	}
	for router := range machine.sessions {
		lead.routers[router] = &routerLease{expires: now + lease}
	}
	return lead
}

// current reports whether this replica leads, holds the leader lease and has applied every entry that was
// committed before its term, so that its state may be read.
func (r *Replica) current(now time.Duration) bool {
	return r.node.LeaseValid(now) && r.applied >= r.node.TermStart()
}

// Handle answers a client's request, at once or after its entry committed.
func (r *Replica) Handle(now time.Duration, client uint64, request Request) {
	if request.Status != nil {
		r.reply(client, Response{Kind: ResponseOK, Status: r.status(now)})
		return
	}
	if r.lead == nil {
		r.reply(client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
		return
	}
	if !r.current(now) {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	switch {
	case request.Join != nil:
		r.join(now, client, *request.Join)
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
	case request.Read != nil:
		r.reply(client, Response{Kind: ResponseOK, Read: r.read(now, *request.Read)})
	}
}

// formed reports whether the group once reached its size; before that nothing is accepted, since the loss
// of the founder would lose it.
func (r *Replica) formed() bool {
	return r.machine.settings.Version() > 0 || len(r.machine.sessions) > 0 ||
		r.node.Membership().Voters() >= r.config.Replicas
}

func (r *Replica) heartbeat(now time.Duration, client uint64, beat Heartbeat) {
	session, found := r.machine.sessions[beat.Router]
	lease := r.lead.routers[beat.Router]
	current := found && lease != nil && !lease.closing && beat.Epoch == session.Epoch &&
		beat.Incarnation == session.Incarnation && now < lease.expires
	if beat.Closing {
		if current {
			lease.closing = true
			r.propose(now, client, Command{CloseSession: &ledger.Holder{Router: beat.Router, Epoch: beat.Epoch}})
			return
		}
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	if !current {
		r.openSession(now, client, beat)
		return
	}
	r.reply(client, Response{Kind: ResponseOK, Heartbeat: r.renew(now, lease, beat)})
}

func (r *Replica) openSession(now time.Duration, client uint64, beat Heartbeat) {
	if r.lead.opening[beat.Router] {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	r.lead.opening[beat.Router] = true
	r.propose(now, client, Command{OpenSession: &Session{
		Router: beat.Router, Incarnation: beat.Incarnation, Zone: beat.Zone, Address: beat.Address,
	}})
}

// sessionOpened answers the heartbeat that opened a session. The lease comes with the next heartbeat, when
// the router has acknowledged the version sent here.
func (r *Replica) sessionOpened(now time.Duration, client uint64, session Session) Response {
	if r.lead == nil {
		return Response{Kind: ResponseUnknown}
	}
	delete(r.lead.opening, session.Router)
	if session.Epoch == 0 {
		return Response{Kind: ResponseNoQuorum} // an older incarnation
	}
	lease := &routerLease{expires: now + r.config.SettingsLease}
	r.lead.routers[session.Router] = lease
	lease.offered = r.machine.settings.Version()
	tree := r.machine.settings.Tree()
	return Response{Kind: ResponseOK, Heartbeat: &HeartbeatReply{Epoch: session.Epoch, Version: lease.offered, Tree: &tree}}
}

// renew extends a lease, unless the router has not taken up the version it was sent before.
func (r *Replica) renew(now time.Duration, lease *routerLease, beat Heartbeat) *HeartbeatReply {
	lease.acked = max(lease.acked, beat.Acked)
	version := r.machine.settings.Version()
	reply := &HeartbeatReply{Epoch: beat.Epoch, Version: version, Base: beat.Acked}
	if beat.HasSettings && beat.Acked >= lease.offered {
		reply.Lease = r.config.SettingsLease
		lease.expires = now + r.config.SettingsLease
	}
	edits, reachable := r.machine.settings.EditsSince(beat.Acked)
	if beat.HasSettings && reachable {
		reply.Edits = edits
	} else {
		tree := r.machine.settings.Tree()
		reply.Tree = &tree
	}
	lease.offered = version
	if beat.PeersSeen != r.machine.peersAt {
		reply.Peers = r.machine.Peers()
	}
	return reply
}

// expireSessions closes sessions whose lease has run out, which marks their running claims unknown.
func (r *Replica) expireSessions(now time.Duration) {
	for router := range r.machine.sessions {
		if r.lead.routers[router] == nil { // opened under an earlier leader, applied after the election
			r.lead.routers[router] = &routerLease{expires: now + r.config.SettingsLease}
		}
	}
	for _, router := range sortedKeys(r.lead.routers) {
		lease := r.lead.routers[router]
		session, found := r.machine.sessions[router]
		if !found {
			delete(r.lead.routers, router)
			continue
		}
		if now >= lease.expires && !lease.closing {
			lease.closing = true
			r.propose(now, 0, Command{CloseSession: &ledger.Holder{Router: router, Epoch: session.Epoch}})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// InForce returns the newest version that no serving router is behind: every session acknowledged it, or
// its lease has run out.
func (r *Replica) InForce(now time.Duration) uint64 {
	inForce := r.machine.settings.Version()
	if r.lead == nil {
		return 0
	}
	for router := range r.machine.sessions {
		lease := r.lead.routers[router]
		if lease == nil {
			return 0
		}
		if now < lease.expires {
			inForce = min(inForce, lease.acked)
		}
	}
	return inForce
}

func (r *Replica) read(now time.Duration, request Read) *ReadReply {
	reply := &ReadReply{Version: r.machine.settings.Version(), InForce: r.InForce(now), Tree: r.machine.settings.Tree()}
	if request.History {
		reply.History = r.machine.settings.History()
	}
	return reply
}

// Observe takes an engine's report. A leader whose term the engine has not seen raises the engine's fence
// first, so that an earlier leader can change nothing there any more.
func (r *Replica) Observe(now time.Duration, report EngineReport) {
	if r.lead == nil || !r.current(now) {
		return
	}
	state := r.lead.engines[report.Name]
	if state == nil || state.report.Incarnation != report.Incarnation {
		state = &engineState{}
		r.lead.engines[report.Name] = state
	}
	state.report, state.heardAt = report, now
	if report.Weights == state.ordered {
		state.ordered = ""
	}
	if report.Fence.Term < r.lead.term && r.config.Guards.On(guard.FenceCheck) {
		r.effects.Calls = append(r.effects.Calls, EngineCall{Engine: report.Name, Address: report.Address, Fence: Fence{Term: r.lead.term}})
	}
}

// reconcile orders engines whose weights differ from the tree, a few of each service at a time.
func (r *Replica) reconcile(now time.Duration) {
	if now < r.lead.reconciled+reconcilePeriod {
		return
	}
	r.lead.reconciled = now
	names := sortedKeys(r.lead.engines)
	loading := r.countLoading(now, names)
	for _, name := range names {
		state := r.lead.engines[name]
		report := state.report
		fenced := report.Fence.Term >= r.lead.term || !r.config.Guards.On(guard.FenceCheck)
		if now > state.heardAt+engineSilence || !fenced {
			continue
		}
		wanted := r.wanted(place{report.Zone, report.Service})
		ordered := state.ordered != "" && now < state.orderedAt+orderTimeout
		if report.Weights == wanted.weights || report.Loading || ordered || loading[report.Service] >= wanted.loads {
			continue
		}
		loading[report.Service]++
		state.ordered, state.orderedAt = wanted.weights, now
		r.propose(now, 0, Command{Order: &Order{Engine: name, Incarnation: report.Incarnation, Weights: wanted.weights}})
	}
}

// wanted returns what the tree wants at a place. It is resolved once for each settings version.
func (r *Replica) wanted(at place) wantedState {
	version := r.machine.settings.Version()
	if r.lead.wanted == nil || r.lead.wantedVersion != version {
		r.lead.wanted, r.lead.wantedVersion = map[place]wantedState{}, version
	}
	held, known := r.lead.wanted[at]
	if !known {
		values := r.machine.settings.Tree().Resolve(at.zone, at.service)
		held = wantedState{weights: values.WeightsVersion, loads: values.MaxConcurrentLoads}
		r.lead.wanted[at] = held
	}
	return held
}

func (r *Replica) countLoading(now time.Duration, names []string) map[string]int {
	loading := map[string]int{}
	for _, name := range names {
		state := r.lead.engines[name]
		if now > state.heardAt+engineSilence {
			continue
		}
		if state.report.Loading || (state.ordered != "" && now < state.orderedAt+orderTimeout) {
			loading[state.report.Service]++
		}
	}
	return loading
}

func (r *Replica) issueOrder(now time.Duration, order Order) {
	state := r.lead.engines[order.Engine]
	if state == nil || !r.node.LeaseValid(now) {
		return
	}
	r.effects.Calls = append(r.effects.Calls, EngineCall{
		Engine: order.Engine, Address: state.report.Address, Fence: order.Fence, Order: &order,
	})
}

// join adds a replica with an empty folder as a learner.
func (r *Replica) join(now time.Duration, client uint64, member consensus.Member) {
	membership := r.node.Membership()
	if _, known := membership.Find(member.ID); known {
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	member.Learner = true
	if _, _, ok := r.node.ProposeMembership(now, membership.With(member)); !ok {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	r.reply(client, Response{Kind: ResponseOK})
}

// repair takes one step towards the wanted number of live voters: promote a learner that has caught up,
// then remove the voter it replaces.
func (r *Replica) repair(now time.Duration) {
	membership := r.node.Membership()
	lost, spare := r.classifyPeers(now)
	switch {
	case membership.Voters() > r.config.Replicas && lost != nil:
		r.node.ProposeMembership(now, membership.Without(lost.ID))
	case spare == nil:
		r.dropSilentLearner(now, membership)
	case membership.Voters() < r.config.Replicas || lost != nil:
		promoted := *spare
		promoted.Learner = false
		r.node.ProposeMembership(now, membership.With(promoted))
	}
}

// classifyPeers returns the voter to replace and the learner to promote, if any. A voter whose name belongs
// to a newer replica was wiped and counts as lost at once.
func (r *Replica) classifyPeers(now time.Duration) (lost, spare *consensus.Member) {
	membership := r.node.Membership()
	for _, peer := range r.node.Peers() {
		member, _ := membership.Find(peer.ID)
		silent := now - peer.HeardAt
		if member.Learner {
			caughtUp := peer.Match+learnerLag >= r.node.Commit() && peer.Match > 0 && silent < alwaysHeard
			if caughtUp && (spare == nil || nameTaken(membership, member)) {
				spare = &member
			}
			continue
		}
		replaced := nameTaken(membership, member) && silent > alwaysHeard
		if silent > r.config.RepairAfter || replaced {
			lost = &member
		}
	}
	return lost, spare
}

// nameTaken reports whether another replica has the same name.
func nameTaken(membership consensus.Membership, member consensus.Member) bool {
	return slices.ContainsFunc(membership.Members, func(other consensus.Member) bool {
		return other.Name == member.Name && other.ID != member.ID
	})
}

func (r *Replica) dropSilentLearner(now time.Duration, membership consensus.Membership) {
	for _, peer := range r.node.Peers() {
		member, _ := membership.Find(peer.ID)
		if member.Learner && now-peer.HeardAt > learnerSilence {
			r.node.ProposeMembership(now, membership.Without(peer.ID))
			return
		}
	}
}

func (r *Replica) status(now time.Duration) *StatusReply {
	status := &StatusReply{
		ID: r.config.ID, Name: r.config.Name, Role: r.node.Role().String(), Term: r.node.Term(),
		LeaseHeld: r.node.LeaseValid(now), Applied: r.applied, Snapshot: r.snapshot.Meta.Index,
		Version: r.machine.settings.Version(), InForce: r.InForce(now), Claims: r.machine.ledger.Len(),
	}
	if leader, found := r.node.Membership().Find(r.node.Leader()); found {
		status.Leader = leader.Name
	}
	peers := map[consensus.ID]consensus.PeerStatus{}
	for _, peer := range r.node.Peers() {
		peers[peer.ID] = peer
	}
	for _, member := range r.members() {
		line := MemberStatus{Member: member, Match: peers[member.ID].Match}
		if peer, found := peers[member.ID]; found {
			line.Silent = now - peer.HeardAt
		}
		if member.ID == r.config.ID {
			line.Match = r.node.LastIndex()
		}
		status.Members = append(status.Members, line)
	}
	r.addLeaderStatus(now, status)
	return status
}

func (r *Replica) addLeaderStatus(now time.Duration, status *StatusReply) {
	if r.lead == nil {
		return
	}
	for _, router := range sortedKeys(r.machine.sessions) {
		line := RouterStatus{Session: r.machine.sessions[router]}
		if lease := r.lead.routers[router]; lease != nil {
			line.Acked, line.LeaseLeft = lease.acked, max(0, lease.expires-now)
		}
		status.Routers = append(status.Routers, line)
	}
	for _, name := range sortedKeys(r.lead.engines) {
		report := r.lead.engines[name].report
		wanted := r.wanted(place{report.Zone, report.Service}).weights
		status.Engines = append(status.Engines, EngineStatus{EngineReport: report, Wanted: wanted})
	}
}
