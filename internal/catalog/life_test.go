package catalog

import (
	"encoding/json"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestInstanceIDRoundTrip: an id leads back to its life, whatever the back end's name is, and no two lives share one.
func TestInstanceIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Incarnation {
			return Incarnation{Name: rapid.StringMatching(`[a-z@0-9-]{1,6}`).Draw(t, label), StartedMS: rapid.Int64Range(0, 3).Draw(t, label+" born")}
		}
		first, second := draw("first"), draw("second")
		if got := ParseInstanceID(first.ID()); got != first {
			t.Fatalf("%+v has the id %q, which names %+v", first, first.ID(), got)
		}
		if first != second && first.ID() == second.ID() {
			t.Fatalf("%+v and %+v have the id %q", first, second, first.ID())
		}
	})
}

// TestSnapshotPreservesDepartedIncarnations: a replica that was sent a snapshot takes the same lives as the one that wrote it, also where an earlier life
// said after a later one that it left, and the later one is remembered no more.
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
	for born := int64(1); born < 12; born++ {
		instance := Instance{ID: Incarnation{Name: "e", StartedMS: born}.ID(), Service: "s", Address: "a"}
		if m.Accepts(instance) != restored.Accepts(instance) {
			t.Errorf("a life that began at %d: taken %t, from the snapshot %t", born, m.Accepts(instance), restored.Accepts(instance))
		}
	}
}

// TestDeregisterByNameMatchesExpiredIncarnation: a back end that was silent for so long that it is registered no more may still say that it leaves, by its name
// alone. A heartbeat that it sent before, and that comes later, doesn't bring it back; its next life is taken.
func TestDeregisterByNameMatchesExpiredIncarnation(t *testing.T) {
	for _, restored := range []bool{false, true} {
		m := NewMachine()
		current := Instance{ID: Incarnation{Name: "e", StartedMS: 5}.ID(), Service: "s", Address: "a"}
		next := Instance{ID: Incarnation{Name: "e", StartedMS: 6}.ID(), Service: "s", Address: "a"}
		m.Apply(Command{Register: &current})
		m.Apply(Command{Expire: current.ID})
		if !m.Accepts(current) {
			t.Fatal("one that was silent can't register again")
		}
		if data, err := json.Marshal(m); restored && (err != nil || json.Unmarshal(data, m) != nil) {
			t.Fatal("no snapshot")
		}
		m.Apply(Command{Deregister: "e"})
		if m.Accepts(current) || !m.Accepts(next) {
			t.Fatalf("restored %t: the life that left is taken: %t, its next one: %t", restored, m.Accepts(current), m.Accepts(next))
		}
	}
}
