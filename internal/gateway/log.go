package gateway

import (
	"sync/atomic"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// decisionLog tells what the gateway decides and comes to believe. Writing to it never waits.
type decisionLog struct {
	out    *node.Log
	cutOff atomic.Bool // control lost was told, and control regained not yet
}

func newDecisionLog(out *node.Log) *decisionLog { return &decisionLog{out: out} }

// note writes a line.
func (l *decisionLog) note(event string, fields ...zap.Field) { l.out.Info(event, fields...) }

// lost notes once that the view is no longer confirmed.
func (l *decisionLog) lost() {
	if l.cutOff.CompareAndSwap(false, true) {
		l.note(events.ControlDisconnected)
	}
}

// regained notes once that the view is confirmed again.
func (l *decisionLog) regained() {
	if l.cutOff.CompareAndSwap(true, false) {
		l.note(events.ControlReconnected)
	}
}
