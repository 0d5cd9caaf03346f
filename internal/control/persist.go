package control

import (
	"github.com/rotisserie/eris"

	"kitetiller/internal/consensus"
	"kitetiller/internal/storage"
)

// Persist holds what the caller must write and sync before it calls Advance.
type Persist struct {
	HardState  *consensus.HardState
	Entries    []consensus.Entry
	Checkpoint *Checkpoint // replaces everything on disk; includes HardState and Entries
	// MayPostpone means that the log on disk, with HardState and Entries appended, is equivalent to Checkpoint.
	MayPostpone bool
}

// StoredSize returns the size on disk of what is written: of the checkpoint, or else of the appended records.
func (p *Persist) StoredSize() int64 {
	entries, size := p.Entries, int64(0)
	if p.Checkpoint != nil {
		entries, size = p.Checkpoint.Entries, storedSize(len(p.Checkpoint.Snapshot.Data))
	}
	for i := range entries {
		size += storedSize(len(entries[i].Data))
	}
	return size
}

// Empty reports whether there is nothing to write.
func (p Persist) Empty() bool {
	return p.HardState == nil && len(p.Entries) == 0 && p.Checkpoint == nil
}

// Checkpoint is the complete durable state of a replica.
type Checkpoint struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	Format    int // of the log on disk
}

// appendEntry appends an entry. It replaces an entry with the same index and all that follow.
func (c *Checkpoint) appendEntry(entry consensus.Entry) error {
	snapshotIndex := c.Snapshot.Meta.Index
	position := int64(entry.Index) - int64(snapshotIndex) - 1
	if position < 0 || position > int64(len(c.Entries)) {
		return eris.Wrapf(storage.ErrDamaged, "gap in the log: entry %d after entry %d", entry.Index, snapshotIndex+uint64(len(c.Entries)))
	}
	c.Entries = append(c.Entries[:position:position], entry)
	return nil
}

// Apply applies a Persist, with the same result as Disk.Write.
func (c *Checkpoint) Apply(persist Persist) error {
	if persist.Checkpoint != nil {
		*c = *persist.Checkpoint
		return nil
	}
	if persist.HardState != nil {
		c.HardState = *persist.HardState
	}
	for _, entry := range persist.Entries {
		if err := c.appendEntry(entry); err != nil {
			return err
		}
	}
	return nil
}
