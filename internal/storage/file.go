package storage

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// newFile is a file that is written whole.
type newFile struct {
	path  string
	write func(io.Writer) error
}

// putFiles writes and syncs files under temporary names, in parallel, and then renames them in their order. It creates
// their folders. It returns the folders to sync for all the names to last. If it fails, the last file has not been replaced.
func putFiles(files FileSystem, created ...newFile) (unsynced []string, err error) {
	var staging errgroup.Group
	for _, file := range created {
		folder := filepath.Dir(file.path)
		parents, err := makeFolder(files, folder)
		if err != nil {
			return nil, err
		}
		unsynced = append(append(unsynced, folder), parents...)
	}
	for _, file := range created {
		staging.Go(func() error { return stageFile(files, file) })
	}
	err = staging.Wait()
	for _, file := range created {
		if err == nil {
			err = eris.Wrapf(files.Rename(file.path+temporarySuffix, file.path), "rename %s", file.path+temporarySuffix)
		}
		if err != nil {
			_ = files.Remove(file.path + temporarySuffix) // it is replaced or removed later otherwise
		}
	}
	return unsynced, err
}

// stageFile writes and syncs a file under its temporary name.
func stageFile(files FileSystem, created newFile) error {
	temporary := created.path + temporarySuffix
	file, err := files.Open(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return eris.Wrapf(err, "create %s", temporary)
	}
	w := bufio.NewWriterSize(file, bufferBytes)
	err = created.write(w)
	if err == nil {
		err = w.Flush()
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrapf(err, "write %s", temporary)
}

// makeFolder creates a folder with its parents. It returns the folders to sync for those that did not exist to last.
func makeFolder(files FileSystem, path string) (unsynced []string, err error) {
	for folder := path; ; folder = filepath.Dir(folder) {
		_, err := files.ReadDir(folder)
		if !errors.Is(err, fs.ErrNotExist) || folder == filepath.Dir(folder) {
			break
		}
		unsynced = append(unsynced, filepath.Dir(folder))
	}
	return unsynced, eris.Wrapf(files.MkdirAll(path), "create %s", path)
}

// syncFolders syncs folders in parallel.
func syncFolders(files FileSystem, folders ...string) error {
	slices.Sort(folders)
	var syncing errgroup.Group
	for _, folder := range slices.Compact(folders) {
		syncing.Go(func() error { return eris.Wrapf(files.SyncDir(folder), "sync %s", folder) })
	}
	return syncing.Wait()
}

// WriteJSON atomically replaces a file with the JSON encoding of a value in a checksummed record: after a crash it has either its old
// or its new content. It creates the file's folder.
func WriteJSON(files FileSystem, path string, value any) error {
	file, err := jsonFile(path, value)
	if err != nil {
		return err
	}
	unsynced, err := putFiles(files, file)
	if err != nil {
		return err
	}
	return syncFolders(files, unsynced...)
}

// jsonFile returns a file with the JSON encoding of a value.
func jsonFile(path string, value any) (newFile, error) {
	data, err := json.Marshal(value)
	return newFile{path, func(w io.Writer) error {
		_, err := writeRecord(w, Record{Data: data})
		return err
	}}, eris.Wrapf(err, "encode %s", path)
}

// ReadJSON decodes a file written by WriteJSON into value. It returns false if the file does not exist.
func ReadJSON(files FileSystem, path string, value any) (bool, error) {
	data, err := readFile(files, path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, eris.Wrapf(err, "read %s", path)
	}
	records, _, tail := DecodeRecords(data)
	if tail != TailClean || len(records) != 1 {
		return false, eris.Wrapf(ErrDamaged, "%s fails its checksum; remove it to start from the control replicas", path)
	}
	return true, eris.Wrapf(json.Unmarshal(records[0].Data, value), "decode %s", path)
}

func readFile(files FileSystem, path string) ([]byte, error) {
	file, err := files.Open(path, os.O_RDONLY)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(file)
}
