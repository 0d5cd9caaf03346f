package control

import (
	"time"

	"kitetiller/internal/control/relay"
)

// RelayCall is a question that the shell passes to the leader. Its answer goes to ObserveRelay, nil if there is none.
type RelayCall struct {
	Address string
	Request relay.Request
}

// actsAsRelay reports whether this replica answers gateways for the leader.
func (r *Replica) actsAsRelay() bool {
	return r.leader == nil && r.needsRelays() && r.leaderAddress() != ""
}

// relayWatch takes a gateway's question to be answered for the leader.
func (r *Replica) relayWatch(now time.Duration, client uint64, watch Watch) bool {
	taken := r.relay.Add(relay.PendingWatch{Client: client, Report: watch.report(), Due: now + min(watch.Hold, maxWatchHold), Watch: watch})
	r.advanceRelay(now)
	return taken
}

// advanceRelay asks the leader when that is due, and answers the gateways that can be answered.
func (r *Replica) advanceRelay(now time.Duration) {
	if r.leader != nil {
		for _, w := range r.relay.Drain() {
			r.awaitingLeader = append(r.awaitingLeader, heldWatch{client: w.Client, watch: w.Watch.(Watch), due: w.Due})
		}
		return
	}
	if r.actsAsRelay() {
		if question, due := r.relay.NextRequest(now); due {
			question.Name, question.Zone, question.Address = r.config.Name, r.config.Zone, r.config.Address
			r.effects.RelayCalls = append(r.effects.RelayCalls, RelayCall{Address: r.leaderAddress(), Request: question})
		}
	}
	r.answerRelayedWatches(now)
}

// answerRelayedWatches answers the gateways that were confirmed and have news, or whose time has come.
func (r *Replica) answerRelayedWatches(now time.Duration) {
	r.relay.PublishIfDue(now)
	news := func(w relay.PendingWatch) bool {
		watch := w.Watch.(Watch)
		return r.relay.HasRosterUpdate(watch.Roster) || watch.Revision < r.machine.catalog.Document().Revision ||
			watch.Quarantine != r.machine.catalog.Quarantine().Version()
	}
	r.relay.Resolve(now, r.applied, news, func(w relay.PendingWatch, result relay.Result) {
		if result == relay.Expired {
			r.reply(w.Client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
			return
		}
		r.reply(w.Client, Response{Kind: ResponseOK, Leader: r.leaderAddress(), Watch: r.relayedWatchReply(now, w.Watch.(Watch))})
	})
}

// relayedWatchReply returns the reply to a gateway whose view the leader has confirmed.
func (r *Replica) relayedWatchReply(now time.Duration, watch Watch) *WatchReply {
	reply := r.localWatchReply(&watch)
	reply.Version, reply.Publications = r.relay.Version(), r.relay.Publications(now)
	if !watch.ProbeOnly {
		reply.Roster = r.relay.RosterUpdate(watch.Roster)
	}
	reply.Gateways = r.relay.Gateways()
	reply.setLayout(r.relay.Layout(), &watch)
	reply.CacheEventSources = r.relay.CacheEventSources(watch.Gateway)
	return reply
}

// ObserveRelay takes the leader's answer to a relayed question, or nil when there was none of a leader.
func (r *Replica) ObserveRelay(now time.Duration, number uint64, answer *relay.Reply) {
	if answer == nil {
		r.relay.RecordFailure(number)
		return
	}
	r.relay.Observe(answer)
	r.advanceRelay(now)
}
