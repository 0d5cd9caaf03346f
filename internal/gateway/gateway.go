// Package gateway is a data plane node without a disk: it takes callers' requests on the routes of the document in
// force, chooses a back end, relays request and answer byte for byte, and decides what may be sent again.
//
// Everything it knows comes from control: it asks for news all the time, and counts its view as current from the
// moment when it asked. A view that is too old serves no request with an API key. What callers and back ends are
// told beside that is a Dialect's matter.
//
// Threads: one follows control; one asks it for amounts of what is limited; one tells it of ended
// back ends; one sweeps idle connections; four tell other gateways; net/http's goroutines serve callers.
package gateway

import (
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
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/transport"
)

// Gateway is one data plane process.
type Gateway struct {
	settings Settings
	dialect  Dialect
	log      *decisionLog
	now      clock.Source // since it was made

	group   *control.Client
	near    *nearbyReplicas // who answers for the control leader
	view    atomic.Pointer[view]
	confirm atomic.Int64 // when the newest confirmed view was asked for, in ns of this process's clock; 0 never
	table   *table
	budget  *retryBudget
	desk    *desk.LeasePool // of what is limited over the fleet
	pool    *pool
	splits  *splits
	spread  *spread
	// schedulers place this gateway's requests in a large fleet.
	schedulers *schedulers
	// quarantine knows which requests end their back ends.
	quarantine *reporter.Reporter
	nick       string // short name of this life, under which other gateways are told of sends
	outage     outage
	reader     CacheReader // of engines' caches, or nil
	followers  *cacheFollowers
	oldWeights *node.Sparse // lines of answers on other weights than believed or wanted, by instance
	restLines  *node.Sparse // lines of back ends that ask for rest, by instance
	limitLines *node.Sparse // lines of limits that can't be read, by instance
	strange    strangeWords
	// confirmed rings whenever control has confirmed the view.
	confirmed *bell
	gateways  atomic.Int64 // that share what is limited, as control told last
	draining  atomic.Bool
	closing   atomic.Bool // the end of a planned stop: nothing new is taken
	active    atomic.Int64
	held      bufferBudget // for callers and back ends that take it slowly
	metrics   *metrics
}

// nickRange keeps short names short, and apart in any fleet.
const nickRange = 1 << 40

// New returns a gateway that knows nothing yet.
func New(settings Settings, dialect Dialect, log *node.Log) *Gateway {
	client := transport.NewClientWithin(settings.Token, nil, peerDial)
	made := &Gateway{
		settings: settings, dialect: dialect, log: newDecisionLog(log), now: clock.From(settings.Clock),
		group: control.NewClient(client, settings.Control), near: newNearbyReplicas(settings.Name), table: newTable(settings.Mechanisms), budget: newRetryBudget(settings),
		confirmed: newBell(), followers: newCacheFollowers(), pool: newPool(settings.Clock), splits: newSplits(newRand()),
		oldWeights: node.NewSparse(), restLines: node.NewSparse(), limitLines: node.NewSparse(),
		spread: newSpread(client), schedulers: newSchedulers(client), nick: strconv.FormatUint(rand.Uint64N(nickRange), saltBase),
	}
	made.quarantine = reporter.New(reporter.Config{Submit: made.group.Quarantine, RefusesConnections: reporter.RefusesTCP(&made.pool.dialer), Log: made.log.note, Now: made.now})
	made.desk = desk.New(made.nick, settings.Trust, made.now, made.requestLeases)
	made.spread.silent = !made.on(mechanism.Mesh)
	made.metrics = newMetrics(made)
	return made
}

// on reports whether a part of the decision is on.
func (g *Gateway) on(name mechanism.Name) bool { return g.settings.Mechanisms.On(name) }

// UseCacheReader makes the gateway read what engines keep. It must be called before Run.
func (g *Gateway) UseCacheReader(r CacheReader) { g.reader = r }

// UseControl replaces the control replicas to start from.
func (g *Gateway) UseControl(addresses []string) { g.group.Use(addresses) }

// Run serves until ctx ends, then finishes what is in flight.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := listenCallers(g.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", g.settings.Listen)
	}
	ready, err := g.listenReady()
	if err != nil {
		return err
	}
	peers, err := g.listenPeers()
	if err != nil {
		return err
	}
	defer closePeers(peers)
	run, cancel := context.WithCancel(context.Background())
	var threads sync.WaitGroup
	threads.Go(func() { g.watchControl(run) })
	threads.Go(func() { g.sweep(run) })
	threads.Go(func() { g.desk.Run(run) })
	threads.Go(func() { g.quarantine.Run(run) })
	g.spread.run(run, threads.Go)
	public := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
	failed := make(chan error, 1)
	go func() {
		if err := public.Serve(listener); err != http.ErrServerClosed {
			failed <- err
		}
	}()
	g.log.note(events.GatewayStarted, zap.String("listen", g.settings.Listen), zap.Strings(events.FieldWithout, g.settings.Mechanisms.Off()))
	select {
	case <-ctx.Done():
		g.drain(public)
	case err = <-failed:
	}
	g.log.note(events.GatewayStopped, zap.Int64("active", g.active.Load()))
	cancel()
	threads.Wait()
	g.followers.threads.Wait()
	if ready != nil {
		_ = ready.Close()
	}
	return err
}

// drain is the planned stop: the readiness check fails at once, requests are served until whoever sends them has
// noticed, and those in flight are finished.
func (g *Gateway) drain(public *http.Server) {
	began := time.Now()
	g.draining.Store(true)
	g.log.note(events.GatewayStopping, zap.Int64("active", g.active.Load()))
	time.Sleep(min(stopNotice, g.settings.Grace/2))
	g.closing.Store(true)
	time.Sleep(min(stopRefusal, g.settings.Grace/8))
	closing, done := context.WithDeadline(context.Background(), began.Add(g.settings.Grace-stopMargin))
	defer done()
	_ = public.Shutdown(closing) // what is left is cut with the process
}

// listenReady opens the listener of the readiness check.
func (g *Gateway) listenReady() (*http.Server, error) {
	if g.settings.Ready == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", g.settings.Ready)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", g.settings.Ready)
	}
	server := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// Ready reports whether new connections are wanted.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.view.Load() != nil && g.trusted(g.now())
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// trusted reports whether control confirmed the view so lately that its keys count.
func (g *Gateway) trusted(now time.Duration) bool {
	confirmed := time.Duration(g.confirm.Load())
	return confirmed > 0 && now-confirmed < g.settings.Trust
}

// untrustedFor returns for how long the view has not counted, or 0.
func (g *Gateway) untrustedFor(now time.Duration) time.Duration {
	confirmed := time.Duration(g.confirm.Load())
	if confirmed == 0 {
		return 0
	}
	return max(0, now-confirmed-g.settings.Trust)
}

// sweepPeriod is how often what is long past is forgotten.
const sweepPeriod = 1500 * time.Millisecond

// sweep is the thread that closes connections which rested too long.
func (g *Gateway) sweep(ctx context.Context) {
	transport.Every(ctx, sweepPeriod, func() {
		g.pool.sweep()
		g.table.sweep(g.now())
		g.quarantine.Sweep()
		g.oldWeights.Sweep(g.now())
		g.restLines.Sweep(g.now())
		g.limitLines.Sweep(g.now())
	})
}

// newRand returns a source of random numbers of this process's own.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }
