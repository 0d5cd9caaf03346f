package control

import (
	"slices"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/quarantine"
)

var deadly, other = quarantine.Fingerprint{1}, quarantine.Fingerprint{2}

// ended tells of a life as a gateway does.
func (s *singleReplica) ended(life string, requests ...quarantine.Fingerprint) Response {
	change := quarantine.Change{Crashes: []quarantine.Crash{{Incarnation: life, Requests: requests}}}
	return s.ask(Request{Catalog: &catalog.Command{Quarantine: &change}})
}

func (s *singleReplica) ledger() *quarantine.Registry { return s.replica.machine.catalog.Quarantine() }

// TestEndedLivesAreToldToGateways: a held question is answered when a request becomes suspect, and what is known takes no entry of the log.
func TestEndedLivesAreToldToGateways(t *testing.T) {
	s := openWithEngines(t)
	first := s.watchNow("g1", RosterVersion{})
	if len(first.Quarantine.Seed) != quarantine.SeedBytes {
		t.Fatalf("no seed: %+v", first.Quarantine)
	}
	client := uint64(1000)
	s.replica.Handle(s.now, client, Request{Watch: &Watch{
		Gateway: "g1", Revision: 1, Roster: first.Version, Hold: time.Second, Quarantine: first.Quarantine.Version,
	}})
	s.ended("i-1", deadly, other)
	s.advance(100 * time.Millisecond)
	if _, answered := s.replies[client]; answered {
		t.Fatal("told of requests under which one back end ended")
	}
	s.ended("i-2", deadly)
	s.advance(100 * time.Millisecond)
	reply := s.replies[client].Watch
	if reply == nil || reply.Quarantine == nil || len(reply.Quarantine.Entries) != 1 || !slices.Equal(reply.Quarantine.Entries[0].Incarnations, []string{"i-1", "i-2"}) {
		t.Fatalf("reply %+v", reply)
	}
	before := s.replica.node.LastIndex()
	if got := s.ended("i-2", deadly); got.Kind != ResponseOK || s.replica.node.LastIndex() != before {
		t.Fatalf("%+v, %d entries for what is known", got, s.replica.node.LastIndex()-before)
	}
	if next := s.watchNow("g1", first.Version); next.Quarantine.Version <= first.Quarantine.Version {
		t.Fatalf("version %d after %d", next.Quarantine.Version, first.Quarantine.Version)
	}
}

// TestCountOutlivesTheLeader: and the loss of every process; a replica that starts from a snapshot releases as any other.
func TestCountOutlivesTheLeader(t *testing.T) {
	folder := t.TempDir()
	s := openSingleReplica(t, folder)
	seed := s.ledger().Update().Seed
	for _, life := range []string{"i-1", "i-2", "i-3"} {
		s.ended(life, deadly)
	}
	for i := range 60 { // beyond a snapshot
		s.changeQueueLimit(uint64(i), i)
	}
	_ = s.disk.Close()
	s = openSingleReplica(t, folder)
	if got := s.ledger().CrashCount(deadly); got != quarantine.QuarantineThreshold || !slices.Equal(s.ledger().Update().Seed, seed) {
		t.Fatalf("%d lives, another seed: %t", got, !slices.Equal(s.ledger().Update().Seed, seed))
	}
	s.ask(Request{Catalog: &catalog.Command{Quarantine: &quarantine.Change{Releases: []quarantine.Release{{Requests: []quarantine.Fingerprint{deadly}, Reason: quarantine.ReasonOperator}}}}})
	if got := s.ledger().CrashCount(deadly); got != 0 {
		t.Fatalf("%d lives after an operator's release", got)
	}
}

// TestOldLivesAreForgotten: what isn't held back after an hour; what is held back may be tried again after a day, and one more life holds
// it back again.
func TestOldLivesAreForgotten(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.ended("i-1", other)
	for _, life := range []string{"i-1", "i-2", "i-3"} {
		s.ended(life, deadly)
	}
	skip := func(length time.Duration) {
		s.now += length
		s.advance(3 * time.Second)
	}
	skip(suspectFor - 10*time.Second)
	if s.ledger().CrashCount(other) != 1 {
		t.Fatal("forgotten early")
	}
	skip(20 * time.Second)
	if s.ledger().CrashCount(other) != 0 || s.ledger().CrashCount(deadly) != quarantine.QuarantineThreshold {
		t.Fatalf("%d and %d lives after an hour", s.ledger().CrashCount(other), s.ledger().CrashCount(deadly))
	}
	skip(heldFor - suspectFor)
	if got := s.ledger().CrashCount(deadly); got != quarantine.QuarantineThreshold-1 {
		t.Fatalf("%d lives after a day", got)
	}
	s.ended("i-4", deadly)
	if got := s.ledger().CrashCount(deadly); got != quarantine.QuarantineThreshold {
		t.Fatalf("%d lives after one more", got)
	}
}
