package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const testOwner = "replica-1"

func record(text string) Record { return Record{Kind: 2, Data: []byte(text)} }

// writeLog creates a log with one synced record per text and returns its folder.
func writeLog(t *testing.T, texts ...string) string {
	t.Helper()
	folder := t.TempDir()
	log, _, err := Open(folder, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range texts {
		log.Append(record(text))
		if err := log.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return folder
}

func segments(t *testing.T, folder string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil || len(paths) == 0 {
		t.Fatalf("segments %v, error %v, want at least one segment", paths, err)
	}
	return paths
}

func texts(records []Record) string {
	var all []string
	for _, r := range records {
		all = append(all, string(r.Data))
	}
	return strings.Join(all, " ")
}

func reopen(t *testing.T, folder string) string {
	t.Helper()
	log, records, err := Open(folder, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	return texts(records)
}

func TestSyncedRecordsSurviveReopen(t *testing.T) {
	if got := reopen(t, writeLog(t, "a", "b", "c")); got != "a b c" {
		t.Fatalf("read back %q, want \"a b c\"", got)
	}
}

func TestUnsyncedRecordsAreNotWritten(t *testing.T) {
	folder := t.TempDir()
	log, _, err := Open(folder, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	log.Append(record("never synced"))
	_ = log.Close()
	if got := reopen(t, folder); got != "" {
		t.Fatalf("read back %q, want no records", got)
	}
}

// Truncates the file at every length within the last record: the records before it must survive.
func TestTornTailIsTruncatedOnOpen(t *testing.T) {
	content, err := os.ReadFile(segments(t, writeLog(t, "first", "second"))[0])
	if err != nil {
		t.Fatal(err)
	}
	firstEnd := bytes.Index(content, []byte("first")) + len("first")
	for length := firstEnd; length < len(content); length++ {
		folder := writeLog(t, "first", "second")
		if err := os.Truncate(segments(t, folder)[0], int64(length)); err != nil {
			t.Fatal(err)
		}
		if got := reopen(t, folder); got != "first" {
			t.Fatalf("truncated to %d of %d bytes: read back %q, want \"first\"", length, len(content), got)
		}
	}
}

// Flips a bit in a record before the last one: Open must fail and leave the file unchanged.
func TestCorruptRecordFailsOpen(t *testing.T) {
	folder := writeLog(t, "first", "second", "third")
	path := segments(t, folder)[0]
	data, _ := os.ReadFile(path)
	data[bytes.Index(data, []byte("second"))] ^= 1
	if err := os.WriteFile(path, data, filePermissions); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(folder, testOwner); !errors.Is(err, ErrDamaged) {
		t.Fatalf("error %v, want ErrDamaged", err)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(after, data) {
		t.Fatal("Open changed the corrupt file")
	}
}

func TestFolderOfAnotherOwnerIsRejected(t *testing.T) {
	folder := writeLog(t, "a")
	if _, _, err := Open(folder, "replica-2"); !errors.Is(err, ErrForeign) {
		t.Fatalf("error %v, want ErrForeign", err)
	}
}

func TestNewerFormatIsRejected(t *testing.T) {
	folder := t.TempDir()
	source := writeLog(t, "a")
	data, _ := os.ReadFile(segments(t, source)[0])
	records, _, _ := DecodeRecords(data)
	segment := AppendRecord(nil, Record{Kind: KindHeader, Data: bytes.Replace(records[0].Data, []byte(`"format":1`), []byte(`"format":9`), 1)})
	if err := os.WriteFile(filepath.Join(folder, filepath.Base(segments(t, source)[0])), segment, filePermissions); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(folder, testOwner); !errors.Is(err, ErrNewerFormat) {
		t.Fatalf("error %v, want ErrNewerFormat", err)
	}
}

func TestCheckpointReplacesEverything(t *testing.T) {
	folder := writeLog(t, "old-1", "old-2")
	log, _, err := Open(folder, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Checkpoint(FirstFormat, slices.Values([]Record{record("state")})); err != nil {
		t.Fatal(err)
	}
	log.Append(record("after"))
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	if got := reopen(t, folder); got != "state after" {
		t.Fatalf("read back %q, want \"state after\"", got)
	}
}

// TestLogMatchesModel compares the log with a slice model under random appends, syncs, checkpoints and restarts.
func TestLogMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "log")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		log, _, err := Open(folder, testOwner)
		if err != nil {
			t.Fatal(err)
		}
		var durable, pending []string
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				text := rapid.StringMatching(`[a-z]{1,20}`).Draw(t, "text")
				log.Append(record(text))
				pending = append(pending, text)
			},
			"sync": func(t *rapid.T) {
				if err := log.Sync(); err != nil {
					t.Fatal(err)
				}
				durable, pending = append(durable, pending...), nil
			},
			"checkpoint": func(t *rapid.T) {
				if len(pending) > 0 {
					t.Skip("a checkpoint follows a sync")
				}
				if err := log.Checkpoint(FirstFormat, slices.Values([]Record{record("state")})); err != nil {
					t.Fatal(err)
				}
				durable = []string{"state"}
			},
			"restart": func(t *rapid.T) {
				_ = log.Close()
				var records []Record
				if log, records, err = Open(folder, testOwner); err != nil {
					t.Fatal(err)
				}
				pending = nil
				if got := texts(records); got != strings.Join(durable, " ") {
					t.Fatalf("read back %q, want records %q", got, durable)
				}
			},
		})
		_ = log.Close()
	})
}

// FuzzDecodeRecords checks that no input panics and that the decoded records encode to the same bytes.
func FuzzDecodeRecords(f *testing.F) {
	f.Add([]byte{})
	f.Add(AppendRecord(nil, record("one")))
	f.Add(AppendRecord(AppendRecord(nil, record("one")), record("two"))[:20])
	f.Fuzz(func(t *testing.T, data []byte) {
		records, length, _ := DecodeRecords(data)
		var encoded []byte
		for _, r := range records {
			encoded = AppendRecord(encoded, r)
		}
		if !bytes.Equal(encoded, data[:length]) {
			t.Fatalf("%d records decoded from %d bytes re-encode to %d bytes that differ", len(records), length, len(encoded))
		}
	})
}
