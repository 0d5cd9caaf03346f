package consensus

import "time"

// coldStartState is the state of a protocol that lets a group elect a leader without waiting for the lease timeout when
// all its replicas have restarted.
//
// A replica that has just started rejects vote requests for ElectionMin, since its previous incarnation may have
// confirmed a leader's lease. The wait is skipped once every other voter has replied to this incarnation that it has
// seen no leader since its own start either: then no process that could hold a lease is left. Replies to a previous
// incarnation are ignored, since that incarnation may have confirmed a lease after the reply was sent.
type coldStartState struct {
	incarnation uint64             // random ID of this run of the process
	startedAt   time.Duration      // start of this incarnation
	leaderSeen  bool               // this incarnation has followed a leader or led; never reset
	leaderless  bool               // every other voter has seen no leader either; false once leaderSeen is set
	queriedAt   time.Duration      // time of the last query to the other voters
	replies     map[ID]logPosition // voters that have seen no leader, with the end of their logs
	rank        int                // number of voters that stand for election before this one; valid while leaderless
}

// logPosition is the term and index of a replica's last log entry.
type logPosition struct{ term, index uint64 }

// newerThan reports whether a log that ends at this position is more up-to-date than one that ends at another.
func (p logPosition) newerThan(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.index > other.index
}

// precedes reports whether the replica with this position and id stands for election before the other one: the more
// up-to-date log first, then the lower id.
func (p logPosition) precedes(id ID, other logPosition, otherID ID) bool {
	if p == other {
		return id < otherID
	}
	return p.newerThan(other)
}

// The voter of rank 0 stands for election after Heartbeat/coldStartDelayDivisor; each further rank adds
// coldStartRankDelay heartbeats, which avoids split votes.
const (
	coldStartDelayDivisor = 4
	coldStartRankDelay    = 2
)

// nextQueryAt returns when to query the other voters next, and false if no further query is due. Queries end
// ElectionMax after the start, when a regular election has begun anyway.
func (c *coldStartState) nextQueryAt(timing Timing) (time.Duration, bool) {
	next := c.queriedAt + timing.Heartbeat
	return next, !c.leaderSeen && !c.leaderless && next < c.startedAt+timing.ElectionMax
}

// finish ends the cold start: this incarnation follows a leader or leads.
func (c *coldStartState) finish() { c.leaderSeen, c.leaderless, c.replies = true, false, nil }

// nextColdStartQuery is nextQueryAt for voters; other replicas send no queries.
func (n *Node) nextColdStartQuery() (time.Duration, bool) {
	next, pending := n.coldStart.nextQueryAt(n.config.Timing)
	return next, pending && n.membership.IsVoter(n.config.ID)
}

// sendColdStartQueries asks the other voters whether they have seen a leader since their start.
func (n *Node) sendColdStartQueries(now time.Duration) {
	n.coldStart.queriedAt = now
	for _, m := range n.membership.Members {
		if !m.Learner && m.ID != n.config.ID {
			n.sendColdStartMessage(MessageColdStartQuery, m.ID, n.coldStart.incarnation, now)
		}
	}
	n.checkColdStart(now) // a sole voter gets no reply
}

func (n *Node) sendColdStartMessage(kind MessageKind, to ID, incarnation uint64, sentAt time.Duration) {
	n.send(Message{Kind: kind, To: to, Term: n.hard.Term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Incarnation: incarnation, SentAt: sentAt})
}

// handleColdStartQuery replies to a voter that has just started if this replica has seen no leader either, and queries
// that voter in turn if its reply is missing.
func (n *Node) handleColdStartQuery(m Message) {
	if n.coldStart.leaderSeen {
		return
	}
	n.sendColdStartMessage(MessageColdStartReply, m.From, m.Incarnation, m.SentAt)
	if _, replied := n.coldStart.replies[m.From]; !replied && !n.coldStart.leaderless && n.membership.IsVoter(m.From) {
		n.sendColdStartMessage(MessageColdStartQuery, m.From, n.coldStart.incarnation, 0)
	}
}

// handleColdStartReply records that a voter has seen no leader.
func (n *Node) handleColdStartReply(now time.Duration, m Message) {
	if n.coldStart.leaderSeen || n.coldStart.leaderless || m.Incarnation != n.coldStart.incarnation || !n.membership.IsVoter(n.config.ID) {
		return
	}
	n.recordVoterRoundTrip(now, &m)
	n.coldStart.replies[m.From] = logPosition{term: m.LogTerm, index: m.Index}
	n.checkColdStart(now)
}

// checkColdStart schedules an early election, staggered by rank, once all other voters have replied.
func (n *Node) checkColdStart(now time.Duration) {
	own, rank := n.logPosition(), 0
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

// shortenElectionTimeout makes a voter of a leaderless group stand for election early, in order of rank. A rejected
// candidate retries with the same delay, since the other voters may not know yet that the group is leaderless.
func (n *Node) shortenElectionTimeout(now time.Duration) {
	if n.coldStart.leaderless {
		heartbeat := n.config.Timing.Heartbeat
		n.electionDue = min(n.electionDue, now+n.slowSyncDelay()+heartbeat/coldStartDelayDivisor+time.Duration(n.coldStart.rank*coldStartRankDelay)*heartbeat)
	}
}
