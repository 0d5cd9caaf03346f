package reporter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
)

// fakeEnvironment simulates the control plane and the addresses of back ends.
type fakeEnvironment struct {
	mu             sync.Mutex
	submitFailures int // number of changes to fail
	submitted      []quarantine.Change
	refuses        map[string]bool
	probes         int
	events         []string
	at             time.Duration
}

func (env *fakeEnvironment) config() Config {
	return Config{
		Submit: func(_ context.Context, change quarantine.Change) error {
			env.mu.Lock()
			defer env.mu.Unlock()
			if env.submitFailures > 0 {
				env.submitFailures--
				return errors.New("no leader")
			}
			env.submitted = append(env.submitted, change)
			return nil
		},
		RefusesConnections: func(_ context.Context, address string) bool {
			env.mu.Lock()
			defer env.mu.Unlock()
			env.probes++
			return env.refuses[address]
		},
		Log: func(event string, _ ...zap.Field) { env.events = append(env.events, event) },
		Now: func() time.Duration { return env.at },
	}
}

// crashedIncarnations returns the incarnations reported to the control plane, in order.
func (env *fakeEnvironment) crashedIncarnations() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var incarnations []string
	for _, change := range env.submitted {
		for _, crash := range change.Crashes {
			incarnations = append(incarnations, crash.Incarnation)
		}
	}
	return incarnations
}

func (env *fakeEnvironment) released() (released []quarantine.Fingerprint) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, change := range env.submitted {
		for _, r := range change.Releases {
			released = append(released, r.Requests...)
		}
	}
	return released
}

// startReporter runs a reporter until the test ends.
func startReporter(t *testing.T, env *fakeEnvironment) *Reporter {
	t.Helper()
	r := New(env.config())
	ctx, cancel := context.WithCancel(context.Background())
	var thread sync.WaitGroup
	thread.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		thread.Wait()
	})
	return r
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met within 2000 polls")
}

var one, two = quarantine.Fingerprint{1}, quarantine.Fingerprint{2}

// A crash is reported only if the address refuses connections or the control plane lists another incarnation there.
// One probe serves all runs that fail on an incarnation.
func TestConfirmedCrashIsSubmittedUntilAccepted(t *testing.T) {
	env := &fakeEnvironment{submitFailures: 2, refuses: map[string]bool{"dead": true}}
	r := startReporter(t, env)
	<-r.RecordFailure("life-1", "dead", quarantine.Subject{Request: one})
	<-r.RecordFailure("life-1", "dead", quarantine.Subject{Request: two})
	<-r.RecordFailure("life-2", "alive", quarantine.Subject{Request: one})
	if r.CrashCount(one) != 1 || r.CrashCount(two) != 1 || r.IsEmpty() {
		t.Fatalf("crash counts are %d and %d", r.CrashCount(one), r.CrashCount(two))
	}
	waitFor(t, func() bool { return slices.Equal(env.crashedIncarnations(), []string{"life-1", "life-1"}) })
	if env.probes != 2 {
		t.Fatalf("%d probes of two addresses", env.probes)
	}
	r.ConfirmEnds(Replaced, "life-2", "life-3")
	waitFor(t, func() bool { return slices.Contains(env.crashedIncarnations(), "life-2") })
	if r.CrashCount(one) != 2 || slices.Contains(env.crashedIncarnations(), "life-3") {
		t.Fatalf("%d crashes, reported incarnations %v", r.CrashCount(one), env.crashedIncarnations())
	}
}

// Reported requests are released if they complete, or did so recently.
func TestCompletionReleasesRequest(t *testing.T) {
	env := &fakeEnvironment{}
	r := startReporter(t, env)
	if _, ok := r.Subject(quarantine.Request{}); ok {
		t.Fatal("got a fingerprint without a seed")
	}
	r.RecordCompletion(quarantine.Subject{Request: one})
	incarnations := []string{"a", "b", "c"}
	r.ApplyUpdate(&quarantine.Update{Version: 3, Seed: make([]byte, quarantine.SeedBytes), Entries: []quarantine.Entry{
		{Request: one, Incarnations: incarnations}, {Request: two, Incarnations: incarnations},
	}})
	if suspects, quarantined := r.SuspectCounts(); r.Version() != 3 || suspects != 1 || quarantined != 1 || r.CrashCount(one) != 0 {
		t.Fatalf("version %d, %d suspects, %d quarantined", r.Version(), suspects, quarantined)
	}
	if _, ok := r.Subject(quarantine.Request{}); !ok {
		t.Fatal("got no fingerprint although the seed is set")
	}
	r.RecordCompletion(quarantine.Subject{Request: two})
	waitFor(t, func() bool { return slices.Equal(env.released(), []quarantine.Fingerprint{one, two}) })
	if !r.IsEmpty() {
		t.Fatal("completed requests still have crashes")
	}
}

// Pending reports are bounded while the control plane accepts none; a dropped crash is logged.
func TestPendingChangesAreBounded(t *testing.T) {
	env := &fakeEnvironment{}
	r := New(env.config())
	for n := range maxPendingCrashes + 5 {
		env.at += time.Minute // so that earlier failures expire
		incarnation := time.Duration(n).String()
		r.mu.Lock()
		r.tracker.RecordFailure(env.at, incarnation, quarantine.Subject{Request: one})
		r.confirmEnd(incarnation, Replaced)
		r.mu.Unlock()
		r.enqueueCompletions(quarantine.Fingerprint{byte(n), byte(n >> 8)})
	}
	if len(r.crashes) != maxPendingCrashes || len(r.completions) != maxPendingCompletions {
		t.Fatalf("%d crashes and %d completions pending", len(r.crashes), len(r.completions))
	}
	if !slices.Contains(env.events, events.CrashNotReported) || !slices.Contains(env.events, events.BackendCrashed) {
		t.Fatalf("logged events %v", env.events[len(env.events)-3:])
	}
}
