package control

import (
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
)

// handleHeartbeat renews, opens or closes a router's session.
func (r *Replica) handleHeartbeat(now time.Duration, client uint64, beat Heartbeat) {
	session, found := r.machine.sessions[beat.Router]
	lease := r.leader.routers[beat.Router]
	current := found && lease != nil && !lease.closeProposed && beat.Epoch == session.Epoch &&
		beat.Incarnation == session.Incarnation && now < lease.expires
	if beat.Closing {
		if current {
			lease.closeProposed = true
			r.propose(now, client, Command{CloseSession: &ledger.Holder{Router: beat.Router, Epoch: beat.Epoch}})
			return
		}
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	if !current {
		r.openSession(now, client, beat)
		return
	}
	r.reply(client, Response{Kind: ResponseOK, Heartbeat: r.renew(now, lease, beat)})
}

func (r *Replica) openSession(now time.Duration, client uint64, beat Heartbeat) {
	if r.leader.openProposed[beat.Router] {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	r.leader.openProposed[beat.Router] = true
	r.propose(now, client, Command{OpenSession: &Session{
		Router: beat.Router, Incarnation: beat.Incarnation, Zone: beat.Zone, Address: beat.Address,
	}})
}

// sessionOpened returns the reply to the heartbeat that opened a session. The lease is granted by the next heartbeat,
// once the router has acknowledged the settings version sent in this reply.
func (r *Replica) sessionOpened(now time.Duration, client uint64, session Session) Response {
	if r.leader == nil {
		return Response{Kind: ResponseUnknown}
	}
	delete(r.leader.openProposed, session.Router)
	if session.Epoch == 0 {
		return Response{Kind: ResponseNoQuorum} // the router has a newer incarnation
	}
	lease := &routerLease{expires: r.leaseEnd(now)}
	r.leader.routers[session.Router] = lease
	lease.sentVersion = r.machine.settings.Version()
	tree := r.machine.settings.Tree()
	return Response{Kind: ResponseOK, Heartbeat: &HeartbeatReply{Epoch: session.Epoch, Version: lease.sentVersion, Tree: &tree}}
}

// leaseMarginDivisor sets the safety margin of a lease: the leader counts it longer than the router by this fraction
// (1/leaseMarginDivisor) of its duration, which allows for a router whose clock runs slow.
const leaseMarginDivisor = 8

// leaseEnd returns the time by which a lease granted now has certainly expired at the router.
func (r *Replica) leaseEnd(now time.Duration) time.Duration {
	if !r.config.Guards.On(guard.LeaseMargin) {
		return now + r.config.SettingsLease
	}
	return now + r.config.SettingsLease + r.config.SettingsLease/leaseMarginDivisor
}

// renew extends a lease, unless the router has yet to apply the settings version sent with an earlier reply.
func (r *Replica) renew(now time.Duration, lease *routerLease, beat Heartbeat) *HeartbeatReply {
	lease.acked = max(lease.acked, beat.Acked)
	version := r.machine.settings.Version()
	reply := &HeartbeatReply{Epoch: beat.Epoch, Version: version, Base: beat.Acked}
	if beat.HasSettings && beat.Acked >= lease.sentVersion {
		reply.Lease = r.config.SettingsLease
		lease.expires = r.leaseEnd(now)
	}
	edits, available := r.machine.settings.EditsSince(beat.Acked)
	if beat.HasSettings && available {
		reply.Edits = edits
	} else {
		tree := r.machine.settings.Tree()
		reply.Tree = &tree
	}
	lease.sentVersion = version
	if beat.PeersSeen != r.machine.peersVersion {
		reply.Peers = r.machine.Peers()
	}
	reply.Quarantine = r.quarantineUpdate(beat.Quarantine)
	lease.tunnel = beat.Tunnel
	reply.Tunnels = r.tunnelPeers(now, beat.Router)
	return reply
}

// maxTunnelPeers bounds the routers named in a reply.
const maxTunnelPeers = 8

// tunnelPeers returns the other routers that open tunnels to back ends, those that follow the router by name first, so
// that each router is named to as many others.
func (r *Replica) tunnelPeers(now time.Duration, router string) []Peer {
	var before, after []Peer
	for _, name := range sortedKeys(r.leader.routers) {
		lease, session := r.leader.routers[name], r.machine.sessions[name]
		if name == router || lease.tunnel == "" || now >= lease.expires {
			continue
		}
		peer := Peer{Name: name, Zone: session.Zone, Address: lease.tunnel}
		if name < router {
			before = append(before, peer)
			continue
		}
		after = append(after, peer)
	}
	peers := append(after, before...)
	return peers[:min(maxTunnelPeers, len(peers))]
}

// expireSessions closes the sessions whose lease has expired, which sets their running claims to unknown.
func (r *Replica) expireSessions(now time.Duration) {
	for router := range r.machine.sessions {
		if r.leader.routers[router] == nil { // opened under an earlier leader, applied after the election
			r.leader.routers[router] = &routerLease{expires: r.leaseEnd(now)}
		}
	}
	for _, router := range sortedKeys(r.leader.routers) {
		lease := r.leader.routers[router]
		session, found := r.machine.sessions[router]
		if !found {
			delete(r.leader.routers, router)
			continue
		}
		if now >= lease.expires && !lease.closeProposed {
			lease.closeProposed = true
			r.propose(now, 0, Command{CloseSession: &ledger.Holder{Router: router, Epoch: session.Epoch}})
		}
	}
}

// InForce returns the newest settings version that no serving router is behind: every router with a session has
// acknowledged it or its lease has expired.
func (r *Replica) InForce(now time.Duration) uint64 {
	inForce := r.machine.settings.Version()
	if r.leader == nil {
		return 0
	}
	for router := range r.machine.sessions {
		lease := r.leader.routers[router]
		if lease == nil {
			return 0
		}
		if now < lease.expires {
			inForce = min(inForce, lease.acked)
		}
	}
	return inForce
}

func (r *Replica) read(now time.Duration, request Read) *ReadReply {
	reply := &ReadReply{Version: r.machine.settings.Version(), InForce: r.InForce(now), Tree: r.machine.settings.Tree()}
	if request.History {
		reply.History = r.machine.settings.History()
	}
	return reply
}
