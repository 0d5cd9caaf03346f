package storeindex

import (
	"time"

	"kitetiller/internal/prefix"
)

const (
	// saveTimeout is how long a save of a part may take to show up before another one may be started. It doubles with
	// each consecutive save that did not, up to maxSaveDoublings times, since saves that never succeed occupy the link
	// in the estimates of all schedulers. Failures are forgotten after saveMemory.
	saveTimeout      = 2 * time.Second
	maxSaveDoublings = 3
	saveMemory       = 20 * time.Second
	// Engines may save parts that they had cached, or only what they have prefilled for the request; it is learnt from
	// whether such saves show up. cachedSaveStep is the weight of one save in the ratio of those that do, which begins
	// at initialCachedSaves. Below minCachedSaves such parts are not taken to be saved, but tried every
	// cachedSaveInterval.
	initialCachedSaves = 0.5
	minCachedSaves     = 0.3
	cachedSaveStep     = 0.05
	cachedSaveInterval = 5 * time.Second
	// A store's link that is busy for less than freeLinkWait takes any save, one that is busy for maxLinkWait takes
	// none, since requests wait for what they fetch over it. In between, a save is started if those of parts that are
	// requested more often would still fit. Of the pairs (10, 40), (15, 60), (30, 80), (60, 120) and (60, 240) the replay in
	// internal/gateway prefills least again with the last two, by a tenth; the shorter one delays fetches less.
	freeLinkWait = 60 * time.Millisecond
	maxLinkWait  = 120 * time.Millisecond
	// waitingTTL is how long after their last request missing parts count as waiting to be saved. It is short, so that
	// parts under the salt of replaced weights stop counting soon.
	waitingTTL = 2 * time.Second
	// recountInterval is the minimum time between two counts of the waiting parts by demand.
	recountInterval = 50 * time.Millisecond
	// maxDemand is the demand from which on parts count as equally often requested.
	maxDemand = 63
)

// Save is whether the parts of a request are to be saved, or why not.
type Save uint8

const (
	SaveUnplanned Save = iota
	SaveStart
	SaveHeld   // the store holds them all
	SaveActive // a save of one of them is under way
	SaveCached // the engine has what the store lacks, and engines don't save that
	SaveBusy   // the link is busy; a later request may save them
	SaveSilent // the store is silent, or its contents were never read
)

// String returns the name in logs and metrics.
func (s Save) String() string {
	return [...]string{"", "started", "held", "under-way", "cached", "busy", "silent"}[s]
}

// Link is the state of a store's link.
type Link struct {
	Wait         time.Duration // until it is free
	TimePerToken time.Duration
}

// save is a save of a part.
type save struct {
	at       time.Duration
	failures int  // earlier consecutive saves that did not show up
	cached   bool // the engine had the part cached, so that it may not save it
	counted  bool // as one that did not show up, if cached
}

// cachedSaves learns whether engines save parts that they had cached.
type cachedSaves struct {
	ratio   float64 // of such saves that show up, smoothed
	triedAt time.Duration
}

func (c *cachedSaves) observe(succeeded bool) {
	outcome := 0.0
	if succeeded {
		outcome = 1
	}
	c.ratio += cachedSaveStep * (outcome - c.ratio)
}

// expected reports whether such saves are taken to succeed.
func (c *cachedSaves) expected() bool { return c.ratio >= minCachedSaves }

// PlanSave decides whether a request saves its shared parts. The engine is expected to have the leading tokens cached
// that are given.
func (x *Index) PlanSave(now time.Duration, address, salt string, shared []prefix.Part, cached int, link Link) Save {
	if x.State(now, address) != Known {
		return SaveSilent
	}
	s := x.stores[address]
	trial := now >= s.cached.triedAt+cachedSaveInterval
	lacking, savable, lowest, offset := false, false, maxDemand, 0
	for _, part := range shared {
		offset += part.Tokens
		key := partKey{salt, part.ID}
		if s.holds(now, key) >= part.Tokens {
			continue
		}
		lacking = true
		if offset <= cached && !s.cached.expected() && !trial {
			continue
		}
		if s.isSaving(now, key) {
			return SaveActive
		}
		savable, lowest = true, min(lowest, x.demand.recent(now, part.ID))
	}
	switch {
	case !lacking:
		return SaveHeld
	case !savable:
		return SaveCached
	case link.Wait < freeLinkWait:
		return SaveStart
	case link.Wait < maxLinkWait && link.Wait+time.Duration(s.waiting.moreRequestedTokens(now, lowest, s, x.demand))*link.TimePerToken < maxLinkWait:
		return SaveStart
	}
	return SaveBusy
}

// RecordSave records that a request began to save its shared parts at an engine that is expected to have leading tokens
// cached, and returns the tokens that are taken to be sent to the store.
func (x *Index) RecordSave(now time.Duration, address, salt string, shared []prefix.Part, cached int) (tokens int) {
	s := x.storeAt(address)
	if s == nil {
		return 0
	}
	offset := 0
	for _, part := range shared {
		offset += part.Tokens
		key := partKey{salt, part.ID}
		lacking := part.Tokens - min(part.Tokens, s.holds(now, key))
		if lacking == 0 || len(s.saving) >= maxParts {
			continue
		}
		next := save{at: now, cached: offset <= cached}
		last, failed := s.saving[key]
		if next.cached && failed && s.isSaving(now, key) {
			continue // by an engine that prefills it
		}
		if failed {
			next.failures = last.failures
			if !s.isSaving(now, key) {
				next.failures++
			}
		}
		s.saving[key] = next
		if next.cached {
			s.cached.triedAt = now
		}
		if !next.cached || s.cached.expected() {
			tokens += lacking
			delete(s.waiting.parts, key)
		}
	}
	return tokens
}

// Saving reports whether a save of one of the parts is under way, as far as is known.
func (x *Index) Saving(now time.Duration, address, salt string, shared []prefix.Part) bool {
	s := x.stores[address]
	if s == nil {
		return false
	}
	for _, part := range shared {
		key := partKey{salt, part.ID}
		if s.holds(now, key) < part.Tokens && s.isSaving(now, key) {
			return true
		}
	}
	return false
}

// isSaving reports whether a save of a part is taken to be under way.
func (s *store) isSaving(now time.Duration, key partKey) bool {
	last, saving := s.saving[key]
	if !saving || last.cached && !s.cached.expected() {
		return false
	}
	return now < last.at+saveTimeout<<min(last.failures, maxSaveDoublings)
}

// recordSaved records that a part has shown up in the store.
func (s *store) recordSaved(key partKey) {
	if last, saving := s.saving[key]; saving {
		if last.cached && !last.counted {
			s.cached.observe(true)
		}
		delete(s.saving, key)
	}
}

// sweepSaves counts the saves that did not show up, and removes old ones.
func (s *store) sweepSaves(now time.Duration) {
	for key, last := range s.saving {
		switch {
		case now >= last.at+saveMemory:
			delete(s.saving, key)
		case now >= last.at+saveTimeout && last.cached && !last.counted:
			s.cached.observe(false)
			last.counted = true
			s.saving[key] = last
		}
	}
}

// waitingPart is a part that was requested and that the store lacks.
type waitingPart struct {
	tokens int
	at     time.Duration // of the last request
}

// waitingParts are the parts that wait to be saved.
type waitingParts struct {
	parts     map[partKey]waitingPart
	countedAt time.Duration
	counted   bool
	above     [maxDemand + 1]int // tokens of waiting parts with a demand above the index
}

func (w *waitingParts) add(now time.Duration, key partKey, tokens int) {
	if _, known := w.parts[key]; known || len(w.parts) < maxParts {
		w.parts[key] = waitingPart{tokens: tokens, at: now}
	}
}

// moreRequestedTokens returns the tokens of the waiting parts whose demand is higher.
func (w *waitingParts) moreRequestedTokens(now time.Duration, demand int, s *store, demands demandTable) int {
	if !w.counted || now >= w.countedAt+recountInterval {
		w.count(now, s, demands)
	}
	return w.above[min(demand, maxDemand)]
}

func (w *waitingParts) count(now time.Duration, s *store, demands demandTable) {
	w.counted, w.countedAt = true, now
	var tokens [maxDemand + 1]int // by demand
	for key, part := range w.parts {
		if now <= part.at+waitingTTL && s.holds(now, key) < part.tokens && !s.isSaving(now, key) {
			tokens[min(demands.recent(now, key.id), maxDemand)] += part.tokens
		}
	}
	sum := 0
	for demand := maxDemand; demand >= 0; demand-- {
		w.above[demand] = sum
		sum += tokens[demand]
	}
}

func (w *waitingParts) sweep(now time.Duration) {
	for key, part := range w.parts {
		if now > part.at+waitingTTL {
			delete(w.parts, key)
		}
	}
}
