package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
	"kitetiller/internal/pushback"
)

// TestWishesForRestAreTold: each refusal with its wish leaves what was asked for and until when, a line a second for each back end; a wish
// that can't be read leaves what it was; a send into a rest can be told at its end; the gauge counts who rests.
func TestWishesForRestAreTold(t *testing.T) {
	now := time.Minute
	g := scheduler(2)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	sent := placedOn(g, g.table.rows["i-0"])
	for range 3 {
		sent.hear(503, Verdict{NotRun: true, Said: pushback.Said{Rest: 3 * time.Second}})
	}
	placedOn(g, g.table.rows["i-1"]).hear(503, Verdict{NotRun: true, Unread: "soon"})
	got := lines.FilterMessage(events.InstanceRests).All()
	if len(got) != 2 {
		t.Fatalf("lines %v", lines.All())
	}
	asked, unread := got[0].ContextMap(), got[1].ContextMap()
	if asked[events.FieldRest] != 3*time.Second || asked[events.FieldRestLeft].(time.Duration) < 3*time.Second || asked[events.FieldRequest] != "r1" {
		t.Errorf("asked for rest: %v", asked)
	}
	if unread[events.FieldUnread] != "soon" || unread[events.FieldRestLeft] != time.Duration(0) {
		t.Errorf("a wish that can't be read: %v", unread)
	}
	again := placedOn(g, g.table.rows["i-0"])
	now += time.Second
	again.begin()
	again.exchange.logFailure(again, result{kind: resultNotRun, cause: "503"})
	if failed := lines.FilterMessage(events.AttemptFailed).All()[0].ContextMap(); failed[events.FieldSentAtRest].(time.Duration) < 2*time.Second {
		t.Errorf("sent at rest: %v", failed)
	}
	if n := g.table.resting(now)["s"]; n != 1 {
		t.Errorf("%d rest", n)
	}
	gauges := make(chan prometheus.Metric, 2)
	newRestingGauge(g).Collect(gauges)
	if len(gauges) != 1 {
		t.Errorf("%d gauges of one service", len(gauges))
	}
}
