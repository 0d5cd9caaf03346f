// Package reporter applies the quarantine in one process: it checks whether a back end on which a run failed has
// ended, reports crashes and completions to the control plane, and answers whether a request is quarantined. One
// goroutine sends the reports.
package reporter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
)

const (
	// submitTimeout is how long the control plane may take to commit a change, including an election. Changes that
	// were not accepted are submitted again after retryInterval.
	submitTimeout = 2 * time.Second
	retryInterval = 100 * time.Millisecond
	// batchDelay lets the failures caused by one crash be submitted in one change.
	batchDelay = 5 * time.Millisecond
	// maxPendingCrashes and maxPendingCompletions bound the reports waiting to be submitted: some minutes' worth
	// without a control plane.
	maxPendingCrashes     = 1024
	maxPendingCompletions = 1024
	// maxLoggedFingerprints bounds the fingerprints in one log line.
	maxLoggedFingerprints = 8
)

// Proof is how the end of an incarnation was confirmed.
type Proof string

// Possible proofs.
const (
	ConnectionRefused Proof = "refused"  // its address refuses connections
	Replaced          Proof = "replaced" // the control plane lists another incarnation at its address
)

// Config connects a reporter to its environment.
type Config struct {
	// Submit asks the control plane to apply a change. After an error, it may or may not have been applied.
	Submit func(ctx context.Context, change quarantine.Change) error
	// RefusesConnections reports whether an address refuses connections because nothing listens there. It returns
	// false if there is no answer.
	RefusesConnections func(ctx context.Context, address string) bool
	Log                func(event string, fields ...zap.Field)
	Now                func() time.Duration // must include the time that the machine was suspended
}

// Reporter is safe for concurrent use.
type Reporter struct {
	config Config
	wake   chan struct{} // buffered; signals that reports are pending

	mu          sync.Mutex
	tracker     *quarantine.Tracker      // guarded by mu
	hasher      *quarantine.Hasher       // nil before the first update with a seed; guarded by mu
	probes      map[string]*probe        // running, by incarnation; guarded by mu
	crashes     []quarantine.Crash       // pending; at most maxPendingCrashes; guarded by mu
	completions []quarantine.Fingerprint // pending; at most maxPendingCompletions; guarded by mu
}

// probe is a running check whether an incarnation has ended.
type probe struct{ done chan struct{} }

// New returns a reporter without state.
func New(config Config) *Reporter {
	return &Reporter{config: config, wake: make(chan struct{}, 1), tracker: quarantine.NewTracker(), probes: map[string]*probe{}}
}

// Version returns the version of the last update.
func (r *Reporter) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Version()
}

// ApplyUpdate applies an update of the control plane.
func (r *Reporter) ApplyUpdate(update *quarantine.Update) {
	hasher, err := quarantine.NewHasher(update.Seed)
	if err != nil {
		hasher = nil // no seed has been set yet
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasher = hasher
	r.enqueueCompletions(r.tracker.ApplyUpdate(r.config.Now(), update)...)
}

// Subject returns the fingerprints of a request and of the parts of its prompt that other requests may share; ok is
// false while the seed is unknown.
func (r *Reporter) Subject(request quarantine.Request, partIDs ...string) (subject quarantine.Subject, ok bool) {
	r.mu.Lock()
	hasher := r.hasher
	r.mu.Unlock()
	if hasher == nil {
		return subject, false
	}
	subject.Request = hasher.Fingerprint(request)
	for _, id := range partIDs {
		subject.Parts = append(subject.Parts, hasher.Part(id))
	}
	return subject, true
}

// IsEmpty reports whether no request has any crashes, so that fingerprints need not be computed.
func (r *Reporter) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsEmpty()
}

// CrashCount returns the number of crashes under a request.
func (r *Reporter) CrashCount(f quarantine.Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.CrashCount(f)
}

// IsQuarantined reports whether a request must not be sent.
func (r *Reporter) IsQuarantined(subject quarantine.Subject) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsQuarantined(subject)
}

// IsSuspect reports whether a request must not be retried by this process.
func (r *Reporter) IsSuspect(subject quarantine.Subject) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsSuspect(subject)
}

// Explain returns the fingerprint for which a request is quarantined and its number of crashes.
func (r *Reporter) Explain(subject quarantine.Subject) (f quarantine.Fingerprint, crashes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Explain(subject)
}

// SuspectCounts returns the number of requests and parts reported by the control plane, and how many of them are quarantined.
func (r *Reporter) SuspectCounts() (suspects, quarantined int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.SuspectCounts()
}

// RecordFailure records a failed run on an incarnation and probes whether that has ended. The returned channel is
// closed when the probe is done or none is needed.
func (r *Reporter) RecordFailure(incarnation, address string, subject quarantine.Subject) (probed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if crash, ok := r.tracker.RecordFailure(r.config.Now(), incarnation, subject); ok {
		r.enqueueCrash(crash, ConnectionRefused)
	}
	if running := r.probes[incarnation]; running != nil {
		return running.done
	}
	p := &probe{done: make(chan struct{})}
	if !r.tracker.AwaitsConfirmation(incarnation) {
		close(p.done)
		return p.done
	}
	r.probes[incarnation] = p
	go r.probe(incarnation, address, p)
	return p.done
}

// probeTimeout is how long to wait for a connection to be accepted or refused. A timeout confirms nothing.
const probeTimeout = 300 * time.Millisecond

// probe checks whether anything listens at an address.
func (r *Reporter) probe(incarnation, address string, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	refused := r.config.RefusesConnections(ctx, address)
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if refused {
		r.confirmEnd(incarnation, ConnectionRefused)
	}
	delete(r.probes, incarnation)
	close(p.done)
}

// ConfirmEnds records that incarnations have ended.
func (r *Reporter) ConfirmEnds(proof Proof, incarnations ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, incarnation := range incarnations {
		r.confirmEnd(incarnation, proof)
	}
}

// confirmEnd records that an incarnation has ended. The caller holds mu.
func (r *Reporter) confirmEnd(incarnation string, proof Proof) {
	if crash, ok := r.tracker.ConfirmEnd(r.config.Now(), incarnation); ok {
		r.enqueueCrash(crash, proof)
	}
}

// enqueueCrash logs a crash and enqueues it for submission. The caller holds mu.
func (r *Reporter) enqueueCrash(crash quarantine.Crash, proof Proof) {
	fingerprints := make([]string, 0, maxLoggedFingerprints)
	for _, f := range crash.Requests[:min(len(crash.Requests), maxLoggedFingerprints)] {
		fingerprints = append(fingerprints, f.String())
	}
	r.config.Log(events.BackendCrashed, zap.String(events.FieldInstance, crash.Incarnation), zap.String("proof", string(proof)),
		zap.Int("requests", len(crash.Requests)), zap.Strings("fingerprints", fingerprints))
	if len(r.crashes) >= maxPendingCrashes {
		r.config.Log(events.CrashNotReported, zap.String(events.FieldInstance, crash.Incarnation), zap.Int("waiting", len(r.crashes)))
		return
	}
	r.crashes = append(r.crashes, crash)
	r.signal()
}

// RecordCompletion records that a back end completed a request.
func (r *Reporter) RecordCompletion(subject quarantine.Subject) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enqueueCompletions(r.tracker.RecordCompletion(r.config.Now(), subject)...)
}

// RecordIdle records that this process could send nothing for a duration until now.
func (r *Reporter) RecordIdle(idle time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordIdle(r.config.Now(), idle)
}

// enqueueCompletions enqueues requests to be released. The caller holds mu.
func (r *Reporter) enqueueCompletions(completed ...quarantine.Fingerprint) {
	if room := maxPendingCompletions - len(r.completions); len(completed) > room {
		completed = completed[:room] // the next completion reports it again
	}
	if len(completed) > 0 {
		r.completions = append(r.completions, completed...)
		r.signal()
	}
}

func (r *Reporter) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Sweep removes expired state.
func (r *Reporter) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Sweep(r.config.Now())
}

// Run submits pending reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		sleep(ctx, batchDelay)
		for change := r.takePending(); ctx.Err() == nil && !r.submit(ctx, change); {
			sleep(ctx, retryInterval)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takePending removes all pending reports and returns them as one change.
func (r *Reporter) takePending() (change quarantine.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change.Crashes = r.crashes
	if len(r.completions) > 0 {
		change.Releases = []quarantine.Release{{Requests: r.completions, Reason: quarantine.ReasonCompleted}}
	}
	r.crashes, r.completions = nil, nil
	return change
}

// submit submits a change once and reports whether it is done.
func (r *Reporter) submit(ctx context.Context, change quarantine.Change) bool {
	if len(change.Crashes)+len(change.Releases) == 0 {
		return true
	}
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if r.config.Submit(submitCtx, change) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Acknowledge(change.Crashes)
	return true
}
