package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

// TestMeshExcludesSilentGateways: gateways without a recent watch are not part of the mesh.
func TestMeshExcludesSilentGateways(t *testing.T) {
	r := &Replica{machine: NewMachine(guard.Set{}), leader: &leaderState{usage: map[string]usageReport{
		"a": {zone: "z", address: "a", receivedAt: 10 * time.Second}, "b": {zone: "z", address: "b", receivedAt: time.Second},
		"c": {zone: "z", address: "c", receivedAt: 10 * time.Second}, "d": {zone: "y", address: "d", receivedAt: time.Second},
	}}}
	r.leader.planner = &mesh.Planner{}
	if mesh := r.layout(10*time.Second).Mesh.MeshOf("z", "a"); len(mesh.Row) != 1 || mesh.Row[0] != "c" || len(mesh.OtherZones) > 0 {
		t.Fatalf("mesh %+v, want only c in the row", mesh)
	}
}

// TestRosterUpdatesAreRateLimited: successive changes are published together, at an interval that grows with the number
// of gateways.
func TestRosterUpdatesAreRateLimited(t *testing.T) {
	l := &leaderState{term: 1, usage: map[string]usageReport{}, publishedAt: -time.Second}
	for i := range 100 {
		l.usage[fmt.Sprint(i)] = usageReport{}
	}
	held := RosterVersion{Term: 1}
	publishes := func(now time.Duration) bool {
		l.markRosterChanged()
		l.publishRosterIfDue(now)
		return l.hasRosterUpdate(held)
	}
	if !publishes(0) {
		t.Fatal("the first change was not published at once")
	}
	held.Count = l.rosterCount
	if publishes(50*time.Millisecond) || !publishes(110*time.Millisecond) {
		t.Fatal("a change was published too early or too late")
	}
	held.Count = l.rosterCount
	for i := range 1000 {
		l.usage[fmt.Sprint(i)] = usageReport{}
	}
	if !publishes(110*time.Millisecond + roster.PublishInterval(1<<20)) {
		t.Fatal("a change was not published within the maximum interval")
	}
	if !l.hasRosterUpdate(RosterVersion{Term: 2, Count: 1 << 40}) {
		t.Fatal("no update for a gateway with a roster of another leader")
	}
}
