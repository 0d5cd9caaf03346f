package control

import (
	"slices"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/quarantine"
)

var crashing, other = quarantine.Fingerprint{1}, quarantine.Fingerprint{2}

// reportCrash tells of a life as a gateway does.
func (s *singleReplica) reportCrash(incarnation string, requests ...quarantine.Fingerprint) Response {
	change := quarantine.Change{Crashes: []quarantine.Crash{{Incarnation: incarnation, Requests: requests}}}
	return s.ask(Request{Catalog: &catalog.Command{Quarantine: &change}})
}

func (s *singleReplica) quarantineRegistry() *quarantine.Registry {
	return s.replica.machine.catalog.Quarantine()
}

// TestCrashesAreReportedToGateways: a held question is answered when a request becomes suspect, and what is known takes no entry of the log.
func TestCrashesAreReportedToGateways(t *testing.T) {
	s := openWithEngines(t)
	first := s.watchNow("g1", RosterVersion{})
	if len(first.Quarantine.Seed) != quarantine.SeedBytes {
		t.Fatalf("no seed: %+v", first.Quarantine)
	}
	client := uint64(1000)
	s.replica.Handle(s.now, client, Request{Watch: &Watch{
		Gateway: "g1", Revision: 1, Roster: first.Version, Hold: time.Second, Quarantine: first.Quarantine.Version,
	}})
	s.reportCrash("i-1", crashing, other)
	s.advance(100 * time.Millisecond)
	if _, answered := s.replies[client]; answered {
		t.Fatal("told of requests under which one back end ended")
	}
	s.reportCrash("i-2", crashing)
	s.advance(100 * time.Millisecond)
	reply := s.replies[client].Watch
	if reply == nil || reply.Quarantine == nil || len(reply.Quarantine.Entries) != 1 || !slices.Equal(reply.Quarantine.Entries[0].Incarnations, []string{"i-1", "i-2"}) {
		t.Fatalf("reply %+v", reply)
	}
	before := s.replica.node.LastIndex()
	if got := s.reportCrash("i-2", crashing); got.Kind != ResponseOK || s.replica.node.LastIndex() != before {
		t.Fatalf("%+v, %d entries for what is known", got, s.replica.node.LastIndex()-before)
	}
	if next := s.watchNow("g1", first.Version); next.Quarantine.Version <= first.Quarantine.Version {
		t.Fatalf("version %d after %d", next.Quarantine.Version, first.Quarantine.Version)
	}
}

// TestCrashCountsSurviveRestart: and the loss of every process; a replica that starts from a snapshot releases as any other.
func TestCrashCountsSurviveRestart(t *testing.T) {
	folder := t.TempDir()
	s := openSingleReplica(t, folder)
	seed := s.quarantineRegistry().Update().Seed
	for _, incarnation := range []string{"i-1", "i-2", "i-3"} {
		s.reportCrash(incarnation, crashing)
	}
	for i := range 60 { // beyond a snapshot
		s.changeQueueLimit(uint64(i), i)
	}
	_ = s.disk.Close()
	s = openSingleReplica(t, folder)
	if got := s.quarantineRegistry().CrashCount(crashing); got != quarantine.QuarantineThreshold || !slices.Equal(s.quarantineRegistry().Update().Seed, seed) {
		t.Fatalf("%d lives, another seed: %t", got, !slices.Equal(s.quarantineRegistry().Update().Seed, seed))
	}
	s.ask(Request{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Releases: []quarantine.Release{{Requests: []quarantine.Fingerprint{crashing}, Reason: quarantine.ReasonOperator}}}}})
	if got := s.quarantineRegistry().CrashCount(crashing); got != 0 {
		t.Fatalf("%d lives after an operator's release", got)
	}
}

// TestCrashCountsExpire: what isn't held back after an hour; what is held back may be tried again after a day, and one more life holds
// it back again.
func TestCrashCountsExpire(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.reportCrash("i-1", other)
	for _, incarnation := range []string{"i-1", "i-2", "i-3"} {
		s.reportCrash(incarnation, crashing)
	}
	skip := func(length time.Duration) {
		s.now += length
		s.advance(3 * time.Second)
	}
	skip(suspectTTL - 10*time.Second)
	if s.quarantineRegistry().CrashCount(other) != 1 {
		t.Fatal("forgotten early")
	}
	skip(20 * time.Second)
	if s.quarantineRegistry().CrashCount(other) != 0 || s.quarantineRegistry().CrashCount(crashing) != quarantine.QuarantineThreshold {
		t.Fatalf("%d and %d lives after an hour", s.quarantineRegistry().CrashCount(other), s.quarantineRegistry().CrashCount(crashing))
	}
	skip(quarantineTTL - suspectTTL)
	if got := s.quarantineRegistry().CrashCount(crashing); got != quarantine.QuarantineThreshold-1 {
		t.Fatalf("%d lives after a day", got)
	}
	s.reportCrash("i-4", crashing)
	if got := s.quarantineRegistry().CrashCount(crashing); got != quarantine.QuarantineThreshold {
		t.Fatalf("%d lives after one more", got)
	}
}
