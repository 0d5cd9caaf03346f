package gateway

import (
	"maps"
	"slices"
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/prefix"
)

// indexHolder adds a back end to the holders of the parts that it has cached. The caller holds the mutex.
func (t *table) indexHolder(row *endpoint, parts []prefix.Part) {
	for _, part := range parts {
		if row.cache.Holds(part.ID) && !slices.Contains(t.holders[part.ID], row) {
			t.holders[part.ID] = append(t.holders[part.ID], row)
		}
	}
}

// cacheAddress returns the address at which a back end's cache may be read. A back end that asked this gateway to
// back off is not read.
func (t *table) cacheAddress(now time.Duration, id string) (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.rows[id]
	if row == nil || t.restrictionCause(now, row, false) == causeBackingOff {
		return "", false
	}
	return row.entry.Address, true
}

// applyCacheReport applies a back end's report of its cache, and returns the differences from the estimate as
// announcements for other gateways.
func (t *table) applyCacheReport(now time.Duration, id string, parts []belief.CachedPart, full bool) []announcement {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.rows[id]
	if row == nil {
		return nil
	}
	bySalt := map[string][]prefix.Part{}
	for _, p := range row.cache.ApplyReport(now, parts, full) {
		bySalt[p.Salt] = append(bySalt[p.Salt], p.Part)
		t.indexHolder(row, []prefix.Part{p.Part})
	}
	var corrections []announcement
	for _, salt := range slices.Sorted(maps.Keys(bySalt)) {
		corrections = append(corrections, announcement{Salt: salt, Parts: bySalt[salt]})
	}
	return corrections
}

// recordDemand records the demand of a request sent to an engine, for the lanes of its service. The caller holds
// the mutex.
func (t *table) recordDemand(now time.Duration, row *endpoint, sent *announcement) {
	service, slots := row.entry.Service, float64(max(1, row.entry.Slots))
	lanes := t.lanesOf(service)
	if !lanes.strict {
		lanes.recordDemand(now, sent.Uncached, float64(t.meanDuration(service))/slots)
		return
	}
	prompt := max(prefix.PartTokens(sent.Parts), sent.Uncached)
	long := lanes.isLong(prompt, sent.Uncached)
	prefillTime := belief.Milliseconds(t.prefillEstimate(service).PrefillTime(sent.Uncached))
	held := 1 / slots // part of an engine that the request takes while it runs
	if memory := row.cache.Memory(); memory > 0 {
		held = max(held, float64(memoryOf(prompt, sent.Parts))/float64(memory))
	}
	lanes.recordEngineTime(now, long, prefillTime, float64(lanes.duration(long))*held)
}

// recordCached records the parts that a request leaves in the caches of its engine and of the store. The caller
// holds the mutex.
func (t *table) recordCached(at time.Duration, row *endpoint, sent announcement) {
	row.cache.RecordUse(at, sent.Salt, sent.Parts)
	t.recordSent(at, prefix.SharedParts(sent.Parts))
	t.links.Record(at, sent.Transfer)
	t.indexHolder(row, prefix.SharedParts(sent.Parts))
	if sent.SavedToStore {
		t.stored.Record(at, sent.Salt, prefix.SharedParts(sent.Parts))
	}
	t.recordStoreUse(at, row, &sent)
}

// recordOwnSend records the demand and the cached parts of a request that this gateway placed.
func (t *table) recordOwnSend(now time.Duration, sent announcement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if row := t.rows[sent.Instance]; row != nil && sent.Salt != "" {
		t.recordDemand(now, row, &sent)
		t.recordCached(now, row, sent)
	}
}

// sweepHolders removes back ends that are gone or have evicted a part from its holders. The caller holds the
// mutex.
func (t *table) sweepHolders() {
	for id, rows := range t.holders {
		rows = slices.DeleteFunc(rows, func(row *endpoint) bool { return row.gone || !row.cache.Holds(id) })
		if len(rows) == 0 {
			delete(t.holders, id)
			continue
		}
		t.holders[id] = rows
	}
}
