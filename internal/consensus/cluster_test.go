package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTiming = Timing{Heartbeat: 100 * time.Millisecond, ElectionMin: 700 * time.Millisecond, ElectionMax: 1400 * time.Millisecond, Lease: 500 * time.Millisecond}

// replica is a node with its disk.
type replica struct {
	id       ID
	node     *Node
	hard     HardState
	entries  []Entry
	snapshot Snapshot
	applied  []Entry
	running  bool
}

// cluster drives nodes over a network that the test controls.
type cluster struct {
	now         time.Duration
	random      *rand.Rand
	replicas    []*replica
	inFlight    []Message
	partitioned map[ID]bool
	leaders     map[uint64]ID
	committed   map[uint64]Entry // committed entry by index, as first seen
	fail        func(format string, arguments ...any)
}

func newCluster(size int, seed uint64, fail func(string, ...any)) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), partitioned: map[ID]bool{}, leaders: map[uint64]ID{}, committed: map[uint64]Entry{}, fail: fail}
	var members []Member
	for i := range size {
		members = append(members, Member{ID: ID(fmt.Sprintf("n%d", i)), Name: fmt.Sprintf("n%d", i)})
	}
	for _, member := range members {
		r := &replica{id: member.ID, snapshot: Snapshot{Meta: SnapshotMeta{Index: 1, Term: 1, Membership: Membership{Members: members}}}, hard: HardState{Term: 1}}
		c.replicas = append(c.replicas, r)
		c.start(r)
	}
	return c
}

func (c *cluster) start(r *replica) {
	r.running = true
	r.applied = nil
	r.node = New(Config{ID: r.id, Timing: testTiming, Random: c.random.Int64N},
		Restored{HardState: r.hard, Snapshot: r.snapshot.Meta, Entries: slices.Clone(r.entries)}, c.now,
		func() (Snapshot, bool) { return r.snapshot, true })
}

// processReady syncs and sends what a replica has to do, in the order that the package demands.
func (c *cluster) processReady(r *replica) {
	for r.running && r.node.HasReady() {
		ready := r.node.Ready()
		if ready.HardState != nil {
			r.hard = *ready.HardState
		}
		if ready.Snapshot != nil {
			r.snapshot, r.entries, r.applied = *ready.Snapshot, nil, nil
		}
		c.persist(r, ready.Entries)
		if count := len(ready.Entries); count > 0 {
			r.node.MarkPersisted(ready.Entries[count-1].Index, ready.Entries[count-1].Term)
		}
		c.inFlight = append(c.inFlight, ready.Messages...)
		for _, entry := range ready.Committed {
			c.apply(r, entry)
		}
	}
	if r.running && r.node.Role() == Leader {
		if other, exists := c.leaders[r.node.Term()]; exists && other != r.id {
			c.fail("%s and %s both lead term %d", other, r.id, r.node.Term())
		}
		c.leaders[r.node.Term()] = r.id
	}
}

func (c *cluster) persist(r *replica, entries []Entry) {
	for _, entry := range entries {
		at := int(entry.Index - r.snapshot.Meta.Index - 1)
		r.entries = append(r.entries[:at:at], entry)
	}
}

func (c *cluster) apply(r *replica, entry Entry) {
	first, known := c.committed[entry.Index]
	if known && (first.Term != entry.Term || !bytes.Equal(first.Data, entry.Data)) {
		c.fail("index %d: %s committed term %d, another replica term %d", entry.Index, r.id, entry.Term, first.Term)
	}
	c.committed[entry.Index] = entry
	r.applied = append(r.applied, entry)
}

func (c *cluster) find(id ID) *replica {
	for _, r := range c.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// deliver takes the message at a position, or loses it on a cut link.
func (c *cluster) deliver(at int) {
	message := c.inFlight[at]
	c.inFlight = slices.Delete(c.inFlight, at, at+1)
	to := c.find(message.To)
	if to == nil || !to.running || c.partitioned[message.From] || c.partitioned[message.To] {
		return
	}
	to.node.Step(c.now, message)
	c.processReady(to)
}

func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, r := range c.replicas {
		if r.running {
			r.node.Tick(c.now)
			c.processReady(r)
		}
	}
	c.checkLeases()
}

// checkLeases holds that at most one replica may serve reads.
func (c *cluster) checkLeases() {
	var holder *replica
	for _, r := range c.replicas {
		if !r.running || !r.node.LeaseValid(c.now) {
			continue
		}
		if holder != nil {
			c.fail("%s (term %d) and %s (term %d) both hold a lease", holder.id, holder.node.Term(), r.id, r.node.Term())
		}
		holder = r
	}
}

func (c *cluster) leader() *replica {
	var best *replica
	for _, r := range c.replicas {
		if r.running && !c.partitioned[r.id] && r.node.Role() == Leader && (best == nil || r.node.Term() > best.node.Term()) {
			best = r
		}
	}
	return best
}

func (c *cluster) propose(data string) bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	_, _, ok := leader.node.Propose(c.now, []byte(data))
	c.processReady(leader)
	return ok
}

// runFor lets time pass with a working network.
func (c *cluster) runFor(length time.Duration) {
	for end := c.now + length; c.now < end; {
		c.advance(20 * time.Millisecond)
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
	}
}

func TestLeaderIsElectedAndCommits(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	if !c.propose("x") {
		t.Fatal("no leader after 3 s")
	}
	c.runFor(time.Second)
	for _, r := range c.replicas {
		if last := r.applied[len(r.applied)-1]; string(last.Data) != "x" {
			t.Fatalf("%s applied %q last", r.id, last.Data)
		}
	}
}

// TestPartitionedLeaderLosesLeaseBeforeNextElection: by the time another replica can be elected, the old leader must know that it may
// not serve reads.
func TestPartitionedLeaderLosesLeaseBeforeNextElection(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	old := c.leader()
	c.partitioned[old.id] = true
	for range 300 {
		c.runFor(20 * time.Millisecond)
		if next := c.leader(); next != nil && next != old {
			if old.node.LeaseValid(c.now) {
				t.Fatalf("%s leads term %d while %s holds a lease of term %d", next.id, next.node.Term(), old.id, old.node.Term())
			}
			return
		}
	}
	t.Fatal("no new leader within 6 s")
}

// TestReconnectedReplicaDoesNotDeposeLeader: pre-vote keeps a replica that was cut off from raising the term.
func TestReconnectedReplicaDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	term := leader.node.Term()
	isolated := c.replicas[0]
	if isolated == leader {
		isolated = c.replicas[1]
	}
	c.partitioned[isolated.id] = true
	c.runFor(20 * time.Second)
	delete(c.partitioned, isolated.id)
	c.runFor(3 * time.Second)
	if c.leader() != leader || leader.node.Term() != term {
		t.Fatalf("leadership changed to term %d", c.leader().node.Term())
	}
}

// TestLogsAgreeUnderFaults delivers, loses, repeats and reorders messages, kills and cuts replicas.
func TestLogsAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		c.runFor(3 * time.Second)
		proposals := 0
		replicaIndex := rapid.IntRange(0, len(c.replicas)-1)
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
			"propose": func(*rapid.T) { proposals++; c.propose(fmt.Sprint(proposals)) },
			"deliver": func(t *rapid.T) {
				for range min(len(c.inFlight), rapid.IntRange(1, 8).Draw(t, "count")) {
					c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "position"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "position")
					c.inFlight = slices.Delete(c.inFlight, at, at+1)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					c.inFlight = append(c.inFlight, c.inFlight[rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "position")])
				}
			},
			"cut":  func(t *rapid.T) { c.partitioned[c.replicas[replicaIndex.Draw(t, "replica")].id] = true },
			"heal": func(*rapid.T) { clear(c.partitioned) },
			"kill": func(t *rapid.T) { c.replicas[replicaIndex.Draw(t, "replica")].running = false },
			"start": func(t *rapid.T) {
				if r := c.replicas[replicaIndex.Draw(t, "replica")]; !r.running {
					c.start(r)
				}
			},
		})
		c.recoverAndCheck(t)
	})
}

// recoverAndCheck heals everything; the group must commit again and agree on all that was ever committed.
func (c *cluster) recoverAndCheck(t *rapid.T) {
	clear(c.partitioned)
	c.inFlight = nil
	for _, r := range c.replicas {
		if !r.running {
			c.start(r)
		}
	}
	c.runFor(8 * time.Second)
	if !c.propose("last") {
		t.Fatal("no leader after everything healed")
	}
	c.runFor(2 * time.Second)
	for _, r := range c.replicas {
		if r.node.Commit() < c.leader().node.Commit() {
			t.Fatalf("%s committed up to %d, the leader up to %d", r.id, r.node.Commit(), c.leader().node.Commit())
		}
	}
}

// TestMembershipChangesOneVoteAtATime refuses a change of two votes and a change on top of an uncommitted one.
func TestMembershipChangesOneVoteAtATime(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader().node
	twoNewVoters := leader.Membership().With(Member{ID: "x"}).With(Member{ID: "y"})
	if _, _, ok := leader.ProposeMembership(c.now, twoNewVoters); ok {
		t.Fatal("two votes were changed at once")
	}
	if _, _, ok := leader.ProposeMembership(c.now, leader.Membership().With(Member{ID: "x", Learner: true})); !ok {
		t.Fatal("a learner was refused")
	}
	if _, _, ok := leader.ProposeMembership(c.now, leader.Membership().With(Member{ID: "y", Learner: true})); ok {
		t.Fatal("a second change was taken before the first had committed")
	}
	if leader.MembershipCommitted() {
		t.Fatal("an uncommitted membership counts as settled")
	}
}

// TestFollowerWithLostEntriesIsProbedOncePerHeartbeat: a follower that forgot what it had acknowledged is asked again with
// heartbeats, not at the speed of the network.
func TestFollowerWithLostEntriesIsProbedOncePerHeartbeat(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	peer := leader.node.Peers()[0]
	for range 5 {
		leader.node.Step(c.now, Message{Kind: MessageAppendReply, From: peer.ID, To: leader.id, Term: leader.node.Term(), Reject: true, Index: peer.Match})
	}
	if sent := len(leader.node.Ready().Messages); sent != 0 {
		t.Fatalf("%d messages answer rejections below the match index", sent)
	}
}

// TestPendingSnapshotIsNotResentEveryHeartbeat: while one is on its way the peer hears heartbeats, and the leader keeps its lease by their
// answers; once a while without an answer has passed, the snapshot is sent again.
func TestPendingSnapshotIsNotResentEveryHeartbeat(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	isolated := leader.node.Peers()[0].ID
	c.partitioned[isolated] = true
	for i := range 20 {
		c.propose(fmt.Sprint(i))
	}
	c.runFor(time.Second)
	meta := SnapshotMeta{Index: leader.node.Commit(), Term: leader.node.Term(), Membership: leader.node.Membership()}
	leader.snapshot, leader.entries = Snapshot{Meta: meta}, nil
	leader.node.Compact(meta)
	delete(c.partitioned, isolated)
	snapshots := 0
	for end := c.now + testTiming.ElectionMin - 2*testTiming.Heartbeat; c.now < end; {
		c.advance(20 * time.Millisecond)
		for len(c.inFlight) > 0 {
			if c.inFlight[0].Kind == MessageSnapshot {
				snapshots++
				c.inFlight = c.inFlight[1:] // a large one, still on its way
				continue
			}
			c.deliver(0)
		}
		if !leader.node.LeaseValid(c.now) {
			t.Fatalf("the leader has no lease at %v", c.now)
		}
	}
	if snapshots != 1 {
		t.Fatalf("%d snapshots were sent", snapshots)
	}
	c.runFor(2 * time.Second)
	if follower := c.find(isolated); follower.node.Commit() < leader.node.Commit() {
		t.Fatalf("%s rests at %d, the leader at %d", isolated, follower.node.Commit(), leader.node.Commit())
	}
}
