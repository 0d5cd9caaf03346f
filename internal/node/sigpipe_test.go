package node

import (
	"os"
	"os/exec"
	"testing"
	"time"
)

// logOnlyVariable makes the test program write a log line and end.
const logOnlyVariable = "KITETILLER_TEST_LOG_ONLY"

// TestProcessOutlivesTheReaderOfItsLog guards against processes that end, at each start anew, because nobody reads their log.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	if os.Getenv(logOnlyVariable) != "" {
		log, err := NewLogger("info", "test")
		if err != nil {
			t.Fatal(err)
		}
		log.Info("nobody reads this")
		for log.Dropped() == 0 { // until the line could not be written
			time.Sleep(time.Millisecond)
		}
		return
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	command.Env = append(os.Environ(), logOnlyVariable+"=1")
	command.Stderr = writer
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	if err := command.Run(); err != nil {
		t.Fatalf("a process whose log nobody reads ended with %v", err)
	}
	_ = writer.Close()
}
