// Package unsynced provides a file system for tests that keeps what is not synced to itself, so that a process that is killed
// loses it, as in a loss of power: contents, and names whose folder was not synced.
package unsynced

import (
	"io"
	"os"

	"github.com/rotisserie/eris"

	"kitetiller/internal/storage"
)

// Open opens a file and reads its contents into memory.
func (f *FileSystem) Open(path string, flag int) (storage.File, error) {
	if flag&(os.O_WRONLY|os.O_RDWR) == os.O_WRONLY {
		flag = flag&^os.O_WRONLY | os.O_RDWR // contents must be read before some of them are replaced
	}
	appends := flag&os.O_APPEND != 0
	opened, err := f.openReal(path, flag&^os.O_APPEND)
	if err != nil {
		return nil, err
	}
	contents, err := io.ReadAll(opened)
	if err != nil {
		_ = opened.Close()
		return nil, eris.Wrap(err, "read file")
	}
	return &file{File: opened, contents: contents, clean: len(contents), appends: appends}, nil
}

// file is an open file. It is not safe for concurrent use.
type file struct {
	storage.File
	contents []byte
	offset   int64
	clean    int // contents up to here have reached the operating system
	appends  bool
}

// Read reads from the offset.
func (f *file) Read(buffer []byte) (int, error) {
	if f.offset >= int64(len(f.contents)) {
		return 0, io.EOF
	}
	count := copy(buffer, f.contents[f.offset:])
	f.offset += int64(count)
	return count, nil
}

// Write writes at the offset, or at the end of a file that is opened for appending.
func (f *file) Write(data []byte) (int, error) {
	if f.appends {
		f.offset = int64(len(f.contents))
	}
	f.clean = min(f.clean, int(f.offset))
	if missing := int(f.offset) + len(data) - len(f.contents); missing > 0 {
		f.contents = append(f.contents, make([]byte, missing)...)
	}
	copy(f.contents[f.offset:], data)
	f.offset += int64(len(data))
	return len(data), nil
}

// Seek moves the offset.
func (f *file) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += f.offset
	case io.SeekEnd:
		offset += int64(len(f.contents))
	}
	if offset < 0 {
		return 0, eris.New("seek before the start of the file")
	}
	f.offset = offset
	return offset, nil
}

// Truncate changes the size.
func (f *file) Truncate(size int64) error {
	if missing := int(size) - len(f.contents); missing > 0 {
		f.contents = append(f.contents, make([]byte, missing)...)
	}
	f.contents = f.contents[:size]
	f.clean = min(f.clean, int(size))
	return nil
}

// Sync passes the contents to the operating system and makes them durable.
func (f *file) Sync() error {
	if err := f.flush(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Close passes the contents to the operating system without making them durable.
func (f *file) Close() error {
	err := f.flush()
	if closeErr := f.File.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (f *file) flush() error {
	if err := f.File.Truncate(int64(f.clean)); err != nil {
		return err
	}
	if _, err := f.File.Seek(int64(f.clean), io.SeekStart); err != nil {
		return err
	}
	if _, err := f.File.Write(f.contents[f.clean:]); err != nil {
		return err
	}
	f.clean = len(f.contents)
	return nil
}
