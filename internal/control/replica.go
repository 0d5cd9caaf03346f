package control

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/guard"
	"kitetiller/internal/level"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/payload"
	"kitetiller/internal/quota"
	"kitetiller/internal/storage"
)

// Config holds the settings of a replica.
type Config struct {
	ID                consensus.ID
	Name              string
	Address           string
	Zone              string
	MaxDirectGateways int // number of gateways above which followers answer gateways for the leader
	Timing            consensus.Timing
	Replicas          int              // number of voters in a complete group
	MaxReplicas       int              // up to which further members that are present vote as well; 0 stands for Replicas
	SettingsLease     time.Duration    // duration of the settings lease of a router
	RepairAfter       time.Duration    // how long a voter may be unreachable before a learner replaces it
	SnapshotEvery     uint64           // applied entries after which a snapshot is taken, once their size reaches that of the last snapshot
	Limits            consensus.Limits // zero fields select the defaults
	DiskLimit         int64            // bytes that the data folder may hold; 0 if unknown
	WeightsOrderDelay time.Duration    // how long a new leader waits before its first weights order
	GatewayViewTTL    time.Duration    // how long a gateway may use a view without a new confirmation
	Quota             quota.Policy     // terms of the fleet-wide limits
	Guards            guard.Set
	Mechanisms        mechanism.Set // enabled mechanisms
	Level             level.Level   // highest record level that this build supports
	Random            func(n int64) int64
}

// publishedDocument is the routing document sent to gateways, with an encoding that all replies share.
type publishedDocument struct {
	document *catalog.Document
	offers   map[string]catalog.Offer // optional features of back ends, by service
	shared   *payload.SharedJSON
}

// pendingProposal holds the clients that wait for a proposed log entry.
type pendingProposal struct {
	clients []uint64
	term    uint64
}

// firstClient returns the first waiting client, or 0 if there is none.
func (p pendingProposal) firstClient() uint64 {
	if len(p.clients) == 0 {
		return 0
	}
	return p.clients[0]
}

// Effects holds what the caller must send.
type Effects struct {
	Messages     []consensus.Message
	Replies      []Reply
	EngineCalls  []EngineCall
	WeightsCalls []WeightsCall
	RelayCalls   []RelayCall
}

// Replica is one control replica. It does no I/O: the caller passes in the time, messages and requests, and carries
// out Persist and Effects. The order of calls is: inputs, Release and send, and if NeedsWrite, Prepare, write and sync,
// Advance and send. Inputs and Release may come while a write is in progress; Prepare may not.
type Replica struct {
	config    Config
	node      *consensus.Node
	machine   *Machine
	snapshot  consensus.Snapshot
	hardState consensus.HardState

	applied     uint64
	appliedTerm uint64
	// appliedBytes is the total size of the entries applied since the newest snapshot, and appliedCost the total of their
	// applySize.
	appliedBytes   int
	appliedCost    int
	unixMS         int64         // wall clock at tickedAt; 0 before the first tick
	tickedAt       time.Duration // time of the newest tick
	now            time.Duration // time of the newest tick or request
	pending        map[uint64]pendingProposal
	write          consensus.Write // in progress
	effects        Effects
	leader         *leaderState
	publications   map[string][]publishedVersion // by model, in ascending order of version, with local times
	orderMarks     map[string]orderMark          // newest order seen in the log, by back-end name
	published      publishedDocument             // newest document sent to gateways
	storeList      storeList                     // stores of the newest document
	registrations  recentRegistrations
	evidence       map[string]*heartbeatEvidence // by instance ID, of contested deregistrations
	memberChanges  []memberChange                // that have committed, to be logged; see takeMemberChanges
	departures     []departure                   // changes of contested deregistrations, to be logged; see TakeDepartures
	readOffers     OfferReader                   // nil if the offers of back ends are not known
	relay          *relay.Relay                  // answers gateways while another replica leads
	awaitingLeader []heldWatch                   // watches held until a leader is known; at most maxAwaitingLeader
	crashTimes     crashTimes                    // local times of the replicated crash counts
	checkpointDue  bool                          // the next Prepare must write a checkpoint
	checkpointAt   time.Duration                 // when a postponed checkpoint is tried again; 0 if none is
	startedAt      time.Duration                 // when the replica was restored
	segmentBytes   int64                         // size of the log on disk after the last write
	snapshotWanted bool                          // a snapshot is due whatever the size of the log
	stopErr        error                         // why the replica has stopped, or nil
}

// NewReplica restores a replica from its durable state. It fails if the state requires a higher level than this build
// supports.
func NewReplica(config Config, restored Checkpoint, now time.Duration) (*Replica, error) {
	replica := &Replica{
		config: config, machine: NewMachine(config.Guards), snapshot: restored.Snapshot,
		hardState: restored.HardState, pending: map[uint64]pendingProposal{}, publications: map[string][]publishedVersion{}, orderMarks: map[string]orderMark{},
		registrations: recentRegistrations{byName: map[string]time.Duration{}}, evidence: map[string]*heartbeatEvidence{}, crashTimes: newCrashTimes(), relay: relay.New(config.Guards), startedAt: now,
	}
	if len(restored.Snapshot.Data) > 0 {
		if err := replica.machine.Restore(restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	if err := config.Level.CheckSupports(replica.machine.highestLevel(restored.Entries)); err != nil {
		return nil, err
	}
	if len(replica.machine.catalog.Instances())+len(restored.Entries) > 0 {
		replica.registrations.recordRestored(now)
	}
	replica.checkpointDue = replica.machine.logFormat() > max(restored.Format, storage.FirstFormat)
	replica.applied = restored.Snapshot.Meta.Index
	replica.appliedTerm = restored.Snapshot.Meta.Term
	replica.node = consensus.New(
		consensus.Config{ID: config.ID, Timing: config.Timing, Limits: config.consensusLimits(), ApplySize: applySize, PartSnapshots: replica.knowsParts, LongLeases: replica.knowsLongLeases, Random: config.Random},
		consensus.Restored{HardState: restored.HardState, Snapshot: restored.Snapshot.Meta, Entries: restored.Entries},
		now, func() (consensus.Snapshot, bool) { return replica.snapshot, replica.snapshot.Meta.Index > 0 })
	return replica, nil
}

// BootstrapState returns the initial durable state of the replica that founds a group, with self as the only voter.
// All other replicas join as learners.
func BootstrapState(self consensus.Member) Checkpoint {
	meta := consensus.SnapshotMeta{Index: 1, Term: 1, Membership: consensus.Membership{Members: []consensus.Member{self}}}
	empty := NewMachine(guard.Set{}).Snapshot()
	return Checkpoint{HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Meta: meta, Data: empty}}
}

// Node returns the consensus node for inspection.
func (r *Replica) Node() *consensus.Node { return r.node }

// Machine returns the replicated state for inspection.
func (r *Replica) Machine() *Machine { return r.machine }

// Applied returns the index of the last applied entry.
func (r *Replica) Applied() uint64 { return r.applied }

// Tick runs the timers. unixMS is the wall clock, used only for retention, history and the age of published weights.
func (r *Replica) Tick(now time.Duration, unixMS int64) {
	if r.stopErr != nil {
		return
	}
	r.unixMS, r.tickedAt, r.now = unixMS, now, now
	if r.checkpointAt > 0 && now >= r.checkpointAt {
		r.checkpointAt, r.checkpointDue = 0, true
	}
	r.node.Tick(now)
	r.checkLeadership(now)
	if r.leader != nil && r.hasCurrentState(now) {
		r.expireSessions(now)
		r.reconcile(now)
		r.recordMemberChange(now)
		r.repair(now)
		r.checkFleet(now)
		r.updateInUse(now)
		r.updateLimits(now)
		r.logLoadedWeights(now)
		r.updateGatewayList(now)
		r.maintainQuarantine(now)
		r.raiseLevel(now)
		r.rollOut(now)
	}
	if r.leader != nil {
		r.answerWatches(now)
	}
	r.advanceRelay(now)
	r.resolveAwaitingLeader(now)
}

// Step handles a message from another replica.
func (r *Replica) Step(now time.Duration, message consensus.Message) {
	if r.stopErr != nil || !r.checkLevel(now, message) {
		return
	}
	r.node.Step(now, message)
	r.checkLeadership(now)
}

// NextDue returns the latest time at which Tick must be called.
func (r *Replica) NextDue() time.Duration {
	if r.actsAsRelay() {
		return min(r.node.NextDue(), r.relay.NextRequestAt())
	}
	return r.node.NextDue()
}

// checkLeadership creates the leader state after an election and discards it when leadership is lost.
func (r *Replica) checkLeadership(now time.Duration) {
	isLeader := r.node.Role() == consensus.Leader
	if r.leader != nil && (!isLeader || r.leader.term != r.node.Term()) {
		previous := r.leader
		r.leader = nil
		r.closeWatches(previous)
		r.replyAll(previous.pendingRegistrations.clients, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
		r.failPending()
	}
	if r.leader == nil && isLeader {
		r.leader = newLeaderState(r.node.Term(), now, r.leaseEnd(now), r.machine)
		r.refreshPublicationTimes(now)
	}
}

// failPending answers ResponseUnknown to all waiting clients: their entries may still commit under another leader.
func (r *Replica) failPending() {
	for index, proposal := range r.pending {
		r.replyAll(proposal.clients, Response{Kind: ResponseUnknown, Leader: r.leaderAddress()})
		delete(r.pending, index)
	}
}

func (r *Replica) leaderAddress() string {
	member, found := r.node.Membership().Find(r.node.Leader())
	if !found {
		return ""
	}
	return member.Address
}

func (r *Replica) reply(client uint64, response Response) {
	if client != 0 {
		r.effects.Replies = append(r.effects.Replies, Reply{Client: client, Response: response})
	}
}

func (r *Replica) replyAll(clients []uint64, response Response) {
	for _, client := range clients {
		r.reply(client, response)
	}
}

// propose appends a command after the queued registrations. With client 0, nobody waits for the entry.
func (r *Replica) propose(now time.Duration, client uint64, command Command) {
	r.proposeRegistrations(now)
	r.appendCommand(now, []uint64{client}, command)
}

// appendCommand appends a command to the log; the clients are answered once it has committed.
func (r *Replica) appendCommand(now time.Duration, clients []uint64, command Command) {
	r.appendEncoded(now, clients, r.encode(command))
}

// encode encodes a command for the log.
func (r *Replica) encode(command Command) []byte {
	command.UnixMS = r.unixMS
	return encodeCommand(r.machine.level, command)
}

func (r *Replica) appendEncoded(now time.Duration, clients []uint64, data []byte) {
	index, term, ok := r.node.Propose(now, data)
	if !ok {
		r.replyAll(clients, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
		return
	}
	r.pending[index] = pendingProposal{clients: clients, term: term}
}

// NeedsWrite reports whether Prepare would return anything to write.
func (r *Replica) NeedsWrite() bool {
	return r.stopErr == nil && (r.checkpointDue || r.node.NeedsWrite())
}

// Prepare returns what the caller must write and sync before Advance.
func (r *Replica) Prepare() Persist {
	r.proposeQueued(r.now)
	r.write = r.node.BeginWrite()
	persist := Persist{HardState: r.write.HardState, Entries: r.write.Entries}
	if r.write.HardState != nil {
		r.hardState = *r.write.HardState
	}
	if r.write.Snapshot != nil {
		r.snapshot = *r.write.Snapshot
		r.checkpointDue = true
	}
	if r.checkpointDue {
		r.checkpointDue = false
		persist.MayPostpone = r.write.Snapshot == nil
		persist.Checkpoint = &Checkpoint{HardState: r.hardState, Snapshot: r.snapshot, Entries: r.node.EntriesAfter(r.snapshot.Meta.Index), Format: r.machine.logFormat()}
	}
	return persist
}

// proposeQueued proposes what was queued to share log entries.
func (r *Replica) proposeQueued(now time.Duration) {
	r.proposeRegistrations(now)
	r.proposeOrderAnnouncements(now)
}

// ObserveSync tells the replica how long a sync took.
func (r *Replica) ObserveSync(took time.Duration) { r.node.ObserveSync(took) }

// StartSyncTime tells the replica how long the sync took with which its log was opened.
func (r *Replica) StartSyncTime(took time.Duration) { r.node.StartSyncTime(took) }

// Advance continues after the writes of Prepare were synced. It returns what may be sent from then on.
func (r *Replica) Advance(now time.Duration) Effects {
	r.node.EndWrite(now)
	r.checkLeadership(now) // the replica's own vote may have been the one that was missing
	if r.write.Snapshot != nil {
		r.installSnapshot(now, *r.write.Snapshot)
	}
	r.write = consensus.Write{}
	return r.Release(now)
}

// Release applies committed entries and returns what may be sent, also while a write is in progress. Nothing in it depends
// on what is not synced yet.
func (r *Replica) Release(now time.Duration) Effects {
	if r.stopErr != nil {
		return Effects{}
	}
	r.proposeQueued(now)
	for _, entry := range r.node.Committed() {
		r.apply(now, entry)
	}
	if r.stopErr = r.config.Level.CheckSupports(r.machine.level); r.stopErr != nil {
		return Effects{}
	}
	if r.leader != nil && r.leader.gatewayListChanged {
		r.leader.gatewayListChanged = false
		r.answerWatches(now)
	}
	r.effects.Messages = append(r.effects.Messages, r.stampLevel(r.node.Messages())...)
	r.maybeSnapshot()
	r.advanceRelay(now)
	r.resolveAwaitingLeader(now)
	effects := r.effects
	r.effects = Effects{}
	effects.WeightsCalls = r.dropStaleCalls(now, effects.WeightsCalls)
	return effects
}

// dropStaleCalls drops calls decided before a sync that took so long that this replica may have lost the leadership,
// and orders that would follow their announcement too late. The rollout makes them again.
func (r *Replica) dropStaleCalls(now time.Duration, calls []WeightsCall) []WeightsCall {
	if len(calls) == 0 || !r.config.Guards.On(guard.DropLateOrders) {
		return calls
	}
	if r.leader == nil || !r.mayOrder(now) {
		return nil
	}
	return r.dropLateOrders(now, calls)
}

func (r *Replica) installSnapshot(now time.Duration, snapshot consensus.Snapshot) {
	format := r.machine.logFormat()
	if err := r.machine.Restore(snapshot.Data); err != nil {
		panic("control: failed to decode the snapshot received from the leader: " + err.Error())
	}
	r.checkpointDue = r.checkpointDue || r.machine.logFormat() != format
	r.applied, r.appliedTerm = snapshot.Meta.Index, snapshot.Meta.Term
	r.appliedBytes, r.appliedCost, r.snapshotWanted = 0, 0, false
	r.recordSnapshotOrders(now)
	r.registrations.recordRestored(now)
	r.refreshPublicationTimes(now)
}

func (r *Replica) apply(now time.Duration, entry consensus.Entry) {
	if entry.Index != r.applied+1 {
		panic("control: gap in the indexes of committed entries")
	}
	r.applied, r.appliedTerm = entry.Index, entry.Term
	r.appliedBytes += len(entry.Data)
	r.appliedCost += applySize(entry)
	var result Result
	if entry.Kind == consensus.EntryCommand {
		command := decodeCommand(entry.Data)
		if command.Catalog != nil {
			r.recordOrderAnnouncement(now, entry.Term, command.Catalog.WeightsOrderTargets)
			command.Catalog.UnixMS = command.UnixMS
			result.Catalog = r.applyCatalog(now, *command.Catalog)
		} else {
			format := r.machine.logFormat()
			result = r.machine.Apply(entry.Index, entry.Term, command)
			r.checkpointDue = r.checkpointDue || r.machine.logFormat() != format // before the first entry of the new format
		}
	}
	proposal, found := r.pending[entry.Index]
	if found {
		delete(r.pending, entry.Index)
	}
	r.completeProposal(now, entry, result, proposal, found && proposal.term == entry.Term)
}

// completeProposal answers the clients of an entry. If another leader's entry took its index, they get
// ResponseUnknown and have to resend.
func (r *Replica) completeProposal(now time.Duration, entry consensus.Entry, result Result, proposal pendingProposal, sameTerm bool) {
	if !sameTerm {
		r.replyAll(proposal.clients, Response{Kind: ResponseUnknown, Leader: r.leaderAddress()})
		return
	}
	response := Response{Kind: ResponseOK, Claim: result.Claim, Change: result.Change, Catalog: result.Catalog}
	if result.Catalog != nil && result.Catalog.Fence > 0 && r.leader != nil && entry.Term == r.node.Term() {
		r.leader.orderFence = result.Catalog.Fence
	}
	if result.Session != nil {
		response = r.sessionOpened(now, proposal.firstClient(), *result.Session)
	}
	if result.Order != nil && r.leader != nil && entry.Term == r.node.Term() {
		r.issueOrder(now, *result.Order)
	}
	r.replyCommitted(proposal.clients, response)
}

// PendingWeightsCalls returns the number of calls to back ends that wait for the next sync.
func (r *Replica) PendingWeightsCalls() int { return len(r.effects.WeightsCalls) }

// HasWork reports whether the caller should call Release, or Prepare and Advance if no write is in progress.
func (r *Replica) HasWork() bool {
	return r.NeedsWrite() && !r.node.Writing() || r.HasReleasable()
}

// HasReleasable reports whether the caller should call Release.
func (r *Replica) HasReleasable() bool {
	if r.stopErr != nil {
		return false
	}
	queued := r.leader != nil && len(r.leader.pendingRegistrations.instances)+len(r.leader.pendingOrderAnnouncements) > 0
	return queued || len(r.effects.Replies)+len(r.effects.EngineCalls)+len(r.effects.WeightsCalls)+len(r.effects.RelayCalls) > 0 || r.node.HasMessages() || r.node.HasUndelivered()
}

// members returns the membership sorted by name.
func (r *Replica) members() []consensus.Member {
	members := slices.Clone(r.node.Membership().Members)
	slices.SortFunc(members, func(a, b consensus.Member) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return 0
	})
	return members
}
