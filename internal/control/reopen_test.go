package control

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/node"
	"kitetiller/internal/storage"
	"kitetiller/internal/storage/faulty"
)

// hangTimeout ends a test that waits for something that never happens.
const hangTimeout = 5 * time.Minute

// startSingleServer starts a control process that is a group of its own, on the given file system.
func startSingleServer(t *testing.T, files *faulty.FileSystem) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	return startServer(t, files, "c1", address, address)
}

// startServer starts a control process of a group of one voter, on the given file system.
func startServer(t *testing.T, files storage.FileSystem, name, address, founder string) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server, err := NewServerOn(ctx, files, &node.File{
		Name: name, Zone: "z", DataDir: filepath.Join(t.TempDir(), "data"),
		Control: &node.Control{InternalAddress: address, Admin: "127.0.0.1:0", Founders: []string{founder}, Replicas: 1, Heartbeat: 20 * time.Millisecond,
			SettingsLease: time.Second, RepairAfter: time.Hour, SnapshotEvery: 5000, GatewayViewTTL: time.Second},
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		select {
		case err := <-ended:
			t.Errorf("the process ended by itself: %v", err)
		default:
			cancel()
			<-ended
		}
	})
	return server
}

// TestFullDiskEndsNoProcess guards against control processes that end on a full disk and start again on the same one.
// Once there is room again, everything that was acknowledged is read back and changes are accepted.
func TestFullDiskEndsNoProcess(t *testing.T) {
	files := faulty.New(0)
	server := startSingleServer(t, files)
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	replace := func(revision uint64) bool {
		attempt, done := context.WithTimeout(ctx, time.Second)
		defer done()
		_, err := server.Ask(attempt, Request{Catalog: &catalog.Command{Replace: largeDocument(revision, 100)}})
		return err == nil
	}
	for !replace(1) { // until the group has formed
		if ctx.Err() != nil {
			t.Fatal("the group did not form")
		}
	}
	files.SetLimit(1)
	for server.usage.storageFailures.Load() == 0 {
		if replace(2) || ctx.Err() != nil {
			t.Fatal("a change was acknowledged on a full disk, or no write failed")
		}
	}
	files.SetLimit(0)
	for !replace(3) {
		if ctx.Err() != nil {
			t.Fatal("no change is accepted after there is room again")
		}
	}
	response, err := server.Ask(ctx, Request{Document: &DocumentRequest{}})
	if err != nil || response.Document.Revision != 3 {
		t.Fatalf("read back %+v, %v, want revision 3", response.Document, err)
	}
}

// TestFailedWriteLosesNothingAcknowledged lets writes fail one after the other, at any of their steps.
func TestFailedWriteLosesNothingAcknowledged(t *testing.T) {
	files := faulty.New(0)
	server := startSingleServer(t, files)
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	for revision := uint64(1); revision <= 40; revision++ {
		if _, err := server.Ask(ctx, Request{Catalog: &catalog.Command{Replace: largeDocument(revision, 10)}}); err != nil {
			t.Fatalf("revision %d: %v", revision, err)
		}
		files.FailOperation(int(revision) % 5)
		response, err := server.Ask(ctx, Request{Document: &DocumentRequest{}})
		if err != nil || response.Document.Revision != revision {
			t.Fatalf("read back %+v, %v, want revision %d", response.Document, err, revision)
		}
	}
}

// TestFullDiskOfAJoiningReplicaAddsOneMember guards against a replica that joins under a new ID each time its first write fails.
func TestFullDiskOfAJoiningReplicaAddsOneMember(t *testing.T) {
	const failures = 3
	leader := startSingleServer(t, faulty.New(0))
	files := faulty.New(1)
	joining := startServer(t, files, "c2", freeLoopbackAddress(t), leader.file.Control.InternalAddress)
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	wait := func(what string, done func() bool) {
		t.Helper()
		for !done() {
			if ctx.Err() != nil {
				t.Fatal(what)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	wait("no write failed on a full disk", func() bool { return joining.usage.storageFailures.Load() >= failures })
	files.SetLimit(0)
	wait("the replica has no state after there is room again", func() bool {
		return joining.queryReplica(func(replica *Replica) bool { return replica.Node().LastIndex() > 0 })
	})
	if !leader.queryReplica(func(replica *Replica) bool { return len(replica.Node().Membership().Members) == 2 }) {
		t.Fatalf("the group has other members than its voter and the replica that joined, after %d failures", failures)
	}
}
