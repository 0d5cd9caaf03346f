package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
	"kitetiller/internal/pushback"
)

// names lets a back end name a limit to a gateway.
func names(g *Gateway, id string, rate float64) {
	g.hear(g.table.rows[id], heard{said: pushback.Said{Limit: pushback.Limit{Named: true, Rate: rate}}, status: 200})
}

// TestLimitsAreTold: each change of what a back end names leaves a line, and so does its end, one that can't be read and each word that nothing
// reads; the gauges count who names one.
func TestLimitsAreTold(t *testing.T) {
	now := time.Minute
	g := scheduler(2)
	g.now = func() time.Duration { return now }
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	sent := placedOn(g, g.table.rows["i-0"])
	for _, rate := range []float64{4, 4, 2.5, 2.5} {
		sent.hear(200, Verdict{Signed: true, Said: pushback.Said{Limit: pushback.Limit{Named: true, Rate: rate}}, Strange: []string{"Mood"}})
	}
	placedOn(g, g.table.rows["i-1"]).hear(200, Verdict{LimitUnread: "3,8"})
	got := lines.FilterMessage(events.InstanceLimits).All()
	if len(got) != 3 || got[0].ContextMap()[events.FieldLimit] != 4.0 || got[1].ContextMap()[events.FieldLimit] != 2.5 ||
		got[2].ContextMap()[events.FieldUnread] != "3,8" {
		t.Fatalf("lines %v", got)
	}
	if strange := lines.FilterMessage(events.WordUnknown).All(); len(strange) != 1 {
		t.Errorf("lines of words that nothing reads: %v", strange)
	}
	gauges := make(chan prometheus.Metric, 4)
	newLimitedGauge(g).Collect(gauges)
	if counts, sums := g.table.limited(); len(gauges) != 2 || counts["s"] != 1 || sums["s"] != 2.5 {
		t.Errorf("%d gauges, %v, %v", len(gauges), counts, sums)
	}
	sent.hear(200, Verdict{Signed: true, Unlimited: true, ID: "r1"}) // sent before the limit was heard
	if len(lines.FilterMessage(events.InstanceUnlimited).All()) > 0 {
		t.Fatal("an answer to a request from before ended the limit")
	}
	now += time.Second
	placedOn(g, g.table.rows["i-0"]).hear(200, Verdict{Signed: true, Unlimited: true, ID: "another"})
	if counts, _ := g.table.limited(); counts["s"] != 1 {
		t.Fatal("another request's answer ended the limit")
	}
	placedOn(g, g.table.rows["i-0"]).hear(200, Verdict{Signed: true, Unlimited: true, ID: "r1"})
	if counts, _ := g.table.limited(); len(counts) != 0 || len(lines.FilterMessage(events.InstanceUnlimited).All()) != 1 {
		t.Fatalf("after its end: %v", counts)
	}
}

// TestWordsThatNothingReadsAreBounded: their names come from outside.
func TestWordsThatNothingReadsAreBounded(t *testing.T) {
	var words strangeWords
	logged := 0
	for i := range 10 * strangeMost {
		if words.first(fmt.Sprint(i)) {
			logged++
		}
	}
	if logged != strangeMost || words.first("0") {
		t.Fatalf("%d were logged", logged)
	}
}
