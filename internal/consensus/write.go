package consensus

import (
	"slices"
	"time"
)

// NeedsWrite reports whether BeginWrite would return anything.
func (n *Node) NeedsWrite() bool {
	return n.hardStateChanged && !n.canDeferTerm() || n.pendingInstall != nil || n.unstableFrom != 0
}

// canDeferTerm reports whether the term may be written together with the first log. A replica without a log or a vote has
// promised nothing: after a restart it may support any term that it has not voted in, and it hasn't acknowledged an entry of a
// later one.
func (n *Node) canDeferTerm() bool { return n.log.lastIndex() == 0 && n.hard.Vote == "" }

// BeginWrite returns what is not on stable storage yet. No other write may be in progress.
func (n *Node) BeginWrite() Write {
	var write Write
	if n.hardStateChanged {
		hard := n.hard
		write.HardState = &hard
		n.hardStateChanged = false
		n.storedSilence = min(n.storedSilence, hard.Silence)
	}
	write.Snapshot = n.pendingInstall
	n.pendingInstall = nil
	if n.unstableFrom != 0 {
		write.Entries = slices.Clone(n.log.slice(n.unstableFrom-1, n.log.lastIndex()))
		n.unstableFrom = 0
	}
	n.writing = &write
	return write
}

// EndWrite tells the node that the write in progress is synced.
func (n *Node) EndWrite(now time.Duration) {
	write := n.writing
	n.writing = nil
	if write == nil {
		return
	}
	if write.HardState != nil {
		n.storedSilence = write.HardState.Silence
	}
	if last := len(write.Entries); last > 0 {
		n.markPersisted(write.Entries[last-1])
	}
	if n.role == Candidate && write.HardState != nil && *write.HardState == n.hard {
		n.awaitElection(now) // the vote requests may be sent only now
		n.reserve(now, n.config.ID, n.logPosition())
		n.votes[n.config.ID] = true
		n.countVotes(now)
	}
}

// markPersisted records that the entries up to the given one are synced. It has no effect if the entry has been replaced
// meanwhile.
func (n *Node) markPersisted(entry Entry) {
	storedTerm, ok := n.log.term(entry.Index)
	if !ok || storedTerm != entry.Term || entry.Index <= n.persisted {
		return
	}
	n.persisted = entry.Index
	if n.role == Leader {
		n.advanceCommit()
	}
}

// maxSyncTime bounds the estimated duration of a sync, and so how long elections wait for one.
const maxSyncTime = 2500 * time.Millisecond

// ObserveSync tells the node how long a sync took. The shorter one of the last two counts, since a process may have been
// suspended during one.
func (n *Node) ObserveSync(took time.Duration) {
	took = min(took, maxSyncTime)
	n.syncTime, n.latestSync = min(took, n.latestSync), took
}

// StartSyncTime tells the node how long the sync took with which its log was opened.
func (n *Node) StartSyncTime(took time.Duration) {
	n.latestSync = min(took, maxSyncTime)
	n.syncTime = n.latestSync
}

// Persisted returns the highest index up to which the log is synced, or covered by a received snapshot.
func (n *Node) Persisted() uint64 { return n.persisted }

// HasDurableState reports whether stable storage holds a log.
func (n *Node) HasDurableState() bool { return n.persisted > 0 && !n.installing() }

// Writing reports whether a write is in progress.
func (n *Node) Writing() bool { return n.writing != nil }

// installing reports whether a received snapshot is not on stable storage yet.
func (n *Node) installing() bool {
	return n.pendingInstall != nil || n.writing != nil && n.writing.Snapshot != nil
}

// Messages returns and removes the messages that may be sent now.
func (n *Node) Messages() []Message {
	var free, held []Message
	for _, message := range n.messages {
		if n.maySend(&message) {
			free = append(free, message)
		} else {
			held = append(held, message)
		}
	}
	n.messages = held
	return free
}

// HasMessages reports whether Messages would return any.
func (n *Node) HasMessages() bool {
	return slices.ContainsFunc(n.messages, func(message Message) bool { return n.maySend(&message) })
}

// maySend reports whether everything that a message depends on is synced. Pre-votes and cold start messages promise
// nothing, nor do replies that acknowledge nothing. A leader may replicate entries that it has not synced itself, since it counts
// itself towards a quorum only once it has, and likewise a candidate may request votes while its own vote is being synced. The
// log that it requests them with must be synced: after a crash it could stand in the same term with a shorter one, and late
// votes would count.
func (n *Node) maySend(message *Message) bool {
	switch message.Kind {
	case MessagePreVote, MessagePreVoteReply, MessageColdStartQuery, MessageColdStartReply:
		return true
	case MessageVote:
		if message.Index <= n.persisted && !n.installing() {
			return true
		}
	}
	if message.Kind == MessageAppendReply && n.acknowledgesNothing(message) {
		return true
	}
	if n.hardStateChanged || n.writing != nil && n.writing.HardState != nil {
		return false // the term or a vote
	}
	if message.Kind != MessageAppendReply || message.Reject || message.Part != nil {
		return true
	}
	return message.Index <= n.persisted && !n.installing()
}

// acknowledgesNothing reports whether a reply to a leader only says that this replica hears it, so that one that joins, or syncs a
// snapshot, doesn't count as lost. It extends the leader's lease, which holds after a restart as well, since a start counts as
// contact with a leader.
func (n *Node) acknowledgesNothing(reply *Message) bool {
	if n.canDeferTerm() {
		return reply.Reject || reply.Part != nil
	}
	return reply.Index == 0 && !reply.Reject && reply.Part == nil && n.installing() && n.hard.Vote == ""
}

// Committed returns the next committed entries, within the limit on their size.
func (n *Node) Committed() []Entry {
	if !n.HasUndelivered() {
		return nil
	}
	committed := slices.Clone(limitSize(n.log.slice(n.delivered, n.commit), n.config.Limits.DeliverBytes, n.config.ApplySize))
	n.delivered += uint64(len(committed))
	return committed
}
