package consensus

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// checkLimits fails if a message or the committed entries exceed a limit by more than one entry that must pass.
func (c *cluster) checkLimits(r *replica, messages []Message, committed []Entry) {
	limits := r.node.config.Limits
	for _, message := range messages {
		if size := totalSize(message.Entries); size > limits.MessageBytes && len(message.Entries) > 1 {
			c.fail("%s sends %d bytes of entries in one message, the limit is %d", r.id, size, limits.MessageBytes)
		}
	}
	if size := totalSize(committed); size > limits.DeliverBytes && len(committed) > 1 {
		c.fail("%s applies %d bytes of entries at once, the limit is %d", r.id, size, limits.DeliverBytes)
	}
}

// largeEntryCluster returns a cluster in which each entry has a tenth of the message limit, its leader, and a follower.
func largeEntryCluster(t *testing.T) (c *cluster, leader *replica, follower ID, entry string) {
	c = newClusterWithLimits(3, 1, Limits{MessageBytes: 10_000, InflightBytes: 20_000, DeliverBytes: 10_000}, t.Fatalf)
	c.runFor(3 * time.Second)
	leader = c.leader()
	return c, leader, leader.node.Peers()[0].ID, strings.Repeat("x", 1000-entryOverhead)
}

// TestBytesInFlightToAPeerAreBounded guards against a leader that sends everything a follower lacks without waiting for
// acknowledgements, so that sender and receiver run out of memory.
func TestBytesInFlightToAPeerAreBounded(t *testing.T) {
	c, leader, follower, entry := largeEntryCluster(t)
	c.partitioned[follower] = true
	for range 100 {
		c.propose(entry)
	}
	c.runFor(time.Second)
	delete(c.partitioned, follower)
	limit := c.limits.InflightBytes + c.limits.MessageBytes
	for end := c.now + 10*time.Second; c.now < end && c.find(follower).node.Commit() < leader.node.Commit(); {
		c.advance(20 * time.Millisecond)
		held := 0
		for _, message := range c.inFlight {
			if message.To == follower {
				held += totalSize(message.Entries)
			}
		}
		if held > limit {
			t.Fatalf("%d bytes of entries in flight to %s, the limit is %d", held, follower, limit)
		}
		for range len(c.inFlight) / 2 {
			c.deliver(0)
		}
	}
	if commit := c.find(follower).node.Commit(); commit < leader.node.Commit() {
		t.Fatalf("%s committed up to index %d within 10 s, the leader up to %d", follower, commit, leader.node.Commit())
	}
}

// TestCommittedEntriesAreDeliveredInSteps guards against a replica that applies a long log at once and sends no heartbeats
// meanwhile.
func TestCommittedEntriesAreDeliveredInSteps(t *testing.T) {
	c, leader, _, entry := largeEntryCluster(t)
	for range 50 {
		leader.node.Propose(c.now, []byte(entry))
	}
	c.process(leader)
	c.runFor(time.Second)
	if applied := leader.applied[len(leader.applied)-1]; applied.Index != leader.node.Commit() {
		t.Fatalf("applied up to index %d, committed up to %d", applied.Index, leader.node.Commit())
	}
}

// TestRejectionsOfEarlierAppendsAreIgnored guards against a leader that sends the same entries again for every append that
// was on its way when one was lost, so that it has no time for its other followers.
func TestRejectionsOfEarlierAppendsAreIgnored(t *testing.T) {
	c, leader, follower, entry := largeEntryCluster(t)
	for range 30 {
		leader.node.Propose(c.now, []byte(entry))
	}
	lost := leader.node.Messages()
	match := leader.node.Peers()[0].Match
	rejection := Message{Kind: MessageAppendReply, From: follower, To: leader.id, Term: leader.node.Term(), Reject: true, Hint: match}
	sent := 0
	for _, message := range lost[1:] {
		if message.To == follower && message.Index > match {
			rejection.Index = message.Index
			leader.node.Step(c.now, rejection)
			for _, again := range leader.node.Messages() {
				sent += totalSize(again.Entries)
			}
		}
	}
	if sent == 0 || sent > c.limits.MessageBytes {
		t.Fatalf("%d bytes sent again, want those of one message, at most %d", sent, c.limits.MessageBytes)
	}
}

// snapshotData returns the data of the snapshots that replicas take at an index.
func (c *cluster) snapshotData(index uint64) []byte {
	text := fmt.Appendf(nil, "%d;", index)
	return bytes.Repeat(text, c.snapshotBytes/len(text)+1)
}

// compact takes a snapshot at the last applied entry of a running replica and removes the entries that it covers.
func (c *cluster) compact(r *replica) {
	if !r.running || len(r.applied) == 0 {
		return
	}
	last := r.applied[len(r.applied)-1]
	if r.write != nil || r.node.NeedsWrite() || last.Index > r.node.Persisted() {
		return // its entries are not durable yet
	}
	covered := last.Index - r.snapshot.Meta.Index
	meta := SnapshotMeta{Index: last.Index, Term: last.Term, Membership: r.node.MembershipAt(last.Index)}
	r.snapshot, r.entries = Snapshot{Meta: meta, Data: c.snapshotData(last.Index)}, slices.Clone(r.entries[covered:])
	r.node.Compact(meta)
	r.applied = nil
}

// TestLongSnapshotArrivesInParts guards against a snapshot that holds up the heartbeats behind it. Parts that are lost are sent
// again, and a receiver that restarts midway gets it from the start.
func TestLongSnapshotArrivesInParts(t *testing.T) {
	c, leader, follower, entry := largeEntryCluster(t)
	c.partitioned[follower] = true
	for range 20 {
		c.propose(entry)
	}
	c.runFor(time.Second)
	c.compact(leader)
	index := leader.snapshot.Meta.Index
	c.snapshotBytes = 10*c.limits.MessageBytes + 1
	leader.snapshot.Data = c.snapshotData(index)
	clear(c.partitioned)
	receiver, parts := c.find(follower), 0
	for end := c.now + 30*time.Second; c.now < end && receiver.node.Commit() < leader.node.Commit(); {
		c.advance(20 * time.Millisecond)
		for len(c.inFlight) > 0 {
			if message := c.inFlight[0]; message.Kind == MessageSnapshot {
				if parts++; len(message.Snapshot.Data) > c.limits.MessageBytes {
					t.Fatalf("a message holds %d bytes of a snapshot, the limit is %d", len(message.Snapshot.Data), c.limits.MessageBytes)
				}
				if parts == 7 {
					c.start(receiver)
				}
				if parts%4 == 0 {
					c.inFlight = c.inFlight[1:] // lost
					continue
				}
			}
			c.deliver(0)
		}
	}
	if receiver.snapshot.Meta.Index != index || receiver.node.Commit() < leader.node.Commit() {
		t.Fatalf("%s holds a snapshot at index %d and is at index %d after %d parts, want %d and %d", follower, receiver.snapshot.Meta.Index, receiver.node.Commit(), parts, index, leader.node.Commit())
	}
	if parts < 11 {
		t.Fatalf("%d parts, want at least 11", parts)
	}
}
