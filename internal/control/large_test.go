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

// jsonLength returns the size of a message encoded as JSON, before compression.
func jsonLength(t *testing.T, message any) int {
	t.Helper()
	encoded, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// registerEngines registers count engines of one service and waits until those in use are selected.
func registerEngines(s *singleReplica, count int) {
	for first := 0; first < count; first += 500 {
		var batch []BackendHeartbeat
		for i := first; i < min(first+500, count); i++ {
			beat := heartbeatOf(fmt.Sprintf("e-%05d", i), catalog.StateReady, 1)
			beat.Versions = map[string]uint64{"m": 1}
			batch = append(batch, beat)
		}
		s.ask(Request{BackendHeartbeats: batch})
	}
	s.advance(500 * time.Millisecond)
}

// TestRosterSizeIsIndependentOfFleetSize: the first roster update that a gateway gets has the same size for twice the
// engines at the same load, in entries and nearly in bytes.
func TestRosterSizeIsIndependentOfFleetSize(t *testing.T) {
	firstUpdate := func(count int) (entries, bytes int) {
		s := openWithEngines(t)
		registerEngines(s, count)
		update := s.watchNow("g1", RosterVersion{}).Roster
		return len(update.Entries), jsonLength(t, update)
	}
	entries, bytes := firstUpdate(1500)
	more, moreBytes := firstUpdate(3000)
	if entries > 2*inuse.MinBackends || more > entries+inuse.MinBackends/8 || moreBytes > bytes+bytes/8 {
		t.Fatalf("%d entries in %d bytes for 1,500 engines, %d in %d for 3,000", entries, bytes, more, moreBytes)
	}
}

// TestNextLeaderUsesTheSameEngines: a new leader takes the engines in use from the log, before it has any load reports.
func TestNextLeaderUsesTheSameEngines(t *testing.T) {
	dir := t.TempDir()
	s := openSingleReplica(t, dir)
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: 1}}})
	registerEngines(s, 1500)
	engineIDs := func(s *singleReplica) map[string]bool {
		inUse := map[string]bool{}
		for _, e := range s.watchNow("g1", RosterVersion{}).Roster.Entries {
			inUse[e.ID] = true
		}
		return inUse
	}
	before := engineIDs(s)
	_ = s.disk.Close()
	s = openSingleReplica(t, dir)
	after := engineIDs(s)
	for id := range before {
		if !after[id] {
			t.Fatalf("%d engines were in use, %d are now, without %s", len(before), len(after), id)
		}
	}
	if len(after) != len(before) {
		t.Fatalf("%d engines were in use, %d are now", len(before), len(after))
	}
}

// TestLostEnginesAreReplaced: engines in use that leave are replaced with the next check.
func TestLostEnginesAreReplaced(t *testing.T) {
	s := openWithEngines(t)
	registerEngines(s, 1500)
	reply := s.watchNow("g1", RosterVersion{})
	var leaving []BackendHeartbeat
	for _, e := range reply.Roster.Entries[:len(reply.Roster.Entries)/4] {
		leaving = append(leaving, BackendHeartbeat{Instance: e.Instance, Sequence: 2})
		leaving[len(leaving)-1].Instance.State = catalog.StateDraining
	}
	s.ask(Request{BackendHeartbeats: leaving})
	s.advance(2 * inUseCheckInterval)
	ready := 0
	for _, e := range s.watchNow("g1", RosterVersion{}).Roster.Entries {
		if e.State == catalog.StateReady {
			ready++
		}
	}
	if ready < inuse.MinBackends {
		t.Fatalf("%d engines are ready after %d started to drain, want at least %d", ready, len(leaving), inuse.MinBackends)
	}
}

// TestGatewayListIsLoggedAsChanges: the log entries for gateways that join one by one grow with their number and not
// with its square.
func TestGatewayListIsLoggedAsChanges(t *testing.T) {
	loggedBytes := func(count int) int {
		s := openWithEngines(t)
		s.changeConfig(func(config *Config) { config.GatewayViewTTL = time.Minute })
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
	if few, many := loggedBytes(20), loggedBytes(40); many > 3*few {
		t.Fatalf("%d bytes for 20 gateways, %d for 40", few, many)
	}
}

// TestOrderWaitsForRelayedGateways: an order waits for a gateway that a follower answers until it has stopped sending,
// as it does for one that watches the leader.
func TestOrderWaitsForRelayedGateways(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL, config.MaxDirectGateways = 3*time.Second, 0 })
	sendRelayRequest := func(held RosterVersion) *relay.Reply {
		return s.ask(Request{Relay: &relay.Request{Number: 1, Name: "c2", Zone: "z", Address: "c2", Reports: []relay.Report{{Gateway: "g1", Zone: "z", Roster: held}}}}).Relayed
	}
	if first := sendRelayRequest(RosterVersion{}); len(first.Unlisted) != 1 {
		t.Fatalf("the leader confirmed a gateway that is not in the log: %+v", first)
	}
	s.advance(layoutInterval)
	reply := sendRelayRequest(RosterVersion{})
	if len(reply.Unlisted) > 0 || reply.Layout.NearbyReplicas["z"][0] != "c2" {
		t.Fatalf("reply %+v, want the gateway confirmed and c2 as its nearby replica", reply)
	}
	s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
	s.weightsOrders(200 * time.Millisecond) // answers the weights queries
	sendRelayRequest(reply.Version)
	s.sendHeartbeats("i-1", "i-2")
	if early := s.weightsOrders(time.Second); len(early) > 0 {
		t.Fatalf("ordered before g1 had stopped sending to the back end: %+v", early)
	}
	sendRelayRequest(sendRelayRequest(reply.Version).Version)
	if orders := s.weightsOrders(300 * time.Millisecond); len(orders) == 0 {
		t.Fatal("no order after g1 had stopped sending to the back end")
	}
}

// TestFullRepliesShareEncodedParts: beside the shared parts, the size of a full reply does not grow with the number of
// back ends. It decodes to the same response as one that was encoded as a whole.
func TestFullRepliesShareEncodedParts(t *testing.T) {
	ownBytes := func(count int) int {
		s := openWithEngines(t)
		registerEngines(s, count)
		response := s.ask(Request{Watch: &Watch{Gateway: "g1"}})
		parts, err := response.Parts()
		if err != nil || response.Watch.Document == nil || len(response.Watch.Roster.Entries) < count {
			t.Fatalf("reply %+v: %v", response.Watch, err)
		}
		bytes := 0
		for _, p := range parts {
			bytes += len(p.Raw)
		}
		var whole, assembled Response
		body, _ := payload.Assemble(parts, false)
		if err := json.Unmarshal(body, &assembled); err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(response)
		if err == nil {
			err = json.Unmarshal(encoded, &whole)
		}
		if err != nil || !reflect.DeepEqual(whole, assembled) {
			t.Fatalf("encoded in parts %+v, as a whole %+v: %v", assembled.Watch, whole.Watch, err)
		}
		return bytes
	}
	if few, many := ownBytes(200), ownBytes(400); many > few+few/10 {
		t.Fatalf("%d unshared bytes with 200 back ends, %d with 400", few, many)
	}
}
