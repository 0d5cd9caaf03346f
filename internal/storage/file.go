package storage

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// ReplaceFile replaces a file atomically: after a crash it has either its old or its new content.
func ReplaceFile(files FileSystem, path string, data []byte) error {
	temporary := path + temporarySuffix
	file, err := files.Open(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return eris.Wrapf(err, "create %s", temporary)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrapf(err, "write %s", temporary)
	}
	if err := files.Rename(temporary, path); err != nil {
		return eris.Wrapf(err, "rename %s", temporary)
	}
	return eris.Wrapf(files.SyncDir(filepath.Dir(path)), "sync %s", filepath.Dir(path))
}

// WriteJSON atomically replaces a file with the JSON encoding of a value in a checksummed record.
func WriteJSON(files FileSystem, path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrapf(err, "encode %s", path)
	}
	if err := files.MkdirAll(filepath.Dir(path)); err != nil {
		return eris.Wrapf(err, "create folder of %s", path)
	}
	return ReplaceFile(files, path, AppendRecord(nil, Record{Data: data}))
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
