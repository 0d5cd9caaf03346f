package gateway

import (
	"time"

	"kitetiller/internal/prefix"
)

// recomputeCause is the reason why an engine is expected to recompute shared parts.
type recomputeCause string

const (
	recomputeFirst              recomputeCause = "first"           // not sent anywhere recently
	recomputeLost               recomputeCause = "lost"            // sent recently, but all known holders ended or evicted them
	recomputeOtherWeights       recomputeCause = "other-weights"   // the holders computed them with other weights
	recomputeHoldersUnavailable recomputeCause = "holder-barred"   // the holders are avoided, loading weights, or use another salt
	recomputeCheaper            recomputeCause = "dearer"          // a copy would cost more
	recomputeWeightsUnknown     recomputeCause = "weights-unknown" // nothing is shared while the engine's weights are unknown
)

const (
	// lastSentTTL is how long a shared part that was sent counts as sent recently, and maxLastSent bounds the parts
	// remembered.
	lastSentTTL = 20 * time.Second
	maxLastSent = 20_000
)

// recordSent records that shared parts are sent to a back end. The caller holds the mutex.
func (t *table) recordSent(at time.Duration, shared []prefix.Part) {
	if len(shared) == 0 {
		return
	}
	last := shared[len(shared)-1].ID
	if _, known := t.lastSent[last]; known || len(t.lastSent) < maxLastSent {
		t.lastSent[last] = at
	}
}

// sweepLastSent removes parts sent longer than lastSentTTL ago. The caller holds the mutex.
func (t *table) sweepLastSent(now time.Duration) {
	for id, at := range t.lastSent {
		if now-at > lastSentTTL {
			delete(t.lastSent, id)
		}
	}
}

// explainRecompute returns why the chosen engine recomputes shared parts. The caller holds the table's mutex.
func (g *Gateway) explainRecompute(now time.Duration, chosen *candidate, shared []prefix.Part, sources []source) recomputeCause {
	switch {
	case chosen.version == 0:
		return recomputeWeightsUnknown
	case chosen.copyCostsMore:
		return recomputeCheaper
	}
	cached := prefix.PartTokens(shared) - chosen.recomputed
	for _, other := range sources {
		if other.version != chosen.version && other.tokens > cached {
			return recomputeOtherWeights
		}
	}
	last := shared[len(shared)-1].ID
	if at, known := g.table.lastSent[last]; !known || now-at > lastSentTTL {
		return recomputeFirst
	}
	if len(g.table.holders[last]) > 0 {
		return recomputeHoldersUnavailable
	}
	return recomputeLost
}
