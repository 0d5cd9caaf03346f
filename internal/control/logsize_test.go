package control

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// largeDocument returns a document of the given revision with the given number of routes, and a source of similar size.
func largeDocument(revision uint64, routes int) *catalog.Document {
	document := &catalog.Document{Revision: revision, Services: []catalog.Service{{Name: "engine", Engine: true}}}
	for i := range routes {
		document.Routes = append(document.Routes, catalog.Route{
			Name: fmt.Sprintf("r-%07x", uint64(i+1)*2654435761%(1<<28)), Host: "north.example", PathPrefix: fmt.Sprintf("/big/%07x/", uint64(i+1)*40503%(1<<28)),
			Targets: []catalog.Target{{Service: "engine", Weight: int(revision)}}, Timeout: time.Duration(2000+i%50) * time.Millisecond, MaxAttempts: 2,
		})
	}
	source, err := json.Marshal(document.Routes)
	if err != nil {
		panic(err)
	}
	document.Source = source
	return document
}

// folderBytes returns the total size of the files in a folder.
func folderBytes(t *testing.T, folder string) int64 {
	t.Helper()
	total := int64(0)
	err := filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			total += info.Size()
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return total
}

// TestLargeDocumentsDoNotFillTheDisk guards against a log that is cut by the number of its entries only, whatever their
// size.
func TestLargeDocumentsDoNotFillTheDisk(t *testing.T) {
	const diskLimit, changes, routes = 32 << 20, 60, 1400
	s := openSingleReplica(t, t.TempDir())
	s.changeConfig(func(config *Config) { config.SnapshotEvery, config.DiskLimit = 400, diskLimit })
	for revision := uint64(1); revision <= changes; revision++ {
		if reply := s.ask(Request{Catalog: &catalog.Command{Replace: largeDocument(revision, routes)}}); reply.Kind != ResponseOK {
			t.Fatalf("revision %d: reply %+v, want ok", revision, reply)
		}
		if held := folderBytes(t, s.folder); held > diskLimit/2 {
			t.Fatalf("the folder holds %d bytes after revision %d; with a checkpoint beside it, it exceeds the limit of %d", held, revision, diskLimit)
		}
	}
	if err := s.disk.Close(); err != nil {
		t.Fatal(err)
	}
	if held := openSingleReplica(t, s.folder).replica.Machine().Catalog().Document(); held.Revision != changes || len(held.Routes) != routes {
		t.Fatalf("restored revision %d with %d routes, want %d with %d", held.Revision, len(held.Routes), changes, routes)
	}
}
