package gateway

import (
	"net/http"
	"time"

	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
)

// Call holds the request properties that a Dialect reads from a caller's headers.
type Call struct {
	ID             string // request ID given by the caller; responses must carry it
	Key            string // API key
	Model          string
	Parts          []prefix.Part // cacheable parts of the prompt, in order
	PromptTokens   int
	OutputTokens   int           // maximum
	TokensDeclared bool          // the caller declared its token counts
	Timeout        time.Duration // how long the caller waits for a response; 0 if unknown
	LastEvent      string        // ID of the last event of the stream that the caller has
	Resumes        string        // ID of the request that brought the first event of that stream
}

// promptTokens returns the number of prompt tokens.
func (c *Call) promptTokens() int { return max(c.PromptTokens, prefix.PartTokens(c.Parts)) }

// Forwarding holds the properties that a Dialect adds to a request for a back end.
type Forwarding struct {
	Instance       string        // ID of the incarnation that the request is for; any other must reject it
	TimeLeft       time.Duration // time until the request's deadline
	Tenant         string        // owner of the API key, or ""
	Engine         bool          // the back end is an engine, so that the fields from Salt to SaveTo, BackupTo and ContinueFrom apply
	Salt           string        // namespace of cached parts
	Priority       int           // 0 is the most urgent
	WeightsVersion uint64        // expected version of the weights; 0 if unknown
	FetchFrom      string        // address of an engine or store that may have parts of the prompt cached, or ""
	SaveTo         string        // address of a store to save the prompt's parts to, or ""
	LastEvent      string        // ID of the last event of the stream that the caller has
	BackupTo       string        // address of an engine that keeps a copy of the run's memory, or ""
	// ContinueFrom is the address of the engine itself if it is to continue a run from the copy that it keeps, else "".
	// The run is named by the ID of the caller's request.
	ContinueFrom string
}

// ResponseInfo holds the properties that a Dialect reads from the headers of a back end's response.
type ResponseInfo struct {
	ID             string // ID of the request that it answers
	Signed         bool   // the back end states that it ran the request
	NotRun         bool   // the request did not run and will not
	WeightsVersion uint64 // version of the back end's weights; 0 if unknown

	Signals         pushback.Signals // load and limit signals of the back end, independent of the request's outcome
	RetryAfter      time.Duration    // retry time for the caller; 0 if none
	UnparsedBackoff string           // truncated value of a backoff that could not be parsed, or ""

	UnparsedLimit  string   // truncated value of an advertised limit that could not be parsed, or ""
	NoLimit        bool     // the response comes from the back end itself and advertises no limit
	UnknownHeaders []string // names of unknown headers about the back end, sorted and limited in number
}

// Dialect translates between a platform's headers and the gateway's types. It is safe for concurrent use.
type Dialect interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(header http.Header) Call
	// WriteForwarding sets the headers for the back end and removes those that callers must not set.
	WriteForwarding(header http.Header, forwarding Forwarding)
	// ReadResponse reads status and headers of a back end's response.
	ReadResponse(status int, header http.Header) ResponseInfo
	// SingleHeaders returns the names of the headers of a response that stand once in it. A response with different values of one
	// is none.
	SingleHeaders() []string
	// ReadEventVersion returns the version of the weights that a stream event names, and whether it names one. An event
	// that is cut off names one, 0 if unreadable, unless it certainly does not.
	ReadEventVersion(event []byte) (version uint64, named bool)
	// StatePath returns the path at which an engine states its start time without running a request, and ReadStartTime
	// reads the start time, in Unix milliseconds, from the reply.
	StatePath() string
	ReadStartTime(reply []byte) (startedMS int64, err error)
}
