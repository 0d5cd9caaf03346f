package storage

import (
	"io"
	"os"
)

// FileSystem is the part of a file system that a log and the files beside it use.
type FileSystem interface {
	MkdirAll(path string) error
	ReadDir(path string) (names []string, err error)
	Open(path string, flag int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error // makes created, renamed and removed names durable
}

// File is an open file of a FileSystem.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// OperatingSystem is the file system of the operating system.
var OperatingSystem FileSystem = operatingSystem{}

type operatingSystem struct{}

func (operatingSystem) MkdirAll(path string) error { return os.MkdirAll(path, folderPermissions) }

func (operatingSystem) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, err
}

func (operatingSystem) Open(path string, flag int) (File, error) {
	file, err := os.OpenFile(path, flag, filePermissions)
	if err != nil {
		return nil, err // an interface that holds a nil *os.File is not nil
	}
	return file, nil
}

func (operatingSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (operatingSystem) Remove(path string) error { return os.Remove(path) }

func (operatingSystem) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}
