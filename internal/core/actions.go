package core

import (
	"time"

	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
)

// Action is something the shell must do.
type Action interface{ isAction() }

// ActionClaim asks the ledger for the right to run a request once.
type ActionClaim struct {
	ID    RequestID
	Claim ledger.Claim
}

// ActionEndClaim tells the ledger how a claim ended. The shell repeats it until a control replica confirmed it.
type ActionEndClaim struct{ End ledger.End }

// ActionDispatch sends an attempt to a back end.
type ActionDispatch struct {
	ID                   RequestID
	Attempt              AttemptID
	Backend              string
	Address              string
	Incarnation          uint64 // life of the back end that the decision counted on
	Weights              string
	Blocks               []prefix.Hash
	ExpectedCachedTokens int // prompt tokens believed to be cached there
	PrefillTokens        int // prompt tokens that it will probably compute
	ResumeFrom           int // tokens of the answer that the caller already has
	Lane                 Lane
	MaxTokens            int
	ImportFrom           string // address of an engine or vault to copy cached blocks from, or ""
	ImportBlocks         int    // how many leading blocks the copy should bring
	StoreInVault         bool   // ask the engine to store the prefix in the vault when done
	VaultBlocks          int
	SettingsVersion      uint64
}

// ActionCancel stops an attempt that is no longer wanted.
type ActionCancel struct {
	ID      RequestID
	Attempt AttemptID
}

// ActionChunk passes a token to the caller.
type ActionChunk struct {
	ID    RequestID
	Index int
	Text  string
}

// RunStatus says whether a request that got an error ran.
type RunStatus string

// Values of Run.
const (
	RunNot     RunStatus = "not-run" // provably
	RunYes     RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Reason classifies how a request ended.
type Reason string

// Reasons of a final answer.
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
	ReasonQuarantined       Reason = "held-back"
	ReasonResting           Reason = "resting" // all back ends that could take it asked for rest
	ReasonLimited           Reason = "limited" // all of them have reached the limits that they name
)

// ActionFinish gives a request its final answer.
type ActionFinish struct {
	ID         RequestID
	Reason     Reason
	Run        RunStatus      // for errors
	RetryAfter time.Duration  // 0: trying again does not help
	Tokens     int            // length of a complete stream
	Answer     *ledger.Answer // small services
}

// ActionRequestSnapshot asks an engine for its full list of blocks.
type ActionRequestSnapshot struct {
	Backend string
	Address string
}

func (ActionClaim) isAction()           {}
func (ActionEndClaim) isAction()        {}
func (ActionDispatch) isAction()        {}
func (ActionCancel) isAction()          {}
func (ActionChunk) isAction()           {}
func (ActionFinish) isAction()          {}
func (ActionRequestSnapshot) isAction() {}
