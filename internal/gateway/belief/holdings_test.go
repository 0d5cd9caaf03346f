package belief

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/prefix"
)

// cached returns a part of which the engine reports the given number of cached tokens.
func cached(id string, tokens int) CachedPart {
	return CachedPart{Salt: "w1", Part: prefix.Part{ID: id, Tokens: tokens}}
}

// Guards against counting on parts that the engine evicted, wholly or partly, or never reported.
func TestReportCorrectsEstimate(t *testing.T) {
	h := NewCacheEstimate(100_000)
	prompt := []prefix.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 200}, {ID: "own", Tokens: 50}}
	h.RecordUse(time.Second, "w1", prompt)
	shared := prefix.SharedParts(prompt)
	if got := h.Cached("w1", shared); got != 300 {
		t.Fatalf("after the send: cached tokens = %d, want 300", got)
	}
	if corrections := h.ApplyReport(1100*time.Millisecond, []CachedPart{cached("a", 100), cached("b", 200), cached("own", 50)}, false); len(corrections) > 0 {
		t.Fatalf("report that matches the estimate returned corrections: %v", corrections)
	}
	corrections := h.ApplyReport(1200*time.Millisecond, []CachedPart{cached("b", 64), cached("own", 0)}, false)
	if len(corrections) != 1 || corrections[0] != cached("b", 64) {
		t.Fatalf("corrections after a partial eviction: %v", corrections)
	}
	if got := h.Cached("w1", shared); got != 164 {
		t.Fatalf("with a partly cached part: cached tokens = %d, want 164", got)
	}
	h.RecordUse(2*time.Second, "w1", prompt)
	h.ApplyReport(3*time.Second, nil, false)
	if got := h.Cached("w1", shared); got != 300 {
		t.Fatalf("before unconfirmedTTL of another send: cached tokens = %d, want 300", got)
	}
	corrections = h.ApplyReport(2*time.Second+unconfirmedTTL+time.Millisecond, nil, false)
	if got := h.Cached("w1", shared); got != 100 || len(corrections) != 1 || corrections[0] != cached("b", 0) {
		t.Fatalf("after unconfirmedTTL without a report: cached tokens = %d, want 100; corrections %v", got, corrections)
	}
}

// A full list removes the entries that it does not name, except those sent since.
func TestWholeListReplacesReportedEntries(t *testing.T) {
	h := NewCacheEstimate(100_000)
	h.ApplyReport(0, []CachedPart{cached("a", 10), cached("b", 10)}, false)
	h.RecordUse(time.Second, "w1", []prefix.Part{{ID: "c", Tokens: 10}, {ID: "own", Tokens: 1}})
	h.ApplyReport(1100*time.Millisecond, []CachedPart{cached("b", 10)}, true)
	for id, want := range map[string]int{"a": 0, "b": 10, "c": 10} {
		if got := h.Cached("w1", []prefix.Part{{ID: id, Tokens: 10}}); got != want {
			t.Errorf("part %s: cached tokens = %d, want %d", id, got, want)
		}
	}
}

// engineCache is the reference model of an engine's cache: cached tokens by part.
type engineCache map[string]int

// After any sequence of sends, evictions, lost events and full lists, the estimate of a gateway that reads the
// engine equals the engine's cache, and so does that of a gateway that gets only the corrections.
func TestEstimateMatchesEngineCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine, unread := engineCache{}, []CachedPart{}
		reader, peer := NewCacheEstimate(1000), NewCacheEstimate(1000)
		now := time.Duration(0)
		eventsLost := false
		report := func(full bool) {
			changes := unread
			if full {
				changes = nil
				for id, tokens := range engine {
					changes = append(changes, cached(id, tokens))
				}
			}
			unread = nil
			peer.RecordReport(now) // peers are notified every second that the engine is being read
			for _, p := range reader.ApplyReport(now, changes, full) {
				peer.ApplyPeerReport(now, p.Salt, []prefix.Part{p.Part})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				now += time.Millisecond
				id := fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "part"))
				parts := []prefix.Part{{ID: id, Tokens: 100}, {ID: fmt.Sprint("own", now), Tokens: 10}}
				reader.RecordUse(now, "w1", parts)
				peer.RecordUse(now, "w1", parts)
				engine[id] = 100
				unread = append(unread, cached(id, 100))
			},
			"give way": func(t *rapid.T) {
				id := fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "part"))
				left := rapid.SampledFrom([]int{0, 16, 64}).Draw(t, "left")
				if engine[id] <= left {
					return
				}
				engine[id] = left
				if left == 0 {
					delete(engine, id)
				}
				unread = append(unread, cached(id, left))
			},
			"lose": func(*rapid.T) { unread, eventsLost = nil, true },
			"read": func(*rapid.T) { now += 100 * time.Millisecond; report(eventsLost); eventsLost = false },
		})
		now += unconfirmedTTL + time.Second
		report(eventsLost)
		now += unconfirmedTTL + time.Second
		report(true)
		for i := range 10 {
			id := fmt.Sprint("p", i)
			part := []prefix.Part{{ID: id, Tokens: 100}}
			if got := reader.Cached("w1", part); got != engine[id] {
				t.Fatalf("reader's estimate: %d tokens of %s, engine has %d", got, id, engine[id])
			}
			if got := peer.Cached("w1", part); got != engine[id] {
				t.Fatalf("peer's estimate: %d tokens of %s, engine has %d", got, id, engine[id])
			}
		}
	})
}

// Without reports, the estimate equals an LRU cache.
func TestEstimateMatchesLRUCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := NewCacheEstimate(1000) // 750 tokens
		var lru []prefix.Part              // oldest first
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			now += time.Millisecond
			id := rapid.IntRange(0, 12).Draw(t, "part")
			part := prefix.Part{ID: fmt.Sprint(id), Tokens: 50 + 20*id}
			estimate.RecordUse(now, "w1", []prefix.Part{part})
			for i, known := range lru {
				if known.ID == part.ID {
					lru = append(lru[:i], lru[i+1:]...)
					break
				}
			}
			lru = append(lru, part)
			for prefix.PartTokens(lru) > estimate.limit {
				lru = lru[1:]
			}
			for _, known := range lru {
				if estimate.Cached("w1", []prefix.Part{known}) != known.Tokens {
					t.Fatalf("part %s is not cached", known.ID)
				}
				if estimate.Cached("w2", []prefix.Part{known}) != 0 {
					t.Fatalf("part %s is cached under another salt", known.ID)
				}
			}
			if estimate.total != prefix.PartTokens(lru) {
				t.Fatalf("total cached tokens = %d, want %d", estimate.total, prefix.PartTokens(lru))
			}
		}
	})
}

// Cached counts a part only if all parts before it are cached.
func TestCachedStopsAtFirstMissingPart(t *testing.T) {
	estimate := NewCacheEstimate(10_000)
	estimate.RecordUse(0, "w", []prefix.Part{{ID: "b", Tokens: 5}, {ID: "c", Tokens: 7}})
	if got := estimate.Cached("w", []prefix.Part{{ID: "a", Tokens: 3}, {ID: "b", Tokens: 5}}); got != 0 {
		t.Fatalf("%d tokens counted behind a part that is not cached, want 0", got)
	}
	if got := estimate.Cached("w", []prefix.Part{{ID: "b", Tokens: 5}, {ID: "x", Tokens: 9}, {ID: "c", Tokens: 7}}); got != 5 {
		t.Fatalf("cached tokens = %d, want 5", got)
	}
}
