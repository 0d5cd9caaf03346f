package core

import (
	"time"

	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/settings"
)

// RequestID names a request within one router's life.
type RequestID uint64

// AttemptID names one sending of a request; it is unique within a router's life.
type AttemptID uint64

// Lane is the class of service of a request.
type Lane uint8

// Lanes, the more urgent first.
const (
	LaneInteractive Lane = iota
	LaneBatch
	laneCount
)

// String returns the lane's name.
func (l Lane) String() string {
	if l == LaneInteractive {
		return "interactive"
	}
	return "batch"
}

// Chain is a prompt's block chain under one weights version.
type Chain struct {
	Weights string
	Blocks  []prefix.Hash
}

// Request is a caller's request as the core sees it; the shell keeps the body.
type Request struct {
	ID           RequestID
	Name         string // X-Request-Id
	Tenant       string
	Service      string
	Chains       []Chain // by weights version in use; empty for small services
	PromptTokens int
	MaxTokens    int
	Lane         Lane
	LaneFixed    bool          // the caller asked for the lane
	Deadline     time.Duration // time to first token the caller asked for; 0 uses the tree's
	Key          string        // Idempotency-Key
	Digest       uint64        // of the body
	ResumeFrom   int           // tokens of the answer that the caller already has
}

// Event is something that happened outside the core.
type Event interface{ isEvent() }

// EventRequest is a new request of a caller.
type EventRequest struct{ Request Request }

// EventCallerGone says that the caller hung up or reads too slowly.
type EventCallerGone struct{ ID RequestID }

// EventQuarantined says that a request is to be sent to no back end, or to no other one, since back ends end under it. One that still
// runs somewhere goes on there.
type EventQuarantined struct{ ID RequestID }

// EventClaim answers an ActionClaim. Failed means that the outcome is not known.
type EventClaim struct {
	ID      RequestID
	ClaimID string
	Failed  bool
	Outcome ledger.Outcome
}

// AttemptEventKind tells what happened to an attempt.
type AttemptEventKind uint8

// Kinds of attempt events.
const (
	AttemptStarted             AttemptEventKind = iota // the back end took the request
	AttemptChunk                                       // one token of the stream
	AttemptDone                                        // the end marker, or the whole answer of a small service
	AttemptRefused                                     // the back end provably did not take the request
	AttemptBroken                                      // the connection ended without an end marker
	AttemptIncarnationMismatch                         // the back end is another life than the one relied on; it runs without reuse
)

// EventAttempt reports on an attempt.
type EventAttempt struct {
	ID                RequestID
	Attempt           AttemptID
	Echo              AttemptID // attempt id that the answer itself carries
	Kind              AttemptEventKind
	Index             int    // AttemptChunk: position in the answer; AttemptDone: its length
	Text              string // AttemptChunk
	Cached            int    // AttemptStarted: prompt tokens that were reused
	Incarnation       uint64 // AttemptStarted and AttemptMismatch
	Answer            *ledger.Answer
	AdvertisesLimit   bool // AttemptStarted, and AttemptDone of a small service: the answer names a limit of its back end
	BackendNotAtFault bool // AttemptRefused: it says nothing against the back end, which answered, or wasn't asked
}

// EventPushback tells what a back end said of itself in an answer, whatever has become of the attempt meanwhile.
type EventPushback struct {
	Name        string
	Incarnation uint64 // of the life that spoke; the one that the attempt was meant for where it doesn't tell
	Signals     pushback.Said
}

// Load is what a back end says of its work. Reports lag; Age says by how much.
type Load struct {
	Running           int
	Waiting           int
	WaitingTokens     int // prompt tokens not computed yet, all lanes
	InteractiveTokens int // the same for the interactive lane
	PrefillRate       float64
	EvictionAge       time.Duration // how long an unused block stays; 0 unknown
	Age               time.Duration
}

// CacheEvent is one change of an engine's cache, for a run of blocks.
type CacheEvent struct {
	Sequence uint64
	Stored   []prefix.Hash
	Evicted  []prefix.Hash
}

// BackendReport is the answer to a state poll.
type BackendReport struct {
	Incarnation  uint64
	Weights      string
	Loading      bool
	Leaving      bool
	Load         Load
	Events       []CacheEvent
	NextSequence uint64 // sequence after the newest event published
}

// EventBackendPoll reports a state poll; Report is nil when the back end could not be reached. AskedAt is when the
// poll was sent: a reply says nothing about later times, however late it is read.
type EventBackendPoll struct {
	Name        string
	RequestedAt time.Duration
	Report      *BackendReport
}

// EventCacheSnapshot is an engine's full list of blocks as of a sequence.
type EventCacheSnapshot struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Blocks      []prefix.Hash
}

// PeerDispatch tells other routers of an attempt that they cannot see in any report yet.
type PeerDispatch struct {
	Backend string        `json:"backend"`
	Tokens  int           `json:"tokens"` // to prefill
	Lane    Lane          `json:"lane"`
	Age     time.Duration `json:"age_ns"` // since it was sent
}

// EventPeerRouters tells which other routers have a session, in any order.
type EventPeerRouters struct{ Names []string }

// EventPeerDispatches reports what other routers sent to back ends lately.
type EventPeerDispatches struct{ Dispatches []PeerDispatch }

// Machine is a line of the platform's list.
type Machine struct {
	Name    string
	Zone    string
	Service string
	Address string
	Leaving bool
}

// EventMachineList is a reading of the platform's list, which was asked for at AskedAt; it may lag.
type EventMachineList struct {
	AskedAt  time.Duration
	Machines []Machine
}

// EventSettings is a settings version that the shell has synced to disk.
type EventSettings struct {
	Version uint64
	Tree    settings.Tree
}

// EventLease is a renewed session; the lease counts from when the heartbeat was sent.
type EventLease struct {
	Epoch uint64
	Until time.Duration
}

// EventVault says that the vault holds, or no longer holds, the blocks of a chain.
type EventVault struct {
	Blocks []prefix.Hash
	Held   bool
}

// EventDrain starts a planned stop: no new request is taken.
type EventDrain struct{}

func (EventRequest) isEvent()        {}
func (EventCallerGone) isEvent()     {}
func (EventQuarantined) isEvent()    {}
func (EventClaim) isEvent()          {}
func (EventAttempt) isEvent()        {}
func (EventPushback) isEvent()       {}
func (EventPeerRouters) isEvent()    {}
func (EventBackendPoll) isEvent()    {}
func (EventCacheSnapshot) isEvent()  {}
func (EventMachineList) isEvent()    {}
func (EventSettings) isEvent()       {}
func (EventLease) isEvent()          {}
func (EventVault) isEvent()          {}
func (EventDrain) isEvent()          {}
func (EventPeerDispatches) isEvent() {}
