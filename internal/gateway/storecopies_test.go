package gateway

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const testStoreAddress = "10.9.0.1:1"

// storeDocument has a service of engines with a route of the given objective, and a store.
func storeDocument(objective time.Duration) *catalog.Document {
	return &catalog.Document{
		Services: []catalog.Service{
			{Name: "s", Engine: true, CacheTokens: 80_000, LinkMbps: 370_000, KVBytesPerToken: 18_432},
			{Name: "k", StoreAddress: testStoreAddress, LinkMbps: 140_000, Zone: "z"},
		},
		Routes: []catalog.Route{{Name: "r", Streaming: true, Objective: objective, Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
	}
}

// newStoreScheduler returns a scheduler with the given number of engines at weights version 1, and a store.
func newStoreScheduler(engines int, objective time.Duration) *Gateway {
	g := newScheduler(engines)
	g.view.Store(newView(storeDocument(objective), nil))
	return g
}

// storeInput returns the input of a decision about a prompt of two shared parts, 6,300 tokens, and a part of its own.
func storeInput(g *Gateway, subject string, tenant *catalog.Tenant) selectionInput {
	current := g.view.Load()
	parts := []prefix.Part{{ID: "preamble", Tokens: 2520}, {ID: subject, Tokens: 3780}, {ID: "own", Tokens: 2890}}
	return selectionInput{
		service: current.services["s"], store: current.storeOf(parts), call: &Call{Model: "m", Parts: parts, PromptTokens: 9190}, namespace: current.namespaceOf(tenant), trusted: true,
		latencyCritical: current.critical["s"],
	}
}

// storeRead returns a report that the test store holds the given parts under a salt.
func storeRead(event uint64, salt string, parts ...prefix.Part) storeindex.Report {
	r := storeindex.Report{Store: testStoreAddress, Epoch: storeindex.Epoch{Boot: 1}, Event: event}
	for _, p := range parts {
		r.Parts = append(r.Parts, belief.CachedPart{Salt: salt, Part: p})
	}
	return r
}

var (
	preamblePart = prefix.Part{ID: "preamble", Tokens: 2520}
	subjectPart  = prefix.Part{ID: "subject", Tokens: 3780}
)

// What the store is known to hold is fetched and counted as cached, also if it is a leading part only. What it is not
// known to hold is asked for, but not counted, and saved.
func TestKnownStorePartsCountAsCached(t *testing.T) {
	for name, c := range map[string]struct {
		held     []prefix.Part
		salt     string
		tenant   *catalog.Tenant
		uncached int
		source   copySource
		gap      storeGap
		save     storeindex.Save
	}{
		"all":                       {[]prefix.Part{preamblePart, subjectPart}, "w1", nil, 2890, copyStore, storeGapNone, storeindex.SaveHeld},
		"leading part":              {[]prefix.Part{preamblePart}, "w1", nil, 6670, copyStore, storeGapNone, storeindex.SaveStart},
		"second part only":          {[]prefix.Part{subjectPart}, "w1", nil, 9190, copyStoreAsked, storeGapAbsent, storeindex.SaveStart},
		"nothing":                   {nil, "w1", nil, 9190, copyStoreAsked, storeGapAbsent, storeindex.SaveStart},
		"other weights":             {[]prefix.Part{preamblePart, subjectPart}, "w2", nil, 9190, copyStoreAsked, storeGapAbsent, storeindex.SaveStart},
		"isolated tenant's request": {[]prefix.Part{preamblePart, subjectPart}, "w1", &catalog.Tenant{Name: "t", Isolated: true}, 9190, copyStoreAsked, storeGapAbsent, storeindex.SaveStart},
		"isolated tenant's parts":   {[]prefix.Part{preamblePart, subjectPart}, "w1/t", nil, 9190, copyStoreAsked, storeGapAbsent, storeindex.SaveStart},
		"its own isolated parts":    {[]prefix.Part{preamblePart, subjectPart}, "w1/t", &catalog.Tenant{Name: "t", Isolated: true}, 2890, copyStore, storeGapNone, storeindex.SaveHeld},
	} {
		g := newStoreScheduler(1, 400*time.Millisecond)
		g.table.applyStoreRead(time.Second, storeRead(5, c.salt, c.held...), true)
		chosen := g.choose(time.Second, storeInput(g, "subject", c.tenant))
		if chosen.uncached != c.uncached || chosen.copySource != c.source || chosen.storeGap != c.gap || chosen.storeSave != c.save || chosen.fetchFrom != testStoreAddress {
			t.Errorf("%s: %d tokens to prefill, source %q, gap %q, save %q, fetch from %q", name, chosen.uncached, chosen.copySource, chosen.storeGap, chosen.storeSave, chosen.fetchFrom)
		}
		if save := chosen.saveTo != ""; save != (c.save == storeindex.SaveStart) {
			t.Errorf("%s: save %v", name, save)
		}
		if want := belief.FromMilliseconds(float64(9190-c.uncached) * 18_432 * 8 / 140e6); chosen.transfer.Time.Round(time.Microsecond) != want.Round(time.Microsecond) {
			t.Errorf("%s: the link is taken to be busy for %v, want the time of the bytes, %v", name, chosen.transfer.Time, want)
		}
	}
}

// While the store's link is busy for longer than prefilling takes, parts are prefilled, and the store isn't asked.
func TestSlowFetchIsNotPlanned(t *testing.T) {
	g := newStoreScheduler(1, 400*time.Millisecond)
	g.table.applyStoreRead(time.Second, storeRead(5, "w1", preamblePart, subjectPart), true)
	in := storeInput(g, "subject", nil)
	prefill := g.table.prefillEstimate("s").PrefillTime(6300)
	g.table.links.Record(time.Second, belief.Transfer{From: testStoreAddress, Time: prefill - 15*time.Millisecond})
	if chosen := g.choose(time.Second, in); chosen.uncached != 2890 || chosen.copySource != copyStore {
		t.Errorf("with the transfer shorter than prefilling: %d tokens to prefill, %q", chosen.uncached, chosen.copySource)
	}
	g.table.links.Record(time.Second, belief.Transfer{From: testStoreAddress, Time: 20 * time.Millisecond})
	if chosen := g.choose(time.Second, in); chosen.uncached != 9190 || chosen.fetchFrom != "" || chosen.storeGap != storeGapSlow || chosen.recomputeReason != recomputeCheaper {
		t.Errorf("with the transfer longer than prefilling: %d tokens to prefill from %q, %q, %q", chosen.uncached, chosen.fetchFrom, chosen.storeGap, chosen.recomputeReason)
	}
}

// Shared parts that are prefilled faster than any transfer are neither saved nor asked for.
func TestFewSharedTokensAreNotSaved(t *testing.T) {
	for tokens, saved := range map[int]bool{100: false, 1000: true} {
		g := newStoreScheduler(1, 400*time.Millisecond)
		g.table.applyStoreRead(time.Second, storeRead(5, "w1"), true)
		in := storeInput(g, "subject", nil)
		in.call = &Call{Model: "m", Parts: []prefix.Part{{ID: "short", Tokens: tokens}, {ID: "own", Tokens: 600}}}
		chosen := g.choose(time.Second, in)
		if (chosen.saveTo != "") != saved || (chosen.fetchFrom != "") != saved {
			t.Errorf("%d tokens: saved to %q, fetched from %q", tokens, chosen.saveTo, chosen.fetchFrom)
		}
	}
}

// If another engine holds a leading part and the store all of them, the one is used that costs less.
func TestEngineAndStoreAreComparedByCost(t *testing.T) {
	g := newStoreScheduler(2, 400*time.Millisecond)
	g.table.applyStoreRead(time.Second, storeRead(5, "w1", preamblePart, subjectPart), true)
	g.table.recordOwnSend(time.Second, announcement{Instance: "i-0", Salt: "w1", Parts: []prefix.Part{preamblePart, {ID: "x", Tokens: 10}}})
	in := storeInput(g, "subject", nil)
	in.tried = []*endpoint{g.table.rows["i-0"]}
	if chosen := g.choose(time.Second, in); chosen.copySource != copyStore || chosen.uncached != 2890 {
		t.Errorf("free link of the store: copied from %q, %d tokens to prefill", chosen.copySource, chosen.uncached)
	}
	g.table.recordOwnSend(time.Second, announcement{Instance: "i-0", Salt: "w1", Parts: []prefix.Part{preamblePart, subjectPart, {ID: "x", Tokens: 10}}})
	g.table.links.Record(time.Second, belief.Transfer{From: testStoreAddress, Time: 50 * time.Millisecond})
	if chosen := g.choose(time.Second, in); chosen.copySource != copyEngine || chosen.fetchFrom != "10.0.0.0" || chosen.uncached != 2890 {
		t.Errorf("busy link of the store, engine holds all: copied from %q at %q, %d tokens to prefill", chosen.copySource, chosen.fetchFrom, chosen.uncached)
	}
	if chosen := g.choose(time.Second, in); chosen.storeSave != storeindex.SaveHeld {
		t.Errorf("save %q", chosen.storeSave)
	}
	in.tried = nil // i-0 has all cached
	other := storeInput(g, "other", nil)
	if chosen := g.choose(time.Second, other); chosen.row.entry.ID == "i-0" && chosen.uncached != 6670 {
		t.Errorf("%d tokens to prefill at the engine that holds the leading part", chosen.uncached)
	}
}

// Parts are saved also by a request whose engine has them all, and once only while the save may show up.
func TestPartsAreSavedFromAnEngineThatHasThem(t *testing.T) {
	g := newStoreScheduler(1, 400*time.Millisecond)
	g.table.applyStoreRead(time.Second, storeRead(5, "w1"), true)
	in := storeInput(g, "subject", nil)
	g.table.recordOwnSend(time.Second, announcement{Instance: "i-0", Salt: "w1", Parts: in.call.Parts})
	chosen := g.choose(time.Second, in)
	if chosen.recomputed != 0 || chosen.saveTo != testStoreAddress {
		t.Fatalf("%d shared tokens to prefill, saved to %q", chosen.recomputed, chosen.saveTo)
	}
	g.announcePlacement(time.Second, chosen, in.call.Parts, belief.Load{})
	wait, want := g.table.links.Wait(time.Second, testStoreAddress), storeLinkTime(in.service, in.store, 6300)
	if wait != want {
		t.Errorf("the save occupies the link for %v, want %v", wait, want)
	}
	if again := g.choose(1100*time.Millisecond, in); again.saveTo != "" || again.storeSave != storeindex.SaveActive {
		t.Errorf("second request: saved to %q, %q", again.saveTo, again.storeSave)
	}
	if other := g.choose(1100*time.Millisecond, storeInput(g, "other", nil)); other.saveTo != "" {
		t.Error("a prompt is saved whose preamble is being saved")
	}
}

// A store that has been silent is not asked, nor sent saves, until it answers; until it has been read at all, copies are
// planned as for other services.
func TestSilentStoreIsNotAsked(t *testing.T) {
	g := newStoreScheduler(1, 400*time.Millisecond)
	in := storeInput(g, "subject", nil)
	if chosen := g.choose(time.Second, in); chosen.fetchFrom != testStoreAddress || chosen.saveTo != testStoreAddress || chosen.copySource != copyUnplanned {
		t.Errorf("before the store is read: %q, %q, %q", chosen.fetchFrom, chosen.saveTo, chosen.copySource)
	}
	g.table.applyStoreRead(time.Second, storeRead(5, "w1", preamblePart, subjectPart), true)
	late := time.Second + storeindex.SilenceTTL
	if chosen := g.choose(late, in); chosen.copySource != copyStore {
		t.Errorf("silent for 4 s: %q", chosen.copySource)
	}
	late++
	if chosen := g.choose(late, in); chosen.fetchFrom != "" || chosen.saveTo != "" || chosen.storeGap != storeGapSilent {
		t.Errorf("silent for longer: %q, %q, %q", chosen.fetchFrom, chosen.saveTo, chosen.storeGap)
	}
	g.table.recordOwnSend(late, announcement{Instance: "i-0", Salt: "w1", Parts: in.call.Parts})
	if chosen := g.choose(late, in); chosen.fetchFrom != "" || chosen.saveTo != "" {
		t.Errorf("silent, with the parts at the engine: %q, %q", chosen.fetchFrom, chosen.saveTo)
	}
	g.table.applyStoreRead(late, storeRead(6, "w1"), false)
	if chosen := g.choose(late, storeInput(g, "other", nil)); chosen.fetchFrom != testStoreAddress {
		t.Errorf("after it has answered: %q", chosen.fetchFrom)
	}
}

// For a service that is not latency-critical, and with the mechanism switched off, every candidate is scored, recorded
// and announced exactly as if there were no index, whatever is known of the store.
func TestOtherServicesIgnoreTheIndex(t *testing.T) {
	off, err := mechanism.Without(string(mechanism.StoreIndex))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		plain, indexed := newStoreScheduler(4, 2*time.Second), newStoreScheduler(4, 2*time.Second)
		if rapid.Bool().Draw(t, "switched off") { // instead of not latency-critical
			indexed = newStoreScheduler(4, 400*time.Millisecond)
			indexed.settings.Mechanisms, indexed.table.mechanisms = off, off
		}
		if rapid.Bool().Draw(t, "read") {
			report := storeRead(5, "w1", preamblePart, subjectPart)
			indexed.table.applyStoreRead(time.Second, report, true)
		}
		now := time.Second
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			subject := rapid.SampledFrom([]string{"subject", "a", "b"}).Draw(t, "subject")
			instance := fmt.Sprint("i-", rapid.IntRange(0, 3).Draw(t, "instance"))
			var plans []candidate
			for _, g := range []*Gateway{plain, indexed} {
				in := storeInput(g, subject, nil)
				in.storeIndexed = g.usesStoreIndex(now, &in)
				g.table.mutex.Lock()
				scored := g.score(now, g.table.rows[instance], in, false, g.sources(now, in))
				g.table.mutex.Unlock()
				plans = append(plans, scored)
				g.announcePlacement(now, &scored, in.call.Parts, belief.Load{})
			}
			plans[0].row, plans[1].row = nil, nil
			if !reflect.DeepEqual(plans[0], plans[1]) {
				t.Fatalf("scored %+v, without the index %+v", plans[1], plans[0])
			}
			if !maps.Equal(plain.table.links, indexed.table.links) || !reflect.DeepEqual(plain.table.stored, indexed.table.stored) {
				t.Fatalf("links %v and %v", plain.table.links, indexed.table.links)
			}
		}
		fresh := storeindex.New()
		if plain.table.stores.State(now, testStoreAddress) != storeindex.Unread || !reflect.DeepEqual(plain.table.stores, fresh) {
			t.Fatal("requests of a service that is not latency-critical are recorded in the index")
		}
	})
}

// A report survives the way to another scheduler; one with numbers that make no sense is counted and changes nothing,
// and builds without the index ignore it, since it names no instance.
func TestStoreReportSurvivesWireRoundTrip(t *testing.T) {
	report := storeindex.Report{Store: testStoreAddress, Epoch: storeindex.Epoch{StartedMS: 9, Boot: 3}, Event: 77, Parts: []belief.CachedPart{{Salt: "w1", Part: subjectPart}, {Salt: "w1", Part: prefix.Part{ID: "gone"}}}}
	wire := announcement{Gateway: "g", StoreReport: &report}.toWire(0)
	if got := wire.announcement(); !reflect.DeepEqual(*got.StoreReport, report) || wire.Instance != "" {
		t.Fatalf("got %+v, want %+v", got.StoreReport, report)
	}
	g := newStoreScheduler(1, 400*time.Millisecond)
	wire.StoreReport.Tokens = []int{-5, 0}
	g.table.applySends(time.Second, []announcement{wire.announcement()})
	if g.table.stores.Counts().Invalid != 1 || g.table.stores.State(time.Second, testStoreAddress) != storeindex.Unread {
		t.Fatalf("invalid report: %+v", g.table.stores.Counts())
	}
	wire.StoreReport.Tokens = []int{3780}
	g.table.applySends(time.Second, []announcement{wire.announcement()})
	if g.table.stores.Held(time.Second, testStoreAddress, "w1", []prefix.Part{subjectPart}) != 3780 {
		t.Fatal("a report is not applied")
	}
}

// storeSources returns a watch reply that assigns the test store.
func storeSources(addresses ...string) *control.WatchReply {
	return &control.WatchReply{StoreSources: addresses}
}

// BenchmarkDecisionWithStore chooses among engines, half of which have the prompt's leading shared part cached, with a
// store that holds both, without and with the store index.
func BenchmarkDecisionWithStore(b *testing.B) {
	for _, engines := range []int{90, 3100} {
		for name, objective := range map[string]time.Duration{"plain": 2 * time.Second, "index": 400 * time.Millisecond} {
			b.Run(fmt.Sprint(engines, "/", name), func(b *testing.B) {
				g := newStoreScheduler(engines, objective)
				in := storeInput(g, "subject", nil)
				g.table.stored.Record(time.Second, "w1", in.call.Parts[:2])
				g.table.applyStoreRead(time.Second, storeRead(5, "w1", preamblePart, subjectPart), true)
				for i := range engines / 2 {
					g.table.recordOwnSend(time.Second, announcement{Instance: fmt.Sprint("i-", 2*i), Salt: "w1", Parts: []prefix.Part{preamblePart, {ID: "x", Tokens: 10}}})
				}
				b.ReportAllocs()
				for b.Loop() {
					if g.choose(time.Second, in) == nil {
						b.Fatal("no back end chosen")
					}
				}
			})
		}
	}
}
