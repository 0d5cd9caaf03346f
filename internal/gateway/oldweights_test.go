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

// publishVersion tells a gateway that a version of the model m was named so long before now.
func publishVersion(g *Gateway, version uint64, age time.Duration) {
	g.table.applyWatchReply(g.now(), g.now(), &control.WatchReply{Wanted: []control.WantedVersion{{Model: "m", Version: version, Age: age}}})
}

// newModelRequest returns a request for the model m.
func newModelRequest(g *Gateway) *exchange {
	return &exchange{
		gateway: g, ctx: context.Background(), service: g.view.Load().services["s"], view: g.view.Load(), route: &catalog.Route{},
		call: Call{ID: "r1", Model: "m"}, deadline: time.Hour, cover: cover{covered: true},
	}
}

// chosenAttempt returns an attempt of a request that a gateway has chosen to send to its one back end.
func chosenAttempt(g *Gateway) *attempt {
	x := newModelRequest(g)
	return x.newAttempt(g.choose(g.now(), selectionInput{service: x.service, call: &x.call, trusted: true}))
}

// attemptAt returns an attempt at a back end.
func attemptAt(g *Gateway, row *endpoint) *attempt {
	return newModelRequest(g).newAttempt(&candidate{row: row})
}

// TestVersionMismatchIsLogged: what was expected, believed and answered, with both limits, once a second for each back
// end; an answer on the weights that were wanted leaves no line.
func TestVersionMismatchIsLogged(t *testing.T) {
	now := time.Minute
	g := scheduler(1)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	chosen := chosenAttempt(g)
	chosen.logVersionMismatch(200, Verdict{Signed: true, Version: 1})
	if lines.Len() != 0 {
		t.Fatalf("a line of the weights that were wanted: %v", lines.All())
	}
	publishVersion(g, 2, 10*time.Second)
	for range 3 {
		chosen.logVersionMismatch(200, Verdict{Signed: true, Version: 1})
	}
	now += node.SparseEach
	chosen.logVersionMismatch(421, Verdict{NotRun: true, Version: 3})
	got := lines.FilterMessage(events.WeightsDiffer).All()
	if len(got) != 2 || lines.Len() != 2 {
		t.Fatalf("lines %v", lines.All())
	}
	started, rejected := got[0].ContextMap(), got[1].ContextMap()
	if started[events.FieldLacked] != 10*time.Second || started[events.FieldLimitLeft] != 50*time.Second || started["expected"] != uint64(1) {
		t.Errorf("begun on old weights: %v", started)
	}
	if _, known := started[events.FieldLimitChosen]; known {
		t.Errorf("a limit at the choice, when none was named: %v", started)
	}
	if rejected["answered"] != uint64(3) || rejected["believed"] != uint64(1) || rejected["held"] != int64(2) || rejected[events.FieldLimitLeft] != nil {
		t.Errorf("refused on newer weights: %v", rejected)
	}
}

// Between the choice of a place and the send a connection has to come up, and news of versions may come; the last look before the send
// asked for the back end's state only, so that a request chosen 10 s before a limit was still sent 0.1 s before it, or after a version
// was named whose time had passed. Back ends whose weights nobody knew had no limit at all. And an attempt was ended at its limit to the
// millisecond, though it is over only once the close has reached the back end, and a timer may fire late.
func TestStartDeadlineIsCheckedBeforeSend(t *testing.T) {
	// fresh returns a gateway with one engine on version 1, and its clock. Nothing may begin a minute after a newer version was named.
	fresh := func() (*Gateway, *time.Duration) {
		now := 10 * time.Minute
		g := scheduler(1)
		g.now = func() time.Duration { return now }
		return g, &now
	}
	input := func(g *Gateway) selectionInput {
		return selectionInput{service: g.view.Load().services["s"], call: &Call{Model: "m"}, trusted: true}
	}
	t.Run("a version is named after the choice", func(t *testing.T) {
		g, _ := fresh()
		chosen := chosenAttempt(g)
		if bar := chosen.barred(); bar != "" {
			t.Fatalf("barred before: %s", bar)
		}
		publishVersion(g, 2, time.Minute)
		if chosen.barred() == "" {
			t.Fatal("it is sent")
		}
	})
	t.Run("the limit comes near while the connection comes up", func(t *testing.T) {
		g, now := fresh()
		publishVersion(g, 2, 50*time.Second)
		chosen := chosenAttempt(g)
		*now += 9900 * time.Millisecond
		if chosen.barred() == "" {
			t.Fatal("it is sent")
		}
	})
	t.Run("a scheduler has chosen", func(t *testing.T) {
		g, _ := fresh()
		chosen := chosenAttempt(g)
		plan := g.scheduledCandidate(&wirePlacement{Instance: "i-0", Version: 1}, scheduled{}, input(g))
		chosen = chosen.exchange.newAttempt(plan)
		publishVersion(g, 2, time.Minute)
		if chosen.barred() == "" {
			t.Fatal("it is sent")
		}
	})
	t.Run("the weights are not known", func(t *testing.T) {
		g, now := fresh()
		g.table.rows["i-0"].entry.Versions = nil
		publishVersion(g, 2, 10*time.Second)
		if g.choose(g.now(), input(g)) == nil {
			t.Fatal("nothing is sent although there is time")
		}
		*now += 50 * time.Second
		if g.choose(g.now(), input(g)) != nil {
			t.Fatal("it is sent")
		}
		plain := selectionInput{service: &catalog.Service{Name: "s"}, call: &Call{Model: "m"}, trusted: true}
		if g.choose(g.now(), plain) == nil {
			t.Fatal("a service without weights gets nothing")
		}
	})
	t.Run("it is taken back in time for the close to arrive", func(t *testing.T) {
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
		if context.Cause(waiting.ctx) != errOutdated {
			t.Error("it waits on")
		}
		if started.ctx.Err() != nil {
			t.Error("one that has begun is cut")
		}
	})
}

// TestDeadlineTimerCancelsWaitingRequest: without any news after the one that gave the limit; a limit that moved meanwhile counts.
func TestDeadlineTimerCancelsWaitingRequest(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(10 * time.Minute))
	g := scheduler(1)
	g.now = func() time.Duration { return time.Duration(now.Load()) }
	sent := chosenAttempt(g)
	g.table.begin(g.now(), sent)
	sent.watchStartDeadline()
	left := takeBackMargin + time.Millisecond
	publishVersion(g, 2, g.settings.VersionLimit-left)
	g.watchStartDeadlines()
	if sent.ctx.Err() != nil {
		t.Fatal("taken back too early")
	}
	now.Add(int64(time.Millisecond))
	<-sent.ctx.Done()
	if cause := context.Cause(sent.ctx); cause != errOutdated {
		t.Fatalf("ended for %v", cause)
	}
}

// TestOnlyWaitingRequestsPastDeadlineAreCanceled: whatever is named, learnt, taken off the roster, begun and ended, just those requests are
// taken back that waited when the limit of their back end's weights, as it stood then, was near.
func TestOnlyWaitingRequestsPastDeadlineAreCanceled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 3
		var clock atomic.Int64
		clock.Store(int64(10 * time.Minute))
		g := scheduler(engines)
		g.now = func() time.Duration { return time.Duration(clock.Load()) }
		versions, waiting, late := map[string]uint64{}, map[*attempt]bool{}, map[*attempt]bool{}
		rows := map[string]*endpoint{}
		for id, row := range g.table.rows {
			versions[id], rows[id] = 1, row
		}
		var sent []*attempt
		namedAt, term := map[uint64]time.Duration{}, uint64(0)
		isLate := func(id string) bool {
			for version, at := range namedAt {
				if version > versions[id] && g.now() >= at+g.settings.VersionLimit-takeBackMargin {
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, engines-1).Draw(t, "engine"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				made := attemptAt(g, rows[id])
				g.table.begin(g.now(), made)
				sent, waiting[made] = append(sent, made), true
			case 2:
				if len(sent) > 0 {
					started := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "begun")]
					g.table.recordBytes(g.now(), started)
					delete(waiting, started)
				}
			case 3:
				clock.Add(int64(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second))
			case 4:
				term++ // each answer is another leader's word: of one version the oldest time counts, and none is forgotten
				reply := &control.WatchReply{Version: control.RosterVersion{Term: term}}
				for version := uint64(2); version <= 4; version++ {
					if rapid.Bool().Draw(t, "named") {
						age := time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second
						at, known := namedAt[version]
						namedAt[version] = g.now() - age
						if known {
							namedAt[version] = min(namedAt[version], at)
						}
						reply.Wanted = append(reply.Wanted, control.WantedVersion{Model: "m", Version: version, Age: age})
					}
				}
				g.table.applyWatchReply(g.now(), g.now(), reply)
			case 5:
				version := rapid.Uint64Range(1, 4).Draw(t, "version")
				g.table.recordVersion(g.now(), rows[id], "m", version)
				versions[id] = max(versions[id], version)
				g.table.takeRoster(g.now(), &control.RosterNews{Gone: []string{id}}, nil)
			}
			g.watchStartDeadlines()
			for _, one := range sent {
				if waiting[one] && isLate(one.row.entry.ID) {
					late[one] = true
				}
				if ended := context.Cause(one.ctx) == errOutdated; ended != late[one] {
					t.Fatalf("at %s, %v named, %v held: taken back %v, wanted %v", one.row.entry.ID, namedAt, versions, ended, late[one])
				}
			}
		}
		for _, one := range sent {
			g.table.end(g.now(), one, gradeGood)
		}
		if len(g.table.waiting) > 0 {
			t.Fatalf("%d are kept as waiting", len(g.table.waiting))
		}
	})
}
