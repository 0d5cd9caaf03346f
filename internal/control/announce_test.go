package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

func TestBatchesReachAllNames(t *testing.T) {
	var names []string
	for i := range 150 {
		names = append(names, fmt.Sprint(i))
	}
	reached := map[string]bool{}
	for round := range 3 {
		batch := batchOf(names, 64, round)
		if len(batch) > 64 {
			t.Fatalf("round %d has %d names", round, len(batch))
		}
		for _, name := range batch {
			reached[name] = true
		}
	}
	if len(reached) != len(names) {
		t.Fatalf("%d of %d names were reached", len(reached), len(names))
	}
	if got := batchOf(names[:3], 64, 7); !slices.Equal(got, names[:3]) {
		t.Fatalf("got %v, want all", got)
	}
}

// TestLeaderAnnouncesTheGroupToSilentGateways guards against gateways that restart when the machines of all configured replicas
// are gone, and can't find the group: a new leader knows their addresses from the log, and one that polls needs no announcement.
func TestLeaderAnnouncesTheGroupToSilentGateways(t *testing.T) {
	r := openSingleReplica(t, t.TempDir()).replica
	addresses := map[string]string{"g1": "10.0.0.1:1", "g2": "10.0.0.2:1", "g3": "10.0.0.3:1"}
	r.machine.catalog.Apply(catalog.Command{AddGateways: []string{"g1", "g2", "g3"}, GatewayAddresses: addresses})
	r.machine.catalog.Apply(catalog.Command{RemoveGateways: []string{"g3"}}) // after a long silence
	now := r.leader.startedAt
	if got := r.silentGateways(now); got != nil {
		t.Fatalf("at the start of the term the group is announced to %v, which may be about to poll", got)
	}
	now += gatewaySilence
	r.leader.usage["g1"] = usageReport{receivedAt: now, address: "10.0.0.1:1"}
	if got, want := r.silentGateways(now), []string{"10.0.0.2:1", "10.0.0.3:1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got := r.silentGateways(now + gatewaySilence); len(got) != len(addresses) {
		t.Fatalf("after %v of silence got %v, want all", gatewaySilence, got)
	}
	r.leader = nil
	if got := r.silentGateways(now + time.Hour); got != nil {
		t.Fatalf("a follower announces the group to %v", got)
	}
}
