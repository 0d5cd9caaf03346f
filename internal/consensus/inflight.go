package consensus

// inflight holds the append messages that were sent to a peer and are not acknowledged. Only their sizes are kept, since
// the entries stay in the log.
//
// Invariant: bytes is the total size of the entries of sent, whose indexes ascend.
type inflight struct {
	sent  []sentEntries
	bytes int
}

// sentEntries is one append message with entries.
type sentEntries struct {
	lastIndex uint64
	bytes     int
}

func (f *inflight) add(entries []Entry) {
	size := totalSize(entries)
	f.sent = append(f.sent, sentEntries{entries[len(entries)-1].Index, size})
	f.bytes += size
}

// acknowledge removes the messages whose entries the peer has up to an index.
func (f *inflight) acknowledge(index uint64) {
	for len(f.sent) > 0 && f.sent[0].lastIndex <= index {
		f.bytes -= f.sent[0].bytes
		f.sent = f.sent[1:]
	}
}

// reset removes all messages: the peer has rejected one, so that those after it are lost as well.
func (f *inflight) reset() { *f = inflight{} }
