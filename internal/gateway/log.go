package gateway

import (
	"sync/atomic"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// decisionLog logs the gateway's decisions and state changes. Writing to it does not block.
type decisionLog struct {
	out          *node.Log
	disconnected atomic.Bool // the last of the two connection events logged was the loss of control
}

func newDecisionLog(out *node.Log) *decisionLog { return &decisionLog{out: out} }

// info logs an event.
func (l *decisionLog) info(event string, fields ...zap.Field) { l.out.Info(event, fields...) }

// recordDisconnect logs that the view is no longer confirmed, once until recordReconnect.
func (l *decisionLog) recordDisconnect() {
	if l.disconnected.CompareAndSwap(false, true) {
		l.info(events.ControlDisconnected)
	}
}

// recordReconnect logs that the view is confirmed again, once after recordDisconnect.
func (l *decisionLog) recordReconnect() {
	if l.disconnected.CompareAndSwap(true, false) {
		l.info(events.ControlReconnected)
	}
}
