package router

import (
	"path/filepath"

	"github.com/rotisserie/eris"

	"kitetiller/internal/session"
	"kitetiller/internal/storage"
)

const (
	settingsFile    = "settings.json"
	incarnationFile = "incarnation.json"
)

type savedIncarnation struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

// diskState is the persistent state of a router.
type diskState struct {
	folder      string
	incarnation uint64
	saved       session.Settings // as read when the folder was opened
}

// openDiskState reads the folder and increments the stored incarnation number.
func openDiskState(folder, name string) (*diskState, error) {
	state := &diskState{folder: folder}
	if _, err := storage.ReadJSON(storage.OperatingSystem, filepath.Join(folder, settingsFile), &state.saved); err != nil {
		return nil, err
	}
	var last savedIncarnation
	path := filepath.Join(folder, incarnationFile)
	found, err := storage.ReadJSON(storage.OperatingSystem, path, &last)
	if err != nil {
		return nil, err
	}
	if found && last.Name != name {
		return nil, eris.Wrapf(storage.ErrForeign, "%s belongs to router %q, not to %q", folder, last.Name, name)
	}
	state.incarnation = last.Number + 1
	return state, storage.WriteJSON(storage.OperatingSystem, path, savedIncarnation{Name: name, Number: state.incarnation})
}

// save writes settings durably. A version may be acknowledged to control only after that.
func (d *diskState) save(next session.Settings) error {
	return storage.WriteJSON(storage.OperatingSystem, filepath.Join(d.folder, settingsFile), next)
}
