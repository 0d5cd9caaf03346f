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

// TestNewsLeadToTheWholeRoster: whatever rosters follow each other, and however long a gateway asks for nothing, the news that it gets make
// its roster the newest one. So do those of a second log that is kept up with the news of the first, as a replica's is, also for gateways
// that go from one to the other.
func TestNewsLeadToTheWholeRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var first, second Log
		entries := map[string]Entry{}
		type gateway struct {
			count uint64
			held  []Entry
		}
		gateways := make([]gateway, 3)
		for count := uint64(1); count <= uint64(rapid.IntRange(1, 120).Draw(t, "rosters")); count++ {
			changed, gone := map[string]Entry{}, map[string]bool{}
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				id := fmt.Sprint("i-", rapid.IntRange(0, 60).Draw(t, "id"))
				delete(changed, id)
				if gone[id] = rapid.Bool().Draw(t, "gone"); gone[id] {
					delete(entries, id)
					continue
				}
				entries[id] = Entry{
					Instance: catalog.Instance{ID: id}, Loading: rapid.Bool().Draw(t, "loading"),
					Versions: map[string]uint64{"m": rapid.Uint64Range(1, 3).Draw(t, "version")},
				}
				changed[id] = entries[id]
			}
			maps.DeleteFunc(gone, func(_ string, is bool) bool { return !is })
			first.Update(count, slices.Collect(maps.Values(changed)), slices.Collect(maps.Keys(gone)))
			if rapid.Bool().Draw(t, "passed on") {
				second.Apply(count, first.Since(second.Count()))
			}
			asked := rapid.SampledFrom([]*Log{&first, &second}).Draw(t, "asked")
			g := &gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")]
			if asked.Count() < max(g.count, 1) {
				continue // it waits until it has caught up
			}
			g.held, g.count = asked.Since(g.count).Merge(g.held), asked.Count()
			var wanted []Entry
			for _, id := range slices.Sorted(maps.Keys(asked.entries)) {
				wanted = append(wanted, asked.entries[id])
			}
			if len(g.held)+len(wanted) > 0 && !reflect.DeepEqual(g.held, wanted) {
				t.Fatalf("after roster %d a gateway holds %v, wanted %v", count, g.held, wanted)
			}
			if asked == &first && len(wanted) != len(entries) {
				t.Fatalf("the log holds %d entries, wanted %d", len(wanted), len(entries))
			}
		}
	})
}

// entriesOf returns so many entries.
func entriesOf(count int) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i].ID = fmt.Sprintf("i-%05d", i)
	}
	return entries
}

// TestUpdateHoldsOnlyChanges: a gateway that lacks one change is told that one.
func TestUpdateHoldsOnlyChanges(t *testing.T) {
	var l Log
	l.Update(1, entriesOf(100), nil)
	changed := entriesOf(100)[7]
	changed.Loading = true
	l.Update(2, []Entry{changed}, []string{"i-00099"})
	news := l.Since(1)
	if news.Full || len(news.Entries) != 1 || news.Entries[0].ID != "i-00007" || len(news.Removed) != 1 || news.Removed[0] != "i-00099" {
		t.Fatalf("news %+v", news)
	}
	if whole := l.Since(0); !whole.Full || len(whole.Entries) != 99 {
		t.Fatalf("whole roster: %d entries", len(whole.Entries))
	}
}

// TestUpdateCostIsIndependentOfRosterSize: what it allocates to take one change up and to tell it doesn't grow with the roster.
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
			if news := l.Since(count - 1); len(news.Entries) != 1 {
				t.Fatalf("news %+v", news)
			}
		})
	}
	if small, large := allocations(1000), allocations(8000); large > 2*small {
		t.Fatalf("%v allocations at 1,000 back ends, %v at 8,000", small, large)
	}
}

// TestUpdateIsEncodedOnce: however many lack the same.
func TestUpdateIsEncodedOnce(t *testing.T) {
	var l Log
	l.Update(1, entriesOf(500), nil)
	first := l.Since(0)
	if again := l.Since(0); again != first {
		t.Fatal("the same news were made twice")
	}
	if allocated := testing.AllocsPerRun(10, func() { _, _ = l.Since(0).MarshalJSON() }); allocated > 0 {
		t.Fatalf("%v allocations for news that are encoded already", allocated)
	}
	encoded, err := json.Marshal(first)
	var back Update
	if err == nil {
		err = json.Unmarshal(encoded, &back)
	}
	if err != nil || len(back.Entries) != 500 {
		t.Fatalf("%d entries came back: %v", len(back.Entries), err)
	}
}

// TestLogIsBounded: a roster in which everything changes again and again keeps no more than its newest changes.
func TestLogIsBounded(t *testing.T) {
	var l Log
	entries := entriesOf(300)
	for count := uint64(1); count < 100; count++ {
		for i := range entries {
			entries[i].Loading = count%2 == 0
		}
		l.Update(count, entries, nil)
		if len(l.changes) > 2*(300+maxRemovedKept) {
			t.Fatalf("%d changes are kept", len(l.changes))
		}
	}
	for i := range 2000 {
		id := fmt.Sprint("short-", i)
		l.Update(uint64(100+2*i), []Entry{{Instance: catalog.Instance{ID: id}}}, nil)
		l.Update(uint64(101+2*i), nil, []string{id})
	}
	if len(l.changes) > 2*(300+maxRemovedKept) {
		t.Fatalf("%d changes are kept", len(l.changes))
	}
	if !l.Since(1).Full || l.Since(l.Count()-2).Full {
		t.Fatal("who lacks too many removals is to get everything, who lacks few isn't")
	}
}
