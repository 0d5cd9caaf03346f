package roster

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
)

// TestNewsLeadToTheWholeRoster: applying updates gives a gateway the newest roster, whatever changes it missed. The
// same holds for a second log that follows the first through its updates, as in a follower, and for gateways that
// switch between the two.
func TestNewsLeadToTheWholeRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leader, follower Log
		entries := map[string]Entry{}
		type gateway struct {
			count uint64
			held  []Entry
		}
		gateways := make([]gateway, 3)
		for count := uint64(1); count <= uint64(rapid.IntRange(1, 120).Draw(t, "rosters")); count++ {
			changed, removed := map[string]Entry{}, map[string]bool{}
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				id := fmt.Sprint("i-", rapid.IntRange(0, 60).Draw(t, "id"))
				delete(changed, id)
				if removed[id] = rapid.Bool().Draw(t, "gone"); removed[id] {
					delete(entries, id)
					continue
				}
				entries[id] = Entry{
					Instance: catalog.Instance{ID: id}, Loading: rapid.Bool().Draw(t, "loading"),
					Versions: map[string]uint64{"m": rapid.Uint64Range(1, 3).Draw(t, "version")},
				}
				changed[id] = entries[id]
			}
			maps.DeleteFunc(removed, func(_ string, isRemoved bool) bool { return !isRemoved })
			leader.Update(count, slices.Collect(maps.Values(changed)), slices.Collect(maps.Keys(removed)))
			if rapid.Bool().Draw(t, "passed on") {
				follower.Apply(count, leader.Since(follower.Count()))
			}
			log := rapid.SampledFrom([]*Log{&leader, &follower}).Draw(t, "asked")
			g := &gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")]
			if log.Count() < max(g.count, 1) {
				continue // the gateway waits until this log has caught up
			}
			g.held, g.count = log.Since(g.count).Merge(g.held), log.Count()
			var want []Entry
			for _, id := range slices.Sorted(maps.Keys(log.entries)) {
				want = append(want, log.entries[id])
			}
			if len(g.held)+len(want) > 0 && !reflect.DeepEqual(g.held, want) {
				t.Fatalf("after roster %d the gateway holds %v, want %v", count, g.held, want)
			}
			if log == &leader && len(want) != len(entries) {
				t.Fatalf("the log holds %d entries, want %d", len(want), len(entries))
			}
		}
	})
}

// entriesOf returns count entries.
func entriesOf(count int) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i].ID = fmt.Sprintf("i-%05d", i)
	}
	return entries
}

// TestUpdateHoldsOnlyChanges: a gateway that lacks one change gets only that one.
func TestUpdateHoldsOnlyChanges(t *testing.T) {
	var l Log
	l.Update(1, entriesOf(100), nil)
	changed := entriesOf(100)[7]
	changed.Loading = true
	l.Update(2, []Entry{changed}, []string{"i-00099"})
	update := l.Since(1)
	if update.Full || len(update.Entries) != 1 || update.Entries[0].ID != "i-00007" || len(update.Removed) != 1 || update.Removed[0] != "i-00099" {
		t.Fatalf("update %+v", update)
	}
	if full := l.Since(0); !full.Full || len(full.Entries) != 99 {
		t.Fatalf("full update: %d entries", len(full.Entries))
	}
}

// TestUpdateCostIsIndependentOfRosterSize: the allocations for recording one change and computing its update do not
// grow with the roster.
func TestUpdateCostIsIndependentOfRosterSize(t *testing.T) {
	allocations := func(size int) float64 {
		var l Log
		l.Update(1, entriesOf(size), nil)
		l.IDs()
		count := uint64(1)
		changed := entriesOf(size)[size/2]
		return testing.AllocsPerRun(20, func() {
			count++
			changed.Loading = !changed.Loading
			l.Update(count, []Entry{changed}, nil)
			if update := l.Since(count - 1); len(update.Entries) != 1 {
				t.Fatalf("update %+v", update)
			}
		})
	}
	if small, large := allocations(1000), allocations(8000); large > 2*small {
		t.Fatalf("%v allocations at 1,000 back ends, %v at 8,000", small, large)
	}
}

// TestUpdateIsEncodedOnce: gateways that lack the same changes share one encoding.
func TestUpdateIsEncodedOnce(t *testing.T) {
	var l Log
	l.Update(1, entriesOf(500), nil)
	update := l.Since(0)
	if again := l.Since(0); again != update {
		t.Fatal("the same update was computed twice")
	}
	if allocated := testing.AllocsPerRun(10, func() { _, _ = l.Since(0).MarshalJSON() }); allocated > 0 {
		t.Fatalf("%v allocations for an update that is already encoded", allocated)
	}
	encoded, err := json.Marshal(update)
	var decoded Update
	if err == nil {
		err = json.Unmarshal(encoded, &decoded)
	}
	if err != nil || len(decoded.Entries) != 500 {
		t.Fatalf("decoded %d entries, want 500: %v", len(decoded.Entries), err)
	}
}

// TestLogIsBounded: the number of kept changes stays bounded while entries keep changing, coming and going.
func TestLogIsBounded(t *testing.T) {
	var l Log
	entries := entriesOf(300)
	for count := uint64(1); count < 100; count++ {
		for i := range entries {
			entries[i].Loading = count%2 == 0
		}
		l.Update(count, entries, nil)
		if len(l.changes) > 2*(300+maxRemovedKept) {
			t.Fatalf("%d changes kept, more than the bound", len(l.changes))
		}
	}
	for i := range 2000 {
		id := fmt.Sprint("short-", i)
		l.Update(uint64(100+2*i), []Entry{{Instance: catalog.Instance{ID: id}}}, nil)
		l.Update(uint64(101+2*i), nil, []string{id})
	}
	if len(l.changes) > 2*(300+maxRemovedKept) {
		t.Fatalf("%d changes kept, more than the bound", len(l.changes))
	}
	if !l.Since(1).Full || l.Since(l.Count()-2).Full {
		t.Fatal("want a full update if too many removals are missing, and only then")
	}
}
