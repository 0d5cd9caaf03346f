package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

func heartbeatOf(id string, state catalog.State, sequence uint64) BackendHeartbeat {
	return BackendHeartbeat{Instance: catalog.Instance{ID: id, Service: "s", Address: id, State: state}, Sequence: sequence}
}

// TestOnlyHeartbeatsThatNeedNoReplyAreBatched: registering, draining and leaving are answered by the leader, and so is everything
// while batches don't reach it.
func TestOnlyHeartbeatsThatNeedNoReplyAreBatched(t *testing.T) {
	c := &heartbeatBatcher{acked: map[string]ackedHeartbeat{}}
	ready, draining, leaves := heartbeatOf("i", catalog.StateReady, 1), heartbeatOf("i", catalog.StateDraining, 2), BackendHeartbeat{Instance: catalog.Instance{ID: "i"}, Leaving: true}
	if c.enqueueWithoutReply(0, ready) {
		t.Fatal("the first heartbeat is gathered")
	}
	c.recordAck(0, ready)
	count := func() int {
		batch := c.takeBatch()
		return len(batch.heartbeats) + len(batch.keepalives)
	}
	if !c.enqueueWithoutReply(time.Second, ready) || count() != 1 || count() != 0 {
		t.Fatal("a heartbeat without news is not gathered once")
	}
	for name, news := range map[string]BackendHeartbeat{"draining": draining, "leaving": leaves} {
		c.recordAck(0, ready)
		if c.enqueueWithoutReply(time.Second, news) || c.enqueueWithoutReply(time.Second, ready) {
			t.Fatalf("%s, or a heartbeat after it, is gathered", name)
		}
		if c.recordAck(0, news); c.enqueueWithoutReply(time.Second, ready) {
			t.Fatalf("%s counts as registered", name)
		}
	}
	c.recordAck(0, ready)
	if c.enqueueWithoutReply(ackTTL+time.Second, ready) {
		t.Fatal("a heartbeat is gathered long after the leader took one")
	}
	c.recordAck(0, ready)
	if c.recordBatch(time.Second, heartbeatBatch{}, false, nil); c.enqueueWithoutReply(time.Second, ready) {
		t.Fatal("a heartbeat is gathered while batches fail")
	}
	if c.recordBatch(time.Second, heartbeatBatch{}, true, nil); !c.enqueueWithoutReply(time.Second, ready) {
		t.Fatal("no heartbeat is gathered after a batch has passed")
	}
}

// TestBatchedHeartbeatsHaveTheEffectOfSingleOnes: they keep a back end heard, bring a forgotten one back, and take back no draining.
func TestBatchedHeartbeatsHaveTheEffectOfSingleOnes(t *testing.T) {
	s := openWithEngines(t)
	s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: "i-1", Service: "engine", Address: "i-1", State: catalog.StateDraining}, Sequence: 9}})
	s.ask(Request{Beats: []BackendHeartbeat{heartbeatOf("i-1", catalog.StateReady, 10), heartbeatOf("i-2", catalog.StateReady, uint64(s.now)), heartbeatOf("i-3", catalog.StateReady, 1)}})
	s.advance(100 * time.Millisecond)
	instances := s.replica.Machine().Catalog().Instances()
	if instances["i-1"].State != catalog.StateDraining || instances["i-3"].State != catalog.StateReady {
		t.Fatalf("instances %+v", instances)
	}
	if heard := s.replica.leader.fleet["i-2"].heardAt; heard < s.now-time.Second {
		t.Fatalf("i-2 was heard at %v, now %v", heard, s.now)
	}
}

// TestBatchIsAnsweredOnceCommitted: a batch that changes something is answered once its last entry has committed, one that
// changes nothing at once.
func TestBatchIsAnsweredOnceCommitted(t *testing.T) {
	s := openWithEngines(t)
	const client = 5000
	s.replica.Handle(s.now, client, Request{Beats: []BackendHeartbeat{
		heartbeatOf("i-2", catalog.StateReady, uint64(s.now)), heartbeatOf("i-7", catalog.StateReady, 1), heartbeatOf("i-2", catalog.StateDraining, uint64(s.now)+1),
		heartbeatOf("i-8", catalog.StateReady, 1),
	}})
	if _, answered := s.replies[client]; answered {
		t.Fatal("answered before anything was written")
	}
	s.work()
	instances := s.replica.Machine().Catalog().Instances()
	if s.replies[client].Kind != ResponseOK || instances["i-2"].State != catalog.StateDraining || instances["i-7"].ID == "" || instances["i-8"].ID == "" {
		t.Fatalf("reply %+v, instances %+v", s.replies[client], instances)
	}
}

// TestHeartbeatsForReplyAreQueuedInOrderAndBounded: in the order in which they came, and no more than may wait.
func TestHeartbeatsForReplyAreQueuedInOrderAndBounded(t *testing.T) {
	c := &heartbeatBatcher{acked: map[string]ackedHeartbeat{}, wake: make(chan struct{}, 1)}
	for i := range maxQueuedHeartbeats {
		if c.enqueueForReply(heartbeatOf("i", catalog.StateReady, uint64(i))) == nil {
			t.Fatalf("no room for news %d", i)
		}
	}
	if c.enqueueForReply(heartbeatOf("i", catalog.StateReady, 0)) != nil {
		t.Fatal("room for more than may wait")
	}
	batch := c.takeBatch()
	if len(batch.heartbeats) != maxQueuedHeartbeats || len(batch.pending) != maxQueuedHeartbeats || batch.pending[7].heartbeat.Sequence != 7 || len(c.wake) != 1 {
		t.Fatalf("batch of %d, %d wait", len(batch.heartbeats), len(batch.pending))
	}
}

// TestUnchangedHeartbeatsAreSentAsKeepalives: what tells nothing new is passed as an id and a number; once something is new, once a batch may have been
// lost, and where the leader asks for it, it is passed whole.
func TestUnchangedHeartbeatsAreSentAsKeepalives(t *testing.T) {
	c := &heartbeatBatcher{acked: map[string]ackedHeartbeat{}}
	beat := heartbeatOf("i", catalog.StateReady, 1)
	beat.Versions = map[string]uint64{"m": 1}
	c.recordAck(0, beat)
	passes := func(beat BackendHeartbeat) heartbeatBatch {
		t.Helper()
		if !c.enqueueWithoutReply(time.Second, beat) {
			t.Fatalf("%+v is not gathered", beat)
		}
		return c.takeBatch()
	}
	if got := passes(beat); len(got.keepalives) != 1 || len(got.heartbeats) > 0 || jsonLength(t, got.keepalives[0])*3 > jsonLength(t, beat) {
		t.Fatalf("passed on: %+v", got)
	}
	beat.Versions = map[string]uint64{"m": 2}
	if got := passes(beat); len(got.heartbeats) != 1 {
		t.Fatalf("new weights are passed as %+v", got)
	}
	if got := passes(beat); len(got.keepalives) != 1 {
		t.Fatalf("known weights are passed as %+v", got)
	}
	c.recordBatch(time.Second, heartbeatBatch{}, true, []string{"i"})
	if c.enqueueWithoutReply(time.Second, beat) {
		t.Fatal("a stranger's heartbeat needs no answer")
	}
	c.recordAck(time.Second, beat)
	c.recordBatch(time.Second, passes(beat), false, nil)
	if c.recordBatch(time.Second, heartbeatBatch{}, true, nil); c.enqueueWithoutReply(time.Second, beat) {
		t.Fatal("a heartbeat is shortened after one that may have been lost")
	}
}

// TestNewLeaderRequestsFullHeartbeats: of a back end that it has heard nothing whole of, and of one that is gone.
func TestNewLeaderRequestsFullHeartbeats(t *testing.T) {
	s := openWithEngines(t)
	same := func(id string) Keepalive { return Keepalive{ID: id, Sequence: uint64(s.now)} }
	s.replica.leader.fleet["i-2"].fullHeartbeatSeen = false
	s.advance(time.Second)
	if answer := s.ask(Request{Signs: []Keepalive{same("i-1"), same("i-2"), same("i-3")}}); len(answer.UnknownBackends) != 2 {
		t.Fatalf("answer %+v", answer)
	}
	if heard := s.replica.leader.fleet["i-1"].heardAt; heard != s.now {
		t.Fatalf("i-1 was heard at %v, now %v", heard, s.now)
	}
	if _, known := s.replica.Machine().Catalog().Instances()["i-3"]; known {
		t.Fatal("a shortened heartbeat registers a back end")
	}
}
