package catalog

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestWithdrawnTenantSharesNoEpoch guards against prompts that a tenant cached while it shared and that others use after
// it became isolated. The namespace of shared prompts is the epoch; replicas that apply the same documents agree on it,
// whichever of them restored a snapshot in between.
func TestWithdrawnTenantSharesNoEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := NewMachine(), NewMachine()
		storedIn := map[string]map[uint64]bool{} // epochs in which a tenant may have stored shared prompts
		used, latest := map[uint64]bool{}, uint64(0)
		for revision := uint64(1); revision <= 30; revision += uint64(rapid.IntRange(1, 3).Draw(t, "step")) {
			document := Document{Revision: revision}
			for _, name := range []string{"a", "b", "c"} {
				switch rapid.SampledFrom([]string{"shares", "isolated", "absent"}).Draw(t, name) {
				case "shares":
					document.Tenants = append(document.Tenants, Tenant{Name: name})
				case "isolated":
					document.Tenants = append(document.Tenants, Tenant{Name: name, Isolated: true})
				}
			}
			m.Apply(Command{Replace: &document})
			restored.Apply(Command{Replace: &document})
			epoch := m.Document().SharingEpoch
			for _, tenant := range document.Tenants {
				if tenant.Isolated && storedIn[tenant.Name][epoch] {
					t.Fatalf("revision %d: %s is isolated, and may have stored shared prompts in epoch %d", revision, tenant.Name, epoch)
				}
			}
			for _, tenant := range document.Tenants {
				if !tenant.Isolated {
					if storedIn[tenant.Name] == nil {
						storedIn[tenant.Name] = map[uint64]bool{}
					}
					storedIn[tenant.Name][epoch] = true
				}
			}
			if epoch != latest && used[epoch] || epoch < latest {
				t.Fatalf("revision %d: epoch %d follows %d, and was used before: %t", revision, epoch, latest, used[epoch])
			}
			used[epoch], latest = true, epoch
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := json.Marshal(restored)
				if err != nil || json.Unmarshal(data, restored) != nil {
					t.Fatal("failed to restore a snapshot")
				}
			}
			if other := restored.Document().SharingEpoch; other != epoch {
				t.Fatalf("revision %d: epoch %d, after restoring snapshots %d", revision, epoch, other)
			}
		}
	})
}

// TestSharingEpochChangesOnlyOnWithdrawal guards against parts of prompts that are prefilled again although nobody was
// withdrawn.
func TestSharingEpochChangesOnlyOnWithdrawal(t *testing.T) {
	m := NewMachine()
	revision := uint64(0)
	put := func(tenants ...Tenant) uint64 {
		revision++
		m.Apply(Command{Replace: &Document{Revision: revision, Tenants: tenants}})
		return m.Document().SharingEpoch
	}
	shares := func(name string) Tenant { return Tenant{Name: name} }
	isolated := func(name string) Tenant { return Tenant{Name: name, Isolated: true} }
	for _, step := range []struct {
		name    string
		tenants []Tenant
		begins  bool
	}{
		{"first document", []Tenant{shares("a"), isolated("b")}, false},
		{"same tenants", []Tenant{shares("a"), isolated("b")}, false},
		{"tenant added", []Tenant{shares("a"), isolated("b"), shares("c"), isolated("d")}, false},
		{"tenant removed", []Tenant{isolated("b"), shares("c")}, false},
		{"removed tenant returns isolated", []Tenant{isolated("a"), isolated("b"), shares("c")}, true},
		{"isolated tenant shares", []Tenant{isolated("a"), shares("b"), shares("c")}, false},
		{"two are isolated at once", []Tenant{isolated("a"), isolated("b"), isolated("c")}, true},
		{"nothing changes", []Tenant{isolated("a"), isolated("b"), isolated("c")}, false},
	} {
		before := m.Document().SharingEpoch
		if epoch := put(step.tenants...); (epoch == revision) != step.begins || !step.begins && epoch != before {
			t.Fatalf("%s: epoch %d after %d at revision %d, want a new one: %t", step.name, epoch, before, revision, step.begins)
		}
	}
	if old := m.Apply(Command{Replace: &Document{Revision: 2, Tenants: []Tenant{shares("a")}}}); old.Revision != revision || m.sharing.sharers["a"] {
		t.Fatal("a superseded document changed who shares")
	}
}

// TestSharingEpochSurvivesSnapshotOfOlderBuild guards against a return to an epoch that was used before: older builds
// write snapshots without one.
func TestSharingEpochSurvivesSnapshotOfOlderBuild(t *testing.T) {
	m := NewMachine()
	for revision, isolated := range []bool{false, true} {
		m.Apply(Command{Replace: &Document{Revision: uint64(revision + 1), Tenants: []Tenant{{Name: "a", Isolated: isolated}, {Name: "b"}}}})
	}
	older := fmt.Sprintf(`{"document": {"revision": %d, "tenants": [{"name": "a", "isolated": true}, {"name": "b"}]}}`, 2)
	restored := m.Blank()
	if err := json.Unmarshal([]byte(older), restored); err != nil {
		t.Fatal(err)
	}
	if restored.Document().SharingEpoch != 2 || !restored.sharing.sharers["b"] || restored.sharing.sharers["a"] {
		t.Fatalf("epoch %d, shared by %v", restored.Document().SharingEpoch, restored.sharing.sharers)
	}
}
