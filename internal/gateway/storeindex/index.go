// Package storeindex tracks which prompt parts each store of saved prompt parts holds, as read from the stores'
// cache events, and decides which parts are saved there. It has no I/O, locks, clock or randomness.
//
// One scheduler reads each store and sends the others what it has read. Each fact is the state of a part as of an event
// number of the store, so that of two facts about a part the one with the higher number holds, whoever read it.
package storeindex

import (
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/prefix"
)

const (
	// SilenceTTL is how long the known contents of a store count after the last report or successful read. After
	// that it is not asked.
	SilenceTTL = 4 * time.Second
	// unreadTTL is how long what another scheduler reported of a part counts. The reader repeats each part every
	// refreshCycle, so this allows for two lost messages.
	unreadTTL    = 30 * time.Second
	refreshCycle = 10 * time.Second
	// refreshInterval is the time between two repetitions of a share of the parts.
	refreshInterval = time.Second
	// removedTTL is how long the removal of a part is remembered, so that a late message does not undo it.
	removedTTL = 10 * time.Second
	// sharedTTL is how long after its last request a part counts as shared by requests, and saltTTL the same for salts.
	sharedTTL = 60 * time.Second
	saltTTL   = 30 * time.Second
	// maxParts bounds the parts known of one store, maxShared those known to be shared, and maxStores the stores. A part
	// takes some 200 bytes, so three stores take 12 MB at most, of a gateway's 112 MB.
	maxParts  = 20_000
	maxShared = 20_000
	maxStores = 64
	// maxUpdateParts bounds the parts of one message, and maxUpdates the messages at a time.
	maxUpdateParts = 64
	maxUpdates     = 8
	// maxPartTokens and maxEventStep bound what a message may plausibly state: the tokens of a part, and how far event
	// numbers advance between two messages and at all.
	maxPartTokens = 10_000_000
	maxEventStep  = 1 << 32
	maxEvent      = 1 << 62
)

// Epoch identifies a run of a store. Its contents and event numbers start anew with each run.
type Epoch struct {
	StartedMS int64 // start time in Unix milliseconds; 0 if unknown
	Boot      uint64
}

// Report states what a store holds of some parts as of an event number. A part without tokens is not held.
type Report struct {
	Store string // address
	Epoch Epoch
	Event uint64 // all events with lower numbers are included
	Parts []belief.CachedPart
}

// Counts are the numbers of reports that changed nothing.
type Counts struct {
	Stale   uint64 // parts or whole reports older than what is known
	Invalid uint64 // parts or whole reports with values that make no sense
}

// partKey identifies a part under a salt.
type partKey struct{ salt, id string }

// entry is what is known of a part at a store.
type entry struct {
	tokens    int // 0 if it was removed
	event     uint64
	seenAt    time.Duration // of the newest report about it
	announced bool          // other schedulers were sent, or have reported, that it is held
}

// store is what is known of one store.
type store struct {
	epoch   Epoch
	heard   bool          // a report has been accepted
	heardAt time.Duration // last report or successful read
	event   uint64        // highest event number reported
	parts   map[partKey]entry
	saving  map[partKey]save // the last save of each part that has not shown up
	waiting waitingParts
	cached  cachedSaves

	reading     bool                 // this process reads it
	readAt      time.Duration        // last successful read
	readEvent   uint64               // event number up to which this process has read
	unannounced map[partKey]struct{} // parts whose state is to be sent to other schedulers
	refresh     []partKey            // parts still to be repeated in this cycle
	refreshStep int                  // parts repeated per refreshInterval
	refreshedAt time.Duration
}

// Index holds what is known of all stores.
type Index struct {
	stores map[string]*store
	demand demandTable
	salts  map[string]time.Duration // when each salt was last requested
	counts Counts
}

// New returns an empty index.
func New() *Index {
	return &Index{stores: map[string]*store{}, demand: demandTable{}, salts: map[string]time.Duration{}}
}

// Counts returns the numbers of ignored reports.
func (x *Index) Counts() Counts { return x.counts }

// Parts returns the number of parts that a store is known to hold.
func (x *Index) Parts(address string) int {
	held := 0
	if s := x.stores[address]; s != nil {
		for _, e := range s.parts {
			if e.tokens > 0 {
				held++
			}
		}
	}
	return held
}

// storeAt returns the record of a store and creates it on first use, or returns nil if there are too many.
func (x *Index) storeAt(address string) *store {
	s := x.stores[address]
	if s == nil && len(x.stores) < maxStores {
		s = &store{parts: map[partKey]entry{}, saving: map[partKey]save{}, cached: cachedSaves{ratio: initialCachedSaves}, waiting: waitingParts{parts: map[partKey]waitingPart{}}, unannounced: map[partKey]struct{}{}}
		x.stores[address] = s
	}
	return s
}

// State is whether the contents of a store are known.
type State uint8

const (
	Unread State = iota // no report of it has arrived yet, or for sharedTTL, and this process does not read it
	Known               // a recent report has arrived
	Silent              // none has arrived for SilenceTTL
)

// State returns whether the contents of a store are known.
func (x *Index) State(now time.Duration, address string) State {
	s := x.stores[address]
	switch {
	case s == nil || !s.heard:
		return Unread
	case !s.reading && now > s.heardAt+sharedTTL:
		return Unread // nobody reads it; Sweep keeps the record while there are requests
	case now > s.heardAt+SilenceTTL:
		return Silent
	}
	return Known
}

// holds returns the known tokens of a part.
func (s *store) holds(now time.Duration, key partKey) int {
	e := s.parts[key]
	if !s.reading && now > e.seenAt+unreadTTL {
		return 0
	}
	return e.tokens
}

// Held returns the number of leading tokens of a prompt's shared parts that a store is known to hold. It stops at the
// first part that is not held completely.
func (x *Index) Held(now time.Duration, address, salt string, shared []prefix.Part) int {
	if x.State(now, address) != Known {
		return 0
	}
	s, tokens := x.stores[address], 0
	for _, part := range shared {
		kept := min(s.holds(now, partKey{salt, part.ID}), part.Tokens)
		tokens += kept
		if kept < part.Tokens {
			break
		}
	}
	return tokens
}

// RecordRequest records that a request with these shared parts was sent to an engine; its prompt belongs to the given
// store.
func (x *Index) RecordRequest(now time.Duration, address, salt string, shared []prefix.Part) {
	s := x.storeAt(address)
	if s == nil || len(shared) == 0 {
		return
	}
	x.salts[salt] = max(now, x.salts[salt])
	for _, part := range shared {
		x.demand.record(now, part.ID)
		key := partKey{salt, part.ID}
		switch e := s.parts[key]; {
		case e.tokens > 0 && s.reading && !e.announced:
			s.unannounced[key] = struct{}{}
		case s.holds(now, key) < part.Tokens:
			s.waiting.add(now, key, part.Tokens)
		}
	}
}

// Sweep removes what has expired.
func (x *Index) Sweep(now time.Duration) {
	x.demand.sweep(now)
	for salt, at := range x.salts {
		if now > at+saltTTL {
			delete(x.salts, salt)
		}
	}
	for address, s := range x.stores {
		s.sweep(now)
		if !s.reading && len(s.parts)+len(s.saving)+len(s.waiting.parts) == 0 && now > s.heardAt+sharedTTL {
			delete(x.stores, address) // no longer a store of the document, or not used
		}
	}
}

func (s *store) sweep(now time.Duration) {
	for key, e := range s.parts {
		if e.tokens == 0 && now > e.seenAt+removedTTL || !s.reading && now > e.seenAt+unreadTTL {
			delete(s.parts, key)
		}
	}
	s.sweepSaves(now)
	s.waiting.sweep(now)
}
