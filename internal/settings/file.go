package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// FileProblem is a problem in a settings file with its line number.
type FileProblem struct {
	Line int
	Problem
}

// String returns "line N: path setting: message".
func (p FileProblem) String() string { return fmt.Sprintf("line %d: %s", p.Line, p.Problem) }

// childKeys are the keys that hold the child nodes, by the depth of the parent; tenants have none.
var childKeys = []string{"zones", "services", "tenants", ""}

const settingsKey = "settings"

// simulationKey is the top-level section that describes simulated engines and load; ParseFile skips it.
const simulationKey = "lab"

// fileReader collects the tree and all problems of a file.
type fileReader struct {
	tree     Tree
	lines    map[Path]int // line on which each node starts
	problems []FileProblem
}

// ParseFile parses the YAML form of a tree and returns all problems it finds, sorted by line.
func ParseFile(data []byte) (Tree, []FileProblem) {
	reader := &fileReader{tree: NewTree(), lines: map[Path]int{"/": 1}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return reader.tree, []FileProblem{{Line: syntaxLine(err), Problem: Problem{Path: "/", Message: "not valid YAML: " + firstLine(err.Error())}}}
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return reader.tree, []FileProblem{{Line: 1, Problem: Problem{Path: "/", Message: "the file is empty"}}}
	}
	reader.readNode(file.Docs[0].Body, nil)
	if len(reader.problems) == 0 {
		for _, problem := range reader.tree.checkConsistency() {
			reader.problems = append(reader.problems, FileProblem{Line: reader.lines[problem.Path], Problem: problem})
		}
	}
	sort.SliceStable(reader.problems, func(i, j int) bool { return reader.problems[i].Line < reader.problems[j].Line })
	return reader.tree, reader.problems
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// syntaxLine extracts the line number from a YAML syntax error.
func syntaxLine(err error) int {
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "[%d:", &line); scanErr != nil {
		return 1
	}
	return line
}

func (r *fileReader) addProblem(node ast.Node, path Path, setting, message string) {
	line := 1
	if token := node.GetToken(); token != nil {
		line = token.Position.Line
	}
	r.problems = append(r.problems, FileProblem{Line: line, Problem: Problem{Path: path, Setting: setting, Message: message}})
}

// mappingEntries returns the key-value pairs of a mapping, or nil for an empty value.
func (r *fileReader) mappingEntries(node ast.Node, path Path) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	case *ast.NullNode:
		return nil
	}
	r.addProblem(node, path, "", "a mapping is expected here")
	return nil
}

func (r *fileReader) readNode(node ast.Node, elements []string) {
	path := MakePath(elements...)
	if _, exists := r.tree.Nodes[path]; !exists {
		r.tree.Nodes[path] = Overrides{}
	}
	if token := node.GetToken(); token != nil {
		r.lines[path] = token.Position.Line
	}
	children := childKeys[len(elements)]
	for _, member := range r.mappingEntries(node, path) {
		key := keyText(member.Key)
		switch {
		case key == settingsKey:
			r.readSettings(member.Value, path)
		case key == children && children != "":
			r.readChildren(member.Value, elements)
		case key == simulationKey && len(elements) == 0:
			// parsed by package lab/plan
		default:
			r.addProblem(member.Key, path, key, fmt.Sprintf("unknown key; allowed here: %s", describeAllowedKeys(children)))
		}
	}
}

func describeAllowedKeys(children string) string {
	if children == "" {
		return settingsKey
	}
	return settingsKey + ", " + children
}

func keyText(key ast.MapKeyNode) string { return strings.Trim(key.String(), `"'`) }

func (r *fileReader) readChildren(node ast.Node, elements []string) {
	for _, member := range r.mappingEntries(node, MakePath(elements...)) {
		child := append(append([]string(nil), elements...), keyText(member.Key))
		if message := checkPath(MakePath(child...)); message != "" {
			r.addProblem(member.Key, MakePath(child...), "", message)
			continue
		}
		r.readNode(member.Value, child)
	}
}

func (r *fileReader) readSettings(node ast.Node, path Path) {
	for _, member := range r.mappingEntries(node, path) {
		name := keyText(member.Key)
		definition, known := definitionByName[name]
		if !known {
			r.addProblem(member.Key, path, name, unknownSettingMessage(name))
			continue
		}
		r.readValue(member, path, definition)
	}
}

func (r *fileReader) readValue(member *ast.MappingValueNode, path Path, definition Definition) {
	var value any
	if err := yaml.NodeToValue(member.Value, &value); err != nil {
		r.addProblem(member.Key, path, definition.Name, firstLine(err.Error()))
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		r.addProblem(member.Key, path, definition.Name, "the value cannot be represented as JSON")
		return
	}
	next, err := r.tree.Nodes[path].withSetting(definition, bytes.TrimSpace(data))
	if err != nil {
		r.addProblem(member.Key, path, definition.Name, fmt.Sprintf("%s is not a value of type %s", data, definition.Type))
		return
	}
	// Only the new value is checked, so that a problem is reported on its own line.
	single, _ := Overrides{}.withSetting(definition, data)
	if problems := checkNode(path, single); len(problems) > 0 {
		r.addProblem(member.Key, path, definition.Name, problems[0].Message)
		return
	}
	r.tree.Nodes[path] = next
}
