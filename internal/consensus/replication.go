package consensus

import (
	"slices"
	"time"
)

// Step handles a message from another replica.
func (n *Node) Step(now time.Duration, message Message) {
	if message.To != n.config.ID {
		return
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		n.handleVote(now, message)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(now, message)
	case MessageAppend:
		n.handleAppend(now, message)
	case MessageSnapshot:
		n.handleSnapshot(now, message)
	case MessageColdStartQuery:
		n.handleColdStartQuery(message)
	case MessageColdStartReply:
		n.handleColdStartReply(now, message)
	case MessageAppendReply:
		n.handleAppendReply(now, message)
	}
}

// tickLeader sends heartbeats. It steps down if no quorum has replied within ElectionMax (check-quorum) or the silence that it
// asks for, or if the committed membership no longer lists this replica as a voter.
func (n *Node) tickLeader(now time.Duration) {
	if now < n.lastHeartbeat+n.config.Timing.Heartbeat {
		return
	}
	n.lastHeartbeat = now
	n.updateSilence()
	if n.membership.Voters() > 1 && n.quorumSilent(now) {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	if !n.membership.IsVoter(n.config.ID) && n.membershipIndex <= n.commit {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	for _, peer := range n.peers {
		peer.paused = false
	}
	n.forEachPeer(func(id ID) { n.sendAppend(now, id) })
}

func (n *Node) quorumSilent(now time.Duration) bool {
	responsive := 0
	for _, member := range n.membership.Members {
		if member.Learner {
			continue
		}
		if member.ID == n.config.ID || now < n.peers[member.ID].lastReplyAt+max(n.config.Timing.ElectionMax, n.silence) {
			responsive++
		}
	}
	return responsive < n.membership.Voters()/2+1
}

func (n *Node) forEachPeer(visit func(id ID)) {
	for _, member := range n.membership.Members {
		if member.ID != n.config.ID {
			visit(member.ID)
		}
	}
}

func (n *Node) broadcastAppend(now time.Duration) {
	n.forEachPeer(func(id ID) { n.sendEntries(now, id) })
}

// sendEntries sends the entries that a peer lacks, as far as its in-flight limit allows.
func (n *Node) sendEntries(now time.Duration, id ID) {
	peer := n.peers[id]
	for !peer.paused && peer.next <= n.log.lastIndex() && n.hasInflightRoom(peer) {
		next := peer.next
		n.sendAppend(now, id)
		if peer.next == next {
			return // a snapshot or a probe is on its way
		}
	}
}

func (n *Node) hasInflightRoom(peer *progress) bool {
	return peer.inflight.bytes < n.config.Limits.InflightBytes
}

// sendAppend sends the entries from the peer's next index on, within the limits, or a snapshot if they are compacted. It
// sends a heartbeat without entries if the in-flight limit is reached.
func (n *Node) sendAppend(now time.Duration, id ID) {
	peer := n.peers[id]
	previous := peer.next - 1
	term, found := n.log.term(previous)
	if !found {
		n.sendSnapshot(now, id)
		return
	}
	var entries []Entry
	if n.hasInflightRoom(peer) {
		entries = slices.Clone(limitSize(n.log.slice(previous, n.log.lastIndex()), n.config.Limits.MessageBytes, entrySize))
	}
	probes := (peer.match == 0 || peer.probing) && len(entries) > 0
	if probes && totalSize(entries) > maxRepeatedProbeBytes {
		if peer.probeSentAt > 0 && now < peer.probeSentAt+n.config.Timing.ElectionMin {
			peer.paused = true
			n.sendHeartbeat(now, id)
			return
		}
		peer.probeSentAt = now
	}
	n.send(Message{
		Kind: MessageAppend, To: id, Term: n.hard.Term, Index: previous, LogTerm: term,
		Commit: n.commit, SentAt: now, Silence: n.silence, Entries: entries,
	})
	peer.lastAppendAt = now
	if probes {
		peer.paused = true // probe: wait for the first reply
		return
	}
	if len(entries) > 0 {
		peer.inflight.add(entries)
		peer.next += uint64(len(entries))
	}
}

// maxRepeatedProbeBytes is the size of the entries up to which a probe is repeated with every heartbeat. Larger ones, like
// snapshots, take longer than a heartbeat to arrive and are repeated after ElectionMin.
const maxRepeatedProbeBytes = 64 << 10

func entrySize(entry Entry) int { return entry.Size() }

// sendSnapshot sends the newest snapshot, or goes on with the one on its way. It is resent only after ElectionMin without
// an acknowledgement, since a large one takes longer than a heartbeat to arrive. Until then the peer gets heartbeats; even
// its rejections extend the leader's lease.
func (n *Node) sendSnapshot(now time.Duration, id ID) {
	peer := n.peers[id]
	if peer.snapshotSentAt > 0 && now < peer.snapshotSentAt+n.config.Timing.ElectionMin {
		n.sendHeartbeat(now, id)
		return
	}
	if peer.transfer == nil || peer.transfer.snapshot.Meta.Index < n.log.base.Index {
		snapshot, ok := n.snapshotSource()
		if !ok {
			return
		}
		peer.transfer = &snapshotTransfer{snapshot: snapshot}
	}
	n.sendSnapshotPart(now, id)
}

// sendHeartbeat sends an append without entries, at most once per heartbeat interval.
func (n *Node) sendHeartbeat(now time.Duration, id ID) {
	peer := n.peers[id]
	if now < peer.lastAppendAt+n.config.Timing.Heartbeat {
		return
	}
	peer.lastAppendAt = now
	base := n.log.base
	n.send(Message{Kind: MessageAppend, To: id, Term: n.hard.Term, Index: base.Index, LogTerm: base.Term, Commit: n.commit, SentAt: now, Silence: n.silence})
}

// acceptLeader follows the sender of a leader's message and returns a reply to it that extends the leader's lease, or rejects
// the message if its term is old.
func (n *Node) acceptLeader(now time.Duration, message Message) (reply Message, accepted bool) {
	if message.Term < n.hard.Term {
		n.send(Message{Kind: MessageAppendReply, To: message.From, Term: n.hard.Term, Reject: true})
		return Message{}, false
	}
	granted := n.promiseSilence(now, message.Silence)
	n.becomeFollower(now, message.Term, message.From)
	n.lastLeaderContact, n.lastLeader, n.leaderTerm = now, message.From, message.Term
	n.coldStart.finish()
	return Message{Kind: MessageAppendReply, To: message.From, Term: n.hard.Term, SentAt: message.SentAt, Silence: granted}, true
}

func (n *Node) handleAppend(now time.Duration, message Message) {
	reply, accepted := n.acceptLeader(now, message)
	if !accepted {
		return
	}
	if message.Index < n.log.base.Index {
		if !n.installing() {
			reply.Index = n.log.base.Index // covered by the local snapshot, hence committed
		}
		n.send(reply)
		return
	}
	if term, found := n.log.term(message.Index); !found || term != message.LogTerm {
		reply.Reject = true
		reply.Index = message.Index
		reply.Hint = min(n.log.lastIndex(), message.Index-1)
		n.send(reply)
		return
	}
	appended := n.appendFromLeader(message.Entries)
	matched := message.Index + uint64(len(message.Entries))
	n.commit = max(n.commit, min(message.Commit, matched))
	reply.Index = matched
	if !appended {
		reply.Index = min(matched, n.persisted) // the reply to the append that brought the entries acknowledges the rest
	}
	if !appended && n.installing() {
		reply.Index = 0 // the reply to the snapshot acknowledges it
	}
	n.send(reply)
}

// appendFromLeader skips entries that the log already has and replaces its tail from the first conflicting entry on. It
// reports whether the log has changed.
func (n *Node) appendFromLeader(entries []Entry) bool {
	for i, entry := range entries {
		term, found := n.log.term(entry.Index)
		if found && term == entry.Term {
			continue
		}
		if found {
			n.log.truncateFrom(entry.Index)
		}
		n.log.append(entries[i:]...)
		n.markUnstable(entry.Index)
		n.refreshMembership()
		return true
	}
	return false
}

func (n *Node) handleSnapshot(now time.Duration, message Message) {
	if message.Snapshot == nil {
		return
	}
	reply, accepted := n.acceptLeader(now, message)
	if !accepted {
		return
	}
	meta := message.Snapshot.Meta
	if term, found := n.log.term(meta.Index); found && term == meta.Term {
		// The log matches the snapshot; installing it would drop acknowledged entries after it.
		n.commit = max(n.commit, meta.Index)
	} else if meta.Index > n.commit {
		if message.Part != nil {
			message.Snapshot = n.collectPart(message, reply)
		}
		if message.Snapshot == nil {
			return
		}
		n.log = raftLog{base: meta}
		n.commit, n.delivered, n.persisted = meta.Index, meta.Index, meta.Index
		n.unstableFrom = 0
		n.pendingInstall = message.Snapshot
		n.refreshMembership()
	}
	reply.Index = max(meta.Index, n.log.base.Index)
	n.send(reply)
}

func (n *Node) handleAppendReply(now time.Duration, message Message) {
	if message.Term > n.hard.Term {
		n.becomeFollower(now, message.Term, "")
		return
	}
	peer := n.peers[message.From]
	if n.role != Leader || message.Term < n.hard.Term || peer == nil {
		return
	}
	peer.lastReplyAt, peer.heard = now, true
	n.recordGrant(now, peer, &message)
	if message.Part != nil {
		n.handlePartReply(now, message.From, *message.Part)
		return
	}
	if message.Reject {
		if message.Index <= peer.match {
			peer.paused = true // the peer lost acknowledged entries; probe only once per heartbeat
			return
		}
		if peer.probing && message.Index != peer.next-1 {
			return // of an append that was sent before the probe
		}
		peer.next, peer.probeSentAt = max(peer.match, message.Hint)+1, 0
		peer.probing, peer.paused = true, false
		peer.inflight.reset()
		n.sendAppend(now, message.From)
		return
	}
	if message.Index > peer.match || message.Index+1 >= peer.next {
		peer.paused = false // otherwise the peer is still syncing what it was sent
	}
	if peer.transfer != nil && message.Index >= peer.transfer.snapshot.Meta.Index {
		peer.transfer = nil
	}
	if message.Index > peer.match {
		peer.match, peer.snapshotSentAt, peer.probeSentAt = message.Index, 0, 0
		peer.inflight.acknowledge(message.Index)
		n.advanceCommit()
	}
	if message.Index+1 >= peer.next {
		peer.probing = false
	}
	peer.next = max(peer.next, peer.match+1)
	n.sendEntries(now, message.From)
}

// advanceCommit raises the commit index to the last entry that a quorum of voters has synced, if that entry is of the
// current term.
func (n *Node) advanceCommit() {
	matches := make([]uint64, 0, len(n.membership.Members))
	for _, member := range n.membership.Members {
		switch {
		case member.Learner:
		case member.ID == n.config.ID:
			matches = append(matches, n.persisted)
		default:
			matches = append(matches, n.peers[member.ID].match)
		}
	}
	slices.Sort(matches)
	candidate := matches[(len(matches)-1)/2]
	term, found := n.log.term(candidate)
	if found && term == n.hard.Term && candidate > n.commit {
		n.commit = candidate
	}
}
