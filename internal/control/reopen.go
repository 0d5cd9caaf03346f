package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/level"
	"kitetiller/internal/storage"
)

// After a failed write, nobody knows what the data folder holds, so the replica is abandoned and restored from the folder,
// as after a restart. Unlike a restart, it waits until the folder can be used, and rejects what arrives meanwhile.

const (
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = time.Second
)

// isPermanent reports whether opening the data folder again can't succeed.
func isPermanent(err error) bool {
	return errors.Is(err, storage.ErrDamaged) || errors.Is(err, storage.ErrForeign) || errors.Is(err, storage.ErrNewerFormat) || errors.Is(err, level.ErrTooOld)
}

// restore opens the data folder and restores the replica from it. A replica that never had anything durable keeps its identity, so
// that a disk that fails again and again doesn't add a member to the group each time.
func (s *Server) restore() error {
	var unused *Identity
	if s.disk != nil && s.disk.IsEmpty() {
		unused = s.identity.Load()
	}
	disk, identity, restored, err := openDiskOn(s.files, s.file.DataDir, s.file.Name, unused)
	if err != nil {
		return err
	}
	s.identity.Store(&identity)
	if s.config, err = s.replicaConfig(); err != nil {
		_ = disk.Close()
		return err
	}
	replica, err := NewReplica(s.config, restored, s.now())
	if err != nil {
		_ = disk.Close()
		return err
	}
	replica.StartSyncTime(disk.OpenSyncTime())
	s.disk, s.replica, s.undecidedElections = disk, replica, 0
	return nil
}

// restoreWhenPossible restores the replica at the start of the process. It waits while the data folder can't be used, since
// a process that ends on a full disk would only start again on the same disk.
func (s *Server) restoreWhenPossible(ctx context.Context) error {
	for delay := minReopenDelay; ; delay = min(2*delay, maxReopenDelay) {
		err := s.restore()
		if err == nil || isPermanent(err) {
			return err
		}
		s.log.Error(events.StorageFailed, zap.Error(err))
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
	}
}

// reopenStorage restores the replica after a failed write, as soon as the data folder can be used. It returns false when
// the process ends.
func (s *Server) reopenStorage(ctx context.Context, cause error) bool {
	s.log.Error(events.StorageFailed, zap.Error(cause))
	s.usage.storageFailures.Add(1)
	readOffers := s.replica.readOffers
	s.folderFailed.Store(s.disk.IsEmpty())
	s.abandonClients()
	_ = s.disk.Close() // the write has failed already
	for s.rejectInputs(ctx, s.reopenDelay) {
		s.reopenDelay = min(2*s.reopenDelay, maxReopenDelay) // until a write succeeds
		err := s.restore()
		switch {
		case err == nil:
			s.replica.readOffers = readOffers
			s.log.Info(events.StorageRecovered, zap.Uint64("index", s.replica.Node().LastIndex()))
			s.createFolder()
			if s.replica.Node().LastIndex() == 0 {
				go s.joinOrCreateGroup(ctx)
			}
			return true
		case isPermanent(err):
			s.fatal <- err
			return false
		}
	}
	return false
}

// abandonClients answers all waiting clients: their entries may be on the disk of this replica or of others.
func (s *Server) abandonClients() {
	for id, respond := range s.clients {
		delete(s.clients, id)
		respond(http.StatusOK, Response{Kind: ResponseUnknown})
	}
}

// rejectInputs rejects what arrives for a time. It returns false if ctx ends first.
func (s *Server) rejectInputs(ctx context.Context, length time.Duration) bool {
	end := time.After(length)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-end:
			return true
		case item := <-s.inputs:
			s.rejectInput(item)
		}
	}
}

// rejectInput rejects an input while there is no replica. Messages of other replicas are dropped; they are repeated.
func (s *Server) rejectInput(item input) {
	s.queuedBytes.Add(-int64(item.bytes))
	switch {
	case item.request != nil:
		item.respond(http.StatusOK, Response{Kind: ResponseNoQuorum})
	case item.hello != nil:
		item.hello.respond(http.StatusOK, HelloReply{HasState: true})
	}
}
