package control

import (
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
)

func (r *Replica) heartbeat(now time.Duration, client uint64, beat Heartbeat) {
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

// sessionOpened answers the heartbeat that opened a session. The lease comes with the next heartbeat, when
// the router has acknowledged the version sent here.
func (r *Replica) sessionOpened(now time.Duration, client uint64, session Session) Response {
	if r.leader == nil {
		return Response{Kind: ResponseUnknown}
	}
	delete(r.leader.openProposed, session.Router)
	if session.Epoch == 0 {
		return Response{Kind: ResponseNoQuorum} // an older incarnation
	}
	lease := &routerLease{expires: r.leaseEnd(now)}
	r.leader.routers[session.Router] = lease
	lease.sentVersion = r.machine.settings.Version()
	tree := r.machine.settings.Tree()
	return Response{Kind: ResponseOK, Heartbeat: &HeartbeatReply{Epoch: session.Epoch, Version: lease.sentVersion, Tree: &tree}}
}

// leaseMarginDivisor is the part of a lease, as its inverse, by which control counts it longer than the router, so that
// a router whose clock runs slowly has stopped when control thinks so.
const leaseMarginDivisor = 8

// leaseEnd returns when a lease granted now has ended at the router for certain.
func (r *Replica) leaseEnd(now time.Duration) time.Duration {
	if !r.config.Guards.On(guard.LeaseMargin) {
		return now + r.config.SettingsLease
	}
	return now + r.config.SettingsLease + r.config.SettingsLease/leaseMarginDivisor
}

// renew extends a lease, unless the router has not taken up the version it was sent before.
func (r *Replica) renew(now time.Duration, lease *routerLease, beat Heartbeat) *HeartbeatReply {
	lease.acked = max(lease.acked, beat.Acked)
	version := r.machine.settings.Version()
	reply := &HeartbeatReply{Epoch: beat.Epoch, Version: version, Base: beat.Acked}
	if beat.HasSettings && beat.Acked >= lease.sentVersion {
		reply.Lease = r.config.SettingsLease
		lease.expires = r.leaseEnd(now)
	}
	edits, reachable := r.machine.settings.EditsSince(beat.Acked)
	if beat.HasSettings && reachable {
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
	return reply
}

// expireSessions closes sessions whose lease has run out, which marks their running claims unknown.
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

// InForce returns the newest version that no serving router is behind: every session acknowledged it, or
// its lease has run out.
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
