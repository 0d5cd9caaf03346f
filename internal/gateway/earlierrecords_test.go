package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/node"
	"kitetiller/internal/streamorigin"
	"kitetiller/internal/transport"
)

// Streams that began while one software version served have no records elsewhere. Once a new leader's roster ends the proof,
// their callers can go on only if the records are sent then.
func TestRecordsOfStreamsUnderWayAreSentWhenTheProofEnds(t *testing.T) {
	kept := make(chan string, 1)
	address := freeAddress(t)
	server, err := transport.Listen(address, "", func(request transport.Request, respond transport.Respond) {
		if request.Path == streamorigin.PathKeep {
			kept <- string(request.Body)
		}
		respond(http.StatusOK, struct{}{})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close(context.Background()) })
	g := New(Settings{Name: "g", Zone: "z", PeerAddress: "127.0.0.1:1", MinStreamAge: historyPeriod, ViewTTL: time.Hour}, nil, node.NopLog())
	now := time.Second
	g.now = func() time.Duration { return now }
	update := func(term uint64) {
		g.applyWatchReply(t.Context(), now, &control.WatchReply{
			Version: control.RosterVersion{Term: term, Count: 1},
			Roster: &control.RosterUpdate{Full: true, Entries: []control.RosterEntry{{
				Instance: catalog.Instance{ID: "i-1", Service: historyService, Address: "a"}, SoftwareVersion: "v1",
			}}},
			Mesh: control.Mesh{RecordHolders: []streamorigin.Zone{{Name: "z", Addresses: []string{address}}}},
		})
	}
	update(1)
	now += historyPeriod + recordMargin
	if g.table.needsRecords(now, historyService) {
		t.Fatal("records are sent although one version has served for long")
	}
	key, _ := streamorigin.NewKey(historyService, "", "r1")
	g.streams.Add(streamorigin.Record{Key: key, Service: historyService, Software: streamorigin.Known("v1"), TTL: time.Minute}, false)
	go g.streams.Run(t.Context())
	update(2)
	select {
	case <-kept:
	case <-time.After(10 * time.Second):
		t.Fatal("the record of a stream under way was not sent")
	}
}
