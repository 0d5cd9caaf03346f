package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
	"kitetiller/internal/node"
	"kitetiller/internal/session"
	"kitetiller/internal/settings"
	"kitetiller/internal/transport"
)

const (
	clusterToken            = "scale"
	replicas                = 3
	leaderHeartbeatInterval = 100 * time.Millisecond
	routerHeartbeatInterval = 500 * time.Millisecond
	requestTimeout          = 5 * time.Second
	electionTimeout         = 20 * time.Second
)

// group is a control group of real replicas in this process.
type group struct {
	ctx       context.Context
	servers   []*control.Server
	stops     []context.CancelFunc // by server
	addresses []string
	client    *control.Client // for requests of operators
}

// startGroup starts the replicas, which run until ctx ends, and waits until they answer.
func startGroup(ctx context.Context, folder, platform string) (*group, error) {
	g := &group{ctx: ctx}
	var files []*node.File
	for i := range replicas {
		internal, err := freeAddress()
		if err != nil {
			return nil, err
		}
		admin, err := freeAddress()
		if err != nil {
			return nil, err
		}
		g.addresses = append(g.addresses, internal)
		name := fmt.Sprintf("control-%d", i+1)
		files = append(files, &node.File{Name: name, Zone: "z", DataDir: filepath.Join(folder, name), ClusterToken: clusterToken, AdminToken: clusterToken,
			Control: &node.Control{InternalAddress: internal, Admin: admin, Replicas: replicas, Platform: platform, Heartbeat: leaderHeartbeatInterval,
				SettingsLease: 3 * time.Second, RepairAfter: time.Minute, SnapshotEvery: 5000}})
	}
	for _, file := range files {
		file.Control.Founders = g.addresses
		serverCtx, stop := context.WithCancel(ctx)
		server, err := control.NewServer(serverCtx, file, zap.NewNop())
		if err != nil {
			stop()
			return nil, err
		}
		g.servers, g.stops = append(g.servers, server), append(g.stops, stop)
		go runWithRole(roleControl, func() { _ = server.Run(serverCtx) }) // ends with ctx
	}
	g.client = control.NewClient(transport.NewClient(clusterToken, nil), g.addresses)
	_, err := g.request(electionTimeout, control.Request{Read: &control.Read{}})
	return g, err
}

func (g *group) request(timeout time.Duration, request control.Request) (control.Response, error) {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	return g.client.Ask(ctx, request)
}

// changeSettings applies edits to the newest settings version and returns the new version.
func (g *group) changeSettings(edits ...settings.Edit) (uint64, error) {
	read, err := g.request(requestTimeout, control.Request{Read: &control.Read{}})
	if err != nil {
		return 0, err
	}
	id := fmt.Sprintf("scale-%d", time.Now().UnixNano())
	response, err := g.request(requestTimeout, control.Request{Change: &settings.Change{Base: read.Read.Version, OperationID: id, Edits: edits}})
	if err != nil {
		return 0, err
	}
	if response.Change.Kind != settings.OutcomeAccepted {
		return 0, eris.Errorf("change not accepted: %+v", response.Change)
	}
	return response.Change.Version, nil
}

// waitInForce waits until a settings version is in force on all routers.
func (g *group) waitInForce(version uint64) error {
	for {
		read, err := g.request(requestTimeout, control.Request{Read: &control.Read{}})
		if err != nil || read.Read.InForce >= version {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// emulatedRouters emulates routers that only keep their sessions with control.
type emulatedRouters struct {
	group         *group
	client        *control.Client
	counter       *trafficCounter
	pendingLeases sync.WaitGroup
	count         int
	namePrefix    string // of the routers' names
}

func newEmulatedRouters(g *group) *emulatedRouters {
	h := &emulatedRouters{group: g, counter: &trafficCounter{}, namePrefix: "hollow"}
	h.client = control.NewClient(transport.NewClientWithDialer(clusterToken, h.counter.dial), g.addresses)
	return h
}

// addUntil adds routers until there are count of them, and waits until each has a lease.
func (h *emulatedRouters) addUntil(count int) {
	for ; h.count < count; h.count++ {
		machine := session.New(session.Identity{Router: fmt.Sprintf("%s-%d", h.namePrefix, h.count), Incarnation: 1, Zone: "z"}, session.Settings{}, routerHeartbeatInterval, guard.Set{})
		h.pendingLeases.Add(1)
		go runWithRole(roleEmulated, func() { h.runSession(machine) })
	}
	h.pendingLeases.Wait()
}

// runSession keeps the session of one emulated router, which acknowledges new settings without writing them to disk.
func (h *emulatedRouters) runSession(machine *session.Machine) {
	started, first := time.Now(), true
	for h.group.ctx.Err() == nil {
		heartbeat := machine.Heartbeat()
		ctx, cancel := context.WithTimeout(h.group.ctx, requestTimeout)
		response, err := h.client.AskOnce(ctx, control.Request{Heartbeat: &heartbeat})
		cancel()
		wait := session.FastHeartbeatInterval
		if err == nil && response.Heartbeat != nil {
			step := machine.HandleReply(time.Since(started), *response.Heartbeat)
			wait = step.NextHeartbeatIn
			if step.ToSync != nil {
				machine.MarkSynced(*step.ToSync)
			}
			if response.Heartbeat.Lease > 0 && first {
				first = false
				h.pendingLeases.Done()
			}
		}
		time.Sleep(wait)
	}
	if first {
		h.pendingLeases.Done()
	}
}

// measureNodes measures processor time and traffic of control by the number of routers.
func measureNodes(g *group, report *Report, sizes []int, duration time.Duration) (*emulatedRouters, error) {
	routers := newEmulatedRouters(g)
	var cores, traffic []Point
	for _, size := range sizes {
		routers.addUntil(size)
		time.Sleep(routerHeartbeatInterval)
		before := routers.counter.total()
		usage, err := measure(duration, func() {})
		if err != nil {
			return nil, err
		}
		cores = append(cores, Point{float64(size), usage.Cores[roleControl]})
		traffic = append(traffic, Point{float64(size), (routers.counter.total() - before) / usage.Wall.Seconds()})
	}
	report.addSlope(roleControl, "processor time of all three replicas", "cores", "node", cores)
	report.addSlope(roleControl, "bytes between nodes and control, both ways", "bytes/s", "node", traffic)
	return routers, nil
}

// measureChanges measures how long a settings change takes to be in force on all emulated routers, and its traffic.
func measureChanges(g *group, routers *emulatedRouters, report *Report, changes int) error {
	var slowest, total time.Duration
	before, started := routers.counter.total(), time.Now()
	for i := range changes {
		changeStarted := time.Now()
		version, err := g.changeSettings(settings.Edit{Path: "/", Setting: "queue_limit", Value: json.RawMessage(fmt.Sprint(100 + i))})
		if err != nil {
			return err
		}
		if err := g.waitInForce(version); err != nil {
			return err
		}
		took := time.Since(changeStarted)
		slowest, total = max(slowest, took), total+took
	}
	heartbeatRate := 0.0
	for _, slope := range report.Slopes {
		if slope.Unit == "bytes/s" && slope.Per == "node" {
			heartbeatRate = slope.Intercept + slope.Slope*float64(routers.count)
		}
	}
	sent := routers.counter.total() - before - heartbeatRate*time.Since(started).Seconds()
	report.addFigure(roleControl, fmt.Sprintf("change until in force on %d nodes, mean", routers.count), "s", total.Seconds()/float64(changes))
	report.addFigure(roleControl, fmt.Sprintf("change until in force on %d nodes, slowest of %d", routers.count, changes), "s", slowest.Seconds())
	report.addFigure(roleControl, "bytes a change sends to a node beyond its heartbeats", "bytes", max(0, sent)/float64(changes)/float64(routers.count))
	return nil
}

// measureClaims measures the throughput and latency of run ledger claims, and how many share one disk sync.
func measureClaims(g *group, report *Report, clients int, duration time.Duration) error {
	heartbeat := control.Heartbeat{Router: "claimer", Incarnation: 1, Zone: "z"}
	reply, err := g.request(requestTimeout, control.Request{Heartbeat: &heartbeat})
	if err != nil {
		return err
	}
	holder := ledger.Holder{Router: "claimer", Epoch: reply.Heartbeat.Epoch}
	var granted int
	var mutex sync.Mutex
	var workers sync.WaitGroup
	syncs, synced := g.syncTotals()
	deadline := time.Now().Add(duration)
	var totalTime time.Duration
	for worker := range clients {
		workers.Go(func() {
			runWithRole(roleEmulated, func() {
				for i := 0; time.Now().Before(deadline); i++ {
					claimedAt := time.Now()
					claim := ledger.Claim{Key: ledger.Key{Tenant: "t", Service: "s", Key: fmt.Sprintf("%d-%d", worker, i)}, Digest: 1,
						ClaimID: fmt.Sprintf("%d-%d", worker, i), Holder: holder, RetentionMS: 86_400_000}
					response, err := g.request(requestTimeout, control.Request{Claim: &claim})
					mutex.Lock()
					if err == nil && response.Claim.Kind == ledger.Granted {
						granted++
						totalTime += time.Since(claimedAt)
					}
					mutex.Unlock()
				}
			})
		})
	}
	workers.Wait()
	after, afterTime := g.syncTotals()
	report.addFigure(roleControl, fmt.Sprintf("ledger claims a second, three replicas, %d clients", clients), "1/s", float64(granted)/duration.Seconds())
	report.addFigure(roleControl, "mean time of a claim", "ms", totalTime.Seconds()*1000/float64(max(1, granted)))
	report.addFigure(roleControl, "mean time of one write and sync", "ms", (afterTime-synced).Seconds()*1000/float64(max(1, after-syncs)))
	report.addFigure(roleControl, "claims that share one write and sync", "claims", float64(granted)*replicas/float64(max(1, after-syncs)))
	return nil
}

func (g *group) syncTotals() (uint64, time.Duration) {
	var count, nanoseconds uint64
	for _, server := range g.servers {
		count += server.Syncs().Count.Load()
		nanoseconds += server.Syncs().Nanoseconds.Load()
	}
	return count, time.Duration(nanoseconds)
}

// measureSimultaneousStart starts many routers at once and measures the time until each has a lease.
func measureSimultaneousStart(g *group, report *Report, count int) {
	routers := newEmulatedRouters(g)
	routers.namePrefix = "herd"
	started := time.Now()
	routers.addUntil(count)
	took := time.Since(started)
	report.addFigure(roleControl, fmt.Sprintf("herd of %d routers starting at once, until all have a lease at the newest settings", count), "s", took.Seconds())
	report.addFigure(roleControl, "bytes of the herd, by router", "bytes", routers.counter.total()/float64(count))
}

// measureLeaderLoss stops the leader and measures the time until the next change is accepted.
func measureLeaderLoss(g *group, report *Report) error {
	response, err := g.request(requestTimeout, control.Request{Read: &control.Read{}})
	if err != nil {
		return err
	}
	version := response.Read.Version
	started := time.Now()
	for i, server := range g.servers {
		if server.Leads(g.ctx) {
			g.stops[i]()
		}
	}
	change := settings.Change{Base: version, OperationID: "after-loss", Edits: []settings.Edit{{Path: "/", Setting: "queue_limit", Value: json.RawMessage("321")}}}
	if _, err := g.request(electionTimeout, control.Request{Change: &change}); err != nil {
		return err
	}
	took := time.Since(started)
	report.addFigure(roleControl, "loss of the leader until the next accepted change", "s", took.Seconds())
	report.addFigure(roleControl, "the same in heartbeats", "heartbeats", took.Seconds()/leaderHeartbeatInterval.Seconds())
	return nil
}
