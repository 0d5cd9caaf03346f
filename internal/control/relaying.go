package control

import (
	"time"

	"kitetiller/internal/control/relay"
)

// RelayCall is a relay request for the caller to send to the leader. The caller passes the reply, or nil if it failed,
// to ObserveRelay.
type RelayCall struct {
	Address string
	Request relay.Request
}

// actsAsRelay reports whether this replica answers gateways on behalf of the leader.
func (r *Replica) actsAsRelay() bool {
	return r.leader == nil && r.needsRelays() && r.leaderAddress() != ""
}

// relayWatch adds a watch to be answered on behalf of the leader. It returns false if too many are pending.
func (r *Replica) relayWatch(now time.Duration, client uint64, watch Watch) bool {
	added := r.relay.Add(relay.PendingWatch{Client: client, Report: watch.report(), Due: now + min(watch.Hold, maxWatchHold), Watch: watch})
	r.advanceRelay(now)
	return added
}

// advanceRelay sends a relay request if one is due and answers the watches that are ready. On the leader it moves all
// pending watches to awaitingLeader.
func (r *Replica) advanceRelay(now time.Duration) {
	if r.leader != nil {
		for _, w := range r.relay.Drain() {
			r.awaitingLeader = append(r.awaitingLeader, heldWatch{client: w.Client, watch: w.Watch.(Watch), due: w.Due})
		}
		return
	}
	if r.actsAsRelay() {
		if request, due := r.relay.NextRequest(now); due {
			request.Name, request.Zone, request.Address = r.config.Name, r.config.Zone, r.config.Address
			r.effects.RelayCalls = append(r.effects.RelayCalls, RelayCall{Address: r.leaderAddress(), Request: request})
		}
	}
	r.answerRelayedWatches(now)
}

// answerRelayedWatches answers the confirmed watches that are due or for which something has changed, and rejects the
// expired ones.
func (r *Replica) answerRelayedWatches(now time.Duration) {
	r.relay.PublishIfDue(now)
	changed := func(w relay.PendingWatch) bool {
		watch := w.Watch.(Watch)
		return r.relay.HasRosterUpdate(watch.Roster) || watch.Revision < r.machine.catalog.Document().Revision ||
			watch.Quarantine != r.machine.catalog.Quarantine().Version()
	}
	r.relay.Resolve(now, r.applied, changed, func(w relay.PendingWatch, result relay.Result) {
		if result == relay.Expired {
			r.reply(w.Client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
			return
		}
		r.reply(w.Client, Response{Kind: ResponseOK, Leader: r.leaderAddress(), Watch: r.relayedWatchReply(now, w.Watch.(Watch))})
	})
}

// relayedWatchReply returns the reply to a watch that the leader has confirmed.
func (r *Replica) relayedWatchReply(now time.Duration, watch Watch) *WatchReply {
	reply := r.localWatchReply(&watch)
	reply.Version, reply.Publications = r.relay.Version(), r.relay.Publications(now)
	if !watch.ProbeOnly {
		reply.Roster = r.relay.RosterUpdate(watch.Roster)
	}
	reply.Gateways = r.relay.Gateways()
	reply.setLayout(r.relay.Layout(), &watch)
	reply.CacheEventSources = r.relay.CacheEventSources(watch.Gateway)
	reply.StoreSources = r.storeSourcesOf(r.relay.Layout().Mesh, watch.Gateway)
	return reply
}

// ObserveRelay handles the leader's reply to a relay request, or nil if the request failed.
func (r *Replica) ObserveRelay(now time.Duration, number uint64, reply *relay.Reply) {
	if reply == nil {
		r.relay.RecordFailure(number)
		return
	}
	r.relay.Observe(now, reply)
	r.advanceRelay(now)
}
