package core

import (
	"time"

	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

// BackendState is the router's view of a back end's life.
type BackendState uint8

// States of a back end.
const (
	BackendJoining BackendState = iota // listed, not heard yet
	BackendReady
	BackendSuspect // silent, or refused a connection
	BackendLeaving
	BackendDead
)

// String returns the state's name.
func (s BackendState) String() string {
	return [...]string{"joining", "ready", "suspect", "leaving", "dead"}[s]
}

// backend is a row of the back end table. Its position is its prefix.EngineID.
type backend struct {
	id      prefix.EngineID
	machine Machine
	listed  bool // in the newest platform list
	kind    string

	state       BackendState
	lastSeenAt  time.Duration
	incarnation uint64
	weights     string
	loading     bool
	leaving     bool // by its newest report

	load           Load
	loadMeasuredAt time.Duration // when the load was true, by our clock

	nextSequence        uint64 // next cache event expected
	needsSnapshot       bool
	snapshotRequestedAt time.Duration
	running             int // own attempts
	pendingPrefill      []pendingPrefill
	peerPrefill         []pendingPrefill // of other routers, as far as they told and no report shows it
	concurrencyLimit    float64          // adaptive concurrency
	maxConcurrency      float64          // highest limit that the settings allow
	latencyBias         float64          // observed over predicted time to first token, smoothed
	consecutiveFailures int              // in a row
	rateBucket          rateBucket       // of the limit that it names
}

// pendingPrefill is an attempt of ours that has not given its first token yet.
type pendingPrefill struct {
	attempt AttemptID
	sentAt  time.Duration
	tokens  int
	lane    Lane
}

// attempt is one sending of a request.
type attempt struct {
	id          AttemptID
	backend     prefix.EngineID
	incarnation uint64 // incarnation it was sent to
	sentAt      time.Duration
	predicted   time.Duration // time to first token
	resumeFrom  int           // tokens the caller had when it was sent
	started     bool
	streaming   bool
	uncached    int
}

// requestState is where a request stands.
type requestState uint8

const (
	stateAwaitingLease requestState = iota // waiting for the first lease after a start
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
	failedOn      []prefix.EngineID
	emitted       int           // tokens passed to the caller
	lastEmittedAt time.Duration // when the newest of them came
	retryAt       time.Duration
	hedged        bool
	possibleRuns  int     // attempts that may have run
	queueCost     float64 // fair-queue cost in tokens
	finishTag     float64 // virtual finish time in the fair queue
	lastDecision  int     // number of its newest decision record, from 1
}

// tenantState is a row of the tenant table.
type tenantState struct {
	rateTokens     float64 // of the rate limit's bucket
	refilledAt     time.Duration
	activeRequests int
	finishTag      float64
}

// tenantKey separates tenants by service.
type tenantKey struct{ service, tenant string }

// serviceState is a row of the service table.
type serviceState struct {
	name                  string
	backends              []prefix.EngineID // every known one, in order of appearance
	ring                  []ringPoint
	ringStale             bool
	lanes                 [laneCount][]*request // heaps by finishTag
	virtualTime           float64
	retryTokens           float64
	interactiveSinceBatch int // interactive picks since the last batch pick
	dispatchInterval      time.Duration
}

// streamStarted reports whether the caller got a token from this router, so that the answer must be finished.
func (r *request) streamStarted() bool { return r.emitted > r.ResumeFrom }
