package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testHasher(t testing.TB) *Hasher {
	t.Helper()
	h, err := NewHasher(make([]byte, SeedBytes))
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// The fingerprint of a part depends on its ID and the seed only, and is told from that of a request.
func TestPartFingerprints(t *testing.T) {
	h := testHasher(t)
	other, err := NewHasher(append(make([]byte, SeedBytes-1), 1))
	if err != nil {
		t.Fatal(err)
	}
	first, again := h.Part("a"), h.Part("a")
	if first != again || first == h.Part("b") || first == other.Part("a") {
		t.Error("a part's fingerprint must depend on its ID and the seed")
	}
	if !first.IsPart() || h.Fingerprint(Request{Path: "a"}).IsPart() {
		t.Error("parts must be told from requests")
	}
	text, _ := first.MarshalText()
	var decoded Fingerprint
	if err := decoded.UnmarshalText(text); err != nil || decoded != first {
		t.Errorf("decoded %v, %v", decoded, err)
	}
}

// partCase is a tracker whose requests have the parts of their names, and crash back ends one after the other.
type partCase struct {
	*Tracker
	h       *Hasher
	now     time.Duration
	crashes int
}

func newPartCase(t testing.TB) *partCase {
	return &partCase{Tracker: NewTracker(), h: testHasher(t), now: time.Minute}
}

// subject returns a request, unlike all others, with the given shared parts.
func (c *partCase) subject(parts ...string) Subject {
	c.crashes++
	s := Subject{Request: fingerprintOf(c.crashes)}
	for _, part := range parts {
		s.Parts = append(s.Parts, c.h.Part(part))
	}
	return s
}

// crash ends a back end on which requests with the given parts run.
func (c *partCase) crash(runs ...[]string) {
	incarnation := fmt.Sprint("life-", c.crashes)
	for _, parts := range runs {
		c.RecordFailure(c.now, incarnation, c.subject(parts...))
	}
	c.ConfirmEnd(c.now, incarnation)
}

// TestOnlyTheFatalPartIsQuarantined: the root and the other parts of the fatal requests, and requests that ran beside
// them, stay free.
func TestOnlyTheFatalPartIsQuarantined(t *testing.T) {
	c := newPartCase(t)
	beside := []string{"elsewhere"}
	for round := range PartQuarantineThreshold {
		if c.IsQuarantined(c.subject("root", "fatal")) {
			t.Fatalf("quarantined after %d crashes", round)
		}
		fatal := []string{"root", "fatal", fmt.Sprint("good-", round%2)}
		if round < 3 {
			c.crash(fatal, beside)
		} else {
			c.crash(fatal)
		}
	}
	if !c.IsQuarantined(c.subject("root", "fatal")) {
		t.Error("a request with the fatal part is not quarantined")
	}
	c.RecordCompletion(c.now, c.subject("root", "good-0"))
	for _, parts := range [][]string{{"root"}, {"root", "good-0"}, {"root", "good-1"}, beside, nil} {
		if s := c.subject(parts...); c.IsQuarantined(s) || c.IsSuspect(s) {
			t.Errorf("a request with parts %v is suspected", parts)
		}
	}
	if !c.IsQuarantined(c.subject("other root", "fatal", "good-0")) {
		t.Error("a request with the fatal part and another root is not quarantined")
	}
	if f, crashes := c.Explain(c.subject("root", "fatal")); f != c.h.Part("fatal") || crashes != PartQuarantineThreshold {
		t.Errorf("explained by %v with %d crashes", f, crashes)
	}
}

// TestPartsWithTheSameCrashesAreQuarantinedTogether: while nothing tells which of two parts is fatal, only requests with
// both are held back; the next crash tells.
func TestPartsWithTheSameCrashesAreQuarantinedTogether(t *testing.T) {
	c := newPartCase(t)
	for range PartQuarantineThreshold {
		c.crash([]string{"root", "fatal"})
	}
	if !c.IsQuarantined(c.subject("root", "fatal")) || c.IsQuarantined(c.subject("root", "sound")) || c.IsQuarantined(c.subject("other", "fatal")) {
		t.Fatal("want requests with both parts to be quarantined, and no others")
	}
	c.crash([]string{"other", "fatal"})
	if !c.IsQuarantined(c.subject("third", "fatal")) || c.IsQuarantined(c.subject("root", "sound")) {
		t.Fatal("want requests with the fatal part to be quarantined, and no others")
	}
}

// TestFatalRootIsQuarantined: the part that crashes back ends may be the root of all.
func TestFatalRootIsQuarantined(t *testing.T) {
	c := newPartCase(t)
	for round := range PartQuarantineThreshold {
		c.crash([]string{"root", fmt.Sprint("child-", round)})
	}
	if !c.IsQuarantined(c.subject("root", "new child")) || c.IsQuarantined(c.subject("child-0")) {
		t.Fatal("want requests with the root to be quarantined, and no others")
	}
}

// TestPartThatCompletesIsNotQuarantined: crashes of all back ends together leave parts free that completed shortly before.
func TestPartThatCompletesIsNotQuarantined(t *testing.T) {
	c := newPartCase(t)
	c.RecordCompletion(c.now, c.subject("root", "subject"))
	c.now += partCompletionTTL
	for range 2 * PartQuarantineThreshold {
		c.crash([]string{"root", "subject"})
	}
	if c.IsQuarantined(c.subject("root", "subject")) {
		t.Fatal("quarantined although it completed")
	}
	c.now++
	for range PartQuarantineThreshold {
		c.crash([]string{"root", "subject"})
	}
	if !c.IsQuarantined(c.subject("root", "subject")) {
		t.Fatal("not quarantined long after the last completion")
	}
	if released := c.RecordCompletion(c.now, c.subject("root", "subject")); len(released) != 2 || c.IsQuarantined(c.subject("root", "subject")) {
		t.Fatalf("a completion releases %d parts", len(released))
	}
}

// TestFatalPartIsFoundAmongOthers: whatever else ran on the back ends that a part crashed, requests with the part are
// quarantined soon, and those without it are not, as long as each other part completes now and then.
func TestFatalPartIsFoundAmongOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newPartCase(t)
		names := []string{"root", "a", "b", "c"}
		draw := func(label string) []string {
			parts := []string{"root"}
			for _, name := range names[1:] {
				if rapid.Bool().Draw(rt, label+name) {
					parts = append(parts, name)
				}
			}
			return parts
		}
		for crash := range maxIncarnations {
			fatal := slices.Insert(draw("with"), rapid.IntRange(0, 1).Draw(rt, "at"), "fatal")
			runs := [][]string{fatal}
			for i := range rapid.IntRange(0, 3).Draw(rt, "beside") {
				runs = append(runs, draw(fmt.Sprint("beside", i)))
			}
			c.crash(runs...)
			c.now += partCompletionTTL + 1
			c.RecordCompletion(c.now, c.subject(names...))
			c.now += partCompletionTTL + 1
			if crash+1 >= PartQuarantineThreshold && !c.IsQuarantined(c.subject("root", "fatal")) {
				rt.Fatalf("not quarantined after %d crashes", crash+1)
			}
			if c.IsQuarantined(c.subject(names...)) {
				rt.Fatalf("other parts are quarantined after %d crashes", crash+1)
			}
		}
	})
}

// TestJudgedPartsAreBounded: the number of parts that are compared is bounded, and those with the most crashes count.
func TestJudgedPartsAreBounded(t *testing.T) {
	h := testHasher(t)
	evidence := map[Fingerprint][]string{h.Part("fatal"): {"1", "2", "3", "4"}}
	for n := range 3 * maxJudgedParts {
		evidence[h.Part(fmt.Sprint(n))] = []string{fmt.Sprint("x", n), fmt.Sprint("y", n), fmt.Sprint("z", n)}
	}
	groups := judgeParts(evidence)
	if len(groups) != maxJudgedParts || groups[0].parts[0] != h.Part("fatal") {
		t.Fatalf("%d groups, the first of %d crashes", len(groups), len(groups[0].incarnations))
	}
}

func BenchmarkJudgeParts(b *testing.B) {
	h := testHasher(b)
	evidence := map[Fingerprint][]string{}
	for n := range maxJudgedParts {
		var incarnations []string
		for i := range maxIncarnations {
			incarnations = append(incarnations, fmt.Sprint("life-", n+i))
		}
		evidence[h.Part(fmt.Sprint(n))] = incarnations
	}
	for b.Loop() {
		judgeParts(evidence)
	}
}

func BenchmarkPart(b *testing.B) {
	h := testHasher(b)
	for b.Loop() {
		h.Part("5c1e07a2")
	}
}

// TestPartsAreListedLaterThanRequests: crashes of many back ends at once, each under requests with common parts, change
// what processes are told only once a part has PartSuspectThreshold of them. The version that replicas store counts them
// like requests, as builds without parts do.
func TestPartsAreListedLaterThanRequests(t *testing.T) {
	part, request := testHasher(t).Part("root"), fingerprintOf(1)
	registry := NewRegistry()
	crash := func(incarnation string, f Fingerprint) {
		registry.Apply(Change{Crashes: []Crash{{Incarnation: incarnation, Requests: []Fingerprint{f}}}})
	}
	crash("a", part)
	crash("b", part)
	if registry.Version() != 0 || registry.version != 1 || len(registry.Update().Entries) > 0 {
		t.Fatalf("two crashes under a part: version %d, stored %d, %d entries", registry.Version(), registry.version, len(registry.Update().Entries))
	}
	crash("c", part)
	if registry.Version() != 2 || len(registry.Update().Entries) != 1 {
		t.Fatalf("three crashes under a part: version %d, %d entries", registry.Version(), len(registry.Update().Entries))
	}
	crash("a", request)
	crash("b", request)
	if registry.Version() != 3 || len(registry.Update().Entries) != 2 {
		t.Fatalf("two crashes under a request: version %d, %d entries", registry.Version(), len(registry.Update().Entries))
	}
	registry.Apply(Change{Releases: []Release{{Requests: []Fingerprint{part}, Reason: ReasonCompleted}}})
	if registry.Version() != 4 || len(registry.Update().Entries) != 1 {
		t.Fatalf("after a release: version %d, %d entries", registry.Version(), len(registry.Update().Entries))
	}
}
