// Package reporter is what one process does about requests that end their back ends: it looks whether a back end under which a run broke off
// has ended, tells control, and answers whether a request is held back. One thread tells.
package reporter

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
)

const (
	// submitTimeout is how long control may take to hold a change: an election and a write. What was not taken is told again after tellPause.
	submitTimeout = 2 * time.Second
	retryInterval = 100 * time.Millisecond
	// batchDelay lets what breaks off with one back end be told in one message.
	batchDelay = 5 * time.Millisecond
	// maxPendingCrashes and wellMost bound what waits to be told: the losses of some minutes without control.
	maxPendingCrashes     = 1024
	maxPendingCompletions = 1024
	// maxLoggedFingerprints bounds the fingerprints of one log line.
	maxLoggedFingerprints = 8
)

// Proof is how the end of a life was proved.
type Proof string

// Proofs.
const (
	ConnectionRefused Proof = "refused"  // its address refuses connections
	Replaced          Proof = "replaced" // control names another life at its address
)

// Config are how a reporter reaches the outside.
type Config struct {
	// Submit has control make a change; an error says that it may not have been made.
	Submit func(ctx context.Context, change quarantine.Change) error
	// RefusesConnections reports whether an address refuses connections, as it does when nothing listens there. One that stays silent doesn't.
	RefusesConnections func(ctx context.Context, address string) bool
	Log                func(event string, fields ...zap.Field)
	Now                func() time.Duration // counts the time a machine was suspended
}

// RefusesTCP asks by connecting. A connection that comes up says that somebody listens there.
func RefusesTCP(dialer *net.Dialer) func(ctx context.Context, address string) bool {
	return func(ctx context.Context, address string) bool {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
}

// Reporter is safe for concurrent use.
type Reporter struct {
	config Config
	wake   chan struct{} // has an item when something waits; room for one

	mu          sync.Mutex
	tracker     *quarantine.Tracker      // guarded by mu
	hasher      *quarantine.Hasher       // nil before the first news; guarded by mu
	probes      map[string]*probe        // by life: a look whether it has ended; guarded by mu
	crashes     []quarantine.Crash       // to be told; at most endedMost; guarded by mu
	completions []quarantine.Fingerprint // to be told; at most wellMost; guarded by mu
}

// probe is a probe whether a life has ended.
type probe struct{ done chan struct{} }

// New returns a reporter that knows nothing.
func New(config Config) *Reporter {
	return &Reporter{config: config, wake: make(chan struct{}, 1), tracker: quarantine.NewTracker(), probes: map[string]*probe{}}
}

// Version returns that of the newest news.
func (r *Reporter) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Version()
}

// ApplyUpdate takes control's news up.
func (r *Reporter) ApplyUpdate(update *quarantine.Update) {
	hasher, err := quarantine.NewHasher(update.Seed)
	if err != nil {
		hasher = nil // control has planted none yet
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasher = hasher
	r.enqueueCompletions(r.tracker.ApplyUpdate(r.config.Now(), update)...)
}

// Fingerprint returns a request's fingerprint; ok is false before control told the seed.
func (r *Reporter) Fingerprint(request quarantine.Request) (f quarantine.Fingerprint, ok bool) {
	r.mu.Lock()
	hasher := r.hasher
	r.mu.Unlock()
	if hasher == nil {
		return f, false
	}
	return hasher.Fingerprint(request), true
}

// IsEmpty reports whether no request has anything against it, so that none needs a fingerprint to be judged.
func (r *Reporter) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsEmpty()
}

// CrashCount returns how many lives ended under a request; from quarantine.Held on it must not be sent.
func (r *Reporter) CrashCount(f quarantine.Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.CrashCount(f)
}

// SuspectCounts returns how many requests control tells of, and how many of these are held back.
func (r *Reporter) SuspectCounts() (suspects, quarantined int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.SuspectCounts()
}

// RecordFailure notes that a run broke off at a life, and looks whether that life has ended. The channel is closed when that is known, or can't be.
func (r *Reporter) RecordFailure(incarnation, address string, f quarantine.Fingerprint) (probed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if crash, ok := r.tracker.RecordFailure(r.config.Now(), incarnation, f); ok {
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

// probeTimeout is how long an address may take to refuse a connection, or to take one: a silent one proves nothing.
const probeTimeout = 300 * time.Millisecond

// probe asks an address whether anything listens there.
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

// ConfirmEnds notes the proof that lives ended.
func (r *Reporter) ConfirmEnds(proof Proof, incarnations ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, incarnation := range incarnations {
		r.confirmEnd(incarnation, proof)
	}
}

// confirmEnd counts a life that ended. The caller holds mu.
func (r *Reporter) confirmEnd(incarnation string, proof Proof) {
	if crash, ok := r.tracker.ConfirmEnd(r.config.Now(), incarnation); ok {
		r.enqueueCrash(crash, proof)
	}
}

// enqueueCrash lets control be told of an ended life. The caller holds mu.
func (r *Reporter) enqueueCrash(crash quarantine.Crash, proof Proof) {
	fingerprints := make([]string, 0, maxLoggedFingerprints)
	for _, f := range crash.Requests[:min(len(crash.Requests), maxLoggedFingerprints)] {
		fingerprints = append(fingerprints, f.String())
	}
	r.config.Log(events.EndedUnder, zap.String(events.FieldInstance, crash.Incarnation), zap.String("proof", string(proof)),
		zap.Int("requests", len(crash.Requests)), zap.Strings("fingerprints", fingerprints))
	if len(r.crashes) >= maxPendingCrashes {
		r.config.Log(events.EndNotTold, zap.String(events.FieldInstance, crash.Incarnation), zap.Int("waiting", len(r.crashes)))
		return
	}
	r.crashes = append(r.crashes, crash)
	r.signal()
}

// RecordCompletion notes that a back end ran a request to a good end.
func (r *Reporter) RecordCompletion(f quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker.RecordCompletion(r.config.Now(), f) {
		r.enqueueCompletions(f)
	}
}

// RecordIdle notes that this process could send nothing for so long until now.
func (r *Reporter) RecordIdle(idle time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordIdle(r.config.Now(), idle)
}

// enqueueCompletions lets control be told of requests that ended well. The caller holds mu.
func (r *Reporter) enqueueCompletions(completed ...quarantine.Fingerprint) {
	if room := maxPendingCompletions - len(r.completions); len(completed) > room {
		completed = completed[:room] // the next good end tells again
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

// Sweep forgets what is long past.
func (r *Reporter) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Sweep(r.config.Now())
}

// Run is the thread that tells control, until ctx ends.
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

// takePending takes all that waits.
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

// submit tells control once, and reports whether nothing is left to tell of a change.
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
