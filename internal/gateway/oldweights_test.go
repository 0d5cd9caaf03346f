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
