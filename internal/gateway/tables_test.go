package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/quota"
)

// Over any sequence of requests and retries at several gateways, the retries in every window stay within the
// fleet's allowance for the requests of that window.
func TestRetryBudgetNeverExceedsRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * time.Second, 0.2, 54.0
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		fleet := make([]*retryBudget, gateways)
		clients := make([]*allowance.Client, gateways)
		terms := quota.Policy{RetryWindow: window, RetrySlack: slack}
		limits := quota.Limits(&catalog.Document{Services: []catalog.Service{{Name: "s"}}}, terms)
		allocator := allowance.NewAllocator(1)
		allocator.SetLimits(0, limits)
		for i := range fleet {
			fleet[i] = newRetryBudget(Settings{Quota: terms, RetryRatio: ratio})
			clients[i] = allowance.NewClient(fmt.Sprint("g", i), time.Second)
			clients[i].SetLimits(limits)
		}
		leased := func(b *allowance.Client, now time.Duration) bool {
			demands := []allowance.Demand{{Name: quota.ServiceRetries("s"), Amount: 1}}
			hold, ok := b.Take(now, demands[0].Name, 1)
			if !ok {
				hold = b.ApplyReply(now, now, demands, allocator.Allocate(now, b.NewRequest(now, demands)))[0].Lease
			}
			return hold.Valid(now)
		}
		type counted struct {
			at     time.Duration
			repeat bool
		}
		var seen []counted
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			budget := fleet[at]
			budget.recordRequest("s", now)
			seen = append(seen, counted{now, false})
			if rapid.Bool().Draw(t, "repeat") && (budget.acquireRetry("s", now) || leased(clients[at], now)) {
				seen = append(seen, counted{now, true})
			}
		}
		for from := range seen {
			requests, repeats := 0.0, 0.0
			for _, event := range seen[from:] {
				if event.at >= seen[from].at+window {
					break
				}
				if event.repeat {
					repeats++
				} else {
					requests++
				}
			}
			before := 0.0
			for _, event := range seen {
				if !event.repeat && event.at >= seen[from].at-window && event.at < seen[from].at {
					before++
				}
			}
			if allowed := ratio*math.Max(requests, before) + slack; repeats > allowed {
				t.Fatalf("%v retries in a window of %v requests (%v before), want at most %v", repeats, requests, before, allowed)
			}
		}
	})
}

// endpointsIn returns one ready engine in each of the given zones.
func endpointsIn(zones ...string) []*endpoint {
	var rows []*endpoint
	for i, zone := range zones {
		rows = append(rows, &endpoint{hash: uint64(i * 7919), entry: control.RosterEntry{Instance: catalog.Instance{
			ID: fmt.Sprint("i-", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, State: catalog.StateReady,
		}}})
	}
	return rows
}

// Under any demand, each zone with at least two engines has one in each lane.
func TestLanesGiveEachKindAnEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := endpointsIn("a", "a", "a", "b", "b", "c", "c", "c", "c")
		l := &lanes{}
		now := time.Duration(0)
		for range rapid.IntRange(0, 100).Draw(t, "sends") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			l.recordDemand(now, rapid.IntRange(0, 60_000).Draw(t, "tokens"), 0)
		}
		l.divide(rows)
		long, short := map[string]int{}, map[string]int{}
		for _, row := range rows {
			if row.longLane {
				long[row.entry.Zone]++
			} else {
				short[row.entry.Zone]++
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			if long[zone] == 0 || short[zone] == 0 {
				t.Fatalf("zone %s: %d engines in the long lane, %d in the short one", zone, long[zone], short[zone])
			}
		}
	})
}

// After any number of requests each target has its share, give or take two requests.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &catalog.Route{Name: "r"}
		total := 0
		for i := range rapid.IntRange(2, 4).Draw(t, "targets") {
			weight := rapid.IntRange(0, 100).Draw(t, "weight")
			total += weight
			route.Targets = append(route.Targets, catalog.Target{Service: fmt.Sprint(i), Weight: weight})
		}
		if total == 0 {
			return
		}
		splits, sent := newSplits(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))), map[string]int{}
		for n := 1; n <= 300; n++ {
			sent[splits.next(route)]++
			for _, target := range route.Targets {
				want := float64(n*target.Weight) / float64(total)
				if math.Abs(want-float64(sent[target.Service])) > 2 {
					t.Fatalf("after %d requests %s got %d, want %.1f", n, target.Service, sent[target.Service], want)
				}
			}
		}
	})
}

// Guards against all gateways starting with the target of greatest weight, which starves the others when each
// gateway has few requests.
func TestSplitFollowsWeightsAcrossGateways(t *testing.T) {
	const gateways, each, tolerance = 200, 4, 0.06
	route := &catalog.Route{Name: "r", Targets: []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	lightCount := 0
	for seed := range uint64(gateways) {
		s := newSplits(rand.New(rand.NewPCG(seed, 1)))
		for range each {
			if s.next(route) == "b" {
				lightCount++
			}
		}
	}
	if got := float64(lightCount) / (gateways * each); math.Abs(got-0.1) > tolerance {
		t.Fatalf("share of the target of least weight = %.3f, want 0.1", got)
	}
}

// The longest path prefix of the request's host wins, never another host's route.
func TestLongestPathPrefixWins(t *testing.T) {
	view := newView(&catalog.Document{Routes: []catalog.Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "o", PathPrefix: "/"},
	}}, nil)
	for path, wanted := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/bx": "short", "/x": "", "/a": ""} {
		name := ""
		if route := view.route("h", path); route != nil {
			name = route.Name
		}
		if name != wanted {
			t.Errorf("%s: route %q, want %q", path, name, wanted)
		}
	}
}

// The events passed on are a prefix of the input that ends with an empty line, and io.EOF is returned only between
// two events.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\n")
	f.Add("id: 1\r\ndata: x\r\n\r\nid")
	f.Add("\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events := &eventReader{reader: bufio.NewReader(strings.NewReader(text))}
		var passed strings.Builder
		for {
			event, err := events.next()
			if err == io.EOF {
				if passed.String() != text {
					t.Fatalf("io.EOF after %q of %q", passed.String(), text)
				}
				return
			}
			if err != nil {
				break
			}
			passed.Write(event)
		}
		if !strings.HasPrefix(text, passed.String()) || passed.String() == text {
			t.Fatalf("error after %q of %q", passed.String(), text)
		}
	})
}

// IDs are compared as numbers, not as strings.
func TestLaterComparesIDsAsNumbers(t *testing.T) {
	for _, pair := range [][2]string{{"9", "10"}, {"", "0"}, {"99", "100"}, {"4", "8"}} {
		if !followsEvent(pair[1], pair[0]) || followsEvent(pair[0], pair[1]) || followsEvent(pair[0], pair[0]) {
			t.Errorf("later is wrong for %q and %q", pair[0], pair[1])
		}
	}
}

// Lanes have full weight while slots are free or unknown, and none from a utilization of one half on.
func TestLaneWeightFallsWithUtilization(t *testing.T) {
	for _, c := range []struct {
		slots, running int
		wanted         float64
	}{{16, 0, 1}, {16, 4, 0.5}, {16, 8, 0}, {16, 40, 0}, {0, 40, 1}} {
		rows := endpointsIn("a", "b", "c")
		for _, row := range rows {
			row.entry.Slots = c.slots
			row.occupancy.Own.Running = c.running
		}
		l := &lanes{}
		if l.measureUtilization(time.Second, rows); l.weight() != c.wanted {
			t.Errorf("%d of %d slots: weight %v, want %v", c.running, c.slots, l.weight(), c.wanted)
		}
	}
}

// BenchmarkDecision chooses among engines, half of which have the prompt's shared parts cached.
func BenchmarkDecision(b *testing.B) { benchmarkDecision(b, 0, false) }

// BenchmarkDecisionWithLimits does so with half of the engines advertising a limit, half of them exhausted.
func BenchmarkDecisionWithLimits(b *testing.B) { benchmarkDecision(b, 0.5, false) }

// BenchmarkDecisionWithQueues does so for a latency-critical service, with three requests outstanding at each engine.
func BenchmarkDecisionWithQueues(b *testing.B) { benchmarkDecision(b, 0, true) }

func benchmarkDecision(b *testing.B, limitedFraction float64, queues bool) {
	for _, engines := range []int{18, 90, 320, 3100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			g := &Gateway{settings: Settings{Zone: "z0", OldWeightsStartLimit: time.Second}, table: newTable(mechanism.Set{})}
			parts := []prefix.Part{{ID: "aa", Tokens: 2500}, {ID: "bb", Tokens: 3800}, {ID: "cc", Tokens: 2900}}
			var entries []control.RosterEntry
			for i := range engines {
				entries = append(entries, control.RosterEntry{
					Instance: catalog.Instance{ID: fmt.Sprint(i), Service: "engine", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
						Zone: fmt.Sprint("z", i%13), State: catalog.StateReady},
					Versions: map[string]uint64{"m": 1},
				})
			}
			g.table.applyRoster(0, &control.RosterUpdate{Full: true, Entries: entries}, nil)
			for i := range engines / 2 {
				g.table.recordOwnSend(0, announcement{Instance: fmt.Sprint(2 * i), Salt: "w1", Parts: parts[:2]})
			}
			for i := range int(limitedFraction * float64(engines)) {
				row := g.table.rows[fmt.Sprint(i)]
				g.table.signals.ObserveLimit(0, row.incarnation, pushback.Limit{Advertised: true, Rate: 4})
				if i%2 == 0 {
					row.limitExhaustedUntil = time.Hour
				}
			}
			in := selectionInput{service: &catalog.Service{Name: "engine", Engine: true}, call: &Call{Model: "m", Parts: parts}, trusted: true}
			if queues {
				g.setView(newView(queueDocument(400*time.Millisecond), nil))
				in.service.Name = "s"
				in.latencyCritical, in.offer, in.maxEventGap = true, catalog.Offer{EventTokens: 8}, 300*time.Millisecond
				for _, row := range g.table.rows {
					row.entry.Service = "s"
					row.occupancy.Placed.Running = 5
					for i := range 3 {
						g.table.queueSent(0, row, uint64(i+1), i, 2890)
					}
				}
				g.table.services["s"] = g.table.services["engine"]
			}
			b.ReportAllocs()
			for b.Loop() {
				if g.choose(time.Millisecond, in) == nil {
					b.Fatal("no back end chosen")
				}
			}
		})
	}
}

// An announcement is decoded as it was encoded, except for its age, which grows by the time it waited.
func TestSendSurvivesWireRoundTrip(t *testing.T) {
	made := announcement{Instance: "i", Salt: "w3/t", Parts: []prefix.Part{{ID: "aa", Tokens: 5}, {ID: "bb", Tokens: 7}}, Uncached: 9, SavedToStore: true, Age: time.Second}
	got := made.toWire(250 * time.Millisecond).announcement()
	made.Age += 250 * time.Millisecond
	if !reflect.DeepEqual(got, made) {
		t.Fatalf("got %+v, want %+v", got, made)
	}
	if invalid := (wireAnnouncement{Parts: []string{"aa"}, Uncached: -1, AgeMS: -5}).announcement(); invalid.Uncached != 0 || invalid.Age != 0 || len(invalid.Parts) != 0 {
		t.Fatalf("invalid message was decoded as %+v", invalid)
	}
}

// All gateways choose the same store for a part, and removing a store moves only its own parts.
func TestPartsAreSpreadOverStores(t *testing.T) {
	document := &catalog.Document{Services: []catalog.Service{
		{Name: "a", StoreAddress: "10.0.0.1:1"}, {Name: "b", StoreAddress: "10.0.0.2:1"}, {Name: "c", StoreAddress: "10.0.0.3:1"}, {Name: "d"},
	}}
	whole := newView(document, nil)
	fewer := newView(&catalog.Document{Services: document.Services[1:]}, nil)
	const parts = 300
	count := map[string]int{}
	for i := range parts {
		prompt := []prefix.Part{{ID: "preamble", Tokens: 9}, {ID: fmt.Sprint(i), Tokens: 9}, {ID: "own", Tokens: 1}}
		assigned, after := whole.storeOf(prompt).Name, fewer.storeOf(prompt).Name
		count[assigned]++
		if assigned != "a" && after != assigned {
			t.Fatalf("part %d moved from %s to %s", i, assigned, after)
		}
	}
	for name, n := range count {
		if n < parts/3-50 || n > parts/3+50 {
			t.Errorf("store %s has %d of %d parts, want about a third", name, n, parts)
		}
	}
	if got := newView(&catalog.Document{}, nil).storeOf(nil); got != nil {
		t.Errorf("store %v, want none", got)
	}
}

// Where every engine has the first part of a prompt cached, the one that also has the next is found, even if it is
// the least recent.
func TestSourcesPreferDeepestHolder(t *testing.T) {
	const engines = 200
	g := &Gateway{settings: Settings{Zone: "z", OldWeightsStartLimit: time.Second}, table: newTable(mechanism.Set{})}
	update := &control.RosterUpdate{Full: true}
	for i := range engines {
		update.Entries = append(update.Entries, control.RosterEntry{
			Instance: catalog.Instance{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), State: catalog.StateReady},
			Versions: map[string]uint64{"m": 1},
		})
	}
	g.table.applyRoster(0, update, nil)
	preamble, dossier, own := prefix.Part{ID: "p", Tokens: 2500}, prefix.Part{ID: "d", Tokens: 3800}, prefix.Part{ID: "o", Tokens: 10}
	for i := range engines {
		parts := []prefix.Part{preamble, {ID: fmt.Sprint("other", i), Tokens: 100}, own}
		if i == 0 {
			parts[1] = dossier
		}
		g.table.recordOwnSend(time.Duration(i), announcement{Instance: fmt.Sprint(i), Salt: "w1", Parts: parts})
	}
	in := selectionInput{service: &catalog.Service{Name: "s", Engine: true}, trusted: true, call: &Call{Model: "m", Parts: []prefix.Part{preamble, dossier, own}}}
	found := g.sources(time.Second, in)
	if len(found) == 0 || found[0].row.entry.ID != "0" || found[0].tokens != 6300 || len(found) > maxSources {
		t.Fatalf("%d sources, the first is %+v", len(found), found)
	}
}
