package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

// Covers each reason why no cached copy of shared parts is used.
func TestExplainRecompute(t *testing.T) {
	const version = 3
	shared := []prefix.Part{{ID: "a", Tokens: 600}, {ID: "b", Tokens: 400}}
	for _, c := range []struct {
		name      string
		chosen    candidate
		sources   []source
		sinceSent time.Duration // time since the last send; 0 never
		holders   []*endpoint
		wanted    recomputeCause
	}{
		{"never sent", candidate{version: version, recomputed: 1000}, nil, 0, nil, recomputeFirst},
		{"sent long ago", candidate{version: version, recomputed: 1000}, nil, 2 * lastSentTTL, nil, recomputeFirst},
		{"no holder left", candidate{version: version, recomputed: 1000}, nil, time.Second, nil, recomputeLost},
		{"holder barred", candidate{version: version, recomputed: 1000}, nil, time.Second, []*endpoint{{}}, recomputeHoldersUnavailable},
		{"holder has other weights", candidate{version: version, recomputed: 1000}, []source{{version: version - 1, tokens: 1000}}, time.Second, nil, recomputeOtherWeights},
		{"others have no more tokens", candidate{version: version, recomputed: 400}, []source{{version: version - 1, tokens: 600}}, time.Second, nil, recomputeLost},
		{"copy costs more", candidate{version: version, recomputed: 1000, copyCostsMore: true}, nil, time.Second, nil, recomputeCheaper},
		{"weights unknown", candidate{recomputed: 1000}, nil, time.Second, nil, recomputeWeightsUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Hour
			g := &Gateway{table: newTable(mechanism.Set{})}
			if c.sinceSent > 0 {
				g.table.recordSent(now-c.sinceSent, shared)
			}
			if c.holders != nil {
				g.table.holders["b"] = c.holders
			}
			if got := g.explainRecompute(now, &c.chosen, shared, c.sources); got != c.wanted {
				t.Fatalf("cause %s, want %s", got, c.wanted)
			}
			if g.table.sweepLastSent(now); c.sinceSent > lastSentTTL && len(g.table.lastSent) > 0 {
				t.Fatal("expired entry was not removed")
			}
		})
	}
}
