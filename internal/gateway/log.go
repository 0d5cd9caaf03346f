package gateway

import (
	"sync/atomic"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// decisionLog tells what the gateway decides and comes to believe. Writing to it never waits.
type decisionLog struct {
	out          *node.Log
	disconnected atomic.Bool // control lost was told, and control regained not yet
}

func newDecisionLog(out *node.Log) *decisionLog { return &decisionLog{out: out} }

// info writes a line.
func (l *decisionLog) info(event string, fields ...zap.Field) { l.out.Info(event, fields...) }

// recordDisconnect notes once that the view is no longer confirmed.
func (l *decisionLog) recordDisconnect() {
	if l.disconnected.CompareAndSwap(false, true) {
		l.info(events.ControlDisconnected)
	}
}

// recordReconnect notes once that the view is confirmed again.
func (l *decisionLog) recordReconnect() {
	if l.disconnected.CompareAndSwap(true, false) {
		l.info(events.ControlReconnected)
	}
}
