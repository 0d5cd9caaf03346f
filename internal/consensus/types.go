// Package consensus implements the Raft algorithm: leader election with pre-vote and check-quorum, leader leases,
// log replication, snapshots, learners and single-server membership changes.
//
// Node is a deterministic state machine. It does no I/O, reads no clock and takes random numbers from Config.Random.
// The caller drives it in this order:
//
//  1. call Tick, Step or Propose with the current time;
//  2. call Ready and write HardState, Snapshot and Entries to stable storage, and sync them;
//  3. only after the sync, send Messages and call Persisted;
//  4. apply Snapshot and Committed to the replicated state, in that order.
//
// Syncing in step 2 before sending in step 3 makes acknowledged entries durable. Time is monotonic and local to the
// replica; clock values of different replicas are never compared.
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
	next := Membership{Members: make([]Member, 0, len(m.Members)+1)}
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
	SentAt      time.Duration `json:"sent_at,omitempty"`  // leader's clock, echoed in the reply to extend the lease
	Entries     []Entry       `json:"entries,omitempty"`  // entries after Index
	Snapshot    *Snapshot     `json:"snapshot,omitempty"` // MessageSnapshot only
	Incarnation uint64        `json:"life,omitempty"`     // of a cold start query; echoed in the reply

	// Level is the compatibility level of the sender's build, InForce the level in force in the sender's applied state.
	// Both are set and read by the caller.
	Level   level.Level `json:"level,omitempty"`
	InForce level.Level `json:"in_force,omitempty"`

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

// Ready is the work that the caller must do, in the order given in the package comment.
type Ready struct {
	HardState *HardState // nil when unchanged
	Snapshot  *Snapshot  // received snapshot that replaces log and state
	Entries   []Entry    // to append; an index at or below the last one truncates the log there first
	Messages  []Message  // to send after the sync
	Committed []Entry    // to apply
}

// Empty reports whether there is no work to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	Heartbeat   time.Duration // interval of the leader's appends to idle followers
	ElectionMin time.Duration // minimum election timeout; vote requests are rejected this long after leader contact
	ElectionMax time.Duration // maximum election timeout
	Lease       time.Duration // how long a quorum's acknowledgements let a leader serve reads; below ElectionMin
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
	Random        func(n int64) int64 // uniform in [0, n); seeded by the caller
}

// Restored is the state read from stable storage. The zero value stands for an empty folder.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // entries after the snapshot, contiguous
}
