package consensus

import "time"

// SnapshotPart locates a part of a snapshot's data. In a reply, Offset is how much of the data the receiver holds.
type SnapshotPart struct {
	Index  uint64 `json:"index"` // of the snapshot
	Offset int    `json:"offset"`
	Total  int    `json:"total,omitempty"` // length of the data
}

// snapshotTransfer is a snapshot on its way to a peer. Its parts are sent one at a time, each after the one before was
// acknowledged, so that heartbeats pass between them.
type snapshotTransfer struct {
	snapshot Snapshot
	offset   int // how much the peer has acknowledged
}

// incomingSnapshot collects the parts of a snapshot.
type incomingSnapshot struct {
	from ID
	meta SnapshotMeta
	data []byte
}

// sendSnapshotPart sends the next part of a snapshot, or all of it if it is short or parts must not be sent.
func (n *Node) sendSnapshotPart(now time.Duration, id ID) {
	peer := n.peers[id]
	peer.paused, peer.snapshotSentAt, peer.lastAppendAt = true, now, now
	transfer := peer.transfer
	message := Message{Kind: MessageSnapshot, To: id, Term: n.hard.Term, SentAt: now, Silence: n.silence, Snapshot: &transfer.snapshot}
	if data, limit := transfer.snapshot.Data, n.config.Limits.MessageBytes; len(data) > limit && n.config.PartSnapshots() {
		end := min(transfer.offset+limit, len(data))
		message.Snapshot = &Snapshot{Meta: transfer.snapshot.Meta, Data: data[transfer.offset:end]}
		message.Part = &SnapshotPart{Index: transfer.snapshot.Meta.Index, Offset: transfer.offset, Total: len(data)}
	}
	n.send(message)
}

// handlePartReply sends the part of a snapshot that follows what the peer holds. A peer that holds less than before has
// restarted.
func (n *Node) handlePartReply(now time.Duration, id ID, held SnapshotPart) {
	peer := n.peers[id]
	transfer := peer.transfer
	if transfer == nil || transfer.snapshot.Meta.Index != held.Index || held.Offset >= len(transfer.snapshot.Data) {
		return
	}
	if held.Offset == transfer.offset && now < peer.snapshotSentAt+n.config.Timing.Heartbeat {
		return // the part after it is on its way
	}
	transfer.offset = held.Offset
	n.sendSnapshotPart(now, id)
}

// collectPart adds a part to the snapshot that is being received. It returns the whole snapshot once it is complete, or else
// acknowledges what it holds with the reply and returns nil.
func (n *Node) collectPart(message, reply Message) *Snapshot {
	part, meta := message.Part, message.Snapshot.Meta
	if incoming := n.incoming; incoming == nil || incoming.from != message.From || incoming.meta.Index != meta.Index || incoming.meta.Term != meta.Term {
		n.incoming = &incomingSnapshot{from: message.From, meta: meta}
	}
	if part.Offset == len(n.incoming.data) {
		n.incoming.data = append(n.incoming.data, message.Snapshot.Data...)
	}
	if held := n.incoming.data; len(held) < part.Total {
		reply.Part = &SnapshotPart{Index: meta.Index, Offset: len(held)}
		n.send(reply)
		return nil
	}
	whole := &Snapshot{Meta: meta, Data: n.incoming.data}
	n.incoming = nil
	return whole
}
