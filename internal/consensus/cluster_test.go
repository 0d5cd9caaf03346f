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

// replica is a node with its simulated stable storage.
type replica struct {
	id       ID
	node     *Node
	hard     HardState
	entries  []Entry
	snapshot Snapshot
	applied  []Entry
	running  bool

	write              *Write // in progress, or nil
	writes             int    // begun since the start of the test
	beganAt, writtenAt time.Duration
	syncTime           time.Duration
}

// cluster drives nodes over a simulated network.
type cluster struct {
	now           time.Duration
	random        *rand.Rand
	replicas      []*replica
	inFlight      []Message
	partitioned   map[ID]bool
	leaders       map[uint64]ID
	committed     map[uint64]Entry // first committed entry seen for each index
	limits        Limits
	snapshotBytes int // minimum length of a snapshot's data
	fail          func(format string, arguments ...any)
}

func newCluster(size int, seed uint64, fail func(string, ...any)) *cluster {
	return newClusterWithLimits(size, seed, Limits{}, fail)
}

func newClusterWithLimits(size int, seed uint64, limits Limits, fail func(string, ...any)) *cluster {
	c := &cluster{limits: limits, snapshotBytes: 160, random: rand.New(rand.NewPCG(seed, 1)), partitioned: map[ID]bool{}, leaders: map[uint64]ID{}, committed: map[uint64]Entry{}, fail: fail}
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
	r.applied, r.write = nil, nil
	r.node = New(Config{ID: r.id, Timing: testTiming, Limits: c.limits, Random: c.random.Int64N},
		Restored{HardState: r.hard, Snapshot: r.snapshot.Meta, Entries: slices.Clone(r.entries)}, c.now,
		func() (Snapshot, bool) { return r.snapshot, true })
}

// process sends, applies and stores a replica's pending work as the package comment prescribes. A write takes the
// replica's sync time.
func (c *cluster) process(r *replica) {
	for r.running {
		messages, committed := r.node.Messages(), r.node.Committed()
		c.checkLimits(r, messages, committed)
		c.inFlight = append(c.inFlight, messages...)
		for _, entry := range committed {
			c.apply(r, entry)
		}
		if r.write != nil && c.now >= r.writtenAt {
			c.endWrite(r)
			continue
		}
		if r.write == nil && r.node.NeedsWrite() {
			write := r.node.BeginWrite()
			r.writes++
			r.write, r.beganAt, r.writtenAt = &write, c.now, c.now+r.syncTime
			continue
		}
		if len(messages)+len(committed) == 0 {
			break
		}
	}
	if r.running && r.node.Role() == Leader {
		if other, exists := c.leaders[r.node.Term()]; exists && other != r.id {
			c.fail("replicas %s and %s both lead term %d", other, r.id, r.node.Term())
		}
		c.leaders[r.node.Term()] = r.id
	}
}

// endWrite makes the write in progress durable and tells the replica.
func (c *cluster) endWrite(r *replica) {
	write := *r.write
	r.write = nil
	if write.Snapshot != nil {
		r.applied = nil
		if want := c.snapshotData(write.Snapshot.Meta.Index); len(write.Snapshot.Data) > 0 && !bytes.Equal(write.Snapshot.Data, want) {
			c.fail("%s installs a snapshot at index %d with other data: %d bytes, want %d", r.id, write.Snapshot.Meta.Index, len(write.Snapshot.Data), len(want))
		}
	}
	c.store(r, write)
	r.node.ObserveSync(c.now - r.beganAt)
	r.node.EndWrite(c.now)
}

// store writes to a replica's stable storage.
func (c *cluster) store(r *replica, write Write) {
	if write.HardState != nil {
		r.hard = *write.HardState
	}
	if write.Snapshot != nil {
		r.snapshot, r.entries = *write.Snapshot, nil
	}
	c.persist(r, write.Entries)
}

// kill ends a replica. The first records of a write in progress may have become durable.
func (c *cluster) kill(r *replica) {
	if write := r.write; write != nil && write.Snapshot == nil && c.random.IntN(2) == 0 {
		c.store(r, Write{HardState: write.HardState, Entries: write.Entries[:c.random.IntN(len(write.Entries)+1)]})
	}
	r.running, r.write = false, nil
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
		c.fail("index %d: %s committed an entry of term %d that differs from another replica's of term %d", entry.Index, r.id, entry.Term, first.Term)
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

// deliver delivers the in-flight message at a position, or drops it if either end is partitioned or the target is down.
func (c *cluster) deliver(at int) {
	message := c.inFlight[at]
	c.inFlight = slices.Delete(c.inFlight, at, at+1)
	to := c.find(message.To)
	if to == nil || !to.running || c.partitioned[message.From] || c.partitioned[message.To] {
		return
	}
	to.node.Step(c.now, message)
	c.process(to)
}

func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, r := range c.replicas {
		if r.running {
			r.node.Tick(c.now)
			c.process(r)
		}
	}
	c.checkLeases()
}

// checkLeases fails if more than one replica holds a valid lease.
func (c *cluster) checkLeases() {
	var holder *replica
	for _, r := range c.replicas {
		if !r.running || !r.node.LeaseValid(c.now) {
			continue
		}
		if holder != nil {
			c.fail("replicas %s (term %d) and %s (term %d) both hold a valid lease", holder.id, holder.node.Term(), r.id, r.node.Term())
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
	c.process(leader)
	return ok
}

// runFor advances time and delivers all messages in order.
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
		t.Fatal("no leader accepted a proposal after 3 s")
	}
	c.runFor(time.Second)
	for _, r := range c.replicas {
		if last := r.applied[len(r.applied)-1]; string(last.Data) != "x" {
			t.Fatalf("%s: last applied entry %q, want \"x\"", r.id, last.Data)
		}
	}
}

// Guards against stale reads: a partitioned leader's lease must end before another leader is elected.
func TestPartitionedLeaderLosesLeaseBeforeNextElection(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	old := c.leader()
	c.partitioned[old.id] = true
	for range 300 {
		c.runFor(20 * time.Millisecond)
		if next := c.leader(); next != nil && next != old {
			if old.node.LeaseValid(c.now) {
				t.Fatalf("replica %s leads term %d while %s still holds a valid lease of term %d", next.id, next.node.Term(), old.id, old.node.Term())
			}
			return
		}
	}
	t.Fatal("no new leader within 6 s of the partition")
}

// Guards against a partitioned replica raising the term: pre-vote must prevent it.
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
		t.Fatalf("leader changed after reconnection: now in term %d", c.leader().node.Term())
	}
}

// TestLogsAgreeUnderFaults drops, duplicates and reorders messages, and kills, restarts and partitions replicas.
func TestLogsAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MessageBytes: rapid.SampledFrom([]int{0, 1, 80}).Draw(t, "message limit"), InflightBytes: rapid.SampledFrom([]int{0, 1, 160}).Draw(t, "in-flight limit"), DeliverBytes: rapid.SampledFrom([]int{0, 1, 80}).Draw(t, "deliver limit")}
		c := newClusterWithLimits(rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"), limits, t.Fatalf)
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
			"kill": func(t *rapid.T) { c.kill(c.replicas[replicaIndex.Draw(t, "replica")]) },
			"slow": func(t *rapid.T) {
				c.replicas[replicaIndex.Draw(t, "replica")].syncTime = time.Duration(rapid.IntRange(0, 2000).Draw(t, "sync ms")) * time.Millisecond
			},
			"compact": func(t *rapid.T) { c.compact(c.replicas[replicaIndex.Draw(t, "replica")]) },
			"start": func(t *rapid.T) {
				if r := c.replicas[replicaIndex.Draw(t, "replica")]; !r.running {
					c.start(r)
				}
			},
		})
		c.recoverAndCheck(t)
	})
}

// recoverAndCheck heals the network and restarts all replicas, which must then elect a leader, commit and catch up.
func (c *cluster) recoverAndCheck(t *rapid.T) {
	clear(c.partitioned)
	c.inFlight = nil
	for _, r := range c.replicas {
		r.syncTime = 0
		if !r.running {
			c.start(r)
		}
	}
	c.runFor(2 * time.Second) // until the slow writes have ended
	c.runFor(8 * time.Second)
	if !c.propose("last") {
		t.Fatal("no leader accepted a proposal after recovery")
	}
	c.runFor(2 * time.Second)
	for _, r := range c.replicas {
		if r.node.Commit() < c.leader().node.Commit() {
			t.Fatalf("after recovery %s committed up to index %d, the leader up to %d", r.id, r.node.Commit(), c.leader().node.Commit())
		}
	}
}

// A change of two votes and a change before the previous one has committed must be rejected.
func TestMembershipChangesOneVoteAtATime(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader().node
	twoNewVoters := leader.Membership().With(Member{ID: "x"}).With(Member{ID: "y"})
	if _, _, ok := leader.ProposeMembership(c.now, twoNewVoters); ok {
		t.Fatal("a change of two votes was accepted")
	}
	if _, _, ok := leader.ProposeMembership(c.now, leader.Membership().With(Member{ID: "x", Learner: true})); !ok {
		t.Fatal("adding a learner was rejected")
	}
	if _, _, ok := leader.ProposeMembership(c.now, leader.Membership().With(Member{ID: "y", Learner: true})); ok {
		t.Fatal("a second change was accepted before the first had committed")
	}
	if leader.MembershipCommitted() {
		t.Fatal("MembershipCommitted is true before the membership entry has committed")
	}
}

// Guards against a message loop with a follower that lost acknowledged entries and rejects every append.
func TestFollowerWithLostEntriesIsProbedOncePerHeartbeat(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	leader := c.leader()
	peer := leader.node.Peers()[0]
	for range 5 {
		leader.node.Step(c.now, Message{Kind: MessageAppendReply, From: peer.ID, To: leader.id, Term: leader.node.Term(), Reject: true, Index: peer.Match})
	}
	if sent := len(leader.node.Messages()); sent != 0 {
		t.Fatalf("%d messages sent in response to rejections at the match index, want 0", sent)
	}
}

// An unacknowledged snapshot must not be resent with each heartbeat. Meanwhile the replies to heartbeats keep the lease
// valid, and a lost snapshot is eventually resent.
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
				c.inFlight = c.inFlight[1:] // the snapshot does not arrive
				continue
			}
			c.deliver(0)
		}
		if !leader.node.LeaseValid(c.now) {
			t.Fatalf("leader has no valid lease at %v", c.now)
		}
	}
	if snapshots != 1 {
		t.Fatalf("%d snapshots sent, want 1", snapshots)
	}
	c.runFor(2 * time.Second)
	if follower := c.find(isolated); follower.node.Commit() < leader.node.Commit() {
		t.Fatalf("replica %s committed up to index %d, the leader up to %d", isolated, follower.node.Commit(), leader.node.Commit())
	}
}

// Guards against a lost voter that led before being replaced later than another: its silence began before the election.
func TestSilenceOfPreviousLeaderCountsFromItsLastMessage(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	c.runFor(3 * time.Second)
	previous, lostAt := c.leader(), c.now
	c.partitioned[previous.id] = true
	var next *replica
	for next == nil {
		c.runFor(20 * time.Millisecond)
		next = c.leader()
	}
	for _, peer := range next.node.Peers() {
		if heard := peer.ID != previous.id; heard != (peer.LastReplyAt > lostAt+testTiming.Heartbeat) {
			t.Fatalf("last reply of %s at %v; the previous leader %s was lost at %v", peer.ID, peer.LastReplyAt, previous.id, lostAt)
		}
	}
}

// Guards against syncs and rounds before the first snapshot of a replica that joins: until it is on disk, the group can't use
// the replica.
func TestJoiningReplicaSyncsItsFirstSnapshotWithTheTerm(t *testing.T) {
	for _, limit := range []int{0, 64} { // with the snapshot in one message, and in parts
		c := newClusterWithLimits(3, 1, Limits{MessageBytes: limit}, t.Fatalf)
		c.runFor(3 * time.Second)
		leader := c.leader()
		c.propose("x")
		c.runFor(time.Second)
		c.compact(leader)
		joining := &replica{id: "n3", syncTime: 200 * time.Millisecond}
		c.replicas = append(c.replicas, joining)
		c.start(joining)
		if _, _, ok := leader.node.ProposeMembership(c.now, leader.node.Membership().With(Member{ID: joining.id, Learner: true})); !ok {
			t.Fatal("adding a learner was rejected")
		}
		c.process(leader)
		if len(c.inFlight) == 0 || !slices.ContainsFunc(c.inFlight, func(m Message) bool { return m.To == joining.id && m.Kind == MessageSnapshot }) {
			t.Fatal("the leader doesn't send the snapshot at once")
		}
		for began := c.now; joining.snapshot.Meta.Index == 0; c.runFor(20 * time.Millisecond) {
			if c.now > began+time.Second {
				t.Fatal("no snapshot on disk 1 s after the join")
			}
		}
		if joining.write != nil {
			joining.writes-- // of the entries that follow
		}
		if joining.writes != 1 || joining.hard.Term != leader.node.Term() {
			t.Fatalf("message limit %d: %d writes until the snapshot was on disk, want 1; term %d there, want %d", limit, joining.writes, joining.hard.Term, leader.node.Term())
		}
	}
}
