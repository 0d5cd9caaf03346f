// Package gateway implements a stateless data plane node. It accepts callers' requests on the routes of the current
// configuration document, selects a back end, relays bodies unchanged, and decides which failed requests may be
// retried.
//
// Its configuration and roster come from control, which it watches with long polls. A view counts as confirmed from
// the time at which the poll was sent. Requests that need an API key are rejected while the confirmed view is older
// than Settings.ViewTTL. Headers exchanged with callers and back ends are defined by a Dialect.
//
// Goroutines: one watches control, one leases shares of fleet-wide limits from it, one reports crashed back ends to
// it, one removes expired state, four send announcements to other gateways, and one per assigned engine or store
// reads cache events. Callers are served on the goroutines of net/http.
package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/allowance/desk"
	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/listen"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/streamorigin"
	"kitetiller/internal/streamorigin/registry"
	"kitetiller/internal/transport"
	"kitetiller/internal/tunnel"
)

// Gateway is one data plane process.
type Gateway struct {
	settings Settings
	dialect  Dialect
	log      *decisionLog
	now      clock.Source // time since the process started

	group       *control.Client
	nearby      *nearbyReplicas // control replicas that answer on behalf of the leader
	view        atomic.Pointer[view]
	confirmedAt atomic.Int64 // when the last poll that confirmed the view was sent, in ns on the clock now; 0 before the first
	table       *table
	budget      *retryBudget
	leases      *desk.LeasePool // of fleet-wide limits
	pool        *pool
	dialer      *tunnel.Dialer // of connections to back ends
	tunnels     *tunnel.Server // opens tunnels for other gateways
	// tunnelAddresses are those of gateways that open tunnels: of the own zone, and of others. It is nil before the first
	// reply of control.
	tunnelAddresses atomic.Pointer[[][]string]
	splits          *splits
	peers           *peerAnnouncer
	// schedulers place this gateway's requests if the fleet is large.
	schedulers *schedulers
	slots      *slotClient // asks for slots of small services
	slotDesk   *slotDesk   // assigns slots of small services
	// quarantine tracks which requests crash their back ends.
	quarantine        *reporter.Reporter
	shortName         string // identifies this process in announcements to other gateways
	outage            outage
	cacheReader       CacheReader // nil if engines' caches are not read
	followers         *cacheFollowers
	storeFollowers    *cacheFollowers  // by address of the store
	weightsLogLimiter *node.LogLimiter // for weight version mismatches, by instance
	backoffLogLimiter *node.LogLimiter // for backoff requests of back ends, by instance
	limitLogLimiter   *node.LogLimiter // for unparsable advertised limits, by instance
	unknownHeaders    unknownHeaders
	// viewConfirmed is notified whenever control confirms the view.
	viewConfirmed *notifier
	gatewayCount  atomic.Int64 // gateways sharing the fleet-wide limits, as last reported by control
	shutdown      *shutdown
	active        atomic.Int64
	// lateLifeChecks counts the replies to the question for the incarnation that no attempt waits for any more.
	lateLifeChecks atomic.Int64
	lateResponses  atomic.Int64 // responses awaited after the deadlines of their requests
	congestion     *congestionControl
	paths          *paths
	held           *heldBytes         // for slow callers and back ends
	streams        *registry.Registry // at which software versions streams began
	viewProbe      viewProbe
	rosterVersion  atomic.Pointer[control.RosterVersion] // of the roster in use; nil before the first
	startup        *node.Startup
	relayAddress   atomic.Pointer[string] // of the replica that answers watches for the leader; nil or "" if the leader does
	metrics        *metrics
}

// shortNameRange bounds short names: few characters, but large enough that random ones do not collide in a fleet.
const shortNameRange = 1 << 40

// New returns a gateway without a view; Run obtains one from control.
func New(settings Settings, dialect Dialect, log *node.Log) *Gateway {
	client := transport.NewClientWithDialTimeout(settings.Token, nil, peerDialTimeout)
	g := &Gateway{
		settings: settings, dialect: dialect, log: newDecisionLog(log), now: clock.NewSource(settings.Clock),
		group: control.NewClient(client, settings.Control), nearby: newNearbyReplicas(settings.Name), table: newTable(settings.Mechanisms), budget: newRetryBudget(settings),
		viewConfirmed: newNotifier(), followers: newCacheFollowers(), storeFollowers: newCacheFollowers(), pool: newPool(settings.Clock), splits: newSplits(newRand()),
		weightsLogLimiter: node.NewLogLimiter(), backoffLogLimiter: node.NewLogLimiter(), limitLogLimiter: node.NewLogLimiter(),
		peers: newPeerAnnouncer(client), schedulers: newSchedulers(client), shortName: strconv.FormatUint(rand.Uint64N(shortNameRange), saltBase),
	}
	g.shutdown, g.held, g.congestion = newShutdown(), newHeldBytes(), newCongestionControl(g)
	g.pool.heads, g.pool.onIdle = &g.held.heads, g.congestion.changed.Notify
	g.dialer = g.newTunnelDialer()
	g.paths = newPaths(g)
	g.pool.tunnels, g.tunnels = g.dialer, g.newTunnelServer()
	g.quarantine = reporter.New(reporter.Config{Submit: g.group.Quarantine, RefusesConnections: g.dialer.Refuses, Log: g.log.info, Now: g.now})
	g.leases = desk.New(g.shortName, settings.ViewTTL, g.now, g.requestLeases)
	g.table.currentView, g.table.minStreamAge = g.view.Load, cmp.Or(settings.MinStreamAge, defaultMinStreamAge)
	g.peers.disabled = !g.enabled(mechanism.GatewayMesh)
	g.slots, g.slotDesk = newSlotClient(client), newSlotDesk(g)
	g.streams = registry.New(registry.Config{
		Client: client, Address: settings.PeerAddress, Zone: settings.Zone, Now: g.now,
		Vouch: func(service string) (streamorigin.Vouch, bool) { return g.table.vouchSoftware(g.now(), service) },
	})
	g.startup = newStartup()
	g.viewProbe = viewProbe{ask: g.askRosterVersion, reached: g.reachedRoster}
	g.metrics = newMetrics(g)
	return g
}

// enabled reports whether a mechanism is switched on.
func (g *Gateway) enabled(name mechanism.Name) bool { return g.settings.Mechanisms.On(name) }

// UseCacheReader makes the gateway read engines' cache contents. It must be called before Run.
func (g *Gateway) UseCacheReader(r CacheReader) { g.cacheReader = r }

// UseControl replaces the initial addresses of control replicas.
func (g *Gateway) UseControl(addresses []string) { g.group.SetAddresses(addresses) }

// Run serves requests until ctx is done, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := listen.Retry(ctx, func() (net.Listener, error) { return listenCallers(g.settings.Listen) })
	if err != nil {
		return eris.Wrapf(err, "listen on %s", g.settings.Listen)
	}
	ready, err := g.serveReadiness(ctx)
	if err != nil {
		return err
	}
	peers, err := g.servePeers(ctx)
	if err != nil {
		return err
	}
	defer closePeers(peers)
	tunnels, err := g.serveTunnels(ctx)
	if err != nil {
		return err
	}
	if tunnels != nil {
		defer tunnels.Close()
	}
	runCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { g.watchControl(runCtx) })
	wg.Go(func() { g.sweep(runCtx) })
	wg.Go(func() { g.leases.Run(runCtx) })
	wg.Go(func() { g.quarantine.Run(runCtx) })
	wg.Go(func() { g.streams.Run(runCtx) })
	g.peers.run(runCtx, wg.Go)
	public := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
	serveErr := make(chan error, 1)
	go func() {
		if err := public.Serve(listener); err != http.ErrServerClosed {
			serveErr <- err
		}
	}()
	g.log.info(events.GatewayStarted, zap.String("listen", g.settings.Listen), zap.Strings(events.FieldDisabledMechanisms, g.settings.Mechanisms.Off()))
	select {
	case <-ctx.Done():
		g.drain(public)
	case err = <-serveErr:
	}
	g.log.info(events.GatewayStopped, zap.Int64("active", g.active.Load()))
	cancel()
	g.paths.Close()
	wg.Wait()
	g.followers.threads.Wait()
	g.storeFollowers.threads.Wait()
	if ready != nil {
		_ = ready.Close()
	}
	return err
}

// serveReadiness starts the server of the readiness check, if an address is configured.
func (g *Gateway) serveReadiness(ctx context.Context) (*http.Server, error) {
	if g.settings.ReadyAddress == "" {
		return nil, nil
	}
	listener, err := listen.TCP(ctx, g.settings.ReadyAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(g.handleReadiness), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// Ready reports whether the gateway accepts new connections.
func (g *Gateway) Ready() bool {
	return !g.shutdown.draining.Load() && g.view.Load() != nil && g.trusted(g.now())
}

func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// trusted reports whether control confirmed the view within Settings.ViewTTL. API keys are checked only against such a
// view.
func (g *Gateway) trusted(now time.Duration) bool {
	confirmed := time.Duration(g.confirmedAt.Load())
	return confirmed > 0 && now-confirmed < g.settings.ViewTTL
}

// untrustedFor returns how long ago the confirmation of the view expired, or 0.
func (g *Gateway) untrustedFor(now time.Duration) time.Duration {
	confirmed := time.Duration(g.confirmedAt.Load())
	if confirmed == 0 {
		return 0
	}
	return max(0, now-confirmed-g.settings.ViewTTL)
}

// sweepPeriod is the interval at which expired state is removed.
const sweepPeriod = 1500 * time.Millisecond

// sweep periodically closes idle connections and removes other expired state, until ctx is done.
func (g *Gateway) sweep(ctx context.Context) {
	transport.Every(ctx, sweepPeriod, func() {
		g.pool.sweep()
		g.dialer.Sweep(g.isBackend)
		g.table.sweep(g.now())
		g.congestion.sweep()
		g.paths.Sweep()
		g.slotDesk.sweep(g.now())
		g.quarantine.Sweep()
		g.streams.Sweep()
		g.weightsLogLimiter.Sweep(g.now())
		g.backoffLogLimiter.Sweep(g.now())
		g.limitLogLimiter.Sweep(g.now())
	})
}

// newRand returns a randomly seeded source of random numbers.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }
