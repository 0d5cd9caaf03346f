package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/mechanism"
)

// versionsTable returns a table with one engine, and a way to tell it of the engine's weights.
func versionsTable() (t *table, tell func(map[string]uint64)) {
	t = newTable(mechanism.Set{})
	tell = func(versions map[string]uint64) {
		entry := control.RosterEntry{Instance: catalog.Instance{ID: "e@1", Service: "engine", Address: "a"}, Versions: versions}
		t.takeRoster(time.Second, &control.RosterNews{Entries: []control.RosterEntry{entry}}, nil)
	}
	return t, tell
}

// TestWeightsFallAsControlTells: control asked the engine itself before it told of older weights than before. A gateway that kept the newest
// that it had ever heard of would expect weights there that the engine doesn't hold, for as long as the engine lives.
func TestWeightsFallAsControlTells(t *testing.T) {
	table, tell := versionsTable()
	tell(map[string]uint64{"m": 4})
	tell(map[string]uint64{"m": 3})
	if believed := table.rows["e@1"].entry.Versions["m"]; believed != 3 {
		t.Fatalf("believed %d after control told 4 and then 3", believed)
	}
	tell(nil) // a new leader that hasn't heard of them
	if believed := table.rows["e@1"].entry.Versions["m"]; believed != 3 {
		t.Fatalf("believed %d after control told nothing", believed)
	}
	table.learnVersion(time.Second, table.rows["e@1"], "m", 5)
	tell(map[string]uint64{"m": 3})
	if believed := table.rows["e@1"].entry.Versions["m"]; believed != 5 {
		t.Fatalf("believed %d after the engine itself told 5 and control what it had told before", believed)
	}
}

// TestOlderWeightsThanBelievedAreLeftAlone: an engine that turned a request away for weights older than expected isn't asked again at once.
func TestOlderWeightsThanBelievedAreLeftAlone(t *testing.T) {
	table, tell := versionsTable()
	tell(map[string]uint64{"m": 4})
	row := table.rows["e@1"]
	if table.learnVersion(time.Second, row, "m", 3) {
		t.Fatal("older weights are news")
	}
	if row.avoidTo <= time.Second || row.entry.Versions["m"] != 4 {
		t.Fatalf("avoided to %v, believed %d", row.avoidTo, row.entry.Versions["m"])
	}
}
