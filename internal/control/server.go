package control

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/events"
	"kitetiller/internal/level"
	"kitetiller/internal/listen"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/storage"
	"kitetiller/internal/transport"
)

const (
	inputCapacity  = 8192
	maxQueuedBytes = 16 << 20 // of the requests behind the queued inputs
	outboxCapacity = 1024
	callCapacity   = 1024
	maxBatch       = 512
	// maxBatchBytes is the size of entries above which no further messages to a peer join a batch.
	maxBatchBytes   = 1 << 20
	sendTimeout     = 2 * time.Second
	joinInterval    = 300 * time.Millisecond
	rejoinInterval  = 2 * time.Second
	maxTickInterval = 50 * time.Millisecond // longest time between two ticks
	// maxDirectGateways is how many gateways the leader answers by itself. With more, all replicas answer gateways, so
	// that the load of the leader does not grow with their number. Each sends some three requests per second, and 128 of
	// them cost the leader some 3% of a core.
	maxDirectGateways = 128
	bytesPerMB        = 1 << 20
)

// input is an event for the replica goroutine. Exactly one of its fields is set, besides respond and bytes.
type input struct {
	batch       *raftBatch
	request     *Request
	respond     transport.Respond
	report      *EngineReport
	hello       *helloInput
	createGroup bool
	inspect     func(*Replica)
	weights     *WeightsResult
	relayResult *relayResult
	bytes       int // size of the request that the input came in
}

// relayResult is the result of a relay request to the leader.
type relayResult struct {
	number uint64
	leader string       // address of the leader that was asked
	reply  *relay.Reply // nil if the request failed
	asker  *Replica     // that sent the request
	cause  string       // why the request failed
}

// helloInput is a hello from another replica.
type helloInput struct {
	hello   Hello
	respond transport.Respond
}

// Server runs a Replica. One goroutine owns the replica, another writes to its disk, and others do network I/O. Inputs that
// arrive during a write share the next one.
type Server struct {
	file            *node.File
	log             *zap.Logger
	identity        atomic.Pointer[Identity]
	disk            *Disk
	replica         *Replica
	startup         *node.Startup
	wasLeader       bool        // last logged leadership; owned by runReplica
	loggedLevel     level.Level // last logged level in force; owned by runReplica
	relayFailing    bool        // the last relay request failed; owned by runReplica
	limitLog        limitLogState
	quarantineLog   quarantineLogState
	config          Config
	now             clock.Source // time since the server was created
	inputs          chan input
	engineCalls     chan EngineCall
	clients         map[uint64]transport.Respond
	nextID          uint64
	senderAddresses map[consensus.ID]string // last known address of each replica that sent a message; owned by runReplica
	links           *transport.LinkFilter
	client          *transport.Client
	announcer       *transport.Client // of the group, to addresses that may be silent
	group           *Client
	driver          Driver
	seedAddresses   atomic.Pointer[[]string] // configured internal addresses of replicas
	announced       atomic.Pointer[[]string] // addresses of the group that a leader announced; nil if none has, or this replica had state
	weightsCalls    chan queuedCall
	heartbeats      heartbeatBatcher

	mutex    sync.Mutex
	outboxes map[consensus.ID]chan consensus.Message
	fatal    chan error
	syncs    SyncStats
	usage    usageGauges

	files        storage.FileSystem // of the data folder
	reopenDelay  time.Duration      // pause before the data folder is opened again; owned by runReplica
	writes       chan writeRequest  // holds the write in progress; see writing
	written      chan writeResult   // buffer of one
	writing      bool               // a write is in progress; owned by runReplica
	joining      atomic.Bool        // joinOrCreateGroup runs
	folderFailed atomic.Bool        // the data folder is empty and couldn't be created
	slowSyncLog  intervalLimiter    // owned by runReplica, like electionLog and undecidedElections
	electionLog  intervalLimiter
	membersLog   membersLogState
	// undecidedElections is how many elections of the replica had ended without a leader when that was last logged.
	undecidedElections uint64
	queuedBytes        atomic.Int64 // size of the requests that wait in inputs
}

// SyncStats counts the synced writes of a replica. It is safe for concurrent use.
type SyncStats struct {
	Count       atomic.Uint64
	Nanoseconds atomic.Uint64 // time spent writing and syncing
}

// Syncs returns the counters of synced writes.
func (s *Server) Syncs() *SyncStats { return &s.syncs }

// NewServer opens the data folder and restores the replica.
func NewServer(ctx context.Context, file *node.File, log *zap.Logger) (*Server, error) {
	return NewServerOn(ctx, storage.OperatingSystem, file, log)
}

// NewServerOn is like NewServer, with the data folder in the given file system.
func NewServerOn(ctx context.Context, files storage.FileSystem, file *node.File, log *zap.Logger) (*Server, error) {
	links := transport.WatchLinkFile(ctx, file.LinkFile, file.Zone)
	server := &Server{
		file: file, log: log, files: files, startup: newStartup(), reopenDelay: minReopenDelay,
		now: clock.NewSource(nil), inputs: make(chan input, inputCapacity), engineCalls: make(chan EngineCall, callCapacity), weightsCalls: make(chan queuedCall, callCapacity),
		heartbeats: heartbeatBatcher{acked: map[string]ackedHeartbeat{}, wake: make(chan struct{}, 1)},
		writes:     make(chan writeRequest, 1), written: make(chan writeResult, 1),
		clients: map[uint64]transport.Respond{}, senderAddresses: map[consensus.ID]string{}, links: links, outboxes: map[consensus.ID]chan consensus.Message{},
		client: transport.NewClientWithDialTimeout(file.ClusterToken, links, file.Control.Heartbeat), announcer: transport.NewClient(file.ClusterToken, links), fatal: make(chan error, 1),
	}
	server.seedAddresses.Store(&file.Control.Founders)
	server.group = NewClient(server.client, file.Control.Founders)
	server.usage.lossesBorne.Store(unknownLosses)
	if err := listen.Await(ctx, server.internalListen(), file.Control.Admin); err != nil {
		return nil, err
	}
	if err := server.restoreWhenPossible(ctx); err != nil {
		return nil, err
	}
	server.startup.Record(stageRestored, server.now())
	server.log = log.With(zap.String("replica", string(server.identity.Load().ID)))
	return server, nil
}

func (s *Server) replicaConfig() (Config, error) {
	section := s.file.Control
	mechanisms, err := mechanism.Without(section.DisabledMechanisms)
	if err != nil {
		return Config{}, err
	}
	timing := consensus.Timing{
		Heartbeat: section.Heartbeat, ElectionMin: 7 * section.Heartbeat,
		ElectionMax: 14 * section.Heartbeat, Lease: 5 * section.Heartbeat,
	}
	return Config{
		Mechanisms: mechanisms, Level: level.Current,
		ID: s.identity.Load().ID, Name: s.identity.Load().Name, Address: section.InternalAddress, Zone: s.file.Zone, MaxDirectGateways: maxDirectGateways, Timing: timing,
		Replicas: section.Replicas, MaxReplicas: section.MaxReplicas, SettingsLease: section.SettingsLease, RepairAfter: section.RepairAfter,
		SnapshotEvery: section.SnapshotEvery, DiskLimit: int64(section.DiskLimitMB) * bytesPerMB, WeightsOrderDelay: section.WeightsOrderDelay, GatewayViewTTL: section.GatewayViewTTL, Quota: section.Quota.Policy(), Random: rand.Int64N,
	}, nil
}

// internalListen returns the address at which the replica listens for other processes of the cluster.
func (s *Server) internalListen() string {
	return cmp.Or(s.file.Control.InternalListen, s.file.Control.InternalAddress)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := listen.Retry(ctx, func() (*transport.Server, error) {
		return transport.Listen(s.internalListen(), s.file.ClusterToken, s.handle, s.log)
	})
	if err != nil {
		return err
	}
	admin, err := s.listenAdmin(ctx)
	if err != nil {
		return err
	}
	defer s.closeAdmin(admin)
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	restored, disabled := s.replica.Node().LastIndex(), s.config.Mechanisms.Off()
	hasState := restored > 0
	s.membersLog.awaitsState = !hasState
	var workers sync.WaitGroup
	workers.Go(func() { s.runReplica(run) })
	workers.Go(func() { s.runWrites(run) })
	workers.Go(func() { s.sendEngineCalls(run) })
	workers.Go(func() { s.watchEngines(run) })
	workers.Go(func() { s.callBackends(run) })
	workers.Go(func() { s.forwardHeartbeats(run) })
	workers.Go(func() { s.refreshMembership(run) })
	workers.Go(func() { s.rejoinWhileLeaderless(run) })
	workers.Go(func() { s.announceGroup(run) })
	if !hasState {
		workers.Go(func() { s.joinOrCreateGroup(run) })
	}
	s.log.Info(events.ReplicaStarted, zap.String("internal", s.file.Control.InternalAddress), zap.String("admin", s.file.Control.Admin),
		zap.Bool("empty", !hasState), zap.Uint64("index", restored), zap.Strings(events.FieldDisabledMechanisms, disabled))
	select {
	case <-ctx.Done():
	case err = <-s.fatal:
	}
	cancel()
	closing, done := context.WithTimeout(context.Background(), sendTimeout)
	defer done()
	_ = listener.Close(closing)
	workers.Wait()
	if closeErr := s.disk.Close(); err == nil {
		err = closeErr
	}
	s.log.Info(events.ReplicaStopped)
	return err
}

// handle decodes an internal request and queues it for the replica goroutine.
func (s *Server) handle(request transport.Request, respond transport.Respond) {
	item := input{bytes: len(request.Body)}
	var err error
	switch request.Path {
	case PathRaft:
		item.batch = &raftBatch{}
		err = json.Unmarshal(request.Body, item.batch)
		respond(http.StatusOK, struct{}{})
	case PathRequest:
		item.request, item.respond = &Request{}, respond
		err = json.Unmarshal(request.Body, item.request)
	case PathHello:
		item.hello = &helloInput{respond: respond}
		err = json.Unmarshal(request.Body, &item.hello.hello)
	default:
		respond(http.StatusNotFound, nil)
		return
	}
	if err != nil {
		s.log.Warn("malformed internal request", zap.String("path", request.Path), zap.Error(err))
		if request.Path != PathRaft {
			respond(http.StatusBadRequest, nil)
		}
		return
	}
	if !s.submit(item) && request.Path != PathRaft {
		respond(http.StatusOK, Response{Kind: ResponseNoQuorum})
	}
}

// submit queues an input for the replica goroutine. It drops the input and returns false if the queue is full, by number or by
// size. A single input of any size is queued.
func (s *Server) submit(item input) bool {
	if held := s.queuedBytes.Add(int64(item.bytes)); held > maxQueuedBytes && held > int64(item.bytes) {
		s.queuedBytes.Add(-int64(item.bytes))
		s.log.Warn("input queue holds too many bytes, input dropped", zap.Int64("bytes", held))
		return false
	}
	select {
	case s.inputs <- item:
		return true
	default:
		s.queuedBytes.Add(-int64(item.bytes))
		s.log.Warn("input queue is full, input dropped")
		return false
	}
}

// runReplica is the loop of the goroutine that owns the replica.
func (s *Server) runReplica(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	timer := time.NewTimer(0)
	defer timer.Stop()
	s.createFolder()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-s.inputs:
			s.handleInput(item)
			s.handleQueued()
		case result := <-s.written:
			if err := s.endWrite(result); err != nil && !s.reopenStorage(ctx, err) {
				return
			}
			s.handleQueued()
		case <-timer.C:
			s.handleQueued() // messages that waited for a long step count before the timers
		}
		s.replica.Tick(s.now(), time.Now().UnixMilli())
		s.work()
		if err := s.replica.Err(); err != nil {
			s.fatal <- err
			return
		}
		s.recordStartup()
		s.logLeadershipChange()
		s.logLevelChange()
		s.logDepartures()
		s.logElections()
		s.logLease()
		s.logMembers()
		s.logLimitChanges()
		s.logQuarantineChanges()
		timer.Reset(s.nextWakeup())
	}
}

// nextWakeup returns how long the loop may wait for an input.
func (s *Server) nextWakeup() time.Duration {
	if s.canWork() {
		return 0
	}
	return min(max(s.replica.NextDue()-s.now(), time.Millisecond), maxTickInterval)
}

// logLeadershipChange logs when leadership was won or lost.
func (s *Server) logLeadershipChange() {
	isLeader := s.replica.leader != nil
	if isLeader == s.wasLeader {
		return
	}
	s.wasLeader = isLeader
	fields := []zap.Field{zap.Uint64("term", s.replica.node.Term()), zap.String("leader", s.replica.leaderAddress())}
	if !isLeader {
		s.log.Info(events.LeadershipLost, fields...)
		return
	}
	s.log.Info(events.LeadershipWon, append(fields, zap.Strings("namings", s.replica.recentPublications(s.now())))...)
}

// logLevelChange logs when the level in force has changed.
func (s *Server) logLevelChange() {
	if current := s.replica.machine.level; current != s.loggedLevel {
		s.loggedLevel = current
		s.log.Info(events.LevelRaised, zap.Uint64("level", uint64(current)), zap.Uint64("build", uint64(s.config.Level)))
	}
}

// handleQueued handles further queued inputs, so that they share one sync.
func (s *Server) handleQueued() {
	for range maxBatch {
		select {
		case item := <-s.inputs:
			s.handleInput(item)
		default:
			return
		}
	}
}

func (s *Server) handleInput(item input) {
	s.queuedBytes.Add(-int64(item.bytes))
	now := s.now()
	switch {
	case item.request != nil:
		s.nextID++
		s.clients[s.nextID] = item.respond
		s.replica.Handle(now, s.nextID, *item.request)
	case item.hello != nil:
		s.handleHello(item.hello.hello, item.hello.respond)
	case item.report != nil:
		s.replica.ObserveEngineReport(now, *item.report)
	case item.weights != nil:
		s.replica.ObserveWeightsResult(now, *item.weights)
	case item.relayResult != nil:
		if item.relayResult.asker == s.replica { // not one that was abandoned since
			s.logRelayChange(item.relayResult)
			s.replica.ObserveRelay(now, item.relayResult.number, item.relayResult.reply)
		}
	case item.createGroup:
		s.createGroup()
	case item.inspect != nil:
		item.inspect(s.replica)
	case item.batch != nil:
		for _, message := range item.batch.Messages {
			s.senderAddresses[message.From] = item.batch.Address
			s.replica.Step(now, message)
		}
	}
}

// relayToLeader sends a relay request to the leader and submits the result, however late.
func (s *Server) relayToLeader(asker *Replica, call RelayCall) {
	ctx, cancel := context.WithTimeout(context.Background(), relay.LateReplyTimeout)
	defer cancel()
	result := &relayResult{number: call.Request.Number, leader: call.Address, asker: asker}
	var response Response
	err := s.client.Post(ctx, call.Address, PathRequest, Request{Relay: &call.Request}, &response)
	switch {
	case err != nil:
		result.cause = err.Error()
	case response.Kind != ResponseOK:
		result.cause = string(response.Kind)
	default:
		result.reply = response.Relayed
	}
	s.submit(input{relayResult: result})
}

// logRelayChange logs when relay requests to the leader start to fail and when they succeed again.
func (s *Server) logRelayChange(result *relayResult) {
	lost := result.reply == nil
	if lost == s.relayFailing {
		return
	}
	s.relayFailing = lost
	if lost {
		s.log.Info(events.RelayUnavailable, zap.String("leader", result.leader), zap.String(events.FieldCause, result.cause))
		return
	}
	s.log.Info(events.RelayAvailable, zap.String("leader", result.leader))
}

func (s *Server) send(effects Effects) {
	for _, message := range effects.Messages {
		s.enqueue(message)
	}
	for _, reply := range effects.Replies {
		if respond, waiting := s.clients[reply.Client]; waiting {
			delete(s.clients, reply.Client)
			respond(http.StatusOK, reply.Response)
		}
	}
	for _, call := range effects.RelayCalls {
		go s.relayToLeader(s.replica, call)
	}
	for _, call := range effects.WeightsCalls {
		select {
		case s.weightsCalls <- queuedCall{call: call, queuedAt: s.now()}:
		default:
			s.log.Warn("queue of weights calls is full, call dropped; it will be retried", zap.String("instance", call.Instance))
		}
	}
	for _, call := range effects.EngineCalls {
		select {
		case s.engineCalls <- call:
		default:
			s.log.Warn("queue of engine calls is full, call dropped; it will be retried", zap.String("engine", call.Engine))
		}
	}
}
