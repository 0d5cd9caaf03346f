package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"kitetiller/internal/consensus"
	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
	"kitetiller/internal/level"
	"kitetiller/internal/settings"
	"kitetiller/internal/storage"
)

// singleReplica is a group of one replica with a data folder on disk and a simulated clock.
type singleReplica struct {
	t            *testing.T
	folder       string
	disk         *Disk
	replica      *Replica
	now          time.Duration
	wallOffset   time.Duration // offset of the wall clock from the replica's clock
	replies      map[uint64]Response
	weightsCalls []WeightsCall
}

// testWallStart is the wall clock at the start of a test, in Unix milliseconds.
const testWallStart = 1_700_000_000_000

func singleReplicaConfig(id consensus.ID) Config {
	timing := consensus.Timing{Heartbeat: 100 * time.Millisecond, ElectionMin: 700 * time.Millisecond, ElectionMax: 1400 * time.Millisecond, Lease: 500 * time.Millisecond}
	return Config{ID: id, Name: "c1", Address: "a", Timing: timing, Replicas: 1, SettingsLease: 2 * time.Second, RepairAfter: time.Hour,
		SnapshotEvery: 40, Level: level.Current, Random: func(n int64) int64 { return n / 2 }}
}

func openSingleReplica(t *testing.T, folder string) *singleReplica {
	t.Helper()
	disk, identity, restored, err := OpenDisk(folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if restored.Snapshot.Meta.Index == 0 {
		restored = BootstrapState(consensus.Member{ID: identity.ID, Name: "c1", Address: "a"})
		if _, err := disk.Write(Persist{Checkpoint: &restored}); err != nil {
			t.Fatal(err)
		}
	}
	replica, err := NewReplica(singleReplicaConfig(identity.ID), restored, 0)
	if err != nil {
		t.Fatal(err)
	}
	s := &singleReplica{t: t, folder: folder, disk: disk, replica: replica, replies: map[uint64]Response{}}
	s.advance(3 * time.Second)
	return s
}

func (s *singleReplica) advance(length time.Duration) {
	for end := s.now + length; s.now < end; s.now += 50 * time.Millisecond {
		s.replica.Tick(s.now, testWallStart+(s.wallOffset+s.now).Milliseconds())
		s.work()
	}
}

func (s *singleReplica) work() {
	for s.replica.HasWork() {
		if persist := s.replica.Prepare(); !persist.Empty() {
			if _, err := s.disk.Write(persist); err != nil {
				s.t.Fatal(err)
			}
		}
		effects := s.replica.Advance(s.now)
		for _, reply := range effects.Replies {
			s.replies[reply.Client] = reply.Response
		}
		s.weightsCalls = append(s.weightsCalls, effects.WeightsCalls...)
		s.replica.ObserveStorage(s.disk.Size())
	}
}

func (s *singleReplica) ask(request Request) Response {
	client := uint64(len(s.replies) + 1)
	s.replica.Handle(s.now, client, request)
	s.work()
	return s.replies[client]
}

func (s *singleReplica) changeQueueLimit(base uint64, value int) settings.Outcome {
	edit := settings.Edit{Path: "/", Setting: "queue_limit", Value: json.RawMessage(fmt.Sprint(value))}
	response := s.ask(Request{Change: &settings.Change{Base: base, OperationID: fmt.Sprint(base, "-", value), Edits: []settings.Edit{edit}}})
	if response.Change == nil {
		s.t.Fatalf("response without the outcome of the change: %+v", response)
	}
	return *response.Change
}

// TestRestartRestoresNewestSettingsVersion guards against changes lost by snapshots, compaction or replay.
func TestRestartRestoresNewestSettingsVersion(t *testing.T) {
	folder := t.TempDir()
	s := openSingleReplica(t, folder)
	for i := range 300 {
		if outcome := s.changeQueueLimit(uint64(i), i); outcome.Kind != settings.OutcomeAccepted {
			t.Fatalf("change %d was not accepted: %+v", i, outcome)
		}
		if i%100 == 50 {
			_ = s.disk.Close()
			s = openSingleReplica(t, folder)
		}
	}
	_ = s.disk.Close()
	s = openSingleReplica(t, folder)
	read := s.ask(Request{Read: &Read{History: true}}).Read
	if read.Version != 300 || read.Tree.Resolve().QueueLimit != 299 {
		t.Fatalf("after restart: version %d, queue_limit %d, want 300 and 299", read.Version, read.Tree.Resolve().QueueLimit)
	}
	if resent := s.changeQueueLimit(7, 7); resent.Kind != settings.OutcomeAccepted || resent.Version != 8 {
		t.Fatalf("resend of an old change: outcome %+v, want accepted as version 8", resent)
	}
}

func TestOpenDiskRejectsFolderOfAnotherReplica(t *testing.T) {
	folder := t.TempDir()
	s := openSingleReplica(t, folder)
	_ = s.disk.Close()
	before := listFolder(t, folder)
	if _, _, _, err := OpenDisk(folder, "c2"); !errors.Is(err, storage.ErrForeign) {
		t.Fatalf("OpenDisk under another name: error %v, want ErrForeign", err)
	}
	if after := listFolder(t, folder); after != before {
		t.Fatalf("contents of the data folder changed from %s to %s", before, after)
	}
}

func listFolder(t *testing.T, folder string) string {
	t.Helper()
	text := ""
	err := filepath.Walk(folder, func(path string, info os.FileInfo, err error) error {
		text += fmt.Sprintf("%s %d;", filepath.Base(path), info.Size())
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestWipedFolderGetsNewReplicaID(t *testing.T) {
	first := openSingleReplica(t, t.TempDir())
	second := openSingleReplica(t, t.TempDir())
	if first.replica.config.ID == second.replica.config.ID {
		t.Fatalf("both data folders have replica ID %s", first.replica.config.ID)
	}
}

// TestVersionInForceOnlyAfterAllLeasesAcknowledgeIt guards against a settings version reported as in force while a
// router may still serve with an earlier one.
func TestVersionInForceOnlyAfterAllLeasesAcknowledgeIt(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	s.changeQueueLimit(0, 1)
	beat := Heartbeat{Router: "r", Incarnation: 1, HasSettings: true, Acked: 1}
	beat.Epoch = s.ask(Request{Heartbeat: &beat}).Heartbeat.Epoch
	if reply := s.ask(Request{Heartbeat: &beat}).Heartbeat; reply.Lease == 0 {
		t.Fatalf("heartbeat that acknowledges the version got no lease: %+v", reply)
	}
	s.changeQueueLimit(1, 2)
	if read := s.ask(Request{Read: &Read{}}).Read; read.InForce != 1 {
		t.Fatalf("version in force while a router holds a lease at version 1: got %d, want 1", read.InForce)
	}
	s.advance(3 * time.Second)
	if read := s.ask(Request{Read: &Read{}}).Read; read.InForce != 2 {
		t.Fatalf("version in force after the lease expired: got %d, want 2", read.InForce)
	}
}

func TestClaimIsUnknownAfterSessionEnds(t *testing.T) {
	s := openSingleReplica(t, t.TempDir())
	beat := Heartbeat{Router: "r", Incarnation: 1}
	epoch := s.ask(Request{Heartbeat: &beat}).Heartbeat.Epoch
	claim := ledger.Claim{Key: ledger.Key{Tenant: "t", Service: "s", Key: "k"}, Digest: 1, ClaimID: "c1", Holder: ledger.Holder{Router: "r", Epoch: epoch}, RetentionMS: 60_000}
	if got := s.ask(Request{Claim: &claim}).Claim.Kind; got != ledger.Granted {
		t.Fatalf("first claim: got %s, want granted", got)
	}
	s.advance(3 * time.Second)
	claim.ClaimID = "c2"
	if got := s.ask(Request{Claim: &claim}).Claim.Kind; got != ledger.RunUnknown {
		t.Fatalf("claim after the session expired: got %s, want run unknown", got)
	}
}

// FuzzStepRaftBatch guards against crashes of the decoder or a replica caused by malformed messages of a peer.
func FuzzStepRaftBatch(f *testing.F) {
	f.Add([]byte(`{"address":"a","messages":[{"kind":4,"from":"x","to":"c1","term":9,"index":3,"entries":[{"i":4,"t":9}]}]}`))
	f.Add([]byte(`{"messages":[{"kind":2,"from":"x","to":"c1","term":7}]}`))
	f.Add([]byte(`{"messages":[{"kind":6,"from":"x","to":"c1","term":7,"snapshot":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch raftBatch
		if json.Unmarshal(data, &batch) != nil {
			return
		}
		replica, err := NewReplica(singleReplicaConfig("c1"), Checkpoint{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range batch.Messages {
			if message.Kind == consensus.MessageVote || message.Kind == consensus.MessagePreVote {
				replica.Step(0, message)
			}
		}
	})
}

// FuzzApplyCommand guards against decodable commands that crash the state machine or make its snapshot unreadable.
func FuzzApplyCommand(f *testing.F) {
	f.Add([]byte(`{"ms":1,"change":{"base":0,"operation_id":"a","edits":[{"path":"/","setting":"queue_limit","value":3}]}}`))
	f.Add([]byte(`{"claim":{"key":{"key":"k"},"claim_id":"c"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var command Command
		if json.Unmarshal(data, &command) != nil {
			return
		}
		machine := NewMachine(guard.Set{})
		machine.Apply(2, 1, command)
		restored := NewMachine(guard.Set{})
		if err := restored.Restore(machine.Snapshot()); err != nil {
			t.Fatalf("restoring the machine's own snapshot: %v", err)
		}
	})
}
