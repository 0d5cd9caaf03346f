package node

import (
	"testing"

	"go.uber.org/zap/zapcore"
)

// stuckReader takes one line and never another.
type stuckReader struct{ free chan struct{} }

func (s stuckReader) Write(line []byte) (int, error) {
	<-s.free
	return len(line), nil
}

func (stuckReader) Sync() error { return nil }

// TestStuckReaderHoldsNothingUp: whoever logs goes on although nobody reads, and what is dropped is counted.
func TestStuckReaderHoldsNothingUp(t *testing.T) {
	reader := stuckReader{free: make(chan struct{})}
	defer close(reader.free)
	ring := newLineRing(reader)
	log := newLogger(zapcore.InfoLevel, "n", ring)
	const lines = 5 * logRing
	for range lines {
		log.Info("line")
	}
	if dropped := ring.dropped.Load(); dropped < lines-logRing-1 || dropped >= lines {
		t.Fatalf("%d of %d lines dropped", dropped, lines)
	}
}
