package catalog

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// drawInstance draws one of few lives of few back ends, at one of few addresses.
func drawInstance(t *rapid.T) Instance {
	incarnation := Incarnation{Name: rapid.SampledFrom([]string{"e", "f"}).Draw(t, "name"), StartedMS: rapid.Int64Range(0, 3).Draw(t, "born")}
	return Instance{
		ID: incarnation.ID(), Service: rapid.SampledFrom([]string{"s", "r"}).Draw(t, "service"),
		Address: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"),
		State:   rapid.SampledFrom([]State{StateReady, StateDraining}).Draw(t, "state"),
	}
}

// TestOneIncarnationPerBackendAndAddress: whatever comes in whatever order, one life of a name is registered at most, one instance at an address; a life
// that left is taken no more; and a replica that was sent a snapshot takes the same ones as its writer.
func TestOneIncarnationPerBackendAndAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		departed := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			instance := drawInstance(t)
			switch rapid.SampledFrom([]string{"register", "join", "drain", "forget", "leave", "leave by name", "order"}).Draw(t, "command") {
			case "register":
				m.Apply(Command{Register: &instance})
			case "join":
				m.Apply(Command{RegisterBatch: []Instance{instance, drawInstance(t)}})
			case "drain":
				m.Apply(Command{Drain: instance.ID})
			case "forget":
				m.Apply(Command{Expire: instance.ID})
			case "leave":
				departed[instance.ID] = ParseInstanceID(instance.ID).StartedMS > 0 || departed[instance.ID]
				m.Apply(Command{Deregister: instance.ID})
			case "leave by name":
				if current, known := m.InstanceByName(ParseInstanceID(instance.ID).Name); known {
					departed[current.ID] = true
				}
				m.Apply(Command{Deregister: ParseInstanceID(instance.ID).Name})
			case "order":
				m.Apply(Command{WeightsCommandTargets: []string{instance.ID}})
			}
			checkInvariants(t, m, departed)
		}
	})
}

func checkInvariants(t *rapid.T, m *Machine, departed map[string]bool) {
	names, addresses := map[string]string{}, map[string]string{}
	for id, instance := range m.Instances() {
		name := ParseInstanceID(id).Name
		if other, taken := names[name]; taken {
			t.Fatalf("%s and %s are registered", id, other)
		}
		if other, taken := addresses[instance.Address]; taken {
			t.Fatalf("%s and %s stand at %s", id, other, instance.Address)
		}
		names[name], addresses[instance.Address] = id, id
		if at, _ := m.InstanceAt(instance.Address); at.ID != id {
			t.Fatalf("%s stands at %s, where %q is known", id, instance.Address, at.ID)
		}
		if named, _ := m.InstanceByName(name); named.ID != id {
			t.Fatalf("%s is registered, and named %q", id, named.ID)
		}
		if departed[id] {
			t.Fatalf("%s is registered after it left", id)
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := json.Unmarshal(data, restored); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"e", "f"} {
		for born := range int64(4) {
			instance := Instance{ID: Incarnation{Name: name, StartedMS: born}.ID(), Service: "s"}
			if m.Accepts(instance) != restored.Accepts(instance) || m.MayHaveWeightsCommand(instance.ID) != restored.MayHaveWeightsCommand(instance.ID) {
				t.Fatalf("%s: taken %t, ordered %t, and otherwise from the snapshot", instance.ID, m.Accepts(instance), m.MayHaveWeightsCommand(instance.ID))
			}
		}
	}
}
