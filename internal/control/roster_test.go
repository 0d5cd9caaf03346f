package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

// TestMeshExcludesSilentGateways: who has not asked lately is not told, and is not counted on to tell others.
func TestMeshExcludesSilentGateways(t *testing.T) {
	r := &Replica{machine: NewMachine(guard.Set{}), leader: &leaderState{usage: map[string]usageReport{
		"a": {zone: "z", address: "a", receivedAt: 10 * time.Second}, "b": {zone: "z", address: "b", receivedAt: time.Second},
		"c": {zone: "z", address: "c", receivedAt: 10 * time.Second}, "d": {zone: "y", address: "d", receivedAt: time.Second},
	}}}
	r.leader.planner = &mesh.Planner{}
	if made := r.layout(10*time.Second).Mesh.MeshOf("z", "a"); len(made.Row) != 1 || made.Row[0] != "c" || len(made.OtherZones) > 0 {
		t.Fatalf("mesh %+v", made)
	}
}

// TestRosterUpdatesAreRateLimited: changes that follow each other are told together, the sooner the fewer gateways there are.
func TestRosterUpdatesAreRateLimited(t *testing.T) {
	l := &leaderState{term: 1, usage: map[string]usageReport{}, publishedAt: -time.Second}
	for i := range 100 {
		l.usage[fmt.Sprint(i)] = usageReport{}
	}
	held := RosterVersion{Term: 1}
	tells := func(now time.Duration) bool {
		l.markRosterChanged()
		l.publishRosterIfDue(now)
		return l.hasRosterUpdate(held)
	}
	if !tells(0) {
		t.Fatal("the first change is held back")
	}
	held.Count = l.rosterCount
	if tells(50*time.Millisecond) || !tells(110*time.Millisecond) {
		t.Fatal("a change is told too soon or too late")
	}
	held.Count = l.rosterCount
	for i := range 1000 {
		l.usage[fmt.Sprint(i)] = usageReport{}
	}
	if !tells(110*time.Millisecond + roster.PublishInterval(1<<20)) {
		t.Fatal("a change is held back for longer than the longest telling")
	}
	if !l.hasRosterUpdate(RosterVersion{Term: 2, Count: 1 << 40}) {
		t.Fatal("a gateway with another leader's roster is not told")
	}
}
