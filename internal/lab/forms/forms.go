// Package forms checks that what builds write for each other stays readable.
//
// Each form that is stored or sent has a golden file with every field set, which shows a change of any name, and one of the build in production beside
// it: this build must know each of its fields, and keep it when it writes the form again.
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
	// productionDir is where the forms lie that the build in productionDir writes.
	productionDir = fixtureDir + "/production"
	suffix        = ".golden"
	// maxDepth bounds how deep values are filled that hold others of their own type.
	maxDepth = 12
	// maxInteger bounds whole numbers, so that they fit every kind of them.
	maxInteger = 99
)

// Check checks the form of a type under a name. The file of the build in production may be missing: it didn't know the form then.
func Check[T any](t *testing.T, name string) {
	t.Helper()
	var full T
	(&filler{}).fill(reflect.ValueOf(&full).Elem(), 0)
	CheckValue(t, name, &full)
}

// CheckValue is Check of a value that was made otherwise, since its fields can't be set from outside.
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

// checkRoundTrip reads a form and checks that every field of it is checkRoundTrip and written again.
func checkRoundTrip(t *testing.T, name string, text []byte, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	var before, after any
	if err := json.Unmarshal(text, &before); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encode(t, into), &after); err != nil {
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

// firstDifference returns what of a JSON value another one lacks, or "".
func firstDifference(path string, value, other any) string {
	switch typed := value.(type) {
	case map[string]any:
		otherMap, _ := other.(map[string]any)
		for key, item := range typed {
			otherItem, exists := otherMap[key]
			if !exists {
				return path + "/" + key + " is lost"
			}
			if difference := firstDifference(path+"/"+key, item, otherItem); difference != "" {
				return difference
			}
		}
		return ""
	case []any:
		otherItems, _ := other.([]any)
		if len(otherItems) != len(typed) {
			return path + " has another length"
		}
		for i, item := range typed {
			if difference := firstDifference(fmt.Sprint(path, "/", i), item, otherItems[i]); difference != "" {
				return difference
			}
		}
		return ""
	}
	if !reflect.DeepEqual(value, other) {
		return fmt.Sprintf("%s was %v and is %v", path, value, other)
	}
	return ""
}

// filler sets values, each another one.
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

// fillStruct sets the fields that are written. A type that writes itself and has nothing to set from outside stays as it is.
func (f *filler) fillStruct(value reflect.Value, depth int) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && field.Tag.Get("json") != "-" {
			f.fill(value.Field(i), depth+1)
		}
	}
}
