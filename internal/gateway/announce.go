package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/prefix"
	"kitetiller/internal/transport"
)

const (
	pathSends       = "/internal/v1/sends"
	announceRing    = 2048
	announcePeriod  = 15 * time.Millisecond // how long a send waits for others to be told with it
	announceTimeout = 250 * time.Millisecond
	announceBatch   = 128
)

// send is a request that a gateway sent to an engine, as the others are told: what the engine now has to read, and which
// parts it will hold; the last of them is of use to nobody else, but takes its memory.
type send struct {
	Instance string        `json:"instance"`
	Salt     string        `json:"salt"`
	Parts    []prefix.Part `json:"parts,omitempty"`
	Uncached int           `json:"uncached"`
	Saved    bool          `json:"saved,omitempty"` // the parts go to the store as well
	Age      time.Duration `json:"age_ns"`
}

// timedSend is a send and when it was made.
type timedSend struct {
	send send
	at   time.Time
}

// announcer tells the other gateways of sends, so that all see the same queues and holders without asking engines. What
// cannot be told in time is dropped: it only costs a worse choice.
type announcer struct {
	client *transport.Client
	sends  chan timedSend
	mutex  sync.Mutex
	peers  []string
}

func newAnnouncer(client *transport.Client) *announcer {
	return &announcer{client: client, sends: make(chan timedSend, announceRing)}
}

func (a *announcer) setPeers(peers []string) {
	a.mutex.Lock()
	a.peers = peers
	a.mutex.Unlock()
}

// announce queues a send, or drops it when the ring is full.
func (a *announcer) announce(made send) {
	select {
	case a.sends <- timedSend{send: made, at: time.Now()}:
	default:
	}
}

// run is the thread that tells the peers, several sends at a time.
func (a *announcer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.sends:
			time.Sleep(announcePeriod)
			a.tell(ctx, a.collect(first))
		}
	}
}

func (a *announcer) collect(first timedSend) []timedSend {
	batch := []timedSend{first}
	for len(batch) < announceBatch && len(a.sends) > 0 {
		batch = append(batch, <-a.sends)
	}
	return batch
}

func (a *announcer) tell(ctx context.Context, batch []timedSend) {
	sends := make([]send, 0, len(batch))
	for _, made := range batch {
		made.send.Age = time.Since(made.at)
		sends = append(sends, made.send)
	}
	a.mutex.Lock()
	peers := a.peers
	a.mutex.Unlock()
	for _, address := range peers {
		go func() {
			attempt, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			_ = a.client.Post(attempt, address, pathSends, sends, nil) // best effort
		}()
	}
}

// listenPeers serves the other gateways, when there is an address for it.
func (g *Gateway) listenPeers() (*transport.Server, error) {
	if g.settings.Internal == "" {
		return nil, nil
	}
	return transport.Listen(g.settings.Internal, g.settings.Token, g.handlePeer, zap.NewNop())
}

func closePeers(listener *transport.Server) {
	if listener == nil {
		return
	}
	closing, done := context.WithTimeout(context.Background(), announceTimeout)
	defer done()
	_ = listener.Close(closing) // the process ends anyway
}

func (g *Gateway) handlePeer(request transport.Request, respond transport.Respond) {
	var sends []send
	switch {
	case request.Path != pathSends:
		respond(http.StatusNotFound, nil)
	case json.Unmarshal(request.Body, &sends) != nil:
		respond(http.StatusBadRequest, nil)
	default:
		g.table.takeSends(g.now(), sends)
		respond(http.StatusOK, struct{}{})
	}
}
