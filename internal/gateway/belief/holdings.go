package belief

import (
	"time"

	"kitetiller/internal/prefix"
)

const (
	// cacheMemoryFraction is the part of an engine's memory that is taken to hold cached parts where nobody reads what it keeps;
	// running requests need the rest.
	cacheMemoryFraction = 0.75
	// reportTTL is how long after an engine's own word beliefs about it are given up by that word alone. Until then what it
	// tells decides, but for parts up to toldLimit times its memory.
	reportTTL            = 4 * time.Second
	reportedMemoryFactor = 2.0
	// unconfirmedTTL is how long a part that was only sent is taken to be held while the engine's word is heard, and unsureEach how
	// often that is looked at.
	unconfirmedTTL           = 4 * time.Second
	unconfirmedCheckInterval = 500 * time.Millisecond
	// defaultCacheTokens is assumed where an engine's memory is not known, in tokens.
	defaultCacheTokens = 100_000
	// storedTTL is how long a part is taken to stay in the store.
	storedTTL = 60 * time.Second
)

// CachedPart is a part of a prompt and how many of its tokens an engine keeps now; 0 says that it is gone.
type CachedPart struct {
	Salt string
	prefix.Part
}

// cacheEntry is one belief: an engine holds a part, or the first tokens of it.
type cacheEntry struct {
	tokens    int // tokens that are held; above 0
	usedAt    time.Duration
	private   bool // it was the last part of a prompt, which is of use to no other
	confirmed bool // the engine said so; else it follows from a send
}

// partKey names a part under a salt: parts of other weights or of a tenant that shares nothing never meet.
type partKey struct{ salt, id string }

// CacheEstimate is what one engine is believed to hold: what was sent there, put right by what the engine itself tells. While
// nobody reads that, the parts that were unused longest give way when its memory is full, as at the engine.
type CacheEstimate struct {
	parts                map[partKey]cacheEntry
	saltCounts           map[string]int // under which each id is held, counted
	total                int            // sum of the kept tokens
	limit                int
	memory               int           // of the engine, in tokens
	reported             bool          // the engine's own word was heard
	reportedAt           time.Duration // newest word
	unconfirmedCheckedAt time.Duration // when parts that were only sent were looked through
}

// NewCacheEstimate returns the beliefs about an engine whose memory has room for so many tokens.
func NewCacheEstimate(memory int) *CacheEstimate {
	if memory <= 0 {
		memory = defaultCacheTokens
	}
	return &CacheEstimate{parts: map[partKey]cacheEntry{}, saltCounts: map[string]int{}, limit: int(cacheMemoryFraction * float64(memory)), memory: memory}
}

// set notes that so many tokens of a part are held; 0 forgets it.
func (h *CacheEstimate) set(key partKey, next cacheEntry) {
	before, known := h.parts[key]
	h.total += next.tokens - before.tokens
	switch {
	case next.tokens <= 0 && known:
		delete(h.parts, key)
		if h.saltCounts[key.id]--; h.saltCounts[key.id] <= 0 {
			delete(h.saltCounts, key.id)
		}
	case next.tokens > 0:
		h.parts[key] = next
		if !known {
			h.saltCounts[key.id]++
		}
	}
}

// RecordUse notes that a request with these parts was sent.
func (h *CacheEstimate) RecordUse(now time.Duration, salt string, parts []prefix.Part) {
	for i, part := range parts {
		key := partKey{salt, part.ID}
		before := h.parts[key]
		confirmed := before.confirmed && before.tokens >= part.Tokens
		h.set(key, cacheEntry{tokens: part.Tokens, usedAt: now, private: i == len(parts)-1, confirmed: confirmed})
	}
	limit := h.limit
	if h.reported && now < h.reportedAt+reportTTL {
		limit = int(reportedMemoryFactor * float64(h.memory))
	}
	for h.total > limit && len(h.parts) > 0 {
		h.evictOldest()
	}
}

func (h *CacheEstimate) evictOldest() {
	var oldest partKey
	first := true
	for key, held := range h.parts {
		if first || held.usedAt < h.parts[oldest].usedAt {
			oldest, first = key, false
		}
	}
	h.set(oldest, cacheEntry{})
}

// RecordReport notes that the engine's own word was heard.
func (h *CacheEstimate) RecordReport(now time.Duration) {
	h.reported, h.reportedAt = true, max(h.reportedAt, now)
}

// ApplyPeerReport takes up what another gateway read of the engine's own word.
func (h *CacheEstimate) ApplyPeerReport(now time.Duration, salt string, parts []prefix.Part) {
	h.RecordReport(now)
	for _, part := range parts {
		h.update(now, partKey{salt, part.ID}, part.Tokens)
	}
}

// update notes what the engine says of a part, and reports whether that was believed otherwise and is of use to others.
func (h *CacheEstimate) update(now time.Duration, key partKey, tokens int) bool {
	before := h.parts[key]
	next := cacheEntry{tokens: max(0, tokens), usedAt: now, private: before.private, confirmed: true}
	if before.tokens > 0 {
		next.usedAt = before.usedAt
	}
	h.set(key, next)
	return before.tokens != next.tokens && !before.private
}

// ApplyReport takes up what the engine tells that it keeps, all of it or what has changed, and returns the parts of use to others
// that were believed otherwise.
func (h *CacheEstimate) ApplyReport(now time.Duration, parts []CachedPart, whole bool) []CachedPart {
	h.RecordReport(now)
	var corrections []CachedPart
	listed := map[partKey]bool{}
	for _, p := range parts {
		key := partKey{p.Salt, p.ID}
		listed[key] = true
		if h.update(now, key, p.Tokens) {
			corrections = append(corrections, p)
		}
	}
	return append(corrections, h.expire(now, listed, whole)...)
}

// expire forgets parts that were sent long enough ago for the engine to have told of them, and did not; with a whole list
// also those that it had told of before.
func (h *CacheEstimate) expire(now time.Duration, listed map[partKey]bool, whole bool) []CachedPart {
	if now < h.unconfirmedCheckedAt+unconfirmedCheckInterval && !whole {
		return nil
	}
	h.unconfirmedCheckedAt = now
	var removed []CachedPart
	for key, held := range h.parts {
		stale := !held.confirmed && now > held.usedAt+unconfirmedTTL || whole && held.confirmed && !listed[key]
		if !stale {
			continue
		}
		h.set(key, cacheEntry{})
		if !held.private {
			removed = append(removed, CachedPart{Salt: key.salt, Part: prefix.Part{ID: key.id}})
		}
	}
	return removed
}

// Clear forgets everything: the engine's weights were replaced.
func (h *CacheEstimate) Clear() {
	clear(h.parts)
	clear(h.saltCounts)
	h.total = 0
}

// Holds reports whether a part is held under any salt.
func (h *CacheEstimate) Holds(id string) bool { return h.saltCounts[id] > 0 }

// Cached returns the leading tokens that are believed to be held; a part is of use only behind all parts before it, and
// what follows one that is held in part is of none.
func (h *CacheEstimate) Cached(salt string, parts []prefix.Part) int {
	tokens := 0
	for _, part := range parts {
		kept := min(h.parts[partKey{salt, part.ID}].tokens, part.Tokens)
		tokens += kept
		if kept < part.Tokens {
			break
		}
	}
	return tokens
}

// StoredParts remembers which parts were sent to a store, and when.
type StoredParts struct {
	parts map[partKey]time.Duration
}

// NewStoredParts returns the beliefs about stores.
func NewStoredParts() *StoredParts { return &StoredParts{parts: map[partKey]time.Duration{}} }

// Record remembers that parts are being saved.
func (s *StoredParts) Record(now time.Duration, salt string, parts []prefix.Part) {
	for _, part := range parts {
		s.parts[partKey{salt, part.ID}] = now
	}
}

// Holds reports whether all parts were saved lately.
func (s *StoredParts) Holds(now time.Duration, salt string, parts []prefix.Part) bool {
	for _, part := range parts {
		at, known := s.parts[partKey{salt, part.ID}]
		if !known || now-at > storedTTL {
			return false
		}
	}
	return true
}

// Sweep forgets what was saved long ago.
func (s *StoredParts) Sweep(now time.Duration) {
	for key, at := range s.parts {
		if now-at > storedTTL {
			delete(s.parts, key)
		}
	}
}
