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
	"kitetiller/internal/transport"
)

const (
	pathDispatches     = "/internal/v1/sends"
	announceBufferSize = 4096
	announceInterval   = 20 * time.Millisecond // how long a send waits for others to be told with it
	announceTimeout    = 200 * time.Millisecond
	announceBatch      = 256
	maxAnnouncedPeers  = 32 // routers told of sends; those of the own zone come first
)

// newAnnouncer tells the other routers of sends that no load report shows yet, so that two routers do not choose the
// same idle engine.
func newAnnouncer(client *transport.Client) *transport.Announcer[core.PeerDispatch] {
	settings := transport.AnnouncerSettings{
		Path: pathDispatches, Ring: announceBufferSize, Batch: announceBatch, Period: announceInterval, Timeout: announceTimeout,
	}
	return transport.NewAnnouncer(client, settings, func(batch []transport.Aged[core.PeerDispatch]) any {
		event := core.EventPeerDispatches{}
		for _, entry := range batch {
			entry.Item.Age = clock.Now() - entry.At
			event.Sends = append(event.Sends, entry.Item)
		}
		return event
	})
}

// peerAddresses returns where the other routers are told, as far as they listen and up to the limit.
func peerAddresses(peers []control.Peer) []string {
	var addresses []string
	for _, peer := range peers {
		if peer.Address != "" && len(addresses) < maxAnnouncedPeers {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// peerNames returns the names of the other routers.
func peerNames(peers []control.Peer) (names []string) {
	for _, peer := range peers {
		names = append(names, peer.Name)
	}
	return names
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
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := listener.Close(shutdownCtx); err != nil {
		s.log.Warn("internal listener not closed", zap.Error(err))
	}
}

func (s *Server) handleInternal(request transport.Request, respond transport.Respond) {
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
