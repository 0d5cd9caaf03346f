package control

import (
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/payload"
)

const (
	// minLogCost is the cost of applying the entries since the last snapshot below which only their number or their size
	// on disk makes a snapshot due.
	minLogCost = 8 << 20
	// logSnapshotRatio is that cost, relative to the size of the snapshot, at which the next one is due. It keeps the
	// cost of snapshots proportional to that of the log, and a restart to that of a few snapshots.
	logSnapshotRatio = 8
	// logDiskFraction is the fraction of the disk limit that the entries since the last snapshot may take. While a
	// checkpoint is written, the folder holds these entries and two snapshots.
	logDiskFraction = 1.0 / 8
)

// maybeSnapshot takes a snapshot if one is due. The log keeps the entries between the last two snapshots, so that a
// follower that lags slightly does not need a snapshot.
func (r *Replica) maybeSnapshot() {
	if !r.snapshotDue() {
		return
	}
	before := r.snapshot.Meta
	meta := consensus.SnapshotMeta{Index: r.applied, Term: r.appliedTerm, Membership: r.node.MembershipAt(r.applied)}
	r.snapshot = consensus.Snapshot{Meta: meta, Data: r.machine.Snapshot()}
	r.appliedBytes, r.appliedCost, r.snapshotWanted = 0, 0, false
	r.node.Compact(before)
	r.checkpointDue = true
}

// checkpointRetryInterval is the time after which a checkpoint that didn't fit on the disk is tried again.
const checkpointRetryInterval = time.Second

// PostponeCheckpoint tells the replica that the checkpoint of the last Prepare was not written, while the rest was.
func (r *Replica) PostponeCheckpoint(now time.Duration) {
	r.checkpointAt = now + checkpointRetryInterval
}

// snapshotDue reports whether a snapshot is due: by the number of entries applied since the last one, once their size
// has reached that of the snapshot, or by their size alone, since the size of an entry varies.
func (r *Replica) snapshotDue() bool {
	if r.applied <= r.snapshot.Meta.Index {
		return false
	}
	if r.snapshotWanted || r.logTooLong() && r.config.Guards.On(guard.LogByteLimits) {
		return true
	}
	return r.applied >= r.snapshot.Meta.Index+r.config.SnapshotEvery && r.appliedBytes >= len(r.snapshot.Data)
}

// logTooLong reports whether the entries since the last snapshot cost too much to apply again, or take too much of the
// disk.
func (r *Replica) logTooLong() bool {
	if r.appliedCost >= max(minLogCost, logSnapshotRatio*payload.ExpandedSize(r.snapshot.Data)) {
		return true
	}
	return r.config.DiskLimit > 0 && storedSize(r.appliedBytes) >= int64(logDiskFraction*float64(r.config.DiskLimit))
}
