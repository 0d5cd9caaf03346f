package belief

import (
	"time"

	"kitetiller/internal/prefix"
)

const (
	// cacheMemoryFraction is the fraction of an engine's memory assumed to hold cached parts when its cache events
	// are not read. Running requests need the rest.
	cacheMemoryFraction = 0.75
	// reportTTL is how long after a report from the engine its entries are removed only by further reports. Until
	// then the estimate is bounded by reportedMemoryFactor times the engine's memory.
	reportTTL            = 4 * time.Second
	reportedMemoryFactor = 2.0
	// unconfirmedTTL is how long a part that was sent but not reported stays in the estimate of an engine that
	// reports its cache. Such parts are checked every unconfirmedCheckInterval.
	unconfirmedTTL           = 4 * time.Second
	unconfirmedCheckInterval = 500 * time.Millisecond
	// defaultCacheTokens is the assumed memory of an engine, in tokens, if it is unknown.
	defaultCacheTokens = 100_000
	// storedTTL is how long a saved part is assumed to stay in the store.
	storedTTL = 60 * time.Second
)

// CachedPart is a prompt part and how many of its tokens an engine has cached; 0 means that it was evicted.
type CachedPart struct {
	Salt string
	prefix.Part
}

// cacheEntry is an estimated cache entry: a part, or its leading tokens, cached by an engine.
type cacheEntry struct {
	tokens    int // cached tokens; above 0
	usedAt    time.Duration
	private   bool // the last part of a prompt, which no other request shares
	confirmed bool // reported by the engine; otherwise derived from a request that was sent
}

// partKey identifies a part under a salt. Parts computed with other weights, or of an isolated tenant, have other
// salts.
type partKey struct{ salt, id string }

// CacheEstimate estimates the contents of one engine's prefix cache from the requests sent to it, corrected by the
// engine's own reports. Without reports, the least recently used parts are evicted when the memory is full, as the
// engine does.
type CacheEstimate struct {
	parts                map[partKey]cacheEntry
	saltCounts           map[string]int // number of salts under which each part ID is cached
	total                int            // sum of the cached tokens
	limit                int            // maximum of total while there are no recent reports
	memory               int            // of the engine, in tokens
	reported             bool           // the engine has reported its cache
	reportedAt           time.Duration  // newest report
	unconfirmedCheckedAt time.Duration  // last check for unconfirmed parts
}

// NewCacheEstimate returns an empty estimate for an engine with memory for the given number of tokens.
func NewCacheEstimate(memory int) *CacheEstimate {
	if memory <= 0 {
		memory = defaultCacheTokens
	}
	return &CacheEstimate{parts: map[partKey]cacheEntry{}, saltCounts: map[string]int{}, limit: int(cacheMemoryFraction * float64(memory)), memory: memory}
}

// Memory returns the engine's memory in tokens.
func (h *CacheEstimate) Memory() int { return h.memory }

// set stores an entry and keeps the counts; an entry without tokens is deleted.
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

// RecordUse records that a request with these parts was sent.
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
	for key, entry := range h.parts {
		if first || entry.usedAt < h.parts[oldest].usedAt {
			oldest, first = key, false
		}
	}
	h.set(oldest, cacheEntry{})
}

// RecordReport records that the engine reported its cache.
func (h *CacheEstimate) RecordReport(now time.Duration) {
	h.reported, h.reportedAt = true, max(h.reportedAt, now)
}

// ApplyPeerReport applies what another gateway read from the engine.
func (h *CacheEstimate) ApplyPeerReport(now time.Duration, salt string, parts []prefix.Part) {
	h.RecordReport(now)
	for _, part := range parts {
		h.update(now, partKey{salt, part.ID}, part.Tokens)
	}
}

// update sets the reported tokens of a part, and reports whether they differ from the estimate and the part can be
// shared by other requests.
func (h *CacheEstimate) update(now time.Duration, key partKey, tokens int) bool {
	before := h.parts[key]
	next := cacheEntry{tokens: max(0, tokens), usedAt: now, private: before.private, confirmed: true}
	if before.tokens > 0 {
		next.usedAt = before.usedAt
	}
	h.set(key, next)
	return before.tokens != next.tokens && !before.private
}

// ApplyReport applies a report of the engine, which lists either its full contents or the changes, and returns the
// shareable parts for which the estimate was wrong.
func (h *CacheEstimate) ApplyReport(now time.Duration, parts []CachedPart, full bool) []CachedPart {
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
	return append(corrections, h.expire(now, listed, full)...)
}

// expire removes parts that were sent longer than unconfirmedTTL ago and never reported. If the report is a full
// list, it also removes confirmed parts that are not listed.
func (h *CacheEstimate) expire(now time.Duration, listed map[partKey]bool, full bool) []CachedPart {
	if now < h.unconfirmedCheckedAt+unconfirmedCheckInterval && !full {
		return nil
	}
	h.unconfirmedCheckedAt = now
	var removed []CachedPart
	for key, entry := range h.parts {
		stale := !entry.confirmed && now > entry.usedAt+unconfirmedTTL || full && entry.confirmed && !listed[key]
		if !stale {
			continue
		}
		h.set(key, cacheEntry{})
		if !entry.private {
			removed = append(removed, CachedPart{Salt: key.salt, Part: prefix.Part{ID: key.id}})
		}
	}
	return removed
}

// Clear removes all entries, for use when the engine's weights were replaced.
func (h *CacheEstimate) Clear() {
	clear(h.parts)
	clear(h.saltCounts)
	h.total = 0
}

// Holds reports whether a part is cached under any salt.
func (h *CacheEstimate) Holds(id string) bool { return h.saltCounts[id] > 0 }

// Cached returns the number of leading prompt tokens that are estimated to be cached. It stops at the first part
// that is not cached completely, since an engine can use a part only after all parts before it.
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

// StoredParts records which parts were sent to a cache store, and when.
type StoredParts struct {
	parts map[partKey]time.Duration
}

// NewStoredParts returns an empty record.
func NewStoredParts() *StoredParts { return &StoredParts{parts: map[partKey]time.Duration{}} }

// Record records that parts are being saved.
func (s *StoredParts) Record(now time.Duration, salt string, parts []prefix.Part) {
	for _, part := range parts {
		s.parts[partKey{salt, part.ID}] = now
	}
}

// Holds reports whether all parts were saved within storedTTL.
func (s *StoredParts) Holds(now time.Duration, salt string, parts []prefix.Part) bool {
	for _, part := range parts {
		at, known := s.parts[partKey{salt, part.ID}]
		if !known || now-at > storedTTL {
			return false
		}
	}
	return true
}

// Sweep removes parts saved longer than storedTTL ago.
func (s *StoredParts) Sweep(now time.Duration) {
	for key, at := range s.parts {
		if now-at > storedTTL {
			delete(s.parts, key)
		}
	}
}
