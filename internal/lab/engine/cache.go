package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/prefix"
)

// maxEvents bounds the event history. A router that asks for older events sees a gap in the sequence numbers.
const maxEvents = 4096

// block is one cached block. Blocks that running sequences use are pinned and not evicted.
type block struct {
	hash     prefix.Hash
	lastUsed time.Duration
	pins     int
	element  *list.Element
}

// timedEvent is a cache event with its time. Lost events take a sequence number but are never reported.
type timedEvent struct {
	at    time.Duration
	lost  bool
	event core.CacheEvent
}

// cache is an LRU prefix cache.
//
// Invariant: within a chain, no block is more recently used than the blocks before it, so chains are evicted from
// their end.
type cache struct {
	rates           Rates
	random          *rand.Rand
	blocks          map[prefix.Hash]*block
	order           *list.List // least recently used first
	nextSequence    uint64
	events          []timedEvent
	lastEvictionAge time.Duration // time since last use of the block that was evicted last
}

func newCache(rates Rates, random *rand.Rand) *cache {
	return &cache{rates: rates, random: random, blocks: map[prefix.Hash]*block{}, order: list.New()}
}

// peek returns how many leading blocks of a chain are cached, without marking them as used.
func (c *cache) peek(chain []prefix.Hash) int {
	for i, hash := range chain {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// match returns how many leading blocks of a chain are cached and marks them as used.
func (c *cache) match(chain []prefix.Hash, now time.Duration) int {
	matched := c.peek(chain)
	c.touch(chain[:matched], now)
	return matched
}

// touch marks the cached blocks of a chain as used, the last one first, to keep the LRU invariant.
func (c *cache) touch(chain []prefix.Hash, now time.Duration) {
	for i := len(chain) - 1; i >= 0; i-- {
		if cached := c.blocks[chain[i]]; cached != nil {
			cached.lastUsed = now
			c.order.MoveToBack(cached.element)
		}
	}
}

func (c *cache) pin(chain []prefix.Hash) {
	for _, hash := range chain {
		if cached := c.blocks[hash]; cached != nil {
			cached.pins++
		}
	}
}

func (c *cache) unpin(chain []prefix.Hash, now time.Duration) {
	for _, hash := range chain {
		if cached := c.blocks[hash]; cached != nil && cached.pins > 0 {
			cached.pins--
		}
	}
	c.touch(chain, now)
}

// insert adds consecutive blocks of a chain. It stops when the cache is full and every block is pinned.
func (c *cache) insert(chain []prefix.Hash, now time.Duration) {
	var stored, evicted []prefix.Hash
	for _, hash := range chain {
		if c.blocks[hash] != nil {
			continue
		}
		if len(c.blocks) >= c.rates.CacheBlocks {
			victim := c.evictOldest(now)
			if victim == nil {
				break
			}
			evicted = append(evicted, victim.hash)
		}
		added := &block{hash: hash, lastUsed: now}
		added.element = c.order.PushBack(added)
		c.blocks[hash] = added
		stored = append(stored, hash)
	}
	c.touch(chain, now)
	c.publish(now, stored, evicted)
}

// evictOldest removes and returns the least recently used unpinned block, or nil if all are pinned.
func (c *cache) evictOldest(now time.Duration) *block {
	for element := c.order.Front(); element != nil; element = element.Next() {
		oldest := element.Value.(*block)
		if oldest.pins > 0 {
			continue
		}
		c.lastEvictionAge = now - oldest.lastUsed
		c.remove(oldest)
		return oldest
	}
	return nil
}

func (c *cache) remove(cached *block) {
	c.order.Remove(cached.element)
	delete(c.blocks, cached.hash)
}

// expire evicts unpinned blocks that have not been used within CacheIdleTimeout.
func (c *cache) expire(now time.Duration) {
	if c.rates.CacheIdleTimeout <= 0 {
		return
	}
	var evicted []prefix.Hash
	for element := c.order.Front(); element != nil; {
		oldest := element.Value.(*block)
		if now-oldest.lastUsed < c.rates.CacheIdleTimeout {
			break
		}
		element = element.Next()
		if oldest.pins == 0 {
			c.remove(oldest)
			evicted = append(evicted, oldest.hash)
		}
	}
	c.publish(now, nil, evicted)
}

// evictionAge estimates how long an unused block stays cached.
func (c *cache) evictionAge() time.Duration {
	if c.lastEvictionAge > 0 && len(c.blocks) >= c.rates.CacheBlocks*9/10 {
		if c.rates.CacheIdleTimeout > 0 {
			return min(c.lastEvictionAge, c.rates.CacheIdleTimeout)
		}
		return c.lastEvictionAge
	}
	return c.rates.CacheIdleTimeout
}

// publish records a cache event. A random fraction is marked as lost, as on an unreliable event stream.
func (c *cache) publish(now time.Duration, stored, evicted []prefix.Hash) {
	if len(stored) == 0 && len(evicted) == 0 {
		return
	}
	lost := c.random.Float64() < c.rates.EventLossRatio
	c.events = append(c.events, timedEvent{
		at: now, lost: lost, event: core.CacheEvent{Sequence: c.nextSequence, Stored: stored, Evicted: evicted},
	})
	c.nextSequence++
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-maxEvents/2:]...)
	}
}

// eventsAfter returns the events from sequence number from on that happened until the given time and were not lost, and
// the next sequence number to ask for.
func (c *cache) eventsAfter(from uint64, until time.Duration) ([]core.CacheEvent, uint64) {
	var reported []core.CacheEvent
	next := from
	if len(c.events) > 0 && from < c.events[0].event.Sequence {
		next = c.events[0].event.Sequence
	}
	start := 0
	if len(c.events) > 0 && next > c.events[0].event.Sequence {
		start = int(min(next-c.events[0].event.Sequence, uint64(len(c.events))))
	}
	for _, recorded := range c.events[start:] {
		if recorded.at > until {
			break
		}
		next = recorded.event.Sequence + 1
		if !recorded.lost {
			reported = append(reported, recorded.event)
		}
	}
	return reported, next
}

// blockHashes lists the cached blocks, least recently used first.
func (c *cache) blockHashes() []prefix.Hash {
	hashes := make([]prefix.Hash, 0, len(c.blocks))
	for element := c.order.Front(); element != nil; element = element.Next() {
		hashes = append(hashes, element.Value.(*block).hash)
	}
	return hashes
}
