package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/mechanism"
)

// newVersionsTable returns a table with one engine, and a function that applies weight versions reported by control.
func newVersionsTable() (t *table, applyVersions func(map[string]uint64)) {
	t = newTable(mechanism.Set{})
	applyVersions = func(versions map[string]uint64) {
		entry := control.RosterEntry{Instance: catalog.Instance{ID: "e@1", Service: "engine", Address: "a"}, Versions: versions}
		t.applyRoster(time.Second, &control.RosterUpdate{Entries: []control.RosterEntry{entry}}, nil)
	}
	return t, applyVersions
}

// TestDowngradeByControl guards against expecting the newest weights ever reported after control reported a downgrade,
// since the engine would reject every request.
func TestDowngradeByControl(t *testing.T) {
	table, applyVersions := newVersionsTable()
	applyVersions(map[string]uint64{"m": 4})
	applyVersions(map[string]uint64{"m": 3})
	if version := table.rows["e@1"].entry.Versions["m"]; version != 3 {
		t.Fatalf("version %d after control reported 4 and then 3, want 3", version)
	}
	applyVersions(nil) // a new leader without the heartbeat
	if version := table.rows["e@1"].entry.Versions["m"]; version != 3 {
		t.Fatalf("version %d after control reported none, want 3", version)
	}
	table.recordVersion(time.Second, table.rows["e@1"], "m", 5)
	applyVersions(map[string]uint64{"m": 3})
	if version := table.rows["e@1"].entry.Versions["m"]; version != 5 {
		t.Fatalf("version %d after the engine reported 5 and control 3 again, want 5", version)
	}
}

// TestOutdatedEngineIsAvoided tests that an engine which rejected a request with older weights than expected is avoided
// for a while.
func TestOutdatedEngineIsAvoided(t *testing.T) {
	table, applyVersions := newVersionsTable()
	applyVersions(map[string]uint64{"m": 4})
	row := table.rows["e@1"]
	if table.recordVersion(time.Second, row, "m", 3) {
		t.Fatal("recordVersion reports older weights as newer")
	}
	if row.avoidUntil <= time.Second || row.entry.Versions["m"] != 4 {
		t.Fatalf("avoided until %v, version %d, want avoidance and version 4", row.avoidUntil, row.entry.Versions["m"])
	}
}

// TestStartDeadlineOfExpectedVersion tests that the start deadline is that of the version which the request expects,
// even if the known version changes after the choice or differs from the scheduler's.
func TestStartDeadlineOfExpectedVersion(t *testing.T) {
	// newVersionedGateway returns a gateway with an engine of version 2, published so long ago, and an attempt that
	// expects version 1, on which nothing may start from a minute later on.
	newVersionedGateway := func(age time.Duration) (*Gateway, *attempt) {
		g := newScheduler(1)
		g.now = func() time.Duration { return 10 * time.Minute }
		chosen := chosenAttempt(g)
		publishVersion(g, 2, age)
		entry := g.table.rows["i-0"].entry
		entry.Versions = map[string]uint64{"m": 2}
		g.table.applyRoster(g.now(), &control.RosterUpdate{Entries: []control.RosterEntry{entry}}, nil)
		return g, chosen
	}
	for _, age := range []time.Duration{10 * time.Second, 2 * time.Minute} {
		late := age > time.Minute
		g, chosen := newVersionedGateway(age)
		if bar := chosen.recheckConditions(); (bar != "") != late {
			t.Errorf("published %v ago, version 1 expected by the attempt: restriction %q", age, bar)
		}
		in := selectionInput{service: g.view.Load().services["s"], call: &Call{Model: "m"}, trusted: true}
		if placed := g.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 1}, schedulerPlacement{}, in); (placed == nil) != late {
			t.Errorf("published %v ago, version 1 expected by the scheduler: accepted %t", age, placed != nil)
		}
		if g.candidateFromReply(&wirePlacementReply{Instance: "i-0", Version: 2}, schedulerPlacement{}, in) == nil {
			t.Errorf("published %v ago: scheduler's choice with version 2 not accepted", age)
		}
	}
}

// checkUnconfirmedSend checks that a gateway without contact to control places and sends a request without expecting a
// version.
func checkUnconfirmedSend(t *testing.T, g *Gateway) {
	t.Helper()
	x := newModelRequest(g)
	chosen := g.choose(g.now(), selectionInput{service: x.service, call: &x.call})
	if chosen == nil || chosen.version != 0 {
		t.Fatalf("candidate %+v, want one without a version", chosen)
	}
	if bar := x.newAttempt(chosen).recheckConditions(); bar != "" {
		t.Fatalf("restriction %q, want none", bar)
	}
}

// TestUnconfirmedViewUsesNewestEngine tests that without contact to control an engine with the newest weights is used
// however long ago they were published.
func TestUnconfirmedViewUsesNewestEngine(t *testing.T) {
	g := newScheduler(1)
	g.now = func() time.Duration { return 10 * time.Minute }
	publishVersion(g, 2, 5*time.Minute)
	entry := g.table.rows["i-0"].entry
	entry.Versions = map[string]uint64{"m": 2}
	g.table.applyRoster(g.now(), &control.RosterUpdate{Entries: []control.RosterEntry{entry}}, nil)
	checkUnconfirmedSend(t, g)
}

// TestUnconfirmedViewExpectsNoVersion tests that an expected version of 0 does not count as outdated.
func TestUnconfirmedViewExpectsNoVersion(t *testing.T) {
	g := newScheduler(1)
	g.now = func() time.Duration { return 10 * time.Minute }
	publishVersion(g, 1, 2*time.Minute)
	checkUnconfirmedSend(t, g)
}
