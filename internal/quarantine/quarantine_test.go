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

// fingerprintOf returns a fingerprint for tests.
func fingerprintOf(number int) Fingerprint {
	return Fingerprint{byte(number), byte(number >> 8), byte(number >> 16)}
}

func crashOf(incarnation string, numbers ...int) Crash {
	crash := Crash{Incarnation: incarnation}
	for _, n := range numbers {
		crash.Requests = append(crash.Requests, fingerprintOf(n))
	}
	return crash
}

// TestCrashesAreCountedOncePerIncarnation: whatever order lives are told in, how often, and by whom, a request has as many against it as ended under it.
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
		for f, lives := range want {
			if inOrder.CrashCount(f) != len(lives) || shuffledOrder.CrashCount(f) != len(lives) {
				t.Fatalf("%v has %d and %d lives, wanted %d", f, inOrder.CrashCount(f), shuffledOrder.CrashCount(f), len(lives))
			}
		}
		if inOrder.WouldChange(Change{Crashes: crashes}) {
			t.Fatal("what is known counts as news")
		}
	})
}

// registryModel compares a ledger with the plainest account of what it was told.
type registryModel struct {
	registry     *Registry
	incarnations map[Fingerprint][]string
	seed         []byte
}

func (m *registryModel) Ended(t *rapid.T) {
	crash := crashOf(fmt.Sprint("life-", rapid.IntRange(0, 30).Draw(t, "life")), rapid.SliceOfN(rapid.IntRange(0, 9), 1, 5).Draw(t, "requests")...)
	changes := m.registry.WouldChange(Change{Crashes: []Crash{crash}})
	before, version := m.suspects(), m.registry.Version()
	m.registry.Apply(Change{Crashes: []Crash{crash}})
	changed := false
	for _, f := range crash.Requests {
		if !slices.Contains(m.incarnations[f], crash.Incarnation) && len(m.incarnations[f]) < maxIncarnations {
			m.incarnations[f] = append(m.incarnations[f], crash.Incarnation)
			changed = true
		}
	}
	if changes != changed {
		t.Fatalf("told to change: %t, changed: %t", changes, changed)
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
		t.Fatalf("restored %+v from %+v", restored.Update(), m.registry.Update())
	}
	m.registry = restored
}

// suspects returns what processes are to be suspects, by the model.
func (m *registryModel) suspects() map[Fingerprint][]string {
	told := map[Fingerprint][]string{}
	for f, lives := range m.incarnations {
		if len(lives) >= SuspectThreshold {
			told[f] = slices.Clone(lives)
		}
	}
	return told
}

// checkVersion checks that processes hear of every difference.
func (m *registryModel) checkVersion(t *rapid.T, before map[Fingerprint][]string, version uint64) {
	if !maps.EqualFunc(before, m.suspects(), slices.Equal) && m.registry.Version() <= version {
		t.Fatal("news differ under one version")
	}
}

func (m *registryModel) Check(t *rapid.T) {
	update := m.registry.Update()
	told := map[Fingerprint][]string{}
	for _, e := range update.Entries {
		told[e.Request] = e.Incarnations
	}
	if !maps.EqualFunc(told, m.suspects(), slices.Equal) || !slices.Equal(update.Seed, m.seed) {
		t.Fatalf("news %+v, wanted %v under seed %v", update, m.suspects(), m.seed)
	}
}

// TestRegistryMatchesModel: after any changes, and restored from a snapshot between them.
func TestRegistryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{registry: NewRegistry(), incarnations: map[Fingerprint][]string{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestFloodDoesNotEvictQuarantinedRequest: however many other requests are told of, one with more lives against it stays.
func TestFloodDoesNotEvictQuarantinedRequest(t *testing.T) {
	r := NewRegistry()
	for life := range QuarantineThreshold {
		r.Apply(Change{Crashes: []Crash{crashOf(fmt.Sprint("life-", life), 1)}})
	}
	for n := range 3 * maxEntries {
		r.Apply(Change{Crashes: []Crash{crashOf(fmt.Sprint("other-", n), 2+n)}})
	}
	if got := r.CrashCount(fingerprintOf(1)); got != QuarantineThreshold {
		t.Fatalf("%d lives are left", got)
	}
	if n := len(r.Fingerprints()); n != maxEntries {
		t.Fatalf("%d requests are remembered, %d are the most", n, maxEntries)
	}
	if r.CrashCount(fingerprintOf(2)) != 0 || r.CrashCount(fingerprintOf(1+3*maxEntries)) != 1 {
		t.Fatal("it is not the oldest that makes room")
	}
}

// TestFirstSeedIsKept: the first one is everybody's.
func TestFirstSeedIsKept(t *testing.T) {
	r, first := NewRegistry(), make([]byte, SeedBytes)
	first[0] = 1
	r.Apply(Change{Seed: first[:5]})
	if r.HasSeed() {
		t.Fatal("a short seed is taken")
	}
	r.Apply(Change{Seed: first})
	r.Apply(Change{Seed: make([]byte, SeedBytes)})
	if got := r.Update(); !slices.Equal(got.Seed, first) || got.Version != 1 {
		t.Fatalf("%+v", got)
	}
}

// TestFingerprintCoversRequestFields: what stays of a request makes it, and nothing else; no two requests run together into one.
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
		t.Fatal("a fingerprint depends on something else, or not on the seed")
	}
	for _, change := range []func(*Request){
		func(r *Request) { r.Method = "PUT" }, func(r *Request) { r.Host = "g" }, func(r *Request) { r.Path = "/a/b?d" },
		func(r *Request) { r.Caller = "south" }, func(r *Request) { r.Body = []byte("texts") }, func(r *Request) { r.Body = nil },
		func(r *Request) { r.Host, r.Path = "h/a", "/b?c" }, func(r *Request) { r.Caller, r.Body = "nort", []byte("htext") },
	} {
		changed := base
		change(&changed)
		if h.Fingerprint(base) == h.Fingerprint(changed) {
			t.Fatalf("%+v has the fingerprint of %+v", changed, base)
		}
	}
	if _, err := NewHasher([]byte("short")); err == nil {
		t.Fatal("a short seed is taken")
	}
}

// FuzzFingerprintText: what a reader takes is written again as it was.
func FuzzFingerprintText(f *testing.F) {
	f.Add(fingerprintOf(7).String())
	f.Add("")
	f.Add("not a fingerprint at all")
	f.Fuzz(func(t *testing.T, text string) {
		var read Fingerprint
		if read.UnmarshalText([]byte(text)) != nil {
			return
		}
		again := Fingerprint{}
		if err := again.UnmarshalText([]byte(read.String())); err != nil || again != read {
			t.Fatalf("%q becomes %v, then %v: %v", text, read, again, err)
		}
	})
}

// TestOnlyConfirmedCrashCounts: a run that broke off counts once its back end is proved to have ended, in either order and within a while.
func TestOnlyConfirmedCrashCounts(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	if _, ok := tracker.RecordFailure(time.Second, "a", f); ok || tracker.CrashCount(f) != 0 || !tracker.AwaitsConfirmation("a") {
		t.Fatal("a broken run counts without proof")
	}
	if _, ok := tracker.ConfirmEnd(time.Second, "b"); ok {
		t.Fatal("a life without broken runs counts")
	}
	crash, ok := tracker.ConfirmEnd(2*time.Second, "a")
	if !ok || crash.Incarnation != "a" || !slices.Equal(crash.Requests, []Fingerprint{f}) || tracker.CrashCount(f) != 1 || tracker.AwaitsConfirmation("a") {
		t.Fatalf("%+v, %t", crash, ok)
	}
	if crash, ok = tracker.RecordFailure(2*time.Second, "a", fingerprintOf(2)); !ok || !slices.Equal(crash.Requests, []Fingerprint{fingerprintOf(2)}) {
		t.Fatalf("a run that breaks off after the proof: %+v, %t", crash, ok)
	}
	if _, ok = tracker.ConfirmEnd(2*time.Second, "a"); ok {
		t.Fatal("a life counts twice")
	}
	tracker.RecordFailure(3*time.Second, "c", f)
	if _, ok = tracker.ConfirmEnd(3*time.Second+confirmationTimeout+1, "c"); ok {
		t.Fatal("a proof long after counts")
	}
}

// TestCompletionClearsRequest: what ended well a moment ago isn't counted, nor held back when control tells of it, and what ends well
// is released.
func TestCompletionClearsRequest(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	if tracker.RecordCompletion(time.Second, f) {
		t.Fatal("released though nothing is known of it")
	}
	tracker.RecordFailure(2*time.Second, "a", f)
	if _, ok := tracker.ConfirmEnd(2*time.Second, "a"); ok {
		t.Fatal("counted right after a good end")
	}
	update := &Update{Version: 1, Entries: []Entry{{f, []string{"a", "b", "c"}}, {fingerprintOf(2), []string{"a", "b", "c"}}}}
	if completed := tracker.ApplyUpdate(3*time.Second, update); !slices.Equal(completed, []Fingerprint{f}) || tracker.CrashCount(f) != 0 || tracker.CrashCount(fingerprintOf(2)) != QuarantineThreshold {
		t.Fatalf("%v is released", completed)
	}
	if !tracker.RecordCompletion(4*time.Second, fingerprintOf(2)) || tracker.CrashCount(fingerprintOf(2)) != 0 {
		t.Fatal("a good end releases nothing")
	}
	later := 4*time.Second + completionTTL + 1
	tracker.ApplyUpdate(later, update)
	if tracker.CrashCount(f) != QuarantineThreshold {
		t.Fatal("an old good end speaks for a request")
	}
}

// Control was away for 6 s, so nothing was sent and nothing could end well. Then three back ends ended within 50 ms under another request, and
// the one that ran beside it everywhere, and ended well every second before, was held back for 3 lives: a good end spoke for 5 s, and the time
// in which there could be none counted.
func TestCompletionOutlastsIdleTime(t *testing.T) {
	const idle = 6 * time.Second
	tracker, f := NewTracker(), fingerprintOf(1)
	tracker.RecordCompletion(time.Second, f)
	resumed := 2*time.Second + idle
	tracker.RecordIdle(resumed, idle)
	for _, incarnation := range []string{"a", "b", "c"} {
		tracker.RecordFailure(resumed, incarnation, f)
		tracker.ConfirmEnd(resumed, incarnation)
	}
	if lives := tracker.CrashCount(f); lives != 0 {
		t.Fatalf("%d lives count", lives)
	}
	later := time.Second + idle + completionTTL + 1
	tracker.RecordFailure(later, "d", f)
	if _, ok := tracker.ConfirmEnd(later, "d"); !ok {
		t.Fatal("a good end speaks longer than by the time in which nothing was sent")
	}
	tracker.RecordCompletion(later, f)
	tracker.RecordIdle(later+time.Second, time.Hour)
	if tracker.recentlyCompleted(later+time.Second+completionTTL+1, f) {
		t.Fatal("a good end lies ahead")
	}
}

// TestLocalCrashesAddToReportedOnes: each life counts once, and what control has had time to count is forgotten.
func TestLocalCrashesAddToReportedOnes(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	for _, incarnation := range []string{"a", "b"} {
		tracker.RecordFailure(time.Second, incarnation, f)
		tracker.ConfirmEnd(time.Second, incarnation)
	}
	if tracker.IsEmpty() || tracker.CrashCount(f) != 2 {
		t.Fatalf("%d lives", tracker.CrashCount(f))
	}
	tracker.ApplyUpdate(time.Second, &Update{Version: 1, Entries: []Entry{{f, []string{"b", "c"}}}})
	if suspects, quarantined := tracker.SuspectCounts(); tracker.CrashCount(f) != 3 || suspects != 1 || quarantined != 0 {
		t.Fatalf("%d lives, %d told, %d held", tracker.CrashCount(f), suspects, quarantined)
	}
	tracker.ApplyUpdate(2*time.Second, &Update{Version: 2})
	tracker.Sweep(time.Second + localTTL + 1)
	if !tracker.IsEmpty() || tracker.Version() != 2 {
		t.Fatalf("%d lives are left", tracker.CrashCount(f))
	}
}

// TestTrackerIsBounded: whatever breaks off, and however much ends well.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 * maxCompletions {
		tracker.RecordFailure(time.Second, fmt.Sprint("life-", n), fingerprintOf(n))
		tracker.ConfirmEnd(time.Second, fmt.Sprint("life-", n))
		tracker.RecordFailure(time.Second, "one", fingerprintOf(n))
		tracker.RecordCompletion(time.Second, fingerprintOf(3*maxCompletions+n%(maxCompletions+7)))
	}
	if len(tracker.failures) > maxFailedIncarnations || len(tracker.failures["one"].runs) > maxFailedRuns || len(tracker.local) > maxLocal || len(tracker.completions) > maxCompletions {
		t.Fatalf("%d breaks, %d runs, %d own, %d good ends", len(tracker.failures), len(tracker.failures["one"].runs), len(tracker.local), len(tracker.completions))
	}
	for f, c := range tracker.completions {
		if tracker.ring[c.slot] != f {
			t.Fatal("a good end is not where it says")
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

// TestReleaseElsewhereAppliesAfterAcknowledgement: a process that proved three lives itself follows control once that has taken them: a good end at another
// process released the request (simulator, seed 500910: one that was frozen while all back ends ended held a hot request back for 15 s).
func TestReleaseElsewhereAppliesAfterAcknowledgement(t *testing.T) {
	tracker, f := NewTracker(), fingerprintOf(1)
	var crashes []Crash
	for _, incarnation := range []string{"a", "b", "c"} {
		tracker.RecordFailure(time.Second, incarnation, f)
		crash, _ := tracker.ConfirmEnd(time.Second, incarnation)
		crashes = append(crashes, crash)
	}
	tracker.ApplyUpdate(time.Second, &Update{Version: 1})
	if tracker.CrashCount(f) != QuarantineThreshold {
		t.Fatalf("%d lives before control has taken them", tracker.CrashCount(f))
	}
	tracker.Acknowledge(crashes)
	if tracker.CrashCount(f) != QuarantineThreshold {
		t.Fatalf("%d lives before the news", tracker.CrashCount(f))
	}
	tracker.ApplyUpdate(time.Second, &Update{Version: 3})
	if tracker.CrashCount(f) != 0 {
		t.Fatalf("%d lives of a request that was released", tracker.CrashCount(f))
	}
	tracker.RecordFailure(2*time.Second, "d", f)
	tracker.ConfirmEnd(2*time.Second, "d")
	tracker.ApplyUpdate(2*time.Second, &Update{Version: 4})
	if tracker.CrashCount(f) != 1 {
		t.Fatalf("%d lives after one more that control hasn't taken", tracker.CrashCount(f))
	}
}
