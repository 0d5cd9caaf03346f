package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/catalog"
)

const (
	// heartbeatBatchInterval is how often the heartbeats that need no answer of the leader are forwarded.
	heartbeatBatchInterval = 100 * time.Millisecond
	// heartbeatBatchDelay is how long a heartbeat that needs an answer waits for others to share its batch.
	heartbeatBatchDelay = 10 * time.Millisecond
	// maxQueuedHeartbeats limits the queued heartbeats of either kind.
	maxQueuedHeartbeats = 8192
	// ackTTL is how long after the leader last acknowledged a heartbeat of a back end its further heartbeats need no
	// answer of the leader, unless the back end changes state.
	ackTTL = 10 * time.Second
	// batchTimeout limits how long the leader may take to answer a batch.
	batchTimeout = 800 * time.Millisecond
)

// pendingHeartbeat is a heartbeat whose sender waits for the leader's answer.
type pendingHeartbeat struct {
	heartbeat BackendHeartbeat
	done      chan error // buffered for the one answer
}

// ackedHeartbeat is the latest full heartbeat of a back end that was sent to the leader, and when the leader last
// acknowledged any.
type ackedHeartbeat struct {
	ackedAt   time.Duration
	heartbeat BackendHeartbeat
}

// isChangedBy reports whether a heartbeat holds anything that the leader does not know.
func (r ackedHeartbeat) isChangedBy(heartbeat BackendHeartbeat) bool {
	return heartbeat.Instance != r.heartbeat.Instance || heartbeat.ColdLeft > 0 || r.heartbeat.ColdLeft > 0 || !maps.Equal(heartbeat.Versions, r.heartbeat.Versions) ||
		heartbeat.SoftwareVersion != r.heartbeat.SoftwareVersion
}

// heartbeatBatcher collects the heartbeats that a replica receives, so that the leader gets those of thousands of back
// ends in a few messages per second. Heartbeats that register, drain or deregister a back end are answered once the
// whole batch has committed, and all others at once.
type heartbeatBatcher struct {
	mu              sync.Mutex
	updates         []BackendHeartbeat        // changed heartbeats that need no answer; with keepalives, at most maxQueuedHeartbeats
	keepalives      []Keepalive               // in place of heartbeats that differ from the previous one only in their sequence number
	pending         []pendingHeartbeat        // heartbeats that need an answer; at most maxQueuedHeartbeats
	wake            chan struct{}             // signals that pending is not empty; buffer of one
	acked           map[string]ackedHeartbeat // by instance ID
	lastBatchFailed bool                      // the latest batch did not reach the leader
}

// enqueueWithoutReply queues a heartbeat if it needs no answer of the leader, and reports whether it did.
func (c *heartbeatBatcher) enqueueWithoutReply(now time.Duration, heartbeat BackendHeartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := heartbeat.Instance.ID
	if heartbeat.Leaving || heartbeat.Instance.State != catalog.StateReady {
		delete(c.acked, id)
		return false
	}
	held, known := c.acked[id]
	if !known || now-held.ackedAt > ackTTL || c.lastBatchFailed || len(c.updates)+len(c.keepalives) >= maxQueuedHeartbeats {
		return false
	}
	if !held.isChangedBy(heartbeat) {
		c.keepalives = append(c.keepalives, Keepalive{ID: id, Sequence: heartbeat.Sequence})
		return true
	}
	held.heartbeat = heartbeat
	c.acked[id] = held
	c.updates = append(c.updates, heartbeat)
	return true
}

// recordAck records that the leader has answered a heartbeat.
func (c *heartbeatBatcher) recordAck(now time.Duration, heartbeat BackendHeartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !heartbeat.Leaving && heartbeat.Instance.State == catalog.StateReady {
		c.acked[heartbeat.Instance.ID] = ackedHeartbeat{ackedAt: now, heartbeat: heartbeat}
	}
}

// enqueueForReply queues a heartbeat that needs an answer of the leader and returns the channel for it, or nil if the
// queue is full.
func (c *heartbeatBatcher) enqueueForReply(heartbeat BackendHeartbeat) chan error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxQueuedHeartbeats {
		return nil
	}
	done := make(chan error, 1)
	c.pending = append(c.pending, pendingHeartbeat{heartbeat: heartbeat, done: done})
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return done
}

// heartbeatBatch is a set of heartbeats forwarded in one request.
type heartbeatBatch struct {
	heartbeats []BackendHeartbeat // the pending ones come last, in order of arrival
	keepalives []Keepalive        // of back ends without changes
	pending    []pendingHeartbeat // heartbeats whose senders wait for the answer
}

func (b *heartbeatBatch) empty() bool { return len(b.heartbeats)+len(b.keepalives) == 0 }

// takeBatch removes and returns all queued heartbeats.
func (c *heartbeatBatcher) takeBatch() heartbeatBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := heartbeatBatch{heartbeats: c.updates, keepalives: c.keepalives, pending: c.pending}
	c.updates, c.keepalives, c.pending = nil, nil, nil
	for _, p := range batch.pending {
		batch.heartbeats = append(batch.heartbeats, p.heartbeat)
	}
	return batch
}

// recordBatch records whether a batch reached the leader. If it did, the acknowledgements of its back ends are
// extended. The next heartbeat of a back end that the leader does not know, or of one in a batch that may have been
// lost, is sent in full.
func (c *heartbeatBatcher) recordBatch(now time.Duration, batch heartbeatBatch, delivered bool, unknownBackends []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastBatchFailed = !delivered
	for _, heartbeat := range batch.heartbeats {
		c.recordDelivery(now, heartbeat.Instance.ID, delivered)
	}
	for _, keepalive := range batch.keepalives {
		c.recordDelivery(now, keepalive.ID, delivered)
	}
	for _, id := range unknownBackends {
		delete(c.acked, id)
	}
	for id, held := range c.acked {
		if now-held.ackedAt > ackTTL {
			delete(c.acked, id)
		}
	}
}

// recordDelivery records whether a heartbeat of a back end reached the leader. The caller holds the mutex.
func (c *heartbeatBatcher) recordDelivery(now time.Duration, id string, delivered bool) {
	held, known := c.acked[id]
	switch {
	case !known:
	case !delivered:
		delete(c.acked, id)
	default:
		held.ackedAt = now
		c.acked[id] = held
	}
}

// errTooManyHeartbeats is returned if the queue of heartbeats for the leader is full.
var errTooManyHeartbeats = eris.New("too many heartbeats are queued for the leader")

// HandleBackendHeartbeat handles a heartbeat of a back end. After an error, the heartbeat may or may not have taken
// effect.
func (s *Server) HandleBackendHeartbeat(ctx context.Context, heartbeat BackendHeartbeat) error {
	if s.heartbeats.enqueueWithoutReply(s.now(), heartbeat) {
		return nil
	}
	done := s.heartbeats.enqueueForReply(heartbeat)
	if done == nil {
		return errTooManyHeartbeats
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrNoAnswer
	}
}

// forwardHeartbeats forwards queued heartbeats to the leader until ctx is done, one batch at a time.
func (s *Server) forwardHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatBatchInterval)
	defer ticker.Stop()
	formed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.heartbeats.wake:
			time.Sleep(heartbeatBatchDelay)
		}
		if !formed {
			formed = s.queryReplica((*Replica).formed) // the leader accepts no heartbeats before that
		}
		if !formed {
			continue
		}
		batch := s.heartbeats.takeBatch()
		if batch.empty() {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, batchTimeout)
		response, err := s.group.Ask(attempt, Request{BackendHeartbeats: batch.heartbeats, Keepalives: batch.keepalives})
		cancel()
		s.heartbeats.recordBatch(s.now(), batch, err == nil, response.UnknownBackends)
		for _, p := range batch.pending {
			if err == nil {
				s.heartbeats.recordAck(s.now(), p.heartbeat)
			}
			p.done <- err
		}
	}
}

// registrationBatch holds registrations to be proposed in one log entry with the next write, so that the start of a
// whole fleet does not create an entry per back end.
type registrationBatch struct {
	instances []catalog.Instance // in order of arrival
	clients   []uint64           // answered when the entry has committed
}

// queueRegistration adds a registration to the next batch. Client 0 gets no answer.
func (r *Replica) queueRegistration(client uint64, instance catalog.Instance) {
	batch := &r.leader.pendingRegistrations
	batch.instances = append(batch.instances, instance)
	batch.addClient(client)
}

// addClient adds a client to be answered when the entry has committed.
func (b *registrationBatch) addClient(client uint64) {
	if client != 0 {
		b.clients = append(b.clients, client)
	}
}

// proposeRegistrations proposes the queued registrations. It must run before any other proposal, so that the log holds
// the changes of a back end in order of arrival.
func (r *Replica) proposeRegistrations(now time.Duration) {
	if r.leader == nil || len(r.leader.pendingRegistrations.instances) == 0 {
		return
	}
	batch := r.leader.pendingRegistrations
	r.leader.pendingRegistrations = registrationBatch{}
	r.appendCommand(now, batch.clients, Command{Catalog: &catalog.Command{RegisterBatch: batch.instances}})
}

// handleHeartbeatBatch handles a batch of heartbeats as if each had arrived alone. The answer is sent once the last
// entry that they caused has committed; entries commit in order.
func (r *Replica) handleHeartbeatBatch(now time.Duration, client uint64, heartbeats []BackendHeartbeat, keepalives []Keepalive) {
	before := r.node.LastIndex()
	for _, heartbeat := range heartbeats {
		r.handleBackendHeartbeat(now, 0, heartbeat)
	}
	var unknownBackends []string
	for _, keepalive := range keepalives {
		if !r.handleKeepalive(now, keepalive) {
			unknownBackends = append(unknownBackends, keepalive.ID)
		}
	}
	last := r.node.LastIndex()
	switch {
	case len(r.leader.pendingRegistrations.instances) > 0:
		r.leader.recordUnknownBackends(client, unknownBackends)
		r.leader.pendingRegistrations.addClient(client)
	case last > before:
		r.leader.recordUnknownBackends(client, unknownBackends)
		r.pending[last] = pendingProposal{clients: []uint64{client}, term: r.node.Term()}
	default:
		r.reply(client, Response{Kind: ResponseOK, UnknownBackends: unknownBackends})
	}
}

// recordUnknownBackends keeps the unknown back ends of a batch for its answer, which waits for an entry. Without it, a
// back end that sends only keepalives would stay unknown to this leader for as long as every batch changes something.
func (l *leaderState) recordUnknownBackends(client uint64, unknownBackends []string) {
	if client != 0 && len(unknownBackends) > 0 {
		l.unknownBackends[client] = unknownBackends
	}
}

// replyCommitted answers the clients of a committed entry, each with the unknown back ends of its own batch.
func (r *Replica) replyCommitted(clients []uint64, response Response) {
	for _, client := range clients {
		clientResponse := response
		if r.leader != nil {
			clientResponse.UnknownBackends = r.leader.unknownBackends[client]
			delete(r.leader.unknownBackends, client)
		}
		r.reply(client, clientResponse)
	}
}
