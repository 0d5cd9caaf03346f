package prefix

import (
	"math"
	"slices"
	"time"
)

// EngineID is the index of an engine in the router's table.
type EngineID uint32

// Source is the origin of an index entry.
type Source uint8

// Origins of an index entry.
const (
	SourceDispatch Source = iota // a request was dispatched that leaves the block in the engine's cache
	SourceEvent                  // a cache event of the engine
	SourceSnapshot               // a complete block list of the engine
)

const (
	noNode             = 0
	tickPeriod         = 10 * time.Millisecond // resolution of the times in entries
	evictionSampleSize = 8                     // entries compared to choose one to evict when the index is full
)

// node is an index entry: an engine is assumed to hold a block. The entries of a block form a linked list. 36 bytes.
type node struct {
	hash       Hash
	engine     EngineID
	generation uint32 // of the engine when the entry was added
	lastSeen   uint32 // in ticks
	next       uint32
	inUse      bool
	source     Source
}

// engineState is the state of an engine that applies to all of its entries.
type engineState struct {
	generation  uint32
	maxAge      uint32 // unconfirmed entries older than this count as evicted; in ticks
	staleBefore uint32 // entries last seen before this predate a gap in the events; in ticks
	entries     int
}

// Index maps blocks to the engines that are assumed to hold them. Its size is bounded. It is not safe for concurrent
// use.
//
// An entry is valid only while its generation equals the engine's, so that InvalidateEngine takes constant time.
type Index struct {
	heads     map[Hash]uint32 // first entry of each block
	nodes     []node
	freeHead  uint32 // head of the list of free nodes
	engines   []engineState
	limit     int
	clockHand uint32 // next node that evictOne and Sweep look at
	count     int
}

// NewIndex returns an index of at most limit entries.
func NewIndex(limit int) *Index {
	return &Index{heads: map[Hash]uint32{}, nodes: make([]node, 1, 1024), limit: limit}
}

// Len returns the number of entries, including invalid ones that were not swept yet.
func (x *Index) Len() int { return x.count }

// EngineEntries returns the number of entries of an engine in its current generation.
func (x *Index) EngineEntries(engine EngineID) int { return x.engine(engine).entries }

func (x *Index) engine(id EngineID) *engineState {
	for int(id) >= len(x.engines) {
		x.engines = append(x.engines, engineState{maxAge: math.MaxUint32})
	}
	return &x.engines[id]
}

func ticks(t time.Duration) uint32 { return uint32(t / tickPeriod) }

// InvalidateEngine invalidates all entries of an engine after it restarted, died or changed its weights.
func (x *Index) InvalidateEngine(engine EngineID) {
	state := x.engine(engine)
	state.generation++
	state.entries = 0
	state.staleBefore = 0
}

// MarkStale marks all entries of an engine as stale, after a gap in its cache events.
func (x *Index) MarkStale(engine EngineID, now time.Duration) {
	x.engine(engine).staleBefore = ticks(now)
}

// SetMaxAge sets how long unused blocks stay in an engine's cache, as measured by the engine; 0 means unknown.
func (x *Index) SetMaxAge(engine EngineID, age time.Duration) {
	if age <= 0 {
		x.engine(engine).maxAge = math.MaxUint32
		return
	}
	x.engine(engine).maxAge = max(1, ticks(age))
}

// Add records that an engine holds the blocks of a chain.
func (x *Index) Add(engine EngineID, chain []Hash, now time.Duration, source Source) {
	state := x.engine(engine)
	for _, hash := range chain {
		if found := x.find(hash, engine, state.generation); found != noNode {
			x.nodes[found].lastSeen = ticks(now)
			if source != SourceDispatch { // a dispatch must not downgrade what the engine itself reported
				x.nodes[found].source = source
			}
			continue
		}
		x.insert(hash, engine, state.generation, ticks(now), source)
		state.entries++
	}
}

// Remove deletes the entries of an engine for the given blocks.
func (x *Index) Remove(engine EngineID, hashes []Hash) {
	state := x.engine(engine)
	for _, hash := range hashes {
		if found := x.find(hash, engine, state.generation); found != noNode {
			x.freeNode(found)
		}
	}
}

// find returns the entry of an engine for a block in the given generation, or noNode.
func (x *Index) find(hash Hash, engine EngineID, generation uint32) uint32 {
	for at := x.heads[hash]; at != noNode; at = x.nodes[at].next {
		if x.nodes[at].engine == engine && x.nodes[at].generation == generation {
			return at
		}
	}
	return noNode
}

func (x *Index) insert(hash Hash, engine EngineID, generation, lastSeen uint32, source Source) {
	if x.count >= x.limit {
		x.evictOne()
	}
	at := x.freeHead
	if at != noNode {
		x.freeHead = x.nodes[at].next
	} else {
		at = uint32(len(x.nodes))
		x.nodes = append(x.nodes, node{})
	}
	x.nodes[at] = node{hash: hash, engine: engine, generation: generation, lastSeen: lastSeen, next: x.heads[hash], inUse: true, source: source}
	x.heads[hash] = at
	x.count++
}

// freeNode unlinks an entry and adds its node to the free list.
func (x *Index) freeNode(at uint32) {
	freed := &x.nodes[at]
	x.unlink(freed.hash, at)
	state := x.engine(freed.engine)
	if freed.generation == state.generation {
		state.entries--
	}
	*freed = node{next: x.freeHead}
	x.freeHead = at
	x.count--
}

func (x *Index) unlink(hash Hash, at uint32) {
	head := x.heads[hash]
	next := x.nodes[at].next
	if head == at {
		if next == noNode {
			delete(x.heads, hash)
			return
		}
		x.heads[hash] = next
		return
	}
	for previous := head; previous != noNode; previous = x.nodes[previous].next {
		if x.nodes[previous].next == at {
			x.nodes[previous].next = next
			return
		}
	}
}

// isValid reports whether an entry still counts, and whether it is stale.
func (x *Index) isValid(at uint32, now uint32) (valid, stale bool) {
	entry := &x.nodes[at]
	state := &x.engines[entry.engine]
	if entry.generation != state.generation {
		return false, false
	}
	stale = entry.lastSeen < state.staleBefore
	confirmed := entry.source != SourceDispatch && !stale
	if !confirmed && now-min(now, entry.lastSeen) > state.maxAge {
		return false, false
	}
	return true, stale
}

// evictOne evicts the first entry of an old generation within a sample or, if there is none, the oldest entry of the
// sample.
func (x *Index) evictOne() {
	victim := uint32(noNode)
	for examined := 0; examined < evictionSampleSize; {
		x.clockHand++
		if int(x.clockHand) >= len(x.nodes) {
			x.clockHand = 1
		}
		if !x.nodes[x.clockHand].inUse {
			continue
		}
		examined++
		if x.nodes[x.clockHand].generation != x.engines[x.nodes[x.clockHand].engine].generation {
			victim = x.clockHand
			break
		}
		if victim == noNode || x.nodes[x.clockHand].lastSeen < x.nodes[victim].lastSeen {
			victim = x.clockHand
		}
	}
	x.freeNode(victim)
}

// Sweep checks up to count nodes and deletes entries that are no longer valid.
func (x *Index) Sweep(now time.Duration, count int) {
	for range min(count, len(x.nodes)-1) {
		x.clockHand++
		if int(x.clockHand) >= len(x.nodes) {
			x.clockHand = 1
		}
		if !x.nodes[x.clockHand].inUse {
			continue
		}
		if valid, _ := x.isValid(x.clockHand, ticks(now)); !valid {
			x.freeNode(x.clockHand)
		}
	}
}

// Match is an engine that is assumed to hold the first Blocks blocks of a chain.
type Match struct {
	Engine EngineID
	Blocks int
	Stale  bool // the entry predates a gap in the engine's events
}

// probeFractions are the depths, as fractions of the longest held prefix, at which Lookup looks for engines that hold
// less of it. Engines evict the end of a chain first, so an engine that holds a block also holds all blocks before
// it.
var probeFractions = [...]float64{1, 0.75, 0.5, 0.25, 0}

// Lookup appends the engines that hold a prefix of the chain to matches, the longest prefix first, each engine once.
func (x *Index) Lookup(chain []Hash, now time.Duration, matches []Match) []Match {
	longest := x.longestHeldPrefix(chain, ticks(now))
	if longest == 0 {
		return matches
	}
	start := len(matches)
	last := -1
	for _, fraction := range probeFractions {
		position := int(fraction * float64(longest-1))
		if position == last {
			continue
		}
		last = position
		for at := x.heads[chain[position]]; at != noNode; at = x.nodes[at].next {
			valid, stale := x.isValid(at, ticks(now))
			if valid && !containsEngine(matches[start:], x.nodes[at].engine) {
				matches = append(matches, Match{Engine: x.nodes[at].engine, Blocks: position + 1, Stale: stale})
			}
		}
	}
	return matches
}

func containsEngine(matches []Match, engine EngineID) bool {
	return slices.ContainsFunc(matches, func(match Match) bool { return match.Engine == engine })
}

// longestHeldPrefix returns how many leading blocks of the chain at least one engine holds, by binary search.
func (x *Index) longestHeldPrefix(chain []Hash, now uint32) int {
	low, high := 0, len(chain)
	for low < high {
		middle := (low + high) / 2
		if x.hasHolder(chain[middle], now) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (x *Index) hasHolder(hash Hash, now uint32) bool {
	for at := x.heads[hash]; at != noNode; at = x.nodes[at].next {
		if valid, _ := x.isValid(at, now); valid {
			return true
		}
	}
	return false
}
