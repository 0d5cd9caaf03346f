// Package consensus is a replicated log: leader election with pre-vote and check-quorum, leader leases,
// log replication, snapshots, learners and single-server membership changes.
//
// Node is a pure state machine. It does no I/O, reads no clock and draws no random numbers of its own.
// The caller drives it in this order, and no other:
//
//  1. call Tick, Step or Propose with the current time;
//  2. call Ready and write HardState, Snapshot and Entries to stable storage, and sync them;
//  3. only after the sync, send Messages and call Persisted;
//  4. apply Snapshot and Committed to the replicated state, in that order.
//
// Step 2 before step 3 is what makes an acknowledged entry durable. Time is monotonic and local to the
// replica; replicas never compare clock values, only durations.
package consensus

import (
	"time"

	"kitetiller/internal/level"
)

// ID names one life of a replica's data folder. A wiped folder gets a new ID.
type ID string

// Role is the part a replica plays in the current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's usual name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k"`
	Data  []byte    `json:"d,omitempty"`
}

// Member is one replica of the group.
type Member struct {
	ID      ID     `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// Membership is the set of replicas that hold the log.
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

// Voters counts the members that vote.
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

// Without returns a copy that lacks the given ID.
func (m Membership) Without(id ID) Membership {
	next := Membership{Members: make([]Member, 0, len(m.Members)+1)}
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// HardState must be synced before any message of the same Ready is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote,omitempty"`
}

// SnapshotMeta names the log position and membership a snapshot stands for.
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

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages between replicas.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageColdStartQuery // a voter that has just started asks whether a leader is known
	MessageColdStartReply // none is; not sent otherwise
)

// Message is what one replica sends to another.
type Message struct {
	Kind        MessageKind   `json:"kind"`
	From        ID            `json:"from"`
	To          ID            `json:"to"`
	Term        uint64        `json:"term"`
	Index       uint64        `json:"index,omitempty"`    // previous index, last index of a candidate, or matched index
	LogTerm     uint64        `json:"log_term,omitempty"` // term of Index
	Commit      uint64        `json:"commit,omitempty"`   // leader's commit index
	Reject      bool          `json:"reject,omitempty"`   // the answer is no
	Hint        uint64        `json:"hint,omitempty"`     // last index a rejecting follower has
	SentAt      time.Duration `json:"sent_at,omitempty"`  // sender's clock, echoed in the reply to extend the lease
	Entries     []Entry       `json:"entries,omitempty"`  // entries after Index
	Snapshot    *Snapshot     `json:"snapshot,omitempty"` // MessageSnapshot only
	Incarnation uint64        `json:"life,omitempty"`     // MessageCold: of the asking replica; echoed in the reply

	// Level is that of the sender's build and InForce the one in force as the sender applied the log. Consensus passes both on.
	Level   level.Level `json:"level,omitempty"`
	InForce level.Level `json:"in_force,omitempty"`
}

// Ready is the work that the caller must do, in the order of the package comment.
type Ready struct {
	HardState *HardState // nil when unchanged
	Snapshot  *Snapshot  // a received snapshot that replaces log and state
	Entries   []Entry    // to append; an index at or below the last one truncates the log there first
	Messages  []Message  // to send after the sync
	Committed []Entry    // to apply
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Timing holds the periods of the protocol.
type Timing struct {
	Heartbeat   time.Duration // period of the leader's appends to idle followers
	ElectionMin time.Duration // silence after which a follower may ask for votes; also how long it refuses them
	ElectionMax time.Duration // upper end of the random silence
	Lease       time.Duration // how long a quorum's answers let a leader serve reads; below ElectionMin
}

// Config is what a node needs to start.
type Config struct {
	ID     ID
	Timing Timing
	Random func(n int64) int64 // uniform in [0, n); seeded by the caller
}

// Restored is the state read back from stable storage; the zero value is an empty folder.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // entries after the snapshot, contiguous
}
