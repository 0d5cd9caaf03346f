package unsynced

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// put writes a file, whose contents reach the operating system.
func put(t rapid.TB, files *FileSystem, path, text string) {
	t.Helper()
	f, err := files.Open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(f, text); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// contents returns the contents of the files in a folder by name.
func contents(t rapid.TB, files *FileSystem, folder string) map[string]string {
	t.Helper()
	names, err := files.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for _, name := range names {
		f, err := files.Open(filepath.Join(folder, name), os.O_RDONLY)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(f)
		if err != nil {
			t.Fatal(err)
		}
		_ = f.Close()
		all[name] = string(data)
	}
	return all
}

// TestUnsyncedNamesFareEachByItself compares a folder with a model. After a loss of power each name is as it was when the folder was
// last synced, or as some later change left it.
func TestUnsyncedNamesFareEachByItself(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "names")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		lost := rapid.IntRange(0, 2).Draw(t, "chance")
		open := func() *FileSystem {
			return NewLosingNames(func() bool { return lost == 2 || lost == 1 && rapid.Bool().Draw(t, "lost") })
		}
		files, current, synced, count := open(), map[string]string{}, map[string]string{}, 0
		since := map[string][]string{} // what each name has held since the folder was synced; "" for nothing
		note := func(name string) { since[name] = append(since[name], current[name]) }
		draw := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "name") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if held := contents(t, files, folder); !maps.Equal(held, current) {
					t.Fatalf("folder holds %v, want %v", held, current)
				}
			},
			"create": func(t *rapid.T) {
				name := draw(t)
				if _, exists := current[name]; exists {
					t.Skip("contents are replaced at once")
				}
				count++
				current[name] = string(rune('A'+count%26)) + string(rune('a'+count/26%26))
				note(name)
				put(t, files, filepath.Join(folder, name), current[name])
			},
			"rename": func(t *rapid.T) {
				from, to := draw(t), draw(t)
				if from == to {
					t.Skip("no change")
				}
				err := files.Rename(filepath.Join(folder, from), filepath.Join(folder, to))
				if _, exists := current[from]; !exists {
					if !errors.Is(err, fs.ErrNotExist) {
						t.Fatalf("rename of a file that does not exist: error %v", err)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				current[to] = current[from]
				delete(current, from)
				note(to)
				note(from)
			},
			"remove": func(t *rapid.T) {
				name := draw(t)
				if _, exists := current[name]; exists {
					if err := files.Remove(filepath.Join(folder, name)); err != nil {
						t.Fatal(err)
					}
					delete(current, name)
					note(name)
				}
			},
			"sync": func(t *rapid.T) {
				if err := files.SyncDir(folder); err != nil {
					t.Fatal(err)
				}
				synced = maps.Clone(current)
				clear(since)
			},
			"settle": func(t *rapid.T) {
				if err := files.Settle(); err != nil {
					t.Fatal(err)
				}
				files = open()
				synced = maps.Clone(current)
				clear(since)
			},
			"lose power": func(t *rapid.T) {
				files = open()
				held := contents(t, files, folder)
				for _, name := range names {
					if held[name] != synced[name] && !slices.Contains(since[name], held[name]) {
						t.Fatalf("%s holds %q after a loss of power, want %q or one of %q", name, held[name], synced[name], since[name])
					}
				}
				if lost == 2 && !maps.Equal(held, synced) {
					t.Fatalf("%v after a loss of power, want what was synced, %v", held, synced)
				}
				current, synced = held, maps.Clone(held)
				clear(since)
			},
		})
	})
}

// TestUnsyncedFolderTakesItsFilesAlong guards against a folder that lasts although its parent was not synced.
func TestUnsyncedFolderTakesItsFilesAlong(t *testing.T) {
	always := func() bool { return true }
	for _, syncsParent := range []bool{false, true} {
		root := t.TempDir()
		folder := filepath.Join(root, "data", "log")
		files := NewLosingNames(always)
		if err := files.MkdirAll(folder); err != nil {
			t.Fatal(err)
		}
		put(t, files, filepath.Join(folder, "a"), "text")
		folders := []string{folder, root}
		if syncsParent {
			folders = append(folders, filepath.Dir(folder))
		}
		for _, synced := range folders {
			if err := files.SyncDir(synced); err != nil {
				t.Fatal(err)
			}
		}
		_, err := NewLosingNames(always).ReadDir(folder)
		if lasts := err == nil; lasts != syncsParent {
			t.Fatalf("parent synced: %t, error of reading the folder: %v", syncsParent, err)
		}
	}
}

// TestNamesOfARunningProcessStay guards against a process that removes the data folder of another one, whose name isn't synced
// yet, from the folder that holds both.
func TestNamesOfARunningProcessStay(t *testing.T) {
	folder := t.TempDir()
	running, ended := filepath.Join(folder, fmt.Sprint(hiddenPrefix, os.Getppid(), "-1")), filepath.Join(folder, fmt.Sprint(hiddenPrefix, endedProcess, "-1"))
	for _, hidden := range []string{running, ended} {
		if err := os.Mkdir(hidden, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	if names, err := New().ReadDir(folder); err != nil || len(names) > 0 {
		t.Fatalf("names %v, %v, want none", names, err)
	}
	if !isThere(running) || isThere(ended) {
		t.Fatalf("the folder of a running process is there: %t, that of one that has ended: %t, want true and false", isThere(running), isThere(ended))
	}
}

// endedProcess is a process ID that no process has: it is above the largest possible one.
const endedProcess = 1 << 30
