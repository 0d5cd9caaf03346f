package gateway

import (
	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/node"
)

// Stages of the start of a gateway, in the usual order.
const (
	stageControl = iota // a control replica answered
	stageView           // control confirmed the view, document included
	stageLease          // a lease on a limited resource was granted
	stageAnswer         // a request was answered by a back end
)

func newStartup() *node.Startup {
	return node.NewStartup("kitetiller_gateway_startup", "control", "view", "lease", "answer")
}

// recordStage records that a stage of the start is reached. The first answer is logged with the times of all stages.
func (g *Gateway) recordStage(stage int) {
	if g.startup.At(stage) > 0 || !g.startup.Record(stage, g.now()) || stage != stageAnswer {
		return
	}
	g.log.info(events.GatewayServing, zap.Duration("control", g.startup.At(stageControl)), zap.Duration("view", g.startup.At(stageView)),
		zap.Duration("lease", g.startup.At(stageLease)), zap.Duration("answer", g.startup.At(stageAnswer)))
}
