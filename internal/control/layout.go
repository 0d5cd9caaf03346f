package control

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/guard"
	"kitetiller/internal/mechanism"
)

// Mesh lists the other gateways that a gateway notifies of the requests it sends.
type Mesh = mesh.Mesh

const (
	// layoutInterval is the minimum time between two layouts.
	layoutInterval = 250 * time.Millisecond
	// relayReplicaTTL is how long after its last relay request a follower counts as answering gateways.
	relayReplicaTTL = 900 * time.Millisecond
)

// relayReplica is a follower that answers the gateways of its zone.
type relayReplica struct {
	zone    string
	address string
	at      time.Duration // time of its last relay request
}

// layout returns the layout of the recently seen gateways, replanned at most once per layoutInterval.
func (r *Replica) layout(now time.Duration) *relay.Layout {
	state := r.leader
	if state.lastLayout != nil && now < state.lastLayoutAt+layoutInterval {
		return state.lastLayout
	}
	state.lastLayoutAt = now
	var gateways []mesh.Gateway
	for name, report := range state.usage {
		if report.address != "" && now-report.receivedAt <= usageTTL {
			gateways = append(gateways, mesh.Gateway{Peer: mesh.Peer{Name: name, Address: report.address}, Zone: report.zone, Tunnel: report.tunnel})
		}
	}
	slices.SortFunc(gateways, func(a, b mesh.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	state.planner.AllSchedule = !r.config.Mechanisms.On(mechanism.Schedulers)
	state.planner.Plan(now, gateways)
	planned, count := state.planner.Layout()
	addresses := r.relayReplicaAddresses(now)
	if state.lastLayout == nil || state.plannedLayoutCount != count || !reflect.DeepEqual(addresses, state.lastLayout.NearbyReplicas) {
		state.plannedLayoutCount, state.layoutCount, state.cacheEventSources = count, state.layoutCount+1, nil
		meshCopy := *planned
		state.lastLayout = &relay.Layout{Version: RosterVersion{Term: state.term, Count: state.layoutCount}, Mesh: &meshCopy, NearbyReplicas: addresses}
	}
	return state.lastLayout
}

// relayReplicaAddresses returns the addresses of the replicas that answer gateways, by zone, or nil while the leader
// answers all gateways itself.
func (r *Replica) relayReplicaAddresses(now time.Duration) map[string][]string {
	if !r.needsRelays() {
		return nil
	}
	addressesByZone := map[string][]string{}
	for _, replica := range r.leader.relayReplicas {
		if now-replica.at <= relayReplicaTTL {
			addressesByZone[replica.zone] = append(addressesByZone[replica.zone], replica.address)
		}
	}
	addressesByZone[r.config.Zone] = append(addressesByZone[r.config.Zone], r.config.Address)
	for _, addresses := range addressesByZone {
		slices.Sort(addresses)
	}
	return addressesByZone
}

// needsRelays reports whether followers answer gateways, since there are too many for the leader.
func (r *Replica) needsRelays() bool {
	return len(r.machine.catalog.Gateways()) > r.config.MaxDirectGateways
}

// cacheEventSourcesOf returns the engines whose cache events a gateway reads on behalf of all.
func (r *Replica) cacheEventSourcesOf(now time.Duration, gateway string) []string {
	state := r.leader
	layout := r.layout(now)
	r.refreshRoster(now)
	if state.cacheEventSources == nil || state.cacheEventSourcesCount != state.roster.Count() {
		state.cacheEventSources, state.cacheEventSourcesCount = relay.CacheEventSources(layout.Mesh, &state.roster), state.roster.Count()
	}
	return state.cacheEventSources[gateway]
}

// handleRelay answers a follower on behalf of its gateways. Each of them is recorded as seen now, which is later than it
// was.
func (r *Replica) handleRelay(now time.Duration, client uint64, request relay.Request) {
	r.leader.relayReplicas[request.Name] = relayReplica{zone: request.Zone, address: request.Address, at: now}
	var unlisted []string
	for _, report := range request.Reports {
		if r.config.Guards.On(guard.RelayReported) && !r.recordReport(now, report) {
			unlisted = append(unlisted, report.Gateway)
		}
	}
	if len(unlisted) > 0 {
		r.leader.gatewayUnlisted = true
		r.updateGatewayList(now)
	}
	reply := &relay.Reply{Number: request.Number, Applied: r.applied, Version: r.leader.rosterVersion(), Publications: r.weightsPublications(now), Unlisted: unlisted}
	if request.Roster != reply.Version {
		reply.Roster = r.rosterUpdate(now, request.Roster)
	}
	if layout := r.layout(now); request.Layout != layout.Version {
		reply.Layout = layout
	}
	_, reply.Gateways = r.trustingGateways(now)
	r.reply(client, Response{Kind: ResponseOK, Relayed: reply})
}

// recordReport records a gateway's report and returns whether its view may be confirmed. That requires the gateway to be
// in the log, since the next leader would not wait for it otherwise.
func (r *Replica) recordReport(now time.Duration, report relay.Report) bool {
	if report.Closing {
		delete(r.leader.usage, report.Gateway)
		r.leader.lastLayoutAt = now - layoutInterval // replan at once without this gateway
		return true
	}
	r.leader.usage[report.Gateway] = usageReport{receivedAt: now, zone: report.Zone, address: report.Address, tunnel: report.Tunnel, roster: report.Roster, running: report.Running}
	return r.machine.catalog.HasGateway(report.Gateway)
}
