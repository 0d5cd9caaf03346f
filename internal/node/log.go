package node

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kitetiller/internal/events"
)

const (
	// logBufferLines is the number of lines buffered for the output.
	logBufferLines = 2048
	// logBufferReserve is the part of the buffer that routine lines may not use.
	logBufferReserve = 512
	// logFlushTimeout bounds how long Sync waits for buffered lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// droppedReportInterval is the interval between log lines that report newly dropped lines.
	droppedReportInterval = 5 * time.Second
)

// Log is a process's log of JSON lines. Logging never blocks on the output: lines that don't fit in the buffer are
// dropped, routine ones first, and counted.
type Log struct {
	*zap.Logger
	writer *asyncWriter
}

// NewLogger returns a log that writes to standard error. From then on the process outlives the reader of its output: without
// one, lines are dropped.
func NewLogger(level, name string) (*Log, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	signal.Ignore(syscall.SIGPIPE) // by default, a write to standard output or error ends the process if nobody reads it
	return newLog(parsed, name, newAsyncWriter(zapcore.Lock(os.Stderr))), nil
}

// NopLog returns a log that discards all lines.
func NopLog() *Log { return &Log{Logger: zap.NewNop(), writer: &asyncWriter{}} }

// Dropped returns the number of lines dropped so far.
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

// priorityCore drops routine lines once only the reserve of the buffer is free.
type priorityCore struct {
	zapcore.Core
	writer *asyncWriter
}

// With returns a core that adds the fields to every line.
func (c priorityCore) With(fields []zapcore.Field) zapcore.Core {
	return priorityCore{c.Core.With(fields), c.writer}
}

// Check adds the core to entries whose level is enabled, so that they are written by its Write.
func (c priorityCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write queues a line, or drops a routine one that would use the reserve.
func (c priorityCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if events.IsRoutine(entry.Message) && len(c.writer.lines) >= logBufferLines-logBufferReserve {
		c.writer.dropped.Add(1)
		return nil
	}
	return c.Core.Write(entry, fields)
}

// asyncWriter queues log lines without blocking; its run method writes them to the output.
type asyncWriter struct {
	out     zapcore.WriteSyncer
	lines   chan []byte   // never closed
	dropped atomic.Uint64 // total since the start
}

func newAsyncWriter(out zapcore.WriteSyncer) *asyncWriter {
	return &asyncWriter{out: out, lines: make(chan []byte, logBufferLines)}
}

// run writes queued lines and reports newly dropped ones. It never returns.
func (w *asyncWriter) run(reportDropped func(count uint64)) {
	w.runWithInterval(droppedReportInterval, reportDropped)
}

func (w *asyncWriter) runWithInterval(interval time.Duration, reportDropped func(count uint64)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ticker.C:
			if count := w.dropped.Load(); count > reported {
				reportDropped(count - reported)
				reported = count
			}
		}
	}
}

// Write queues a copy of the line, or drops the line when the buffer is full.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the buffer is empty, at most for logFlushTimeout.
func (w *asyncWriter) Sync() error {
	for deadline := time.Now().Add(logFlushTimeout); len(w.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
