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
	// heartbeatBatchInterval is how long heartbeats without news wait for others to be passed to the leader with them, newsWait how long
	// those wait that need its answer, and beatsMost how many of each may.
	heartbeatBatchInterval = 100 * time.Millisecond
	heartbeatBatchDelay    = 10 * time.Millisecond
	maxQueuedHeartbeats    = 8192
	// ackTTL is how long a back end that the leader has taken needs no answer of the leader to a heartbeat that
	// changes nothing.
	ackTTL = 10 * time.Second
	// batchTimeout is how long the leader may take to answer a batch.
	batchTimeout = 800 * time.Millisecond
)

// pendingHeartbeat is a heartbeat whose sender waits for the leader's answer.
type pendingHeartbeat struct {
	heartbeat BackendHeartbeat
	done      chan error // has room for the one answer
}

// ackedHeartbeat is the newest whole heartbeat that the leader has taken of a back end, and when it last took any, by the server's clock.
type ackedHeartbeat struct {
	ackedAt   time.Duration
	heartbeat BackendHeartbeat
}

// isChangedBy reports whether a heartbeat isChangedBy what the leader doesn't know.
func (r ackedHeartbeat) isChangedBy(beat BackendHeartbeat) bool {
	return beat.Instance != r.heartbeat.Instance || beat.ColdLeft > 0 || r.heartbeat.ColdLeft > 0 || !maps.Equal(beat.Versions, r.heartbeat.Versions)
}

// heartbeatBatcher gathers the heartbeats of a replica's callers, so that the leader takes thousands of back ends' in a few
// messages a second. What registers, drains or ends a back end is answered once a majority holds the whole batch; what
// tells nothing new is answered at once.
type heartbeatBatcher struct {
	mu              sync.Mutex
	updates         []BackendHeartbeat        // without news; at most beatsMost
	keepalives      []Keepalive               // instead of those that differ from the one before by their number alone
	pending         []pendingHeartbeat        // with news; at most beatsMost
	wake            chan struct{}             // has an item when pending does; room for one
	acked           map[string]ackedHeartbeat // by id: what the leader last took of it
	lastBatchFailed bool                      // the newest batch did not reach the leader
}

// enqueueWithoutReply takes a heartbeat if it needs no answer of the leader.
func (c *heartbeatBatcher) enqueueWithoutReply(now time.Duration, beat BackendHeartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := beat.Instance.ID
	if beat.Leaving || beat.Instance.State != catalog.StateReady {
		delete(c.acked, id)
		return false
	}
	held, known := c.acked[id]
	if !known || now-held.ackedAt > ackTTL || c.lastBatchFailed || len(c.updates)+len(c.keepalives) >= maxQueuedHeartbeats {
		return false
	}
	if !held.isChangedBy(beat) {
		c.keepalives = append(c.keepalives, Keepalive{ID: id, Sequence: beat.Sequence})
		return true
	}
	held.heartbeat = beat
	c.acked[id] = held
	c.updates = append(c.updates, beat)
	return true
}

// recordAck notes that the leader has answered a heartbeat.
func (c *heartbeatBatcher) recordAck(now time.Duration, beat BackendHeartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !beat.Leaving && beat.Instance.State == catalog.StateReady {
		c.acked[beat.Instance.ID] = ackedHeartbeat{ackedAt: now, heartbeat: beat}
	}
}

// enqueueForReply takes a heartbeat that needs the leader's answer, or returns nil when too many enqueueForReply.
func (c *heartbeatBatcher) enqueueForReply(beat BackendHeartbeat) chan error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxQueuedHeartbeats {
		return nil
	}
	done := make(chan error, 1)
	c.pending = append(c.pending, pendingHeartbeat{heartbeat: beat, done: done})
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return done
}

// heartbeatBatch are heartbeats to be passed on together.
type heartbeatBatch struct {
	heartbeats []BackendHeartbeat // those whose senders wait come last, in the order in which they came
	keepalives []Keepalive        // of back ends of which there is nothing new
	pending    []pendingHeartbeat // senders that wait
}

func (g *heartbeatBatch) empty() bool { return len(g.heartbeats)+len(g.keepalives) == 0 }

// takeBatch returns the heartbeats that wait.
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

// recordBatch notes whether a batch reached the leader. Those in a batch that did count as registered on; of strangers, and of all of a batch that
// may have been lost, the next heartbeat is recordBatch whole.
func (c *heartbeatBatcher) recordBatch(now time.Duration, batch heartbeatBatch, reached bool, strangers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastBatchFailed = !reached
	for _, beat := range batch.heartbeats {
		c.recordDelivery(now, beat.Instance.ID, reached)
	}
	for _, sign := range batch.keepalives {
		c.recordDelivery(now, sign.ID, reached)
	}
	for _, id := range strangers {
		delete(c.acked, id)
	}
	for id, held := range c.acked {
		if now-held.ackedAt > ackTTL {
			delete(c.acked, id)
		}
	}
}

// recordDelivery notes whether a heartbeat reached the leader. The caller holds the mutex.
func (c *heartbeatBatcher) recordDelivery(now time.Duration, id string, reached bool) {
	held, known := c.acked[id]
	switch {
	case !known:
	case !reached:
		delete(c.acked, id)
	default:
		held.ackedAt = now
		c.acked[id] = held
	}
}

// errTooManyHeartbeats says that more heartbeats wait for the leader than this replica takes.
var errTooManyHeartbeats = eris.New("too many heartbeats wait for the leader")

// HandleBackendHeartbeat takes a back end's heartbeat; an error says that it has no clear answer.
func (s *Server) HandleBackendHeartbeat(ctx context.Context, beat BackendHeartbeat) error {
	if s.beats.enqueueWithoutReply(s.now(), beat) {
		return nil
	}
	done := s.beats.enqueueForReply(beat)
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

// forwardHeartbeats is the thread that passes gathered heartbeats to the leader, one batch after the other.
func (s *Server) forwardHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatBatchInterval)
	defer ticker.Stop()
	formed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.beats.wake:
			time.Sleep(heartbeatBatchDelay)
		}
		if !formed {
			formed = s.queryReplica((*Replica).formed) // until then the leader takes none, however often it is asked
		}
		if !formed {
			continue
		}
		batch := s.beats.takeBatch()
		if batch.empty() {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, batchTimeout)
		answer, err := s.group.Ask(attempt, Request{Beats: batch.heartbeats, Signs: batch.keepalives})
		cancel()
		s.beats.recordBatch(s.now(), batch, err == nil, answer.UnknownBackends)
		for _, p := range batch.pending {
			if err == nil {
				s.beats.recordAck(s.now(), p.heartbeat)
			}
			p.done <- err
		}
	}
}

// registrationBatch are registrations that wait for the next write. All that come within one cycle of the replica become one entry of the
// log, so that entries grow with time and not with back ends when a whole fleet starts.
type registrationBatch struct {
	instances []catalog.Instance // in the order in which they came
	clients   []uint64           // that wait for the entry
}

// queueRegistration takes a registration; client 0 waits for nothing.
func (r *Replica) queueRegistration(client uint64, instance catalog.Instance) {
	waiting := &r.leader.joining
	waiting.instances = append(waiting.instances, instance)
	waiting.addClient(client)
}

// addClient adds a client that is answered with the entry.
func (j *registrationBatch) addClient(client uint64) {
	if client != 0 {
		j.clients = append(j.clients, client)
	}
}

// proposeRegistrations proposes the registrations that wait. Whatever else is proposed comes after them, so that the log holds changes of a
// back end in the order in which they came.
func (r *Replica) proposeRegistrations(now time.Duration) {
	if r.leader == nil || len(r.leader.joining.instances) == 0 {
		return
	}
	waiting := r.leader.joining
	r.leader.joining = registrationBatch{}
	r.appendCommand(now, waiting.clients, Command{Catalog: &catalog.Command{RegisterBatch: waiting.instances}})
}

// handleHeartbeatBatch takes gathered heartbeats; each counts as if it had come alone. The answer comes once a majority holds all that
// they changed: entries commit in order, so it waits for the last.
func (r *Replica) handleHeartbeatBatch(now time.Duration, client uint64, beats []BackendHeartbeat, signs []Keepalive) {
	before := r.node.LastIndex()
	for _, beat := range beats {
		r.handleBackendHeartbeat(now, 0, beat)
	}
	var strangers []string
	for _, sign := range signs {
		if !r.handleKeepalive(now, sign) {
			strangers = append(strangers, sign.ID)
		}
	}
	last := r.node.LastIndex()
	switch {
	case len(r.leader.joining.instances) > 0:
		r.leader.recordUnknownBackends(client, strangers)
		r.leader.joining.addClient(client)
	case last > before:
		r.leader.recordUnknownBackends(client, strangers)
		r.pending[last] = pendingProposal{clients: []uint64{client}, term: r.node.Term()}
	default:
		r.reply(client, Response{Kind: ResponseOK, UnknownBackends: strangers})
	}
}

// recordUnknownBackends keeps the strangers of a batch for its answer, which waits for an entry. A back end whose heartbeats are only signs would else
// stay silent to this leader for as long as every batch changes something.
func (l *leaderState) recordUnknownBackends(client uint64, strangers []string) {
	if client != 0 && len(strangers) > 0 {
		l.unknownBackends[client] = strangers
	}
}

// replyCommitted answers the clients of an entry that has committed; each is told the strangers of its own batch.
func (r *Replica) replyCommitted(clients []uint64, response Response) {
	for _, client := range clients {
		answer := response
		if r.leader != nil {
			answer.UnknownBackends = r.leader.unknownBackends[client]
			delete(r.leader.unknownBackends, client)
		}
		r.reply(client, answer)
	}
}
