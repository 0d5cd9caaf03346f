package control

const (
	// minLogBytes is the size of the entries since the last snapshot below which only their number makes a snapshot due.
	minLogBytes = 4 << 20
	// logSnapshotRatio is the size of the entries since the last snapshot, relative to the snapshot, at which the next
	// one is due. It keeps the cost of snapshots proportional to that of the log.
	logSnapshotRatio = 2
	// logDiskFraction is the fraction of the disk limit that the entries since the last snapshot may take, whatever the
	// size of the snapshot. While a checkpoint is written, the folder holds up to three times these entries and two
	// snapshots.
	logDiskFraction = 1.0 / 8
)

// snapshotDue reports whether a snapshot is due: by the number of entries applied since the last one, once their size
// has reached that of the snapshot, or by their size alone, since the size of an entry varies.
func (r *Replica) snapshotDue() bool {
	if r.applied <= r.snapshot.Meta.Index {
		return false
	}
	if r.appliedBytes >= r.maxLogBytes() {
		return true
	}
	return r.applied >= r.snapshot.Meta.Index+r.config.SnapshotEvery && r.appliedBytes >= len(r.snapshot.Data)
}

// maxLogBytes returns the size of the entries since the last snapshot at which the next one is due.
func (r *Replica) maxLogBytes() int {
	limit := max(minLogBytes, logSnapshotRatio*len(r.snapshot.Data))
	if r.config.DiskLimit > 0 {
		limit = min(limit, int(logDiskFraction*float64(r.config.DiskLimit)))
	}
	return limit
}
