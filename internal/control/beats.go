package control

import (
	"context"
	"sync"
	"time"

	"kitetiller/internal/catalog"
)

const (
	// beatsEach is how long heartbeats wait for others to be passed to the leader with them, and beatsMost how many may.
	beatsEach = 100 * time.Millisecond
	beatsMost = 8192
	// registeredFor is how long a back end that the leader has taken needs no answer of the leader to a heartbeat that
	// changes nothing.
	registeredFor = 10 * time.Second
	// batchTimeout is how long the leader may take to answer a batch.
	batchTimeout = 800 * time.Millisecond
)

// beatCollector gathers the heartbeats of a replica's callers that tell nothing new, so that the leader takes thousands of
// back ends' in a few messages a second. What registers, drains or ends a back end is never gathered: that is answered by
// the leader once a majority holds it.
type beatCollector struct {
	mu         sync.Mutex
	waiting    []Beat                   // at most beatsMost
	registered map[string]time.Duration // by id: when the leader last took it, by the server's clock
	failing    bool                     // the newest batch did not reach the leader
}

// add takes a heartbeat if it needs no answer of the leader.
func (c *beatCollector) add(now time.Duration, beat Beat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := beat.Instance.ID
	if beat.Leaves || beat.Instance.State != catalog.StateReady {
		delete(c.registered, id)
		return false
	}
	at, known := c.registered[id]
	if !known || now-at > registeredFor || c.failing || len(c.waiting) >= beatsMost {
		return false
	}
	c.waiting = append(c.waiting, beat)
	return true
}

// taken notes that the leader has answered a heartbeat.
func (c *beatCollector) taken(now time.Duration, beat Beat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !beat.Leaves && beat.Instance.State == catalog.StateReady {
		c.registered[beat.Instance.ID] = now
	}
}

// batch returns the heartbeats that wait.
func (c *beatCollector) batch() []Beat {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.waiting
	c.waiting = nil
	return batch
}

// passed notes whether a batch reached the leader. Those in a batch that did count as registered on.
func (c *beatCollector) passed(now time.Duration, batch []Beat, reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = !reached
	for _, beat := range batch {
		if _, known := c.registered[beat.Instance.ID]; known && reached {
			c.registered[beat.Instance.ID] = now
		}
	}
	for id, at := range c.registered {
		if now-at > registeredFor {
			delete(c.registered, id)
		}
	}
}

// Beat takes a back end's heartbeat; an error says that it has no clear answer.
func (s *Server) Beat(ctx context.Context, beat Beat) error {
	if s.beats.add(s.now(), beat) {
		return nil
	}
	if _, err := s.group.Ask(ctx, Request{Beat: &beat}); err != nil {
		return err
	}
	s.beats.taken(s.now(), beat)
	return nil
}

// passBeats is the thread that passes gathered heartbeats to the leader.
func (s *Server) passBeats(ctx context.Context) {
	ticker := time.NewTicker(beatsEach)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		batch := s.beats.batch()
		if len(batch) == 0 {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, batchTimeout)
		_, err := s.group.Ask(attempt, Request{Beats: batch})
		cancel()
		s.beats.passed(s.now(), batch, err == nil)
	}
}

// takeBeats takes gathered heartbeats; each counts as if it had come alone.
func (r *Replica) takeBeats(now time.Duration, client uint64, beats []Beat) {
	for _, beat := range beats {
		r.beat(now, 0, beat)
	}
	r.reply(client, Response{Kind: ResponseOK})
}
