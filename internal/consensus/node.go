package consensus

import (
	"maps"
	"math"
	"slices"
	"time"
)

// progress is a leader's replication state of one other replica.
type progress struct {
	match          uint64        // highest index known to be synced there
	next           uint64        // next index to send
	leaseUntil     time.Duration // until when the peer is known to reject votes, less a reserve for clocks; by the leader's clock
	roundTrips     roundTrips
	lastReplyAt    time.Duration // time of the last reply, by the leader's clock
	heard          bool          // it has replied to this leader, or asked it to join
	lastAppendAt   time.Duration // time of the last append or snapshot, by the leader's clock
	snapshotSentAt time.Duration // send time of an unacknowledged snapshot, by the leader's clock; 0 if none
	paused         bool          // no appends until the next reply or heartbeat
	probing        bool          // the peer rejected an append; it gets one at a time until it acknowledges one
	probeSentAt    time.Duration // send time of an unacknowledged probe with large entries, by the leader's clock; 0 if none
	inflight       inflight
	transfer       *snapshotTransfer // nil if no snapshot is on its way
}

// Node is the consensus state machine of one replica. It is not safe for concurrent use.
type Node struct {
	config Config
	hard   HardState
	log    raftLog
	role   Role
	leader ID

	membership      Membership
	membershipIndex uint64

	commit    uint64
	delivered uint64 // last index returned by Committed or covered by a snapshot
	persisted uint64 // last index synced to local storage

	votes             map[ID]bool
	voterRoundTrips   map[ID]time.Duration // of the latest replies to pre-votes and cold start queries
	voterSyncTimes    map[ID]time.Duration // told in replies to this replica's pre-votes
	peers             map[ID]*progress
	lastHeartbeat     time.Duration
	lastLeaderContact time.Duration // last message from a valid leader, initially the start
	silentUntil       time.Duration // until when votes are rejected, unless the group is known to be leaderless
	storedSilence     time.Duration // the least HardState.Silence that may be on stable storage
	silence           time.Duration // that this leader asks for; 0 is ElectionMin
	lastLeader        ID            // sender of that message; empty initially and once this replica leads
	electionDue       time.Duration
	termStartIndex    uint64 // index of the no-op entry that began this leadership
	coldStart         coldStartState
	leaderTerm        uint64        // highest term with a known leader, initially the restored term
	syncTime          time.Duration // estimated duration of a sync of this replica
	latestSync        time.Duration // duration of the latest sync
	reservation       reservation
	undecided         uint64 // elections in which this replica stood and nobody won in time

	hardStateChanged bool
	unstableFrom     uint64 // first index to return in Write.Entries; 0 if none
	writing          *Write // nil if no write is in progress
	pendingInstall   *Snapshot
	incoming         *incomingSnapshot // nil if no snapshot is being received in parts
	messages         []Message
	snapshotSource   func() (Snapshot, bool)
}

// New returns a node restored from stable storage. snapshotSource returns the newest snapshot, for followers that need
// compacted entries.
func New(config Config, restored Restored, now time.Duration, snapshotSource func() (Snapshot, bool)) *Node {
	config.Limits = config.Limits.withDefaults()
	if config.PartSnapshots == nil {
		config.PartSnapshots = func() bool { return true }
	}
	if config.LongLeases == nil {
		config.LongLeases = func() bool { return true }
	}
	if config.ApplySize == nil {
		config.ApplySize = func(entry Entry) int { return entry.Size() }
	}
	node := &Node{
		config:            config,
		hard:              restored.HardState,
		log:               raftLog{base: restored.Snapshot, entries: slices.Clone(restored.Entries), bytes: totalSize(restored.Entries)},
		commit:            restored.Snapshot.Index,
		delivered:         restored.Snapshot.Index,
		lastLeaderContact: now,
		silentUntil:       now + max(config.Timing.ElectionMin, restored.HardState.Silence),
		storedSilence:     restored.HardState.Silence,
		voterRoundTrips:   map[ID]time.Duration{},
		leaderTerm:        restored.HardState.Term,
		snapshotSource:    snapshotSource,
		coldStart: coldStartState{
			incarnation: uint64(config.Random(math.MaxInt64)), startedAt: now, queriedAt: now - config.Timing.Heartbeat, replies: map[ID]logPosition{},
		},
	}
	node.persisted = node.log.lastIndex()
	node.refreshMembership()
	node.resetElectionTimer(now)
	return node
}

func (n *Node) Role() Role { return n.role }

func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader this replica follows, or "".
func (n *Node) Leader() ID { return n.leader }

// LeaderSilent reports whether this replica is not the leader and has not heard from one for twice ElectionMax.
// A replica that was removed from the group hears from none.
func (n *Node) LeaderSilent(now time.Duration) bool {
	return n.role != Leader && now > n.lastLeaderContact+2*n.config.Timing.ElectionMax
}

func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the newest entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// LogBytes returns the total size of the entries held in memory.
func (n *Node) LogBytes() int { return n.log.bytes }

// BytesAfter returns the total size of the entries after an index that the log covers.
func (n *Node) BytesAfter(index uint64) int {
	return totalSize(n.log.slice(max(index, n.log.base.Index), n.log.lastIndex()))
}

// UncommittedBytes returns the total size of the entries that are not committed.
func (n *Node) UncommittedBytes() int { return n.BytesAfter(n.commit) }

// UnsyncedBytes returns the total size of the entries that this replica has not synced.
func (n *Node) UnsyncedBytes() int { return n.BytesAfter(n.persisted) }

// Membership returns the newest membership in the log.
func (n *Node) Membership() Membership { return n.membership }

// MembershipCommitted reports whether the newest membership is committed. Until then, replicas that it removes may
// still count towards quorums.
func (n *Node) MembershipCommitted() bool { return n.membershipIndex <= n.commit }

// MembershipAt returns the membership in force at a committed index, for a snapshot made there.
func (n *Node) MembershipAt(index uint64) Membership {
	entries := n.log.slice(n.log.base.Index, index)
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Kind == EntryMembership {
			return decodeMembership(entries[i].Data)
		}
	}
	return n.log.base.Membership
}

// Tick runs the timers that are due.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now >= n.electionDue && n.membership.IsVoter(n.config.ID) {
		if n.role == Candidate {
			n.undecided++
		}
		n.startPreVote(now)
	}
	if due, pending := n.nextColdStartQuery(); pending && now >= due {
		n.sendColdStartQueries(now)
	}
}

// NextDue returns the latest time at which Tick must be called.
func (n *Node) NextDue() time.Duration {
	if n.role == Leader {
		return n.lastHeartbeat + n.config.Timing.Heartbeat
	}
	if due, pending := n.nextColdStartQuery(); pending {
		return min(n.electionDue, due)
	}
	return n.electionDue
}

// Propose appends a command to the log if this replica leads. The command is committed only once its entry is returned
// by Committed with the same term. Until then its outcome is unknown: it may still commit later.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	if n.role != Leader {
		return 0, 0, false
	}
	index = n.appendLocal(EntryCommand, data)
	n.broadcastAppend(now)
	return index, n.hard.Term, true
}

// ProposeMembership appends a membership that differs from the current one by at most one vote. It is rejected while an
// earlier change, or the first entry of this leadership, is uncommitted.
func (n *Node) ProposeMembership(now time.Duration, membership Membership) (index, term uint64, ok bool) {
	if n.role != Leader || n.membershipIndex > n.commit || n.commit < n.termStartIndex {
		return 0, 0, false
	}
	if countChangedVoters(n.membership, membership) > 1 {
		return 0, 0, false
	}
	index = n.appendLocal(EntryMembership, EncodeMembership(membership))
	known := maps.Clone(n.peers)
	n.refreshMembership()
	for id, peer := range n.peers {
		if known[id] == nil {
			peer.lastReplyAt, peer.heard, peer.next = now, true, 1 // it has just asked to join, most likely with an empty log
			n.sendAppend(now, id)
		}
	}
	n.broadcastAppend(now)
	return index, n.hard.Term, true
}

// countChangedVoters returns the number of replicas that vote in only one of two memberships.
func countChangedVoters(before, after Membership) int {
	changed := 0
	for _, member := range after.Members {
		if before.IsVoter(member.ID) != !member.Learner {
			changed++
		}
	}
	for _, member := range before.Members {
		if _, kept := after.Find(member.ID); !kept && !member.Learner {
			changed++
		}
	}
	return changed
}

// PeerStatus is a leader's view of one other replica.
type PeerStatus struct {
	ID          ID
	Match       uint64
	LastReplyAt time.Duration // or the start of the leadership, if it has not been heard
	Heard       bool          // by this leader
}

// Peers returns the leader's view of the other replicas in the order of the membership. It is nil on other replicas.
func (n *Node) Peers() []PeerStatus {
	var statuses []PeerStatus
	if n.role != Leader {
		return nil
	}
	for _, member := range n.membership.Members {
		if peer := n.peers[member.ID]; peer != nil {
			statuses = append(statuses, PeerStatus{ID: member.ID, Match: peer.match, LastReplyAt: peer.lastReplyAt, Heard: peer.heard})
		}
	}
	return statuses
}

// Compact removes the log entries covered by a snapshot that the caller has synced.
func (n *Node) Compact(meta SnapshotMeta) {
	if meta.Index <= n.log.base.Index || meta.Index > min(n.delivered, n.persisted) {
		return
	}
	n.log.compact(meta)
}

func (n *Node) appendLocal(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.append(entry)
	n.markUnstable(entry.Index)
	return entry.Index
}

func (n *Node) markUnstable(index uint64) {
	if n.unstableFrom == 0 || index < n.unstableFrom {
		n.unstableFrom = index
	}
	if n.persisted >= index {
		n.persisted = index - 1
	}
}

func (n *Node) refreshMembership() {
	n.membership, n.membershipIndex = n.log.membership()
	if n.role != Leader {
		return
	}
	for _, member := range n.membership.Members {
		if member.ID != n.config.ID && n.peers[member.ID] == nil {
			n.peers[member.ID] = &progress{next: n.log.lastIndex() + 1}
		}
	}
	for id := range n.peers {
		if _, kept := n.membership.Find(id); !kept {
			delete(n.peers, id)
		}
	}
}

func (n *Node) send(message Message) {
	message.From = n.config.ID
	n.messages = append(n.messages, message)
}

// EntriesAfter returns a copy of the log entries after an index, for a checkpoint.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return slices.Clone(n.log.slice(index, n.log.lastIndex()))
}

// HasUndelivered reports whether committed entries are left for further calls of Committed.
func (n *Node) HasUndelivered() bool { return n.delivered < n.commit && !n.installing() }

// TermStart returns the index of the first entry of this replica's latest leadership. A leader's applied state includes
// all earlier commits once it has reached this index.
func (n *Node) TermStart() uint64 { return n.termStartIndex }
