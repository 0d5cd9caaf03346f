package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// TestOneGatewayReadsAStore: of the gateways one reads a store; when it falls silent, another does within 3 s. Without a
// latency-critical service nobody reads it.
func TestOneGatewayReadsAStore(t *testing.T) {
	const store = "10.0.0.9:1"
	document := func(revision uint64, objective time.Duration) *catalog.Document {
		return &catalog.Document{
			Revision: revision, Services: []catalog.Service{{Name: "e", Engine: true}, {Name: "k", StoreAddress: store, Zone: "z"}},
			Routes: []catalog.Route{{Name: "r", Streaming: true, Objective: objective, Targets: []catalog.Target{{Service: "e", Weight: 1}}}},
		}
	}
	s := openSingleReplica(t, t.TempDir())
	s.ask(Request{Catalog: &catalog.Command{Replace: document(1, 400*time.Millisecond)}})
	reads := func(gateway string) bool {
		reply := s.ask(Request{Watch: &Watch{Gateway: gateway, Zone: "z", Address: gateway}}).Watch
		return reply != nil && len(reply.StoreSources) == 1 && reply.StoreSources[0] == store
	}
	for _, gateway := range []string{"g1", "g2", "g1", "g2"} { // until control has listed both
		reads(gateway)
		s.advance(layoutInterval)
	}
	first, second := "g1", "g2"
	if reads("g2") {
		first, second = second, first
	}
	if !reads(first) || reads(second) {
		t.Fatalf("%s reads the store: %v, %s: %v; want one", first, reads(first), second, reads(second))
	}
	took := time.Duration(0)
	for ; !reads(second) && took < 10*time.Second; took += 100 * time.Millisecond {
		s.advance(100 * time.Millisecond)
	}
	if took > 3*time.Second {
		t.Errorf("%s reads the store %v after the reader fell silent, want within 3 s", second, took)
	}
	s.ask(Request{Catalog: &catalog.Command{Replace: document(2, time.Second)}})
	if reads(first) || reads(second) {
		t.Error("a store is read although no service is latency-critical")
	}
}
