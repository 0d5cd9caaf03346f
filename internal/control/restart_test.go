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

// openUnelected opens a group of one that has just been restarted and has no leader yet.
func openUnelected(t *testing.T, folder string) *singleReplica {
	t.Helper()
	s := openSingleReplica(t, folder)
	if err := s.disk.Close(); err != nil {
		t.Fatal(err)
	}
	return reopenUnelected(t, folder)
}

// reopenUnelected opens a replica, without a leader yet, on the folder of a previous one.
func reopenUnelected(t *testing.T, folder string) *singleReplica {
	t.Helper()
	disk, identity, restored, err := OpenDisk(folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	replica, err := NewReplica(singleReplicaConfig(identity.ID), restored, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &singleReplica{t: t, folder: folder, disk: disk, replica: replica, replies: map[uint64]Response{}}
}

// TestWatchWaitsForLeaderElection guards against gateways that learn late of a new leader. A watch is held until a
// leader is elected, and rejected only when its hold time ends first.
func TestWatchWaitsForLeaderElection(t *testing.T) {
	s := openUnelected(t, t.TempDir())
	const holding, immediate = 1000, 1001
	s.replica.Handle(s.now, holding, Request{Watch: &Watch{Gateway: "g1", Hold: time.Second}})
	s.replica.Handle(s.now, immediate, Request{Watch: &Watch{Gateway: "g2"}})
	s.work()
	if len(s.replies) > 0 {
		t.Fatalf("watches answered before the election: %+v", s.replies)
	}
	s.replica.resolveAwaitingLeader(s.now)
	s.work()
	if s.replies[immediate].Kind != ResponseNotLeader {
		t.Fatalf("watch without hold time: reply %+v, want not-leader", s.replies[immediate])
	}
	s.advance(400 * time.Millisecond)
	if reply := s.replies[holding]; reply.Kind != ResponseOK && reply.Kind != ResponseNotFormed {
		t.Fatalf("watch with hold time: reply %+v, want ok or not-formed", reply)
	}
}

// TestWatchesAwaitingLeaderAreBounded checks that watches above the bound are rejected at once.
func TestWatchesAwaitingLeaderAreBounded(t *testing.T) {
	s := openUnelected(t, t.TempDir())
	for i := range maxAwaitingLeader + 1 {
		s.replica.Handle(s.now, uint64(i+1), Request{Watch: &Watch{Gateway: "g", Hold: time.Second}})
	}
	s.work()
	if len(s.replies) != 1 {
		t.Fatalf("%d of %d watches were rejected, want 1", len(s.replies), maxAwaitingLeader+1)
	}
}

// TestNewLeaderRestoresLoadedWeightsFromLog guards against a new leader that does not know which weights back ends
// hold until their first heartbeats, so that prefix caches go unused.
func TestNewLeaderRestoresLoadedWeightsFromLog(t *testing.T) {
	s := openWithEngines(t)
	s.advance(time.Second)
	if err := s.disk.Close(); err != nil {
		t.Fatal(err)
	}
	again := openSingleReplica(t, s.folder)
	entries := again.watchNow("g1", RosterVersion{}).Roster.Entries
	if len(entries) != 2 || entries[0].Versions["m"] != 1 || entries[1].Versions["m"] != 1 {
		t.Fatalf("roster %+v, want two back ends with version 1 of m", entries)
	}
}

// TestUnchangedWeightsAppendNoEntries guards against a log that grows with every heartbeat.
func TestUnchangedWeightsAppendNoEntries(t *testing.T) {
	s := openWithEngines(t)
	s.advance(time.Second)
	before := s.replica.Node().LastIndex()
	for range 10 {
		s.sendHeartbeats("i-1", "i-2")
		s.advance(time.Second)
	}
	if grown := s.replica.Node().LastIndex() - before; grown > 0 {
		t.Fatalf("log grew by %d entries, want 0", grown)
	}
}

// TestAnyFindsLeaderDespiteUnresponsiveAddress guards against clients delayed by an address that accepts connections but
// never answers, or by a recent failure of the leader that a follower names.
func TestAnyFindsLeaderDespiteUnresponsiveAddress(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	leader, follower := freeLoopbackAddress(t), freeLoopbackAddress(t)
	serveResponse(t, leader, Response{Kind: ResponseOK})
	serveResponse(t, follower, Response{Kind: ResponseNotLeader, Leader: leader})
	client := NewClient(transport.NewClient("", nil), []string{silent.Addr().String(), follower})
	client.lastFailure.Store(&failure{address: leader, at: clock.Now()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := client.AskAny(ctx, Request{Status: &StatusRequest{}})
	if err != nil || response.Kind != ResponseOK {
		t.Fatalf("Any: response %+v, error %v", response, err)
	}
	if ctx.Err() != nil || client.target() != leader {
		t.Fatalf("next request goes to %s, want the leader", client.target())
	}
}

// TestLoadedWeightsRequireRegistration guards against weights recorded for instances that are not or no longer
// registered.
func TestLoadedWeightsRequireRegistration(t *testing.T) {
	machine := catalog.NewMachine()
	held := catalog.Command{Loaded: []catalog.LoadedWeights{{Instance: "i-1", WeightsVersion: catalog.WeightsVersion{Model: "m", Version: 3}}}}
	machine.Apply(held)
	if machine.LoadedVersions("i-1") != nil {
		t.Fatal("weights recorded for an unregistered instance")
	}
	machine.Apply(catalog.Command{Register: &catalog.Instance{ID: "i-1", Address: "a"}})
	machine.Apply(held)
	held.Loaded[0].Version = 2
	machine.Apply(held)
	if machine.LoadedVersions("i-1")["m"] != 3 {
		t.Fatalf("weights %v after a report of an older version, want version 3 of m", machine.LoadedVersions("i-1"))
	}
	machine.Apply(catalog.Command{Deregister: "i-1"})
	if machine.LoadedVersions("i-1") != nil {
		t.Fatal("weights kept for a removed instance")
	}
}

// countingDriver counts the calls made to back ends.
type countingDriver struct{ calls int }

func (d *countingDriver) CallWeights(context.Context, WeightsCall) WeightsResult {
	d.calls++
	return WeightsResult{Kind: WeightsAccepted}
}

// TestStaleWeightsCallIsRefusedAfterSuspension guards against an order given after the machine was suspended between the
// decision and the call, when another replica may lead.
func TestStaleWeightsCallIsRefusedAfterSuspension(t *testing.T) {
	driver := &countingDriver{}
	at := time.Second
	s := &Server{driver: driver, log: zap.NewNop(), inputs: make(chan input, 2), now: func() time.Duration { return at }}
	made := queuedCall{call: WeightsCall{Kind: WeightsOrder, Instance: "i-1"}, queuedAt: at}
	s.callBackend(t.Context(), made)
	at += 2 * time.Second
	s.callBackend(t.Context(), made)
	if first, second := *(<-s.inputs).weights, *(<-s.inputs).weights; driver.calls != 1 || first.Kind != WeightsAccepted || second.Kind != WeightsRejected {
		t.Fatalf("%d calls, want 1; results %+v and %+v, want taken and refused", driver.calls, first, second)
	}
}
