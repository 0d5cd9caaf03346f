package quarantine

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func fingerprintOf(number int) Fingerprint {
	return Fingerprint{byte(number), byte(number >> 8), byte(number >> 16)}
}

// requestOnly is a request without parts that others may share.
func requestOnly(f Fingerprint) Subject { return Subject{Request: f} }

func crashOf(incarnation string, numbers ...int) Crash {
	crash := Crash{Incarnation: incarnation}
	for _, n := range numbers {
		crash.Requests = append(crash.Requests, fingerprintOf(n))
	}
	return crash
}

// The count of a request is the number of distinct incarnations, in whatever order and however often crashes are
// reported.
func TestCrashesAreCountedOncePerIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Crash {
			return crashOf(fmt.Sprint("life-", rapid.IntRange(0, 5).Draw(t, "life")), rapid.SliceOfN(rapid.IntRange(0, 6), 1, 4).Draw(t, "requests")...)
		}), 1, 20).Draw(t, "told")
		want := map[Fingerprint]map[string]bool{}
		for _, crash := range crashes {
			for _, f := range crash.Requests {
				if want[f] == nil {
					want[f] = map[string]bool{}
				}
				want[f][crash.Incarnation] = true
			}
		}
		inOrder, shuffledOrder := NewRegistry(), NewRegistry()
		for _, crash := range crashes {
			inOrder.Apply(Change{Crashes: []Crash{crash}})
		}
		shuffled := rapid.Permutation(append(slices.Clone(crashes), crashes...)).Draw(t, "shuffled")
		shuffledOrder.Apply(Change{Crashes: shuffled})
		for f, incarnations := range want {
			if inOrder.CrashCount(f) != len(incarnations) || shuffledOrder.CrashCount(f) != len(incarnations) {
				t.Fatalf("%v: got %d crashes in order and %d shuffled, want %d", f, inOrder.CrashCount(f), shuffledOrder.CrashCount(f), len(incarnations))
			}
		}
		if inOrder.WouldChange(Change{Crashes: crashes}) {
			t.Fatal("WouldChange is true for known crashes")
		}
	})
}

// registryModel compares a registry with a plain list of incarnations per request.
type registryModel struct {
	registry     *Registry
	incarnations map[Fingerprint][]string
	seed         []byte
}

func (m *registryModel) Ended(t *rapid.T) {
	crash := crashOf(fmt.Sprint("life-", rapid.IntRange(0, 30).Draw(t, "life")), rapid.SliceOfN(rapid.IntRange(0, 9), 1, 5).Draw(t, "requests")...)
	wouldChange := m.registry.WouldChange(Change{Crashes: []Crash{crash}})
	before, version := m.suspects(), m.registry.Version()
	m.registry.Apply(Change{Crashes: []Crash{crash}})
	changed := false
	for _, f := range crash.Requests {
		if !slices.Contains(m.incarnations[f], crash.Incarnation) && len(m.incarnations[f]) < maxIncarnations {
			m.incarnations[f] = append(m.incarnations[f], crash.Incarnation)
			changed = true
		}
	}
	if wouldChange != changed {
		t.Fatalf("WouldChange returned %t, model changed: %t", wouldChange, changed)
	}
	m.checkVersion(t, before, version)
}

func (m *registryModel) Release(t *rapid.T) {
	release := Release{Keep: rapid.IntRange(0, QuarantineThreshold-1).Draw(t, "keep"), Reason: ReasonOperator}
	for _, n := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 3).Draw(t, "requests") {
		release.Requests = append(release.Requests, fingerprintOf(n))
	}
	before, version := m.suspects(), m.registry.Version()
	m.registry.Apply(Change{Releases: []Release{release}})
	for _, f := range release.Requests {
		if len(m.incarnations[f]) > release.Keep {
			m.incarnations[f] = m.incarnations[f][len(m.incarnations[f])-release.Keep:]
		}
		if len(m.incarnations[f]) == 0 {
			delete(m.incarnations, f)
		}
	}
	m.checkVersion(t, before, version)
}

func (m *registryModel) Plant(t *rapid.T) {
	seed := rapid.SliceOfN(rapid.Byte(), SeedBytes, SeedBytes).Draw(t, "seed")
	m.registry.Apply(Change{Seed: seed})
	if m.seed == nil {
		m.seed = seed
	}
}

func (m *registryModel) Restore(t *rapid.T) {
	data, err := json.Marshal(m.registry)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewRegistry()
	if err := json.Unmarshal(data, restored); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored.Update(), m.registry.Update()) {
		t.Fatalf("restored update is %+v, want %+v", restored.Update(), m.registry.Update())
	}
	m.registry = restored
}

// suspects returns the entries expected in the update.
func (m *registryModel) suspects() map[Fingerprint][]string {
	suspects := map[Fingerprint][]string{}
	for f, incarnations := range m.incarnations {
		if len(incarnations) >= SuspectThreshold {
			suspects[f] = slices.Clone(incarnations)
		}
	}
	return suspects
}

// checkVersion checks that the version increases whenever the update changes.
func (m *registryModel) checkVersion(t *rapid.T, before map[Fingerprint][]string, version uint64) {
	if !maps.EqualFunc(before, m.suspects(), slices.Equal) && m.registry.Version() <= version {
		t.Fatal("update changed without a new version")
	}
}

func (m *registryModel) Check(t *rapid.T) {
	update := m.registry.Update()
	reported := map[Fingerprint][]string{}
	for _, e := range update.Entries {
		reported[e.Request] = e.Incarnations
	}
	if !maps.EqualFunc(reported, m.suspects(), slices.Equal) || !slices.Equal(update.Seed, m.seed) {
		t.Fatalf("got update %+v, want entries %v with seed %v", update, m.suspects(), m.seed)
	}
}

// The update reflects all changes, also after the registry is restored from a snapshot.
func TestRegistryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{registry: NewRegistry(), incarnations: map[Fingerprint][]string{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Requests with fewer crashes, however many, must not evict one with more.
func TestFloodDoesNotEvictQuarantinedRequest(t *testing.T) {
	r := NewRegistry()
	for i := range QuarantineThreshold {
		r.Apply(Change{Crashes: []Crash{crashOf(fmt.Sprint("life-", i), 1)}})
	}
	for n := range 3 * maxEntries {
		r.Apply(Change{Crashes: []Crash{crashOf(fmt.Sprint("other-", n), 2+n)}})
	}
	if got := r.CrashCount(fingerprintOf(1)); got != QuarantineThreshold {
		t.Fatalf("crash count is %d", got)
	}
	if n := len(r.Fingerprints()); n != maxEntries {
		t.Fatalf("%d requests kept, want %d", n, maxEntries)
	}
	if r.CrashCount(fingerprintOf(2)) != 0 || r.CrashCount(fingerprintOf(1+3*maxEntries)) != 1 {
		t.Fatal("evicted another request than the oldest")
	}
}

// A later seed must not replace the first one.
func TestFirstSeedIsKept(t *testing.T) {
	r, first := NewRegistry(), make([]byte, SeedBytes)
	first[0] = 1
	r.Apply(Change{Seed: first[:5]})
	if r.HasSeed() {
		t.Fatal("a short seed was accepted")
	}
	r.Apply(Change{Seed: first})
	r.Apply(Change{Seed: make([]byte, SeedBytes)})
	if got := r.Update(); !slices.Equal(got.Seed, first) || got.Version != 1 {
		t.Fatalf("want the first seed and version 1, got %+v", got)
	}
}

// Every field changes the fingerprint, nothing else does, and fields cannot run into each other.
func TestFingerprintCoversRequestFields(t *testing.T) {
	h, err := NewHasher(make([]byte, SeedBytes))
	if err != nil {
		t.Fatal(err)
	}
	other, _ := NewHasher(append(make([]byte, SeedBytes-1), 1))
	base := Request{Method: "POST", Host: "h", Path: "/a/b?c", Caller: "north", Body: []byte("text")}
	same := base
	same.Body = slices.Clone(base.Body)
	if h.Fingerprint(base) != h.Fingerprint(same) || h.Fingerprint(base) == other.Fingerprint(base) {
		t.Fatal("fingerprint differs for equal requests, or does not depend on the seed")
	}
	for _, change := range []func(*Request){
		func(r *Request) { r.Method = "PUT" }, func(r *Request) { r.Host = "g" }, func(r *Request) { r.Path = "/a/b?d" },
		func(r *Request) { r.Caller = "south" }, func(r *Request) { r.Body = []byte("texts") }, func(r *Request) { r.Body = nil },
		func(r *Request) { r.Host, r.Path = "h/a", "/b?c" }, func(r *Request) { r.Caller, r.Body = "nort", []byte("htext") },
	} {
		changed := base
		change(&changed)
		if h.Fingerprint(base) == h.Fingerprint(changed) {
			t.Fatalf("%+v and %+v have the same fingerprint", changed, base)
		}
	}
	if _, err := NewHasher([]byte("short")); err == nil {
		t.Fatal("a short seed was accepted")
	}
}

// A text that can be decoded is encoded to the same text.
func FuzzFingerprintText(f *testing.F) {
	f.Add(fingerprintOf(7).String())
	f.Add("")
	f.Add("not a fingerprint at all")
	f.Fuzz(func(t *testing.T, text string) {
		var decoded Fingerprint
		if decoded.UnmarshalText([]byte(text)) != nil {
			return
		}
		redecoded := Fingerprint{}
		if err := redecoded.UnmarshalText([]byte(decoded.String())); err != nil || redecoded != decoded {
			t.Fatalf("%q decodes to %v, re-encoded to %v: %v", text, decoded, redecoded, err)
		}
	})
}

// A failed run counts once the end of its back end is confirmed, before or after the failure, and only within
// confirmationTimeout.
func TestOnlyConfirmedCrashCounts(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	if _, ok := tracker.RecordFailure(time.Second, "a", requestOnly(f)); ok || tracker.CrashCount(f) != 0 || !tracker.AwaitsConfirmation("a") {
		t.Fatal("a failed run counts without confirmation")
	}
	if _, ok := tracker.ConfirmEnd(time.Second, "b"); ok {
		t.Fatal("an incarnation without failed runs counts")
	}
	crash, ok := tracker.ConfirmEnd(2*time.Second, "a")
	if !ok || crash.Incarnation != "a" || !slices.Equal(crash.Requests, []Fingerprint{f}) ||
		tracker.CrashCount(f) != 1 || tracker.AwaitsConfirmation("a") {
		t.Fatalf("crash after confirmation: got %+v, %t", crash, ok)
	}
	if crash, ok = tracker.RecordFailure(2*time.Second, "a", requestOnly(fingerprintOf(2))); !ok || !slices.Equal(crash.Requests, []Fingerprint{fingerprintOf(2)}) {
		t.Fatalf("run that failed after the confirmation: got %+v, %t", crash, ok)
	}
	if _, ok = tracker.ConfirmEnd(2*time.Second, "a"); ok {
		t.Fatal("a confirmed end was reported twice")
	}
	tracker.RecordFailure(3*time.Second, "c", requestOnly(f))
	if _, ok = tracker.ConfirmEnd(3*time.Second+confirmationTimeout+1, "c"); ok {
		t.Fatal("a confirmation after confirmationTimeout counts")
	}
}

// Crashes right after a completion don't count, locally or if reported, and a completion releases the request.
func TestCompletionClearsRequest(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	if len(tracker.RecordCompletion(time.Second, requestOnly(f))) > 0 {
		t.Fatal("completion of a request without crashes requests a release")
	}
	tracker.RecordFailure(2*time.Second, "a", requestOnly(f))
	if _, ok := tracker.ConfirmEnd(2*time.Second, "a"); ok {
		t.Fatal("crash right after a completion counts")
	}
	update := &Update{Version: 1, Entries: []Entry{{f, []string{"a", "b", "c"}}, {fingerprintOf(2), []string{"a", "b", "c"}}}}
	if completed := tracker.ApplyUpdate(3*time.Second, update); !slices.Equal(completed, []Fingerprint{f}) ||
		tracker.CrashCount(f) != 0 || tracker.CrashCount(fingerprintOf(2)) != QuarantineThreshold {
		t.Fatalf("requests to release: got %v", completed)
	}
	if len(tracker.RecordCompletion(4*time.Second, requestOnly(fingerprintOf(2)))) == 0 || tracker.CrashCount(fingerprintOf(2)) != 0 {
		t.Fatal("completion did not release the request")
	}
	later := 4*time.Second + completionTTL + 1
	tracker.ApplyUpdate(later, update)
	if tracker.CrashCount(f) != QuarantineThreshold {
		t.Fatal("expired completion still clears the request")
	}
}

// While nothing can be sent, no request can complete. Idle time must not expire completions, or an innocent request
// that runs beside a crashing one is quarantined after an outage.
func TestCompletionOutlastsIdleTime(t *testing.T) {
	const idle = 6 * time.Second
	tracker, f := NewTracker(), fingerprintOf(1)
	tracker.RecordCompletion(time.Second, requestOnly(f))
	resumed := 2*time.Second + idle
	tracker.RecordIdle(resumed, idle)
	for _, incarnation := range []string{"a", "b", "c"} {
		tracker.RecordFailure(resumed, incarnation, requestOnly(f))
		tracker.ConfirmEnd(resumed, incarnation)
	}
	if crashes := tracker.CrashCount(f); crashes != 0 {
		t.Fatalf("%d crashes count after idle time", crashes)
	}
	later := time.Second + idle + completionTTL + 1
	tracker.RecordFailure(later, "d", requestOnly(f))
	if _, ok := tracker.ConfirmEnd(later, "d"); !ok {
		t.Fatal("completion was extended by more than the idle time")
	}
	tracker.RecordCompletion(later, requestOnly(f))
	tracker.RecordIdle(later+time.Second, time.Hour)
	if tracker.recentlyCompleted(later+time.Second+completionTTL+1, f) {
		t.Fatal("completion was extended into the future")
	}
}

// Each incarnation counts once, whether seen locally or reported, and local crashes expire.
func TestLocalCrashesAddToReportedOnes(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	for _, incarnation := range []string{"a", "b"} {
		tracker.RecordFailure(time.Second, incarnation, requestOnly(f))
		tracker.ConfirmEnd(time.Second, incarnation)
	}
	if tracker.IsEmpty() || tracker.CrashCount(f) != 2 {
		t.Fatalf("got %d crashes, want 2", tracker.CrashCount(f))
	}
	tracker.ApplyUpdate(time.Second, &Update{Version: 1, Entries: []Entry{{f, []string{"b", "c"}}}})
	if suspects, quarantined := tracker.SuspectCounts(); tracker.CrashCount(f) != 3 || suspects != 1 || quarantined != 0 {
		t.Fatalf("got %d crashes, %d suspects, %d quarantined", tracker.CrashCount(f), suspects, quarantined)
	}
	tracker.ApplyUpdate(2*time.Second, &Update{Version: 2})
	tracker.Sweep(time.Second + localTTL + 1)
	if !tracker.IsEmpty() || tracker.Version() != 2 {
		t.Fatalf("crash count is %d", tracker.CrashCount(f))
	}
}

// The state stays bounded for any number of failures and completions.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 * maxCompletions {
		tracker.RecordFailure(time.Second, fmt.Sprint("life-", n), requestOnly(fingerprintOf(n)))
		tracker.ConfirmEnd(time.Second, fmt.Sprint("life-", n))
		tracker.RecordFailure(time.Second, "one", requestOnly(fingerprintOf(n)))
		tracker.RecordCompletion(time.Second, requestOnly(fingerprintOf(3*maxCompletions+n%(maxCompletions+7))))
	}
	if len(tracker.failures) > maxFailedIncarnations || len(tracker.failures["one"].runs) > maxFailedRuns ||
		len(tracker.local) > maxLocal || len(tracker.completed.at) > maxCompletions {
		t.Fatalf("state exceeds its bounds: %d failed incarnations, %d failed runs, %d local, %d completions",
			len(tracker.failures), len(tracker.failures["one"].runs), len(tracker.local), len(tracker.completed.at))
	}
	for f, c := range tracker.completed.at {
		if tracker.completed.ring[c.slot] != f {
			t.Fatal("completion is not in its slot of the ring")
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	h, _ := NewHasher(make([]byte, SeedBytes))
	for _, size := range []int{0, 800, 30 << 10, 90 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			request := Request{Method: "POST", Host: "desk.example", Path: "/long/path/of/a/request", Caller: "north", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				h.Fingerprint(request)
			}
		})
	}
}

// Once the control plane has accepted local crashes, a release requested by another process must apply here too.
func TestReleaseElsewhereAppliesAfterAcknowledgement(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	var crashes []Crash
	for _, incarnation := range []string{"a", "b", "c"} {
		tracker.RecordFailure(time.Second, incarnation, requestOnly(f))
		crash, _ := tracker.ConfirmEnd(time.Second, incarnation)
		crashes = append(crashes, crash)
	}
	tracker.ApplyUpdate(time.Second, &Update{Version: 1})
	if tracker.CrashCount(f) != QuarantineThreshold {
		t.Fatalf("%d crashes before the acknowledgement", tracker.CrashCount(f))
	}
	tracker.Acknowledge(crashes)
	if tracker.CrashCount(f) != QuarantineThreshold {
		t.Fatalf("%d crashes before the next update", tracker.CrashCount(f))
	}
	tracker.ApplyUpdate(time.Second, &Update{Version: 3})
	if tracker.CrashCount(f) != 0 {
		t.Fatalf("%d crashes after the release", tracker.CrashCount(f))
	}
	tracker.RecordFailure(2*time.Second, "d", requestOnly(f))
	tracker.ConfirmEnd(2*time.Second, "d")
	tracker.ApplyUpdate(2*time.Second, &Update{Version: 4})
	if tracker.CrashCount(f) != 1 {
		t.Fatalf("%d crashes after another one that is not acknowledged", tracker.CrashCount(f))
	}
}
