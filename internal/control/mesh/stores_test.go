package mesh

import (
	"fmt"
	"testing"
)

// Each store has exactly one reader, in its zone if that has a scheduler; when a scheduler ends, only its stores change
// readers.
func TestEachStoreHasOneReader(t *testing.T) {
	var stores []Store
	for i := range 30 {
		stores = append(stores, Store{Address: fmt.Sprint("10.0.0.", i, ":1"), Zone: fmt.Sprint("z", i%3)})
	}
	peers := func(names ...string) (peers []Peer) {
		for _, name := range names {
			peers = append(peers, Peer{Name: name, Address: name})
		}
		return peers
	}
	all := []string{"g-0-0", "g-0-1", "g-0-2", "g-1-0", "other"}
	layout := Layout{Zones: map[string]Zone{"z0": {Schedulers: peers("g-0-0", "g-0-1", "g-0-2")}, "z1": {Schedulers: peers("g-1-0")}}}
	readers := func() map[string]string {
		found := map[string]string{}
		for _, name := range all {
			for _, address := range layout.StoresReadBy(name, stores) {
				if found[address] != "" {
					t.Fatalf("%s is read by %s and %s", address, found[address], name)
				}
				found[address] = name
			}
		}
		return found
	}
	before := readers()
	if len(before) != len(stores) {
		t.Fatalf("%d of %d stores have a reader", len(before), len(stores))
	}
	for _, s := range stores {
		if reader := before[s.Address]; s.Zone != "z2" && reader[2] != s.Zone[1] {
			t.Errorf("%s in %s is read by %s", s.Address, s.Zone, reader)
		}
	}
	layout.Zones["z0"] = Zone{Schedulers: peers("g-0-1", "g-0-2")}
	for address, name := range readers() {
		if before[address] != "g-0-0" && name != before[address] {
			t.Errorf("%s moved from %s to %s", address, before[address], name)
		}
	}
	if read := (&Layout{}).StoresReadBy("g-0-0", stores); len(read) != 0 {
		t.Errorf("without schedulers %v are read", read)
	}
}
