package gateway

import (
	"net/http"
	"time"

	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
)

// Call is what a caller asks, apart from method, path and body, which are passed on as they came.
type Call struct {
	ID             string // the caller's name for this request; the answer must carry it
	Key            string // API key
	Model          string
	Parts          []prefix.Part // of the prompt, in order
	PromptTokens   int
	OutputTokens   int           // at most
	TokensDeclared bool          // the call told its tokens
	Timeout        time.Duration // how long the caller waits; 0 unknown
	LastEvent      string        // newest event of the stream that the caller already has
}

// Forwarding is what a back end is told beside the caller's own request.
type Forwarding struct {
	Instance       string        // life that the request is meant for; another one must refuse it
	TimeLeft       time.Duration // until the answer is of no use
	Tenant         string        // owner of the API key, or ""
	Engine         bool          // the fields below apply
	Salt           string        // name space of cached parts
	Priority       int           // 0 is the most urgent
	WeightsVersion uint64        // weights that the request counts on; 0 unknown
	FetchFrom      string        // address of an engine or store that may hold parts of the prompt, or ""
	SaveTo         string        // address of a store that the prompt's parts shall be kept in, or ""
	LastEvent      string        // newest event of the stream that the caller already has
}

// ResponseInfo is what a back end's answer says of itself.
type ResponseInfo struct {
	ID             string // request that it answers
	Signed         bool   // it comes from a back end that ran the request
	NotRun         bool   // the request did not run and never will
	WeightsVersion uint64 // of the back end's weights; 0 unknown

	Signals         pushback.Signals // what it says of itself, whatever became of the request
	RetryAfter      time.Duration    // when it advises the caller to come back; 0 it doesn't
	UnparsedBackoff string           // such advice that can't be read, as it came, cut off at some length

	UnparsedLimit  string   // a limit that can't be read, as it came, cut off at some length
	NoLimit        bool     // it is the back end's own answer, and names no limit
	UnknownHeaders []string // names of words in it about the back end that nothing reads, rising, a few at most
}

// Dialect translates between a platform's headers and the gateway. It is safe for concurrent use.
type Dialect interface {
	// ReadCall reads what a caller asks.
	ReadCall(header http.Header) Call
	// WriteForwarding sets what a back end is told and removes whatever callers may not set themselves.
	WriteForwarding(header http.Header, forwarding Forwarding)
	// ReadResponse reads a back end's answer.
	ReadResponse(status int, header http.Header) ResponseInfo
}
