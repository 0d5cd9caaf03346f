package consensus

import "time"

func (n *Node) resetElectionTimer(now time.Duration) {
	timing := n.config.Timing
	jitter := int64(timing.ElectionMax - timing.ElectionMin)
	n.electionDue = now + timing.ElectionMin + time.Duration(n.config.Random(jitter))
}

// becomeFollower enters a term as follower of leader, or of no known leader if it is empty. The vote is kept when the
// term does not change.
func (n *Node) becomeFollower(now time.Duration, term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
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
	n.votes = map[ID]bool{n.config.ID: true}
	n.resetElectionTimer(now)
	n.requestVotes(MessagePreVote, n.hard.Term+1)
	n.countVotes(now)
}

func (n *Node) startElection(now time.Duration) {
	n.role = Candidate
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.config.ID}
	n.hardStateChanged = true
	n.votes = map[ID]bool{n.config.ID: true}
	n.resetElectionTimer(now)
	n.requestVotes(MessageVote, n.hard.Term)
	n.countVotes(now)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, member := range n.membership.Members {
		if member.Learner || member.ID == n.config.ID {
			continue
		}
		n.send(Message{Kind: kind, To: member.ID, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
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
	case granted >= quorum && n.role == Candidate:
		n.becomeLeader(now)
	case rejected >= quorum:
		n.becomeFollower(now, n.hard.Term, "")
		n.shortenElectionTimeout(now)
	}
}

func (n *Node) becomeLeader(now time.Duration) {
	n.role = Leader
	n.leader = n.config.ID
	n.coldStart.finish()
	n.peers = map[ID]*progress{}
	n.refreshMembership()
	for _, peer := range n.peers {
		peer.lastReplyAt = now
	}
	n.termStartIndex = n.appendLocal(EntryNoop, nil)
	n.lastHeartbeat = now
	n.broadcastAppend(now)
}

// handleVote answers a vote or pre-vote request. A replica that heard from a leader within ElectionMin rejects both;
// leases depend on it. Its start counts as such contact, unless the whole group is known to be leaderless.
func (n *Node) handleVote(now time.Duration, message Message) {
	preVote := message.Kind == MessagePreVote
	reply := Message{Kind: MessageVoteReply, To: message.From, Term: n.hard.Term, Reject: true}
	if preVote {
		reply.Kind = MessagePreVoteReply
	}
	leaderAlive := n.role == Leader || (!n.coldStart.leaderless && now < n.lastLeaderContact+n.config.Timing.ElectionMin)
	if leaderAlive || message.Term < n.hard.Term {
		n.send(reply)
		return
	}
	if !preVote && message.Term > n.hard.Term {
		n.becomeFollower(now, message.Term, "")
	}
	upToDate := message.LogTerm > n.log.lastTerm() ||
		(message.LogTerm == n.log.lastTerm() && message.Index >= n.log.lastIndex())
	canVote := preVote || n.hard.Vote == "" || n.hard.Vote == message.From
	reply.Term = message.Term
	if upToDate && canVote {
		reply.Reject = false
		if !preVote {
			n.hard.Vote = message.From
			n.hardStateChanged = true
			n.resetElectionTimer(now)
		}
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(now time.Duration, message Message) {
	expectedRole, expectedTerm := Candidate, n.hard.Term
	if message.Kind == MessagePreVoteReply {
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
	n.countVotes(now)
}
