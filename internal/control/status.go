package control

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
)

// status returns the status of this replica and its view of the group.
func (r *Replica) status(now time.Duration) *StatusReply {
	status := &StatusReply{
		ID: r.config.ID, Name: r.config.Name, Role: r.node.Role().String(), Term: r.node.Term(),
		LeaseHeld: r.node.LeaseValid(now), Applied: r.applied, Snapshot: r.snapshot.Meta.Index,
		Version: r.machine.settings.Version(), InForce: r.InForce(now), Claims: r.machine.ledger.Len(),
		Level: r.machine.level, Build: r.config.Level,
	}
	if leader, found := r.node.Membership().Find(r.node.Leader()); found {
		status.Leader = leader.Name
	}
	peers := map[consensus.ID]consensus.PeerStatus{}
	for _, peer := range r.node.Peers() {
		peers[peer.ID] = peer
	}
	for _, member := range r.members() {
		line := MemberStatus{Member: member, Match: peers[member.ID].Match, Level: r.memberLevel(member.ID)}
		if peer, found := peers[member.ID]; found {
			line.Silent = now - peer.LastReplyAt
		}
		if member.ID == r.config.ID {
			line.Match = r.node.LastIndex()
		}
		status.Members = append(status.Members, line)
	}
	r.addLeaderStatus(now, status)
	return status
}

// maxAdvertisedInStatus bounds the number of advertised limits in a status reply, since thousands of back ends of a large
// fleet may advertise one.
const maxAdvertisedInStatus = 24

// addLeaderStatus adds what only the leader knows.
func (r *Replica) addLeaderStatus(now time.Duration, status *StatusReply) {
	if r.leader == nil {
		return
	}
	for _, router := range sortedKeys(r.machine.sessions) {
		line := RouterStatus{Session: r.machine.sessions[router]}
		if lease := r.leader.routers[router]; lease != nil {
			line.Acked, line.LeaseLeft = lease.acked, max(0, lease.expires-now)
		}
		status.Routers = append(status.Routers, line)
	}
	for _, name := range sortedKeys(r.leader.engines) {
		report := r.leader.engines[name].report
		target := r.desired(zoneService{report.Zone, report.Service}).weights
		status.Engines = append(status.Engines, EngineStatus{EngineReport: report, Wanted: target})
	}
	status.Limits = r.leader.lending.allocator.States(now)
	status.AdvertisedLimits = r.leader.lending.allocator.AdvertisedStates(now, maxAdvertisedInStatus)
	status.Suspects = r.machine.catalog.Quarantine().Update().Entries
	status.Software = r.softwareCounts()
}

// softwareCounts counts the registered back ends by service and software version, in this order.
func (r *Replica) softwareCounts() []SoftwareCount {
	var counts []SoftwareCount
	at := map[SoftwareCount]int{}
	for id, instance := range r.machine.catalog.Instances() {
		key := SoftwareCount{Service: instance.Service}
		if state := r.leader.fleet[id]; state != nil {
			key.Version = state.software.Name()
		}
		i, known := at[key]
		if !known {
			i, at[key] = len(counts), len(counts)
			counts = append(counts, key)
		}
		counts[i].BackEnds++
		if instance.State == catalog.StateReady {
			counts[i].Ready++
		}
	}
	slices.SortFunc(counts, func(a, b SoftwareCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return counts
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
