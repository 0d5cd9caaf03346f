package quarantine

import "time"

// completions holds when requests or parts last completed, the latest ones.
type completions struct {
	ttl     time.Duration
	refresh time.Duration // a completion so soon after the last one is not stored
	at      map[Fingerprint]completion
	ring    []Fingerprint // by slot
	next    int           // slot of the next completion
}

// completion is the last completion of a request or part and its slot in the ring.
type completion struct {
	at   time.Duration
	slot int
}

// newCompletions returns an empty set that keeps at most limit completions.
func newCompletions(ttl, refresh time.Duration, limit int) *completions {
	return &completions{ttl: ttl, refresh: refresh, at: map[Fingerprint]completion{}, ring: make([]Fingerprint, limit)}
}

// add stores a completion in place of the oldest.
func (c *completions) add(now time.Duration, f Fingerprint) {
	if last, known := c.at[f]; known && now-last.at < c.refresh {
		return
	}
	oldest := c.ring[c.next]
	if last, known := c.at[oldest]; known && last.slot == c.next {
		delete(c.at, oldest)
	}
	c.ring[c.next], c.at[f] = f, completion{at: now, slot: c.next}
	c.next = (c.next + 1) % len(c.ring)
}

// extend makes completions valid for longer by a duration that ended now.
func (c *completions) extend(now, by time.Duration) {
	for f, last := range c.at {
		last.at = min(now, last.at+max(0, by))
		c.at[f] = last
	}
}

// isRecent reports whether a request or part completed within the TTL.
func (c *completions) isRecent(now time.Duration, f Fingerprint) bool {
	last, known := c.at[f]
	return known && now-last.at <= c.ttl
}
