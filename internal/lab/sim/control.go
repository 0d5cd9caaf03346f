package sim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/level"
)

const (
	usualVoters        = 3
	raftHeartbeat      = 100 * time.Millisecond
	repairAfter        = 4 * time.Second
	settingsLease      = 2 * time.Second
	snapshotEvery      = 150
	enginePollInterval = 300 * time.Millisecond
	pollTimeout        = 500 * time.Millisecond
	joinInterval       = 400 * time.Millisecond
	wallStart          = 1_700_000_000_000 // Unix ms at virtual time 0
	lateSyncMin        = 20 * time.Millisecond
	lateSyncMax        = 400 * time.Millisecond
	relayTimeout       = 400 * time.Millisecond
)

var controlTiming = consensus.Timing{
	Heartbeat: raftHeartbeat, ElectionMin: 7 * raftHeartbeat, ElectionMax: 14 * raftHeartbeat, Lease: 5 * raftHeartbeat,
}

// controlNode is a simulated control replica and its disk.
type controlNode struct {
	*process
	disk      control.Checkpoint
	identity  control.Identity
	dataDirs  int // number of data directories used so far
	replica   *control.Replica
	startedAt time.Duration
	build     level.Level // current build; the next start uses it if keepBuild is set
	wallSkew  time.Duration

	diskStalledUntil time.Duration // no write completes before this time
	diskFullUntil    time.Duration // every write fails before this time
	slowUntil        time.Duration // each write takes longer by slowSync before this time
	slowSync         time.Duration
	segmentBytes     int64 // size of the log on disk
	sent             map[consensus.ID]sentBytes
	syncing          *control.Persist  // write in progress
	unsynced         []control.Persist // acknowledged before they were synced; only with SyncBeforeAck off
	wakeup           vtime.Alarm
	clients          map[uint64]func(control.Response)
	nextID           uint64
	joinClient       *controlClient

	openings   int  // number of starts, and of ends of the process
	hasSegment bool // the data directory has the log's first segment
	keepBuild  bool // the next start uses the same build
}

// repairAfter returns how long a voter may be unreachable before a learner replaces it.
func (w *world) repairAfter() time.Duration {
	if w.outages.replacements.on {
		return replacementRepairAfter
	}
	return repairAfter
}

func (n *controlNode) clock() time.Duration { return n.elapsed(n.startedAt, n.w.now()) }

func (n *controlNode) unixMS() int64 { return wallStart + (n.w.now() + n.wallSkew).Milliseconds() }

// newDataDir replaces the data directory by an empty one and gives the replica a new identity.
func (n *controlNode) newDataDir() {
	n.dataDirs++
	n.disk, n.segmentBytes, n.hasSegment = control.Checkpoint{}, 0, false
	n.identity = control.NewIdentity(n.name, fmt.Sprint(n.dataDirs), n.w.guards)
}

func (n *controlNode) member() consensus.Member {
	return consensus.Member{ID: n.identity.ID, Name: n.name, Address: n.name}
}

// boot opens the log and then starts the process from the state on its disk.
func (n *controlNode) boot() {
	n.openings++
	opening := n.openings
	if delay := n.openTime(); delay > 0 {
		n.w.recordControlDisturbance(delay)
		n.w.after(delay, func() {
			if n.openings == opening {
				n.startReplica()
			}
		})
		return
	}
	n.startReplica()
}

// startReplica starts the process from the state on its disk.
func (n *controlNode) startReplica() {
	n.start()
	n.hasSegment = n.hasSegment || n.disk.Snapshot.Meta.Index > 0
	n.startedAt = n.w.now()
	n.syncing, n.unsynced = nil, nil
	n.clients, n.sent = map[uint64]func(control.Response){}, map[consensus.ID]sentBytes{}
	n.wakeup = vtime.Alarm{}
	n.joinClient = newControlClient(n.w, n.process)
	if !n.keepBuild {
		n.build = n.w.drawBuild()
	}
	n.keepBuild = false
	config := control.Config{
		Level: n.build,
		ID:    n.identity.ID, Name: n.name, Address: n.name, Timing: controlTiming, Replicas: n.w.voters, MaxReplicas: n.w.mostVoters,
		SettingsLease: settingsLease, RepairAfter: n.w.repairAfter(), SnapshotEvery: snapshotEvery, DiskLimit: n.w.diskLimit(), Limits: n.w.limits(),
		WeightsOrderDelay: fleetOrderDelay, GatewayViewTTL: fleetViewTTL, Zone: n.zone, MaxDirectGateways: n.w.maxDirectGateways(),
		Guards: n.w.guards, Random: n.w.random.Int64N,
	}
	replica, err := control.NewReplica(config, cloneCheckpoint(n.disk), 0)
	if errors.Is(err, level.ErrTooOld) {
		n.restartWithNewBuild(err)
		return
	}
	if err != nil {
		panic("sim: cannot restore " + n.name + " from its disk: " + err.Error())
	}
	n.replica = replica
	n.replica.ObserveStorage(n.segmentBytes)
	n.replica.StartSyncTime(n.syncDelay())
	n.w.logf("%s starts as %s at entry %d", n.name, n.identity.ID, replica.Node().LastIndex())
	n.ticker(enginePollInterval, n.pollEngines)
	n.ticker(joinInterval, n.joinGroup)
	if !n.hasSegment {
		n.createFolder()
	}
	n.advance()
}

// cloneCheckpoint copies the entries, as the replica may append to the slice.
func cloneCheckpoint(disk control.Checkpoint) control.Checkpoint {
	disk.Entries = slices.Clone(disk.Entries)
	return disk
}

// crash ends the process. A write that was not synced is lost in part or whole.
func (n *controlNode) crash(silent bool) {
	if n.syncing != nil {
		n.storePartially(*n.syncing)
	}
	n.syncing, n.unsynced = nil, nil
	if !n.hasSegment {
		n.newDataDir()
	}
	n.openings++ // a start that is under way ends
	n.w.outages.last = max(n.w.outages.last, n.w.now())
	n.kill(silent)
}

// storePartially stores a random prefix of the entries of an interrupted write.
func (n *controlNode) storePartially(persist control.Persist) {
	if persist.Empty() || persist.Checkpoint != nil || n.w.chance(0.3) {
		return // folders and checkpoints are written atomically
	}
	persist.Entries = persist.Entries[:n.w.random.IntN(len(persist.Entries)+1)]
	n.store(persist)
}

func (n *controlNode) store(persist control.Persist) {
	n.recordStored(persist)
	if err := n.disk.Apply(persist); err != nil {
		panic("sim: cannot apply a write to the disk of " + n.name + ": " + err.Error())
	}
}

// handleInput runs do on the replica.
func (n *controlNode) handleInput(do func()) {
	do()
	n.advance()
}

// advance runs the replica until it waits for inputs or a timer. A sync may be in progress meanwhile.
func (n *controlNode) advance() {
	n.replica.Tick(n.clock(), n.unixMS())
	if n.w.pending.freezeOnOrder && n.replica.PendingWeightsCalls() > 0 {
		n.freezeOnOrder()
		return
	}
	for {
		if n.replica.HasReleasable() {
			n.send(n.replica.Release(n.clock()))
		}
		if n.syncing != nil || !n.replica.NeedsWrite() {
			if n.replica.HasReleasable() {
				continue
			}
			break
		}
		n.write(n.replica.Prepare())
	}
	n.checkHeld()
	if n.checkBuild(); n.up {
		n.scheduleWakeup()
	}
}

// write begins a write, or acknowledges it at once if nothing is to be written or SyncBeforeAck is off.
func (n *controlNode) write(persist control.Persist) {
	if persist.Empty() || !n.w.guards.On(guard.SyncBeforeAck) {
		if !persist.Empty() {
			n.storeAfterAck(persist)
		}
		n.send(n.replica.Advance(n.clock()))
		return
	}
	n.beginSync(persist)
}

// beginSync begins a write.
func (n *controlNode) beginSync(persist control.Persist) {
	n.syncing = &persist
	began := n.w.now()
	delay := max(n.w.between(500*time.Microsecond, 6*time.Millisecond)+syncsOf(persist)*n.syncDelay(), n.diskStalledUntil-n.w.now())
	n.after(delay, func() {
		if n.isFull() {
			n.failWrite()
			return
		}
		n.store(persist)
		n.syncing = nil
		if persist.Checkpoint == nil { // as the server does
			n.replica.ObserveSync(n.w.now() - began)
		}
		n.send(n.replica.Advance(n.clock()))
		n.advance()
	})
}

// storeAfterAck stores a write after it has been acknowledged. If the write then no longer applies, acknowledged
// data is lost, which is a violation.
func (n *controlNode) storeAfterAck(persist control.Persist) {
	n.unsynced = append(n.unsynced, persist)
	n.after(n.w.between(lateSyncMin, lateSyncMax), func() {
		if err := n.disk.Apply(n.unsynced[0]); err != nil {
			n.w.oracle.fail(SettingsDurable, "%s acknowledged a write that it could not store: %v", n.name, err)
		}
		n.unsynced = n.unsynced[1:]
	})
}

func (n *controlNode) scheduleWakeup() {
	due := n.trueTime(n.startedAt, n.replica.NextDue())
	n.wakeup.Set(n.w.now(), due, time.Millisecond, n.after, n.advance)
}

func (n *controlNode) send(effects control.Effects) {
	for _, message := range effects.Messages {
		n.sendMessage(message)
	}
	for _, reply := range effects.Replies {
		if answer, waiting := n.clients[reply.Client]; waiting {
			delete(n.clients, reply.Client)
			n.w.oracle.controlAnswered(n, reply.Response)
			answer(reply.Response)
		}
	}
	for _, call := range effects.EngineCalls {
		n.sendCall(call)
	}
	for _, call := range effects.WeightsCalls {
		n.callBackend(call)
	}
	for _, call := range effects.RelayCalls {
		n.askLeader(call)
	}
}

// askLeader forwards a gateway's request to the leader.
func (n *controlNode) askLeader(call control.RelayCall) {
	number := call.Request.Number
	failed := func(bool) { n.handleInput(func() { n.replica.ObserveRelay(n.clock(), number, nil) }) }
	for _, peer := range n.w.controls {
		if peer.name != call.Address {
			continue
		}
		n.w.call(n.process, peer.process, relayTimeout, func(respond func(func())) {
			peer.handle(control.Request{Relay: &call.Request}, func(response control.Response) {
				respond(func() {
					n.handleInput(func() { n.replica.ObserveRelay(n.clock(), number, response.Relayed) })
				})
			})
		}, failed)
		return
	}
	failed(true)
}

func (n *controlNode) sendMessage(message consensus.Message) {
	message.Entries = slices.Clone(message.Entries)
	n.checkSent(&message)
	for _, peer := range n.w.controls {
		if peer.identity.ID == message.To {
			n.w.delayedMessage(n.w.transferTime(&message), n.process, peer.process, func() {
				if peer.identity.ID == message.To {
					delete(peer.sent, message.From)
					peer.handleInput(func() { peer.replica.Step(peer.clock(), message) })
				}
			})
		}
	}
}

// sendCall sends a call to an engine, some of them after a random delay.
func (n *controlNode) sendCall(call control.EngineCall) {
	target := n.w.engine(call.Engine)
	delay := time.Duration(0)
	if n.w.chance(0.15) {
		delay = n.w.between(0, 5*time.Second)
	}
	if call.Order != nil {
		delay = max(delay, n.w.pending.delayOrder(n))
	}
	from := n.process
	n.w.after(delay, func() { n.w.message(from, target.process, func() { target.handleCall(call) }) })
}

// handle passes a client's request to the replica.
func (n *controlNode) handle(request control.Request, answer func(control.Response)) {
	n.handleInput(func() {
		n.nextID++
		n.clients[n.nextID] = answer
		n.replica.Handle(n.clock(), n.nextID, request)
	})
}

func (n *controlNode) isLeader() bool { return n.replica.Node().Role() == consensus.Leader }

// pollEngines polls the weights and fences of the engines while this replica is the leader.
func (n *controlNode) pollEngines() {
	if !n.isLeader() {
		return
	}
	for _, target := range n.w.engines {
		n.w.call(n.process, target.process, pollTimeout, func(respond func(func())) {
			report := target.controlReport()
			respond(func() { n.handleInput(func() { n.replica.ObserveEngineReport(n.clock(), report) }) })
		}, func(bool) {})
	}
}

// joinGroup requests to join as a learner while no leader is known: the data directory may be empty, or the group
// may have replaced this replica while it was down. For a member the request has no effect.
func (n *controlNode) joinGroup() {
	if n.replica.Node().LastIndex() > 0 && !n.replica.Node().LeaderSilent(n.clock()) {
		return
	}
	self := n.member()
	n.joinClient.askOnce(control.Request{Join: &self}, pollTimeout, func(control.Response, bool) {})
}

// createGroup boots the control replicas: the first bootstraps a group of one voter, which the others join.
func (w *world) createGroup() {
	for _, n := range w.controls {
		n.newDataDir()
	}
	first := w.controls[0]
	first.disk = control.BootstrapState(first.member())
	for _, n := range w.controls {
		n.boot()
	}
}

// leader returns the running leader with the highest term, or nil.
func (w *world) leader() *controlNode {
	var best *controlNode
	for _, n := range w.controls {
		if n.up && !n.frozen && n.isLeader() && (best == nil || n.replica.Node().Term() > best.replica.Node().Term()) {
			best = n
		}
	}
	return best
}
