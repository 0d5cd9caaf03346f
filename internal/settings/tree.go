package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Wildcard is the path element that matches every zone, service or tenant.
const Wildcard = "*"

// Level names of the tree, from the root down.
const (
	LevelRoot    = "root"
	LevelZone    = "zone"
	LevelService = "service"
	LevelTenant  = "tenant"
)

var levelNames = []string{LevelRoot, LevelZone, LevelService, LevelTenant}

// Path identifies a node of the tree: "/" (the root), "/zone", "/zone/service" or "/zone/service/tenant".
// Each element may be Wildcard.
type Path string

// Elements returns the path elements below the root, nil for the root itself.
func (p Path) Elements() []string {
	trimmed := strings.Trim(string(p), "/")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "/")
}

// Level returns the name of the path's level, or "" when the path is too deep.
func (p Path) Level() string {
	depth := len(p.Elements())
	if depth >= len(levelNames) {
		return ""
	}
	return levelNames[depth]
}

// MakePath joins elements into a path.
func MakePath(elements ...string) Path { return Path("/" + strings.Join(elements, "/")) }

// Tree maps each path to the settings it overrides. A node exists when it has an entry, even an empty one.
type Tree struct {
	Nodes map[Path]Overrides `json:"nodes"`
}

// NewTree returns a tree with an empty root.
func NewTree() Tree { return Tree{Nodes: map[Path]Overrides{"/": {}}} }

// Clone returns a copy with its own map. The Overrides are shared, since they are never modified in place.
func (t Tree) Clone() Tree { return Tree{Nodes: maps.Clone(t.Nodes)} }

// Paths returns all paths, sorted.
func (t Tree) Paths() []Path { return slices.Sorted(maps.Keys(t.Nodes)) }

// Origin is an effective value and the node that set it; the path of a built-in default is OriginDefault.
type Origin struct {
	Setting string          `json:"setting"`
	Value   json.RawMessage `json:"value"`
	Path    Path            `json:"path"`
}

// OriginDefault is the Path of a value that no node of the tree sets.
const OriginDefault Path = "default"

// applicablePaths returns the paths that apply to the given zone, service and tenant, in order of increasing
// precedence: deeper paths override shallower ones and, at the same depth, names override Wildcard, compared from the
// zone down.
func applicablePaths(elements []string) []Path {
	paths := []Path{"/"}
	parents := []Path{""}
	for _, element := range elements {
		var next []Path
		for _, parent := range parents {
			next = append(next, parent+"/"+Wildcard)
		}
		if element != Wildcard {
			for _, parent := range parents {
				next = append(next, parent+"/"+Path(element))
			}
		}
		sort.SliceStable(next, func(i, j int) bool { return specificity(next[i]) < specificity(next[j]) })
		paths = append(paths, next...)
		parents = next
	}
	return paths
}

// specificity ranks paths of the same depth: a named zone outweighs a named service, which outweighs a named tenant.
func specificity(path Path) int {
	score := 0
	for _, element := range path.Elements() {
		score <<= 1
		if element != Wildcard {
			score++
		}
	}
	return score
}

// Resolve returns the effective values for a zone, service and tenant; trailing elements may be omitted.
func (t Tree) Resolve(elements ...string) Values {
	values := Defaults()
	for _, path := range applicablePaths(elements) {
		if node, found := t.Nodes[path]; found {
			node.apply(&values, nil)
		}
	}
	return values
}

// Explain returns each effective value with the node that set it.
func (t Tree) Explain(elements ...string) []Origin {
	values := Defaults()
	origin := map[string]Path{}
	for _, path := range applicablePaths(elements) {
		if node, found := t.Nodes[path]; found {
			node.apply(&values, func(name string) { origin[name] = path })
		}
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		panic("settings: encode effective values: " + err.Error())
	}
	byName := map[string]json.RawMessage{}
	if err := json.Unmarshal(encoded, &byName); err != nil {
		panic("settings: decode effective values: " + err.Error())
	}
	var origins []Origin
	for _, definition := range definitions {
		path, set := origin[definition.Name]
		if !set {
			path = OriginDefault
		}
		origins = append(origins, Origin{Setting: definition.Name, Value: byName[definition.Name], Path: path})
	}
	return origins
}

// namesAt returns the distinct names at a depth, sorted, without Wildcard.
func (t Tree) namesAt(depth int) []string {
	found := map[string]bool{}
	for path := range t.Nodes {
		elements := path.Elements()
		if len(elements) > depth && elements[depth] != Wildcard {
			found[elements[depth]] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Zones returns the zones named in the tree.
func (t Tree) Zones() []string { return t.namesAt(0) }

// Services returns the services named in the tree.
func (t Tree) Services() []string { return t.namesAt(1) }

// Tenants returns the tenants named in the tree.
func (t Tree) Tenants() []string { return t.namesAt(2) }

// APIKeys maps each key digest (lower-case hex SHA-256) to its tenant.
func (t Tree) APIKeys() map[string]string {
	keys := map[string]string{}
	for path, node := range t.Nodes {
		elements := path.Elements()
		if len(elements) != 3 || node.APIKeySHA256 == nil {
			continue
		}
		for _, digest := range *node.APIKeySHA256 {
			keys[strings.ToLower(digest)] = elements[2]
		}
	}
	return keys
}

// Edit sets or removes one setting, or creates or removes a node.
type Edit struct {
	Path    Path            `json:"path"`
	Setting string          `json:"setting,omitempty"` // empty: the edit applies to the node itself
	Value   json.RawMessage `json:"value,omitempty"`   // empty: inherit the setting again, or remove the node
	Create  bool            `json:"create,omitempty"`  // with an empty Setting: create an empty node
}

// Difference is a setting, or with an empty Setting a node, that differs between two trees.
type Difference struct {
	Path    Path            `json:"path"`
	Setting string          `json:"setting"`
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after,omitempty"`
}

// Diff returns the differences between two trees, sorted by path, then in the order of Definitions.
func Diff(before, after Tree) []Difference {
	paths := map[Path]bool{}
	for path := range before.Nodes {
		paths[path] = true
	}
	for path := range after.Nodes {
		paths[path] = true
	}
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		differences = append(differences, diffNode(path, before, after)...)
	}
	return differences
}

func diffNode(path Path, before, after Tree) []Difference {
	var differences []Difference
	_, hadNode := before.Nodes[path]
	_, hasNode := after.Nodes[path]
	if hadNode != hasNode {
		differences = append(differences, Difference{Path: path, Before: presenceMarker(hadNode), After: presenceMarker(hasNode)})
	}
	for _, definition := range definitions {
		old, hadOld := before.Nodes[path].Get(definition.Name)
		current, hasNew := after.Nodes[path].Get(definition.Name)
		if hadOld != hasNew || string(old) != string(current) {
			differences = append(differences, Difference{Path: path, Setting: definition.Name, Before: old, After: current})
		}
	}
	return differences
}

// presenceMarker represents a node in a Difference: an empty object, or nil when it does not exist.
func presenceMarker(exists bool) json.RawMessage {
	if exists {
		return json.RawMessage("{}")
	}
	return nil
}
