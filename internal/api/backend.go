package api

import (
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
)

// Paths that back ends, the KV store, the weight store and the platform serve; docs/BACKENDS.md describes them.
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

// GenerateRequest is one attempt of a request, sent to an engine.
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

// GenerateEventKind is the kind of an event of an engine's stream.
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
	Index           int               `json:"i,omitempty"` // position of the token; at the end, the number of tokens of the response
	Text            string            `json:"t,omitempty"`
	Cached          int               `json:"cached,omitempty"`
	Imported        int               `json:"imported,omitempty"`
	Incarnation     uint64            `json:"inc,omitempty"`
	NoReuse         bool              `json:"no_reuse,omitempty"`    // the engine's incarnation or weights differ from those expected
	StoredBlocks    int               `json:"kept,omitempty"`        // blocks stored in the vault
	AdvertisedLimit *float64          `json:"limit_per_s,omitempty"` // in started: requests per second that the engine accepts from all routers together
}

// BackendRejection is the body of a 503 response of a back end that certainly did not execute the request.
type BackendRejection struct {
	Run             core.RunStatus `json:"run"`
	Draining        bool           `json:"leaving,omitempty"`
	RetryAfterMS    int64          `json:"retry_after_ms,omitempty"`
	AdvertisedLimit *float64       `json:"limit_per_s,omitempty"` // requests per second that it accepts from all routers together; nil if it advertises no limit
	Incarnation     uint64         `json:"incarnation,omitempty"` // incarnation that responded; 0 if not stated
}

// RunRequest is one attempt of a request, sent to a small service.
type RunRequest struct {
	Request string         `json:"request"`
	Attempt core.AttemptID `json:"attempt"`
	Router  string         `json:"router"`
	Tenant  string         `json:"tenant"`
	Key     string         `json:"key,omitempty"`
	Body    []byte         `json:"body"`
}

// RunResponse is a small service's response to a RunRequest.
type RunResponse struct {
	Attempt         core.AttemptID  `json:"attempt"`
	Response        ledger.Response `json:"answer"`
	AdvertisedLimit *float64        `json:"limit_per_s,omitempty"` // requests per second that the service's process accepts from all routers together

	Incarnation uint64 `json:"incarnation,omitempty"` // incarnation that responded; 0 if not stated
}

// RunRecord is a small service's record of one run.
type RunRecord struct {
	Tenant  string `json:"tenant"`
	Key     string `json:"key"`
	Request string `json:"request"`
	Digest  uint64 `json:"digest"`
	UnixMS  int64  `json:"unix_ms"`
}

// StateReply is a back end's reply to a state poll.
type StateReply struct {
	Report core.BackendReport   `json:"report"`
	Engine control.EngineReport `json:"engine"`
}

// CacheReply is the full list of an engine's cached blocks as of an event's sequence number.
type CacheReply struct {
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Blocks      []prefix.Hash `json:"blocks"`
}

// KVRequest lists the leading blocks of a prompt, for the paths kv/match and kv/keep.
type KVRequest struct {
	Blocks []prefix.Hash `json:"blocks"`
}

// KVReply states how many of the leading blocks are cached.
type KVReply struct {
	CachedBlocks int `json:"held"`
}

// OrderReply states whether an engine accepted a weights order, and the highest fencing token it has seen.
type OrderReply struct {
	Accepted bool          `json:"accepted"`
	Fence    control.Fence `json:"fence"`
}

// MachinesReply is the platform's list of machines.
type MachinesReply struct {
	Machines []core.Machine `json:"machines"`
}

// MachineEdit changes an entry in the machine list of the stand-in platform.
type MachineEdit struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
	Removed bool   `json:"removed"`
}

// FetchRequest requests weights from the weight store for an engine.
type FetchRequest struct {
	Engine  string `json:"engine"`
	Weights string `json:"weights"`
}
