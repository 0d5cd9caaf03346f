package gateway

import (
	"time"

	"kitetiller/internal/prefix"
)

const (
	// cacheShare is the part of an engine's memory that is taken to hold cached parts; running requests need the rest.
	cacheShare = 0.75
	// defaultCache is assumed where an engine's memory is not known, in tokens.
	defaultCache = 100_000
	// storedFor is how long a part is taken to stay in the store.
	storedFor = 60 * time.Second
)

// holding is one belief: an engine holds a part.
type holding struct {
	tokens int
	usedAt time.Duration
}

// partKey names a part under a salt: parts of other weights or of a tenant that shares nothing never meet.
type partKey struct{ salt, id string }

// holdings is what one engine is believed to hold, from what was sent there. Like the engine it gives up the parts that
// were unused longest when its memory is full.
type holdings struct {
	parts map[partKey]holding
	salts map[string]int // under which each id is held, counted
	total int
	limit int
}

func newHoldings(limit int) *holdings {
	if limit <= 0 {
		limit = defaultCache
	}
	return &holdings{parts: map[partKey]holding{}, salts: map[string]int{}, limit: int(cacheShare * float64(limit))}
}

// use notes that a request with these parts was sent.
func (h *holdings) use(now time.Duration, salt string, parts []prefix.Part) {
	for _, part := range parts {
		key := partKey{salt, part.ID}
		if _, known := h.parts[key]; !known {
			h.total += part.Tokens
			h.salts[part.ID]++
		}
		h.parts[key] = holding{tokens: part.Tokens, usedAt: now}
	}
	for h.total > h.limit && len(h.parts) > 0 {
		h.dropOldest()
	}
}

func (h *holdings) dropOldest() {
	var oldest partKey
	first := true
	for key, held := range h.parts {
		if first || held.usedAt < h.parts[oldest].usedAt {
			oldest, first = key, false
		}
	}
	h.total -= h.parts[oldest].tokens
	if h.salts[oldest.id]--; h.salts[oldest.id] <= 0 {
		delete(h.salts, oldest.id)
	}
	delete(h.parts, oldest)
}

// clear forgets everything: the engine's weights were replaced.
func (h *holdings) clear() {
	clear(h.parts)
	clear(h.salts)
	h.total = 0
}

// holds reports whether a part is held under any salt.
func (h *holdings) holds(id string) bool { return h.salts[id] > 0 }

// cached returns the leading tokens that are believed to be held; a part is of use only behind all parts before it.
func (h *holdings) cached(salt string, parts []prefix.Part) int {
	tokens := 0
	for _, part := range parts {
		if _, held := h.parts[partKey{salt, part.ID}]; !held {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// stored remembers which parts were sent to a store, and when.
type stored struct {
	parts map[partKey]time.Duration
}

func newStored() *stored { return &stored{parts: map[partKey]time.Duration{}} }

// note remembers that parts are being saved.
func (s *stored) note(now time.Duration, salt string, parts []prefix.Part) {
	for _, part := range parts {
		s.parts[partKey{salt, part.ID}] = now
	}
}

// holds reports whether all parts were saved lately.
func (s *stored) holds(now time.Duration, salt string, parts []prefix.Part) bool {
	for _, part := range parts {
		at, known := s.parts[partKey{salt, part.ID}]
		if !known || now-at > storedFor {
			return false
		}
	}
	return true
}

// sweep forgets what was saved long ago.
func (s *stored) sweep(now time.Duration) {
	for key, at := range s.parts {
		if now-at > storedFor {
			delete(s.parts, key)
		}
	}
}
