package core

import (
	"time"

	"kitetiller/internal/admission/congestion"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
	"kitetiller/internal/streamorigin"
)

// BackendState is the router's view of the availability of a back end.
type BackendState uint8

// States of a back end.
const (
	BackendJoining BackendState = iota // listed, but not reported or still loading
	BackendReady
	BackendSuspect // no recent report, or repeated connection failures
	BackendLeaving
	BackendDead
)

// String returns the name of the state.
func (s BackendState) String() string {
	return [...]string{"joining", "ready", "suspect", "leaving", "dead"}[s]
}

// backend is a row of the back end table. Its index is its prefix.EngineID.
type backend struct {
	id      prefix.EngineID
	machine Machine
	listed  bool // in the newest machine list
	kind    string

	state       BackendState
	lastSeenAt  time.Duration // request time of the newest answered poll
	incarnation uint64
	weights     string
	software    string // version of the incarnation's software
	loading     bool
	leaving     bool // according to its newest report

	load           Load
	loadMeasuredAt time.Duration // when the load was measured, by the router's clock

	nextSequence        uint64 // of the next cache event
	needsSnapshot       bool
	snapshotRequestedAt time.Duration
	running             int // attempts of this router
	pendingPrefill      []pendingPrefill
	peerPrefill         []pendingPrefill // dispatches announced by other routers that no load report includes yet
	concurrencyLimit    float64          // adaptive; attempts of this router
	maxConcurrency      float64          // upper bound of concurrencyLimit from the settings
	latencyBias         float64          // smoothed ratio of observed to predicted time to first token
	consecutiveFailures int              // failed connections since the last report
	rateBucket          rateBucket       // this router's share of the advertised rate limit
}

// pendingPrefill is a dispatched attempt without a first token.
type pendingPrefill struct {
	attempt AttemptID
	sentAt  time.Duration
	tokens  int
	lane    Lane
}

// attempt is one dispatch of a request.
type attempt struct {
	id          AttemptID
	backend     prefix.EngineID
	incarnation uint64 // of the back end at dispatch
	sentAt      time.Duration
	predicted   time.Duration       // time to first token, before bias correction and network latency
	resumeFrom  int                 // tokens that the client had at dispatch
	started     bool                // the back end accepted it
	streaming   bool                // a token was received
	uncached    int                 // prompt tokens expected to be prefilled
	wait        *congestion.Request // until its end; nil once it was given up
	software    streamorigin.SoftwareVersion
}

// requestState is the stage of a request.
type requestState uint8

const (
	stateAwaitingLease requestState = iota // until the first lease after startup
	stateClaiming
	stateQueued
	stateRunning
	stateBackoff
)

// request is a row of the request table.
type request struct {
	Request
	values        settings.Values
	state         requestState
	arrivedAt     time.Duration
	deadline      time.Duration // absolute, for the first token
	claimID       string
	claimGranted  bool
	epoch         uint64 // session in which the claim was made
	attempts      []attempt
	attemptCount  int
	failedOn      []prefix.EngineID // back ends to avoid
	emitted       int               // tokens passed to the client
	lastEmittedAt time.Duration     // when the newest token was passed on
	retryAt       time.Duration
	hedged        bool
	software      streamorigin.Requirement // of its stream, once that has begun
	possibleRuns  int                      // attempts that may have been executed
	queueCost     float64                  // in tokens, for fair queueing
	finishTag     float64                  // virtual finish time in the fair queue
	lastDecision  int                      // sequence number of its newest decision record, from 1; 0 for none
}

// tenantState is a row of the tenant table.
type tenantState struct {
	rateTokens     float64 // token bucket of the request rate limit
	refilledAt     time.Duration
	activeRequests int
	finishTag      float64
}

// tenantKey identifies a tenant of a service.
type tenantKey struct{ service, tenant string }

// serviceState is a row of the service table.
type serviceState struct {
	name                  string
	backends              []prefix.EngineID // all known ones, in order of discovery
	ring                  []ringPoint
	ringStale             bool                  // the ring must be rebuilt
	software              *streamorigin.History // of its back ends; nil before the first observation
	softwareStale         bool                  // the versions must be observed again
	lanes                 [laneCount][]*request // heaps ordered by finishTag
	virtualTime           float64               // of fair queueing
	retryTokens           float64               // token bucket of the retry budget
	interactiveSinceBatch int                   // interactive requests dequeued since the last batch request
	dispatchInterval      time.Duration         // smoothed, while requests are queued
	congestion            *congestion.Limiter   // of attempts without a first token
}

// streamStarted reports whether this router has passed a token of the answer to the client.
func (r *request) streamStarted() bool { return r.emitted > r.ResumeFrom }
