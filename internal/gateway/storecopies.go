package gateway

import (
	"slices"
	"strings"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

// copySource is where an engine is told to get shared parts from, for services that use the store index.
type copySource uint8

const (
	copyUnplanned  copySource = iota // the store index did not plan it, or the engine is expected to have all parts
	copyNone                         // the parts are prefilled
	copyEngine                       // another engine is estimated to have them
	copyStore                        // the store is known to hold them
	copyStoreAsked                   // the store is asked, though it is not known to hold them
)

// copySourceNames are the names in logs, metrics and messages.
var copySourceNames = [...]string{"", "none", "engine", "store", "store-asked"}

func (c copySource) String() string { return copySourceNames[c] }

// storeGap is why shared parts that the engine has to prefill are not fetched from the store.
type storeGap uint8

const (
	storeGapNone   storeGap = iota
	storeGapSilent          // the store has not been heard from for storeindex.SilenceTTL
	storeGapAbsent          // the store does not hold them
	storeGapSaving          // a save of them is under way
	storeGapSlow            // prefilling them is faster, or costs less
)

var storeGapNames = [...]string{"", "silent", "absent", "saving", "slow"}

func (s storeGap) String() string { return storeGapNames[s] }

// copySourceFromWire and storeGapFromWire return the values of a message; unknown names, of later builds, count as none.
func copySourceFromWire(name string) copySource {
	return copySource(max(0, slices.Index(copySourceNames[:], name)))
}

func storeGapFromWire(name string) storeGap {
	return storeGap(max(0, slices.Index(storeGapNames[:], name)))
}

// usesStoreIndex reports whether copies from and to the store are planned by the store index. As long as nobody has
// reported the contents of the store, they are planned as for other services. The caller holds the table's mutex.
func (g *Gateway) usesStoreIndex(now time.Duration, in *selectionInput) bool {
	return in.latencyCritical && in.store != nil && in.trusted && g.enabled(mechanism.StoreIndex) &&
		g.table.stores.State(now, in.store.StoreAddress) != storeindex.Unread
}

// planIndexedFetch decides how the engine gets the missing shared parts, and returns the tokens that it need not
// prefill. They are copied from another engine or from the store, whichever costs less. A store that is not known to
// have them is asked if there is nothing better, since a miss costs little, but that is not counted on.
func (g *Gateway) planIndexedFetch(now time.Duration, scored *candidate, in selectionInput, cached int, sources []source) int {
	shared, address := prefix.SharedParts(in.call.Parts), in.store.StoreAddress
	best, found := copyPlan{tokens: cached}, false
	if g.enabled(mechanism.EngineTransfers) {
		best, found = g.bestEngineCopy(now, scored, in, cached, sources)
	}
	scored.copySource, scored.storeGap = copyEngine, storeGapNone
	linkWait := g.table.links.Wait(now, address)
	held := g.table.stores.Held(now, address, scored.salt, shared)
	switch {
	case g.table.stores.State(now, address) != storeindex.Known:
		scored.storeGap = storeGapSilent
	case held <= cached:
		scored.storeGap = storeGapAbsent
		if g.table.stores.Saving(now, address, scored.salt, shared) {
			scored.storeGap = storeGapSaving
		}
	default:
		plan := g.planStoreCopy(now, scored, in, held, cached)
		prefill := g.table.prefillEstimate(in.service.Name).PrefillTime(held - cached)
		if linkWait+belief.FromMilliseconds(plan.time) >= prefill || plan.netCost(cached) >= 0 {
			scored.storeGap = storeGapSlow
		} else if !found || plan.netCost(cached) < best.netCost(cached) {
			best, found = plan, true
			best.time = belief.Milliseconds(storeLinkTime(in.service, in.store, held-cached))
			scored.copySource = copyStore
		}
	}
	scored.copyCostsMore = scored.storeGap == storeGapSlow || found && best.netCost(cached) >= 0
	if found && best.netCost(cached) < 0 {
		scored.fetchFrom, scored.cost = best.from, scored.cost+best.cost
		scored.transfer = belief.Transfer{From: best.from, Time: belief.FromMilliseconds(best.time)}
		return best.tokens
	}
	scored.copySource = copyNone
	missing := prefix.PartTokens(shared) - cached
	if scored.storeGap == storeGapSilent || scored.storeGap == storeGapSlow || linkWait >= maxSaveWait {
		return cached
	}
	if g.planStoreCopy(now, scored, in, cached+missing, cached).time < belief.Milliseconds(g.table.prefillEstimate(in.service.Name).PrefillTime(missing)) {
		scored.copySource, scored.fetchFrom = copyStoreAsked, address
	}
	return cached
}

// planStoreSave decides whether the request saves its shared parts in the store, also if the engine has them all. Few
// tokens are not saved, since prefilling them is faster than any transfer.
func (g *Gateway) planStoreSave(now time.Duration, chosen *candidate, in selectionInput) {
	shared := prefix.SharedParts(in.call.Parts)
	if len(shared) == 0 || chosen.version == 0 {
		return
	}
	tokens := prefix.PartTokens(shared)
	if transferTime(in.service, in.store.LinkMbps, tokens, false) >= belief.Milliseconds(g.table.prefillEstimate(in.service.Name).PrefillTime(tokens)) {
		return // they would never be fetched
	}
	link := storeindex.Link{Wait: g.table.links.Wait(now, in.store.StoreAddress), TimePerToken: storeLinkTime(in.service, in.store, 1)}
	chosen.storeSave = g.table.stores.PlanSave(now, in.store.StoreAddress, chosen.salt, shared, tokens-chosen.recomputed, link)
	if chosen.storeSave == storeindex.SaveStart {
		chosen.saveTo = in.store.StoreAddress
	}
}

// storeLinkTime returns how long the link of a store carries cached tokens. Unlike transferTime, it leaves out what
// delays a transfer without occupying the link.
func storeLinkTime(service, store *catalog.Service, tokens int) time.Duration {
	if store.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * service.KVBytesPerToken * bitsPerByte
	return belief.FromMilliseconds(bits / (store.LinkMbps * bitsPerMegabit) * millisecondsPerSecond)
}

// recordStoreUse records the demand for shared parts, and their save, for services that use the store index. The caller
// holds the mutex.
func (t *table) recordStoreUse(at time.Duration, row *endpoint, sent *announcement) {
	if t.currentView == nil || !t.mechanisms.On(mechanism.StoreIndex) || !t.mechanisms.On(mechanism.StoreTransfers) || !strings.HasPrefix(sent.Salt, sharedSaltPrefix) {
		return
	}
	current, shared := t.currentView(), prefix.SharedParts(sent.Parts)
	if current == nil || !current.critical[row.entry.Service] || len(shared) == 0 {
		return
	}
	store := current.storeOf(sent.Parts)
	if store == nil {
		return
	}
	t.stores.RecordRequest(at, store.StoreAddress, sent.Salt, shared)
	if !sent.SavedToStore {
		return
	}
	cached := max(0, prefix.PartTokens(sent.Parts)-sent.Uncached)
	tokens := t.stores.RecordSave(at, store.StoreAddress, sent.Salt, shared, cached)
	if t.stores.State(at, store.StoreAddress) != storeindex.Unread { // otherwise the announced transfer includes the save
		t.links.Record(at, belief.Transfer{From: store.StoreAddress, Time: storeLinkTime(current.services[row.entry.Service], store, tokens)})
	}
}
