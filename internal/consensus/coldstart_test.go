package consensus

import (
	"testing"
	"time"
)

// restart ends the given replicas at once and starts them again, in their order, one each gap.
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

// waitForLeader lets time pass until a leader may serve reads, and returns how long that took.
func (c *cluster) waitForLeader(t *testing.T, timeout time.Duration) {
	t.Helper()
	startedAt := c.now
	for c.now < startedAt+timeout {
		c.runFor(10 * time.Millisecond)
		if leader := c.leader(); leader != nil && leader.node.LeaseValid(c.now) {
			return
		}
	}
	t.Fatalf("no leader within %v of the last start", timeout)
}

// TestFullRestartElectsLeaderWithoutLeaseWait: nobody is left that a lease was promised to.
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

// TestRestartedFollowersKeepLeader: those that restart learn that another voter knows a leader, and wait.
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
		t.Fatalf("term %d became %d", term, c.leader().node.Term())
	}
}

// TestRestartedMajorityWaitsForLeaseExpiry: the leader is cut off and may still hold a lease, so that the two others, which
// have just started and see nobody else, wait as long as the lease may run.
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
			t.Fatalf("elected after %v, while the old lease may run", c.now-restartedAt)
		}
	}
}

// TestRejectedColdStartCandidateRetriesSoon: the first to know that no voter knows a leader asks those that have not heard
// it yet (ayni-lima trouble-1: 120 ms after a restart of all).
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
		t.Fatalf("stands again after %v", wait)
	}
}

// TestReplyToPreviousIncarnationIsIgnored: what was said before this life began may be older than a promise of the last life.
func TestReplyToPreviousIncarnationIsIgnored(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	r := c.replicas[0]
	c.inFlight = nil
	c.start(r)
	for _, other := range c.replicas[1:] {
		r.node.Step(c.now, Message{Kind: MessageColdStartReply, From: other.id, To: r.id, Term: 1, Incarnation: r.node.coldStart.incarnation + 1})
	}
	if r.node.coldStart.leaderless {
		t.Fatal("answers to another life let it vote at once")
	}
	for _, other := range c.replicas[1:] {
		r.node.Step(c.now, Message{Kind: MessageColdStartReply, From: other.id, To: r.id, Term: 1, Incarnation: r.node.coldStart.incarnation})
	}
	if !r.node.coldStart.leaderless {
		t.Fatal("all voters know no leader, and it still waits")
	}
}
