// Package router is the shell around the core: it takes callers' requests over net/http, carries out the
// core's actions, and keeps the router's synced copy of the settings.
//
// Threads: one decides (it owns the core); one renews the session; one reads the platform's list; one tells control of ended back ends; one for
// each back end polls its state; net/http's goroutines serve callers; one for each attempt reads a back end's
// stream. They are joined by bounded rings (buffered channels). A full ring refuses or sheds, it never blocks
// the deciding thread.
package router

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/session"
	"kitetiller/internal/settings"
	"kitetiller/internal/transport"
)

const (
	eventBufferSize = 16384
	maxTickInterval = 20 * time.Millisecond
	maxEventBatch   = 512
	shutdownTimeout = 5 * time.Second
	// minDrainTime is how long a stopping router keeps answering that it stops, so that no caller's request meets a
	// connection that is just being closed.
	minDrainTime  = 1500 * time.Millisecond
	headerTimeout = 10 * time.Second
)

// inspection runs a function on the decide thread.
type inspection struct {
	read func(*core.Core)
	done chan struct{}
}

// view is what callers' goroutines may read without asking the decide thread.
type view struct {
	tree     settings.Tree
	keys     map[string]string   // tenant by API key digest
	models   map[string]string   // service by model name
	weights  map[string][]string // weights in use by service
	version  uint64
	services []string
	values   *sync.Map // effective settings by place; made anew with each version
}

// scope names where settings take effect.
type scope struct{ zone, service, tenant string }

// effective returns the settings at a place; they are resolved once for each version.
func (v *view) effective(zone, service, tenant string) settings.Values {
	key := scope{zone, service, tenant}
	if cached, found := v.values.Load(key); found {
		return cached.(settings.Values)
	}
	values := v.tree.Resolve(zone, service, tenant)
	if service == settings.Any || slices.Contains(v.services, service) { // callers choose the name
		v.values.Store(key, values)
	}
	return values
}

// Server is a router process.
type Server struct {
	file         *node.File
	log          *zap.Logger
	now          clock.Source // since it was made
	quarantine   *reporter.Reporter
	pushbackLogs *node.Sparse // lines of back ends that ask for rest or leave, by back end
	incarnation  uint64
	hasher       *prefix.Hasher

	core        *core.Core
	events      chan core.Event
	inspections chan inspection
	view        atomic.Pointer[view]
	nextID      atomic.Uint64

	mutex     sync.Mutex
	exchanges map[core.RequestID]*exchange      // callers
	attempts  map[core.AttemptID]*activeAttempt // running attempts

	pollers       map[string]context.CancelFunc // by back end; owned by the platform thread
	client        *transport.Client
	backendClient *http.Client
	control       *control.Client
	metrics       *metrics
	disk          *diskState
	announcer     *transport.Announcer[core.PeerDispatch]
	session       *session.Machine // owned by the session thread
	draining      atomic.Bool
	droppedEvents atomic.Uint64
}

// NewServer opens the data folder and restores the newest settings this router acknowledged.
func NewServer(ctx context.Context, file *node.File, log *zap.Logger) (*Server, error) {
	disk, err := openDiskState(file.Data, file.Name)
	if err != nil {
		return nil, err
	}
	key, err := file.Router.HashKey()
	if err != nil {
		return nil, err
	}
	links := transport.WatchLinks(ctx, file.Links, file.Zone)
	client := transport.NewClient(file.ClusterToken, links)
	server := &Server{
		file: file, log: log, now: clock.NewSource(nil), incarnation: disk.incarnation, disk: disk,
		hasher: prefix.NewHasher(key, file.Router.BlockTokens, guard.Set{}),
		events: make(chan core.Event, eventBufferSize), inspections: make(chan inspection, 64),
		exchanges: map[core.RequestID]*exchange{}, attempts: map[core.AttemptID]*activeAttempt{},
		pollers: map[string]context.CancelFunc{}, client: client,
		backendClient: &http.Client{Transport: transport.NewRoundTripper(links), CheckRedirect: noRedirect},
		control:       control.NewClient(client, file.Router.Control), pushbackLogs: node.NewSparse(),
	}
	server.core = core.New(core.Config{
		Router: file.Name, Zone: file.Zone, Seed: disk.incarnation, BlockTokens: file.Router.BlockTokens,
		IndexLimit: file.Router.IndexBlocks, ZoneLatency: file.Router.ZoneLatency, Vault: file.Router.Vault,
		ImportRate: file.Router.ImportTokens,
	})
	server.session = session.New(session.Identity{
		Router: file.Name, Incarnation: disk.incarnation, Zone: file.Zone, Address: file.Router.Internal,
	}, disk.saved, file.Router.HeartbeatEvery, guard.Set{})
	server.announcer = newAnnouncer(client)
	server.quarantine = server.newReporter()
	server.metrics = newMetrics(server)
	if disk.saved.Version > 0 {
		server.core.Tick(0, []core.Event{core.EventSettings{Version: disk.saved.Version, Tree: disk.saved.Tree}})
	}
	server.publishView()
	return server, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run serves until ctx ends, then finishes what is in flight.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.file.Router.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.file.Router.Listen)
	}
	internalServer, err := s.listenInternal()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	public := &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() {
		if err := public.Serve(listener); err != http.ErrServerClosed {
			failed <- err
		}
	}()
	var threads sync.WaitGroup
	threads.Go(func() { s.runEventLoop(runCtx) })
	renewCtx, stopRenewing := context.WithCancel(runCtx)
	defer stopRenewing()
	renewDone := make(chan struct{})
	go func() {
		defer close(renewDone)
		s.renewSession(renewCtx)
	}()
	threads.Go(func() { s.watchPlatform(runCtx) })
	threads.Go(func() { s.announcer.Run(runCtx) })
	threads.Go(func() { s.quarantine.Run(runCtx) })
	threads.Go(func() { transport.Every(runCtx, sweepInterval, s.sweep) })
	s.log.Info("router started", zap.String("listen", s.file.Router.Listen), zap.Uint64("incarnation", s.incarnation),
		zap.Uint64("settings_version", s.disk.saved.Version))
	select {
	case <-ctx.Done():
		s.drain(public, func() { stopRenewing(); <-renewDone })
	case err = <-failed:
	}
	cancel()
	threads.Wait()
	s.closeInternal(internalServer)
	s.log.Info("router stopped")
	return err
}

// drain is the planned stop: no new request is taken, those in flight are finished, and the session is closed
// after its thread has stopped.
func (s *Server) drain(public *http.Server, stopRenewing func()) {
	s.log.Info("planned stop: finishing requests in flight")
	s.draining.Store(true)
	s.events <- core.EventDrain{}
	deadline := time.Now().Add(s.file.Router.DrainLimit)
	earliestEnd := time.Now().Add(minDrainTime)
	for time.Now().Before(deadline) && (s.inFlight() > 0 || time.Now().Before(earliestEnd)) {
		time.Sleep(maxTickInterval)
	}
	stopRenewing()
	s.closeSession()
	shutdownCtx, cancel := context.WithDeadline(context.Background(), deadline.Add(shutdownTimeout))
	defer cancel()
	if err := public.Shutdown(shutdownCtx); err != nil {
		s.log.Warn("connections were still open at the end of the planned stop", zap.Error(err))
	}
}

func (s *Server) inFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.exchanges)
}

// runEventLoop is the thread that owns the core.
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

// mayChangeView reports whether a batch may have changed what callers' goroutines read.
func mayChangeView(batch []core.Event) bool {
	for _, event := range batch {
		switch event.(type) {
		case core.EventSettings, core.EventBackendPoll, core.EventMachineList, core.EventLease:
			return true
		}
	}
	return false
}

// publishView stores what callers' goroutines may read. Weights are taken anew each time; the rest only
// when the settings changed.
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

// modelServices maps model names to services; a service also answers to its own name.
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

// inspect runs a function on the decide thread and waits for it.
func (s *Server) inspect(ctx context.Context, run func(*core.Core)) bool {
	request := inspection{read: run, done: make(chan struct{})}
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

// post puts an event into the ring and waits for room; only goroutines that may wait call it.
func (s *Server) post(event core.Event) { s.events <- event }

// offer puts an event into the ring unless it is full.
func (s *Server) offer(event core.Event) bool {
	select {
	case s.events <- event:
		return true
	default:
		s.droppedEvents.Add(1)
		return false
	}
}

// performActions performs actions in order. None of them blocks.
func (s *Server) performActions(ctx context.Context, actions []core.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.ActionDispatch:
			s.startAttempt(ctx, a)
		case core.ActionCancel:
			s.cancelAttempt(a.Attempt)
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
