package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/listen"
	"kitetiller/internal/transport"
)

const (
	pathDispatches     = "/internal/v1/sends"
	announceBufferSize = 4096
	announceInterval   = 20 * time.Millisecond // maximum wait for a batch to fill
	announceTimeout    = 200 * time.Millisecond
	announceBatch      = 256
	maxAnnouncedPeers  = 32 // routers of the same zone come first
)

// newAnnouncer returns the announcer of dispatched attempts. Other routers add them to load reports that do not show
// them yet, so that two routers do not choose the same idle engine.
func newAnnouncer(client *transport.Client) *transport.Announcer[core.PeerDispatch] {
	settings := transport.AnnouncerSettings{
		Path: pathDispatches, QueueSize: announceBufferSize, MaxBatch: announceBatch, BatchDelay: announceInterval, Timeout: announceTimeout,
	}
	return transport.NewAnnouncer(client, settings, func(batch []transport.Timestamped[core.PeerDispatch]) any {
		event := core.EventPeerDispatches{}
		for _, entry := range batch {
			entry.Item.Age = clock.Now() - entry.At
			event.Sends = append(event.Sends, entry.Item)
		}
		return event
	})
}

// peerAddresses returns the addresses of at most maxAnnouncedPeers routers that have an internal listener.
func peerAddresses(peers []control.Peer) []string {
	var addresses []string
	for _, peer := range peers {
		if peer.Address != "" && len(addresses) < maxAnnouncedPeers {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

func peerNames(peers []control.Peer) (names []string) {
	for _, peer := range peers {
		names = append(names, peer.Name)
	}
	return names
}

// listenInternal starts the listener for other routers. It returns nil if the node file sets no address for it.
func (s *Server) listenInternal(ctx context.Context) (*transport.Server, error) {
	if s.file.Router.PeerAddress == "" {
		return nil, nil
	}
	return listen.Retry(ctx, func() (*transport.Server, error) {
		return transport.Listen(s.file.Router.PeerAddress, s.file.ClusterToken, s.handleInternal, s.log)
	})
}

func (s *Server) closeInternal(listener *transport.Server) {
	if listener == nil {
		return
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := listener.Close(shutdownCtx); err != nil {
		s.log.Warn("failed to close the internal listener", zap.Error(err))
	}
}

func (s *Server) handleInternal(request transport.Request, respond transport.Respond) {
	if s.streams.Handle(request, respond) {
		return
	}
	var event core.EventPeerDispatches
	switch {
	case request.Path != pathDispatches:
		respond(http.StatusNotFound, nil)
	case json.Unmarshal(request.Body, &event) != nil:
		respond(http.StatusBadRequest, nil)
	default:
		s.offer(event)
		respond(http.StatusOK, struct{}{})
	}
}
