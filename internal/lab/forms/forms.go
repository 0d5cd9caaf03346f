// Package forms checks that the JSON encoding of stored and sent types stays compatible between builds.
//
// Each type has a golden file with every field set, which reveals renamed keys. A second golden file holds the encoding
// of the build in production: the current build must decode each of its fields and preserve it when encoding again.
package forms

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	fixtureDir = "testdata/forms"
	// productionDir holds the golden files of the build in production.
	productionDir = fixtureDir + "/production"
	suffix        = ".golden"
	// maxDepth limits the nesting of recursive types.
	maxDepth = 12
	// maxInteger limits generated integers, so that they fit every integer type.
	maxInteger = 99
)

// Check compares the encoding of T with the golden file of the given name and with that of the build in production,
// which is missing if that build doesn't have the type.
func Check[T any](t *testing.T, name string) {
	t.Helper()
	var full T
	(&filler{}).fill(reflect.ValueOf(&full).Elem(), 0)
	CheckValue(t, name, &full)
}

// CheckValue is like Check for a given value, for types whose fields can't be set by reflection.
func CheckValue[T any](t *testing.T, name string, full *T) {
	t.Helper()
	text := encode(t, full)
	g := goldie.New(t, goldie.WithFixtureDir(fixtureDir), goldie.WithNameSuffix(suffix))
	g.Assert(t, name, text)
	checkRoundTrip(t, name, text, new(T))
	productionText, err := os.ReadFile(filepath.Join(productionDir, name+suffix))
	if os.IsNotExist(err) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	checkRoundTrip(t, name+" of the build in production", productionText, new(T))
}

// checkRoundTrip decodes text into a value and checks that every field is known and is encoded again unchanged.
func checkRoundTrip(t *testing.T, name string, text []byte, decoded any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(decoded); err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	var before, after any
	if err := json.Unmarshal(text, &before); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encode(t, decoded), &after); err != nil {
		t.Fatal(err)
	}
	if difference := firstDifference("", before, after); difference != "" {
		t.Errorf("%s: %s", name, difference)
	}
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// firstDifference describes a part of a JSON value that is missing or different in another one, or returns "".
// Additional map keys in other are ignored.
func firstDifference(path string, value, other any) string {
	switch typed := value.(type) {
	case map[string]any:
		otherMap, _ := other.(map[string]any)
		for key, item := range typed {
			otherItem, exists := otherMap[key]
			if !exists {
				return path + "/" + key + " is missing"
			}
			if difference := firstDifference(path+"/"+key, item, otherItem); difference != "" {
				return difference
			}
		}
		return ""
	case []any:
		otherItems, _ := other.([]any)
		if len(otherItems) != len(typed) {
			return path + " differs in length"
		}
		for i, item := range typed {
			if difference := firstDifference(fmt.Sprint(path, "/", i), item, otherItems[i]); difference != "" {
				return difference
			}
		}
		return ""
	}
	if !reflect.DeepEqual(value, other) {
		return fmt.Sprintf("%s: want %v, got %v", path, value, other)
	}
	return ""
}

// filler sets fields to distinct non-zero values.
type filler struct{ count int }

var (
	rawMessageType = reflect.TypeFor[json.RawMessage]()
)

func (f *filler) fill(value reflect.Value, depth int) {
	if !value.CanSet() || depth > maxDepth {
		return
	}
	f.count++
	if value.Type() == rawMessageType {
		value.SetBytes([]byte(fmt.Sprint(f.count)))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.count%maxInteger) + 1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.count%maxInteger) + 1)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprint("s", f.count))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem(), depth+1)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		f.fill(value.Index(0), depth+1)
	case reflect.Array:
		for i := range value.Len() {
			f.fill(value.Index(i), depth+1)
		}
	case reflect.Map:
		f.fillMap(value, depth)
	case reflect.Struct:
		f.fillStruct(value, depth)
	}
}

func (f *filler) fillMap(value reflect.Value, depth int) {
	key, item := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	f.fill(key, depth+1)
	f.fill(item, depth+1)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, item)
}

// fillStruct sets the fields that are encoded. Types with only unexported fields, such as those with their own
// marshaler, are left unchanged.
func (f *filler) fillStruct(value reflect.Value, depth int) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && field.Tag.Get("json") != "-" {
			f.fill(value.Field(i), depth+1)
		}
	}
}
