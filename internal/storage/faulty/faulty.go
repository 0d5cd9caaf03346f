// Package faulty provides a file system for tests that runs out of space, or fails a chosen operation for lack of it.
package faulty

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"kitetiller/internal/storage"
)

// FileSystem wraps the file system of the operating system. It is safe for concurrent use.
type FileSystem struct {
	storage.FileSystem

	mu      sync.Mutex       // guards all fields below
	limit   int64            // bytes of all files together; 0 is unlimited
	sizes   map[string]int64 // of the files written through it, by path
	used    int64            // sum of sizes
	peak    int64            // highest used so far
	failing int              // operations until one fails; 0 for none
}

// New returns a file system whose files may hold limit bytes together, or any number if limit is 0.
func New(limit int64) *FileSystem {
	return &FileSystem{FileSystem: storage.OperatingSystem, limit: limit, sizes: map[string]int64{}}
}

// SetLimit changes the limit; 0 is unlimited.
func (f *FileSystem) SetLimit(limit int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
}

// Peak returns the highest total size of all files so far.
func (f *FileSystem) Peak() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peak
}

// FailOperation makes the operation after count others fail: a write, sync, creation or rename.
func (f *FileSystem) FailOperation(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = count + 1
}

// fails reports whether the current operation fails. The caller holds mu.
func (f *FileSystem) fails() bool {
	if f.failing == 0 {
		return false
	}
	f.failing--
	return f.failing == 0
}

// setSize records the size of a file. The caller holds mu.
func (f *FileSystem) setSize(path string, size int64) {
	f.used += size - f.sizes[path]
	f.sizes[path] = size
	f.peak = max(f.peak, f.used)
}

func (f *FileSystem) noSpace(operation, path string) error {
	return &os.PathError{Op: operation, Path: path, Err: syscall.ENOSPC}
}

// Open opens a file. Creating one fails on a full disk.
func (f *FileSystem) Open(path string, flag int) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if flag&os.O_CREATE != 0 && (f.fails() || f.limit > 0 && f.used >= f.limit) {
		return nil, f.noSpace("open", path)
	}
	opened, err := f.FileSystem.Open(path, flag)
	if err != nil {
		return nil, err
	}
	if info, err := os.Stat(path); err == nil {
		f.setSize(path, info.Size())
	}
	return &file{File: opened, files: f, path: path}, nil
}

// Rename renames a file.
func (f *FileSystem) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails() {
		return f.noSpace("rename", from)
	}
	if err := f.FileSystem.Rename(from, to); err != nil {
		return err
	}
	size := f.sizes[from]
	f.forget(from)
	f.setSize(to, size)
	return nil
}

// Remove removes a file and frees its space.
func (f *FileSystem) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.FileSystem.Remove(path)
	if err == nil {
		f.forget(path)
	}
	return err
}

// forget records that a file is gone. The caller holds mu.
func (f *FileSystem) forget(path string) {
	f.used -= f.sizes[path]
	delete(f.sizes, path)
}

// SyncDir syncs a folder.
func (f *FileSystem) SyncDir(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails() {
		return f.noSpace("sync", filepath.Clean(path))
	}
	return f.FileSystem.SyncDir(path)
}

// file is an open file of a FileSystem.
type file struct {
	storage.File
	files *FileSystem
	path  string
}

// Write writes what fits. Like a real disk, it may store a part of the data before it fails.
func (w *file) Write(data []byte) (int, error) {
	w.files.mu.Lock()
	defer w.files.mu.Unlock()
	fits := len(data)
	if w.files.fails() {
		fits = len(data) / 2
	}
	if w.files.limit > 0 {
		fits = int(min(int64(fits), max(0, w.files.limit-w.files.used)))
	}
	written, err := w.File.Write(data[:fits])
	w.files.setSize(w.path, w.files.sizes[w.path]+int64(written))
	if err == nil && fits < len(data) {
		err = w.files.noSpace("write", w.path)
	}
	return written, err
}

// Truncate changes the size of the file.
func (w *file) Truncate(size int64) error {
	w.files.mu.Lock()
	defer w.files.mu.Unlock()
	err := w.File.Truncate(size)
	if err == nil {
		w.files.setSize(w.path, size)
	}
	return err
}

// Sync syncs the file.
func (w *file) Sync() error {
	w.files.mu.Lock()
	defer w.files.mu.Unlock()
	if w.files.fails() {
		return w.files.noSpace("sync", w.path)
	}
	return w.File.Sync()
}
