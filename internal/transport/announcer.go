package transport

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"kitetiller/internal/clock"
)

// AnnouncerSettings bound an announcer.
type AnnouncerSettings struct {
	Path       string        // that peers are told on
	QueueSize  int           // items that may wait
	MaxBatch   int           // items told in one message
	BatchDelay time.Duration // how long an item waits for others to be told with it
	Timeout    time.Duration // of one message
}

// Timestamped is an announced item and when that was.
type Timestamped[T any] struct {
	Item T
	At   time.Duration // by clock.Now
}

// Announcer tells peers of items, several in one message, without ever holding up who announces them. What cannot be told
// in time is dropped: it is for news that only make a choice better.
type Announcer[T any] struct {
	client       *Client
	settings     AnnouncerSettings
	buildMessage func(batch []Timestamped[T]) any // what peers are sent
	queue        chan Timestamped[T]

	mutex sync.Mutex
	peers []string
}

// NewAnnouncer returns an announcer without peers.
func NewAnnouncer[T any](client *Client, settings AnnouncerSettings, buildMessage func(batch []Timestamped[T]) any) *Announcer[T] {
	return &Announcer[T]{client: client, settings: settings, buildMessage: buildMessage, queue: make(chan Timestamped[T], settings.QueueSize)}
}

// SetPeers replaces the addresses that are told.
func (a *Announcer[T]) SetPeers(peers []string) {
	a.mutex.Lock()
	a.peers = peers
	a.mutex.Unlock()
}

// Announce queues an item, or drops it when the ring is full.
func (a *Announcer[T]) Announce(item T) {
	select {
	case a.queue <- Timestamped[T]{Item: item, At: clock.Now()}:
	default:
	}
}

// Run is the thread that tells the peers until ctx ends.
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
		return // news that cannot be told are dropped like those that come too late
	}
	for _, address := range peers {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, a.settings.Timeout)
			defer cancel()
			_ = a.client.PostBody(callCtx, address, a.settings.Path, body) // best effort
		}()
	}
}
