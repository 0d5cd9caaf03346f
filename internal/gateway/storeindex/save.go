package storeindex

import (
	"time"

	"kitetiller/internal/prefix"
)

const (
	// A store's link that is busy for less than freeLinkWait takes any save, one that is busy for maxLinkWait takes
	// none, since requests wait for what they fetch over it. In between, a save is started if those of parts that are
	// requested more often would still fit. Of the pairs (10, 40), (15, 60), (30, 80), (60, 120) and (60, 240) the replay in
	// internal/gateway prefills least again with the last two, by a tenth; the shorter one delays fetches less.
	freeLinkWait = 60 * time.Millisecond
	maxLinkWait  = 120 * time.Millisecond
	// waitingTTL is how long after their last request missing parts count as waiting to be saved. It is short, so that
	// parts under the salt of replaced weights stop counting soon.
	waitingTTL = 2 * time.Second
	// hotterInterval is the minimum time between two counts of the waiting parts by demand.
	hotterInterval = 50 * time.Millisecond
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
	SaveBusy   // the link is busy; a later request may save them
	SaveSilent // the store is silent, or its contents were never read
)

// String returns the name in logs and metrics.
func (s Save) String() string {
	return [...]string{"", "started", "held", "under-way", "busy", "silent"}[s]
}

// Link is the state of a store's link.
type Link struct {
	Wait         time.Duration // until it is free
	TimePerToken time.Duration
}

// PlanSave decides whether a request saves its shared parts.
func (x *Index) PlanSave(now time.Duration, address, salt string, shared []prefix.Part, link Link) Save {
	if x.State(now, address) != Known {
		return SaveSilent
	}
	s := x.stores[address]
	lacking, lowest := false, maxDemand
	for _, part := range shared {
		key := partKey{salt, part.ID}
		if s.holds(now, key) >= part.Tokens {
			continue
		}
		if s.isSaving(now, key) {
			return SaveActive
		}
		lacking, lowest = true, min(lowest, x.demand.recent(now, part.ID))
	}
	switch {
	case !lacking:
		return SaveHeld
	case link.Wait < freeLinkWait:
		return SaveStart
	case link.Wait < maxLinkWait && link.Wait+time.Duration(s.waiting.hotter(now, lowest, s, x.demand))*link.TimePerToken < maxLinkWait:
		return SaveStart
	}
	return SaveBusy
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

// hotter returns the tokens of the waiting parts that are requested more often.
func (w *waitingParts) hotter(now time.Duration, than int, s *store, demands demandTable) int {
	if !w.counted || now >= w.countedAt+hotterInterval {
		w.count(now, s, demands)
	}
	return w.above[min(than, maxDemand)]
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
