package gateway

import (
	"time"

	"kitetiller/internal/prefix"
)

// recomputeCause tells why an engine is expected to read shared parts.
type recomputeCause string

const (
	recomputeFirst          recomputeCause = "first"           // nobody was known to have read them lately
	recomputeLost           recomputeCause = "lost"            // somebody was, and nobody is known to hold them any more: ended, or displaced
	recomputeOtherWeights   recomputeCause = "other-weights"   // who holds them has made them with other weights
	recomputeHolderBarred   recomputeCause = "holder-barred"   // who holds them is in doubt, loads weights, or stands behind another wall
	recomputeCheaper        recomputeCause = "dearer"          // a copy would cost more
	recomputeWeightsUnknown recomputeCause = "weights-unknown" // nothing is shared while the weights of the engine aren't known
)

const (
	// lastSentTTL is how long a shared part that was sent somewhere counts as read lately, and metMost how many are remembered.
	lastSentTTL = 20 * time.Second
	maxLastSent = 20_000
)

// recordSent notes that shared parts are sent to a back end. The caller holds the mutex.
func (t *table) recordSent(at time.Duration, shared []prefix.Part) {
	if len(shared) == 0 {
		return
	}
	last := shared[len(shared)-1].ID
	if _, known := t.lastSent[last]; known || len(t.lastSent) < maxLastSent {
		t.lastSent[last] = at
	}
}

// sweepLastSent forgets what was sent long ago. The caller holds the mutex.
func (t *table) sweepLastSent(now time.Duration) {
	for id, at := range t.lastSent {
		if now-at > lastSentTTL {
			delete(t.lastSent, id)
		}
	}
}

// explainRecompute tells why a chosen engine is to read shared parts. The caller holds the table's mutex.
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
	if at, met := g.table.lastSent[last]; !met || now-at > lastSentTTL {
		return recomputeFirst
	}
	if len(g.table.holders[last]) > 0 {
		return recomputeHolderBarred
	}
	return recomputeLost
}
