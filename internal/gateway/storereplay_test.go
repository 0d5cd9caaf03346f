package gateway

import (
	"cmp"
	"container/heap"
	"container/list"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
)

// replayLoad is the load that TestStoreReplay replays: the long prompts of a large deployment.
var replayLoad = struct {
	zones, schedulersPerZone, engines, slots int
	engineMemory, storeMemory                int     // tokens
	tokenBytes, engineMbps, storeMbps        float64 // bytes of a cached token; links
	stores                                   int
	prefillRate                              float64 // prompt tokens per ms
	preambles, prompts                       int     // each prompt is a preamble, a subject and a part of its own
	preambleTokens, subjectTokens, ownTokens int
	skew                                     float64 // exponent of the Zipf distribution of prompts
	arrivals                                 float64 // per second
	weightsEvery, weightsSpread              time.Duration
	zoneLatency, announceDelay, readInterval time.Duration
	length                                   time.Duration
}{
	zones: 4, schedulersPerZone: 3, engines: 90, slots: 32, engineMemory: 114_380, storeMemory: 3_731_858,
	tokenBytes: 18_432, engineMbps: 370_000, storeMbps: 140_000, stores: 3, prefillRate: 112,
	preambles: 82, prompts: 1948, preambleTokens: 2520, subjectTokens: 3780, ownTokens: 2890, skew: 0.5, arrivals: 522,
	weightsEvery: 12 * time.Second, weightsSpread: 3 * time.Second,
	zoneLatency: 3 * time.Millisecond, announceDelay: 45 * time.Millisecond, readInterval: 100 * time.Millisecond,
	length: 26 * time.Second,
}

// againWindow is the time after the last use of a part within which prefilling it again counts as avoidable.
const againWindow = 10 * time.Second

// storeReplayEvent is something that happens at a time of the replay.
type storeReplayEvent struct {
	at    time.Duration
	order int
	run   func()
}

type replayQueue []storeReplayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(e any)   { *q = append(*q, e.(storeReplayEvent)) }
func (q *replayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// replayPart is a part under a salt.
type replayPart struct {
	salt string
	prefix.Part
}

// replayCache is an LRU cache of parts, with its link and the changes since it was last read.
type replayCache struct {
	address  string
	zone     int
	mbps     float64
	capacity int
	used     int
	order    *list.List // of replayPart; most recently used first
	elements map[[2]string]*list.Element
	linkBusy time.Duration
	changes  []belief.CachedPart
}

func newReplayCache(address string, zone, capacity int, mbps float64) *replayCache {
	return &replayCache{address: address, zone: zone, mbps: mbps, capacity: capacity, order: list.New(), elements: map[[2]string]*list.Element{}}
}

func (c *replayCache) put(salt string, parts []prefix.Part) {
	for _, p := range parts {
		key := [2]string{salt, p.ID}
		if e := c.elements[key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.elements[key] = c.order.PushFront(replayPart{salt, p})
		c.used += p.Tokens
		c.changes = append(c.changes, belief.CachedPart{Salt: salt, Part: p})
	}
	for c.used > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(replayPart)
		delete(c.elements, [2]string{oldest.salt, oldest.ID})
		c.used -= oldest.Tokens
		c.changes = append(c.changes, belief.CachedPart{Salt: oldest.salt, Part: prefix.Part{ID: oldest.ID}})
	}
}

// leading returns how many leading parts are cached, and marks them as used.
func (c *replayCache) leading(salt string, parts []prefix.Part) int {
	for i, p := range parts {
		e := c.elements[[2]string{salt, p.ID}]
		if e == nil {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(parts)
}

func (c *replayCache) clear() {
	for key := range c.elements {
		c.changes = append(c.changes, belief.CachedPart{Salt: key[0], Part: prefix.Part{ID: key[1]}})
	}
	c.order.Init()
	clear(c.elements)
	c.used = 0
}

// replayEngine is an engine that prefills one prompt at a time.
type replayEngine struct {
	*replayCache
	id      string
	version uint64
	waiting []*storeReplayRequest
	busy    bool
}

// storeReplayRequest is a request that was placed.
type storeReplayRequest struct {
	parts      []prefix.Part
	placed     *candidate
	engine     *replayEngine
	gateway    *Gateway
	id         string
	at         time.Duration
	usedBefore []time.Duration // last use of each shared part under the salt before this request, or -1 if there was none
	had        int             // leading parts that the engine did not have to prefill
	leading    int             // leading parts that the store was recorded to hold, if it was not recorded to hold all
	cause      string          // why the store was not counted on
}

// storeReplay is a fleet in virtual time.
type storeReplay struct {
	now      time.Duration
	queue    replayQueue
	order    int
	random   *rand.Rand
	fleet    []*Gateway
	engines  []*replayEngine
	byAddr   map[string]*replayCache
	stores   []*replayCache
	lastUse  map[[2]string]time.Duration
	weights  []float64 // cumulative, of the prompts
	saves    map[string]string
	byteLink belief.Links // of stores, counting only the bytes that they carry
	total    replayTotals
	// savesPrefilledOnly means that engines save only what they have prefilled for the request, not what they had.
	savesPrefilledOnly bool
}

// replayTotals is what a replay counts, in tokens except for requests.
type replayTotals struct {
	requests, rejected                    int
	prefilledAgain, firstTime, predicted  int
	fetched, fetchedUnknown, saved, twice int
	missedFetches, asked                  int
	reportBytes                           int // of reports of the stores' contents, by all readers to one scheduler
	leading                               int // tokens prefilled again of leading parts that saves were planned of, with others missing
	firstEvents                           []time.Duration
	causes                                map[string]int // tokens prefilled again, by what was known of the store
	unknownButHeld                        int            // tokens prefilled again that the store held and that were not fetched
}

func (r *storeReplay) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.queue, storeReplayEvent{r.now + d, r.order, run})
}

func newStoreReplay(mechanisms mechanism.Set, seed uint64) *storeReplay {
	load := &replayLoad
	r := &storeReplay{
		random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*replayCache{}, lastUse: map[[2]string]time.Duration{}, saves: map[string]string{}, byteLink: belief.Links{},
		total: replayTotals{causes: map[string]int{}},
	}
	document := &catalog.Document{
		Services: []catalog.Service{{Name: "s", Engine: true, Slots: load.slots, CacheTokens: load.engineMemory, KVBytesPerToken: load.tokenBytes, LinkMbps: load.engineMbps}},
		Routes:   []catalog.Route{{Name: "r", Streaming: true, Objective: 400 * time.Millisecond, Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
	}
	for i := range load.stores {
		c := newReplayCache(fmt.Sprintf("10.9.0.%d:80", i), i%load.zones, load.storeMemory, load.storeMbps)
		r.stores, r.byAddr[c.address] = append(r.stores, c), c
		document.Services = append(document.Services, catalog.Service{Name: fmt.Sprint("k", i), StoreAddress: c.address, LinkMbps: load.storeMbps, Zone: fmt.Sprint("z", i%load.zones)})
	}
	for i := range load.engines {
		e := &replayEngine{replayCache: newReplayCache(fmt.Sprintf("10.0.0.%d:80", i), i%load.zones, load.engineMemory, load.engineMbps), id: fmt.Sprint("i-", i), version: 1}
		r.engines, r.byAddr[e.address] = append(r.engines, e), e.replayCache
	}
	for i := range load.zones * load.schedulersPerZone {
		g := New(Settings{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i%load.zones), OldWeightsStartLimit: time.Minute, ViewTTL: time.Hour, Mechanisms: mechanisms}, nil, node.NopLog())
		g.now = func() time.Duration { return r.now }
		g.view.Store(newView(document, nil))
		g.confirmedAt.Store(1)
		r.fleet = append(r.fleet, g)
	}
	r.announceRoster(r.engines, true)
	sum := 0.0
	for i := range load.prompts {
		sum += math.Pow(float64(i+1), -load.skew)
		r.weights = append(r.weights, sum)
	}
	return r
}

func (r *storeReplay) announceRoster(engines []*replayEngine, full bool) {
	update := &control.RosterUpdate{Full: full}
	for _, e := range engines {
		update.Entries = append(update.Entries, control.RosterEntry{
			Instance: catalog.Instance{ID: e.id, Service: "s", Address: e.address, Zone: fmt.Sprint("z", e.zone), Slots: replayLoad.slots, State: catalog.StateReady},
			Versions: map[string]uint64{"m": e.version},
		})
	}
	for _, g := range r.fleet {
		g.table.applyRoster(r.now, update, map[string]int{"s": replayLoad.engineMemory})
	}
}

// tell sends announcements to the other schedulers.
func (r *storeReplay) tell(from *Gateway, items ...announcement) {
	if len(items) == 0 {
		return
	}
	sentAt := r.now
	r.after(replayLoad.announceDelay, func() {
		received := make([]announcement, 0, len(items))
		for _, item := range items {
			received = append(received, item.toWire(r.now-sentAt).announcement())
		}
		for _, g := range r.fleet {
			if g != from {
				g.table.applySends(r.now, received)
			}
		}
	})
}

func (r *storeReplay) run() {
	load := &replayLoad
	for i, e := range r.engines {
		reader := r.fleet[i%len(r.fleet)]
		var read func()
		read = func() {
			r.after(load.readInterval, read)
			changes := e.changes
			e.changes = nil
			corrections := reader.table.applyCacheReport(r.now, e.id, changes, false)
			for j := range corrections {
				corrections[j].Gateway, corrections[j].Instance, corrections[j].CacheReport = reader.shortName, e.id, true
			}
			r.tell(reader, corrections...)
		}
		r.after(time.Duration(i)*load.readInterval/time.Duration(load.engines), read)
		for at := load.weightsEvery; at < load.length; at += load.weightsEvery {
			r.after(at+load.weightsSpread*time.Duration(i)/time.Duration(load.engines), func() {
				e.version++
				e.clear()
				r.announceRoster([]*replayEngine{e}, false)
			})
		}
	}
	for i, store := range r.stores {
		if reader := r.fleet[i%len(r.fleet)]; reader.enabled(mechanism.StoreIndex) {
			r.readStore(reader, store)
		}
	}
	for _, g := range r.fleet {
		var sweep func()
		sweep = func() { r.after(sweepPeriod, sweep); g.table.sweep(r.now) }
		r.after(0, sweep)
	}
	var arrive func()
	arrive = func() {
		r.after(time.Duration(r.random.ExpFloat64()/load.arrivals*float64(time.Second)), arrive)
		r.place()
	}
	r.after(time.Second, arrive)
	for r.now < load.length {
		next := heap.Pop(&r.queue).(storeReplayEvent)
		r.now = next.at
		next.run()
	}
}

// readStore reads the events of a store as its reader does.
func (r *storeReplay) readStore(reader *Gateway, store *replayCache) {
	event := uint64(0)
	var read func()
	read = func() {
		r.after(replayLoad.readInterval, read)
		event += uint64(len(store.changes))
		report := storeindex.Report{Store: store.address, Epoch: storeindex.Epoch{Boot: 1}, Event: event, Parts: store.changes}
		store.changes = nil
		updates, _ := reader.table.applyStoreRead(r.now, report, event == 0)
		for _, update := range updates {
			item := announcement{Gateway: reader.shortName, StoreReport: &update}
			text, _ := json.Marshal(item.toWire(0)) // cannot fail for these types
			r.total.reportBytes += len(text)
			r.tell(reader, item)
		}
	}
	r.after(0, read)
}

// place places a request as a scheduler does for another gateway.
func (r *storeReplay) place() {
	load := &replayLoad
	n, _ := slices.BinarySearch(r.weights, r.random.Float64()*r.weights[len(r.weights)-1])
	n = min(n, load.prompts-1)
	r.total.requests++
	id := fmt.Sprint("q", r.total.requests)
	parts := []prefix.Part{{ID: fmt.Sprint("p", n%load.preambles), Tokens: load.preambleTokens}, {ID: fmt.Sprint("s", n), Tokens: load.subjectTokens}, {ID: id, Tokens: load.ownTokens}}
	g := r.fleet[r.random.IntN(load.zones)+load.zones*(n%load.schedulersPerZone)] // of a prompt there is one scheduler in each zone
	current := g.view.Load()
	call := Call{Model: "m", Parts: parts, PromptTokens: prefix.PartTokens(parts)}
	in := selectionInput{
		service: current.services["s"], store: current.storeOf(parts), call: &call, trusted: true, sentByPeer: true, firstAttempt: true, priority: 1,
		latencyTarget: 400 * time.Millisecond, latencyCritical: current.critical["s"],
	}
	chosen := g.choose(r.now, in)
	if chosen == nil {
		r.total.rejected++
		return
	}
	if _, rejected := g.checkAdmission(r.now, chosen, in); rejected {
		r.total.rejected++
		return
	}
	q := &storeReplayRequest{parts: parts, placed: chosen, gateway: g, id: id, at: r.now}
	for _, p := range parts[:2] {
		key := [2]string{chosen.salt, p.ID}
		last, known := r.lastUse[key]
		if !known {
			last = -1
		}
		q.usedBefore = append(q.usedBefore, last)
		r.lastUse[key] = r.now
	}
	q.cause = r.explain(g, chosen, in)
	if stored := g.table.stored; !stored.Holds(r.now, chosen.salt, parts[:2]) && stored.Holds(r.now, chosen.salt, parts[:1]) {
		q.leading = 1
	}
	r.total.predicted += chosen.recomputed
	placedLoad := g.table.addPlacement(r.now, id, placement{
		row: chosen.row, load: loadOf(&call), uncached: chosen.uncached, engineIdle: chosen.engineIdle, expiresAt: r.now + 4*time.Second, priority: 1, queueWait: chosen.queueWait,
	})
	announced := announcement{
		Gateway: g.shortName, Load: placedLoad, Instance: chosen.row.entry.ID, Salt: chosen.salt, Parts: parts, Uncached: chosen.uncached, SavedToStore: chosen.saveTo != "", Transfer: chosen.transfer,
	}
	g.table.recordOwnSend(r.now, announced)
	r.tell(g, announced)
	for _, e := range r.engines {
		if e.id == chosen.row.entry.ID {
			q.engine = e
		}
	}
	r.after(load.zoneLatency, func() { r.fetch(q) })
}

// countedOn is the explanation for parts expected to be fetched from the store.
const countedOn = "store counted on"

// explain returns what was known of the store when a request was placed, and remembers whether it saved its parts.
func (r *storeReplay) explain(g *Gateway, chosen *candidate, in selectionInput) string {
	shared := prefix.SharedParts(in.call.Parts)
	if in.latencyCritical && g.enabled(mechanism.StoreIndex) {
		if chosen.transfer.From == in.store.StoreAddress {
			return countedOn
		}
		return cmp.Or(chosen.storeGap.String(), "expected at the engine or copied from another") + "; save: " + chosen.storeSave.String()
	}
	prompt := chosen.salt + shared[1].ID
	address := in.store.StoreAddress
	before := r.saves[prompt]
	bytesBusy, busy := r.byteLink.Wait(r.now, address), g.table.links.Wait(r.now, address)
	switch {
	case chosen.saveTo != "":
		r.saves[prompt] = "saved"
	case before == "saved":
	case chosen.recomputed == 0 && chosen.transfer.From == "":
		r.saves[prompt] = "no save, the engine had all"
	case chosen.transfer.From != "" && chosen.recomputed > 0 && r.byAddr[chosen.transfer.From] != nil && chosen.transfer.From != address:
		r.saves[prompt] = "no save, leading parts copied from an engine"
	case chosen.recomputed == 0 && chosen.transfer.From != address:
		r.saves[prompt] = "no save, copied from an engine"
	case busy >= maxSaveWait && bytesBusy >= maxSaveWait:
		r.saves[prompt] = "no save, link busy by bytes"
	case busy >= maxSaveWait:
		r.saves[prompt] = "no save, link busy by the 4 ms and zone factor only"
	default:
		r.saves[prompt] = "no save, other"
	}
	if from := r.byAddr[chosen.transfer.From]; from != nil && slices.Contains(r.stores, from) {
		tokens := prefix.PartTokens(shared) - chosen.row.cache.Cached(chosen.salt, shared)
		r.byteLink.Record(r.now, belief.Transfer{From: address, Time: bytesTime(tokens, from.mbps)})
	}
	stored := g.table.stored.Holds(r.now, chosen.salt, shared)
	switch {
	case chosen.transfer.From == address && chosen.saveTo == "":
		return countedOn
	case stored:
		return "store known to hold, not used"
	case before == "saved":
		return "saved by an earlier request, not known here"
	case before == "":
		return "first request under the salt"
	}
	return "earlier request: " + before
}

// bytesTime returns how long a link carries the bytes of cached tokens.
func bytesTime(tokens int, mbps float64) time.Duration {
	return time.Duration(float64(tokens) * replayLoad.tokenBytes * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}

// transfer runs a transfer over the links of both ends and returns when it ends.
func (r *storeReplay) transfer(from, to *replayCache, tokens int) time.Duration {
	start := max(r.now, from.linkBusy)
	length := bytesTime(tokens, min(from.mbps, to.mbps))
	from.linkBusy = start + length
	if from.zone != to.zone {
		length += 2 * replayLoad.zoneLatency
	}
	return start + length + time.Millisecond
}

// fetch copies the leading parts that the engine lacks from the source that the placement names, if that has them.
func (r *storeReplay) fetch(q *storeReplayRequest) {
	shared, ready, copied := q.parts[:2], r.now, 0
	if source := r.byAddr[q.placed.fetchFrom]; source != nil {
		had := q.engine.leading(q.placed.salt, shared)
		held := source.leading(q.placed.salt, shared)
		isStore := slices.Contains(r.stores, source)
		if isStore && had < len(shared) {
			r.total.asked++
		}
		if held > had {
			tokens := prefix.PartTokens(shared[had:held])
			if isStore {
				r.total.fetched += tokens
				if q.cause != countedOn {
					r.total.fetchedUnknown += tokens
				}
			}
			ready = r.transfer(source, q.engine.replayCache, tokens)
			copied = held
		} else {
			ready += time.Millisecond
			if isStore && had < len(shared) {
				r.total.missedFetches++
			}
		}
	}
	r.after(ready-r.now, func() {
		q.engine.put(q.placed.salt, shared[:copied])
		q.engine.waiting = append(q.engine.waiting, q)
		r.work(q.engine)
	})
}

// work prefills the next prompt of an engine.
func (r *storeReplay) work(e *replayEngine) {
	if e.busy || len(e.waiting) == 0 {
		return
	}
	q := e.waiting[0]
	e.waiting = e.waiting[1:]
	if e.version != q.placed.version { // it has got other weights and rejects the request
		r.end(q, 0)
		r.work(e)
		return
	}
	e.busy = true
	shared := q.parts[:2]
	had := e.leading(q.placed.salt, shared)
	q.had = had
	tokens := replayLoad.ownTokens
	for i, p := range shared[had:] {
		tokens += p.Tokens
		last := q.usedBefore[had+i]
		if last < 0 || q.at-last > againWindow {
			r.total.firstTime += p.Tokens
			continue
		}
		r.total.prefilledAgain += p.Tokens
		r.total.causes[q.cause] += p.Tokens
		if had+i < q.leading {
			r.total.leading += p.Tokens
		}
		if store := q.gateway.view.Load().storeOf(q.parts); r.byAddr[store.StoreAddress].elements[[2]string{q.placed.salt, p.ID}] != nil {
			r.total.unknownButHeld += p.Tokens
		}
	}
	r.after(time.Duration(float64(tokens)/replayLoad.prefillRate*float64(time.Millisecond)), func() {
		e.busy = false
		e.put(q.placed.salt, q.parts)
		r.save(q)
		first := r.now - q.at + replayLoad.zoneLatency
		r.total.firstEvents = append(r.total.firstEvents, first)
		r.after(50*time.Millisecond, func() { r.end(q, first) })
		r.work(e)
	})
}

// save sends the shared parts that the store lacks to it.
func (r *storeReplay) save(q *storeReplayRequest) {
	store := r.byAddr[q.placed.saveTo]
	if store == nil {
		return
	}
	for i, p := range q.parts[:2] {
		key := [2]string{q.placed.salt, p.ID}
		if store.elements[key] != nil || r.savesPrefilledOnly && i < q.had {
			continue
		}
		r.total.saved += p.Tokens
		r.after(r.transfer(store, q.engine.replayCache, p.Tokens)-r.now, func() {
			if store.elements[key] != nil {
				r.total.twice += p.Tokens
			}
			store.put(q.placed.salt, []prefix.Part{p})
		})
	}
}

// end reports the end of a request, as handlePlacementEnd does.
func (r *storeReplay) end(q *storeReplayRequest, first time.Duration) {
	g := q.gateway
	p, remaining, known := g.table.endPlacement(r.now, &wirePlacementEnd{PlacementID: q.id, Outcome: outcomeSuccess, DurationMS: (r.now - q.at).Milliseconds(), FirstEventMS: first.Milliseconds()})
	if !known {
		return
	}
	g.table.observePrefill(p.row, p.engineIdle, p.uncached, first)
	g.table.observeQueueWait("s", p.priority, p.queueWait, p.uncached, first, r.now-q.at)
	r.tell(g, announcement{Gateway: g.shortName, Load: remaining, Instance: p.row.entry.ID})
}

func (t *replayTotals) log(test *testing.T, name string) {
	slices.Sort(t.firstEvents)
	quantile := func(q float64) time.Duration {
		return t.firstEvents[int(q*float64(len(t.firstEvents)-1))].Round(time.Millisecond)
	}
	test.Logf("%s: %d requests, %d rejected; tokens: %d prefilled again, %d for the first time, %d predicted; store: %d fetched (%d not counted on), %d saved (%d twice); asked %d times, %d misses; first event %v median, %v 90%%, %v 99%%; prefilled again though the store held them: %d; leading parts with a planned save, with others missing: %d; %d kB of reports",
		name, t.requests, t.rejected, t.prefilledAgain, t.firstTime, t.predicted, t.fetched, t.fetchedUnknown, t.saved, t.twice, t.asked, t.missedFetches, quantile(0.5), quantile(0.9), quantile(0.99), t.unknownButHeld, t.leading, t.reportBytes/1000)
	causes := []string{}
	for cause := range t.causes {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b string) int { return t.causes[b] - t.causes[a] })
	for _, cause := range causes {
		test.Logf("  %9d %s", t.causes[cause], cause)
	}
}

// TestStoreReplay replays the long prompts of a large deployment, without and with the store index. It guards against
// parts being prefilled again because what the stores hold isn't known, or because they aren't saved; also if engines
// save only what they have prefilled, so that many planned saves never happen.
func TestStoreReplay(t *testing.T) {
	without, err := mechanism.Without(string(mechanism.StoreIndex))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		savesPrefilledOnly bool
		ratio              float64 // wanted, of the tokens prefilled again within againWindow
	}{
		"engines save all parts":           {false, 0.4},
		"engines save what they prefilled": {true, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := newStoreReplay(without, 1), newStoreReplay(mechanism.Set{}, 1)
			before.savesPrefilledOnly, after.savesPrefilledOnly = c.savesPrefilledOnly, c.savesPrefilledOnly
			var runs sync.WaitGroup
			runs.Go(before.run)
			runs.Go(after.run)
			runs.Wait()
			before.total.log(t, "without the store index")
			after.total.log(t, "with the store index")
			if float64(after.total.prefilledAgain) > c.ratio*float64(before.total.prefilledAgain) {
				t.Errorf("%d tokens prefilled again with the store index, %d without", after.total.prefilledAgain, before.total.prefilledAgain)
			}
			if after.total.twice > after.total.saved/50 {
				t.Errorf("%d of %d saved tokens were saved twice", after.total.twice, after.total.saved)
			}
			if after.total.rejected > before.total.rejected {
				t.Errorf("%d requests rejected with the store index, %d without", after.total.rejected, before.total.rejected)
			}
		})
	}
}
