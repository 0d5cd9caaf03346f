package control

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/node"
	"kitetiller/internal/storage"
	"kitetiller/internal/storage/slow"
	"kitetiller/internal/transport"
)

// serveGroup serves the address of a member of a group, and returns the IDs of the replicas that ask it to join.
func serveGroup(t *testing.T, address string) <-chan string {
	t.Helper()
	joined := make(chan string, 16)
	serve(t, address, func(request transport.Request, respond transport.Respond) {
		var decoded Request
		if request.Path == PathRequest && json.Unmarshal(request.Body, &decoded) == nil && decoded.Join != nil {
			joined <- string(decoded.Join.ID)
			respond(http.StatusOK, Response{Kind: ResponseOK})
			return
		}
		respond(http.StatusOK, HelloReply{HasState: true})
	})
	return joined
}

// TestReplicaJoinsWhileItsFolderIsSynced guards against a replica that joins late because it waits for its disk, and against one
// that comes back under another ID after a loss of power although it has joined long ago.
func TestReplicaJoinsWhileItsFolderIsSynced(t *testing.T) {
	seed, own := freeLoopbackAddress(t), freeLoopbackAddress(t)
	joined := serveGroup(t, seed)
	synced := make(chan struct{})
	files := slow.New(storage.OperatingSystem, func() time.Duration { <-synced; return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	folder := filepath.Join(t.TempDir(), "data")
	server, err := NewServerOn(ctx, files, &node.File{
		Name: "c1", Zone: "z", DataDir: folder,
		Control: &node.Control{InternalAddress: own, Admin: "127.0.0.1:0", Founders: []string{seed}, JoinOnly: true, Replicas: 3, Heartbeat: 20 * time.Millisecond,
			SettingsLease: time.Second, RepairAfter: time.Hour, SnapshotEvery: 5000, GatewayViewTTL: time.Second},
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	id := ""
	select {
	case id = <-joined:
	case <-time.After(hangTimeout):
		t.Fatal("the replica doesn't ask to join while its folder is being synced")
	}
	close(synced)
	for server.Syncs().Count.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	disk, identity, _, err := OpenDisk(folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	if string(identity.ID) != id {
		t.Fatalf("the replica that joined as %s comes back as %s", id, identity.ID)
	}
}

// Guards against a replica that never gets into the group: the leader that accepted it ended before the entry was committed, or the
// group removed it before it had its first snapshot.
func TestReplicaWithoutStateJoinsAgainIfItHearsNoLeader(t *testing.T) {
	seed := freeLoopbackAddress(t)
	joined := serveGroup(t, seed)
	startServer(t, storage.OperatingSystem, "c1", freeLoopbackAddress(t), seed)
	for range 2 {
		select {
		case <-joined:
		case <-time.After(hangTimeout):
			t.Fatal("no second request to join although no leader was heard")
		}
	}
}
