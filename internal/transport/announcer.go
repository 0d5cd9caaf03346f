package transport

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"kitetiller/internal/clock"
)

// AnnouncerSettings configure an Announcer.
type AnnouncerSettings struct {
	Path       string        // request path at the peers
	QueueSize  int           // items that may be queued
	MaxBatch   int           // items per message
	BatchDelay time.Duration // delay before sending, to collect further items
	Timeout    time.Duration // of sending one message to one peer
}

// Timestamped is an item and the time when it was announced.
type Timestamped[T any] struct {
	Item T
	At   time.Duration // by clock.Now
}

// Announcer sends items to all peers in batches, without blocking callers of Announce. Delivery is best effort: items
// are dropped when the queue is full or a peer does not respond in time, so correctness must not depend on them.
type Announcer[T any] struct {
	client       *Client
	settings     AnnouncerSettings
	buildMessage func(batch []Timestamped[T]) any // returns the value that peers are sent, as JSON
	queue        chan Timestamped[T]

	mutex sync.Mutex
	peers []string
}

// NewAnnouncer returns an announcer without peers.
func NewAnnouncer[T any](client *Client, settings AnnouncerSettings, buildMessage func(batch []Timestamped[T]) any) *Announcer[T] {
	return &Announcer[T]{client: client, settings: settings, buildMessage: buildMessage, queue: make(chan Timestamped[T], settings.QueueSize)}
}

// SetPeers replaces the addresses of the peers.
func (a *Announcer[T]) SetPeers(peers []string) {
	a.mutex.Lock()
	a.peers = peers
	a.mutex.Unlock()
}

// Announce queues an item, or drops it when the queue is full.
func (a *Announcer[T]) Announce(item T) {
	select {
	case a.queue <- Timestamped[T]{Item: item, At: clock.Now()}:
	default:
	}
}

// Run sends queued items to the peers until ctx ends.
func (a *Announcer[T]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.queue:
			time.Sleep(a.settings.BatchDelay)
			a.broadcast(ctx, a.buildMessage(a.collectBatch(first)))
		}
	}
}

func (a *Announcer[T]) collectBatch(first Timestamped[T]) []Timestamped[T] {
	batch := []Timestamped[T]{first}
	for len(batch) < a.settings.MaxBatch && len(a.queue) > 0 {
		batch = append(batch, <-a.queue)
	}
	return batch
}

func (a *Announcer[T]) broadcast(ctx context.Context, message any) {
	a.mutex.Lock()
	peers := a.peers
	a.mutex.Unlock()
	if len(peers) == 0 {
		return
	}
	body, err := json.Marshal(message)
	if err != nil {
		return // the batch is dropped: delivery is best effort
	}
	for _, address := range peers {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, a.settings.Timeout)
			defer cancel()
			_ = a.client.PostBody(callCtx, address, a.settings.Path, body) // best effort
		}()
	}
}
