package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// gatewaysInZones returns gateways, so many in each zone, and the zone of each.
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

// TestMeshReachesEverySchedulerOnce: from any gateway, for zones of any size, with one message into each other zone. Where the
// choice is off every gateway schedules.
func TestMeshReachesEverySchedulerOnce(t *testing.T) {
	for _, everyone := range []bool{false, true} {
		for _, sizes := range [][]int{{1}, {2}, {9}, {10}, {3, 2, 2}, {28, 26, 24}, {1, 30}, {17, 5, 40}, {25, 25, 25, 24, 26}, {58, 54, 61, 60, 62}} {
			gateways, zoneOf := gatewaysInZones(sizes...)
			planner := Planner{AllSchedule: everyone}
			planner.Plan(time.Second, gateways)
			layout, _ := planner.Layout()
			meshes := map[string]Mesh{}
			for _, g := range gateways {
				meshes[g.Name] = layout.MeshOf(g.Zone, g.Name)
			}
			for origin := range meshes {
				checkReach(t, origin, meshes, zoneOf, sizes, !everyone)
			}
		}
	}
}

// checkReach follows a send of one gateway: to a scheduler of its zone where it is none, and from there over the mesh.
func checkReach(t *testing.T, origin string, meshes map[string]Mesh, zoneOf map[string]int, sizes []int, schedulers bool) {
	t.Helper()
	told, crossed := map[string]int{}, 0
	tell := func(addresses []string, from string, next func(string)) {
		for _, a := range addresses {
			told[a]++
			if zoneOf[a] != zoneOf[from] {
				crossed++
			}
			next(a)
		}
	}
	columns := func(name string) { tell(meshes[name].Column, name, func(string) {}) }
	within := func(name string) {
		columns(name)
		tell(meshes[name].Row, name, columns)
	}
	first := origin
	if asked := meshes[origin].Schedulers; len(asked) > 0 {
		first = asked[0]
	}
	told[first]++
	within(first)
	tell(meshes[first].OtherZones, first, within)
	wanted := map[string]bool{}
	for name, mesh := range meshes {
		if len(mesh.Schedulers) == 0 {
			wanted[name] = true
		}
		for _, asked := range mesh.Schedulers {
			if zoneOf[asked] != zoneOf[name] || len(meshes[asked].Schedulers) > 0 {
				t.Fatalf("zones %v: %s asks %s", sizes, name, asked)
			}
		}
	}
	for name, times := range told {
		if times != 1 || !wanted[name] {
			t.Fatalf("zones %v: a send of %s reaches %s %d times", sizes, origin, name, times)
		}
	}
	if len(told) != len(wanted) || crossed != len(sizes)-1 || !schedulers && len(wanted) != len(meshes) {
		t.Fatalf("zones %v: a send of %s reaches %d of %d and crosses zones %d times", sizes, origin, len(told), len(wanted), crossed)
	}
}

// TestSchedulersAreFewAndStable: a small zone has no others than schedulers, a large one a few; when one goes, the others stay, and
// the one in its place is asked once it has heard of sends for a while.
func TestSchedulersAreFewAndStable(t *testing.T) {
	gateways, _ := gatewaysInZones(58, 54, 61, 60, 62)
	var planner Planner
	schedulers := func(now time.Duration) (names []string, asked []string) {
		planner.Plan(now, gateways)
		layout, _ := planner.Layout()
		for _, place := range layout.Zones["2"].Schedulers {
			names = append(names, place.Name)
		}
		return names, layout.Zones["2"].Serving
	}
	before, _ := schedulers(time.Second)
	if want := (targetSchedulers + 4) / 5; len(before) != want {
		t.Fatalf("%d schedulers of 61 gateways in one of five zones, wanted %d", len(before), want)
	}
	gateways = slices.DeleteFunc(gateways, func(g Gateway) bool { return g.Name == before[0] })
	now := time.Second + schedulerWarmUp
	after, asked := schedulers(now)
	fresh := slices.DeleteFunc(slices.Clone(after), func(name string) bool { return slices.Contains(before, name) })
	if len(after) != len(before) || len(fresh) != 1 {
		t.Fatalf("schedulers %v, then %v", before, after)
	}
	if slices.Contains(asked, fresh[0]) || len(asked) != len(after)-1 {
		t.Fatalf("asked %v, while %v has just become one", asked, fresh)
	}
	if _, asked = schedulers(now + schedulerWarmUp); !slices.Contains(asked, fresh[0]) {
		t.Fatalf("asked %v, without %v", asked, fresh)
	}
	small, _ := gatewaysInZones(3, 2, 2)
	var calm Planner
	calm.Plan(time.Second, small)
	layout, _ := calm.Layout()
	for _, g := range small {
		if mesh := layout.MeshOf(g.Zone, g.Name); len(mesh.Schedulers) > 0 {
			t.Fatalf("%s of a small fleet asks %v", g.Name, mesh.Schedulers)
		}
	}
	if mesh := layout.MeshOf("0", "newcomer"); len(mesh.Schedulers)+len(mesh.Row) > 0 {
		t.Fatalf("a gateway that isn't laid out yet has %+v", mesh)
	}
}

// TestLayoutCountRisesOnlyOnChange: gateways that ask again and again change nothing.
func TestLayoutCountRisesOnlyOnChange(t *testing.T) {
	gateways, _ := gatewaysInZones(30, 30)
	var planner Planner
	planner.Plan(time.Second, gateways)
	_, first := planner.Layout()
	slices.Reverse(gateways)
	planner.Plan(1250*time.Millisecond, gateways)
	if _, again := planner.Layout(); again != first {
		t.Fatalf("layout %d, then %d", first, again)
	}
	planner.Plan(1500*time.Millisecond, gateways[:30])
	if _, next := planner.Layout(); next == first {
		t.Fatal("a lost zone changes nothing")
	}
}

// TestEachEngineHasOneCacheEventReader: in its own zone where that has a gateway, and few change when a gateway goes.
func TestEachEngineHasOneCacheEventReader(t *testing.T) {
	var engines []Engine
	zoneOf := map[string]string{}
	for i := range 60 {
		e := Engine{ID: fmt.Sprintf("i-%02d", i), Zone: fmt.Sprint("z", i%3)}
		engines = append(engines, e)
		zoneOf[e.ID] = e.Zone
	}
	placesOf := func(names ...string) (places []Peer) {
		for _, name := range names {
			places = append(places, Peer{Name: name, Address: name})
		}
		return places
	}
	layout := Layout{Zones: map[string]Zone{"z0": {Schedulers: placesOf("g-0-0", "g-0-1", "g-0-2", "g-0-3")}, "z1": {Schedulers: placesOf("g-1-0")}}}
	readerOf := func() map[string]string {
		found := map[string]string{}
		for name, ids := range layout.CacheEventSources(engines) {
			for _, id := range ids {
				if found[id] != "" {
					t.Fatalf("%s is read by %s and %s", id, found[id], name)
				}
				found[id] = name
			}
		}
		return found
	}
	before := readerOf()
	if len(before) != 60 {
		t.Fatalf("%d readers", len(before))
	}
	for id, name := range before {
		if zone := zoneOf[id]; zone != "z2" && name[2] != zone[1] {
			t.Errorf("%s in %s is read by %s", id, zone, name)
		}
	}
	layout.Zones["z0"] = Zone{Schedulers: placesOf("g-0-1", "g-0-2", "g-0-3")}
	for id, name := range readerOf() {
		if before[id] != "g-0-0" && name != before[id] {
			t.Errorf("%s went from %s to %s", id, before[id], name)
		}
	}
}
