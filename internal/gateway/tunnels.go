package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/listen"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/tunnel"
)

// newTunnelDialer returns the dialer of connections to back ends.
func (g *Gateway) newTunnelDialer() *tunnel.Dialer {
	peerDialer := g.pool.dialer
	peerDialer.Timeout = peerDialTimeout
	return tunnel.NewDialer(tunnel.Config{
		Token: g.settings.Token, Direct: g.dialDirect, Probe: g.probeBackend, Peers: g.tunnelPeers, Now: g.now,
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			return peerDialer.DialContext(ctx, "tcp", address)
		},
		Verify: g.verifyTunnel, Patience: func(address string) time.Duration { return g.paths.patienceAt(address) }, Disconnected: func() bool { return g.paths.IsDisconnected() },
		OnLost: func(address, peer string, cause tunnel.Cause, triedAt time.Duration) {
			if cause == tunnel.CauseDial {
				g.paths.RecordUnreached(address, triedAt)
			}
			g.log.info(events.PathLost, zap.String(events.FieldAddress, address), zap.String(events.FieldPeer, peer), zap.String(events.FieldCause, string(cause)))
		},
		OnRestored: func(address string, lostFor time.Duration) {
			g.table.recordPathRestored(address)
			g.log.info(events.PathRestored, zap.String(events.FieldAddress, address), zap.Duration("lost_for", lostFor))
		},
		Observe: func(peer string, outcome tunnel.Outcome) {
			g.metrics.tunnelRequests.WithLabelValues(peer, string(outcome)).Inc()
		},
	})
}

// newTunnelServer returns the handler that opens tunnels for peers.
func (g *Gateway) newTunnelServer() *tunnel.Server {
	return tunnel.NewServer(tunnel.ServerConfig{
		Token: g.settings.Token, Dial: g.dialDirect, IsBackend: g.isBackend, Refusal: g.tunnelRefusal, IsStopping: g.shutdown.draining.Load,
		Proof: g.paths.Prove, Alternatives: g.dialer.ProvenPeers,
		Observe: func(outcome tunnel.Outcome) { g.metrics.tunnelsServed.WithLabelValues(string(outcome)).Inc() },
	})
}

// tunnelRefusal returns why this gateway opens no tunnel to an address, or "": it gets no answers from the back end itself. A gateway
// whose own path may only be slow is also refused where a tunnel would ask more of back ends that are slow to answer everybody.
func (g *Gateway) tunnelRefusal(address string, isLost bool) tunnel.Outcome {
	switch {
	case g.paths.IsDisconnected():
		return tunnel.Disconnected
	case g.dialer.IsLost(address), g.table.pathSuspected(g.now(), address):
		return tunnel.PathLost
	case !isLost && g.isCongestedAt(address):
		return tunnel.PathLost
	}
	return ""
}

// isCongestedAt reports whether requests or connections to the service of a back end are limited.
func (g *Gateway) isCongestedAt(address string) bool {
	name, known := g.table.serviceAt(address)
	return known && g.isCongested(name)
}

// isCongested reports whether requests or connections to a service are limited.
func (g *Gateway) isCongested(name string) bool {
	service := g.service(name)
	return g.congestion.isLimited(name) || service != nil && !g.congestion.allowsConnection(service)
}

// verifyTunnel makes sure that a back end answers through a peer, where it can be asked something.
func (g *Gateway) verifyTunnel(ctx context.Context, conn net.Conn, address string) error {
	row := g.table.rowAt(address)
	if row == nil {
		return nil // a store
	}
	path := g.questionPath(row)
	if path == "" {
		return nil
	}
	askedAt := g.now()
	err := tunnel.Ask(ctx, conn, address, path)
	if err == nil {
		g.table.recordReplyTime(row.entry.Service, g.now()-askedAt)
	}
	return err
}

// opensTunnels reports whether the gateway opens tunnels for others.
func (g *Gateway) opensTunnels() bool {
	return g.settings.TunnelAddress != "" && g.enabled(mechanism.Tunnels)
}

// serveTunnels starts the server that opens tunnels, if it is enabled.
func (g *Gateway) serveTunnels(ctx context.Context) (*http.Server, error) {
	if !g.opensTunnels() {
		return nil, nil
	}
	address := cmp.Or(g.settings.TunnelListen, g.settings.TunnelAddress)
	config := net.ListenConfig{Control: setSocketOptions, KeepAliveConfig: g.pool.dialer.KeepAliveConfig}
	listener, err := listen.Retry(ctx, func() (net.Listener, error) { return config.Listen(ctx, "tcp", address) })
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: g.tunnels, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// tunnelPeers returns the addresses of gateways that open tunnels, those of the own zone first.
func (g *Gateway) tunnelPeers() [][]string {
	peers := g.tunnelAddresses.Load()
	if peers == nil || !g.enabled(mechanism.Tunnels) {
		return nil
	}
	return *peers
}

// BackendTransport returns a transport for requests to back ends other than those of callers, on top of base.
func (g *Gateway) BackendTransport(base *http.Transport) http.RoundTripper {
	return tunnel.NewTransport(g.dialer, base, func(address string) bool { return g.table.pathSuspected(g.now(), address) })
}

func (g *Gateway) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	return g.pool.dialer.DialContext(ctx, "tcp", address)
}

// isBackend reports whether an address is that of a back end or store.
func (g *Gateway) isBackend(address string) bool {
	if _, known := g.table.serviceAt(address); known {
		return true
	}
	current := g.view.Load()
	if current == nil {
		return false
	}
	for _, store := range current.stores {
		if store.StoreAddress == address {
			return true
		}
	}
	return false
}

// probeBackend checks whether a back end answers on a direct connection, by its health check if it has one.
func (g *Gateway) probeBackend(ctx context.Context, address string) error {
	return tunnel.Probe(ctx, g.dialDirect, address, g.healthPath(address))
}

// healthPath returns the path of a back end's health check, or "".
func (g *Gateway) healthPath(address string) string {
	name, known := g.table.serviceAt(address)
	service := g.service(name)
	if !known || service == nil {
		return ""
	}
	return service.HealthPath
}

// service returns a service of the current view, or nil.
func (g *Gateway) service(name string) *catalog.Service {
	current := g.view.Load()
	if current == nil {
		return nil
	}
	return current.services[name]
}
