package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// heartbeatOf returns a heartbeat of a back end of service s.
func heartbeatOf(id string, state catalog.State, sequence uint64) BackendHeartbeat {
	return BackendHeartbeat{Instance: catalog.Instance{ID: id, Service: "s", Address: id, State: state}, Sequence: sequence}
}

// TestOnlyHeartbeatsThatNeedNoReplyAreBatched: heartbeats that register, drain or deregister a back end need an answer
// of the leader, and so do all others while batches do not reach it.
func TestOnlyHeartbeatsThatNeedNoReplyAreBatched(t *testing.T) {
	batcher := &heartbeatBatcher{acked: map[string]ackedHeartbeat{}}
	ready, draining, leaving := heartbeatOf("i", catalog.StateReady, 1), heartbeatOf("i", catalog.StateDraining, 2), BackendHeartbeat{Instance: catalog.Instance{ID: "i"}, Leaving: true}
	if batcher.enqueueWithoutReply(0, ready) {
		t.Fatal("the first heartbeat of a back end was queued without an answer")
	}
	batcher.recordAck(0, ready)
	count := func() int {
		batch := batcher.takeBatch()
		return len(batch.heartbeats) + len(batch.keepalives)
	}
	if !batcher.enqueueWithoutReply(time.Second, ready) || count() != 1 || count() != 0 {
		t.Fatal("an unchanged heartbeat was not queued exactly once")
	}
	for name, heartbeat := range map[string]BackendHeartbeat{"draining": draining, "leaving": leaving} {
		batcher.recordAck(0, ready)
		if batcher.enqueueWithoutReply(time.Second, heartbeat) || batcher.enqueueWithoutReply(time.Second, ready) {
			t.Fatalf("%s: this heartbeat, or the one after it, was queued without an answer", name)
		}
		if batcher.recordAck(0, heartbeat); batcher.enqueueWithoutReply(time.Second, ready) {
			t.Fatalf("%s: recorded as an acknowledged heartbeat", name)
		}
	}
	batcher.recordAck(0, ready)
	if batcher.enqueueWithoutReply(ackTTL+time.Second, ready) {
		t.Fatal("a heartbeat was queued without an answer although the last acknowledgement has expired")
	}
	batcher.recordAck(0, ready)
	if batcher.recordBatch(time.Second, heartbeatBatch{}, false, nil); batcher.enqueueWithoutReply(time.Second, ready) {
		t.Fatal("a heartbeat was queued without an answer after a batch had failed")
	}
	if batcher.recordBatch(time.Second, heartbeatBatch{}, true, nil); !batcher.enqueueWithoutReply(time.Second, ready) {
		t.Fatal("no heartbeat was queued without an answer after a batch had succeeded")
	}
}

// TestBatchedHeartbeatsHaveTheEffectOfSingleOnes: batched heartbeats keep a back end alive and register an expired one,
// but do not undo a drain.
func TestBatchedHeartbeatsHaveTheEffectOfSingleOnes(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: "i-1", Service: "engine", Address: "i-1", State: catalog.StateDraining}, Sequence: 9}})
	s.ask(Request{BackendHeartbeats: []BackendHeartbeat{heartbeatOf("i-1", catalog.StateReady, 10), heartbeatOf("i-2", catalog.StateReady, uint64(s.now)), heartbeatOf("i-3", catalog.StateReady, 1)}})
	s.advance(100 * time.Millisecond)
	instances := s.replica.Machine().Catalog().Instances()
	if instances["i-1"].State != catalog.StateDraining || instances["i-3"].State != catalog.StateReady {
		t.Fatalf("instances %+v", instances)
	}
	if heardAt := s.replica.leader.fleet["i-2"].heardAt; heardAt < s.now-time.Second {
		t.Fatalf("last heartbeat of i-2 at %v, now %v", heardAt, s.now)
	}
}

// TestBatchIsAnsweredOnceCommitted: a batch that changes something is answered once its last entry has committed, and
// any other batch at once.
func TestBatchIsAnsweredOnceCommitted(t *testing.T) {
	s := openWithEngines(t)
	const client = 5000
	s.replica.Handle(s.now, client, Request{BackendHeartbeats: []BackendHeartbeat{
		heartbeatOf("i-2", catalog.StateReady, uint64(s.now)), heartbeatOf("i-7", catalog.StateReady, 1), heartbeatOf("i-2", catalog.StateDraining, uint64(s.now)+1),
		heartbeatOf("i-8", catalog.StateReady, 1),
	}})
	if _, answered := s.replies[client]; answered {
		t.Fatal("answered before the entries were committed")
	}
	s.work()
	instances := s.replica.Machine().Catalog().Instances()
	if s.replies[client].Kind != ResponseOK || instances["i-2"].State != catalog.StateDraining || instances["i-7"].ID == "" || instances["i-8"].ID == "" {
		t.Fatalf("reply %+v, instances %+v", s.replies[client], instances)
	}
}

// TestHeartbeatsForReplyAreQueuedInOrderAndBounded: heartbeats that need an answer keep their order, and the queue has
// a limit.
func TestHeartbeatsForReplyAreQueuedInOrderAndBounded(t *testing.T) {
	batcher := &heartbeatBatcher{acked: map[string]ackedHeartbeat{}, wake: make(chan struct{}, 1)}
	for i := range maxQueuedHeartbeats {
		if batcher.enqueueForReply(heartbeatOf("i", catalog.StateReady, uint64(i))) == nil {
			t.Fatalf("heartbeat %d was rejected before the queue was full", i)
		}
	}
	if batcher.enqueueForReply(heartbeatOf("i", catalog.StateReady, 0)) != nil {
		t.Fatal("a heartbeat was queued beyond the limit")
	}
	batch := batcher.takeBatch()
	if len(batch.heartbeats) != maxQueuedHeartbeats || len(batch.pending) != maxQueuedHeartbeats || batch.pending[7].heartbeat.Sequence != 7 || len(batcher.wake) != 1 {
		t.Fatalf("batch of %d heartbeats, %d of them pending", len(batch.heartbeats), len(batch.pending))
	}
}

// TestUnchangedHeartbeatsAreSentAsKeepalives: an unchanged heartbeat is sent as a keepalive. It is sent in full after a
// change, after a batch that may have been lost, and if the leader asks for it.
func TestUnchangedHeartbeatsAreSentAsKeepalives(t *testing.T) {
	batcher := &heartbeatBatcher{acked: map[string]ackedHeartbeat{}}
	heartbeat := heartbeatOf("i", catalog.StateReady, 1)
	heartbeat.Versions = map[string]uint64{"m": 1}
	batcher.recordAck(0, heartbeat)
	enqueue := func(heartbeat BackendHeartbeat) heartbeatBatch {
		t.Helper()
		if !batcher.enqueueWithoutReply(time.Second, heartbeat) {
			t.Fatalf("heartbeat %+v was not queued", heartbeat)
		}
		return batcher.takeBatch()
	}
	if got := enqueue(heartbeat); len(got.keepalives) != 1 || len(got.heartbeats) > 0 || jsonLength(t, got.keepalives[0])*3 > jsonLength(t, heartbeat) {
		t.Fatalf("unchanged heartbeat was sent as %+v", got)
	}
	heartbeat.Versions = map[string]uint64{"m": 2}
	if got := enqueue(heartbeat); len(got.heartbeats) != 1 {
		t.Fatalf("heartbeat with new weights was sent as %+v", got)
	}
	if got := enqueue(heartbeat); len(got.keepalives) != 1 {
		t.Fatalf("heartbeat with known weights was sent as %+v", got)
	}
	batcher.recordBatch(time.Second, heartbeatBatch{}, true, []string{"i"})
	if batcher.enqueueWithoutReply(time.Second, heartbeat) {
		t.Fatal("heartbeat of a back end that the leader does not know was queued without an answer")
	}
	batcher.recordAck(time.Second, heartbeat)
	batcher.recordBatch(time.Second, enqueue(heartbeat), false, nil)
	if batcher.recordBatch(time.Second, heartbeatBatch{}, true, nil); batcher.enqueueWithoutReply(time.Second, heartbeat) {
		t.Fatal("keepalive sent after a heartbeat that may have been lost")
	}
}

// TestNewLeaderRequestsFullHeartbeats: a leader asks for a full heartbeat of a back end without one so far, and of one
// that is not registered.
func TestNewLeaderRequestsFullHeartbeats(t *testing.T) {
	s := openWithEngines(t)
	keepaliveOf := func(id string) Keepalive { return Keepalive{ID: id, Sequence: uint64(s.now)} }
	s.replica.leader.fleet["i-2"].fullHeartbeatSeen = false
	s.advance(time.Second)
	if response := s.ask(Request{Keepalives: []Keepalive{keepaliveOf("i-1"), keepaliveOf("i-2"), keepaliveOf("i-3")}}); len(response.UnknownBackends) != 2 {
		t.Fatalf("response %+v, want 2 unknown back ends", response)
	}
	if heardAt := s.replica.leader.fleet["i-1"].heardAt; heardAt != s.now {
		t.Fatalf("last heartbeat of i-1 at %v, now %v", heardAt, s.now)
	}
	if _, known := s.replica.Machine().Catalog().Instances()["i-3"]; known {
		t.Fatal("a keepalive registered a back end")
	}
}
