package gateway

import (
	"io"
	"net"
	"testing"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
)

// TestRosterChangeAfterChoice guards against sending a request to a back end whose weights are about to be replaced
// because the roster changed between the choice and the established connection.
func TestRosterChangeAfterChoice(t *testing.T) {
	for what, change := range map[string]func(*control.RosterEntry){
		"draining":        func(e *control.RosterEntry) { e.State = catalog.StateDraining },
		"loading weights": func(e *control.RosterEntry) { e.Loading = true },
		"removed":         nil,
		"unchanged":       func(*control.RosterEntry) {},
	} {
		t.Run(what, func(t *testing.T) {
			g := newScheduler(1)
			chosen := chosenAttempt(g)
			update := &control.RosterUpdate{Full: true}
			if change != nil {
				entry := g.table.rows["i-0"].entry
				change(&entry)
				update.Entries = []control.RosterEntry{entry}
			}
			g.table.applyRoster(g.now(), update, nil)
			if bar := chosen.recheckConditions(); (bar == "") != (what == "unchanged") {
				t.Fatalf("restriction %q", bar)
			}
		})
	}
}

// TestNoBytesAfterFailedCheck tests that an attempt past its start deadline when the connection is established ends
// without writing, and does not count as sent.
func TestNoBytesAfterFailedCheck(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	g := newScheduler(1)
	g.table.rows["i-0"].entry.Address = listener.Addr().String()
	chosen := chosenAttempt(g)
	g.paths.RecordAnswer("10.0.0.9", g.now(), true) // otherwise the back end would be asked a question first
	publishVersion(g, 2, g.settings.OldWeightsStartLimit)
	got := chosen.perform()
	if got.kind != resultUnreachable || got.cause != causeWeightsOutdated || chosen.exchange.sentCount != 0 || len(g.table.waiting) > 0 {
		t.Fatalf("result %s, cause %q, %d requests sent, %d attempts waiting", got.kind, got.cause, chosen.exchange.sentCount, len(g.table.waiting))
	}
	connection, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if written, err := io.ReadAll(connection); len(written) > 0 || err != nil {
		t.Fatalf("back end received %q, error %v; want nothing", written, err)
	}
}
