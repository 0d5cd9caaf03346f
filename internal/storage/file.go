package storage

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// ReplaceFile replaces a file atomically: after a crash it has either its old or its new content.
func ReplaceFile(path string, data []byte) error {
	temporary := path + temporarySuffix
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
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
	if err := os.Rename(temporary, path); err != nil {
		return eris.Wrapf(err, "rename %s", temporary)
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return eris.Wrapf(err, "open %s", folder)
	}
	err = handle.Sync()
	if closeErr := handle.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrapf(err, "sync %s", folder)
}

// WriteJSON atomically replaces a file with the JSON encoding of a value in a checksummed record.
func WriteJSON(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrapf(err, "encode %s", path)
	}
	if err := os.MkdirAll(filepath.Dir(path), folderPermissions); err != nil {
		return eris.Wrapf(err, "create folder of %s", path)
	}
	return ReplaceFile(path, AppendRecord(nil, Record{Data: data}))
}

// ReadJSON decodes a file written by WriteJSON into value. It returns false if the file does not exist.
func ReadJSON(path string, value any) (bool, error) {
	data, err := os.ReadFile(path)
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
