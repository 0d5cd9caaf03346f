package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func raw(text string) json.RawMessage { return json.RawMessage(text) }

func newChange(base uint64, id string, edits ...Edit) Change {
	return Change{Base: base, OperationID: id, Edits: edits}
}

func setEdit(path Path, name, value string) Edit {
	return Edit{Path: path, Setting: name, Value: raw(value)}
}

func TestValuesInheritDownTheTree(t *testing.T) {
	m := NewMachine()
	outcome := m.Apply(newChange(0, "a", setEdit("/", "queue_limit", "10"), setEdit("/z1", "queue_limit", "20"), setEdit("/*/s", "queue_limit", "30"),
		setEdit("/z1/s", "queue_limit", "40")), 0)
	if outcome.Kind != OutcomeAccepted {
		t.Fatalf("outcome %+v", outcome)
	}
	for _, test := range []struct {
		elements []string
		want     int
	}{{nil, 10}, {[]string{"z2"}, 10}, {[]string{"z1"}, 20}, {[]string{"z2", "s"}, 30}, {[]string{"z1", "s"}, 40}, {[]string{"z1", "s", "t"}, 40}} {
		if got := m.Tree().Resolve(test.elements...).QueueLimit; got != test.want {
			t.Errorf("%v: queue_limit %d, want %d", test.elements, got, test.want)
		}
	}
}

func TestSecondChangeOnSameBaseVersionConflicts(t *testing.T) {
	m := NewMachine()
	m.Apply(newChange(0, "a", setEdit("/", "queue_limit", "10")), 0)
	outcome := m.Apply(newChange(0, "b", setEdit("/", "queue_limit", "20")), 0)
	if outcome.Kind != OutcomeConflict || outcome.Version != 1 || len(outcome.ChangesSinceBase) != 1 || outcome.ChangesSinceBase[0].Path != "/" {
		t.Fatalf("outcome %+v", outcome)
	}
}

func TestResentChangeGetsItsFirstOutcomeAfterRestart(t *testing.T) {
	m := NewMachine()
	first := m.Apply(newChange(0, "a", setEdit("/", "queue_limit", "10")), 0)
	m.Apply(newChange(1, "b", setEdit("/", "queue_limit", "20")), 0)
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	restarted := NewMachine()
	if err := json.Unmarshal(data, restarted); err != nil {
		t.Fatal(err)
	}
	if again := restarted.Apply(newChange(0, "a", setEdit("/", "queue_limit", "10")), 0); again.Kind != first.Kind || again.Version != first.Version {
		t.Fatalf("outcome of the resent change %+v, want %+v", again, first)
	}
	if reused := restarted.Apply(newChange(2, "a", setEdit("/", "queue_limit", "99")), 0); reused.Kind != OutcomeOperationIDReused {
		t.Fatalf("reused operation ID with other content: outcome %+v", reused)
	}
}

func TestOneInvalidEditRejectsTheWholeChange(t *testing.T) {
	m := NewMachine()
	outcome := m.Apply(newChange(0, "a", setEdit("/", "queue_limit", "10"), setEdit("/", "time_weight", "7"), setEdit("/", "no_such", "1")), 0)
	if outcome.Kind != OutcomeInvalid || len(outcome.Problems) == 0 || m.Version() != 0 || !m.Tree().Nodes["/"].Empty() {
		t.Fatalf("outcome %+v, tree %+v", outcome, m.Tree())
	}
}

// TestMachineMatchesModel compares versions, outcomes and values with a plain map, over changes, resends and restarts.
func TestMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, wantLimits := NewMachine(), map[Path]int{}
		var version uint64
		outcomes := map[string]Outcome{}
		changes := []Change{}
		path := rapid.SampledFrom([]Path{"/", "/z1", "/z2", "/z1/s", "/*/s"})
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				nodePath, value := path.Draw(t, "path"), rapid.IntRange(-5, 50).Draw(t, "value")
				base := version - min(version, uint64(rapid.IntRange(0, 2).Draw(t, "behind")))
				c := newChange(base, fmt.Sprint(len(changes)), setEdit(nodePath, "queue_limit", fmt.Sprint(value)))
				changes = append(changes, c)
				outcome := m.Apply(c, 0)
				outcomes[c.OperationID] = outcome
				switch {
				case base != version:
					expectOutcome(t, outcome, OutcomeConflict, version)
				case value < 0:
					expectOutcome(t, outcome, OutcomeInvalid, version)
				default:
					version++
					wantLimits[nodePath] = value
					expectOutcome(t, outcome, OutcomeAccepted, version)
				}
			},
			"resend": func(t *rapid.T) {
				if len(changes) == 0 {
					t.Skip("no change to resend")
				}
				c := rapid.SampledFrom(changes).Draw(t, "change")
				first := outcomes[c.OperationID]
				expectOutcome(t, m.Apply(c, 0), first.Kind, first.Version)
			},
			"restart": func(t *rapid.T) {
				data, err := json.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				m = NewMachine()
				if err := json.Unmarshal(data, m); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				got := map[Path]int{}
				for path, node := range m.Tree().Nodes {
					if node.QueueLimit != nil {
						got[path] = *node.QueueLimit
					}
				}
				if !maps.Equal(got, wantLimits) {
					t.Fatalf("tree %v, want %v", got, wantLimits)
				}
			},
		})
	})
}

func expectOutcome(t *rapid.T, outcome Outcome, kind OutcomeKind, version uint64) {
	if outcome.Kind != kind || outcome.Version != version {
		t.Fatalf("outcome %s at version %d, want %s at version %d", outcome.Kind, outcome.Version, kind, version)
	}
}

// TestEditsSinceReproduceTheCurrentTree checks that EditsSince, applied to the tree of an older version, yields the
// current tree.
func TestEditsSinceReproduceTheCurrentTree(t *testing.T) {
	m := NewMachine()
	trees := []Tree{m.Tree()}
	for i := range 30 {
		m.Apply(newChange(uint64(i), fmt.Sprint(i), setEdit(Path(fmt.Sprintf("/z%d", i%4)), "queue_limit", fmt.Sprint(i))), 0)
		trees = append(trees, m.Tree())
	}
	for base, tree := range trees {
		edits, ok := m.EditsSince(uint64(base))
		if !ok {
			t.Fatalf("version %d: edits not available", base)
		}
		if base == len(trees)-1 {
			continue
		}
		next, problems := tree.Apply(edits)
		if len(problems) > 0 || len(Diff(next, m.Tree())) > 0 {
			t.Fatalf("edits since version %d: problems %v, remaining differences %v", base, problems, Diff(next, m.Tree()))
		}
	}
}

func TestDiffEditsTransformOneTreeIntoTheOther(t *testing.T) {
	kigaliTree, nilewashTree := readConfig(t, "kigali"), readConfig(t, "nilewash")
	for _, pair := range [][2]Tree{{kigaliTree, nilewashTree}, {nilewashTree, kigaliTree}, {NewTree(), kigaliTree}, {kigaliTree, NewTree()}} {
		next, problems := pair[0].Apply(DiffEdits(pair[0], pair[1]))
		if len(problems) > 0 || len(Diff(next, pair[1])) > 0 {
			t.Fatalf("problems %v, remaining differences %v", problems, Diff(next, pair[1]))
		}
	}
}

func readConfig(t *testing.T, name string) Tree {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "configs", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	tree, problems := ParseFile(data)
	if len(problems) > 0 {
		t.Fatalf("%s: %v", name, problems)
	}
	return tree
}

const fileWithThreeProblems = `settings:
  time_weight: 7
  queue_limits: 5
zones:
  z1:
    services:
      s:
        settings:
          kind: modell
`

func TestParseFileReportsAllProblems(t *testing.T) {
	_, problems := ParseFile([]byte(fileWithThreeProblems))
	var messages []string
	for _, problem := range problems {
		messages = append(messages, problem.String())
	}
	all := strings.Join(messages, "\n")
	for _, want := range []string{"line 2", "time_weight", "0 to 1", "line 3", "did you mean queue_limit", "line 9", "llm | service"} {
		if !strings.Contains(all, want) {
			t.Errorf("problems do not contain %q:\n%s", want, all)
		}
	}
	if len(problems) != 3 {
		t.Errorf("%d problems, want 3:\n%s", len(problems), all)
	}
}

// FuzzParseFile checks that no input makes ParseFile panic and that each tree it accepts passes Check.
func FuzzParseFile(f *testing.F) {
	f.Add([]byte(fileWithThreeProblems))
	f.Add([]byte("settings: {queue_limit: 3}\n"))
	f.Add([]byte("zones: {'*': {services: {s: {tenants: {t: {}}}}}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, problems := ParseFile(data)
		if len(problems) == 0 && len(tree.Check()) > 0 {
			t.Fatalf("accepted tree fails Check: %v", tree.Check())
		}
	})
}

// TestAcceptedTreesPassFullCheck checks that Apply, which validates only the edited nodes, accepts no tree that Check
// rejects.
func TestAcceptedTreesPassFullCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := NewTree()
		path := rapid.SampledFrom([]Path{"/", "/z", "/z/s", "/*/s", "/z/s/t", "/*/s/u", "bad path", "/z/s/t/x"})
		setting := rapid.SampledFrom([]string{"queue_limit", "time_weight", "recompute_weight", "kind", "repeatable", "api_key_sha256", "none"})
		value := rapid.SampledFrom([]string{"0", "5", "-1", `"llm"`, `"service"`, "false", `["` + strings.Repeat("a", 64) + `"]`, "null", "{"})
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			var edits []Edit
			for range rapid.IntRange(1, 3).Draw(t, "edits") {
				edits = append(edits, Edit{Path: path.Draw(t, "path"), Setting: setting.Draw(t, "setting"), Value: raw(value.Draw(t, "value"))})
			}
			next, problems := tree.Apply(edits)
			if len(problems) > 0 {
				continue
			}
			if found := next.Check(); len(found) > 0 {
				t.Fatalf("tree accepted after %+v fails Check: %v", edits, found)
			}
			tree = next
		}
	})
}
