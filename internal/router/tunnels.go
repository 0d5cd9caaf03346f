package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/listen"
	"kitetiller/internal/reachability"
	"kitetiller/internal/transport"
	"kitetiller/internal/tunnel"
)

const (
	// maxFailedPolls is the number of consecutive failed polls from which peers are asked for a path to a back end.
	maxFailedPolls = 2
	// pollPatience is how long a poll may take before the path to its back end is compared with those of peers.
	pollPatience       = 250 * time.Millisecond
	backendDialTimeout = 2 * time.Second
)

// backendPaths connects to back ends, through other routers while there is no direct path. It is safe for concurrent
// use.
type backendPaths struct {
	*tunnel.Paths
	dialer    *tunnel.Dialer
	transport *tunnel.Transport
	now       clock.Source
	direct    func(ctx context.Context, network, address string) (net.Conn, error)
	peers     atomic.Pointer[[][]string] // nil before the first reply of control

	mu          sync.Mutex
	failedPolls map[string]int // consecutive, by address; guarded by mu
	addresses   []string       // of the back ends that are polled; guarded by mu
}

func newBackendPaths(token string, links *transport.LinkFilter, now clock.Source, log *zap.Logger) *backendPaths {
	base := transport.NewRoundTripper(links)
	p := &backendPaths{now: now, direct: base.DialContext, failedPolls: map[string]int{}}
	ask := func(ctx context.Context, conn net.Conn, address string) error {
		return tunnel.Ask(ctx, conn, address, api.PathState)
	}
	peerTransport := transport.NewRoundTripper(links)
	p.dialer = tunnel.NewDialer(tunnel.Config{
		Token: token, Now: now, Peers: p.tunnelPeers, Direct: p.dialDirect, Verify: ask,
		Disconnected: func() bool { return p.IsDisconnected() },
		Probe: func(ctx context.Context, address string) error {
			return tunnel.Probe(ctx, p.dialDirect, address, api.PathState)
		},
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			return peerTransport.DialContext(ctx, "tcp", address)
		},
		OnLost: func(address, peer string, cause tunnel.Cause, triedAt time.Duration) {
			if cause == tunnel.CauseDial {
				p.RecordUnreached(address, triedAt)
			}
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
	p.Paths = tunnel.NewPaths(tunnel.PathsConfig{
		Dialer: p.dialer, Now: now, AskDirectly: p.askDirectly, Pick: p.pick, BackEnds: p.backEndCount,
		Patience: func(string) time.Duration { return pollPatience },
		OnLost: func(state reachability.State, unansweredFor time.Duration) {
			p.transport.CloseIdleConnections()
			log.Info(events.PathsLost, zap.Stringer("state", state), zap.Duration("unanswered_for", unansweredFor))
		},
		OnRestored: func() { log.Info(events.PathsRestored) },
	})
	return p
}

// askDirectly asks a back end for its state on a new direct connection.
func (p *backendPaths) askDirectly(ctx context.Context, address string) error {
	askedAt := p.now()
	if err := tunnel.Probe(ctx, p.dialDirect, address, api.PathState); err != nil {
		return err
	}
	p.RecordAnswer(address, askedAt, true)
	return nil
}

// pick returns up to a number of polled back ends, in random order.
func (p *backendPaths) pick(count int) (picked []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range rand.Perm(len(p.addresses))[:min(count, len(p.addresses))] {
		picked = append(picked, p.addresses[i])
	}
	return picked
}

// setBackEnds replaces the addresses of the back ends.
func (p *backendPaths) setBackEnds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
}

func (p *backendPaths) backEndCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.addresses)
}

// poll calls a function that sends a poll to a back end with the given context, and records what comes of it.
func (p *backendPaths) poll(ctx context.Context, address string, send func(context.Context) bool) {
	sentAt := p.now()
	var used httptrace.GotConnInfo
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = info }})
	suspicion := time.AfterFunc(pollPatience, func() {
		if !p.IsProvenSince(sentAt) {
			p.Suspect(address, sentAt)
		}
	})
	defer suspicion.Stop()
	succeeded := send(traced)
	if _, throughPeer := used.Conn.(*tunnel.Conn); succeeded && !throughPeer {
		p.RecordAnswer(address, sentAt, !used.Reused)
	}
	if ctx.Err() == nil {
		p.recordPoll(address, succeeded)
	}
}

// refusal returns why this router opens no tunnel to an address, or "".
func (p *backendPaths) refusal(address string, _ bool) tunnel.Outcome {
	switch {
	case p.IsDisconnected():
		return tunnel.Disconnected
	case p.dialer.IsLost(address):
		return tunnel.PathLost
	}
	return ""
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
		Token: s.file.ClusterToken, Proof: s.paths.Prove, Alternatives: s.paths.dialer.ProvenPeers, IsBackend: s.isListed, Refusal: s.paths.refusal, IsStopping: s.draining.Load,
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
