package unsynced

import (
	"io"
	"os"
	"path/filepath"
	"testing"
)

// What is written reaches the operating system when it is synced or closed, and is read back before.
func TestUnsyncedWritesStayInMemory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	f, err := New().Open(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if _, err := io.WriteString(f, text); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(want string) {
		t.Helper()
		if got, err := os.ReadFile(path); err != nil || string(got) != want {
			t.Fatalf("file holds %q, %v, want %q", got, err, want)
		}
	}
	write("synced ")
	expect("")
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	expect("synced ")
	write("unsynced")
	expect("synced ")
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(f); err != nil || string(got) != "synced unsynced" {
		t.Fatalf("read %q, %v", got, err)
	}
	if err := f.Truncate(3); err != nil {
		t.Fatal(err)
	}
	write("!")
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	expect("syn!")
}
