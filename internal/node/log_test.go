package node

import (
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"kitetiller/internal/events"
)

// blockingWriter takes lines only while it is free.
type blockingWriter struct {
	unblocked chan struct{} // closed once it takes lines
	mu        sync.Mutex
	lines     []string // guarded by mu
}

func (s *blockingWriter) Write(line []byte) (int, error) {
	<-s.unblocked
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(line))
	return len(line), nil
}

func (*blockingWriter) Sync() error { return nil }

func (s *blockingWriter) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, line := range s.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// TestLoggingDoesNotBlockOnStalledOutput: whoever logs goes on although nobody reads, and what is dropped is counted.
func TestLoggingDoesNotBlockOnStalledOutput(t *testing.T) {
	output := &blockingWriter{unblocked: make(chan struct{})}
	defer close(output.unblocked)
	log := newLog(zapcore.InfoLevel, "n", newAsyncWriter(output))
	const written = 5 * logBufferLines
	for range written {
		log.Info("line")
	}
	if dropped := log.Dropped(); dropped < written-logBufferLines-1 || dropped >= written {
		t.Fatalf("%d of %d lines dropped", dropped, written)
	}
}

// TestRoutineLinesAreDroppedBeforeOthers: while nobody reads, successes leave room for what else happens; once somebody reads
// again, all of that comes, and a line tells how many are missing.
func TestRoutineLinesAreDroppedBeforeOthers(t *testing.T) {
	output := &blockingWriter{unblocked: make(chan struct{})}
	writer := newAsyncWriter(output)
	log := newLog(zapcore.InfoLevel, "n", writer)
	for range 5 * logBufferLines {
		log.Info(events.RequestAnswered)
	}
	const otherLines = logBufferReserve - 2
	for range otherLines {
		log.Info(events.InstanceGone)
	}
	dropped := log.Dropped()
	if dropped < 4*logBufferLines || len(writer.lines) > logBufferLines {
		t.Fatalf("%d lines dropped, %d wait", dropped, len(writer.lines))
	}
	close(output.unblocked)
	for range 1000 {
		if output.count(events.InstanceGone) == otherLines && len(writer.lines) == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := output.count(events.InstanceGone); got != otherLines {
		t.Fatalf("%d of %d changes of belief were written", got, otherLines)
	}
	reports := make(chan uint64, 1)
	secondWriter := newAsyncWriter(output)
	secondWriter.dropped.Store(dropped)
	go secondWriter.runWithInterval(time.Millisecond, func(count uint64) { reports <- count })
	if reported := <-reports; reported != dropped {
		t.Fatalf("told of %d dropped lines, wanted %d", reported, dropped)
	}
}
