package control

import (
	"context"
	"runtime"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

// Writes to the data folder run on a thread of their own, one at a time, so that a slow sync delays neither heartbeats
// nor replies.

// writeRequest is a write to a data folder.
type writeRequest struct {
	disk    *Disk
	persist Persist // empty to create the data folder
}

// writeResult is the outcome of a writeRequest.
type writeResult struct {
	persist      Persist
	checkpointed bool // false if the checkpoint didn't fit and the rest was written
	first        bool // of a data folder that was empty
	err          error
	took         time.Duration
}

// runWrites carries out writes until ctx ends. One that has begun is finished.
func (s *Server) runWrites(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-s.writes:
			started, first := time.Now(), request.disk.IsEmpty()
			checkpointed, err := request.write()
			s.written <- writeResult{request.persist, checkpointed, first, err, time.Since(started)}
		}
	}
}

func (r writeRequest) write() (checkpointed bool, err error) {
	if r.persist.Empty() {
		return true, r.disk.Create()
	}
	return r.disk.Write(r.persist)
}

// createFolder makes the identity of a replica with an empty data folder durable while the replica joins. A replica that a loss of
// power takes its identity has lost its vote, if the group has given it one meanwhile.
func (s *Server) createFolder() {
	if s.disk.IsEmpty() {
		s.writing = true
		s.writes <- writeRequest{disk: s.disk}
	}
}

// work sends what may be sent and begins a write if one is needed, until the replica has no more work. A long log is
// applied in many steps, and it returns between them when a timer is due or inputs wait, so that heartbeats are sent and
// answered in time.
func (s *Server) work() {
	for due := s.replica.NextDue(); s.canWork(); {
		if s.replica.HasReleasable() {
			s.send(s.replica.Release(s.now()))
		}
		if !s.writing && s.replica.NeedsWrite() {
			s.beginWrite()
		}
		if s.now() >= due || len(s.inputs) > 0 && s.replica.Node().HasUndelivered() {
			return
		}
	}
}

// canWork reports whether work has anything to do.
func (s *Server) canWork() bool {
	return s.replica.HasReleasable() || !s.writing && s.replica.NeedsWrite()
}

func (s *Server) beginWrite() {
	persist := s.replica.Prepare()
	if persist.Empty() {
		s.send(s.replica.Advance(s.now()))
		return
	}
	s.writing = true
	s.writes <- writeRequest{s.disk, persist}
}

// endWrite continues after a write. It returns the error of a write that failed.
func (s *Server) endWrite(result writeResult) error {
	s.writing = false
	if result.err != nil {
		return result.err
	}
	checkpoint := result.persist.Checkpoint
	if checkpoint != nil && !result.checkpointed {
		checkpoint = nil
		s.replica.PostponeCheckpoint(s.now())
		s.log.Warn(events.CheckpointPostponed, zap.Int64("segment_bytes", s.disk.Size()))
	}
	s.reopenDelay = minReopenDelay
	s.folderFailed.Store(false)
	s.recordSync(result)
	s.replica.ObserveStorage(s.disk.Size())
	s.recordUsage(checkpoint, result.took)
	s.send(s.replica.Advance(s.now()))
	return nil
}

// slowSyncTime is the duration from which on a sync is logged. It is a fraction of the time after which a group whose
// storage was fast would elect another leader.
const slowSyncTime = 100 * time.Millisecond

// slowLogInterval is the minimum time between two log lines about slow storage, or about undecided elections.
const slowLogInterval = time.Second

// intervalLimiter limits a log line to one an interval.
type intervalLimiter struct {
	last time.Duration
	held int // lines since the last one
}

// allow reports whether a line may be logged, and how many were held since the last one.
func (l *intervalLimiter) allow(now time.Duration) (held int, allowed bool) {
	if l.last > 0 && now < l.last+slowLogInterval {
		l.held++
		return 0, false
	}
	held, l.last, l.held = l.held, now, 0
	return held, true
}

// recordSync counts a write, and logs it if it was slow. Checkpoints and the first write are longer than other writes.
func (s *Server) recordSync(result writeResult) {
	s.syncs.Count.Add(1)
	s.syncs.Nanoseconds.Add(uint64(result.took))
	if result.first {
		s.replica.StartSyncTime(s.disk.OpenSyncTime())
		return
	}
	if result.persist.Checkpoint != nil {
		return
	}
	s.replica.ObserveSync(result.took)
	if result.took < slowSyncTime {
		return
	}
	s.usage.slowSyncs.Add(1)
	if held, allowed := s.slowSyncLog.allow(s.now()); allowed {
		s.log.Warn(events.StorageSlow, zap.Duration(events.FieldElapsed, result.took), zap.Int("entries", len(result.persist.Entries)), zap.Int("held", held))
	}
}

// logLease logs when this leader asks for a longer or shorter lease, since round trips have changed.
func (s *Server) logLease() {
	roundTrip, silence := s.replica.node.Lease()
	s.usage.roundTrip.Store(int64(roundTrip))
	if before := s.usage.silence.Swap(int64(silence)); before == int64(silence) {
		return
	}
	s.log.Info(events.LeaseChanged, zap.Duration("round_trip", roundTrip), zap.Duration("silence", silence), zap.Uint64("term", s.replica.node.Term()))
}

// logElections logs elections of this replica that ended without a leader.
func (s *Server) logElections() {
	undecided := s.replica.node.UndecidedElections()
	if undecided == s.undecidedElections {
		return
	}
	s.usage.undecidedElections.Add(undecided - s.undecidedElections)
	s.undecidedElections = undecided
	if held, allowed := s.electionLog.allow(s.now()); allowed {
		s.log.Info(events.ElectionUndecided, zap.Uint64("term", s.replica.node.Term()), zap.Int("held", held))
	}
}
