package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/node"
	"kitetiller/internal/tunnel"
)

// TestGatewayWithoutAnswersCarriesNoTunnels guards against gateways that connect to slow back ends for each other.
func TestGatewayWithoutAnswersCarriesNoTunnels(t *testing.T) {
	const address = "10.0.0.1:1"
	now := time.Minute
	g := New(Settings{Clock: func() time.Duration { return now }}, nil, node.NopLog())
	if refusal := g.tunnelRefusal(address, true); refusal != "" {
		t.Fatalf("refuses with %q before anything was sent", refusal)
	}
	for range maxUnanswered {
		g.table.recordUnanswered(g.now(), address)
	}
	if g.tunnelRefusal(address, true) != tunnel.PathLost {
		t.Error("offers others a path on which it gets no answers itself")
	}
}
