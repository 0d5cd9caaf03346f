package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

const (
	// logRing is how many lines may wait to be written.
	logRing = 1024
	// logReserve is the part of the ring that is kept for lines other than successes.
	logReserve  = 256
	droppedEach = 5 * time.Second
)

// line is one log line on its way.
type line struct {
	event  string
	fields []zap.Field
}

// decisionLog passes lines to a thread of its own, so that a stuck reader of the log never holds up a request. When
// the ring is full, lines are dropped, successes first, and counted.
type decisionLog struct {
	log     *zap.Logger
	ring    chan line
	dropped atomic.Uint64
	cutOff  atomic.Bool
}

func newDecisionLog(log *zap.Logger) *decisionLog {
	return &decisionLog{log: log, ring: make(chan line, logRing)}
}

// run is the thread that writes.
func (l *decisionLog) run(ctx context.Context) {
	ticker := time.NewTicker(droppedEach)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case next := <-l.ring:
			l.log.Info(next.event, next.fields...)
		case <-ticker.C:
			if lost := l.dropped.Swap(0); lost > 0 {
				l.log.Warn(events.LinesDropped, zap.Uint64("count", lost))
			}
		}
	}
}

func (l *decisionLog) flush() {
	for {
		select {
		case next := <-l.ring:
			l.log.Info(next.event, next.fields...)
		default:
			return
		}
	}
}

// note queues a line, or drops it when the ring is full.
func (l *decisionLog) note(event string, fields ...zap.Field) {
	if event == events.RequestAnswered && len(l.ring) >= logRing-logReserve {
		l.dropped.Add(1)
		return
	}
	select {
	case l.ring <- line{event: event, fields: fields}:
	default:
		l.dropped.Add(1)
	}
}

// lost notes once that the view is no longer confirmed.
func (l *decisionLog) lost(trusted bool) {
	if !trusted && l.cutOff.CompareAndSwap(false, true) {
		l.note(events.ControlLost)
	}
}

// regained notes once that the view is confirmed again.
func (l *decisionLog) regained() {
	if l.cutOff.CompareAndSwap(true, false) {
		l.note(events.ControlRegained)
	}
}
