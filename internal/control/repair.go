package control

import (
	"slices"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
)

const (
	// maxLearnerLag and maxLearnerLagBytes are the number and size of the entries that a learner may lack and still be
	// promoted. From then on, commits may have to wait for it.
	maxLearnerLag      = 64
	maxLearnerLagBytes = 256 << 10
	// joinSnapshotCost is the cost of applying the log above which a replica that joins gets a new snapshot in its place.
	joinSnapshotCost = 1 << 20
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 60 * time.Second
	// presenceTimeout is how long a replica counts as present after its last message.
	presenceTimeout = time.Second
)

// join adds a replica that has no durable state as a learner.
func (r *Replica) join(now time.Duration, client uint64, member consensus.Member) {
	membership := r.node.Membership()
	if _, known := membership.Find(member.ID); known {
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	member.Learner = true
	if !r.changeMember(now, membership.With(member), memberChange{kind: memberAdded, member: member, reason: reasonJoined}) {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	r.snapshotWanted = r.snapshotWanted || r.appliedCost >= joinSnapshotCost && r.config.Guards.On(guard.LogByteLimits)
	r.reply(client, Response{Kind: ResponseOK})
}

// repair takes one step towards the configured number of live voters: it promotes a learner that has caught up, then
// removes the voter that the learner replaces.
func (r *Replica) repair(now time.Duration) {
	membership := r.node.Membership()
	lost, learner := r.classifyPeers(now)
	switch {
	case membership.Voters() > r.config.Replicas && lost != nil:
		r.changeMember(now, membership.Without(lost.ID), memberChange{kind: memberRemoved, member: *lost, reason: lossReason(membership, *lost)})
	case learner == nil:
		r.dropSilentLearner(now, membership)
	case membership.Voters() < r.config.Replicas || lost != nil:
		promoted := *learner
		promoted.Learner = false
		r.changeMember(now, membership.With(promoted), memberChange{kind: memberPromoted, member: promoted, reason: reasonCaughtUp})
	}
}

// classifyPeers returns the voter to replace and the learner to promote, if any. A voter whose name another replica has
// taken lost its disk and is replaced after presenceTimeout instead of RepairAfter.
func (r *Replica) classifyPeers(now time.Duration) (lost, learner *consensus.Member) {
	membership := r.node.Membership()
	for _, peer := range r.node.Peers() {
		member, _ := membership.Find(peer.ID)
		silent := now - peer.LastReplyAt
		if member.Learner {
			caughtUp := r.hasCaughtUp(peer.Match) && silent < presenceTimeout
			if caughtUp && (learner == nil || nameTaken(membership, member)) {
				learner = &member
			}
			continue
		}
		replaced := nameTaken(membership, member) && silent > presenceTimeout
		if silent > r.config.RepairAfter || replaced {
			lost = &member
		}
	}
	return lost, learner
}

// hasCaughtUp reports whether a learner that has the log up to an index lacks little of it. One that has all committed
// entries does, whatever the size of those that follow.
func (r *Replica) hasCaughtUp(match uint64) bool {
	switch {
	case match == 0 || match+maxLearnerLag < r.node.Commit():
		return false
	case match >= r.node.Commit():
		return true
	}
	return r.node.BytesAfter(match) <= maxLearnerLagBytes || !r.config.Guards.On(guard.LogByteLimits)
}

// nameTaken reports whether another replica has the member's name.
func nameTaken(membership consensus.Membership, member consensus.Member) bool {
	return slices.ContainsFunc(membership.Members, func(other consensus.Member) bool {
		return other.Name == member.Name && other.ID != member.ID
	})
}

// dropSilentLearner removes a learner that has been silent for longer than learnerTimeout.
func (r *Replica) dropSilentLearner(now time.Duration, membership consensus.Membership) {
	for _, peer := range r.node.Peers() {
		member, _ := membership.Find(peer.ID)
		if member.Learner && now-peer.LastReplyAt > learnerTimeout {
			r.changeMember(now, membership.Without(peer.ID), memberChange{kind: memberRemoved, member: member, reason: reasonSilent})
			return
		}
	}
}
