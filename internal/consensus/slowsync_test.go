package consensus

import (
	"fmt"
	"testing"
	"time"
)

// restartAll restarts all replicas at once with syncs that take a time, which each measures as it opens its log.
func (c *cluster) restartAll(syncTime func(i int) time.Duration) {
	c.inFlight = nil
	for _, r := range c.replicas {
		c.kill(r)
	}
	for i, r := range c.replicas {
		r.syncTime = syncTime(i)
		c.start(r)
		r.node.StartSyncTime(r.syncTime)
	}
}

// timeToLeader returns how long it takes until a leader with a valid lease has committed an entry, up to a limit.
func (c *cluster) timeToLeader(limit time.Duration) (time.Duration, bool) {
	for began := c.now; c.now < began+limit; c.runFor(20 * time.Millisecond) {
		if leader := c.leader(); leader != nil && leader.node.LeaseValid(c.now) {
			return c.now - began, true
		}
	}
	return 0, false
}

// TestLeaderIsElectedWithSlowSyncs guards against elections that never end because their timeouts are shorter than the
// syncs that they need, and against leaders that lose their lease while they sync.
func TestLeaderIsElectedWithSlowSyncs(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, syncTime := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second} {
			for seed := range uint64(20) {
				t.Run(fmt.Sprintf("%d replicas, syncs of %v, seed %d", size, syncTime, seed), func(t *testing.T) {
					c := newCluster(size, seed, t.Fatalf)
					c.runFor(3 * time.Second)
					c.restartAll(func(int) time.Duration { return syncTime })
					took, elected := c.timeToLeader(testTiming.ElectionMax + 6*syncTime)
					if !elected {
						t.Fatalf("no leader within %v of the restart", testTiming.ElectionMax+6*syncTime)
					}
					leader := c.leader()
					for c.now < took+20*time.Second {
						c.propose("x")
						c.runFor(200 * time.Millisecond)
						if c.leader() != leader || !leader.node.LeaseValid(c.now) {
							t.Fatalf("%s lost the leadership or its lease %v after the restart", leader.id, c.now)
						}
					}
				})
			}
		}
	}
}

// TestElectionEndsThoughSyncsBecomeSlow guards against elections that never end because nobody has measured the slow syncs
// yet.
func TestElectionEndsThoughSyncsBecomeSlow(t *testing.T) {
	for seed := range uint64(20) {
		for _, syncTime := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second} {
			c := newCluster(5, seed, t.Fatalf)
			c.runFor(3 * time.Second)
			c.kill(c.leader())
			for _, r := range c.replicas {
				r.syncTime = syncTime
			}
			if _, elected := c.timeToLeader(4*testTiming.ElectionMax + 12*syncTime); !elected {
				t.Errorf("seed %d, syncs of %v: no leader within %v", seed, syncTime, 4*testTiming.ElectionMax+12*syncTime)
			}
		}
	}
}

// TestOneSlowReplicaIsNotWaitedFor guards against a group that waits for its slowest disk, at elections and at commits.
func TestOneSlowReplicaIsNotWaitedFor(t *testing.T) {
	for seed := range uint64(20) {
		for slow := range 5 {
			c := newCluster(5, seed, t.Fatalf)
			c.runFor(3 * time.Second)
			c.restartAll(func(i int) time.Duration {
				if i == slow {
					return 2 * time.Second
				}
				return time.Millisecond
			})
			if _, elected := c.timeToLeader(testTiming.ElectionMax); !elected {
				t.Fatalf("seed %d: no leader within %v, with a slow disk of %s", seed, testTiming.ElectionMax, c.replicas[slow].id)
			}
			leader := c.leader()
			if leader == c.replicas[slow] {
				t.Fatalf("seed %d: the replica with the slow disk leads", seed)
			}
			for range 20 {
				c.propose("x")
				c.runFor(60 * time.Millisecond)
				if leader.node.Commit() != leader.node.LastIndex() {
					t.Fatalf("seed %d: committed up to %d of %d, with a slow disk of %s", seed, leader.node.Commit(), leader.node.LastIndex(), c.replicas[slow].id)
				}
			}
		}
	}
}

// TestLeaderWithAStalledDiskKeepsItsLease guards against a change of leader, and changes that wait, while one disk stalls.
func TestLeaderWithAStalledDiskKeepsItsLease(t *testing.T) {
	c := newCluster(5, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	leader.syncTime = 5 * time.Second
	for range 40 {
		c.propose("x")
		c.runFor(100 * time.Millisecond)
		if c.leader() != leader || !leader.node.LeaseValid(c.now) || leader.node.Commit() != leader.node.LastIndex() {
			t.Fatalf("leader %s, lease %t, committed up to %d of %d while the disk of %s stalls", c.leader().id, leader.node.LeaseValid(c.now), leader.node.Commit(), leader.node.LastIndex(), leader.id)
		}
	}
}

// TestVotesAndEntriesWaitForTheirSync guards against votes and acknowledgements that a loss of power would undo.
func TestVotesAndEntriesWaitForTheirSync(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	follower := c.find(c.leader().node.Peers()[0].ID)
	follower.syncTime = time.Second
	c.propose("x")
	c.runFor(500 * time.Millisecond)
	for _, peer := range c.leader().node.Peers() {
		if peer.ID == follower.id && peer.Match >= c.leader().node.LastIndex() {
			t.Fatal("an entry was acknowledged before it was synced")
		}
		if peer.ID == follower.id && c.now-peer.LastReplyAt > 2*testTiming.Heartbeat {
			t.Fatalf("no reply to heartbeats for %v during a sync", c.now-peer.LastReplyAt)
		}
	}
	c.runFor(2 * time.Second)
	node := follower.node
	node.Step(c.now+time.Minute, Message{Kind: MessageVote, From: c.replicas[0].id, To: follower.id, Term: node.Term() + 1, Index: node.LastIndex() + 9, LogTerm: node.Term() + 1})
	if sent := node.Messages(); len(sent) > 0 {
		t.Fatalf("a vote was sent before it was synced: %+v", sent)
	}
	node.BeginWrite()
	if sent := node.Messages(); len(sent) > 0 {
		t.Fatalf("a vote was sent before it was synced: %+v", sent)
	}
	node.EndWrite(c.now + time.Minute)
	if sent := node.Messages(); len(sent) != 1 || sent[0].Reject {
		t.Fatalf("after the sync %+v was sent, want the vote", sent)
	}
}

// TestCandidateAndVotersSyncBesideEachOther guards against elections that take two syncs in a row, and against a leader whose
// own vote a loss of power would undo.
func TestCandidateAndVotersSyncBesideEachOther(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	candidate := c.leader().node
	later := c.now + time.Minute
	candidate.becomeFollower(later, candidate.Term(), "")
	candidate.startElection(later)
	requests := candidate.Messages()
	if len(requests) != 2 || requests[0].Kind != MessageVote {
		t.Fatalf("%+v was sent while the vote of the candidate is not synced, want two requests", requests)
	}
	candidate.BeginWrite()
	for _, request := range requests {
		candidate.Step(later, Message{Kind: MessageVoteReply, From: request.To, To: candidate.config.ID, Term: candidate.Term()})
	}
	if candidate.Role() != Candidate {
		t.Fatalf("the candidate is %v before its vote is synced", candidate.Role())
	}
	candidate.EndWrite(later)
	if candidate.Role() != Leader {
		t.Fatalf("the candidate is %v after the sync, want leader", candidate.Role())
	}
}

// TestVotesAreRequestedWithSyncedEntries guards against a candidate that is elected for entries that a crash took from it.
func TestVotesAreRequestedWithSyncedEntries(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	candidate := c.leader().node
	later := c.now + time.Minute
	candidate.Propose(later, []byte("x"))
	candidate.Messages()
	candidate.becomeFollower(later, candidate.Term(), "")
	candidate.startElection(later)
	if sent := candidate.Messages(); len(sent) > 0 {
		t.Fatalf("%+v was sent although the last entry is not synced", sent)
	}
	candidate.BeginWrite()
	candidate.EndWrite(later)
	if sent := candidate.Messages(); len(sent) != 2 {
		t.Fatalf("%d vote requests were sent after the sync, want two", len(sent))
	}
}
