package catalog

import (
	"encoding/json"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestInstanceIDRoundTrip checks that ids are unique and parse back to their incarnation, whatever the backend's name
// is.
func TestInstanceIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Incarnation {
			return Incarnation{Name: rapid.StringMatching(`[a-z@0-9-]{1,6}`).Draw(t, label), StartedMS: rapid.Int64Range(0, 3).Draw(t, label+" born")}
		}
		first, second := draw("first"), draw("second")
		if got := ParseInstanceID(first.ID()); got != first {
			t.Fatalf("id of %+v is %q, which parses as %+v", first, first.ID(), got)
		}
		if first != second && first.ID() == second.ID() {
			t.Fatalf("%+v and %+v have the same id %q", first, second, first.ID())
		}
	})
}

// TestSnapshotPreservesDepartedIncarnations checks that a restored replica accepts the same incarnations, also if an
// earlier incarnation deregistered after a later one that is no longer remembered.
func TestSnapshotPreservesDepartedIncarnations(t *testing.T) {
	m := NewMachine()
	deregister := func(id string) { m.Apply(Command{Deregister: id}) }
	deregister(Incarnation{Name: "e", StartedMS: 9}.ID())
	deregister(Incarnation{Name: "e", StartedMS: 5}.ID())
	for i := range maxDepartedIDs - 1 {
		deregister(Incarnation{Name: strconv.Itoa(i), StartedMS: 1}.ID())
	}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := json.Unmarshal(data, restored); err != nil {
		t.Fatal(err)
	}
	for startedMS := int64(1); startedMS < 12; startedMS++ {
		instance := Instance{ID: Incarnation{Name: "e", StartedMS: startedMS}.ID(), Service: "s", Address: "a"}
		if m.Accepts(instance) != restored.Accepts(instance) {
			t.Errorf("incarnation started at %d: accepted %t, after restoring the snapshot %t", startedMS, m.Accepts(instance), restored.Accepts(instance))
		}
	}
}

// TestDeregisterByNameMatchesExpiredIncarnation checks that an expired instance can still deregister by name: delayed
// heartbeats of it are rejected then, and its next incarnation is accepted.
func TestDeregisterByNameMatchesExpiredIncarnation(t *testing.T) {
	for _, restored := range []bool{false, true} {
		m := NewMachine()
		current := Instance{ID: Incarnation{Name: "e", StartedMS: 5}.ID(), Service: "s", Address: "a"}
		next := Instance{ID: Incarnation{Name: "e", StartedMS: 6}.ID(), Service: "s", Address: "a"}
		m.Apply(Command{Register: &current})
		m.Apply(Command{Expire: current.ID})
		if !m.Accepts(current) {
			t.Fatal("expired instance can't register again")
		}
		if data, err := json.Marshal(m); restored && (err != nil || json.Unmarshal(data, m) != nil) {
			t.Fatal("failed to restore a snapshot")
		}
		m.Apply(Command{Deregister: "e"})
		if m.Accepts(current) || !m.Accepts(next) {
			t.Fatalf("restored %t: departed incarnation accepted: %t, next incarnation accepted: %t", restored, m.Accepts(current), m.Accepts(next))
		}
	}
}
