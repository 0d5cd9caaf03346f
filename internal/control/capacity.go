package control

import (
	"fmt"
	"math"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
)

const (
	// maxUncommittedBytes bounds the entries that wait for a quorum, so that a leader that has lost its followers holds no
	// unlimited backlog in memory. A single entry may exceed it.
	maxUncommittedBytes = 8 << 20
	// busyRetryAfter is how long a client should wait that was rejected for lack of room. It is longer than a quorum
	// takes to commit the backlog or a snapshot to be written.
	busyRetryAfter = time.Second
	// diskReserveRatio is the part of the disk limit that is kept free, for the identity and for estimates that are too
	// low.
	diskReserveRatio = 0.1
)

// ObserveStorage records the size of the log on disk, after a write.
func (r *Replica) ObserveStorage(segmentBytes int64) { r.segmentBytes = segmentBytes }

// storedSize returns the size of data of a given length on disk, where it is base64 in JSON.
func storedSize(bytes int) int64 { return int64(bytes)*4/3 + 256 }

// proposeChange proposes a client's command, or rejects it at once if there is no room for its entry. The leader's own
// commands are small and are always proposed.
func (r *Replica) proposeChange(now time.Duration, client uint64, command Command) {
	data := r.encode(command)
	if rejection := r.rejectionFor(len(data)); rejection != nil {
		r.reply(client, *rejection)
		return
	}
	r.proposeRegistrations(now)
	r.appendEncoded(now, []uint64{client}, data)
}

// rejectionFor returns why an entry with the given size of its data can't be added, or nil if it can.
func (r *Replica) rejectionFor(size int) *Response {
	if !r.config.Guards.On(guard.LogByteLimits) {
		return nil
	}
	if waiting := r.node.UncommittedBytes(); waiting > 0 && waiting+size > maxUncommittedBytes {
		return busyResponse(fmt.Sprintf("%d bytes of earlier changes wait for a majority of the control replicas", waiting))
	}
	if waiting := r.node.UnsyncedBytes(); waiting > 0 && waiting+size > r.maxUnsyncedBytes() {
		return busyResponse(fmt.Sprintf("%d bytes of earlier changes wait for the disk of the leader", waiting))
	}
	available := int64((1 - diskReserveRatio) * float64(r.config.DiskLimit))
	if available == 0 {
		return nil
	}
	// A checkpoint is written beside the log that it replaces.
	checkpoint := storedSize(len(r.snapshot.Data) + size)
	if needed := storedSize(len(r.snapshot.Data)) + storedSize(size) + checkpoint; needed > available {
		return &Response{Kind: ResponseTooLarge, Detail: fmt.Sprintf("the change needs %d bytes on the disks of the control replicas, which leave %d", needed, available)}
	}
	if r.segmentBytes+storedSize(r.node.UnsyncedBytes()+size)+checkpoint > available {
		r.snapshotWanted = true
		return busyResponse(fmt.Sprintf("the log takes %d of %d bytes on disk until its next checkpoint", r.segmentBytes, available))
	}
	return nil
}

// maxUnsyncedBytes bounds the entries that wait for the leader's own disk: others may commit them while it stalls. A single
// entry may exceed it.
func (r *Replica) maxUnsyncedBytes() int {
	if r.config.DiskLimit == 0 {
		return maxUncommittedBytes
	}
	return min(maxUncommittedBytes, int(logDiskFraction*float64(r.config.DiskLimit)))
}

func busyResponse(detail string) *Response {
	return &Response{Kind: ResponseBusy, Detail: detail, RetryAfter: busyRetryAfter}
}

// consensusLimits returns the limits of messages and steps.
func (c *Config) consensusLimits() consensus.Limits {
	if c.Guards.On(guard.MessageByteLimits) {
		return c.Limits
	}
	return consensus.Limits{MessageBytes: math.MaxInt, InflightBytes: math.MaxInt, DeliverBytes: math.MaxInt}
}
