package control

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"kitetiller/internal/catalog"

	"kitetiller/internal/clock"
	"kitetiller/internal/transport"
)

// openStarting opens a group of one that has just started and leads nothing yet.
func openStarting(t *testing.T, folder string) *solo {
	t.Helper()
	s := openSolo(t, folder)
	if err := s.disk.Close(); err != nil {
		t.Fatal(err)
	}
	return openStartingIn(t, folder)
}

// openStartingIn opens a replica on a folder that another life has left.
func openStartingIn(t *testing.T, folder string) *solo {
	t.Helper()
	disk, identity, restored, err := OpenDisk(folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	replica, err := NewReplica(soloConfig(identity.ID), restored, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &solo{t: t, folder: folder, disk: disk, replica: replica, replies: map[uint64]Response{}}
}

// TestQuestionWaitsForALeader: a gateway's question is held while no leader is known, and answered by the replica itself as
// soon as it may; one that finds none in its time is told so (ayni-lima trouble-1: gateways heard of the leader 0.6 s late).
func TestQuestionWaitsForALeader(t *testing.T) {
	s := openStarting(t, t.TempDir())
	const patient, hasty = 1000, 1001
	s.replica.Handle(s.now, patient, Request{Watch: &Watch{Gateway: "g1", Hold: time.Second}})
	s.replica.Handle(s.now, hasty, Request{Watch: &Watch{Gateway: "g2"}})
	s.work()
	if len(s.replies) > 0 {
		t.Fatalf("answered before there is a leader: %+v", s.replies)
	}
	s.replica.endLeaderless(s.now)
	s.work()
	if s.replies[hasty].Kind != ResponseNotLeader {
		t.Fatalf("hasty question: %+v", s.replies[hasty])
	}
	s.pass(400 * time.Millisecond)
	if reply := s.replies[patient]; reply.Kind != ResponseOK && reply.Kind != ResponseNotFormed {
		t.Fatalf("patient question: %+v", reply)
	}
}

// TestHeldQuestionsAreBounded: the rest is turned away at once.
func TestHeldQuestionsAreBounded(t *testing.T) {
	s := openStarting(t, t.TempDir())
	for i := range leaderlessMost + 1 {
		s.replica.Handle(s.now, uint64(i+1), Request{Watch: &Watch{Gateway: "g", Hold: time.Second}})
	}
	s.work()
	if len(s.replies) != 1 {
		t.Fatalf("%d of %d questions were turned away", len(s.replies), leaderlessMost+1)
	}
}

// TestNewLeaderKnowsWhatEnginesHold: from the log, before any heartbeat comes (ayni-lima trouble-1: shared prompts were read
// again for 1.2 s after a restart of all, since unknown weights share nothing).
func TestNewLeaderKnowsWhatEnginesHold(t *testing.T) {
	s := openFleet(t)
	s.pass(time.Second)
	if err := s.disk.Close(); err != nil {
		t.Fatal(err)
	}
	again := openSolo(t, s.folder)
	entries := again.watchNow("g1", RosterVersion{}).Roster.Entries
	if len(entries) != 2 || entries[0].Versions["m"] != 1 || entries[1].Versions["m"] != 1 {
		t.Fatalf("roster %+v", entries)
	}
}

// TestHeldWeightsGrowNoLog: what is known already is not written again.
func TestHeldWeightsGrowNoLog(t *testing.T) {
	s := openFleet(t)
	s.pass(time.Second)
	before := s.replica.Node().LastIndex()
	for range 10 {
		s.beats("i-1", "i-2")
		s.pass(time.Second)
	}
	if grown := s.replica.Node().LastIndex() - before; grown > 0 {
		t.Fatalf("the log grew by %d entries", grown)
	}
}

// TestAnyFindsTheLeaderBesideASilentAddress: one that takes connections and says nothing holds nobody up, and a follower's
// word is followed at once, also when the leader failed a moment ago.
func TestAnyFindsTheLeaderBesideASilentAddress(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	leader, follower := freeLoopback(t), freeLoopback(t)
	listenWith(t, leader, Response{Kind: ResponseOK})
	listenWith(t, follower, Response{Kind: ResponseNotLeader, Leader: leader})
	client := NewClient(transport.NewClient("", nil), []string{silent.Addr().String(), follower})
	client.failed.Store(&failure{address: leader, at: clock.Now()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := client.Any(ctx, Request{Status: &StatusRequest{}})
	if err != nil || response.Kind != ResponseOK {
		t.Fatalf("response %+v, error %v", response, err)
	}
	if ctx.Err() != nil || client.target() != leader {
		t.Fatalf("the next question goes to %s", client.target())
	}
}

// TestHeldWeightsNeedARegistration: an instance that has ended leaves nothing behind.
func TestHeldWeightsNeedARegistration(t *testing.T) {
	machine := catalog.NewMachine()
	held := catalog.Command{Loaded: []catalog.LoadedWeights{{Instance: "i-1", WeightsVersion: catalog.WeightsVersion{Model: "m", Version: 3}}}}
	machine.Apply(held)
	if machine.LoadedVersions("i-1") != nil {
		t.Fatal("an unknown instance holds weights")
	}
	machine.Apply(catalog.Command{Register: &catalog.Instance{ID: "i-1", Address: "a"}})
	machine.Apply(held)
	held.Loaded[0].Version = 2
	machine.Apply(held)
	if machine.LoadedVersions("i-1")["m"] != 3 {
		t.Fatalf("held %v after an older report", machine.LoadedVersions("i-1"))
	}
	machine.Apply(catalog.Command{Deregister: "i-1"})
	if machine.LoadedVersions("i-1") != nil {
		t.Fatal("an ended instance holds weights")
	}
}

// countingDriver counts the calls that reach a back end.
type countingDriver struct{ calls int }

func (d *countingDriver) Weights(context.Context, WeightsCall) WeightsResult {
	d.calls++
	return WeightsResult{Kind: WeightsTaken}
}

// TestOrderDecidedBeforeASuspensionIsNotGiven: the machine was suspended between the decision and the call, and another replica may
// lead by now.
func TestOrderDecidedBeforeASuspensionIsNotGiven(t *testing.T) {
	driver := &countingDriver{}
	at := time.Second
	s := &Server{driver: driver, log: zap.NewNop(), inputs: make(chan input, 2), now: func() time.Duration { return at }}
	made := decidedCall{call: WeightsCall{Kind: WeightsOrder, Instance: "i-1"}, at: at}
	s.callBackend(t.Context(), made)
	at += 2 * time.Second
	s.callBackend(t.Context(), made)
	if first, second := *(<-s.inputs).weights, *(<-s.inputs).weights; driver.calls != 1 || first.Kind != WeightsTaken || second.Kind != WeightsRefused {
		t.Fatalf("%d calls, results %+v and %+v", driver.calls, first, second)
	}
}
