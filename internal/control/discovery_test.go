package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/node"
	"kitetiller/internal/storage"
)

// groupProcess is a control process of a group on loopback that can be stopped and started.
type groupProcess struct {
	file   *node.File
	server *Server
	cancel context.CancelFunc
	ended  chan error
}

// start starts the process from its data folder.
func (p *groupProcess) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server, err := NewServerOn(ctx, storage.OperatingSystem, p.file, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	p.server, p.cancel, p.ended = server, cancel, make(chan error, 1)
	go func() { p.ended <- server.Run(ctx) }()
}

func (p *groupProcess) stop() {
	p.cancel()
	<-p.ended
}

// loseData removes the data folder of a stopped process, which may not create a group from then on.
func (p *groupProcess) loseData(t *testing.T) {
	t.Helper()
	p.file.Control.JoinOnly = true
	if err := os.RemoveAll(p.file.DataDir); err != nil {
		t.Fatal(err)
	}
}

// startGroup starts a group of voters, the first of which are the seeds of all.
func startGroup(t *testing.T, voters, seeds int) []*groupProcess {
	t.Helper()
	var addresses []string
	for range voters {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, listener.Addr().String())
		defer listener.Close() // only once all addresses are drawn, so that they differ
	}
	folder := t.TempDir()
	var processes []*groupProcess
	for i, address := range addresses {
		name := fmt.Sprint("c", i)
		processes = append(processes, &groupProcess{file: &node.File{
			Name: name, Zone: "z", DataDir: filepath.Join(folder, name),
			Control: &node.Control{InternalAddress: address, Admin: "127.0.0.1:0", Founders: addresses[:seeds], Replicas: voters, Heartbeat: 60 * time.Millisecond,
				SettingsLease: time.Second, RepairAfter: time.Hour, SnapshotEvery: 5000, GatewayViewTTL: time.Second},
		}})
	}
	return processes
}

// replaceDocument sends a document until the group acknowledges it.
func replaceDocument(t *testing.T, server *Server, revision uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	for ctx.Err() == nil {
		attempt, done := context.WithTimeout(ctx, time.Second)
		_, err := server.Ask(attempt, Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: revision}}})
		done()
		if err == nil {
			return
		}
	}
	t.Fatalf("revision %d was not acknowledged", revision)
}

// TestGroupIsFoundThoughAllSeedsLostTheirData guards against a group with a leader that nobody finds, because every
// configured address belongs to a process without data.
func TestGroupIsFoundThoughAllSeedsLostTheirData(t *testing.T) {
	const voters, seeds = 5, 2
	processes := startGroup(t, voters, seeds)
	for _, p := range processes {
		p.start(t)
		defer func() { p.stop() }()
	}
	replaceDocument(t, processes[0].server, 1)
	for _, p := range processes {
		p.stop()
	}
	for _, p := range processes[:seeds] {
		p.loseData(t)
	}
	for _, p := range processes {
		p.start(t)
	}
	// A client that knows only the seeds, as a process that starts, must reach the leader.
	replaceDocument(t, processes[0].server, 2)
}
