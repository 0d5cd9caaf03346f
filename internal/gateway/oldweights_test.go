package gateway

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// name tells a gateway that a version of the model m was named so long before now.
func name(g *Gateway, version uint64, age time.Duration) {
	g.table.takeNews(g.now(), &control.WatchReply{Wanted: []control.WantedVersion{{Model: "m", Version: version, Age: age}}})
}

// placedAt returns an attempt of a request for the model m that a gateway has chosen to send to the back end i-0.
func placedAt(g *Gateway) *attempt {
	x := &exchange{
		gateway: g, ctx: context.Background(), service: g.view.Load().services["s"], view: g.view.Load(), route: &catalog.Route{},
		call: Call{ID: "r1", Model: "m"}, deadline: time.Hour, cover: cover{covered: true},
	}
	wish := need{service: x.service, call: &x.call, trusted: true}
	return x.newAttempt(g.choose(g.now(), wish))
}

// TestAnswersOnOtherWeightsAreTold: what was expected, believed and answered, with both limits, once a second for each back
// end; an answer on the weights that were wanted leaves no line.
func TestAnswersOnOtherWeightsAreTold(t *testing.T) {
	now := time.Minute
	g := scheduler(1)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	chosen := placedAt(g)
	chosen.noteWeights(200, Verdict{Signed: true, Version: 1})
	if lines.Len() != 0 {
		t.Fatalf("a line of the weights that were wanted: %v", lines.All())
	}
	name(g, 2, 10*time.Second)
	for range 3 {
		chosen.noteWeights(200, Verdict{Signed: true, Version: 1})
	}
	now += sparseEach
	chosen.noteWeights(421, Verdict{NotRun: true, Version: 3})
	got := lines.FilterMessage(events.WeightsDiffer).All()
	if len(got) != 2 || lines.Len() != 2 {
		t.Fatalf("lines %v", lines.All())
	}
	begun, refused := got[0].ContextMap(), got[1].ContextMap()
	if begun[events.FieldLacked] != 10*time.Second || begun[events.FieldLimitLeft] != 50*time.Second || begun["expected"] != uint64(1) {
		t.Errorf("begun on old weights: %v", begun)
	}
	if _, known := begun[events.FieldLimitChosen]; known {
		t.Errorf("a limit at the choice, when none was named: %v", begun)
	}
	if refused["answered"] != uint64(3) || refused["believed"] != uint64(1) || refused["held"] != int64(2) || refused[events.FieldLimitLeft] != nil {
		t.Errorf("refused on newer weights: %v", refused)
	}
}

// Between the choice of a place and the send a connection has to come up, and news of versions may come; the last look before the send
// asked for the back end's state only, so that a request chosen 10 s before a limit was still sent 0.1 s before it, or after a version
// was named whose time had passed. Back ends whose weights nobody knew had no limit at all. And an attempt was ended at its limit to the
// millisecond, though it is over only once the close has reached the back end, and a timer may fire late.
func TestLimitOfOldWeightsHoldsWhenSent(t *testing.T) {
	// fresh returns a gateway with one engine on version 1, and its clock. Nothing may begin a minute after a newer version was named.
	fresh := func() (*Gateway, *time.Duration) {
		now := 10 * time.Minute
		g := scheduler(1)
		g.now = func() time.Duration { return now }
		return g, &now
	}
	wish := func(g *Gateway) need {
		return need{service: g.view.Load().services["s"], call: &Call{Model: "m"}, trusted: true}
	}
	t.Run("a version is named after the choice", func(t *testing.T) {
		g, _ := fresh()
		chosen := placedAt(g)
		if bar := chosen.barred(); bar != "" {
			t.Fatalf("barred before: %s", bar)
		}
		name(g, 2, time.Minute)
		if chosen.barred() == "" {
			t.Fatal("it is sent")
		}
	})
	t.Run("the limit comes near while the connection comes up", func(t *testing.T) {
		g, now := fresh()
		name(g, 2, 50*time.Second)
		chosen := placedAt(g)
		*now += 9900 * time.Millisecond
		if chosen.barred() == "" {
			t.Fatal("it is sent")
		}
	})
	t.Run("a scheduler has chosen", func(t *testing.T) {
		g, _ := fresh()
		chosen := placedAt(g)
		plan := g.scheduledCandidate(&wirePlacement{Instance: "i-0", Version: 1}, scheduled{}, wish(g))
		chosen = chosen.exchange.newAttempt(plan)
		name(g, 2, time.Minute)
		if chosen.barred() == "" {
			t.Fatal("it is sent")
		}
	})
	t.Run("the weights are not known", func(t *testing.T) {
		g, _ := fresh()
		g.table.rows["i-0"].entry.Versions = nil
		name(g, 2, 10*time.Second)
		if g.choose(g.now(), wish(g)) == nil {
			t.Fatal("nothing is sent although there is time")
		}
		name(g, 2, time.Minute)
		if g.choose(g.now(), wish(g)) != nil {
			t.Fatal("it is sent")
		}
		plain := need{service: &catalog.Service{Name: "s"}, call: &Call{Model: "m"}, trusted: true}
		if g.choose(g.now(), plain) == nil {
			t.Fatal("a service without weights gets nothing")
		}
	})
	t.Run("it is taken back in time for the close to arrive", func(t *testing.T) {
		g, now := fresh()
		name(g, 2, 50*time.Second)
		waits, begun := placedAt(g), placedAt(g)
		for _, sent := range []*attempt{waits, begun} {
			g.table.begin(g.now(), sent)
		}
		g.table.spoke(g.now(), begun)
		*now += 9900 * time.Millisecond
		waits.watchLimit()
		begun.watchLimit()
		if context.Cause(waits.ctx) != errOutdated {
			t.Error("it waits on")
		}
		if begun.ctx.Err() != nil {
			t.Error("one that has begun is cut")
		}
	})
}
