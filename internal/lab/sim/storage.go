package sim

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control"
	"kitetiller/internal/guard"
)

// In a quarter of all runs, operators send large documents in storms, disks hold little, single disks are full for some
// seconds, and large messages take longer to arrive. The oracle then checks the bounds in bytes.

const (
	documentStream     = 41
	simulatedDiskLimit = 4 << 20
	minSourceBytes     = 20 << 10
	maxSourceBytes     = 140 << 10
	maxStorms          = 5
	stormInterval      = 150 * time.Millisecond
	maxStormChanges    = 40
	maxFullDisks       = 3
	// messageBytesPerSecond is the rate at which a replica decodes messages.
	messageBytesPerSecond = 10 << 20
	storageRetryDelay     = 100 * time.Millisecond
)

// replicaLimits are the limits of replicas in runs with large documents.
var replicaLimits = consensus.Limits{MessageBytes: 128 << 10, InflightBytes: 256 << 10, DeliverBytes: 256 << 10}

// planLargeDocuments plans storms of large documents and full disks. It has its own random source, so that other runs don't
// change.
func (w *world) planLargeDocuments() {
	if w.seed/16%4 != 2 || w.gatewayCount > fleetGateways {
		return
	}
	w.documentRandom = rand.New(rand.NewPCG(w.seed, documentStream))
	for range 1 + w.documentRandom.IntN(maxStorms) {
		changes := 1 + w.documentRandom.IntN(maxStormChanges)
		w.after(w.drawFaultTime(), func() { w.sendDocuments(changes) })
	}
	for range w.documentRandom.IntN(maxFullDisks + 1) {
		length := time.Duration(w.documentRandom.Int64N(int64(4 * time.Second)))
		w.after(w.drawFaultTime(), func() { w.fillDisk(w.controls[w.documentRandom.IntN(len(w.controls))], length) })
	}
}

func (w *world) drawFaultTime() time.Duration {
	return firstFault + time.Duration(w.documentRandom.Int64N(int64(lastFault-firstFault)))
}

// sendDocuments sends large documents one after the other.
func (w *world) sendDocuments(count int) {
	o := w.fleetOperators[0]
	if count == 0 || !o.up {
		return
	}
	o.send(o.largeDocument(), 0)
	w.after(stormInterval, func() { w.sendDocuments(count - 1) })
}

func (o *fleetOperator) largeDocument() catalog.Document {
	source := make([]byte, minSourceBytes+o.w.documentRandom.IntN(maxSourceBytes-minSourceBytes))
	for i := range source {
		source[i] = byte('a' + o.w.documentRandom.IntN(26))
	}
	encoded, err := json.Marshal(string(source))
	if err != nil {
		panic("sim: cannot encode a string: " + err.Error())
	}
	revision := o.w.oracle.fleet.acknowledged + 1
	return catalog.Document{Revision: revision, Source: encoded, Services: []catalog.Service{{Name: string(source[:16])}}}
}

// fillDisk makes all writes of a replica fail for a time.
func (w *world) fillDisk(n *controlNode, length time.Duration) {
	if w.outages.random != nil && w.bearableLosses() == 0 {
		return // a majority of the voters can't do without this disk
	}
	w.logf("disk of %s is full for %v", n.name, length)
	w.recordControlDisturbance(length)
	n.diskFullUntil = max(n.diskFullUntil, w.now()+length)
}

// failWrite fails the write in progress on a full disk. The replica is restored from the disk after a pause, as control does.
func (n *controlNode) failWrite() {
	n.crash(false)
	n.keepBuild = true
	n.w.restartControl(n, storageRetryDelay)
}

// limits returns the limits of a replica; the zero value selects the defaults.
func (w *world) limits() consensus.Limits {
	if w.documentRandom == nil {
		return consensus.Limits{}
	}
	return replicaLimits
}

func (w *world) diskLimit() int64 {
	if w.documentRandom == nil {
		return 0
	}
	return simulatedDiskLimit
}

// transferTime returns how long a message takes to arrive because of its size.
func (w *world) transferTime(message *consensus.Message) time.Duration {
	if w.documentRandom == nil {
		return 0
	}
	return time.Duration(message.Size()) * time.Second / messageBytesPerSecond
}

// recordStored updates the size of a replica's log on disk and checks it. A checkpoint is written beside the log.
func (n *controlNode) recordStored(persist control.Persist) {
	size := persist.StoredSize()
	total := n.segmentBytes + size
	if n.w.documentRandom != nil && total > simulatedDiskLimit {
		n.w.oracle.fail(StorageBounded, "%s holds %d bytes on a disk of %d", n.name, total, simulatedDiskLimit)
	}
	if n.segmentBytes = total; persist.Checkpoint != nil {
		n.segmentBytes = size
	}
	n.replica.ObserveStorage(n.segmentBytes)
}

// sentBytes counts the entries that a replica has sent to a peer since the peer's last reply. Entries that are sent again
// count once.
type sentBytes struct {
	bytes   int
	highest uint64
}

// checkSent checks the size of a message and of all that is on its way to its receiver.
func (n *controlNode) checkSent(message *consensus.Message) {
	if n.w.documentRandom == nil {
		return
	}
	if size := message.Size(); message.Snapshot == nil && len(message.Entries) > 1 && size > replicaLimits.MessageBytes {
		n.w.oracle.fail(MessagesBounded, "%s sends %d bytes of entries in one message", n.name, size)
	}
	sent := n.sent[message.To]
	for i := range message.Entries {
		if entry := &message.Entries[i]; entry.Index > sent.highest {
			sent.bytes, sent.highest = sent.bytes+entry.Size(), entry.Index
		}
	}
	n.sent[message.To] = sent
	if limit := replicaLimits.InflightBytes + replicaLimits.MessageBytes + maxEntryBytes; sent.bytes > limit {
		n.w.oracle.fail(MessagesBounded, "%s has sent %d bytes to %s without a reply", n.name, sent.bytes, message.To)
	}
}

const (
	// maxEntryBytes is above the size of a log entry with a large document.
	maxEntryBytes = 2 * maxSourceBytes
	// maxHeldBytes bounds the log in memory: two intervals between snapshots, and what waits for a quorum.
	maxHeldBytes = simulatedDiskLimit / 2
)

// checkHeld checks the size of the log in memory.
func (n *controlNode) checkHeld() {
	if held := n.replica.Node().LogBytes(); n.w.documentRandom != nil && held > maxHeldBytes {
		n.w.oracle.fail(MemoryBounded, "%s holds %d bytes of log entries", n.name, held)
	}
}

// isFull reports whether the replica's disk takes no writes.
func (n *controlNode) isFull() bool {
	return n.w.now() < n.diskFullUntil && n.w.guards.On(guard.SyncBeforeAck)
}
