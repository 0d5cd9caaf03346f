package gateway

import (
	"strings"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
)

// The placements and the state of the stores are counted by service, also at the scheduler that places for another
// gateway, and the reply tells that gateway where the copy comes from.
func TestStorePlacementsAreCounted(t *testing.T) {
	g := newStoreScheduler(1, 400*time.Millisecond)
	g.now = func() time.Duration { return time.Second }
	g.table.applyStoreRead(time.Second, storeRead(5, "w1", preamblePart), true)
	g.table.applySends(time.Second, []announcement{{StoreReport: &storeindex.Report{Store: testStoreAddress, Epoch: storeindex.Epoch{StartedMS: -1}}}})
	placed := g.placeForPeer(time.Second, newPlacementRequest("t1", 1))
	if placed.CopySource != "store" || placed.SaveTo != testStoreAddress || placed.StoreGap != "" {
		t.Fatalf("reply %+v", placed)
	}
	in := storeInput(g, "subject", &catalog.Tenant{Name: "t", Isolated: true})
	chosen := g.choose(time.Second, in)
	g.announcePlacement(time.Second, chosen, in.call.Parts, belief.Load{})
	families, err := g.Metrics().Gather()
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := strings.TrimPrefix(family.GetName(), "kitetiller_gateway_")
			for _, label := range metric.GetLabel() {
				name += " " + label.GetValue()
			}
			found[name] += metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	for name, want := range map[string]float64{
		"store_copies_total s store": 1, "store_copies_total s store-asked": 1, "store_gaps_total absent s": 1, "store_saves_total started s": 2,
		"store_parts k": 1, "store_silent k": 0, "store_reports_ignored_total invalid": 1,
	} {
		if got, exported := found[name]; got != want || !exported {
			t.Errorf("%s: %v, want %v (exported: %v)", name, got, want, exported)
		}
	}
}

// Names of a later build count as none.
func TestUnknownCopySourceCountsAsNone(t *testing.T) {
	for i, name := range copySourceNames {
		if copySourceFromWire(name) != copySource(i) {
			t.Errorf("%q is read as %q", name, copySourceFromWire(name))
		}
	}
	if copySourceFromWire("later") != copyUnplanned || storeGapFromWire("later") != storeGapNone || storeGapFromWire("slow") != storeGapSlow {
		t.Error("unknown names are not read as none")
	}
}
