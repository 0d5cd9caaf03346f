package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// gatewaysInZones returns gateways for zones of the given sizes, and the zone of each by name.
func gatewaysInZones(sizes ...int) (gateways []Gateway, zoneOf map[string]int) {
	zoneOf = map[string]int{}
	for zone, size := range sizes {
		for i := range size {
			name := fmt.Sprintf("g-%d-%02d", zone, i)
			gateways = append(gateways, Gateway{Peer: Peer{Name: name, Address: name}, Zone: fmt.Sprint(zone)})
			zoneOf[name] = zone
		}
	}
	return gateways, zoneOf
}

// TestMeshReachesEverySchedulerOnce: an announcement from any gateway reaches every scheduler once and enters each
// other zone once, for zones of any size. With AllSchedule set, every gateway is a scheduler.
func TestMeshReachesEverySchedulerOnce(t *testing.T) {
	for _, allSchedule := range []bool{false, true} {
		for _, sizes := range [][]int{{1}, {2}, {9}, {10}, {3, 2, 2}, {28, 26, 24}, {1, 30}, {17, 5, 40}, {25, 25, 25, 24, 26}, {58, 54, 61, 60, 62}} {
			gateways, zoneOf := gatewaysInZones(sizes...)
			planner := Planner{AllSchedule: allSchedule}
			planner.Plan(time.Second, gateways)
			layout, _ := planner.Layout()
			meshes := map[string]Mesh{}
			for _, g := range gateways {
				meshes[g.Name] = layout.MeshOf(g.Zone, g.Name)
			}
			for origin := range meshes {
				checkReach(t, origin, meshes, zoneOf, sizes, !allSchedule)
			}
		}
	}
}

// checkReach follows an announcement from one gateway, through a scheduler of its zone if it is not a scheduler, over
// the mesh.
func checkReach(t *testing.T, origin string, meshes map[string]Mesh, zoneOf map[string]int, sizes []int, choosesSchedulers bool) {
	t.Helper()
	received, crossed := map[string]int{}, 0
	deliver := func(addresses []string, from string, next func(string)) {
		for _, a := range addresses {
			received[a]++
			if zoneOf[a] != zoneOf[from] {
				crossed++
			}
			next(a)
		}
	}
	deliverColumn := func(name string) { deliver(meshes[name].Column, name, func(string) {}) }
	deliverInZone := func(name string) {
		deliverColumn(name)
		deliver(meshes[name].Row, name, deliverColumn)
	}
	first := origin
	if serving := meshes[origin].Schedulers; len(serving) > 0 {
		first = serving[0]
	}
	received[first]++
	deliverInZone(first)
	deliver(meshes[first].OtherZones, first, deliverInZone)
	want := map[string]bool{}
	for name, mesh := range meshes {
		if len(mesh.Schedulers) == 0 {
			want[name] = true
		}
		for _, scheduler := range mesh.Schedulers {
			if zoneOf[scheduler] != zoneOf[name] || len(meshes[scheduler].Schedulers) > 0 {
				t.Fatalf("zones %v: %s sends placement requests to %s", sizes, name, scheduler)
			}
		}
	}
	for name, times := range received {
		if times != 1 || !want[name] {
			t.Fatalf("zones %v: an announcement from %s reaches %s %d times", sizes, origin, name, times)
		}
	}
	if len(received) != len(want) || crossed != len(sizes)-1 || !choosesSchedulers && len(want) != len(meshes) {
		t.Fatalf("zones %v: an announcement from %s reaches %d of %d schedulers and crosses zones %d times", sizes, origin, len(received), len(want), crossed)
	}
}

// TestSchedulersAreFewAndStable: all gateways of a small zone are schedulers, and a few of a large one. When one
// leaves, the others stay, and its replacement receives placement requests after the warm-up.
func TestSchedulersAreFewAndStable(t *testing.T) {
	gateways, _ := gatewaysInZones(58, 54, 61, 60, 62)
	var planner Planner
	schedulers := func(now time.Duration) (names []string, serving []string) {
		planner.Plan(now, gateways)
		layout, _ := planner.Layout()
		for _, peer := range layout.Zones["2"].Schedulers {
			names = append(names, peer.Name)
		}
		return names, layout.Zones["2"].Serving
	}
	before, _ := schedulers(time.Second)
	if want := (targetSchedulers + 4) / 5; len(before) != want {
		t.Fatalf("%d schedulers of 61 gateways in one of five zones, want %d", len(before), want)
	}
	gateways = slices.DeleteFunc(gateways, func(g Gateway) bool { return g.Name == before[0] })
	now := time.Second + schedulerWarmUp
	after, serving := schedulers(now)
	added := slices.DeleteFunc(slices.Clone(after), func(name string) bool { return slices.Contains(before, name) })
	if len(after) != len(before) || len(added) != 1 {
		t.Fatalf("schedulers %v, then %v", before, after)
	}
	if slices.Contains(serving, added[0]) || len(serving) != len(after)-1 {
		t.Fatalf("schedulers that accept requests: %v, although %v has yet to warm up", serving, added)
	}
	if _, serving = schedulers(now + schedulerWarmUp); !slices.Contains(serving, added[0]) {
		t.Fatalf("schedulers that accept requests: %v, want %v among them", serving, added)
	}
	small, _ := gatewaysInZones(3, 2, 2)
	var smallPlanner Planner
	smallPlanner.Plan(time.Second, small)
	layout, _ := smallPlanner.Layout()
	for _, g := range small {
		if mesh := layout.MeshOf(g.Zone, g.Name); len(mesh.Schedulers) > 0 {
			t.Fatalf("%s of a small fleet sends placement requests to %v", g.Name, mesh.Schedulers)
		}
	}
	if mesh := layout.MeshOf("0", "newcomer"); len(mesh.Schedulers)+len(mesh.Row) > 0 {
		t.Fatalf("mesh of a gateway that is not in the layout: %+v, want none", mesh)
	}
}

// TestFleetSchedulersAreTheSameForAllGateways guards against gateways that choose different schedulers for one service:
// each is told the serving schedulers of all zones, also one that is not in the layout yet. While every gateway is a
// scheduler, none is told any.
func TestFleetSchedulersAreTheSameForAllGateways(t *testing.T) {
	gateways, _ := gatewaysInZones(26, 27, 26, 2)
	var planner Planner
	planner.Plan(time.Second, gateways)
	layout, _ := planner.Layout()
	var want []string
	for _, zone := range []string{"0", "1", "2", "3"} {
		want = append(want, layout.Zones[zone].Serving...)
	}
	if len(want) != 3+3+3+2 {
		t.Fatalf("%d schedulers, want 3 of each large zone and both gateways of the small one", len(want))
	}
	for _, g := range append(gateways, Gateway{Peer: Peer{Name: "newcomer"}, Zone: "3"}) {
		if got := layout.MeshOf(g.Zone, g.Name).FleetSchedulers; !slices.Equal(got, want) {
			t.Fatalf("%s is told %v, want %v", g.Name, got, want)
		}
	}
	for _, sizes := range [][]int{{3, 2, 2}, {1}} {
		few, _ := gatewaysInZones(sizes...)
		var small Planner
		small.Plan(time.Second, few)
		layout, _ := small.Layout()
		if got := layout.MeshOf("0", few[0].Name).FleetSchedulers; len(got) > 0 {
			t.Fatalf("a fleet of %v is told %v, want none", sizes, got)
		}
	}
	all := Planner{AllSchedule: true}
	all.Plan(time.Second, gateways)
	layout, _ = all.Layout()
	if got := layout.MeshOf("0", gateways[0].Name).FleetSchedulers; len(got) > 0 {
		t.Fatalf("told %v although the schedulers mechanism is off", got)
	}
}

// TestLayoutCountRisesOnlyOnChange: planning the same gateways again keeps the layout.
func TestLayoutCountRisesOnlyOnChange(t *testing.T) {
	gateways, _ := gatewaysInZones(30, 30)
	var planner Planner
	planner.Plan(time.Second, gateways)
	_, first := planner.Layout()
	slices.Reverse(gateways)
	planner.Plan(1250*time.Millisecond, gateways)
	if _, again := planner.Layout(); again != first {
		t.Fatalf("layout count %d, then %d for the same gateways", first, again)
	}
	planner.Plan(1500*time.Millisecond, gateways[:30])
	if _, next := planner.Layout(); next == first {
		t.Fatal("layout count unchanged after the loss of a zone")
	}
}

// TestEachEngineHasOneCacheEventReader: the reader is in the engine's zone if that has a scheduler, and only the
// engines of a departed scheduler change readers.
func TestEachEngineHasOneCacheEventReader(t *testing.T) {
	var engines []Engine
	zoneOf := map[string]string{}
	for i := range 60 {
		e := Engine{ID: fmt.Sprintf("i-%02d", i), Zone: fmt.Sprint("z", i%3)}
		engines = append(engines, e)
		zoneOf[e.ID] = e.Zone
	}
	peersOf := func(names ...string) (peers []Peer) {
		for _, name := range names {
			peers = append(peers, Peer{Name: name, Address: name})
		}
		return peers
	}
	layout := Layout{Zones: map[string]Zone{"z0": {Schedulers: peersOf("g-0-0", "g-0-1", "g-0-2", "g-0-3")}, "z1": {Schedulers: peersOf("g-1-0")}}}
	readerOf := func() map[string]string {
		readers := map[string]string{}
		for name, ids := range layout.CacheEventSources(engines) {
			for _, id := range ids {
				if readers[id] != "" {
					t.Fatalf("%s is read by %s and %s", id, readers[id], name)
				}
				readers[id] = name
			}
		}
		return readers
	}
	before := readerOf()
	if len(before) != 60 {
		t.Fatalf("%d of 60 engines have a reader", len(before))
	}
	for id, name := range before {
		if zone := zoneOf[id]; zone != "z2" && name[2] != zone[1] {
			t.Errorf("%s in %s is read by %s", id, zone, name)
		}
	}
	layout.Zones["z0"] = Zone{Schedulers: peersOf("g-0-1", "g-0-2", "g-0-3")}
	for id, name := range readerOf() {
		if before[id] != "g-0-0" && name != before[id] {
			t.Errorf("%s moved from %s to %s", id, before[id], name)
		}
	}
}
