package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/mechanism"
)

// newVersionsTable returns a table with one engine, and a way to tell it of the engine's weights.
func newVersionsTable() (t *table, applyVersions func(map[string]uint64)) {
	t = newTable(mechanism.Set{})
	applyVersions = func(versions map[string]uint64) {
		entry := control.RosterEntry{Instance: catalog.Instance{ID: "e@1", Service: "engine", Address: "a"}, Versions: versions}
		t.applyRoster(time.Second, &control.RosterNews{Entries: []control.RosterEntry{entry}}, nil)
	}
	return t, applyVersions
}

// TestWeightsFallAsControlTells: control asked the engine itself before it told of older weights than before. A gateway that kept the newest
// that it had ever heard of would expect weights there that the engine doesn't hold, for as long as the engine lives.
func TestWeightsFallAsControlTells(t *testing.T) {
	table, applyVersions := newVersionsTable()
	applyVersions(map[string]uint64{"m": 4})
	applyVersions(map[string]uint64{"m": 3})
	if believed := table.rows["e@1"].entry.Versions["m"]; believed != 3 {
		t.Fatalf("believed %d after control told 4 and then 3", believed)
	}
	applyVersions(nil) // a new leader that hasn't heard of them
	if believed := table.rows["e@1"].entry.Versions["m"]; believed != 3 {
		t.Fatalf("believed %d after control told nothing", believed)
	}
	table.recordVersion(time.Second, table.rows["e@1"], "m", 5)
	applyVersions(map[string]uint64{"m": 3})
	if believed := table.rows["e@1"].entry.Versions["m"]; believed != 5 {
		t.Fatalf("believed %d after the engine itself told 5 and control what it had told before", believed)
	}
}

// TestOlderWeightsThanBelievedAreLeftAlone: an engine that turned a request away for weights older than expected isn't asked again at once.
func TestOlderWeightsThanBelievedAreLeftAlone(t *testing.T) {
	table, applyVersions := newVersionsTable()
	applyVersions(map[string]uint64{"m": 4})
	row := table.rows["e@1"]
	if table.recordVersion(time.Second, row, "m", 3) {
		t.Fatal("older weights are news")
	}
	if row.avoidUntil <= time.Second || row.entry.Versions["m"] != 4 {
		t.Fatalf("avoided to %v, believed %d", row.avoidUntil, row.entry.Versions["m"])
	}
}

// TestLimitIsOfTheWeightsExpected: a scheduler and a gateway may believe different weights, where they fell, and belief may change between
// the choice and the send. The request begins on the weights that it expects or nowhere, so the limit is theirs.
func TestLimitIsOfTheWeightsExpected(t *testing.T) {
	// newVersionedGateway returns a gateway that newVersionedGateway version 2, named so long ago; nothing may begin on version 1 a minute after that.
	newVersionedGateway := func(age time.Duration) (*Gateway, *attempt) {
		g := newScheduler(1)
		g.now = func() time.Duration { return 10 * time.Minute }
		chosen := chosenAttempt(g)
		publishVersion(g, 2, age)
		entry := g.table.rows["i-0"].entry
		entry.Versions = map[string]uint64{"m": 2}
		g.table.applyRoster(g.now(), &control.RosterNews{Entries: []control.RosterEntry{entry}}, nil)
		return g, chosen
	}
	for _, age := range []time.Duration{10 * time.Second, 2 * time.Minute} {
		late := age > time.Minute
		g, chosen := newVersionedGateway(age)
		if bar := chosen.barred(); (bar != "") != late {
			t.Errorf("named %v ago, version 1 expected since the choice: barred %q", age, bar)
		}
		in := selectionInput{service: g.view.Load().services["s"], call: &Call{Model: "m"}, trusted: true}
		if placed := g.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 1}, schedulerPlacement{}, in); (placed == nil) != late {
			t.Errorf("named %v ago, version 1 expected by the scheduler: placed %t", age, placed != nil)
		}
		if g.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 2}, schedulerPlacement{}, in) == nil {
			t.Errorf("named %v ago: no place on version 2", age)
		}
	}
}

// checkUnconfirmedSend checks that a gateway which is cut off from control places and sends a request, and expects no version of it.
func checkUnconfirmedSend(t *testing.T, g *Gateway) {
	t.Helper()
	x := newModelRequest(g)
	chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call})
	if chosen == nil || chosen.version != 0 {
		t.Fatalf("placed %+v", chosen)
	}
	if bar := x.newAttempt(chosen).barred(); bar != "" {
		t.Fatalf("barred %q", bar)
	}
}

// TestUnconfirmedViewIsPlacedByBelief: while control is gone a request expects no weights, and an engine that is believed to hold the newest is
// used however long ago these were named.
func TestUnconfirmedViewIsPlacedByBelief(t *testing.T) {
	g := newScheduler(1)
	g.now = func() time.Duration { return 10 * time.Minute }
	publishVersion(g, 2, 5*time.Minute)
	entry := g.table.rows["i-0"].entry
	entry.Versions = map[string]uint64{"m": 2}
	g.table.applyRoster(g.now(), &control.RosterNews{Entries: []control.RosterEntry{entry}}, nil)
	checkUnconfirmedSend(t, g)
}

// TestNoVersionExpectedIsNoOldOne: a gateway that is cut off from control expects no version, and goes on with what it believes.
func TestNoVersionExpectedIsNoOldOne(t *testing.T) {
	g := newScheduler(1)
	g.now = func() time.Duration { return 10 * time.Minute }
	publishVersion(g, 1, 2*time.Minute)
	checkUnconfirmedSend(t, g)
}
