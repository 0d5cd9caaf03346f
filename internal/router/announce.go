package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/transport"
)

const (
	pathSends       = "/internal/v1/sends"
	announceRing    = 4096
	announcePeriod  = 20 * time.Millisecond // how long a send waits for others to be told with it
	announceTimeout = 200 * time.Millisecond
	announceBatch   = 256
	maximumPeers    = 32 // routers told of sends; those of the own zone come first
)

// timedSend is a send and when it was made.
type timedSend struct {
	send core.Send
	at   time.Time
}

// announcer tells the other routers of sends that no load report shows yet, so that two routers do not choose the
// same idle engine. What cannot be told in time is dropped: it only costs a worse choice.
type announcer struct {
	client *transport.Client
	sends  chan timedSend

	mutex sync.Mutex
	peers []string
}

func newAnnouncer(client *transport.Client) *announcer {
	return &announcer{client: client, sends: make(chan timedSend, announceRing)}
}

func (a *announcer) setPeers(peers []control.Peer) {
	var addresses []string
	for _, peer := range peers {
		if peer.Address != "" && len(addresses) < maximumPeers {
			addresses = append(addresses, peer.Address)
		}
	}
	a.mutex.Lock()
	a.peers = addresses
	a.mutex.Unlock()
}

// announce queues a send, or drops it when the ring is full.
func (a *announcer) announce(send core.Send) {
	select {
	case a.sends <- timedSend{send: send, at: time.Now()}:
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
	event := core.EventPeerSends{}
	for _, item := range batch {
		item.send.Age = time.Since(item.at)
		event.Sends = append(event.Sends, item.send)
	}
	a.mutex.Lock()
	peers := a.peers
	a.mutex.Unlock()
	for _, address := range peers {
		go func() {
			attempt, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			_ = a.client.Post(attempt, address, pathSends, event, nil) // best effort
		}()
	}
}

// listenInternal serves other routers, when the node file gives an address for it.
func (s *Server) listenInternal() (*transport.Server, error) {
	if s.file.Router.Internal == "" {
		return nil, nil
	}
	return transport.Listen(s.file.Router.Internal, s.file.ClusterToken, s.handleInternal, s.log)
}

func (s *Server) closeInternal(listener *transport.Server) {
	if listener == nil {
		return
	}
	closing, done := context.WithTimeout(context.Background(), shutdownTime)
	defer done()
	if err := listener.Close(closing); err != nil {
		s.log.Warn("internal listener not closed", zap.Error(err))
	}
}

func (s *Server) handleInternal(request transport.Request, respond transport.Respond) {
	var event core.EventPeerSends
	switch {
	case request.Path != pathSends:
		respond(http.StatusNotFound, nil)
	case json.Unmarshal(request.Body, &event) != nil:
		respond(http.StatusBadRequest, nil)
	default:
		s.offer(event)
		respond(http.StatusOK, struct{}{})
	}
}
