package control

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// usageGauges holds the sizes of a replica's log in bytes, as of the last write. It is safe for concurrent use.
type usageGauges struct {
	segment         atomic.Int64 // newest segment on disk
	entries         atomic.Int64 // entries in memory
	snapshot        atomic.Int64 // newest snapshot
	checkpoints     atomic.Uint64
	storageFailures atomic.Uint64 // writes that failed
	slowSyncs       atomic.Uint64 // that took slowSyncTime or longer
	// undecidedElections counts those of this replica that ended without a leader.
	undecidedElections atomic.Uint64
	silence            atomic.Int64  // that this leader asks of voters, in ns; 0 for the usual one and on other replicas
	roundTrip          atomic.Int64  // to the quorum that answers this leader first, in ns; 0 if it is not known
	lossesBorne        atomic.Int64  // see Replica.lossesBorne
	contested          atomic.Uint64 // deregistrations
	reinstated         atomic.Uint64 // instances whose deregistration was contested
}

// recordUsage updates the gauges after a write, and logs a checkpoint that was written.
func (s *Server) recordUsage(checkpoint *Checkpoint, took time.Duration) {
	s.usage.segment.Store(s.disk.Size())
	s.usage.entries.Store(int64(s.replica.node.LogBytes()))
	s.usage.snapshot.Store(int64(len(s.replica.snapshot.Data)))
	if checkpoint == nil {
		return
	}
	s.usage.checkpoints.Add(1)
	s.log.Info(events.CheckpointWritten, zap.Uint64("index", checkpoint.Snapshot.Meta.Index), zap.Int("entries", len(checkpoint.Entries)),
		zap.Int("snapshot_bytes", len(checkpoint.Snapshot.Data)), zap.Int64("segment_bytes", s.disk.Size()),
		zap.Int("entry_bytes", s.replica.node.LogBytes()), zap.Duration(events.FieldElapsed, took))
}
