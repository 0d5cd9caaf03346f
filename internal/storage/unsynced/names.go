package unsynced

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"

	"kitetiller/internal/storage"
)

const (
	// hiddenPrefix marks files and folders whose names a loss of power undoes. ReadDir removes those of processes that have ended.
	hiddenPrefix = ".unsynced-"
	// removed is the base name of a path that has been removed or renamed and that a loss of power brings back.
	removed = ""
)

// FileSystem is the file system of the operating system, with files whose contents reach it when they are synced or closed, and
// with names that reach it when their folder is synced, or at once. It is safe for concurrent use.
type FileSystem struct {
	storage.FileSystem
	loses func() bool // whether a loss of power undoes the next creation, renaming or removal

	mu    sync.Mutex
	names map[string]string // base names in the operating system of paths whose names have not reached it
}

// hiddenNames counts the hidden names of this process.
var hiddenNames atomic.Uint64

// New returns a file system whose names reach the operating system at once.
func New() *FileSystem { return NewLosingNames(func() bool { return false }) }

// NewLosingNames returns a file system that calls loses, one call at a time, at each creation, renaming and removal. If it returns
// true, the change of the name is lost with the process unless the folder is synced before. A folder that is lost takes along all
// it holds.
func NewLosingNames(loses func() bool) *FileSystem {
	return &FileSystem{FileSystem: storage.OperatingSystem, loses: loses, names: map[string]string{}}
}

// plain returns the path in the operating system that a path has once its name has reached it. The caller holds mu.
func (f *FileSystem) plain(path string) string {
	path = filepath.Clean(path)
	if parent := filepath.Dir(path); parent != path {
		return filepath.Join(f.real(parent), filepath.Base(path))
	}
	return path
}

// real returns the current path in the operating system. The caller holds mu.
func (f *FileSystem) real(path string) string {
	plain := f.plain(path)
	if base := f.names[filepath.Clean(path)]; base != removed {
		return filepath.Join(filepath.Dir(plain), base)
	}
	return plain
}

// exists reports whether a path exists. The caller holds mu.
func (f *FileSystem) exists(path string) bool {
	if base, mapped := f.names[filepath.Clean(path)]; mapped {
		return base != removed
	}
	return isThere(f.plain(path))
}

func isThere(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// create chooses the name in the operating system of a path that is created. The caller holds mu.
func (f *FileSystem) create(path string) {
	if isThere(f.plain(path)) || f.loses() {
		f.names[filepath.Clean(path)] = fmt.Sprint(hiddenPrefix, os.Getpid(), "-", hiddenNames.Add(1))
	}
}

// vacate records that a path no longer exists. The caller holds mu.
func (f *FileSystem) vacate(path string) {
	delete(f.names, filepath.Clean(path))
	if isThere(f.plain(path)) {
		f.names[filepath.Clean(path)] = removed
	}
}

// MkdirAll creates a folder and its parents.
func (f *FileSystem) MkdirAll(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mkdirAll(filepath.Clean(path))
}

func (f *FileSystem) mkdirAll(path string) error {
	if f.exists(path) {
		return nil
	}
	if err := f.mkdirAll(filepath.Dir(path)); err != nil {
		return err
	}
	f.create(path)
	return f.FileSystem.MkdirAll(f.real(path))
}

// ReadDir returns the names in a folder.
func (f *FileSystem) ReadDir(path string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exists(path) {
		return nil, &os.PathError{Op: "readdir", Path: path, Err: os.ErrNotExist}
	}
	found, err := f.FileSystem.ReadDir(f.real(path))
	if err != nil {
		return nil, err
	}
	pending := f.pending(path)
	var names []string
	for _, name := range found {
		_, mapped := f.names[filepath.Join(path, name)]
		switch {
		case !strings.HasPrefix(name, hiddenPrefix) && !mapped:
			names = append(names, name)
		case strings.HasPrefix(name, hiddenPrefix) && !slices.Contains(slices.Collect(maps.Values(pending)), name) && !ownerRuns(name):
			_ = os.RemoveAll(filepath.Join(f.real(path), name)) // lost with an earlier process
		}
	}
	for pendingPath, base := range pending {
		if base != removed {
			names = append(names, filepath.Base(pendingPath))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ownerRuns reports whether a hidden name is one of another process that runs. Data folders of several processes may lie in one.
func ownerRuns(hidden string) bool {
	owner := 0
	if _, err := fmt.Sscanf(hidden, hiddenPrefix+"%d-", &owner); err != nil || owner == os.Getpid() {
		return false
	}
	return !errors.Is(syscall.Kill(owner, 0), syscall.ESRCH)
}

// pending returns the part of names that lies in a folder. The caller holds mu.
func (f *FileSystem) pending(folder string) map[string]string {
	pending := map[string]string{}
	for path, base := range f.names {
		if filepath.Dir(path) == filepath.Clean(folder) {
			pending[path] = base
		}
	}
	return pending
}

// openReal opens a file in the operating system.
func (f *FileSystem) openReal(path string, flag int) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	existed := f.exists(path)
	if !existed && flag&os.O_CREATE == 0 {
		return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
	}
	if !existed {
		f.create(path)
	}
	opened, err := f.FileSystem.Open(f.real(path), flag)
	if err != nil && !existed {
		f.vacate(path)
	}
	return opened, err
}

// Rename renames a file within its folder.
func (f *FileSystem) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if filepath.Dir(filepath.Clean(from)) != filepath.Dir(filepath.Clean(to)) {
		return eris.Errorf("rename %s to another folder: not supported", from)
	}
	if !f.exists(from) {
		return &os.PathError{Op: "rename", Path: from, Err: os.ErrNotExist}
	}
	source := f.real(from)
	f.discardHidden(to)
	if f.isSource(f.pending(filepath.Dir(to)), filepath.Clean(to)) || f.loses() {
		f.names[filepath.Clean(to)] = filepath.Base(source)
	} else {
		if err := f.FileSystem.Rename(source, f.plain(to)); err != nil {
			return err
		}
		delete(f.names, filepath.Clean(to))
	}
	f.vacate(from)
	return nil
}

// Remove removes a file.
func (f *FileSystem) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exists(path) {
		return &os.PathError{Op: "remove", Path: path, Err: os.ErrNotExist}
	}
	base, mapped := f.names[filepath.Clean(path)]
	if strings.HasPrefix(base, hiddenPrefix) || !mapped && !f.loses() {
		if err := f.FileSystem.Remove(f.real(path)); err != nil {
			return err
		}
	}
	f.vacate(path)
	return nil
}

// discardHidden removes the file of a path that is about to be replaced, if its name was never synced. The caller holds mu.
func (f *FileSystem) discardHidden(path string) {
	if strings.HasPrefix(f.names[filepath.Clean(path)], hiddenPrefix) {
		_ = os.Remove(f.real(path)) // a later ReadDir removes what stays
	}
}

// SyncDir makes the names in a folder durable.
func (f *FileSystem) SyncDir(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exists(path) {
		return &os.PathError{Op: "sync", Path: path, Err: os.ErrNotExist}
	}
	if err := f.settle(path); err != nil {
		return err
	}
	return f.FileSystem.SyncDir(f.real(path))
}

// settle passes the names in a folder to the operating system. The caller holds mu.
func (f *FileSystem) settle(folder string) error {
	pending := f.pending(folder)
	for len(pending) > 0 {
		progress := false
		for path, base := range pending {
			if f.isSource(pending, path) {
				continue // another name still waits for the file under this one
			}
			err := error(nil)
			if base != removed {
				err = f.FileSystem.Rename(f.real(path), f.plain(path))
			} else if isThere(f.plain(path)) {
				err = f.FileSystem.Remove(f.plain(path))
			}
			if err != nil {
				return err
			}
			delete(pending, path)
			delete(f.names, path)
			progress = true
		}
		if !progress {
			return eris.Errorf("names in %s were exchanged: not supported", folder)
		}
	}
	return nil
}

// isSource reports whether the name of a path in the operating system belongs to a file that is pending under another name.
func (f *FileSystem) isSource(pending map[string]string, path string) bool {
	for other, base := range pending {
		if other != path && base == filepath.Base(path) {
			return true
		}
	}
	return false
}

// Settle passes all names to the operating system, as when a process ends on a machine that keeps its power.
func (f *FileSystem) Settle() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.names) > 0 {
		paths := slices.Sorted(maps.Keys(f.names)) // a folder comes before what it holds
		if err := f.settle(filepath.Dir(paths[0])); err != nil {
			return err
		}
	}
	return nil
}
