package node

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kitetiller/internal/events"
)

const (
	// logBufferLines is how many lines may wait until the reader of the log takes them.
	logBufferLines = 2048
	// logBufferReserve is the part of the ring that is kept for lines other than routine ones.
	logBufferReserve = 512
	// logFlushTimeout is how long the end of a process waits for the lines that are left.
	logFlushTimeout = 200 * time.Millisecond
	// droppedReportInterval is how often the log tells how many lines were dropped since, if any were.
	droppedReportInterval = 5 * time.Second
)

// Log is a process's log of JSON lines. Writing to it never waits for whoever reads it: lines that the reader does not
// take in time are dropped, routine ones first, and counted.
type Log struct {
	*zap.Logger
	writer *asyncWriter
}

// NewLogger returns a log on standard error.
func NewLogger(level, name string) (*Log, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	return newLog(parsed, name, newAsyncWriter(zapcore.Lock(os.Stderr))), nil
}

// NopLog returns a log that keeps nothing.
func NopLog() *Log { return &Log{Logger: zap.NewNop(), writer: &asyncWriter{}} }

// Dropped returns how many lines were dropped since the start.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

func newLog(level zapcore.Level, name string, writer *asyncWriter) *Log {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, level)
	log := &Log{Logger: zap.New(priorityCore{core, writer}).With(zap.String("node", name)), writer: writer}
	go writer.run(func(count uint64) { log.Warn(events.LogLinesDropped, zap.Uint64("count", count)) })
	return log
}

// priorityCore drops routine lines while the ring is short of room.
type priorityCore struct {
	zapcore.Core
	writer *asyncWriter
}

// With returns a core whose lines carry the fields.
func (c priorityCore) With(fields []zapcore.Field) zapcore.Core {
	return priorityCore{c.Core.With(fields), c.writer}
}

// Check adds the core to the entries that are written.
func (c priorityCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write passes a line to the ring, or drops it.
func (c priorityCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if events.IsRoutine(entry.Message) && len(c.writer.lines) >= logBufferLines-logBufferReserve {
		c.writer.dropped.Add(1)
		return nil
	}
	return c.Core.Write(entry, fields)
}

// asyncWriter takes log lines without ever waiting; a thread of its own writes them.
type asyncWriter struct {
	out     zapcore.WriteSyncer
	lines   chan []byte   // closed never
	dropped atomic.Uint64 // only rises
}

func newAsyncWriter(out zapcore.WriteSyncer) *asyncWriter {
	return &asyncWriter{out: out, lines: make(chan []byte, logBufferLines)}
}

// run is the thread that writes, and tells how many lines were dropped.
func (r *asyncWriter) run(reportDropped func(count uint64)) {
	r.runWithInterval(droppedReportInterval, reportDropped)
}

func (r *asyncWriter) runWithInterval(interval time.Duration, reportDropped func(count uint64)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-r.lines:
			_, _ = r.out.Write(line) // a reader that is gone cannot be told
		case <-ticker.C:
			if count := r.dropped.Load(); count > reported {
				reportDropped(count - reported)
				reported = count
			}
		}
	}
}

// Write takes a line, or drops it when the ring is full.
func (r *asyncWriter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits a little for the lines that are left.
func (r *asyncWriter) Sync() error {
	for deadline := time.Now().Add(logFlushTimeout); len(r.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
