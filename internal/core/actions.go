package core

import (
	"time"

	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/streamorigin"
)

// Action is an effect that the caller of the core must carry out.
type Action interface{ isAction() }

// ActionClaim asks the idempotency ledger for permission to run a request once.
type ActionClaim struct {
	ID    RequestID
	Claim ledger.Claim
}

// ActionEndClaim reports the end of a claim to the ledger. It is resent until a control replica confirms it.
type ActionEndClaim struct{ End ledger.End }

// ActionDispatch sends an attempt to a back end.
type ActionDispatch struct {
	ID                   RequestID
	Attempt              AttemptID
	Backend              string
	Address              string
	Incarnation          uint64 // incarnation of the back end at placement
	Weights              string
	Blocks               []prefix.Hash
	ExpectedCachedTokens int // prompt tokens assumed to be cached there
	PrefillTokens        int // prompt tokens that it is expected to compute
	ResumeFrom           int // tokens of the answer that the client already has
	Lane                 Lane
	MaxTokens            int
	ImportFrom           string // address of an engine or vault to copy cached blocks from, or ""
	ImportBlocks         int    // leading blocks to copy
	StoreInVault         bool   // ask the engine to store the prefix in the vault afterwards
	VaultBlocks          int    // leading blocks to store
	SettingsVersion      uint64
}

// ActionCancel cancels an attempt.
type ActionCancel struct {
	ID      RequestID
	Attempt AttemptID
}

// ActionChunk passes a token to the client.
type ActionChunk struct {
	ID    RequestID
	Index int
	Text  string
}

// ActionRecordOrigin records at which software version a stream began, before its first token is passed to the client. It
// is to be sent to other routers if Replicate is set.
type ActionRecordOrigin struct {
	ID        RequestID
	Software  streamorigin.SoftwareVersion
	Replicate bool
}

// RunStatus states whether a back end executed a request that failed.
type RunStatus string

// Values of RunStatus.
const (
	RunNot     RunStatus = "not-run" // provably not executed
	RunYes     RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Reason classifies the final outcome of a request.
type Reason string

// Reasons of final answers.
const (
	ReasonComplete          Reason = "complete"
	ReasonReplayed          Reason = "replayed"
	ReasonNoSettings        Reason = "no-settings"
	ReasonNoLease           Reason = "no-lease"
	ReasonDraining          Reason = "draining"
	ReasonUnknownService    Reason = "unknown-service"
	ReasonRateLimit         Reason = "rate-limit"
	ReasonConcurrencyLimit  Reason = "concurrency-limit"
	ReasonQueueFull         Reason = "queue-full"
	ReasonDeadline          Reason = "deadline"
	ReasonNoBackend         Reason = "no-backend"
	ReasonRetriesExhausted  Reason = "retries-exhausted"
	ReasonKeyRequired       Reason = "idempotency-key-required"
	ReasonKeyReused         Reason = "idempotency-key-reused"
	ReasonKeyExpired        Reason = "idempotency-key-expired"
	ReasonInProgress        Reason = "in-progress"
	ReasonRunUnknown        Reason = "run-unknown"
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	ReasonCallerGone        Reason = "caller-gone"
	ReasonQuarantined       Reason = "held-back" // back ends crashed while running it
	ReasonResting           Reason = "resting"   // all available back ends asked for backoff
	ReasonCongested         Reason = "congested" // the back ends answer late, and as many requests wait as they answer in time
	ReasonLimited           Reason = "limited"   // all available back ends reached their advertised limits
	// ReasonOtherSoftware: no available back end has the software version at which the stream began.
	ReasonOtherSoftware Reason = "other-software"
	// ReasonOriginUnknown: nobody knows at which software version the stream began that the request goes on with.
	ReasonOriginUnknown Reason = "stream-unknown"
)

// ActionFinish gives a request its final answer.
type ActionFinish struct {
	ID         RequestID
	Reason     Reason
	Run        RunStatus        // of a failed request
	RetryAfter time.Duration    // 0: a retry does not help
	Tokens     int              // length of a complete stream
	Answer     *ledger.Response // of a non-streaming service
}

// ActionRequestSnapshot requests the complete list of cached blocks from an engine.
type ActionRequestSnapshot struct {
	Backend string
	Address string
}

func (ActionClaim) isAction()           {}
func (ActionEndClaim) isAction()        {}
func (ActionDispatch) isAction()        {}
func (ActionCancel) isAction()          {}
func (ActionChunk) isAction()           {}
func (ActionRecordOrigin) isAction()    {}
func (ActionFinish) isAction()          {}
func (ActionRequestSnapshot) isAction() {}
