package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceModel is a minimal model of the guarantees to operators and backends.
type referenceModel struct {
	revision uint64
	content  string
	departed map[string]bool // deregistered
	draining map[string]bool
	versions map[string]uint64
	fence    uint64
}

// TestMachineMatchesReferenceModel applies random commands, including outdated and repeated ones, and restores
// snapshots.
func TestMachineMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := NewMachine()
		expected := &referenceModel{departed: map[string]bool{}, draining: map[string]bool{}, versions: map[string]uint64{}}
		instance := func() string { return fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "instance")) }
		t.Repeat(map[string]func(*rapid.T){
			"replace": func(t *rapid.T) {
				revision := rapid.Uint64Range(1, 9).Draw(t, "revision")
				content := rapid.StringMatching("[a-c]").Draw(t, "content")
				machine.Apply(Command{Replace: &Document{Revision: revision, Source: json.RawMessage(`"` + content + `"`)}})
				if revision > expected.revision {
					expected.revision, expected.content = revision, content
				}
			},
			"register": func(t *rapid.T) {
				id := instance()
				machine.Apply(Command{Register: &Instance{ID: id, Address: "a" + id, State: StateReady}})
			},
			"take over an address": func(t *rapid.T) {
				id, other := instance(), instance()
				machine.Apply(Command{Register: &Instance{ID: id, Address: "a" + other, State: StateReady}})
			},
			"drain": func(t *rapid.T) {
				id := instance()
				if _, known := machine.Instances()[id]; known {
					expected.draining[id] = true
				}
				machine.Apply(Command{Drain: id})
			},
			"remove": func(t *rapid.T) {
				id := instance()
				machine.Apply(Command{Deregister: id})
				expected.departed[id] = true
			},
			"forget": func(t *rapid.T) {
				id := instance()
				machine.Apply(Command{Expire: id})
				delete(expected.draining, id)
			},
			"version": func(t *rapid.T) {
				version := rapid.Uint64Range(1, 9).Draw(t, "version")
				machine.Apply(Command{PublishWeights: &WeightsVersion{Model: "m", Version: version}})
				expected.versions["m"] = max(expected.versions["m"], version)
			},
			"fence": func(t *rapid.T) {
				fence := machine.Apply(Command{Fence: true}).Fence
				if fence <= expected.fence {
					t.Fatalf("got fencing token %d after %d", fence, expected.fence)
				}
				expected.fence = fence
			},
			"snapshot": func(t *rapid.T) {
				data, err := json.Marshal(machine)
				if err != nil {
					t.Fatal(err)
				}
				restored := NewMachine()
				if err := json.Unmarshal(data, restored); err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(restored.instances, machine.instances) || !reflect.DeepEqual(restored.departed, machine.departed) {
					t.Fatalf("restored %+v, want %+v", restored, machine)
				}
				machine = restored
			},
			"": func(t *rapid.T) { expected.check(t, machine) },
		})
	})
}

func (r *referenceModel) check(t *rapid.T, machine *Machine) {
	if machine.Document().Revision != r.revision || strings.Trim(string(machine.Document().Source), `"`) != r.content {
		t.Fatalf("document %+v, want revision %d with content %q", machine.Document(), r.revision, r.content)
	}
	if machine.LatestVersions()["m"] != r.versions["m"] {
		t.Fatalf("latest version %d, want %d", machine.LatestVersions()["m"], r.versions["m"])
	}
	addresses := map[string]string{}
	for id, instance := range machine.Instances() {
		if r.departed[id] {
			t.Fatalf("%s is registered after it was deregistered", id)
		}
		if other, taken := addresses[instance.Address]; taken {
			t.Fatalf("%s and %s are registered at the same address", id, other)
		}
		addresses[instance.Address] = id
	}
}

// validDocument returns a document without problems.
func validDocument() Document {
	return Document{
		Revision: 1, Services: []Service{{Name: "s"}},
		Routes:  []Route{{Name: "r", Host: "h", PathPrefix: "/a/", Timeout: time.Second, Targets: []Target{{Service: "s", Weight: 1}}}},
		Tenants: []Tenant{{Name: "t", Keys: []string{"k"}}},
	}
}

// TestValidateReportsEachProblem checks that each problem is reported with its location.
func TestValidateReportsEachProblem(t *testing.T) {
	valid := validDocument()
	if problems := valid.Validate(); len(problems) > 0 {
		t.Fatalf("problems of a valid document: %v", problems)
	}
	faults := map[string]func(*Document){
		"document: revision must":                func(d *Document) { d.Revision = 0 },
		`route "r": refers to unknown`:           func(d *Document) { d.Routes[0].Targets[0].Service = "x" },
		`route "r2": has the same host and path`: func(d *Document) { d.Routes = append(d.Routes, d.Routes[0]); d.Routes[1].Name = "r2" },
		`route "r": target weights sum to 0`:     func(d *Document) { d.Routes[0].Targets[0].Weight = 0 },
		`route "r": has a negative weight`:       func(d *Document) { d.Routes[0].Targets[0].Weight = -1 },
		`route "r": timeout must`:                func(d *Document) { d.Routes[0].Timeout = 0 },
		`route "r": needs a host`:                func(d *Document) { d.Routes[0].PathPrefix = "/a" },
		`tenant "u": shares an API key with`:     func(d *Document) { d.Tenants = append(d.Tenants, Tenant{Name: "u", Keys: []string{"k"}}) },
		`service "s": is defined more than once`: func(d *Document) { d.Services = append(d.Services, d.Services[0]) },
	}
	for want, corrupt := range faults {
		document := validDocument()
		corrupt(&document)
		problems := document.Validate()
		found := false
		for _, problem := range problems {
			found = found || strings.HasPrefix(problem.String(), want)
		}
		if !found {
			t.Errorf("no problem with prefix %q in %v", want, problems)
		}
	}
}
