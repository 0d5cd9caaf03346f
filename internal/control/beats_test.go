package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

func beatOf(id string, state catalog.State, sequence uint64) Beat {
	return Beat{Instance: catalog.Instance{ID: id, Service: "s", Address: id, State: state}, Sequence: sequence}
}

// TestOnlyBeatsWithoutNewsAreGathered: registering, draining and leaving are answered by the leader, and so is everything
// while batches don't reach it.
func TestOnlyBeatsWithoutNewsAreGathered(t *testing.T) {
	c := &beatCollector{registered: map[string]time.Duration{}}
	ready, draining, leaves := beatOf("i", catalog.StateReady, 1), beatOf("i", catalog.StateDraining, 2), Beat{Instance: catalog.Instance{ID: "i"}, Leaves: true}
	if c.add(0, ready) {
		t.Fatal("the first heartbeat is gathered")
	}
	c.taken(0, ready)
	if !c.add(time.Second, ready) || len(c.batch()) != 1 || len(c.batch()) != 0 {
		t.Fatal("a heartbeat without news is not gathered once")
	}
	for name, news := range map[string]Beat{"draining": draining, "leaving": leaves} {
		c.taken(0, ready)
		if c.add(time.Second, news) || c.add(time.Second, ready) {
			t.Fatalf("%s, or a heartbeat after it, is gathered", name)
		}
		if c.taken(0, news); c.add(time.Second, ready) {
			t.Fatalf("%s counts as registered", name)
		}
	}
	c.taken(0, ready)
	if c.add(registeredFor+time.Second, ready) {
		t.Fatal("a heartbeat is gathered long after the leader took one")
	}
	c.taken(0, ready)
	if c.passed(time.Second, nil, false); c.add(time.Second, ready) {
		t.Fatal("a heartbeat is gathered while batches fail")
	}
	if c.passed(time.Second, nil, true); !c.add(time.Second, ready) {
		t.Fatal("no heartbeat is gathered after a batch has passed")
	}
}

// TestGatheredBeatsCountAsIfAlone: they keep a back end heard, bring a forgotten one back, and take back no draining.
func TestGatheredBeatsCountAsIfAlone(t *testing.T) {
	s := openFleet(t)
	s.ask(Request{Beat: &Beat{Instance: catalog.Instance{ID: "i-1", Service: "engine", Address: "i-1", State: catalog.StateDraining}, Sequence: 9}})
	s.ask(Request{Beats: []Beat{beatOf("i-1", catalog.StateReady, 10), beatOf("i-2", catalog.StateReady, uint64(s.now)), beatOf("i-3", catalog.StateReady, 1)}})
	s.pass(100 * time.Millisecond)
	instances := s.replica.Machine().Catalog().Instances()
	if instances["i-1"].State != catalog.StateDraining || instances["i-3"].State != catalog.StateReady {
		t.Fatalf("instances %+v", instances)
	}
	if heard := s.replica.lead.fleet["i-2"].heardAt; heard < s.now-time.Second {
		t.Fatalf("i-2 was heard at %v, now %v", heard, s.now)
	}
}
