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

// join adds a replica that has no durable state as a learner. If it replaces a lost voter, the same change removes that one.
func (r *Replica) join(now time.Duration, client uint64, member consensus.Member) {
	membership := r.node.Membership()
	if _, known := membership.Find(member.ID); known {
		r.reply(client, Response{Kind: ResponseOK})
		return
	}
	if r.appliedCost >= joinSnapshotCost && r.config.Guards.On(guard.LogByteLimits) {
		r.snapshotWanted = true
		r.maybeSnapshot() // it is sent with the proposal
	}
	member.Learner = true
	next, changes := membership.With(member), []memberChange{{kind: memberAdded, member: member, reason: reasonJoined}}
	if lost := r.lostVoter(now, next); lost != nil && next.Voters() >= r.config.Replicas {
		changes = append(changes, memberChange{kind: memberRemoved, member: *lost, reason: lossReason(next, *lost)})
		next = withoutVoter(next, *lost)
	}
	if !r.changeMembers(now, next, changes...) {
		r.reply(client, Response{Kind: ResponseNoQuorum})
		return
	}
	r.reply(client, Response{Kind: ResponseOK})
}

// repair takes one step towards the wanted number of live voters: it removes a lost voter if a learner is there to replace
// it, then promotes a learner. The removal comes first, since it needs no sync of the learner, and a group of
// an even number of voters with a lost one among them bears no more losses than one that is smaller by that voter. No second
// voter is removed before the number of voters is complete again. A lost voter beyond the configured number is removed without a
// replacement once the group bears fewer losses than one of that number.
func (r *Replica) repair(now time.Duration) {
	membership := r.node.Membership()
	lost, learner := r.lostVoter(now, membership), r.learnerToPromote(now, membership)
	surplus := membership.Voters() - r.wantedVoters(now, membership)
	weakened := membership.Voters() > r.config.Replicas && r.lossesBorneBy(now, membership) < (r.config.Replicas-1)/2
	switch {
	case lost != nil && (weakened || surplus >= 0 && r.hasPresentLearner(now, membership)):
		r.changeMembers(now, withoutVoter(membership, *lost), memberChange{kind: memberRemoved, member: *lost, reason: lossReason(membership, *lost)})
	case learner == nil:
		r.dropSilentLearner(now, membership)
	case surplus < 0:
		r.promote(now, membership, *learner)
	}
}

// wantedVoters returns how many voters the group is to have: as many as there are members present, so that it bears the loss of
// more than the configured number does, but an odd number, since one more needs one more acknowledgement for each commit.
func (r *Replica) wantedVoters(now time.Duration, membership consensus.Membership) int {
	present := 1
	for _, peer := range r.node.Peers() {
		if _, member := membership.Find(peer.ID); member && isPresent(now, peer) {
			present++
		}
	}
	return max(r.config.Replicas, min(present-(present+1)%2, r.config.MaxReplicas))
}

// promote makes a learner a voter.
func (r *Replica) promote(now time.Duration, membership consensus.Membership, learner consensus.Member) {
	reason := reasonVoterLost
	if slices.ContainsFunc(r.node.Peers(), func(peer consensus.PeerStatus) bool { return peer.ID == learner.ID && r.hasCaughtUp(peer.Match) }) {
		reason = reasonCaughtUp
	}
	learner.Learner = false
	r.changeMembers(now, membership.With(learner), memberChange{kind: memberPromoted, member: learner, reason: reason})
}

// withoutVoter returns the membership without a voter, and records that the group was complete.
func withoutVoter(membership consensus.Membership, voter consensus.Member) consensus.Membership {
	next := membership.Without(voter.ID)
	next.Formed = true
	return next
}

// lostVoter returns a voter to replace, or nil. One whose name another replica has taken lost its disk and is replaced after
// presenceTimeout instead of RepairAfter.
func (r *Replica) lostVoter(now time.Duration, membership consensus.Membership) *consensus.Member {
	var lost *consensus.Member
	for _, peer := range r.node.Peers() {
		member, found := membership.Find(peer.ID)
		if !found || member.Learner {
			continue
		}
		silent := now - peer.LastReplyAt
		if silent > r.config.RepairAfter || silent > presenceTimeout && nameTaken(membership, member) {
			lost = &member
		}
	}
	return lost
}

// learnerToPromote returns a learner that is present and has caught up, one that has the name of a voter before others. If none
// has and a further voter doesn't raise the number of acknowledgements that a commit needs, it returns one that is present.
func (r *Replica) learnerToPromote(now time.Duration, membership consensus.Membership) *consensus.Member {
	var caughtUp, present *consensus.Member
	for _, peer := range r.node.Peers() {
		member, found := membership.Find(peer.ID)
		if !found || !member.Learner || !isPresent(now, peer) {
			continue
		}
		if r.hasCaughtUp(peer.Match) && (caughtUp == nil || nameTaken(membership, member)) {
			caughtUp = &member
		}
		if present == nil || nameTaken(membership, member) {
			present = &member
		}
	}
	if caughtUp == nil && membership.Formed && membership.Voters()%2 == 0 {
		return present
	}
	return caughtUp
}

// isPresent reports whether this leader has heard a peer lately.
func isPresent(now time.Duration, peer consensus.PeerStatus) bool {
	return peer.Heard && now-peer.LastReplyAt < presenceTimeout
}

// hasPresentLearner reports whether a learner is present.
func (r *Replica) hasPresentLearner(now time.Duration, membership consensus.Membership) bool {
	return slices.ContainsFunc(r.node.Peers(), func(peer consensus.PeerStatus) bool {
		member, found := membership.Find(peer.ID)
		return found && member.Learner && isPresent(now, peer)
	})
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
			r.changeMembers(now, membership.Without(peer.ID), memberChange{kind: memberRemoved, member: member, reason: reasonSilent})
			return
		}
	}
}
