package core

import (
	"time"

	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/settings"
	"kitetiller/internal/streamorigin"
)

// RequestID identifies a request within one run of the router.
type RequestID uint64

// AttemptID identifies one dispatch of a request within one run of the router.
type AttemptID uint64

// Lane is the priority class of a request.
type Lane uint8

// Lanes in order of priority.
const (
	LaneInteractive Lane = iota
	LaneBatch
	laneCount
)

// String returns the name of the lane.
func (l Lane) String() string {
	if l == LaneInteractive {
		return "interactive"
	}
	return "batch"
}

// Chain is the block hash chain of a prompt under one weights version.
type Chain struct {
	Weights string
	Blocks  []prefix.Hash
}

// Request is a client request without its body, which the caller of the core keeps.
type Request struct {
	ID           RequestID
	Name         string // X-Request-Id
	Tenant       string
	Service      string
	Chains       []Chain // one per weights version in use; empty for services of kind "service"
	PromptTokens int
	MaxTokens    int
	Lane         Lane
	LaneFixed    bool          // the client chose the lane
	Deadline     time.Duration // time to first token that the client asked for; 0 uses the settings
	Key          string        // Idempotency-Key
	Digest       uint64        // hash of the body
	ResumeFrom   int           // tokens of the answer that the client already has
	// Origin is the software version that generated those tokens; unknown if no record of it was found.
	Origin streamorigin.SoftwareVersion
}

// Event is an input of the core.
type Event interface{ isEvent() }

// EventRequest is a new client request.
type EventRequest struct{ Request Request }

// EventCallerGone reports that the client disconnected or reads too slowly.
type EventCallerGone struct{ ID RequestID }

// EventQuarantined reports that a request is quarantined because back ends crashed while running it: it must not be
// dispatched again. A running attempt continues.
type EventQuarantined struct{ ID RequestID }

// EventClaim answers an ActionClaim. Failed means that the outcome is unknown.
type EventClaim struct {
	ID      RequestID
	ClaimID string
	Failed  bool
	Outcome ledger.Outcome
}

// AttemptEventKind is the type of an attempt event.
type AttemptEventKind uint8

// Types of attempt events.
const (
	AttemptStarted             AttemptEventKind = iota // the back end accepted the request
	AttemptChunk                                       // one token of the stream
	AttemptDone                                        // the end marker, or the whole answer of a non-streaming service
	AttemptRefused                                     // the back end provably did not run the request
	AttemptBroken                                      // the connection ended without an end marker
	AttemptIncarnationMismatch                         // the back end restarted; it runs the request without cached blocks
)

// EventAttempt reports progress or the end of an attempt.
type EventAttempt struct {
	ID                RequestID
	Attempt           AttemptID
	Echo              AttemptID // attempt ID that the answer itself carries
	Kind              AttemptEventKind
	Index             int    // AttemptChunk: position in the answer; AttemptDone: length of the answer
	Text              string // AttemptChunk
	Cached            int    // AttemptStarted: prompt tokens served from the cache
	Incarnation       uint64 // AttemptStarted and AttemptIncarnationMismatch
	Answer            *ledger.Response
	AdvertisesLimit   bool // AttemptStarted, and AttemptDone of a non-streaming service: the answer advertises a rate limit
	BackendNotAtFault bool // AttemptRefused: the back end answered or was not contacted; not a connection failure
}

// EventPushback carries what a back end's response states about the back end itself. It is applied even when the attempt
// has already ended.
type EventPushback struct {
	Name        string
	Incarnation uint64 // of the back end that answered; the one addressed if the answer does not tell
	Signals     pushback.Signals
}

// Load is the workload that a back end reports. Reports lag behind by Age.
type Load struct {
	Running           int
	Waiting           int
	WaitingTokens     int // prompt tokens that are not computed yet, all lanes
	InteractiveTokens int // prompt tokens that are not computed yet, interactive lane
	PrefillRate       float64
	EvictionAge       time.Duration // age at which unused blocks are evicted; 0 if unknown
	Age               time.Duration
}

// CacheEvent is one change of an engine's cache.
type CacheEvent struct {
	Sequence uint64
	Stored   []prefix.Hash
	Evicted  []prefix.Hash
}

// BackendReport is the reply to a state poll. Back ends send it, with Load and CacheEvent, as JSON under these field
// names.
type BackendReport struct {
	Incarnation  uint64
	Weights      string
	Software     string // version of its software; back ends that name none count as one version
	Loading      bool
	Leaving      bool
	Load         Load
	Events       []CacheEvent
	NextSequence uint64 // sequence number that follows the newest published event
}

// EventBackendPoll is the result of a state poll; Report is nil if the back end could not be reached. The back end
// counts as alive at RequestedAt, when the poll was sent, however late the reply is processed.
type EventBackendPoll struct {
	Name        string
	RequestedAt time.Duration
	Report      *BackendReport
}

// EventCacheSnapshot is the complete list of cached blocks of an engine as of a sequence number.
type EventCacheSnapshot struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Blocks      []prefix.Hash
}

// PeerDispatch announces an attempt to other routers before any load report includes it.
type PeerDispatch struct {
	Backend string        `json:"backend"`
	Tokens  int           `json:"tokens"` // prompt tokens to prefill
	Lane    Lane          `json:"lane"`
	Age     time.Duration `json:"age_ns"` // time since it was dispatched
}

// EventPeerRouters lists the other routers with a session, in any order.
type EventPeerRouters struct{ Names []string }

// EventPeerDispatches reports what other routers recently dispatched. Routers exchange it as JSON under these field
// names.
type EventPeerDispatches struct{ Sends []PeerDispatch }

// Machine is an entry of the platform's machine list, which is JSON under these field names.
type Machine struct {
	Name    string
	Zone    string
	Service string
	Address string
	Leaving bool
}

// EventMachineList is the platform's machine list as requested at RequestedAt. The list may be stale.
type EventMachineList struct {
	RequestedAt time.Duration
	Machines    []Machine
}

// EventSettings is a settings version that has been synced to disk.
type EventSettings struct {
	Version uint64
	Tree    settings.Tree
}

// EventLease is a renewed session lease. Its duration counts from when the heartbeat was sent.
type EventLease struct {
	Epoch uint64
	Until time.Duration
}

// EventVault reports that the vault stored or dropped the blocks of a chain.
type EventVault struct {
	Blocks []prefix.Hash
	Held   bool
}

// EventDrain begins a graceful shutdown: no new request is admitted.
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
