// Package slow provides a file system for tests whose syncs take longer than those of the one below it.
package slow

import (
	"os"
	"strconv"
	"strings"
	"time"

	"kitetiller/internal/storage"
)

// FileSystem is a file system whose syncs of files and folders take longer by the given time.
type FileSystem struct {
	storage.FileSystem
	delay func() time.Duration
}

// New returns a file system that calls delay before each sync.
func New(below storage.FileSystem, delay func() time.Duration) FileSystem {
	return FileSystem{below, delay}
}

// DelayFile returns a delay that is read from a file before each sync, in whole milliseconds. It is 0 while the file is
// missing.
func DelayFile(path string) func() time.Duration {
	return func() time.Duration {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0
		}
		milliseconds, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return 0 // it is being written
		}
		return time.Duration(milliseconds) * time.Millisecond
	}
}

// Open opens a file.
func (f FileSystem) Open(path string, flag int) (storage.File, error) {
	opened, err := f.FileSystem.Open(path, flag)
	if err != nil {
		return nil, err
	}
	return &file{opened, f.delay}, nil
}

// SyncDir makes the names in a folder durable.
func (f FileSystem) SyncDir(path string) error {
	time.Sleep(f.delay())
	return f.FileSystem.SyncDir(path)
}

type file struct {
	storage.File
	delay func() time.Duration
}

// Sync makes the contents durable.
func (f *file) Sync() error {
	time.Sleep(f.delay())
	return f.File.Sync()
}
