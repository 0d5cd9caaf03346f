// Package router does the I/O of a router around internal/core: it serves clients over HTTP, performs the actions of
// the core, and stores the settings received from control.
//
// Goroutines: the event loop, which owns the core; one each for renewing the session, reading the machine list,
// announcing dispatches to other routers and reporting crashed back ends to control; one poller for each back end; one
// for each client request and one for each attempt. They communicate over buffered channels. When a buffer is full,
// items are rejected or dropped; the event loop never blocks on one.
package router

import (
	"context"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/listen"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/session"
	"kitetiller/internal/settings"
	"kitetiller/internal/streamorigin/registry"
	"kitetiller/internal/transport"
	"kitetiller/internal/tunnel"
)

const (
	eventBufferSize = 16384
	maxTickInterval = 20 * time.Millisecond
	maxEventBatch   = 512
	shutdownTimeout = 5 * time.Second
	// minDrainTime is the time for which a draining router keeps its listener open and rejects requests, so that clients
	// move elsewhere before connections are closed.
	minDrainTime  = 1500 * time.Millisecond
	headerTimeout = 10 * time.Second
)

// inspection is a function to be run in the event loop.
type inspection struct {
	read func(*core.Core)
	done chan struct{}
}

// view is a snapshot of the state that request handlers need, so that they do not have to query the event loop.
type view struct {
	tree     settings.Tree
	keys     map[string]string   // tenant by API key digest
	models   map[string]string   // service by model name
	weights  map[string][]string // weights in use by service
	version  uint64
	services []string
	values   *sync.Map // cache of settings.Values by scope, for one version
}

// scope identifies the node of the settings tree that applies to a request.
type scope struct{ zone, service, tenant string }

// effective returns the settings that apply in a scope. Results are cached until the version changes.
func (v *view) effective(zone, service, tenant string) settings.Values {
	key := scope{zone, service, tenant}
	if cached, found := v.values.Load(key); found {
		return cached.(settings.Values)
	}
	values := v.tree.Resolve(zone, service, tenant)
	if service == settings.Wildcard || slices.Contains(v.services, service) { // bounds the cache: clients choose the name
		v.values.Store(key, values)
	}
	return values
}

// Server is a router.
type Server struct {
	file         *node.File
	log          *zap.Logger
	now          clock.Source // time since the server was created
	quarantine   *reporter.Reporter
	pushbackLogs *node.LogLimiter // rate limit of pushback log lines, by back end
	incarnation  uint64
	hasher       *prefix.Hasher

	core        *core.Core
	events      chan core.Event
	inspections chan inspection
	view        atomic.Pointer[view]
	nextID      atomic.Uint64

	mutex     sync.Mutex
	exchanges map[core.RequestID]*exchange      // requests in progress
	attempts  map[core.AttemptID]*activeAttempt // running attempts

	pollers       map[string]context.CancelFunc // by name@address of the back end; owned by watchPlatform
	client        *transport.Client
	backendClient *http.Client
	pollClient    *transport.Client // for the state of back ends
	paths         *backendPaths
	tunnels       *tunnel.Server // opens tunnels for other routers
	// listedAddresses are those of the back ends that the platform lists; nil before the first list.
	listedAddresses atomic.Pointer[map[string]struct{}]
	control         *control.Client
	metrics         *metrics
	disk            *diskState
	announcer       *transport.Announcer[core.PeerDispatch]
	streams         *registry.Registry // at which software versions streams began
	session         *session.Machine   // owned by renewSession
	draining        atomic.Bool
	droppedEvents   atomic.Uint64
}

// NewServer opens the data folder and restores the newest stored settings.
func NewServer(ctx context.Context, file *node.File, log *zap.Logger) (*Server, error) {
	disk, err := openDiskState(file.DataDir, file.Name)
	if err != nil {
		return nil, err
	}
	key, err := file.Router.HashKey()
	if err != nil {
		return nil, err
	}
	links := transport.WatchLinkFile(ctx, file.LinkFile, file.Zone)
	client := transport.NewClient(file.ClusterToken, links)
	now := clock.NewSource(nil)
	paths := newBackendPaths(file.ClusterToken, links, now, log)
	server := &Server{
		file: file, log: log, now: now, incarnation: disk.incarnation, disk: disk,
		hasher: prefix.NewHasher(key, file.Router.BlockTokens, guard.Set{}),
		events: make(chan core.Event, eventBufferSize), inspections: make(chan inspection, 64),
		exchanges: map[core.RequestID]*exchange{}, attempts: map[core.AttemptID]*activeAttempt{},
		pollers: map[string]context.CancelFunc{}, client: client,
		backendClient: newBackendClient(paths.transport), pollClient: transport.NewClientWithRoundTripper(file.ClusterToken, paths.transport), paths: paths,
		control: control.NewClient(client, file.Router.Control), pushbackLogs: node.NewLogLimiter(),
	}
	server.core = core.New(core.Config{
		Router: file.Name, Zone: file.Zone, Seed: disk.incarnation, BlockTokens: file.Router.BlockTokens,
		IndexLimit: file.Router.IndexBlocks, ZoneLatency: file.Router.ZoneLatency, Vault: file.Router.Vault,
		ImportRate: file.Router.ImportTokensPerSecond,
	})
	server.session = session.New(session.Identity{
		Router: file.Name, Incarnation: disk.incarnation, Zone: file.Zone, Address: file.Router.PeerAddress,
	}, disk.saved, file.Router.HeartbeatInterval, guard.Set{})
	server.announcer = newAnnouncer(client)
	server.streams = newStreams(client, now, file.Zone, file.Router.PeerAddress)
	server.quarantine = server.newReporter()
	server.tunnels = server.newTunnelServer(links)
	server.metrics = newMetrics(server)
	if disk.saved.Version > 0 {
		server.core.Tick(0, []core.Event{core.EventSettings{Version: disk.saved.Version, Tree: disk.saved.Tree}})
	}
	server.publishView()
	return server, nil
}

// newBackendClient returns the client for requests to back ends. It follows no redirects.
func newBackendClient(roundTripper http.RoundTripper) *http.Client {
	return &http.Client{Transport: transport.CheckHeads(roundTripper), CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run serves until ctx is cancelled and then drains the router.
func (s *Server) Run(ctx context.Context) error {
	listener, err := listen.TCP(ctx, s.file.Router.Listen)
	if err != nil {
		return err
	}
	internalServer, err := s.listenInternal(ctx)
	if err != nil {
		return err
	}
	tunnels, err := s.listenTunnels(ctx)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	publicServer := &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() {
		if err := publicServer.Serve(listener); err != http.ErrServerClosed {
			serveErr <- err
		}
	}()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { s.runEventLoop(runCtx) })
	renewCtx, stopRenewing := context.WithCancel(runCtx)
	defer stopRenewing()
	renewDone := make(chan struct{})
	go func() {
		defer close(renewDone)
		s.renewSession(renewCtx)
	}()
	goroutines.Go(func() { s.watchPlatform(runCtx) })
	goroutines.Go(func() { s.announcer.Run(runCtx) })
	goroutines.Go(func() { s.streams.Run(runCtx) })
	goroutines.Go(func() { s.quarantine.Run(runCtx) })
	goroutines.Go(func() { transport.Every(runCtx, sweepInterval, s.sweep) })
	s.log.Info("router started", zap.String("listen", s.file.Router.Listen), zap.Uint64("incarnation", s.incarnation),
		zap.Uint64("settings_version", s.disk.saved.Version))
	select {
	case <-ctx.Done():
		s.drain(publicServer, func() { stopRenewing(); <-renewDone })
	case err = <-serveErr:
	}
	cancel()
	goroutines.Wait()
	s.closeTunnels(tunnels)
	s.paths.Close()
	s.closeInternal(internalServer)
	s.log.Info("router stopped")
	return err
}

// drain rejects new requests, waits for those in progress up to DrainTimeout, closes the session and shuts down the HTTP
// server. The session is closed only after renewSession has returned.
func (s *Server) drain(public *http.Server, stopRenewing func()) {
	s.log.Info("draining: finishing requests in progress")
	s.draining.Store(true)
	s.events <- core.EventDrain{}
	deadline := time.Now().Add(s.file.Router.DrainTimeout)
	earliestEnd := time.Now().Add(minDrainTime)
	for time.Now().Before(deadline) && (s.inFlight() > 0 || time.Now().Before(earliestEnd)) {
		time.Sleep(maxTickInterval)
	}
	stopRenewing()
	s.closeSession()
	shutdownCtx, cancel := context.WithDeadline(context.Background(), deadline.Add(shutdownTimeout))
	defer cancel()
	if err := public.Shutdown(shutdownCtx); err != nil {
		s.log.Warn("connections still open at the end of the drain", zap.Error(err))
	}
}

func (s *Server) inFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.exchanges)
}

// runEventLoop owns the core: it passes events to it, performs its actions and serves inspections.
func (s *Server) runEventLoop(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]core.Event, 0, maxEventBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			batch = append(batch, event)
		case request := <-s.inspections:
			request.read(s.core)
			close(request.done)
			continue
		case <-timer.C:
		}
		for len(batch) < maxEventBatch && len(s.events) > 0 {
			batch = append(batch, <-s.events)
		}
		s.performActions(ctx, s.core.Tick(s.now(), batch))
		if mayChangeView(batch) {
			s.publishView()
		}
		timer.Reset(s.untilNextTick())
	}
}

func (s *Server) untilNextTick() time.Duration {
	due, ok := s.core.NextWakeup()
	if !ok {
		return maxTickInterval
	}
	return min(max(due-s.now(), 0), maxTickInterval)
}

// mayChangeView reports whether a batch of events may have changed the view.
func mayChangeView(batch []core.Event) bool {
	for _, event := range batch {
		switch event.(type) {
		case core.EventSettings, core.EventBackendPoll, core.EventMachineList, core.EventLease:
			return true
		}
	}
	return false
}

// publishView replaces the view. Weights are read from the core each time, everything else only if the settings have
// changed.
func (s *Server) publishView() {
	previous := s.view.Load()
	next := &view{version: s.core.SettingsVersion(), weights: map[string][]string{}}
	if previous != nil && previous.version == next.version {
		next.tree, next.keys, next.models = previous.tree, previous.keys, previous.models
		next.services, next.values = previous.services, previous.values
	} else {
		next.tree = s.core.Tree()
		next.keys = next.tree.APIKeys()
		next.models = modelServices(next.tree, s.file.Zone)
		next.services, next.values = next.tree.Services(), &sync.Map{}
	}
	for _, service := range next.services {
		next.weights[service] = s.core.WeightsInUse(service)
	}
	s.view.Store(next)
}

// modelServices maps model names to services. The name of a service is also a model name.
func modelServices(tree settings.Tree, zone string) map[string]string {
	models := map[string]string{}
	for _, service := range tree.Services() {
		values := tree.Resolve(zone, service)
		if values.Kind != settings.KindLLM {
			continue
		}
		models[service] = service
		if values.Model != "" {
			models[values.Model] = service
		}
	}
	return models
}

// inspect runs a function in the event loop and waits for it. It returns false if ctx ends first.
func (s *Server) inspect(ctx context.Context, read func(*core.Core)) bool {
	request := inspection{read: read, done: make(chan struct{})}
	select {
	case s.inspections <- request:
	case <-ctx.Done():
		return false
	}
	select {
	case <-request.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// post queues an event and blocks while the buffer is full. The event loop must not call it.
func (s *Server) post(event core.Event) { s.events <- event }

// offer queues an event, or drops it and returns false if the buffer is full.
func (s *Server) offer(event core.Event) bool {
	select {
	case s.events <- event:
		return true
	default:
		s.droppedEvents.Add(1)
		return false
	}
}

// performActions performs actions of the core in order, without blocking.
func (s *Server) performActions(ctx context.Context, actions []core.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.ActionDispatch:
			s.startAttempt(ctx, a)
		case core.ActionCancel:
			s.cancelAttempt(a.Attempt)
		case core.ActionRecordOrigin:
			s.recordOrigin(a)
		case core.ActionChunk:
			s.deliverChunk(a)
		case core.ActionFinish:
			s.deliverFinish(a)
		case core.ActionClaim:
			go s.claim(ctx, a)
		case core.ActionEndClaim:
			go s.endClaim(ctx, a)
		case core.ActionRequestSnapshot:
			go s.fetchSnapshot(ctx, a)
		}
	}
}
