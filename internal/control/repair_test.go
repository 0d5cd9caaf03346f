package control

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a group of an even number of voters with a dead one among them, where the loss of any disk costs the majority.
func TestDeadVoterIsRemovedBeforeItsReplacementVotes(t *testing.T) {
	for _, syncTime := range []time.Duration{0, 100, 400, 1000} {
		for _, c := range replacements(syncTime * time.Millisecond) {
			g := c.begin(t)
			complete := g.runUntil(30*time.Second, func() bool {
				for _, r := range g.replicas {
					if voters := r.replica.Node().Membership().Voters(); voters > c.voters {
						t.Fatalf("%v: %s has %d voters in its membership, want at most %d: %s", c, r.id, voters, c.voters, g.describe())
					}
				}
				leader := g.leader()
				return leader != nil && len(g.log) >= 3 && leader.replica.lossesBorne(g.now) == c.voters/2
			})
			if !complete {
				t.Fatalf("%v: the replacement is not complete after 30 s: %s", c, g.describe())
			}
		}
	}
}

// otherThan returns a replica of the group that is none of the given ones.
func (g *simGroup) otherThan(replicas ...*simReplica) *simReplica {
	for _, r := range g.replicas {
		if !slices.Contains(replicas, r) {
			return r
		}
	}
	return nil
}

// Guards against a group that shrinks although nothing can take the place of the lost voter.
func TestSilentVoterStaysWhileNoLearnerIsLive(t *testing.T) {
	g := newSimGroup(t, 3, 0, 1)
	lost := g.otherThan(g.leader())
	g.remove(lost)
	g.runFor(10 * simRepairAfter)
	if voters := g.leader().replica.Node().Membership().Voters(); voters != 3 {
		t.Fatalf("%d voters with no learner to replace the silent one, want 3", voters)
	}
}

// Guards against a group that stays incomplete when the learner dies after the voter that it replaces was removed, or that
// accepts no changes meanwhile.
func TestLearnerThatDiesDuringReplacementIsReplaced(t *testing.T) {
	g := newSimGroup(t, 3, 0, 1)
	g.syncTime = 100 * time.Millisecond
	g.remove(g.otherThan(g.leader()))
	first := g.add()
	g.start(first)
	removed := func() bool { return g.leader().replica.Node().Membership().Voters() == 2 }
	if !g.runUntil(10*time.Second, removed) {
		t.Fatalf("the lost voter was not removed within 10 s: %s", g.describe())
	}
	g.remove(first)
	if !g.leader().replica.formed() {
		t.Fatal("a group that was complete counts as not formed")
	}
	g.start(g.add())
	if !g.runUntil(10*time.Second, func() bool { return g.lossesBorne() == 1 }) {
		t.Fatalf("%d losses borne 10 s after the second successor's start, want 1: %s", g.lossesBorne(), g.describe())
	}
}

// Guards against a voter that was only cut off, and removed meanwhile, staying out of the group, and against repeated changes of
// the members after it has returned.
func TestRemovedVoterReturnsAsLearner(t *testing.T) {
	g := newSimGroup(t, 3, 1, 1)
	cut := g.otherThan(g.leader())
	cut.cut = true
	if !g.runUntil(10*time.Second, func() bool { return !g.leader().replica.Node().Membership().IsVoter(cut.id) && g.lossesBorne() == 1 }) {
		t.Fatalf("the voter was not replaced within 10 s: %s", g.describe())
	}
	cut.cut = false
	g.runFor(20 * time.Second)
	member, found := g.leader().replica.Node().Membership().Find(cut.id)
	if !found || !member.Learner {
		t.Fatalf("the replica that was removed is member %v, learner %v, want a learner: %s", found, member.Learner, g.describe())
	}
	if len(g.log) != 3 || g.lossesBorne() != 1 {
		t.Fatalf("%d changes of the members, want 3; %d losses borne, want 1: %s", len(g.log), g.lossesBorne(), g.describe())
	}
}

// Guards against a group that ends when two voters are replaced at once.
func TestTwoVotersAreReplacedAtOnce(t *testing.T) {
	for _, syncTime := range []time.Duration{0, 100, 400} {
		g := newSimGroup(t, 5, 3, 1)
		g.syncTime = syncTime * time.Millisecond
		first := g.leader()
		second := g.otherThan(first)
		g.remove(first)
		g.remove(second)
		g.runFor(successorDelay)
		g.start(g.add())
		g.start(g.add())
		if !g.runUntil(20*time.Second, func() bool { return g.lossesBorne() == 2 && g.leader().replica.Node().Membership().Voters() == 5 }) {
			t.Fatalf("sync %v: %d losses borne after 20 s, want 2: %s", g.syncTime, g.lossesBorne(), g.describe())
		}
	}
}

// Guards against syncs in a row between the removal of a lost voter and the vote of the learner that takes its place: a group
// of two voters bears no loss, and a third doesn't raise the number of acknowledgements that a commit needs.
func TestLearnerVotesBeforeItsSnapshotIsOnDisk(t *testing.T) {
	g := newSimGroup(t, 3, 0, 1)
	g.remove(g.otherThan(g.leader()))
	g.runFor(simRepairAfter + 2*simHeartbeat)
	g.syncTime = 100 * time.Millisecond
	successor := g.add()
	g.start(successor)
	successor.readyAt = g.now // the disk was opened before
	g.runUntil(time.Second, func() bool { return len(g.log) == 2 })
	successor.cut = true // joins, and is not heard of again
	if !g.runUntil(time.Second, func() bool { return g.leader().replica.Node().Membership().IsVoter(successor.id) }) {
		t.Fatalf("the learner is no voter 1 s after the lost voter was removed: %s", g.describe())
	}
	if losses := g.lossesBorne(); losses != 0 {
		t.Fatalf("%d losses borne while the successor has nothing on disk, want 0", losses)
	}
	successor.cut = false
	if !g.runUntil(5*time.Second, func() bool { return g.lossesBorne() == 1 }) {
		t.Fatalf("%d losses borne once the successor is heard again, want 1: %s", g.lossesBorne(), g.describe())
	}
}

// Guards against a wiped replica that returns under its name being kept waiting as long as one that may only be cut off.
func TestWipedReplicaTakesItsOwnPlace(t *testing.T) {
	for _, leader := range []bool{false, true} {
		g := newSimGroup(t, 3, 0, 1)
		wiped := g.leader()
		if !leader {
			wiped = g.otherThan(wiped)
		}
		g.remove(wiped)
		successor := g.add()
		successor.name = wiped.name
		g.start(successor)
		g.runUntil(simRepairAfter, func() bool { return g.leader() != nil && g.leader().replica.Node().Membership().IsVoter(successor.id) })
		if len(g.log) == 0 || !strings.Contains(strings.Join(g.log, " "), reasonNameTaken) {
			t.Fatalf("leader wiped %v: not replaced within %v because its name was taken: %s", leader, simRepairAfter, g.describe())
		}
		g.runFor(5 * time.Second)
		if voters := g.leader().replica.Node().Membership().Voters(); g.lossesBorne() != 1 || voters != 3 {
			t.Fatalf("leader wiped %v: %d losses borne by %d voters, want 1 by 3: %s", leader, g.lossesBorne(), voters, g.describe())
		}
	}
}

// Guards against a replacement that a change of the leader interrupts, at any of its steps.
func TestReplacementGoesOnUnderAnotherLeader(t *testing.T) {
	for _, size := range [][2]int{{3, 0}, {5, 3}} {
		for step := range 12 {
			c := replacement{voters: size[0], learners: size[1], syncTime: 100 * time.Millisecond, seed: 1}
			g := c.begin(t)
			g.runFor(simRepairAfter - successorDelay - 100*time.Millisecond + time.Duration(step)*50*time.Millisecond)
			leader := g.leader()
			leader.cut = true
			g.runFor(time.Second)
			leader.cut = false
			if !g.runUntil(20*time.Second, func() bool {
				return g.lossesBorne() == c.voters/2 && g.leader().replica.Node().Membership().Voters() == c.voters
			}) {
				t.Fatalf("%v, leader cut off at step %d: %d losses borne after 20 s, want %d: %s", c, step, g.lossesBorne(), c.voters/2, g.describe())
			}
		}
	}
}

// Guards against a group that can't elect a leader although three voters are back with all data and only one disk is lost: a new
// leader took a learner that had died long ago for alive, and gave it the vote of the previous leader, which was cut off.
func TestDeadLearnerDoesNotTakeThePlaceOfAVoterThatReturns(t *testing.T) {
	for _, cut := range []time.Duration{2050, 2200, 2400, 2700, 3000} {
		cut *= time.Millisecond
		for seed := range uint64(3) {
			g := newSimGroup(t, 3, 1, seed+1)
			g.remove(g.replicas[3]) // the learner
			g.runFor(20 * time.Second)
			previous := g.leader()
			previous.cut = true
			g.runFor(cut)
			previous.cut = false
			for _, after := range []time.Duration{100, 1000, 2000, 4000} {
				g.runFor(after * time.Millisecond)
				(replacement{voters: 3, learners: 1, seed: seed + 1}).checkLosses(t, g, after*time.Millisecond)
			}
		}
	}
}

// Guards against a learner that is dead for good staying in a group with an even number of voters after a replacement.
func TestSilentLearnerIsRemovedFromAGroupOfAnEvenNumberOfVoters(t *testing.T) {
	g := newSimGroup(t, 4, 1, 1)
	leader := g.leader()
	for _, r := range g.replicas[:4] {
		if r != leader {
			g.remove(r)
			break
		}
	}
	g.runFor(10 * time.Second) // the learner takes its place
	standby := g.add()
	g.start(standby)
	g.runFor(5 * time.Second)
	if leader := g.leader(); leader == nil || leader.replica.Node().Membership().Voters() != 4 {
		t.Fatalf("not complete: %s", g.describe())
	}
	g.remove(standby)
	g.runFor(learnerTimeout + 10*time.Second)
	if _, found := g.leader().replica.Node().Membership().Find(standby.id); found {
		t.Fatalf("learner %s is a member %v after it died", standby.id, learnerTimeout+10*time.Second)
	}
}

// Guards against a voter that is removed while it syncs its first snapshot, which takes longer than RepairAfter, and then again
// and again: each replica that joins takes the place of the one before.
func TestVoterThatSyncsItsFirstSnapshotIsNotReplaced(t *testing.T) {
	for _, ms := range []time.Duration{1000, 1500, 2000, 2500} {
		c := replacement{voters: 3, syncTime: ms * time.Millisecond, seed: 1}
		g := c.begin(t)
		second := g.add()
		g.runFor(500 * time.Millisecond)
		g.start(second) // another replica, to stand by
		g.runFor(30 * time.Second)
		removed := 0
		for _, line := range g.log {
			if strings.Contains(line, "removed") {
				removed++
			}
		}
		if removed > 1 {
			t.Errorf("sync %v: %d voters removed, want the lost one alone: %s", c.syncTime, removed, g.describe())
		}
	}
}

// Guards against a loss that was borne, and then isn't, without a further fault: with two learners that sync their first snapshots, the
// one that joined last is promoted and then removed as silent.
func TestLossesBorneLastOnceTheReplacementVotes(t *testing.T) {
	for _, ms := range []time.Duration{600, 800, 1000, 1500} {
		c := replacement{voters: 3, syncTime: ms * time.Millisecond, seed: 1}
		g := c.begin(t)
		second := g.add()
		g.runFor(500 * time.Millisecond)
		g.start(second)
		began, bornAt := g.now, time.Duration(-1)
		for g.now < began+20*time.Second {
			g.runFor(50 * time.Millisecond)
			borne := g.durablyBears(1)
			if borne && bornAt < 0 {
				bornAt = g.now
			}
			if !borne && bornAt >= 0 && g.now > bornAt {
				t.Errorf("sync %v: borne from %v on, no longer at %v: %s", c.syncTime, bornAt, g.now, g.describe())
				break
			}
		}
	}
}
