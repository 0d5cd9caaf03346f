package storeindex

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kitetiller/internal/gateway/belief"
)

// ApplyRead applies what this process has read from a store: its complete contents, or changes. Reads arrive in order
// and come from the store itself, so they replace whatever other schedulers reported. It returns whether the read was
// accepted; if not, the store has to be listed again.
func (x *Index) ApplyRead(now time.Duration, r Report, full bool) (accepted bool) {
	s := x.accept(now, r, true)
	if s == nil {
		return false
	}
	if !s.reading {
		s.reading, s.refresh, s.refreshedAt = true, nil, now
	}
	s.readAt, s.event, s.readEvent = now, r.Event, r.Event
	var listed map[partKey]struct{}
	if full {
		listed = make(map[partKey]struct{}, len(r.Parts))
	}
	for _, p := range r.Parts {
		if isInvalid(p) { // the others count, since the store does not send them again
			x.counts.Invalid++
			continue
		}
		key := partKey{p.Salt, p.ID}
		if full {
			listed[key] = struct{}{}
		}
		x.set(now, s, key, p.Tokens, r.Event)
	}
	if !full {
		return true
	}
	for key, e := range s.parts {
		if _, held := listed[key]; !held && e.tokens > 0 {
			x.set(now, s, key, 0, r.Event)
		}
	}
	return true
}

// ApplyPeer applies what another scheduler reported at a time on this process' clock. It is ignored for a store that
// this process reads itself, and if one of its parts is invalid, since a reader sends none.
func (x *Index) ApplyPeer(at time.Duration, r Report) {
	known := x.stores[r.Store]
	if !r.plausible(known) || slices.ContainsFunc(r.Parts, isInvalid) {
		x.counts.Invalid++
		return
	}
	if known != nil && known.reading {
		if at <= known.readAt+SilenceTTL {
			x.counts.Stale++
			return
		}
		x.Release(at, r.Store) // the other scheduler reaches the store and this one does not
	}
	s := x.accept(at, r, false)
	if s == nil {
		return
	}
	s.event = max(s.event, r.Event)
	for _, p := range r.Parts {
		key := partKey{p.Salt, p.ID}
		if before, known := s.parts[key]; known && r.Event < before.event {
			x.counts.Stale++
			continue
		}
		x.set(at, s, key, p.Tokens, r.Event)
	}
}

// Release records that this process no longer reads a store.
func (x *Index) Release(now time.Duration, address string) {
	s := x.stores[address]
	if s == nil || !s.reading {
		return
	}
	s.reading, s.refresh = false, nil
	clear(s.unannounced)
	for key, e := range s.parts {
		e.seenAt = max(e.seenAt, now)
		s.parts[key] = e
	}
}

// accept returns the store that a report is about, or nil if the report is ignored. The contents of an earlier run of
// the store are dropped.
func (x *Index) accept(at time.Duration, r Report, read bool) *store {
	known := x.stores[r.Store]
	if !r.plausible(known) {
		x.counts.Invalid++
		return nil
	}
	s := x.storeAt(r.Store)
	switch {
	case s == nil:
		x.counts.Invalid++
		return nil
	case s.heard && r.Epoch != s.epoch && !s.replacedBy(at, r.Epoch, read):
		x.counts.Stale++
		return nil
	case !s.heard || r.Epoch != s.epoch:
		s.forget(r.Epoch)
	}
	s.heard, s.heardAt = true, max(s.heardAt, at)
	return s
}

// plausible reports whether the store, run and event number of a report make sense.
func (r *Report) plausible(known *store) bool {
	if r.Store == "" || r.Epoch.StartedMS < 0 {
		return false
	}
	if r.Event > maxEvent {
		return false
	}
	if known != nil && known.heard && r.Epoch == known.epoch && r.Event > known.event && r.Event-known.event > maxEventStep {
		return false
	}
	return true
}

// isInvalid reports whether the values of a part make no sense.
func isInvalid(p belief.CachedPart) bool {
	return p.ID == "" || p.Salt == "" || p.Tokens < 0 || p.Tokens > maxPartTokens
}

// replacedBy reports whether a run of the store with another epoch is newer than the known one. What was read from the
// store itself is. Otherwise the start times decide, or the times of the reports if there are none or the known run has
// been silent.
func (s *store) replacedBy(at time.Duration, epoch Epoch, read bool) bool {
	if read || at > s.heardAt+SilenceTTL {
		return true
	}
	if epoch.StartedMS > 0 && s.epoch.StartedMS > 0 && epoch.StartedMS != s.epoch.StartedMS {
		return epoch.StartedMS > s.epoch.StartedMS
	}
	return at > s.heardAt
}

// forget drops the contents of a store, for use when it has been restarted.
func (s *store) forget(epoch Epoch) {
	s.epoch, s.event, s.readEvent, s.refresh = epoch, 0, 0, nil
	clear(s.parts)
	clear(s.unannounced)
	clear(s.saving)
}

// set records the state of a part as of an event.
func (x *Index) set(at time.Duration, s *store, key partKey, tokens int, event uint64) {
	before, known := s.parts[key]
	if !known && (tokens == 0 && s.reading || !x.makeRoom(at, s, key.id)) {
		return
	}
	if s.reading && tokens != before.tokens && (before.announced || tokens > 0 && x.demand.isShared(at, key.id)) {
		s.unannounced[key] = struct{}{}
	}
	s.parts[key] = entry{tokens: tokens, event: event, seenAt: max(at, before.seenAt), announced: before.announced || !s.reading}
	if tokens > 0 {
		s.recordSaved(key)
	}
}

// makeRoom reports whether another part may be added. If there are too many, those that nobody asks for are dropped.
func (x *Index) makeRoom(now time.Duration, s *store, id string) bool {
	if len(s.parts) < maxParts {
		return true
	}
	if !x.demand.isShared(now, id) {
		return false
	}
	for key := range s.parts {
		if _, used := x.salts[key.salt]; !used || !x.demand.isShared(now, key.id) {
			delete(s.parts, key)
		}
	}
	return len(s.parts) < maxParts
}

// Updates returns the reports to send to the other schedulers: parts whose state has changed and that requests share,
// and every refreshInterval a share of the parts held, so that those who missed a report or have just started learn of
// all within refreshCycle. The last report is empty if only the store's being alive is to be reported.
func (x *Index) Updates(now time.Duration, address string) []Report {
	s := x.stores[address]
	if s == nil || !s.reading {
		return nil
	}
	var keys []partKey
	for key := range s.unannounced {
		if len(keys) == maxUpdates*maxUpdateParts {
			break
		}
		keys = append(keys, key)
		delete(s.unannounced, key)
	}
	alive := false
	if now >= s.refreshedAt+refreshInterval {
		s.refreshedAt, alive = now, true
		keys = append(keys, x.refreshShare(now, s)...)
	}
	reports := s.reportsOf(address, keys)
	if len(reports) == 0 && alive {
		reports = []Report{{Store: address, Epoch: s.epoch, Event: s.readEvent}}
	}
	return reports
}

// refreshShare returns the next parts to repeat.
func (x *Index) refreshShare(now time.Duration, s *store) []partKey {
	if len(s.refresh) == 0 {
		for key, e := range s.parts {
			if _, used := x.salts[key.salt]; used && e.tokens > 0 && x.demand.isShared(now, key.id) {
				s.refresh = append(s.refresh, key)
			}
		}
		steps := int(refreshCycle / refreshInterval)
		s.refreshStep = min((len(s.refresh)+steps-1)/steps, maxUpdates*maxUpdateParts)
	}
	count := min(len(s.refresh), s.refreshStep)
	share := s.refresh[:count]
	s.refresh = s.refresh[count:]
	return share
}

// reportsOf returns reports of the parts' states, by salt. States newer than what this process has read are left out:
// another scheduler reports them.
func (s *store) reportsOf(address string, keys []partKey) []Report {
	bySalt := map[string][]belief.CachedPart{}
	for _, key := range keys {
		e, known := s.parts[key]
		if !known || e.event > s.readEvent {
			continue
		}
		e.announced = e.tokens > 0
		s.parts[key] = e
		part := belief.CachedPart{Salt: key.salt}
		part.ID, part.Tokens = key.id, e.tokens
		bySalt[key.salt] = append(bySalt[key.salt], part)
	}
	var reports []Report
	for _, salt := range slices.Sorted(maps.Keys(bySalt)) {
		parts := bySalt[salt]
		slices.SortFunc(parts, func(a, b belief.CachedPart) int { return cmp.Compare(a.ID, b.ID) })
		for chunk := range slices.Chunk(parts, maxUpdateParts) {
			reports = append(reports, Report{Store: address, Epoch: s.epoch, Event: s.readEvent, Parts: chunk})
		}
	}
	return reports
}
