package control

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/inuse"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/payload"
)

// jsonLength returns how long a message is on the wire, before it is compressed.
func jsonLength(t *testing.T, message any) int {
	t.Helper()
	encoded, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// registerEngines registers so many engines of one service and lets it be decided which are in use.
func registerEngines(s *singleReplica, count int) {
	for first := 0; first < count; first += 500 {
		var batch []BackendHeartbeat
		for i := first; i < min(first+500, count); i++ {
			beat := heartbeatOf(fmt.Sprintf("e-%05d", i), catalog.StateReady, 1)
			beat.Versions = map[string]uint64{"m": 1}
			batch = append(batch, beat)
		}
		s.ask(Request{Beats: batch})
	}
	s.advance(500 * time.Millisecond)
}

// TestRosterSizeIsIndependentOfFleetSize: what a gateway is told at first is the same for twice the engines at one load, in entries and
// about in bytes.
func TestRosterSizeIsIndependentOfFleetSize(t *testing.T) {
	told := func(count int) (entries, bytes int) {
		s := openWithEngines(t)
		registerEngines(s, count)
		news := s.watchNow("g1", RosterVersion{}).Roster
		return len(news.Entries), jsonLength(t, news)
	}
	entries, bytes := told(1500)
	more, moreBytes := told(3000)
	if entries > 2*inuse.MinBackends || more > entries+inuse.MinBackends/8 || moreBytes > bytes+bytes/8 {
		t.Fatalf("%d entries in %d bytes of 1,500 engines, %d in %d of 3,000", entries, bytes, more, moreBytes)
	}
}

// TestNextLeaderUsesTheSameEngines: from the log, before anybody tells it of any work.
func TestNextLeaderUsesTheSameEngines(t *testing.T) {
	folder := t.TempDir()
	s := openSingleReplica(t, folder)
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: 1}}})
	registerEngines(s, 1500)
	ids := func(s *singleReplica) map[string]bool {
		named := map[string]bool{}
		for _, e := range s.watchNow("g1", RosterVersion{}).Roster.Entries {
			named[e.ID] = true
		}
		return named
	}
	before := ids(s)
	_ = s.disk.Close()
	s = openSingleReplica(t, folder)
	after := ids(s)
	for id := range before {
		if !after[id] {
			t.Fatalf("%d engines were in use, %d are, without %s", len(before), len(after), id)
		}
	}
	if len(after) != len(before) {
		t.Fatalf("%d engines were in use, %d are", len(before), len(after))
	}
}

// TestLostEnginesAreReplaced: when a part of those in use leaves, as many others come into use in the next look.
func TestLostEnginesAreReplaced(t *testing.T) {
	s := openWithEngines(t)
	registerEngines(s, 1500)
	reply := s.watchNow("g1", RosterVersion{})
	var leaving []BackendHeartbeat
	for _, e := range reply.Roster.Entries[:len(reply.Roster.Entries)/4] {
		leaving = append(leaving, BackendHeartbeat{Instance: e.Instance, Sequence: 2})
		leaving[len(leaving)-1].Instance.State = catalog.StateDraining
	}
	s.ask(Request{Beats: leaving})
	s.advance(2 * inUseCheckInterval)
	ready := 0
	for _, e := range s.watchNow("g1", RosterVersion{}).Roster.Entries {
		if e.State == catalog.StateReady {
			ready++
		}
	}
	if ready < inuse.MinBackends {
		t.Fatalf("%d engines are ready after %d began to leave, wanted %d", ready, len(leaving), inuse.MinBackends)
	}
}

// TestGatewayListIsLoggedAsChanges: what the log tells of gateways that come one after the other grows with their number, not its square.
func TestGatewayListIsLoggedAsChanges(t *testing.T) {
	written := func(count int) int {
		s := openWithEngines(t)
		s.changeConfig(func(config *Config) { config.GatewayTrust = time.Minute })
		bytes := 0
		for i := range count {
			before := s.replica.Node().LastIndex()
			s.replica.Handle(s.now, 0, Request{Watch: &Watch{Gateway: fmt.Sprintf("gateway-%04d", i), Revision: 1}})
			s.advance(50 * time.Millisecond)
			for _, entry := range s.replica.node.EntriesAfter(before) {
				bytes += len(entry.Data)
			}
		}
		if listed := len(s.replica.Machine().Catalog().Gateways()); listed != count {
			t.Fatalf("%d of %d gateways are listed", listed, count)
		}
		return bytes
	}
	if few, many := written(20), written(40); many > 3*few {
		t.Fatalf("%d bytes for 20 gateways, %d for 40", few, many)
	}
}

// TestOrderWaitsForRelayedGateways: a gateway that another replica answers holds up an order until it has turned away, as one that asks here does.
func TestOrderWaitsForRelayedGateways(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayTrust, config.MaxDirectGateways = 3*time.Second, 0 })
	asked := func(held RosterVersion) *relay.Reply {
		return s.ask(Request{Relay: &relay.Request{Number: 1, Name: "c2", Zone: "z", Address: "c2", Reports: []relay.Report{{Gateway: "g1", Zone: "z", Roster: held}}}}).Relayed
	}
	if first := asked(RosterVersion{}); len(first.Unlisted) != 1 {
		t.Fatalf("a gateway that the log doesn't hold is confirmed: %+v", first)
	}
	s.advance(layoutInterval)
	answer := asked(RosterVersion{})
	if len(answer.Unlisted) > 0 || answer.Layout.NearbyReplicas["z"][0] != "c2" {
		t.Fatalf("answer %+v", answer)
	}
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	s.weightsOrders(200 * time.Millisecond) // the reports
	asked(answer.Version)
	s.sendHeartbeats("i-1", "i-2")
	if early := s.weightsOrders(time.Second); len(early) > 0 {
		t.Fatalf("ordered although g1 has not turned away: %+v", early)
	}
	asked(asked(answer.Version).Version)
	if orders := s.weightsOrders(300 * time.Millisecond); len(orders) == 0 {
		t.Fatal("no order after g1 had turned away")
	}
}

// TestFullRepliesShareEncodedParts: what an answer to a gateway that knows nothing costs beside the parts that all share doesn't grow with
// the back ends, and it reads as if it had been encoded in one piece.
func TestFullRepliesShareEncodedParts(t *testing.T) {
	own := func(count int) int {
		s := openWithEngines(t)
		registerEngines(s, count)
		response := s.ask(Request{Watch: &Watch{Gateway: "g1"}})
		parts, err := response.Parts()
		if err != nil || response.Watch.Document == nil || len(response.Watch.Roster.Entries) < count {
			t.Fatalf("reply %+v: %v", response.Watch, err)
		}
		bytes := 0
		for _, p := range parts {
			bytes += len(p.Own)
		}
		var plain, assembled Response
		body, _ := payload.Assemble(parts, false)
		if err := json.Unmarshal(body, &assembled); err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(response)
		if err == nil {
			err = json.Unmarshal(encoded, &plain)
		}
		if err != nil || !reflect.DeepEqual(plain, assembled) {
			t.Fatalf("in parts %+v, in one piece %+v: %v", assembled.Watch, plain.Watch, err)
		}
		return bytes
	}
	if few, many := own(200), own(400); many > few+few/10 {
		t.Fatalf("%d bytes of its own with 200 back ends, %d with 400", few, many)
	}
}
