package gateway

import (
	"maps"
	"slices"
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/prefix"
)

// indexHolder makes a back end be found by parts that it holds.
func (t *table) indexHolder(row *endpoint, parts []prefix.Part) {
	for _, part := range parts {
		if row.cache.Holds(part.ID) && !slices.Contains(t.holders[part.ID], row) {
			t.holders[part.ID] = append(t.holders[part.ID], row)
		}
	}
}

// cacheAddress returns where a back end may be asked what it keeps. One that wants rest isn't asked that either.
func (t *table) cacheAddress(now time.Duration, id string) (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.rows[id]
	if row == nil || t.bar(now, row, false) == causeResting {
		return "", false
	}
	return row.entry.Address, true
}

// applyCacheReport takes up what a back end tells that it keeps, and returns what was believed otherwise, as sends that say so.
func (t *table) applyCacheReport(now time.Duration, id string, parts []belief.CachedPart, whole bool) []send {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.rows[id]
	if row == nil {
		return nil
	}
	bySalt := map[string][]prefix.Part{}
	for _, p := range row.cache.ApplyReport(now, parts, whole) {
		bySalt[p.Salt] = append(bySalt[p.Salt], p.Part)
		t.indexHolder(row, []prefix.Part{p.Part})
	}
	var corrections []send
	for _, salt := range slices.Sorted(maps.Keys(bySalt)) {
		corrections = append(corrections, send{Salt: salt, Parts: bySalt[salt]})
	}
	return corrections
}

// recordDemand notes what an engine was sent to read, for the lanes of its service. The caller holds the mutex.
func (t *table) recordDemand(now time.Duration, row *endpoint, uncached int) {
	slotTime := float64(t.meanDuration(row.entry.Service)) / float64(max(1, row.entry.Slots))
	t.lanesOf(row.entry.Service).recordDemand(now, uncached, slotTime)
}

func (t *table) recordCached(at time.Duration, row *endpoint, sent send) {
	row.cache.RecordUse(at, sent.Salt, sent.Parts)
	t.recordSent(at, prefix.SharedParts(sent.Parts))
	t.links.Record(at, sent.Move)
	t.indexHolder(row, prefix.SharedParts(sent.Parts))
	if sent.Saved {
		t.stored.Record(at, sent.Salt, prefix.SharedParts(sent.Parts))
	}
}

// recordOwnSend notes which parts an own send leaves where.
func (t *table) recordOwnSend(now time.Duration, sent send) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if row := t.rows[sent.Instance]; row != nil && sent.Salt != "" {
		t.recordDemand(now, row, sent.Uncached)
		t.recordCached(now, row, sent)
	}
}

// sweepHolders drops back ends that are gone, and parts that nobody holds any more, from the holders.
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
