package catalog

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// drawInstance draws an instance from a small set of incarnations and addresses, so that they often collide.
func drawInstance(t *rapid.T) Instance {
	incarnation := Incarnation{Name: rapid.SampledFrom([]string{"e", "f"}).Draw(t, "name"), StartedMS: rapid.Int64Range(0, 3).Draw(t, "born")}
	return Instance{
		ID: incarnation.ID(), Service: rapid.SampledFrom([]string{"s", "r"}).Draw(t, "service"),
		Address: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"),
		State:   rapid.SampledFrom([]State{StateReady, StateDraining}).Draw(t, "state"),
	}
}

// TestOneIncarnationPerBackendAndAddress checks, for random commands, that at most one incarnation per name and one
// instance per address is registered, that departed incarnations stay rejected, and that a snapshot preserves this.
func TestOneIncarnationPerBackendAndAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		departed, contested := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			instance := drawInstance(t)
			switch rapid.SampledFrom([]string{"register", "join", "drain", "forget", "leave", "leave by name", "contested leave", "reinstate", "order"}).Draw(t, "command") {
			case "register":
				m.Apply(Command{Register: &instance})
			case "join":
				m.Apply(Command{RegisterBatch: []Instance{instance, drawInstance(t)}})
			case "drain":
				m.Apply(Command{Drain: instance.ID})
			case "forget":
				m.Apply(Command{Expire: instance.ID})
			case "leave":
				id := m.ResolveInstanceID(instance.ID)
				departed[id], contested[id] = true, false
				m.Apply(Command{Deregister: instance.ID})
			case "leave by name":
				id := m.ResolveInstanceID(ParseInstanceID(instance.ID).Name)
				departed[id], contested[id] = true, false
				m.Apply(Command{Deregister: ParseInstanceID(instance.ID).Name})
			case "contested leave":
				id := m.ResolveInstanceID(ParseInstanceID(instance.ID).Name)
				contested[id] = ParseInstanceID(id).StartedMS > 0 && (contested[id] || !departed[id])
				departed[id] = true
				m.Apply(Command{Deregister: ParseInstanceID(instance.ID).Name, Contested: true})
			case "reinstate":
				if contested[instance.ID] {
					departed[instance.ID], contested[instance.ID] = false, false
				}
				m.Apply(Command{Reinstate: &instance})
			case "order":
				m.Apply(Command{WeightsOrderTargets: []string{instance.ID}})
			}
			checkInvariants(t, m, departed)
			for id, expected := range contested {
				if m.IsContested(id) != expected {
					t.Fatalf("%s: contested %t, want %t", id, m.IsContested(id), expected)
				}
			}
		}
	})
}

func checkInvariants(t *rapid.T, m *Machine, departed map[string]bool) {
	names, addresses := map[string]string{}, map[string]string{}
	for id, instance := range m.Instances() {
		name := ParseInstanceID(id).Name
		if other, taken := names[name]; taken {
			t.Fatalf("%s and %s are registered with the same name", id, other)
		}
		if other, taken := addresses[instance.Address]; taken {
			t.Fatalf("%s and %s are both registered at %s", id, other, instance.Address)
		}
		names[name], addresses[instance.Address] = id, id
		if at, _ := m.InstanceAt(instance.Address); at.ID != id {
			t.Fatalf("%s is registered at %s, but InstanceAt returns %q", id, instance.Address, at.ID)
		}
		if named, _ := m.InstanceByName(name); named.ID != id {
			t.Fatalf("%s is registered, but InstanceByName returns %q", id, named.ID)
		}
		if departed[id] {
			t.Fatalf("%s is registered after it was deregistered", id)
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
		for startedMS := range int64(4) {
			instance := Instance{ID: Incarnation{Name: name, StartedMS: startedMS}.ID(), Service: "s"}
			if m.IsContested(instance.ID) != restored.IsContested(instance.ID) {
				t.Fatalf("%s: contested %t; differs after restoring the snapshot", instance.ID, m.IsContested(instance.ID))
			}
			if m.Accepts(instance) != restored.Accepts(instance) || m.MayHaveWeightsOrder(instance.ID) != restored.MayHaveWeightsOrder(instance.ID) {
				t.Fatalf("%s: accepted %t, may have weights order %t; differs after restoring the snapshot", instance.ID, m.Accepts(instance), m.MayHaveWeightsOrder(instance.ID))
			}
		}
	}
}
