package node

import (
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"kitetiller/internal/events"
)

// blockingWriter blocks all writes until unblocked is closed, and records the lines.
type blockingWriter struct {
	unblocked chan struct{} // closed to let writes proceed
	mu        sync.Mutex
	lines     []string // guarded by mu
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, string(line))
	return len(line), nil
}

func (*blockingWriter) Sync() error { return nil }

func (w *blockingWriter) count(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, line := range w.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// TestLoggingDoesNotBlockOnStalledOutput: logging continues while the output is blocked, and dropped lines are counted.
func TestLoggingDoesNotBlockOnStalledOutput(t *testing.T) {
	output := &blockingWriter{unblocked: make(chan struct{})}
	defer close(output.unblocked)
	log := newLog(zapcore.InfoLevel, "n", newAsyncWriter(output))
	const written = 5 * logBufferLines
	for range written {
		log.Info("line")
	}
	if dropped := log.Dropped(); dropped < written-logBufferLines-1 || dropped >= written {
		t.Fatalf("%d of %d lines were dropped, want all but those that the buffer holds", dropped, written)
	}
}

// TestRoutineLinesAreDroppedBeforeOthers: while the output is blocked, routine lines leave the reserve to other lines,
// which are all written once the output is unblocked; the number of dropped lines is reported.
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
		t.Fatalf("%d lines dropped and %d buffered, want most dropped and the buffer within its bound", dropped, len(writer.lines))
	}
	close(output.unblocked)
	for range 1000 {
		if output.count(events.InstanceGone) == otherLines && len(writer.lines) == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := output.count(events.InstanceGone); got != otherLines {
		t.Fatalf("%d of %d lines that aren't routine were written", got, otherLines)
	}
	reports := make(chan uint64, 1)
	secondWriter := newAsyncWriter(output)
	secondWriter.dropped.Store(dropped)
	go secondWriter.runWithInterval(time.Millisecond, func(count uint64) { reports <- count })
	if reported := <-reports; reported != dropped {
		t.Fatalf("%d dropped lines reported, want %d", reported, dropped)
	}
}
