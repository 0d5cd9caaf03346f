package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/quota"
	"kitetiller/internal/transport"
)

// watchControl polls control for updates until ctx ends.
func (g *Gateway) watchControl(ctx context.Context) {
	var roster control.RosterVersion
	replicas, failures := 0, 0
	for ctx.Err() == nil {
		askedAt := g.now()
		reply := g.watchOnce(ctx, roster, watchGrace(failures), failures > 0 || replicas == 0)
		if reply == nil {
			failures++
			g.nearby.demoteFirst()
			if !g.trusted(g.now()) {
				g.outage.begin(g.now())
				g.log.recordDisconnect()
			}
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
			continue
		}
		failures = 0
		g.recordStage(stageControl)
		roster = reply.Version
		g.applyWatchReply(ctx, askedAt, reply)
		if len(reply.Replicas) != replicas {
			replicas = len(reply.Replicas)
			g.group.SetAddresses(reply.Replicas)
		}
	}
}

// watchGrace returns how much later than its hold time a reply may arrive, after a number of consecutive failures.
func watchGrace(failures int) time.Duration {
	return (watchTimeout - watchHold) << min(failures/failuresPerStep, maxTimeoutDoublings)
}

// watchOnce sends one watch request to control, and first finds a replica that answers if none is known. It returns nil
// if there was no reply.
func (g *Gateway) watchOnce(ctx context.Context, roster control.RosterVersion, grace time.Duration, searching bool) *control.WatchReply {
	watch := g.newWatch(roster)
	if searching {
		if !g.findControl(ctx, watch, grace) {
			return nil
		}
		grace = max(grace, fullReplyTimeout)
	}
	attempt, cancel := context.WithTimeout(ctx, grace+watch.Hold)
	defer cancel()
	address, _ := g.nearby.first()
	g.relayAddress.Store(&address)
	response, err := g.askForWatch(attempt, watch)
	if err != nil || response.Kind != control.ResponseOK {
		return nil
	}
	return response.Watch
}

// newWatch returns a watch request for a gateway that holds a roster.
func (g *Gateway) newWatch(roster control.RosterVersion) control.Watch {
	watch := control.Watch{
		Gateway: g.settings.Name, Zone: g.settings.Zone, Address: g.settings.PeerAddress, Roster: roster, Hold: g.watchHoldTime(), Usage: g.table.usage(),
		Closing: g.shutdown.draining.Load(), Quarantine: g.quarantine.Version(),
	}
	if g.opensTunnels() {
		watch.Tunnel = g.settings.TunnelAddress
	}
	if current := g.view.Load(); current != nil {
		watch.Revision = current.document.Revision
	}
	return watch
}

// askForWatch sends a watch to the replica that answers watches for the leader, or to the leader if none does.
func (g *Gateway) askForWatch(ctx context.Context, watch control.Watch) (control.Response, error) {
	request := control.Request{Watch: &watch}
	if address := g.relayAddress.Load(); address != nil && *address != "" {
		return g.group.AskReplica(ctx, *address, request)
	}
	return g.group.AskOnce(ctx, request)
}

// findControl asks several replicas at once which of them answer. The requests omit document and roster, since a small
// machine would exceed the timeout parsing several copies.
func (g *Gateway) findControl(ctx context.Context, watch control.Watch, grace time.Duration) bool {
	watch.ProbeOnly = true
	if !g.group.AnsweredWithin(controlContactWindow) {
		watch.Hold = 0 // an immediate reply shows whether any replica is available
	}
	attempt, cancel := context.WithTimeout(ctx, grace+watch.Hold)
	defer cancel()
	response, err := g.group.AskAny(attempt, control.Request{Watch: &watch})
	if err != nil || response.Watch == nil {
		return false
	}
	g.nearby.update(response.Watch.NearbyReplicas)
	g.group.SetAddresses(response.Watch.Replicas)
	return true
}

// handleHello takes the addresses of the control group from its leader, unless a replica has answered lately. The configured
// addresses may all be of machines that are gone.
func (g *Gateway) handleHello(request transport.Request, respond transport.Respond) {
	var hello control.Hello
	if json.Unmarshal(request.Body, &hello) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	if len(hello.Members) > 0 && !g.group.AnsweredWithin(controlContactWindow) {
		g.group.SetAddresses(hello.Members)
		g.log.info(events.ControlAnnounced, zap.Strings("members", hello.Members))
	}
	respond(http.StatusOK, control.HelloReply{})
}

// watchHoldTime returns how long control may hold a watch request. It is short while a back end drains for new weights,
// so that control learns soon that its requests have ended.
func (g *Gateway) watchHoldTime() time.Duration {
	if g.table.weightsDraining() {
		return drainingWatchHold
	}
	return watchHold
}

// applyWatchReply applies a watch reply. A document is only replaced by a newer one.
func (g *Gateway) applyWatchReply(ctx context.Context, askedAt time.Duration, reply *control.WatchReply) {
	g.quarantine.RecordIdle(g.untrustedFor(g.now()))
	if reply.Quarantine != nil {
		g.quarantine.ApplyUpdate(reply.Quarantine)
	}
	recorded := g.table.servicesWithRecords(g.now())
	current := g.view.Load()
	g.gatewayCount.Store(int64(reply.Gateways)) // before requests are served
	if reply.Document != nil && (current == nil || reply.Document.Revision > current.document.Revision) {
		g.setView(newView(reply.Document, reply.Offers))
		g.leases.SetLimits(quota.Limits(reply.Document, g.settings.Quota))
		g.log.info(events.DocumentApplied, zap.Uint64(events.FieldRevision, reply.Document.Revision), zap.Int("routes", len(reply.Document.Routes)))
	}
	if reply.Roster != nil {
		changes := g.table.applyRoster(g.now(), reply.Roster, g.cacheTokens())
		g.quarantine.ConfirmEnds(reporter.Replaced, replacedInstances(changes)...)
		for _, change := range changes {
			g.log.info(change.event, zap.String(events.FieldInstance, change.entry.ID), zap.String("service", change.entry.Service),
				zap.String("address", change.entry.Address), zap.String("zone", change.entry.Zone), zap.String(events.FieldSoftware, change.entry.SoftwareVersion))
		}
		g.log.info(events.RosterApplied, zap.Uint64("term", reply.Version.Term), zap.Uint64("count", reply.Version.Count),
			zap.Bool("whole", reply.Roster.Full), zap.Int("changed", len(reply.Roster.Entries)), zap.Int("gone", len(reply.Roster.Removed)))
	}
	g.rosterVersion.Store(&reply.Version)
	g.streams.SetPeers(reply.Mesh.RecordHolders)
	g.sendEarlierRecords(recorded)
	for _, n := range g.table.applyWatchReply(g.now(), askedAt, reply) {
		g.log.info(events.PublicationAgeRegression, zap.String("model", n.Model), zap.Uint64("version", n.Version),
			zap.Float64("known", n.Known.Seconds()), zap.Float64("told", n.Reported.Seconds()))
	}
	g.watchStartDeadlines()
	g.leases.RecordContact(askedAt, reply.Gateways)
	g.nearby.update(reply.NearbyReplicas)
	g.peers.setMesh(reply.Mesh)
	g.tunnelAddresses.Store(&[][]string{reply.Mesh.Tunnels, reply.Mesh.OtherTunnels})
	g.schedulers.setAddresses(reply.Mesh.Schedulers)
	g.slots.setSchedulers(reply.Mesh.FleetSchedulers)
	g.table.setAssigned(reply.CacheEventSources)
	g.assignCaches(ctx, reply)
	g.assignStores(ctx, reply)
	if g.view.Load() != nil {
		g.confirmedAt.Store(int64(askedAt))
		g.outage.end(g.now())
		g.recordStage(stageView)
		g.viewConfirmed.Notify()
		g.log.recordReconnect()
	}
}

// cacheTokens returns the cache size of one engine in tokens, by service.
func (g *Gateway) cacheTokens() map[string]int {
	limits := map[string]int{}
	if current := g.view.Load(); current != nil {
		for name, service := range current.services {
			limits[name] = service.CacheTokens
		}
	}
	return limits
}
