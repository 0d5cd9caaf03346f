package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// maxNodes bounds the nodes of a tree: 13 zones of 1,900 tenants each, and room for services.
const maxNodes = 100_000

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// Problem describes an invalid path, setting or value and what is allowed instead.
type Problem struct {
	Path    Path   `json:"path"`
	Setting string `json:"setting,omitempty"`
	Message string `json:"message"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Setting == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Message)
	}
	return fmt.Sprintf("%s %s: %s", p.Path, p.Setting, p.Message)
}

// checkPath returns why a path is invalid, or "".
func checkPath(path Path) string {
	elements := path.Elements()
	if len(elements) > 3 {
		return "a path has at most three elements: /zone/service/tenant"
	}
	if string(path) != "/" && path != MakePath(elements...) {
		return "a path is written /zone/service/tenant, without a slash at the end"
	}
	for _, element := range elements {
		if element != Wildcard && !namePattern.MatchString(element) {
			return fmt.Sprintf("%q is not a name: use letters, digits, dot, dash and underscore, at most 63, or * for all", element)
		}
	}
	return ""
}

// checkValue returns why a value is invalid or not allowed at a path, or "".
func checkValue(definition Definition, path Path, value any) string {
	if !slices.Contains(definition.Levels, path.Level()) {
		return fmt.Sprintf("may be set at level %s, not at %s", strings.Join(definition.Levels, ", "), path.Level())
	}
	switch typed := value.(type) {
	case int:
		return checkRange(definition, float64(typed))
	case float64:
		return checkRange(definition, typed)
	case string:
		if len(definition.Enum) > 0 && !slices.Contains(definition.Enum, typed) {
			return fmt.Sprintf("%q is not allowed; use %s", typed, definition.Range)
		}
		if len(definition.Enum) == 0 && typed != "" && !namePattern.MatchString(typed) {
			return fmt.Sprintf("%q is not a name: use letters, digits, dot, dash and underscore, at most 63", typed)
		}
	case []string:
		for _, digest := range typed {
			if !digestPattern.MatchString(digest) {
				return "each entry is the SHA-256 of a key, 64 hex digits"
			}
		}
	}
	return ""
}

func checkRange(definition Definition, value float64) string {
	if definition.bounded && (value < definition.minimum || value > definition.maximum) {
		return fmt.Sprintf("%v is out of range; allowed is %s %s", value, definition.Range, definition.Unit)
	}
	return ""
}

// Check validates the whole tree and returns all problems.
func (t Tree) Check() []Problem {
	var problems []Problem
	if len(t.Nodes) > maxNodes {
		problems = append(problems, Problem{Path: "/", Message: fmt.Sprintf("%d nodes; at most %d are allowed", len(t.Nodes), maxNodes)})
	}
	for _, path := range t.Paths() {
		if message := checkPath(path); message != "" {
			problems = append(problems, Problem{Path: path, Message: message})
			continue
		}
		problems = append(problems, checkNode(path, t.Nodes[path])...)
	}
	return append(problems, t.checkConsistency()...)
}

func checkNode(path Path, node Overrides) []Problem {
	var problems []Problem
	source := reflect.ValueOf(node)
	for _, definition := range definitions {
		pointer := source.Field(definition.field)
		if pointer.IsNil() {
			continue
		}
		if message := checkValue(definition, path, pointer.Elem().Interface()); message != "" {
			problems = append(problems, Problem{Path: path, Setting: definition.Name, Message: message})
		}
	}
	return problems
}

// checkEditedNodes validates the nodes that edits touched and the consistency of the whole tree. All other nodes were
// validated by earlier changes, so that a change to a large tree need not validate each node again.
func (t Tree) checkEditedNodes(edits []Edit) []Problem {
	if len(edits) >= len(t.Nodes) || len(t.Nodes) > maxNodes {
		return t.Check()
	}
	var problems []Problem
	seen := map[Path]bool{}
	for _, edit := range edits {
		node, exists := t.Nodes[edit.Path]
		if exists && !seen[edit.Path] {
			problems = append(problems, checkNode(edit.Path, node)...)
		}
		seen[edit.Path] = true
	}
	return append(problems, t.checkConsistency()...)
}

// checkConsistency finds problems that involve several nodes: API keys of more than one tenant and invalid
// combinations of effective values.
func (t Tree) checkConsistency() []Problem {
	var problems []Problem
	owner := map[string]string{}
	for _, path := range t.Paths() {
		elements := path.Elements()
		node := t.Nodes[path]
		if len(elements) != 3 || node.APIKeySHA256 == nil {
			continue
		}
		for _, digest := range *node.APIKeySHA256 {
			digest = strings.ToLower(digest)
			if previous, used := owner[digest]; used && previous != elements[2] {
				problems = append(problems, Problem{Path: path, Setting: "api_key_sha256", Message: "this key already belongs to tenant " + previous})
			}
			owner[digest] = elements[2]
		}
	}
	for _, service := range t.Services() {
		values := t.Resolve(Wildcard, service)
		if values.TimeWeight+values.RecomputeWeight == 0 {
			problems = append(problems, Problem{Path: MakePath(Wildcard, service), Message: "time_weight and recompute_weight must not both be 0"})
		}
		if values.Kind == "llm" && !values.Repeatable {
			problems = append(problems, Problem{Path: MakePath(Wildcard, service), Setting: "repeatable", Message: "only services of kind service may be non-repeatable"})
		}
	}
	return problems
}

// Apply returns a copy of the tree with all edits applied or, if any is invalid, the unchanged tree and the problems.
func (t Tree) Apply(edits []Edit) (Tree, []Problem) {
	next := t.Clone()
	var problems []Problem
	if len(edits) == 0 {
		return t, []Problem{{Path: "/", Message: "the change has no edits"}}
	}
	for _, edit := range edits {
		if problem := next.applyEdit(edit); problem != nil {
			problems = append(problems, *problem)
		}
	}
	if len(problems) == 0 {
		problems = next.checkEditedNodes(edits)
	}
	if len(problems) > 0 {
		return t, problems
	}
	return next, nil
}

// applyEdit applies one edit in place.
func (t Tree) applyEdit(edit Edit) *Problem {
	if message := checkPath(edit.Path); message != "" {
		return &Problem{Path: edit.Path, Message: message}
	}
	if edit.Setting == "" {
		return t.applyNodeEdit(edit)
	}
	definition, known := definitionByName[edit.Setting]
	if !known {
		return &Problem{Path: edit.Path, Setting: edit.Setting, Message: unknownSettingMessage(edit.Setting)}
	}
	value := edit.Value
	if string(value) == "null" {
		value = nil
	}
	node, err := t.Nodes[edit.Path].withSetting(definition, value)
	if err != nil {
		return &Problem{Path: edit.Path, Setting: edit.Setting, Message: fmt.Sprintf("%s is not a value of type %s", edit.Value, definition.Type)}
	}
	t.Nodes[edit.Path] = node
	return nil
}

// applyNodeEdit creates a node, or removes it with all nodes below it.
func (t Tree) applyNodeEdit(edit Edit) *Problem {
	if edit.Create {
		if _, exists := t.Nodes[edit.Path]; !exists {
			t.Nodes[edit.Path] = Overrides{}
		}
		return nil
	}
	if edit.Path == "/" {
		return &Problem{Path: edit.Path, Message: "the root cannot be removed"}
	}
	if _, exists := t.Nodes[edit.Path]; !exists {
		return &Problem{Path: edit.Path, Message: "there is no such node"}
	}
	for path := range t.Nodes {
		if path == edit.Path || strings.HasPrefix(string(path), string(edit.Path)+"/") {
			delete(t.Nodes, path)
		}
	}
	return nil
}

// unknownSettingMessage returns the message for an unknown setting, with the most similar name as a suggestion.
func unknownSettingMessage(name string) string {
	best, distance := "", len(name)
	for _, definition := range definitions {
		if d := editDistance(name, definition.Name); d < distance {
			best, distance = definition.Name, d
		}
	}
	if best != "" && distance <= 4 {
		return fmt.Sprintf("unknown setting; did you mean %s?", best)
	}
	return "unknown setting; docs/CONFIGURATION.md lists all"
}

// editDistance returns the Levenshtein distance.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// DiffEdits returns the edits that transform one tree into another.
func DiffEdits(before, after Tree) []Edit {
	var edits []Edit
	for _, path := range before.Paths() {
		if _, kept := after.Nodes[path]; !kept && (len(path.Elements()) == 1 || !ancestorRemoved(path, after)) {
			edits = append(edits, Edit{Path: path})
		}
	}
	for _, difference := range Diff(before, after) {
		if _, kept := after.Nodes[difference.Path]; !kept {
			continue
		}
		if difference.Setting == "" {
			edits = append(edits, Edit{Path: difference.Path, Create: true})
			continue
		}
		value := difference.After
		if value == nil {
			value = json.RawMessage("null")
		}
		edits = append(edits, Edit{Path: difference.Path, Setting: difference.Setting, Value: value})
	}
	return edits
}

// ancestorRemoved reports whether a node above the path is absent from after; its removal includes the path.
func ancestorRemoved(path Path, after Tree) bool {
	elements := path.Elements()
	for depth := 1; depth < len(elements); depth++ {
		if _, kept := after.Nodes[MakePath(elements[:depth]...)]; !kept {
			return true
		}
	}
	return false
}
