package consensus

import (
	"testing"
	"time"
)

// restart stops the given replicas together and starts them again in order, with a gap between starts.
func (c *cluster) restart(gap time.Duration, replicas ...*replica) {
	for _, r := range replicas {
		r.running = false
	}
	c.inFlight = nil
	for i, r := range replicas {
		if i > 0 {
			c.runFor(gap)
		}
		c.start(r)
	}
}

// waitForLeader runs the cluster until a leader has a valid lease, and fails the test on timeout.
func (c *cluster) waitForLeader(t *testing.T, timeout time.Duration) {
	t.Helper()
	startedAt := c.now
	for c.now < startedAt+timeout {
		c.runFor(10 * time.Millisecond)
		if leader := c.leader(); leader != nil && leader.node.LeaseValid(c.now) {
			return
		}
	}
	t.Fatalf("no leader with a valid lease within %v of the last start", timeout)
}

// After a restart of all replicas no lease can be left, so that the election must not wait for ElectionMin.
func TestFullRestartElectsLeaderWithoutLeaseWait(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(20) {
			c := newCluster(3, seed, t.Fatalf)
			c.runFor(3 * time.Second)
			c.restart(gap, c.replicas...)
			c.waitForLeader(t, testTiming.ElectionMin/2)
		}
	}
}

// Guards against restarted followers deposing a leader that is still running.
func TestRestartedFollowersKeepLeader(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	term := leader.node.Term()
	for _, r := range c.replicas {
		if r != leader {
			c.restart(0, r)
			c.runFor(time.Second)
		}
	}
	if c.leader() != leader || leader.node.Term() != term {
		t.Fatalf("leader or term changed: term was %d, now %d", term, c.leader().node.Term())
	}
}

// Guards against an election while a partitioned leader may still hold a lease that the restarted majority confirmed.
func TestRestartedMajorityWaitsForLeaseExpiry(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	c.partitioned[leader.id] = true
	var others []*replica
	for _, r := range c.replicas {
		if r != leader {
			others = append(others, r)
		}
	}
	c.restart(0, others...)
	restartedAt := c.now
	for c.now < restartedAt+testTiming.ElectionMin-20*time.Millisecond {
		c.runFor(20 * time.Millisecond)
		if c.leader() != nil {
			t.Fatalf("leader elected %v after the restart, while the previous lease may still be valid", c.now-restartedAt)
		}
	}
}

// The first candidate of a leaderless group may be rejected by voters that do not know yet that the group is
// leaderless. It must retry without waiting for a regular election timeout.
func TestRejectedColdStartCandidateRetriesSoon(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	c.restart(0, c.replicas...)
	candidate := c.replicas[0].node
	for _, other := range c.replicas[1:] {
		candidate.Step(c.now, Message{Kind: MessageColdStartReply, From: other.id, To: candidate.config.ID, Term: 1, Incarnation: candidate.coldStart.incarnation})
	}
	candidate.Tick(candidate.electionDue)
	for _, other := range c.replicas[1:] {
		candidate.Step(c.now, Message{Kind: MessagePreVoteReply, From: other.id, To: candidate.config.ID, Term: candidate.Term(), Reject: true})
	}
	if wait := candidate.electionDue - c.now; wait > testTiming.Heartbeat {
		t.Fatalf("next election only after %v", wait)
	}
}

// A reply to a previous incarnation may be older than a lease that the same incarnation confirmed later.
func TestReplyToPreviousIncarnationIsIgnored(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	r := c.replicas[0]
	c.inFlight = nil
	c.start(r)
	for _, other := range c.replicas[1:] {
		r.node.Step(c.now, Message{Kind: MessageColdStartReply, From: other.id, To: r.id, Term: 1, Incarnation: r.node.coldStart.incarnation + 1})
	}
	if r.node.coldStart.leaderless {
		t.Fatal("replies to another incarnation made the group count as leaderless")
	}
	for _, other := range c.replicas[1:] {
		r.node.Step(c.now, Message{Kind: MessageColdStartReply, From: other.id, To: r.id, Term: 1, Incarnation: r.node.coldStart.incarnation})
	}
	if !r.node.coldStart.leaderless {
		t.Fatal("group does not count as leaderless after replies from all other voters")
	}
}
