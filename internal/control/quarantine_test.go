package control

import (
	"slices"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/quarantine"
)

var crashingRequest, otherRequest = quarantine.Fingerprint{1}, quarantine.Fingerprint{2}

// reportCrash reports the crash of an incarnation during the given requests, as a gateway does.
func (s *singleReplica) reportCrash(incarnation string, requests ...quarantine.Fingerprint) Response {
	change := quarantine.Change{Crashes: []quarantine.Crash{{Incarnation: incarnation, Requests: requests}}}
	return s.ask(Request{Catalog: &catalog.Command{Quarantine: &change}})
}

func (s *singleReplica) quarantineRegistry() *quarantine.Registry {
	return s.replica.machine.catalog.Quarantine()
}

// TestCrashesAreReportedToGateways checks that a held watch is answered when a request becomes suspect, and that a
// known crash adds no log entry.
func TestCrashesAreReportedToGateways(t *testing.T) {
	s := openWithEngines(t)
	first := s.watchNow("g1", RosterVersion{})
	if len(first.Quarantine.Seed) != quarantine.SeedBytes {
		t.Fatalf("no seed in %+v", first.Quarantine)
	}
	client := uint64(1000)
	s.replica.Handle(s.now, client, Request{Watch: &Watch{
		Gateway: "g1", Revision: 1, Roster: first.Version, Hold: time.Second, Quarantine: first.Quarantine.Version,
	}})
	s.reportCrash("i-1", crashingRequest, otherRequest)
	s.advance(100 * time.Millisecond)
	if _, answered := s.replies[client]; answered {
		t.Fatal("a watch was answered after a single crash")
	}
	s.reportCrash("i-2", crashingRequest)
	s.advance(100 * time.Millisecond)
	reply := s.replies[client].Watch
	if reply == nil || reply.Quarantine == nil || len(reply.Quarantine.Entries) != 1 || !slices.Equal(reply.Quarantine.Entries[0].Incarnations, []string{"i-1", "i-2"}) {
		t.Fatalf("reply %+v, want one entry with the crashes of i-1 and i-2", reply)
	}
	before := s.replica.node.LastIndex()
	if got := s.reportCrash("i-2", crashingRequest); got.Kind != ResponseOK || s.replica.node.LastIndex() != before {
		t.Fatalf("response %+v and %d log entries for a known crash", got, s.replica.node.LastIndex()-before)
	}
	if next := s.watchNow("g1", first.Version); next.Quarantine.Version <= first.Quarantine.Version {
		t.Fatalf("quarantine version %d, want more than %d", next.Quarantine.Version, first.Quarantine.Version)
	}
}

// TestCrashCountsSurviveRestart includes the restart from a snapshot, after which an operator can still release a
// request.
func TestCrashCountsSurviveRestart(t *testing.T) {
	folder := t.TempDir()
	s := openSingleReplica(t, folder)
	seed := s.quarantineRegistry().Update().Seed
	for _, incarnation := range []string{"i-1", "i-2", "i-3"} {
		s.reportCrash(incarnation, crashingRequest)
	}
	for i := range 60 { // enough entries for a snapshot
		s.changeQueueLimit(uint64(i), i)
	}
	_ = s.disk.Close()
	s = openSingleReplica(t, folder)
	if got := s.quarantineRegistry().CrashCount(crashingRequest); got != quarantine.QuarantineThreshold || !slices.Equal(s.quarantineRegistry().Update().Seed, seed) {
		t.Fatalf("%d crashes, seed changed: %t", got, !slices.Equal(s.quarantineRegistry().Update().Seed, seed))
	}
	s.ask(Request{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Releases: []quarantine.Release{{Requests: []quarantine.Fingerprint{crashingRequest}, Reason: quarantine.ReasonOperator}}}}})
	if got := s.quarantineRegistry().CrashCount(crashingRequest); got != 0 {
		t.Fatalf("%d crashes after an operator's release, want 0", got)
	}
}

// TestCrashCountsExpire checks that the crashes of a suspect expire after suspectTTL, and that a quarantined request
// may run again after quarantineTTL until one further crash.
func TestCrashCountsExpire(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.reportCrash("i-1", otherRequest)
	for _, incarnation := range []string{"i-1", "i-2", "i-3"} {
		s.reportCrash(incarnation, crashingRequest)
	}
	skipTime := func(duration time.Duration) {
		s.now += duration
		s.advance(3 * time.Second)
	}
	skipTime(suspectTTL - 10*time.Second)
	if s.quarantineRegistry().CrashCount(otherRequest) != 1 {
		t.Fatal("the crash of a suspect expired early")
	}
	skipTime(20 * time.Second)
	if s.quarantineRegistry().CrashCount(otherRequest) != 0 || s.quarantineRegistry().CrashCount(crashingRequest) != quarantine.QuarantineThreshold {
		t.Fatalf("%d crashes of the suspect and %d of the quarantined request after an hour", s.quarantineRegistry().CrashCount(otherRequest), s.quarantineRegistry().CrashCount(crashingRequest))
	}
	skipTime(quarantineTTL - suspectTTL)
	if got := s.quarantineRegistry().CrashCount(crashingRequest); got != quarantine.QuarantineThreshold-1 {
		t.Fatalf("%d crashes after a day", got)
	}
	s.reportCrash("i-4", crashingRequest)
	if got := s.quarantineRegistry().CrashCount(crashingRequest); got != quarantine.QuarantineThreshold {
		t.Fatalf("%d crashes after one more", got)
	}
}

// TestQuarantinedPartExpires: requests with a quarantined part of a prompt may run again after partQuarantineTTL, until
// one further crash.
func TestQuarantinedPartExpires(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	hasher, err := quarantine.NewHasher(s.quarantineRegistry().Update().Seed)
	if err != nil {
		t.Fatal(err)
	}
	part := hasher.Part("fatal")
	for _, incarnation := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.reportCrash(incarnation, part)
	}
	s.now += partQuarantineTTL - 10*time.Second
	s.advance(3 * time.Second)
	if got := quarantine.QuarantinedEntries(s.quarantineRegistry().Update().Entries); len(got) != 1 || got[0].Request != part {
		t.Fatalf("quarantined before the TTL has passed: %+v", got)
	}
	s.now += 20 * time.Second
	s.advance(3 * time.Second)
	if got := s.quarantineRegistry().CrashCount(part); got != quarantine.PartQuarantineThreshold-1 {
		t.Fatalf("%d crashes after the TTL", got)
	}
	s.reportCrash("i-5", part)
	if got := quarantine.QuarantinedEntries(s.quarantineRegistry().Update().Entries); len(got) != 1 {
		t.Fatalf("quarantined after one more crash: %+v", got)
	}
}
