package consensus

import "time"

// coldStart lets a group whose processes were all ended together elect at once.
//
// A replica that has just started refuses votes for a while, since it may have promised a leader a lease in its former
// life. It need not once every other voter has said, in answer to a question of this life, that it has heard no leader in
// its own life either: then no process is left that a lease was promised to. The answer must be to this life: one that was
// given to a former life may be older than a promise which that life made since.
type coldStart struct {
	incarnation uint64             // random name of this life of the replica
	startedAt   time.Duration      // when this life began
	leaderSeen  bool               // this life has heard a leader, or led; it never turns false again
	leaderless  bool               // every other voter knows no leader; only while over is false
	queriedAt   time.Duration      // when the others were last asked
	replies     map[ID]logPosition // voters that know no leader, with the end of their logs
	rank        int                // voters that go ahead of this replica; only while quiet
}

// logPosition is the end of a replica's log.
type logPosition struct{ term, index uint64 }

// precedes reports whether a replica of this position and id goes ahead of another one: the longer log, then the lower id.
func (p logPosition) precedes(id ID, other logPosition, otherID ID) bool {
	switch {
	case p.term != other.term:
		return p.term > other.term
	case p.index != other.index:
		return p.index > other.index
	}
	return id < otherID
}

// coldStartDelayDivisor is the part of a heartbeat after which the first of the waiting voters stands for election; each one
// behind it waits coldStartRankDelay heartbeats longer, so that they don't take each other's votes.
const (
	coldStartDelayDivisor = 4
	coldStartRankDelay    = 2
)

// nextQueryAt returns when the other voters are to be asked next, if they are. Later than the longest election timeout the ordinary
// election has long begun.
func (c *coldStart) nextQueryAt(timing Timing) (time.Duration, bool) {
	next := c.queriedAt + timing.Heartbeat
	return next, !c.leaderSeen && !c.leaderless && next < c.startedAt+timing.ElectionMax
}

// finish notes that this life has heard a leader, or leads.
func (c *coldStart) finish() { c.leaderSeen, c.leaderless, c.replies = true, false, nil }

// nextColdStartQuery returns when this replica asks the other voters next, if it does.
func (n *Node) nextColdStartQuery() (time.Duration, bool) {
	next, pending := n.coldStart.nextQueryAt(n.config.Timing)
	return next, pending && n.membership.IsVoter(n.config.ID)
}

// sendColdStartQueries asks the other voters whether they know a leader.
func (n *Node) sendColdStartQueries(now time.Duration) {
	n.coldStart.queriedAt = now
	for _, m := range n.membership.Members {
		if !m.Learner && m.ID != n.config.ID {
			n.sendColdStartMessage(MessageColdStartQuery, m.ID, n.coldStart.incarnation)
		}
	}
	n.checkColdStart(now) // there may be no other
}

func (n *Node) sendColdStartMessage(kind MessageKind, to ID, incarnation uint64) {
	n.send(Message{Kind: kind, To: to, Term: n.hard.Term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Incarnation: incarnation})
}

// handleColdStartQuery answers a voter that has just started, if this replica knows no leader either, and asks it back at once.
func (n *Node) handleColdStartQuery(m Message) {
	if n.coldStart.leaderSeen {
		return
	}
	n.sendColdStartMessage(MessageColdStartReply, m.From, m.Incarnation)
	if _, replied := n.coldStart.replies[m.From]; !replied && !n.coldStart.leaderless && n.membership.IsVoter(m.From) {
		n.sendColdStartMessage(MessageColdStartQuery, m.From, n.coldStart.incarnation)
	}
}

// handleColdStartReply counts a voter that knows no leader.
func (n *Node) handleColdStartReply(now time.Duration, m Message) {
	if n.coldStart.leaderSeen || n.coldStart.leaderless || m.Incarnation != n.coldStart.incarnation || !n.membership.IsVoter(n.config.ID) {
		return
	}
	n.coldStart.replies[m.From] = logPosition{term: m.LogTerm, index: m.Index}
	n.checkColdStart(now)
}

// checkColdStart looks whether all other voters have answered. Then the first by log and id stands for election.
func (n *Node) checkColdStart(now time.Duration) {
	own, rank := logPosition{term: n.log.lastTerm(), index: n.log.lastIndex()}, 0
	for _, m := range n.membership.Members {
		if m.Learner || m.ID == n.config.ID {
			continue
		}
		position, replied := n.coldStart.replies[m.ID]
		if !replied {
			return
		}
		if position.precedes(m.ID, own, n.config.ID) {
			rank++
		}
	}
	n.coldStart.leaderless, n.coldStart.rank = true, rank
	n.shortenElectionTimeout(now)
}

// shortenElectionTimeout lets a voter of a quiet group stand for election soon, the first ones sooner. One that was refused stands again:
// the others may not all have heard yet that the group is quiet.
func (n *Node) shortenElectionTimeout(now time.Duration) {
	if n.coldStart.leaderless {
		heartbeat := n.config.Timing.Heartbeat
		n.electionDue = min(n.electionDue, now+heartbeat/coldStartDelayDivisor+time.Duration(n.coldStart.rank*coldStartRankDelay)*heartbeat)
	}
}
