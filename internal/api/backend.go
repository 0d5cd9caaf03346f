package api

import (
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
)

// Paths that a back end serves; docs/BACKENDS.md describes them.
const (
	PathGenerate = "/v1/generate"
	PathRun      = "/v1/run"
	PathState    = "/v1/state"
	PathCache    = "/v1/cache"
	PathOrders   = "/v1/orders"
	PathKVMatch  = "/v1/kv/match"
	PathKVKeep   = "/v1/kv/keep"
	PathMachines = "/v1/machines"
	PathFetch    = "/v1/fetch"
	PathRuns     = "/v1/runs"
)

// GenerateRequest is one attempt sent to an engine.
type GenerateRequest struct {
	Request              string         `json:"request"`
	Attempt              core.AttemptID `json:"attempt"`
	Router               string         `json:"router"`
	Tenant               string         `json:"tenant"`
	Prompt               string         `json:"prompt"`
	Blocks               []prefix.Hash  `json:"blocks"`
	PromptTokens         int            `json:"prompt_tokens"`
	MaxTokens            int            `json:"max_tokens"`
	ResumeFrom           int            `json:"resume_from"`
	Lane                 core.Lane      `json:"lane"`
	Seed                 uint64         `json:"seed"`
	Incarnation          uint64         `json:"incarnation"`
	Weights              string         `json:"weights"`
	ExpectedCachedTokens int            `json:"rely_tokens"`
	ImportFrom           string         `json:"import_from,omitempty"`
	ImportBlocks         int            `json:"import_blocks,omitempty"`
	VaultBlocks          int            `json:"keep_blocks,omitempty"`
	Vault                string         `json:"vault,omitempty"`
}

// GenerateEventKind names an event of an engine's stream.
type GenerateEventKind string

// Kinds of stream events.
const (
	GenerateStarted GenerateEventKind = "started"
	GenerateToken   GenerateEventKind = "token"
	GenerateDone    GenerateEventKind = "done"
)

// GenerateEvent is one event of an engine's stream (server-sent events with JSON data).
type GenerateEvent struct {
	Kind            GenerateEventKind `json:"k"`
	Attempt         core.AttemptID    `json:"a"`
	Index           int               `json:"i,omitempty"` // token position, or answer length
	Text            string            `json:"t,omitempty"`
	Cached          int               `json:"cached,omitempty"`
	Imported        int               `json:"imported,omitempty"`
	Incarnation     uint64            `json:"inc,omitempty"`
	NoReuse         bool              `json:"no_reuse,omitempty"`    // another life or other weights than relied on
	StoredBlocks    int               `json:"kept,omitempty"`        // blocks stored in the vault
	AdvertisedLimit *float64          `json:"limit_per_s,omitempty"` // started: requests a second that the engine takes from all routers together
}

// BackendRejection is the body of a 503 of a back end that provably did not take the request.
type BackendRejection struct {
	Run             core.RunStatus `json:"run"`
	Draining        bool           `json:"leaving,omitempty"`
	RetryAfterMS    int64          `json:"retry_after_ms,omitempty"`
	AdvertisedLimit *float64       `json:"limit_per_s,omitempty"` // requests a second that it takes from all routers together; absent names none
	Incarnation     uint64         `json:"incarnation,omitempty"` // of the life that speaks; 0 it doesn't tell
}

// RunRequest is one attempt sent to a small service.
type RunRequest struct {
	Request string         `json:"request"`
	Attempt core.AttemptID `json:"attempt"`
	Router  string         `json:"router"`
	Tenant  string         `json:"tenant"`
	Key     string         `json:"key,omitempty"`
	Body    []byte         `json:"body"`
}

// RunResponse is a small service's answer.
type RunResponse struct {
	Attempt         core.AttemptID  `json:"attempt"`
	Response        ledger.Response `json:"answer"`
	AdvertisedLimit *float64        `json:"limit_per_s,omitempty"` // requests a second that the service's process takes from all routers together

	Incarnation uint64 `json:"incarnation,omitempty"` // of the life that speaks; 0 it doesn't tell
}

// RunRecord is what a small service remembers of each run.
type RunRecord struct {
	Tenant  string `json:"tenant"`
	Key     string `json:"key"`
	Request string `json:"request"`
	Digest  uint64 `json:"digest"`
	UnixMS  int64  `json:"unix_ms"`
}

// StateReply is a back end's answer to a state poll.
type StateReply struct {
	Report core.BackendReport   `json:"report"`
	Engine control.EngineReport `json:"engine"`
}

// CacheReply is an engine's full list of cached blocks as of an event sequence.
type CacheReply struct {
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Blocks      []prefix.Hash `json:"blocks"`
}

// KVRequest names leading blocks of a chain, for match and keep.
type KVRequest struct {
	Blocks []prefix.Hash `json:"blocks"`
}

// KVReply says how many leading blocks are held.
type KVReply struct {
	CachedBlocks int `json:"held"`
}

// OrderReply says whether an engine took an order, and the highest fence it saw.
type OrderReply struct {
	Accepted bool          `json:"accepted"`
	Fence    control.Fence `json:"fence"`
}

// MachinesReply is the platform's list.
type MachinesReply struct {
	Machines []core.Machine `json:"machines"`
}

// MachineEdit changes a line of the stand-in platform's list.
type MachineEdit struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
	Removed bool   `json:"removed"`
}

// FetchRequest asks the weight store for weights.
type FetchRequest struct {
	Engine  string `json:"engine"`
	Weights string `json:"weights"`
}
