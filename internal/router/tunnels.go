package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/listen"
	"kitetiller/internal/transport"
	"kitetiller/internal/tunnel"
)

const (
	// maxFailedPolls is the number of consecutive failed polls from which peers are asked for a path to a back end.
	maxFailedPolls     = 2
	backendDialTimeout = 2 * time.Second
)

// backendPaths connects to back ends, through other routers while there is no direct path. It is safe for concurrent
// use.
type backendPaths struct {
	dialer    *tunnel.Dialer
	transport *tunnel.Transport
	direct    func(ctx context.Context, network, address string) (net.Conn, error)
	peers     atomic.Pointer[[][]string] // nil before the first reply of control

	mu          sync.Mutex
	failedPolls map[string]int // consecutive, by address; guarded by mu
}

func newBackendPaths(token string, links *transport.LinkFilter, now clock.Source, log *zap.Logger) *backendPaths {
	base := transport.NewRoundTripper(links)
	p := &backendPaths{direct: base.DialContext, failedPolls: map[string]int{}}
	peerTransport := transport.NewRoundTripper(links)
	p.dialer = tunnel.NewDialer(tunnel.Config{
		Token: token, Now: now, Peers: p.tunnelPeers, Direct: p.dialDirect,
		Probe: func(ctx context.Context, address string) error {
			return tunnel.Probe(ctx, p.dialDirect, address, api.PathState)
		},
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			return peerTransport.DialContext(ctx, "tcp", address)
		},
		OnLost: func(address, peer string, cause tunnel.Cause) {
			p.transport.CloseIdleConnections() // those to the address may hang
			log.Info(events.PathLost, zap.String(events.FieldAddress, address), zap.String(events.FieldPeer, peer), zap.String(events.FieldCause, string(cause)))
		},
		OnRestored: func(address string, lostFor time.Duration) {
			p.recordPoll(address, true)
			log.Info(events.PathRestored, zap.String(events.FieldAddress, address), zap.Duration("lost_for", lostFor))
		},
		Observe: func(string, tunnel.Outcome) {},
	})
	p.transport = tunnel.NewTransport(p.dialer, base, p.isSuspected)
	return p
}

func (p *backendPaths) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	return p.direct(bounded, "tcp", address)
}

func (p *backendPaths) tunnelPeers() [][]string {
	if peers := p.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// setPeers replaces the routers that open tunnels. Those of the own zone are asked first.
func (p *backendPaths) setPeers(zone string, peers []control.Peer) {
	groups := make([][]string, 2)
	for _, peer := range peers {
		group := 1
		if peer.Zone == zone {
			group = 0
		}
		groups[group] = append(groups[group], peer.Address)
	}
	p.peers.Store(&groups)
}

// recordPoll records whether a poll of a back end succeeded.
func (p *backendPaths) recordPoll(address string, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if succeeded {
		delete(p.failedPolls, address)
		return
	}
	p.failedPolls[address]++
}

func (p *backendPaths) isSuspected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedPolls[address] >= maxFailedPolls
}

// forget removes the state of a back end that is no longer listed.
func (p *backendPaths) forget(address string) { p.recordPoll(address, true) }

// newTunnelServer returns the handler that opens tunnels for other routers.
func (s *Server) newTunnelServer(links *transport.LinkFilter) *tunnel.Server {
	direct := transport.NewRoundTripper(links).DialContext
	return tunnel.NewServer(tunnel.ServerConfig{
		Token: s.file.ClusterToken, IsBackend: s.isListed, IsLost: s.paths.dialer.IsLost, IsStopping: s.draining.Load,
		Dial:    func(ctx context.Context, address string) (net.Conn, error) { return direct(ctx, "tcp", address) },
		Observe: func(tunnel.Outcome) {},
	})
}

// isListed reports whether the platform lists a back end at an address.
func (s *Server) isListed(address string) bool {
	listed := s.listedAddresses.Load()
	if listed == nil {
		return false
	}
	_, found := (*listed)[address]
	return found
}

// listenTunnels starts the listener for tunnels. It returns nil if the node file sets no address for it.
func (s *Server) listenTunnels(ctx context.Context) (*http.Server, error) {
	address := s.file.Router.TunnelAddress
	if address == "" {
		return nil, nil
	}
	listener, err := listen.TCP(ctx, address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.tunnels, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// closeTunnels waits until no tunnels are carried, for up to shutdownTimeout, and closes the listener.
func (s *Server) closeTunnels(listener *http.Server) {
	if listener == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.tunnels.Wait(ctx)
	_ = listener.Close()
}
