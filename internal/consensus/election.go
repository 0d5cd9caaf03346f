package consensus

import (
	"maps"
	"slices"
	"time"
)

// An election takes a sync of the candidate and one of the voters, in parallel. Timeouts therefore follow the duration of
// syncs, which each replica measures and tells in its replies to pre-votes, and are longer after an election that ended
// undecided, which all replicas see from their terms, or over long round trips. Leases don't depend on them: replicas reject
// votes for as long as they have promised to a leader.

const (
	// electionSyncs is how many times the duration of a sync a replica waits for an election beyond the usual timeout: two
	// syncs in a row, and a reserve.
	electionSyncs = 3
	// electionRoundTrips is how many round trips it waits in addition where they are long, and how long replicas support a
	// candidate: those of its pre-votes and its votes.
	electionRoundTrips = 2
	// undecidedElectionScale is the factor of election timeouts after an election that ended without a leader.
	undecidedElectionScale = 2
)

// reservation keeps a replica from supporting another candidate while an election that it supports may be under way.
// Otherwise candidates whose vote requests wait for a sync would not learn of each other in time, and split the votes.
type reservation struct {
	candidate ID
	position  logPosition // end of the candidate's log
	until     time.Duration
}

// electionScale returns the factor of election timeouts.
func (n *Node) electionScale() time.Duration {
	if n.hard.Term > n.leaderTerm+1 {
		return undecidedElectionScale
	}
	return 1
}

// resetElectionTimer makes the replica stand for election after the election timeout. One with slow syncs stands later,
// so that others lead.
func (n *Node) resetElectionTimer(now time.Duration) {
	timing := n.config.Timing
	jitter := int64(timing.ElectionMax - timing.ElectionMin)
	usual := now + (timing.ElectionMin+time.Duration(n.config.Random(jitter)))*n.electionScale() + n.slowSyncDelay()
	n.electionDue = usual + max(0, n.silentUntil-now-timing.ElectionMin)
}

// slowSyncDelay returns how much later a replica stands for election because of its syncs. More than the difference of the
// election timeouts would let no other one go first, and costs a group whose disks are all slow.
func (n *Node) slowSyncDelay() time.Duration {
	return min(n.syncTime, n.config.Timing.ElectionMax-n.config.Timing.ElectionMin)
}

// awaitElection is resetElectionTimer for a replica that waits for the outcome of an election.
func (n *Node) awaitElection(now time.Duration) {
	n.resetElectionTimer(now)
	n.electionDue += n.electionTime()
}

// electionTime returns how long an election takes beyond the usual timeout, because of syncs and of long round trips.
func (n *Node) electionTime() time.Duration {
	return electionSyncs*max(n.syncTime, n.voterSyncTime()) + electionRoundTrips*n.electionRoundTrip()
}

// recordVoterRoundTrip records the round trip to another voter from a reply to a pre-vote or a cold start query.
func (n *Node) recordVoterRoundTrip(now time.Duration, reply *Message) {
	if reply.SentAt > 0 {
		n.voterRoundTrips[reply.From] = now - reply.SentAt
	}
}

// electionRoundTrip returns the longest round trip of the fastest voters that make a quorum with this replica. It is 0 unless
// that takes longer than a heartbeat.
func (n *Node) electionRoundTrip() time.Duration {
	var times []time.Duration
	for _, member := range n.membership.Members {
		if took, known := n.voterRoundTrips[member.ID]; known && !member.Learner {
			times = append(times, took)
		}
	}
	if slowest, known := n.quorumTime(times); known && slowest > n.config.Timing.Heartbeat {
		return slowest
	}
	return 0
}

// quorumTime returns the longest of the shortest times of other voters that make a quorum with this replica; known is false if
// there are too few.
func (n *Node) quorumTime(times []time.Duration) (longest time.Duration, known bool) {
	others := n.membership.Voters() / 2
	if others == 0 || len(times) < others {
		return 0, false
	}
	slices.Sort(times)
	return times[others-1], true
}

// voterSyncTime returns how long a sync of the fastest voters takes that make a quorum with this candidate. It is 0 for
// other roles.
func (n *Node) voterSyncTime() time.Duration {
	if n.role != Candidate {
		return 0
	}
	longest, _ := n.quorumTime(slices.Collect(maps.Values(n.voterSyncTimes)))
	return longest
}

// reserve supports a candidate for as long as its election takes.
func (n *Node) reserve(now time.Duration, candidate ID, position logPosition) {
	until := now + n.electionTime()
	n.reservation = reservation{candidate, position, until}
	if candidate != n.config.ID && n.electionDue < until {
		n.resetElectionTimer(until - n.config.Timing.ElectionMin)
	}
}

// supportsOther reports whether the replica supports another candidate than the sender of a pre-vote, maybe itself. It
// changes to one that precedes that, so that all replicas come to support the same one. The most up-to-date log comes
// first, since a candidate with an older one may be unable to win.
func (n *Node) supportsOther(now time.Duration, request Message) bool {
	supported := n.reservation
	return now < supported.until && supported.candidate != request.From && !request.logPosition().precedes(request.From, supported.position, supported.candidate)
}

// logPosition returns the end of the candidate's log in a request for votes.
func (m *Message) logPosition() logPosition { return logPosition{term: m.LogTerm, index: m.Index} }

// logPosition returns the end of the log.
func (n *Node) logPosition() logPosition {
	return logPosition{term: n.log.lastTerm(), index: n.log.lastIndex()}
}

// becomeFollower enters a term as follower of leader, or of no known leader if it is empty. The vote is kept when the
// term does not change.
func (n *Node) becomeFollower(now time.Duration, term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term, Silence: n.hard.Silence}
		n.hardStateChanged = true
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.resetElectionTimer(now)
}

// startPreVote asks whether an election could be won, without raising the term, so that a replica that was
// partitioned for a long time does not depose a working leader when it reconnects.
func (n *Node) startPreVote(now time.Duration) {
	n.role = PreCandidate
	n.leader = ""
	n.votes, n.voterSyncTimes = map[ID]bool{n.config.ID: true}, map[ID]time.Duration{}
	n.resetElectionTimer(now)
	n.electionDue += n.electionRoundTrip()
	n.reserve(now, n.config.ID, n.logPosition())
	n.requestVotes(now, MessagePreVote, n.hard.Term+1)
	n.countVotes(now)
}

func (n *Node) startElection(now time.Duration) {
	n.role = Candidate
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.config.ID, Silence: n.hard.Silence}
	n.hardStateChanged = true
	n.votes = map[ID]bool{} // its own counts once it is synced; see EndWrite
	n.awaitElection(now)
	n.reserve(now, n.config.ID, n.logPosition())
	n.requestVotes(now, MessageVote, n.hard.Term)
}

// UndecidedElections returns how many elections ended without a leader although a quorum had supported this replica's
// candidacy.
func (n *Node) UndecidedElections() uint64 { return n.undecided }

func (n *Node) requestVotes(now time.Duration, kind MessageKind, term uint64) {
	for _, member := range n.membership.Members {
		if member.Learner || member.ID == n.config.ID {
			continue
		}
		n.send(Message{Kind: kind, To: member.ID, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), SentAt: now})
	}
}

func (n *Node) countVotes(now time.Duration) {
	granted, rejected := 0, 0
	for _, member := range n.membership.Members {
		if member.Learner {
			continue
		}
		vote, answered := n.votes[member.ID]
		switch {
		case answered && vote:
			granted++
		case answered:
			rejected++
		}
	}
	quorum := n.membership.Voters()/2 + 1
	switch {
	case granted >= quorum && n.role == PreCandidate:
		n.startElection(now)
	case granted >= quorum && n.role == Candidate && n.votes[n.config.ID]:
		n.becomeLeader(now)
	case rejected >= quorum:
		n.becomeFollower(now, n.hard.Term, "")
		n.shortenElectionTimeout(now)
	}
}

func (n *Node) becomeLeader(now time.Duration) {
	n.role = Leader
	n.leader, n.leaderTerm = n.config.ID, n.hard.Term
	n.coldStart.finish()
	n.peers, n.silence = map[ID]*progress{}, 0
	n.refreshMembership()
	for id, peer := range n.peers {
		peer.lastReplyAt = now
		if _, voted := n.votes[id]; id == n.lastLeader && !voted {
			peer.lastReplyAt = n.lastLeaderContact // silent since then, which is why there was an election
		}
	}
	n.lastLeader = ""
	n.termStartIndex = n.appendLocal(EntryNoop, nil)
	n.lastHeartbeat = now
	n.broadcastAppend(now)
}

// handleVote answers a vote or pre-vote request. A replica that has promised silence to a leader rejects both; leases depend
// on it. Its start counts as such a promise, unless the whole group is known to be leaderless.
func (n *Node) handleVote(now time.Duration, message Message) {
	preVote := message.Kind == MessagePreVote
	reply := Message{Kind: MessageVoteReply, To: message.From, Term: n.hard.Term, Reject: true, SentAt: message.SentAt}
	if preVote {
		reply.Kind = MessagePreVoteReply
	}
	leaderAlive := n.role == Leader || (!n.coldStart.leaderless && now < n.silentUntil)
	if leaderAlive || message.Term < n.hard.Term {
		n.send(reply)
		return
	}
	if !preVote && message.Term > n.hard.Term {
		n.becomeFollower(now, message.Term, "")
	}
	upToDate := message.LogTerm > n.log.lastTerm() ||
		(message.LogTerm == n.log.lastTerm() && message.Index >= n.log.lastIndex())
	canVote := n.hard.Vote == "" || n.hard.Vote == message.From
	if preVote {
		canVote = !n.supportsOther(now, message)
	}
	reply.Term = message.Term
	switch {
	case !upToDate || !canVote:
	case preVote:
		reply.Reject, reply.SyncTime = false, n.syncTime
		if n.role == PreCandidate {
			n.becomeFollower(now, n.hard.Term, "")
		}
		n.reserve(now, message.From, message.logPosition())
	default:
		reply.Reject = false
		n.hard.Vote = message.From
		n.hardStateChanged = true
		n.awaitElection(now)
		n.reserve(now, message.From, message.logPosition())
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(now time.Duration, message Message) {
	expectedRole, expectedTerm := Candidate, n.hard.Term
	if message.Kind == MessagePreVoteReply {
		n.recordVoterRoundTrip(now, &message)
		expectedRole, expectedTerm = PreCandidate, n.hard.Term+1
	}
	if n.role != expectedRole {
		return
	}
	if message.Reject && message.Term > n.hard.Term && message.Term != expectedTerm {
		n.becomeFollower(now, message.Term, "")
		return
	}
	if !message.Reject && message.Term != expectedTerm {
		return
	}
	n.votes[message.From] = !message.Reject
	if message.Kind == MessagePreVoteReply && !message.Reject {
		n.voterSyncTimes[message.From] = message.SyncTime
	}
	n.countVotes(now)
}
