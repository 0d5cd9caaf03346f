package node

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logRing is how many lines may wait until the reader of the log takes them.
	logRing = 2048
	// logFlushWait is how long the end of a process waits for the lines that are left.
	logFlushWait = 200 * time.Millisecond
)

// lineRing takes log lines without ever waiting: a thread of its own writes them, and what the reader does not take in
// time is dropped and counted.
type lineRing struct {
	out     zapcore.WriteSyncer
	lines   chan []byte
	dropped atomic.Uint64
}

// newLineRing starts the thread that writes to out.
func newLineRing(out zapcore.WriteSyncer) *lineRing {
	ring := &lineRing{out: out, lines: make(chan []byte, logRing)}
	go func() {
		for line := range ring.lines {
			_, _ = out.Write(line) // a reader that is gone cannot be told
		}
	}()
	return ring
}

// Write takes a line, or drops it when the ring is full.
func (r *lineRing) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits a little for the lines that are left.
func (r *lineRing) Sync() error {
	for end := time.Now().Add(logFlushWait); len(r.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// NewLogger returns a logger of JSON lines on standard error that never waits for whoever reads them.
func NewLogger(level, name string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	return newLogger(parsed, name, newLineRing(zapcore.Lock(os.Stderr))), nil
}

func newLogger(level zapcore.Level, name string, out zapcore.WriteSyncer) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, level)
	return zap.New(core).With(zap.String("node", name))
}
