// Package registry keeps the records of streams for a gateway or router: it sends its own to the processes that keep them,
// keeps those of others, and asks for those that it lacks. Delivery is best effort; a record that is lost makes a stream's
// origin unknown, never wrong.
package registry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"kitetiller/internal/streamorigin"
	"kitetiller/internal/transport"
)

const (
	// batchDelay is how long a record waits for others to the same process.
	batchDelay = 8 * time.Millisecond
	// sendTimeout bounds the sending of one message, and findTimeout that of one question. A caller that takes its stream
	// up waits for the latter.
	sendTimeout = 300 * time.Millisecond
	findTimeout = 120 * time.Millisecond
	// maxQueued and maxSending bound the records that wait and the messages in flight; further ones are dropped.
	maxQueued  = 4096
	maxSending = 64
)

// Config configures a Registry.
type Config struct {
	Client  *transport.Client
	Address string // of this process, for its peers
	Zone    string
	Now     func() time.Duration
	// Vouch returns the software version that all back ends of a service have had for long enough, if there is one.
	Vouch func(service string) (streamorigin.Vouch, bool)
}

// Registry holds a process's records. It is safe for concurrent use.
type Registry struct {
	config  Config
	queue   chan queued
	sending chan struct{} // one element per message in flight

	mu    sync.Mutex
	table *streamorigin.Table // guarded by mu
	zones []streamorigin.Zone // guarded by mu
	lost  uint64              // records that were not sent; guarded by mu
}

// queued is a record that waits to be sent.
type queued struct {
	address string
	record  streamorigin.Record
	at      time.Duration
}

// New returns a registry without peers.
func New(config Config) *Registry {
	return &Registry{config: config, queue: make(chan queued, maxQueued), sending: make(chan struct{}, maxSending), table: streamorigin.NewTable()}
}

// SetPeers replaces the processes that keep records, by zone.
func (r *Registry) SetPeers(zones []streamorigin.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones = zones
}

// Add records a stream that this process relays, and sends the record to others if replicate is set.
func (r *Registry) Add(record streamorigin.Record, replicate bool) {
	r.mu.Lock()
	r.table.AddOwn(r.config.Now(), record)
	zones := r.zones
	r.mu.Unlock()
	if replicate {
		r.send(record, zones)
	}
}

// ReplicateOwn sends all records of this process's streams to a service.
func (r *Registry) ReplicateOwn(service string) {
	r.mu.Lock()
	own, zones := r.table.Own(r.config.Now(), service), r.zones
	r.mu.Unlock()
	for _, record := range own {
		r.send(record, zones)
	}
}

// send queues a record for the processes that keep it.
func (r *Registry) send(record streamorigin.Record, zones []streamorigin.Zone) {
	for _, address := range streamorigin.Keepers(record.Key, zones, r.config.Zone, r.config.Address) {
		select {
		case r.queue <- queued{address, record, r.config.Now()}:
		default:
			r.countLost(1)
		}
	}
}

func (r *Registry) countLost(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost += uint64(count)
}

// Run sends queued records until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			time.Sleep(batchDelay)
			r.sendBatch(ctx, first)
		}
	}
}

// sendBatch sends a record and all others that wait, in one message to each process.
func (r *Registry) sendBatch(ctx context.Context, first queued) {
	messages := map[string][]streamorigin.WireRecord{}
	add := func(q queued) {
		messages[q.address] = append(messages[q.address], q.record.ToWire(r.config.Now()-q.at))
	}
	add(first)
	for range len(r.queue) {
		add(<-r.queue)
	}
	for address, message := range messages {
		select {
		case r.sending <- struct{}{}:
		default:
			r.countLost(len(message))
			continue
		}
		go func() {
			defer func() { <-r.sending }()
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if r.config.Client.Post(sendCtx, address, streamorigin.PathKeep, message, nil) != nil {
				r.countLost(len(message))
			}
		}()
	}
}

// Sweep removes expired records.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Sweep(r.config.Now())
}

// Stats holds counts of a registry.
type Stats struct {
	Records int    // held now
	Dropped uint64 // found no room
	Lost    uint64 // were not sent
}

// Stats returns the counts.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Records: r.table.Len(), Dropped: r.table.Dropped(), Lost: r.lost}
}

// Handle handles a message of another process; handled is false if its path is none of the registry's.
func (r *Registry) Handle(request transport.Request, respond transport.Respond) (handled bool) {
	switch request.Path {
	case streamorigin.PathKeep:
		var records []streamorigin.WireRecord
		if json.Unmarshal(request.Body, &records) != nil {
			respond(http.StatusBadRequest, nil)
			return true
		}
		r.keep(records)
		respond(http.StatusOK, struct{}{})
	case streamorigin.PathFind:
		var question streamorigin.FindRequest
		if json.Unmarshal(request.Body, &question) != nil {
			respond(http.StatusBadRequest, nil)
			return true
		}
		respond(http.StatusOK, r.reply(question))
	default:
		return false
	}
	return true
}

func (r *Registry) keep(records []streamorigin.WireRecord) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, wire := range records {
		if record, ok := wire.Record(); ok {
			r.table.Add(now, record)
		}
	}
}

// reply answers another process.
func (r *Registry) reply(question streamorigin.FindRequest) streamorigin.FindReply {
	found := r.own(question.Key)
	reply := streamorigin.FindReply{Known: found.IsKnown(), Software: found.Name(), Disputed: found.Disputed()}
	if vouch, ok := r.config.Vouch(question.Service); ok {
		reply.SetVouch(vouch)
	}
	return reply
}

// own returns what this process's records say of a stream.
func (r *Registry) own(key streamorigin.Key) streamorigin.SoftwareVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Find(r.config.Now(), key)
}

// Source says where an origin was found.
type Source string

// Sources.
const (
	SourceOwn  Source = "own"  // a record of this process
	SourcePeer Source = "peer" // a record of another one
	SourceSole Source = "sole" // all back ends have had the same version
	SourceNone Source = "none" // nobody knows it
	// SourceUnanswered: the origin was not found, and not all that were asked have answered.
	SourceUnanswered Source = "unanswered"
)

// Found is the result of a search.
type Found struct {
	Software streamorigin.SoftwareVersion // unknown if it was not found
	Source   Source
	Vouched  []streamorigin.Vouch // of the processes that answered
}

// FindOwn returns what this process's records say of a stream.
func (r *Registry) FindOwn(key streamorigin.Key) (found Found, decided bool) {
	version := r.own(key)
	return Found{Software: version, Source: SourceOwn}, version.IsKnown() || version.Disputed()
}

// Find asks the processes that may have a stream's record, all at once. The first record decides.
func (r *Registry) Find(ctx context.Context, question streamorigin.FindRequest) Found {
	r.mu.Lock()
	addresses := streamorigin.Candidates(question.Key, r.zones, r.config.Zone, r.config.Address)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan *streamorigin.FindReply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply streamorigin.FindReply
			if r.config.Client.Post(ctx, address, streamorigin.PathFind, question, &reply) != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	result := Found{Source: SourceNone}
	for range addresses {
		reply := <-replies
		switch {
		case reply == nil:
			result.Source = SourceUnanswered
			continue
		case reply.Disputed:
			return Found{Source: SourceNone}
		case reply.Known && len(reply.Software) <= streamorigin.MaxSoftwareBytes:
			return Found{Software: streamorigin.Known(reply.Software), Source: SourcePeer}
		}
		if vouch, ok := reply.Vouch(); ok {
			result.Vouched = append(result.Vouched, vouch)
		}
	}
	return result
}
