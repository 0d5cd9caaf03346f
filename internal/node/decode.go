// Package node contains what the processes of the system share: the settings file of routers and control replicas, the
// log and the metrics endpoint. A settings file is validated as a whole before its process starts; all problems are
// reported together, each with its line, its path and the allowed values.
package node

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one error in a settings file.
type Problem struct {
	Line    int
	Path    string
	Message string
}

// String returns "line N: path: message".
func (p Problem) String() string { return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message) }

// decoder decodes YAML into typed structs and collects all problems instead of stopping at the first.
type decoder struct {
	problems []Problem
	lines    map[string]int // line number by path
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode decodes YAML into target, a pointer to a struct with yaml tags, and returns all problems. Unknown keys are
// problems too. The second result maps each path to its line number, for later checks.
func Decode(data []byte, target any) ([]Problem, map[string]int) {
	d := &decoder{lines: map[string]int{}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		message, _, _ := strings.Cut(err.Error(), "\n")
		return []Problem{{Line: 1, Path: "file", Message: "not valid YAML: " + message}}, d.lines
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return []Problem{{Line: 1, Path: "file", Message: "the file is empty"}}, d.lines
	}
	d.decodeValue(file.Docs[0].Body, reflect.ValueOf(target).Elem(), "")
	return d.problems, d.lines
}

func (d *decoder) addProblem(node ast.Node, path, message string) {
	if path == "" {
		path = "file"
	}
	d.problems = append(d.problems, Problem{Line: lineOf(node), Path: path, Message: message})
}

func lineOf(node ast.Node) int {
	if token := node.GetToken(); token != nil {
		return token.Position.Line
	}
	return 1
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *decoder) decodeValue(node ast.Node, target reflect.Value, path string) {
	if _, empty := node.(*ast.NullNode); empty {
		return
	}
	switch {
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(node, target.Elem(), path)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(node, target, path)
	case target.Kind() == reflect.Map:
		d.decodeMap(node, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(node, target, path)
	default:
		d.decodeScalar(node, target, path)
	}
}

// mappingEntries returns the entries of a mapping. The parser represents a mapping of one entry by the entry itself.
func (d *decoder) mappingEntries(node ast.Node, path string) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	}
	d.addProblem(node, path, "expected a mapping of keys to values")
	return nil
}

func (d *decoder) decodeStruct(node ast.Node, target reflect.Value, path string) {
	fieldIndexes := map[string]int{}
	var allowedKeys []string
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fieldIndexes[name] = i
			allowedKeys = append(allowedKeys, name)
		}
	}
	sort.Strings(allowedKeys)
	for _, entry := range d.mappingEntries(node, path) {
		key := strings.Trim(entry.Key.String(), `"'`)
		entryPath := joinPath(path, key)
		d.lines[entryPath] = lineOf(entry.Key)
		index, known := fieldIndexes[key]
		if !known {
			d.addProblem(entry.Key, entryPath, "unknown key; allowed here: "+strings.Join(allowedKeys, ", "))
			continue
		}
		d.decodeValue(entry.Value, target.Field(index), entryPath)
	}
}

func (d *decoder) decodeMap(node ast.Node, target reflect.Value, path string) {
	target.Set(reflect.MakeMap(target.Type()))
	for _, entry := range d.mappingEntries(node, path) {
		key := strings.Trim(entry.Key.String(), `"'`)
		entryPath := joinPath(path, key)
		d.lines[entryPath] = lineOf(entry.Key)
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(entry.Value, element, entryPath)
		target.SetMapIndex(reflect.ValueOf(key), element)
	}
}

func (d *decoder) decodeSlice(node ast.Node, target reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addProblem(node, path, "expected a list")
		return
	}
	for i, item := range list.Values {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		d.lines[itemPath] = lineOf(item)
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(item, element, itemPath)
		target.Set(reflect.Append(target, element))
	}
}

func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, path string) {
	if target.Type() == durationType {
		d.decodeDuration(node, target, path)
		return
	}
	pointer := reflect.New(target.Type())
	if err := yaml.NodeToValue(node, pointer.Interface()); err != nil {
		d.addProblem(node, path, fmt.Sprintf("%s is not a value of type %s", node.String(), target.Type()))
		return
	}
	target.Set(pointer.Elem())
}

func (d *decoder) decodeDuration(node ast.Node, target reflect.Value, path string) {
	text := strings.Trim(node.String(), `"'`)
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		d.addProblem(node, path, fmt.Sprintf("%s is not a duration; write a number and a unit, like 250ms or 3s", text))
		return
	}
	target.SetInt(int64(parsed))
}
