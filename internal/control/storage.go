package control

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"iter"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/storage"
)

// Record kinds in a replica's log.
const (
	recordHardState storage.Kind = 1
	recordEntry     storage.Kind = 2
	recordSnapshot  storage.Kind = 3
)

const (
	identityFile = "identity.json"
	logFolder    = "log"
	nonceBytes   = 6
)

// Identity ties a data folder to a replica. An empty folder gets a new identity, so that a wiped replica never votes
// under its previous ID.
type Identity struct {
	ID   consensus.ID `json:"id"`
	Name string       `json:"name"`
}

// NewIdentity returns the identity of a replica with an empty data folder.
func NewIdentity(name, nonce string, guards guard.Set) Identity {
	if !guards.On(guard.LearnerBeforeVote) {
		return Identity{ID: consensus.ID(name), Name: name}
	}
	return Identity{ID: consensus.ID(name + "-" + nonce), Name: name}
}

// hasIDOf reports whether a log's owner is a replica of the given name.
func hasIDOf(owner, name string) bool {
	nonce, found := strings.CutPrefix(owner, name+"-")
	_, err := hex.DecodeString(nonce)
	return found && err == nil && len(nonce) == 2*nonceBytes
}

// loadIdentity returns the identity of a data folder, or unused, or else a new one, if the folder holds no log. stored is whether the
// folder holds it.
//
// The identity file and the first segment are written in parallel, and nothing is acknowledged before both are durable. A loss of
// power in between may leave one of them, or the file of an earlier attempt. The log names its replica itself, so it decides. A file
// without a log is of no use: whatever its replica may have promised is gone, so it must not vote under that ID again.
func loadIdentity(files storage.FileSystem, folder, name string, unused *Identity) (identity Identity, stored bool, err error) {
	stored, err = storage.ReadJSON(files, filepath.Join(folder, identityFile), &identity)
	if err != nil {
		return identity, false, err
	}
	if stored && identity.Name != name {
		return identity, false, eris.Wrapf(storage.ErrForeign, "data folder %s belongs to replica %q, not to %q", folder, identity.Name, name)
	}
	owner, hasLog, err := storage.Owner(files, filepath.Join(folder, logFolder))
	switch {
	case err != nil:
		return identity, false, err
	case hasLog && stored && owner == string(identity.ID):
		return identity, true, nil
	case hasLog && !hasIDOf(owner, name):
		return identity, false, eris.Wrapf(storage.ErrForeign, "the log in data folder %s belongs to %q, not to a replica %q", folder, owner, name)
	case hasLog:
		return Identity{ID: consensus.ID(owner), Name: name}, false, nil
	case unused != nil:
		return *unused, false, nil
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return identity, false, eris.Wrap(err, "generate replica ID")
	}
	return NewIdentity(name, hex.EncodeToString(nonce), guard.Set{}), false, nil
}

// Disk stores the durable state of a replica.
type Disk struct {
	log *storage.Log
}

// OpenDisk opens a replica's data folder and returns its identity and state. It writes nothing to an empty one: the identity gets
// there with Create or the first state.
func OpenDisk(folder, name string) (*Disk, Identity, Checkpoint, error) {
	return openDiskOn(storage.OperatingSystem, folder, name, nil)
}

// openDiskOn is like OpenDisk, in the given file system. An empty folder gets the unused identity, if there is one: that of a replica
// of this process that has never had anything durable.
func openDiskOn(files storage.FileSystem, folder, name string, unused *Identity) (*Disk, Identity, Checkpoint, error) {
	identity, stored, err := loadIdentity(files, folder, name, unused)
	if err != nil {
		return nil, identity, Checkpoint{}, err
	}
	var restored Checkpoint
	log, err := storage.OpenOn(files, filepath.Join(folder, logFolder), string(identity.ID), func(record storage.Record) error {
		return replayRecord(&restored, record)
	})
	if err != nil {
		return nil, identity, Checkpoint{}, err
	}
	switch path := filepath.Join(folder, identityFile); {
	case log.IsEmpty():
		err = log.CreateBeside(path, identity)
	case !stored:
		err = storage.WriteJSON(files, path, identity)
	}
	if err != nil {
		_ = log.Close()
		return nil, identity, Checkpoint{}, err
	}
	restored.Format = log.Format()
	return &Disk{log: log}, identity, restored, nil
}

// replayRecord applies a record of the log to the durable state.
func replayRecord(state *Checkpoint, record storage.Record) error {
	switch record.Kind {
	case recordHardState:
		return eris.Wrap(json.Unmarshal(record.Data, &state.HardState), "decode hard state")
	case recordSnapshot:
		state.Entries = nil
		return eris.Wrap(json.Unmarshal(record.Data, &state.Snapshot), "decode snapshot")
	case recordEntry:
		var entry consensus.Entry
		if err := json.Unmarshal(record.Data, &entry); err != nil {
			return eris.Wrap(err, "decode entry")
		}
		return state.appendEntry(entry)
	}
	return eris.Wrapf(storage.ErrNewerFormat, "unknown record kind %d", record.Kind)
}

// Write writes a Persist and syncs it to disk. It returns false if a checkpoint that can be postponed didn't fit; the rest
// of the Persist was written then. After an error the content on disk is unknown.
func (d *Disk) Write(persist Persist) (checkpointed bool, err error) {
	if persist.Checkpoint != nil {
		err := d.log.Checkpoint(max(persist.Checkpoint.Format, storage.FirstFormat), checkpointRecords(*persist.Checkpoint))
		if err == nil || !persist.MayPostpone || !errors.Is(err, storage.ErrNotReplaced) {
			return err == nil, err
		}
	}
	if persist.HardState != nil {
		d.log.Append(encodeRecord(recordHardState, persist.HardState))
	}
	for _, entry := range persist.Entries {
		d.log.Append(encodeRecord(recordEntry, entry))
	}
	return persist.Checkpoint == nil, d.log.Sync()
}

// checkpointRecords returns the log records of a checkpoint. They are encoded one at a time.
func checkpointRecords(state Checkpoint) iter.Seq[storage.Record] {
	return func(yield func(storage.Record) bool) {
		if !yield(encodeRecord(recordSnapshot, state.Snapshot)) || !yield(encodeRecord(recordHardState, state.HardState)) {
			return
		}
		for _, entry := range state.Entries {
			if !yield(encodeRecord(recordEntry, entry)) {
				return
			}
		}
	}
}

// encodeRecord returns a record of a value that always has an encoding.
func encodeRecord(kind storage.Kind, value any) storage.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic("control: failed to encode a record: " + err.Error())
	}
	return storage.Record{Kind: kind, Data: data}
}

// Create makes the identity of an empty data folder durable, with an empty log.
func (d *Disk) Create() error { return d.log.Create() }

// IsEmpty reports whether nothing is durable yet.
func (d *Disk) IsEmpty() bool { return d.log.IsEmpty() }

// OpenSyncTime returns how long the sync took with which the log was opened or created. It is 0 before.
func (d *Disk) OpenSyncTime() time.Duration { return d.log.OpenSyncTime() }

// Size returns the size of the newest log segment in bytes.
func (d *Disk) Size() int64 { return d.log.Size() }

func (d *Disk) Close() error { return d.log.Close() }
