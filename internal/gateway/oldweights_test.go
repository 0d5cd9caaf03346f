package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// publishVersion reports to a gateway that a version of the model m was published an age ago.
func publishVersion(g *Gateway, version uint64, age time.Duration) {
	g.table.applyWatchReply(g.now(), g.now(), &control.WatchReply{Publications: []control.WeightsPublication{{Model: "m", Version: version, Age: age}}})
}

// newModelRequest returns a request for the model m.
func newModelRequest(g *Gateway) *exchange {
	return &exchange{
		gateway: g, ctx: context.Background(), service: g.view.Load().services["s"], view: g.view.Load(), route: &catalog.Route{},
		call: Call{ID: "r1", Model: "m"}, deadline: time.Hour, quotaLease: quotaLease{acquired: true},
	}
}

// chosenAttempt returns an attempt at the back end that the gateway chooses.
func chosenAttempt(g *Gateway) *attempt {
	x := newModelRequest(g)
	return x.newAttempt(g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}))
}

// attemptAt returns an attempt at a back end.
func attemptAt(g *Gateway, row *endpoint) *attempt {
	return newModelRequest(g).newAttempt(&candidate{row: row})
}

// A mismatch is logged with all versions and deadlines, at most once a second for each back end; a response on the
// expected weights is not logged.
func TestVersionMismatchIsLogged(t *testing.T) {
	now := time.Minute
	g := newScheduler(1)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	chosen := chosenAttempt(g)
	chosen.logVersionMismatch(200, ResponseInfo{Signed: true, WeightsVersion: 1})
	if lines.Len() != 0 {
		t.Fatalf("response on the expected weights was logged: %v", lines.All())
	}
	publishVersion(g, 2, 10*time.Second)
	for range 3 {
		chosen.logVersionMismatch(200, ResponseInfo{Signed: true, WeightsVersion: 1})
	}
	now += node.LogLimitInterval
	chosen.logVersionMismatch(421, ResponseInfo{NotRun: true, WeightsVersion: 3})
	got := lines.FilterMessage(events.WeightsMismatch).All()
	if len(got) != 2 || lines.Len() != 2 {
		t.Fatalf("unexpected log lines: %v", lines.All())
	}
	started, rejected := got[0].ContextMap(), got[1].ContextMap()
	if started[events.FieldOutdatedFor] != 10*time.Second || started[events.FieldStartDeadline] != 50*time.Second || started["expected"] != uint64(1) {
		t.Errorf("start on outdated weights: %v", started)
	}
	if _, known := started[events.FieldPlacementDeadline]; known {
		t.Errorf("deadline at the decision logged, want none: %v", started)
	}
	if rejected["answered"] != uint64(3) || rejected["believed"] != uint64(1) || rejected["held"] != int64(2) || rejected[events.FieldStartDeadline] != nil {
		t.Errorf("rejection on newer weights: %v", rejected)
	}
}

// Guards against sending a request whose start deadline is near, was set after the decision or belongs to unknown
// weights, and against canceling one too late for the close to reach the back end in time.
func TestStartDeadlineIsCheckedBeforeSend(t *testing.T) {
	// fresh returns a gateway with one engine on version 1, and its clock. Requests must start within a minute of the
	// publication of a newer version.
	fresh := func() (*Gateway, *time.Duration) {
		now := 10 * time.Minute
		g := newScheduler(1)
		g.now = func() time.Duration { return now }
		return g, &now
	}
	input := func(g *Gateway) selectionInput {
		return selectionInput{service: g.view.Load().services["s"], call: &Call{Model: "m"}, trusted: true}
	}
	t.Run("version published after the decision", func(t *testing.T) {
		g, _ := fresh()
		chosen := chosenAttempt(g)
		if cause := chosen.recheckConditions(); cause != "" {
			t.Fatalf("restricted before publication: %s", cause)
		}
		publishVersion(g, 2, time.Minute)
		if chosen.recheckConditions() == "" {
			t.Fatal("the request may still be sent")
		}
	})
	t.Run("deadline nears during the connection setup", func(t *testing.T) {
		g, now := fresh()
		publishVersion(g, 2, 50*time.Second)
		chosen := chosenAttempt(g)
		*now += 9900 * time.Millisecond
		if chosen.recheckConditions() == "" {
			t.Fatal("the request may still be sent")
		}
	})
	t.Run("placed by a scheduler", func(t *testing.T) {
		g, _ := fresh()
		chosen := chosenAttempt(g)
		plan := g.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 1}, schedulerPlacement{}, input(g))
		chosen = chosen.exchange.newAttempt(plan)
		publishVersion(g, 2, time.Minute)
		if chosen.recheckConditions() == "" {
			t.Fatal("the request may still be sent")
		}
	})
	t.Run("unknown weights", func(t *testing.T) {
		g, now := fresh()
		g.table.rows["i-0"].entry.Versions = nil
		publishVersion(g, 2, 10*time.Second)
		if g.choose(g.now(), input(g)) == nil {
			t.Fatal("no back end chosen before the deadline")
		}
		*now += 50 * time.Second
		if g.choose(g.now(), input(g)) != nil {
			t.Fatal("a back end was chosen after the deadline")
		}
		plain := selectionInput{service: &catalog.Service{Name: "s"}, call: &Call{Model: "m"}, trusted: true}
		if g.choose(g.now(), plain) == nil {
			t.Fatal("no back end chosen for a service without weights")
		}
	})
	t.Run("canceled before the deadline", func(t *testing.T) {
		g, now := fresh()
		publishVersion(g, 2, 50*time.Second)
		waiting, started := chosenAttempt(g), chosenAttempt(g)
		for _, sent := range []*attempt{waiting, started} {
			g.table.begin(g.now(), sent)
		}
		g.table.recordBytes(g.now(), started)
		*now += 9900 * time.Millisecond
		waiting.watchStartDeadline()
		started.watchStartDeadline()
		if context.Cause(waiting.ctx) != errWeightsOutdated {
			t.Error("waiting attempt was not canceled")
		}
		if started.ctx.Err() != nil {
			t.Error("started attempt was canceled")
		}
	})
}

// The timer cancels a waiting attempt without further updates, at the deadline that is current when it fires.
func TestDeadlineTimerCancelsWaitingRequest(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(10 * time.Minute))
	g := newScheduler(1)
	g.now = func() time.Duration { return time.Duration(now.Load()) }
	sent := chosenAttempt(g)
	g.table.begin(g.now(), sent)
	sent.watchStartDeadline()
	left := cancelMargin + time.Millisecond
	publishVersion(g, 2, g.settings.OldWeightsStartLimit-left)
	g.watchStartDeadlines()
	if sent.ctx.Err() != nil {
		t.Fatal("canceled too early")
	}
	now.Add(int64(time.Millisecond))
	<-sent.ctx.Done()
	if cause := context.Cause(sent.ctx); cause != errWeightsOutdated {
		t.Fatalf("cause of cancellation = %v", cause)
	}
}

// Under any sequence of events, exactly those attempts are canceled that were waiting when the current start
// deadline of their back end's weights was near.
func TestOnlyWaitingRequestsPastDeadlineAreCanceled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 3
		var clock atomic.Int64
		clock.Store(int64(10 * time.Minute))
		g := newScheduler(engines)
		g.now = func() time.Duration { return time.Duration(clock.Load()) }
		versions, waiting, late := map[string]uint64{}, map[*attempt]bool{}, map[*attempt]bool{}
		rows := map[string]*endpoint{}
		for id, row := range g.table.rows {
			versions[id], rows[id] = 1, row
		}
		var sent []*attempt
		publishedAt, term := map[uint64]time.Duration{}, uint64(0)
		isLate := func(id string) bool {
			for version, at := range publishedAt {
				if version > versions[id] && g.now() >= at+g.settings.OldWeightsStartLimit-cancelMargin {
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, engines-1).Draw(t, "engine"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				added := attemptAt(g, rows[id])
				g.table.begin(g.now(), added)
				sent, waiting[added] = append(sent, added), true
			case 2:
				if len(sent) > 0 {
					started := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "begun")]
					g.table.recordBytes(g.now(), started)
					delete(waiting, started)
				}
			case 3:
				clock.Add(int64(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second))
			case 4:
				term++ // each reply is from another leader: the earliest time of a version counts, and none is forgotten
				reply := &control.WatchReply{Version: control.RosterVersion{Term: term}}
				for version := uint64(2); version <= 4; version++ {
					if rapid.Bool().Draw(t, "named") {
						age := time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second
						at, known := publishedAt[version]
						publishedAt[version] = g.now() - age
						if known {
							publishedAt[version] = min(publishedAt[version], at)
						}
						reply.Publications = append(reply.Publications, control.WeightsPublication{Model: "m", Version: version, Age: age})
					}
				}
				g.table.applyWatchReply(g.now(), g.now(), reply)
			case 5:
				version := rapid.Uint64Range(1, 4).Draw(t, "version")
				g.table.recordVersion(g.now(), rows[id], "m", version)
				versions[id] = max(versions[id], version)
				g.table.applyRoster(g.now(), &control.RosterUpdate{Removed: []string{id}}, nil)
			}
			g.watchStartDeadlines()
			for _, attempted := range sent {
				if waiting[attempted] && isLate(attempted.row.entry.ID) {
					late[attempted] = true
				}
				if ended := context.Cause(attempted.ctx) == errWeightsOutdated; ended != late[attempted] {
					t.Fatalf("at %s, published %v, versions %v: canceled %v, want %v", attempted.row.entry.ID, publishedAt, versions, ended, late[attempted])
				}
			}
		}
		for _, attempted := range sent {
			g.table.end(g.now(), attempted, outcomeSuccess)
		}
		if len(g.table.waiting) > 0 {
			t.Fatalf("%d attempts still waiting after their end", len(g.table.waiting))
		}
	})
}
