package prefix

import (
	"math"
	"slices"
	"time"
)

// EngineID is an engine's row in the router's table.
type EngineID uint32

// Source tells where a belief came from.
type Source uint8

// Sources of a belief.
const (
	SourceDispatch Source = iota // we sent a request that leaves the block there
	SourceEvent                  // the engine said so
	SourceSnapshot               // the engine's full list said so
)

const (
	noNode             = 0
	tickPeriod         = 10 * time.Millisecond // grain of the times kept with beliefs
	evictionSampleSize = 8                     // beliefs looked at to find one to drop when the index is full
)

// node is one belief: an engine holds a block. Nodes of one block form a list. 36 bytes.
type node struct {
	hash       Hash
	engine     EngineID
	generation uint32
	lastSeen   uint32 // in clockUnit
	next       uint32
	inUse      bool
	source     Source
}

// engineState is what the index knows about an engine as a whole.
type engineState struct {
	generation  uint32
	maxAge      uint32 // beliefs older than this are taken as evicted; in clockUnit
	staleBefore uint32 // beliefs older than this were heard before a gap in the engine's events
	entries     int
}

// Index maps blocks to the engines believed to hold them. Its size is bounded; it is not safe for
// concurrent use.
//
// Invariant: a belief counts only while its life equals the engine's, so that Forget voids all beliefs
// about an engine in constant time.
type Index struct {
	heads     map[Hash]uint32
	nodes     []node
	freeHead  uint32
	engines   []engineState
	limit     int
	clockHand uint32
	count     int
}

// NewIndex returns an index of at most limit beliefs.
func NewIndex(limit int) *Index {
	return &Index{heads: map[Hash]uint32{}, nodes: make([]node, 1, 1024), limit: limit}
}

// Len returns the number of beliefs held, dead ones that were not yet swept included.
func (x *Index) Len() int { return x.count }

// EngineEntries returns how many live beliefs are held about an engine.
func (x *Index) EngineEntries(engine EngineID) int { return x.engine(engine).entries }

func (x *Index) engine(id EngineID) *engineState {
	for int(id) >= len(x.engines) {
		x.engines = append(x.engines, engineState{maxAge: math.MaxUint32})
	}
	return &x.engines[id]
}

func ticks(t time.Duration) uint32 { return uint32(t / tickPeriod) }

// InvalidateEngine voids every belief about an engine: it restarted, died, or changed its weights.
func (x *Index) InvalidateEngine(engine EngineID) {
	state := x.engine(engine)
	state.generation++
	state.entries = 0
	state.staleBefore = 0
}

// MarkStale marks everything heard so far about an engine as doubtful, after a gap in its events.
func (x *Index) MarkStale(engine EngineID, now time.Duration) {
	x.engine(engine).staleBefore = ticks(now)
}

// SetMaxAge sets how long unused blocks stay on an engine, as measured there; 0 is unknown.
func (x *Index) SetMaxAge(engine EngineID, age time.Duration) {
	if age <= 0 {
		x.engine(engine).maxAge = math.MaxUint32
		return
	}
	x.engine(engine).maxAge = max(1, ticks(age))
}

// Add believes that an engine holds the blocks of a chain.
func (x *Index) Add(engine EngineID, chain []Hash, now time.Duration, source Source) {
	state := x.engine(engine)
	for _, hash := range chain {
		if found := x.find(hash, engine, state.generation); found != noNode {
			x.nodes[found].lastSeen = ticks(now)
			if source != SourceDispatch { // a send does not confirm what the engine itself has said
				x.nodes[found].source = source
			}
			continue
		}
		x.insert(hash, engine, state.generation, ticks(now), source)
		state.entries++
	}
}

// Remove forgets that an engine holds the given blocks.
func (x *Index) Remove(engine EngineID, hashes []Hash) {
	state := x.engine(engine)
	for _, hash := range hashes {
		if found := x.find(hash, engine, state.generation); found != noNode {
			x.freeNode(found)
		}
	}
}

// find returns the live belief about an engine and a block.
func (x *Index) find(hash Hash, engine EngineID, generation uint32) uint32 {
	for at := x.heads[hash]; at != noNode; at = x.nodes[at].next {
		if x.nodes[at].engine == engine && x.nodes[at].generation == generation {
			return at
		}
	}
	return noNode
}

func (x *Index) insert(hash Hash, engine EngineID, generation, heard uint32, source Source) {
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
	x.nodes[at] = node{hash: hash, engine: engine, generation: generation, lastSeen: heard, next: x.heads[hash], inUse: true, source: source}
	x.heads[hash] = at
	x.count++
}

// freeNode unlinks a belief and frees its node.
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

// isValid reports whether a node still counts, and whether it is doubtful.
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

// evictOne drops a dead belief, or the oldest of a few.
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

// Sweep looks at up to count nodes and drops those that no longer count.
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

// Match is an engine that is believed to hold the first Blocks blocks of a chain.
type Match struct {
	Engine EngineID
	Blocks int
	Stale  bool
}

// probeFractions are the depths, as shares of the deepest known block, at which shallower holders are looked
// for. Engines evict the end of a chain first, so a holder of block i holds all blocks before it.
var probeFractions = [...]float64{1, 0.75, 0.5, 0.25, 0}

// Lookup appends to matches the engines that hold a prefix of the chain, deepest first, each once.
func (x *Index) Lookup(chain []Hash, now time.Duration, matches []Match) []Match {
	longestHeldPrefix := x.deepest(chain, ticks(now))
	if longestHeldPrefix == 0 {
		return matches
	}
	start := len(matches)
	last := -1
	for _, fraction := range probeFractions {
		position := int(fraction * float64(longestHeldPrefix-1))
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

// deepest returns how many leading blocks of the chain some engine is believed to hold, by binary search.
func (x *Index) deepest(chain []Hash, now uint32) int {
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
