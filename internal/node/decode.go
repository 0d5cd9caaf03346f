// Package node reads the file that tells a process its name, zone, addresses and data folder. The file is
// checked whole before anything starts: every fault is named with its path, line and what is allowed.
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

// Problem is one thing that is wrong with a file.
type Problem struct {
	Line    int
	Path    string
	Message string
}

// String returns "line N: path: message".
func (f Problem) String() string { return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message) }

// decoder fills typed structs from YAML and collects every fault.
type decoder struct {
	problems []Problem
	lines    map[string]int
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode fills target, a pointer to a struct with yaml tags, and returns all faults. Keys that the struct
// does not have are faults. The second result maps each path to its line, for later checks.
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

func (d *decoder) mappingEntries(node ast.Node, path string) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	}
	d.addProblem(node, path, "a mapping of keys to values is expected here")
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
	for _, member := range d.mappingEntries(node, path) {
		key := strings.Trim(member.Key.String(), `"'`)
		at := joinPath(path, key)
		d.lines[at] = lineOf(member.Key)
		index, known := fieldIndexes[key]
		if !known {
			d.addProblem(member.Key, at, "unknown key; allowed here: "+strings.Join(allowedKeys, ", "))
			continue
		}
		d.decodeValue(member.Value, target.Field(index), at)
	}
}

func (d *decoder) decodeMap(node ast.Node, target reflect.Value, path string) {
	target.Set(reflect.MakeMap(target.Type()))
	for _, member := range d.mappingEntries(node, path) {
		key := strings.Trim(member.Key.String(), `"'`)
		at := joinPath(path, key)
		d.lines[at] = lineOf(member.Key)
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(member.Value, element, at)
		target.SetMapIndex(reflect.ValueOf(key), element)
	}
}

func (d *decoder) decodeSlice(node ast.Node, target reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addProblem(node, path, "a list is expected here")
		return
	}
	for i, item := range list.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = lineOf(item)
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(item, element, at)
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
