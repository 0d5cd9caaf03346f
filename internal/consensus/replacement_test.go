package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two leases, two leaders of a term or entries that differ while voters are replaced by empty replicas, which are
// promoted without state when the number of voters is even, and while all restart.
func TestLogsAgreeWhileEmptyReplicasReplaceVoters(t *testing.T) {
	promotedEmpty, replaced := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MessageBytes: rapid.SampledFrom([]int{0, 80}).Draw(t, "message limit")}
		c := newClusterWithLimits(3, rapid.Uint64().Draw(t, "seed"), limits, t.Fatalf)
		c.runFor(3 * time.Second)
		c.propose("first")
		c.runFor(time.Second)
		for _, r := range c.replicas {
			c.compact(r)
		}
		created, proposals := 0, 0
		any := func(t *rapid.T) *replica { return c.replicas[rapid.IntRange(0, len(c.replicas)-1).Draw(t, "replica")] }
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
			"run":     func(t *rapid.T) { c.runFor(time.Duration(rapid.IntRange(20, 900).Draw(t, "ms")) * time.Millisecond) },
			"propose": func(*rapid.T) { proposals++; c.propose(fmt.Sprint(proposals)) },
			"deliver": func(t *rapid.T) {
				for range min(len(c.inFlight), rapid.IntRange(1, 12).Draw(t, "count")) {
					c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "position"))
				}
			},
			"replace": func(t *rapid.T) {
				leader := c.leader()
				if leader == nil || len(c.replicas) > 8 {
					return
				}
				m := leader.node.Membership()
				if m.Voters() < 3 {
					return
				}
				for _, member := range m.Members {
					if !member.Learner && member.ID != leader.id && rapid.Bool().Draw(t, "this one") {
						created++
						joining := &replica{id: ID(fmt.Sprintf("e%d", created)), syncTime: time.Duration(rapid.IntRange(0, 900).Draw(t, "sync ms")) * time.Millisecond}
						if _, _, ok := leader.node.ProposeMembership(c.now, m.Without(member.ID).With(Member{ID: joining.id, Learner: true})); ok {
							replaced++
							c.replicas = append(c.replicas, joining)
							c.start(joining)
						}
						c.process(leader)
						return
					}
				}
			},
			"promote": func(t *rapid.T) {
				leader := c.leader()
				if leader == nil {
					return
				}
				m := leader.node.Membership()
				for _, peer := range leader.node.Peers() {
					member, _ := m.Find(peer.ID)
					if member.Learner && (m.Voters()%2 == 0 || peer.Match > 0) {
						member.Learner = false
						if _, _, ok := leader.node.ProposeMembership(c.now, m.With(member)); ok && peer.Match == 0 {
							promotedEmpty++
						}
						c.process(leader)
						return
					}
				}
			},
			"cut":  func(t *rapid.T) { c.partitioned[any(t).id] = true },
			"heal": func(*rapid.T) { clear(c.partitioned) },
			"kill": func(t *rapid.T) { c.kill(any(t)) },
			"slow": func(t *rapid.T) {
				any(t).syncTime = time.Duration(rapid.IntRange(0, 2000).Draw(t, "sync ms")) * time.Millisecond
			},
			"compact": func(t *rapid.T) {
				if r := any(t); r.running && r.node.LastIndex() > 0 {
					c.compact(r)
				}
			},
			"restart": func(t *rapid.T) {
				for _, r := range c.replicas {
					if r.running {
						c.kill(r)
					}
				}
				for _, r := range c.replicas {
					c.start(r)
				}
			},
			"start": func(t *rapid.T) {
				if r := any(t); !r.running {
					c.start(r)
				}
			},
		})
	})
	t.Logf("%d voters replaced, %d promoted without state", replaced, promotedEmpty)
}
