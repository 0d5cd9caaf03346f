package gateway

import (
	"io"
	"net"
	"testing"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
)

// A back end was chosen, and before the connection was up control told that its weights are to be replaced: it gets nothing new, and gets
// its order once no gateway counts a request there. A request counts from its send on, and control leaves one that is on its way 30 ms to
// arrive, while a connection may take 300 ms to come up. The last look asked for the state only and found it ready (bar "" beside
// "leaving" for one that drains), so the request came to an engine whose order was under way.
func TestLastLookSeesWhatChangedSinceTheChoice(t *testing.T) {
	for what, change := range map[string]func(*control.RosterEntry){
		"it drains":                       func(e *control.RosterEntry) { e.State = catalog.StateDraining },
		"its weights are to be replaced":  func(e *control.RosterEntry) { e.Loading = true },
		"it is gone":                      nil,
		"the same roster comes once more": func(*control.RosterEntry) {},
	} {
		t.Run(what, func(t *testing.T) {
			g := newScheduler(1)
			chosen := chosenAttempt(g)
			news := &control.RosterNews{Whole: true}
			if change != nil {
				entry := g.table.rows["i-0"].entry
				change(&entry)
				news.Entries = []control.RosterEntry{entry}
			}
			g.table.applyRoster(g.now(), news, nil)
			if bar := chosen.barred(); (bar == "") != (what == "the same roster comes once more") {
				t.Fatalf("barred: %q", bar)
			}
		})
	}
}

// TestNothingIsWrittenAfterTheLastLook: an attempt whose limit has passed when its connection is up ends without a byte, counts as not
// sent, and waits nowhere.
func TestNothingIsWrittenAfterTheLastLook(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	g := newScheduler(1)
	g.table.rows["i-0"].entry.Address = listener.Addr().String()
	chosen := chosenAttempt(g)
	publishVersion(g, 2, g.settings.VersionLimit)
	got := chosen.perform()
	if got.kind != resultUnreached || got.cause != causeOutdated || chosen.exchange.sent != 0 || len(g.table.waiting) > 0 {
		t.Fatalf("%s, %q, %d sends, %d wait", got.kind, got.cause, chosen.exchange.sent, len(g.table.waiting))
	}
	connection, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if written, err := io.ReadAll(connection); len(written) > 0 || err != nil {
		t.Fatalf("the back end got %q, %v", written, err)
	}
}
