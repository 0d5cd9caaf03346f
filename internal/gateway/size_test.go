package gateway

import (
	"encoding/json"
	"testing"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/prefix"
)

// Announcements go to every gateway for every request, and roster entries for every change of a back end, so both
// must be small.
func TestMessageSizes(t *testing.T) {
	begin := announcement{Gateway: "4x7k2m9q", Load: belief.Load{Running: 3, Tokens: 21000}, Instance: "i-80cd531cfc", Salt: "w3", Uncached: 2890, Age: 12e6,
		Parts: []prefix.Part{{ID: "5c1e07a2", Tokens: 2520}, {ID: "91bd3f06", Tokens: 3780}, {ID: "e4402b7d", Tokens: 2890}}}
	end := announcement{Gateway: "4x7k2m9q", Load: belief.Load{Running: 2, Tokens: 14000}, Instance: "i-80cd531cfc", Age: 12e6}
	queued, first := begin, end
	queued.Queue = queueAnnouncement{Number: 123_456, Priority: 1}
	first.Queue = queueAnnouncement{Number: 123_456, FirstEvent: true, FirstEventAge: 25e6}
	entry := control.RosterEntry{Instance: catalog.Instance{ID: "i-80cd531cfc", Service: "huvo11a", Address: "10.128.0.9:8080", Zone: "cairo-a",
		Slots: 32, State: catalog.StateReady}, Versions: map[string]uint64{"daka510000": 3}}
	for name, c := range map[string]struct {
		message any
		limit   int
	}{"begin": {begin.toWire(0), 160}, "end": {end.toWire(0), 80}, "begin with a queue": {queued.toWire(0), 185}, "first event": {first.toWire(0), 110}, "roster entry": {entry, 220}} {
		data, err := json.Marshal(c.message)
		if err != nil || len(data) > c.limit {
			t.Errorf("%s takes %d bytes, want at most %d (%v): %s", name, len(data), c.limit, err, data)
		}
		t.Logf("%s: %d bytes", name, len(data))
	}
}
