// Package consensus implements the Raft algorithm: leader election with pre-vote and check-quorum, leader leases,
// log replication, snapshots, learners and single-server membership changes.
//
// Node is a deterministic state machine. It does no I/O, reads no clock and takes random numbers from Config.Random.
// The caller drives it in these steps:
//
//  1. call Tick, Step or Propose with the current time;
//  2. send what Messages returns, and apply what Committed returns to the replicated state;
//  3. if NeedsWrite, call BeginWrite, write what it returns to stable storage and sync it, and call EndWrite. A snapshot in
//     it replaces the replicated state before any entry of Committed is applied.
//
// One write is in progress at a time. Steps 1 and 2 may be repeated meanwhile, so that heartbeats and their replies don't
// wait for a slow sync: Messages holds back each message that depends on state which is not synced yet. That makes votes
// and acknowledged entries durable. The term of a replica that has neither a log nor a vote is written with its first snapshot,
// since no message of such a replica depends on it: it acknowledges no entry before that write, and a vote is written. Time is
// monotonic and local to the replica; clock values of different replicas are never compared.
package consensus

import (
	"cmp"
	"time"

	"kitetiller/internal/level"
)

// ID identifies a replica's data folder. A wiped folder gets a new ID.
type ID string

// Role is the role of a replica in the current term.
type Role uint8

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// EntryKind is the type of a log entry's data.
type EntryKind uint8

const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k"`
	Data  []byte    `json:"d,omitempty"`
}

// entryOverhead is the approximate size of an entry's fields besides Data, in bytes.
const entryOverhead = 32

// Size returns the approximate size of the entry in memory and in messages, in bytes.
func (e *Entry) Size() int { return len(e.Data) + entryOverhead }

// Member is one replica of the group.
type Member struct {
	ID      ID     `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// Membership is the set of replicas in the group, voters and learners.
type Membership struct {
	Members []Member `json:"members"`
	// Formed means that the group had its configured number of voters before one was removed. It is kept by With and Without.
	Formed bool `json:"formed,omitempty"`
}

// Find returns the member with the given ID.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	count := 0
	for _, member := range m.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// IsVoter reports whether the ID belongs to a voting member.
func (m Membership) IsVoter(id ID) bool {
	member, found := m.Find(id)
	return found && !member.Learner
}

// With returns a copy in which the member is added or replaced.
func (m Membership) With(member Member) Membership {
	next := m.Without(member.ID)
	next.Members = append(next.Members, member)
	return next
}

// Without returns a copy in which the member with the given ID is removed.
func (m Membership) Without(id ID) Membership {
	next := Membership{Members: make([]Member, 0, len(m.Members)+1), Formed: m.Formed}
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// HardState is the term and vote, which must be synced before any message of the same Ready is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote,omitempty"`
	// Silence is for how long the replica rejects votes after a leader's message, and after its start; 0 is ElectionMin.
	Silence time.Duration `json:"silence,omitempty"`
}

// SnapshotMeta is the log position of a snapshot and the membership there.
type SnapshotMeta struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
}

// Snapshot replaces all log entries up to its index.
type Snapshot struct {
	Meta SnapshotMeta `json:"meta"`
	Data []byte       `json:"data"`
}

// MessageKind is the type of a message between replicas.
type MessageKind uint8

const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageColdStartQuery // a voter that has just started asks whether the receiver has seen a leader
	MessageColdStartReply // the sender has seen no leader; not sent otherwise
)

// Message is a request or reply from one replica to another.
type Message struct {
	Kind        MessageKind   `json:"kind"`
	From        ID            `json:"from"`
	To          ID            `json:"to"`
	Term        uint64        `json:"term"`
	Index       uint64        `json:"index,omitempty"`    // previous index, last index of a candidate, or matched index
	LogTerm     uint64        `json:"log_term,omitempty"` // term of Index
	Commit      uint64        `json:"commit,omitempty"`   // leader's commit index
	Reject      bool          `json:"reject,omitempty"`   // the reply is a rejection
	Hint        uint64        `json:"hint,omitempty"`     // in a rejection: highest index that may match the leader's log
	SentAt      time.Duration `json:"sent_at,omitempty"`  // sender's clock, echoed in the reply: to extend a lease, and to measure round trips
	Entries     []Entry       `json:"entries,omitempty"`  // entries after Index
	Snapshot    *Snapshot     `json:"snapshot,omitempty"` // MessageSnapshot only
	Incarnation uint64        `json:"life,omitempty"`     // of a cold start query; echoed in the reply

	// Level is the compatibility level of the sender's build, InForce the level in force in the sender's applied state.
	// Both are set and read by the caller.
	Level   level.Level `json:"level,omitempty"`
	InForce level.Level `json:"in_force,omitempty"`

	// SyncTime is how long a sync of the sender takes, in a reply to a pre-vote; 0 if it is not known.
	SyncTime time.Duration `json:"sync,omitempty"`

	// Silence is for how long after a leader's message the receiver is to reject votes, and in the reply what it grants; 0 is
	// ElectionMin.
	Silence time.Duration `json:"silence,omitempty"`

	// Part is set if Snapshot holds a part of the data only, and in the reply to that.
	Part *SnapshotPart `json:"part,omitempty"`
}

// Size returns the approximate size of the entries or the snapshot of the message, in bytes.
func (m *Message) Size() int {
	if m.Snapshot != nil {
		return len(m.Snapshot.Data)
	}
	return totalSize(m.Entries)
}

// Write is what the caller must write to stable storage and sync.
type Write struct {
	HardState *HardState // nil when unchanged
	Snapshot  *Snapshot  // received snapshot that replaces log and state
	Entries   []Entry    // to append; an index at or below the last one truncates the log there first
}

// Empty reports whether there is nothing to write.
func (w Write) Empty() bool { return w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 }

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	Heartbeat   time.Duration // interval of the leader's appends to idle followers
	ElectionMin time.Duration // minimum election timeout; vote requests are rejected this long after leader contact
	ElectionMax time.Duration // maximum election timeout
	Lease       time.Duration // how long a quorum's acknowledgements let a leader serve reads, if they grant no more than ElectionMin; below that
}

// Limits bounds what a node sends and delivers at once, in bytes. A single entry may exceed a limit, as it must pass.
// Zero fields select the defaults.
type Limits struct {
	MessageBytes  int // entries in one append message
	InflightBytes int // entries sent to a peer that it has not acknowledged; exceeded by one message at most
	DeliverBytes  int // committed entries in one Ready, by Config.ApplySize
}

// Defaults of Limits. A replica with half a core decodes some 10 MB of JSON per second, and a message must not delay the
// heartbeats behind it for long.
const (
	defaultMessageBytes  = 256 << 10
	defaultInflightBytes = 1 << 20
	defaultDeliverBytes  = 1 << 20
)

func (l Limits) withDefaults() Limits {
	return Limits{
		MessageBytes:  cmp.Or(l.MessageBytes, defaultMessageBytes),
		InflightBytes: cmp.Or(l.InflightBytes, defaultInflightBytes),
		DeliverBytes:  cmp.Or(l.DeliverBytes, defaultDeliverBytes),
	}
}

// Config holds the parameters of a node.
type Config struct {
	ID        ID
	Timing    Timing
	Limits    Limits
	ApplySize func(Entry) int // cost of applying an entry, in bytes; nil selects Entry.Size
	// PartSnapshots reports whether long snapshots may be sent in parts, which all replicas must know; nil is yes.
	PartSnapshots func() bool
	// LongLeases reports whether the leader may ask for a longer silence than ElectionMin, which all replicas must know; nil is
	// yes.
	LongLeases func() bool
	Random     func(n int64) int64 // uniform in [0, n); seeded by the caller
}

// Restored is the state read from stable storage. The zero value stands for an empty folder.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // entries after the snapshot, contiguous
}
