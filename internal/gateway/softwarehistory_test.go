package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/streamorigin"
)

const (
	historyService = "s"
	historyPeriod  = 10 * time.Second // how old a stream may be
)

// historyFleet is control and gateways, of which only the tables are real.
type historyFleet struct {
	now      time.Duration
	term     uint64
	log      roster.Log
	backends map[string]string // software versions of the registered back ends by ID
	started  int               // back ends
	gateways []*table
	held     []control.RosterVersion // by each gateway
	begun    map[string]time.Duration
}

func newHistoryFleet(gateways int) *historyFleet {
	f := &historyFleet{backends: map[string]string{}, begun: map[string]time.Duration{}, gateways: make([]*table, gateways), held: make([]control.RosterVersion, gateways)}
	f.elect()
	for i := range f.gateways {
		f.restart(i)
	}
	return f
}

func (f *historyFleet) entry(id string) control.RosterEntry {
	return control.RosterEntry{Instance: catalog.Instance{ID: id, Service: historyService, Address: id}, SoftwareVersion: f.backends[id]}
}

// elect begins the term of another leader, whose roster holds what is registered.
func (f *historyFleet) elect() {
	f.term, f.log = f.term+1, roster.Log{}
	var entries []control.RosterEntry
	for id := range f.backends {
		entries = append(entries, f.entry(id))
	}
	f.log.Update(1, entries, nil)
}

func (f *historyFleet) register(version string) {
	f.started++
	id := fmt.Sprint("i-", f.started)
	f.backends[id] = version
	f.log.Update(f.log.Count()+1, []control.RosterEntry{f.entry(id)}, nil)
}

func (f *historyFleet) deregister(id string) {
	f.begin()
	delete(f.backends, id)
	f.log.Update(f.log.Count()+1, nil, []string{id})
}

// restart starts a gateway anew, which ends the one before.
func (f *historyFleet) restart(i int) {
	f.gateways[i], f.held[i] = newTable(mechanism.Set{}), control.RosterVersion{}
	f.gateways[i].minStreamAge = historyPeriod
}

// update brings a gateway's roster up to date, as its watch does.
func (f *historyFleet) update(i int) {
	version := control.RosterVersion{Term: f.term, Count: f.log.Count()}
	if f.held[i] != version {
		from := f.held[i].Count
		if f.held[i].Term != f.term {
			from = 0
		}
		f.gateways[i].applyRoster(f.now, f.log.Since(from), nil)
	}
	f.held[i] = version
	f.gateways[i].applyWatchReply(f.now, f.now, &control.WatchReply{Version: version})
	f.begin()
}

// begin begins streams at all registered back ends that a gateway knows.
func (f *historyFleet) begin() {
	for _, g := range f.gateways {
		for id := range g.rows {
			if version, registered := f.backends[id]; registered {
				f.begun[version] = f.now
			}
		}
	}
}

// wait lets time pass, in which streams begin.
func (f *historyFleet) wait(d time.Duration) {
	f.now += d
	f.begin()
}

// proof returns the version at which a gateway takes every stream to have begun, by itself or by the word of others. Like
// confirmView, it brings the gateway's roster up to date first.
func (f *historyFleet) proof(i int) (streamorigin.SoftwareVersion, bool) {
	var vouched []streamorigin.Vouch
	for j, other := range f.gateways {
		if vouch, ok := other.vouchSoftware(f.now, historyService); ok && j != i {
			vouched = append(vouched, vouch)
		}
	}
	f.update(i)
	if version, sole := f.gateways[i].soleSoftware(f.now, historyService); sole {
		return version, true
	}
	return f.gateways[i].vouchedSoftware(f.now, f.now, historyService, vouched)
}

// assertProofsHold fails if a gateway takes streams to have begun at one version, and one that may still be taken up began
// at another.
func (f *historyFleet) assertProofsHold(t *rapid.T) {
	for i := range f.gateways {
		version, proved := f.proof(i)
		if !proved {
			continue
		}
		for begun, at := range f.begun {
			if at > f.now-historyPeriod && begun != version.Name() {
				t.Fatalf("at %v gateway %d takes all streams to have begun at %s; one began at %s at %v", f.now, i, version.Name(), begun, at)
			}
		}
	}
}

// Streams must not go on at another software version, in whatever order back ends come and go, leaders change, and gateways
// restart or are cut off from control.
func TestStreamsOfOtherVersionsAreNeverTakenForTheOnlyOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newHistoryFleet(3)
		gateway := rapid.IntRange(0, len(f.gateways)-1)
		f.register("v1")
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) { f.register(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")) },
			"deregister": func(t *rapid.T) {
				if ids := f.log.IDs(); len(ids) > 0 {
					f.deregister(rapid.SampledFrom(slices.Clone(ids)).Draw(t, "id"))
				}
			},
			"elect":   func(*rapid.T) { f.elect() },
			"restart": func(t *rapid.T) { f.restart(gateway.Draw(t, "gateway")) },
			"restart all": func(*rapid.T) {
				for i := range f.gateways {
					f.restart(i)
				}
			},
			"update":        func(t *rapid.T) { f.update(gateway.Draw(t, "gateway")) },
			"wait":          func(t *rapid.T) { f.wait(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second) },
			"take up":       func(t *rapid.T) { f.assertProofsHold(t) },
			"update others": func(t *rapid.T) { f.updateAllBut(gateway.Draw(t, "gateway")) },
		})
	})
}

// updateAllBut updates all gateways but one, which is cut off from control.
func (f *historyFleet) updateAllBut(cutOff int) {
	for i := range f.gateways {
		if i != cutOff {
			f.update(i)
		}
	}
}

// A gateway that has been cut off from control can't vouch for the time in which another version came and went.
func TestWordOfAGatewayThatIsCutOffProvesNothing(t *testing.T) {
	f := newHistoryFleet(2)
	f.register("v1")
	f.updateAllBut(-1)
	f.wait(2 * historyPeriod)
	f.updateAllBut(-1)
	f.restart(1)
	f.update(1)
	if version, proved := f.proof(1); !proved || version.Name() != "v1" {
		t.Fatalf("a gateway that has just started relies on %q, %t while the other one is in touch", version.Name(), proved)
	}
	f.register("v2")
	f.updateAllBut(0)
	f.wait(time.Second)
	f.deregister("i-2")
	f.restart(1)
	f.wait(time.Second)
	f.update(1)
	if version, proved := f.proof(1); proved {
		t.Fatalf("all streams are taken to have begun at %s, and one began at v2", version.Name())
	}
}

// A back end that registers, serves and leaves between two rosters of a gateway was never known to it. A stream that began
// there at another gateway must not be taken to have begun at the version that all known ones have.
func TestBackendBetweenTwoRostersEndsTheProof(t *testing.T) {
	for name, leave := range map[string]func(*historyFleet){
		"the same leader":  func(*historyFleet) {},
		"another leader":   func(f *historyFleet) { f.elect() },
		"a forgetful one":  func(f *historyFleet) { f.replaceBackends(2000) },
		"gone for a while": func(f *historyFleet) { f.wait(historyPeriod / 2) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newHistoryFleet(2)
			f.register("v1")
			f.updateAllBut(-1)
			f.wait(2 * historyPeriod)
			f.updateAllBut(-1)
			if version, proved := f.proof(0); !proved || version.Name() != "v1" {
				t.Fatalf("before: %q, %t", version.Name(), proved)
			}
			f.register("v2")
			f.updateAllBut(0)
			f.deregister("i-2")
			leave(f)
			if version, proved := f.proof(0); proved {
				t.Fatalf("all streams are taken to have begun at %s, and one began at v2", version.Name())
			}
			f.wait(historyPeriod)
			f.updateAllBut(-1)
			if version, proved := f.proof(0); !proved || version.Name() != "v1" {
				t.Fatalf("after the longest life of a stream: %q, %t", version.Name(), proved)
			}
		})
	}
}

// A gateway that has been out of touch with control for long, and then gets every change from the same leader, has missed
// none and still knows at which version streams began.
func TestLongSilenceOfControlKeepsTheProof(t *testing.T) {
	f := newHistoryFleet(2)
	f.register("v1")
	f.updateAllBut(-1)
	f.wait(2 * historyPeriod)
	f.register("v1")
	f.updateAllBut(0)
	if version, proved := f.proof(0); !proved || version.Name() != "v1" {
		t.Fatalf("%q, %t", version.Name(), proved)
	}
}

// replaceBackends registers and deregisters so many back ends that control forgets which ones have left.
func (f *historyFleet) replaceBackends(count int) {
	for range count {
		f.register("v1")
		f.deregister(fmt.Sprint("i-", f.started))
	}
}

// A configuration that shortens the timeout of a route doesn't shorten how old the streams may become that began before.
func TestStreamsOutliveTheTimeoutTheyBeganUnder(t *testing.T) {
	const timeout, shorter = 20 * time.Second, time.Second
	viewOf := func(revision uint64, timeout time.Duration) *view {
		return newView(&catalog.Document{Revision: revision, Services: []catalog.Service{{Name: historyService}}, Routes: []catalog.Route{{
			Host: "h", PathPrefix: "/", Streaming: true, Resumable: true, Timeout: timeout, Targets: []catalog.Target{{Service: historyService, Weight: 1}},
		}}}, nil)
	}
	f := newHistoryFleet(1)
	g := New(Settings{Name: "g", Zone: "z"}, nil, node.NopLog())
	g.now = func() time.Duration { return f.now }
	g.table.minStreamAge, f.gateways[0] = historyPeriod, g.table
	f.register("v1")
	g.setView(viewOf(1, timeout))
	f.update(0)
	f.wait(streamAgeFactor * timeout)
	if version, proved := f.proof(0); !proved || version.Name() != "v1" {
		t.Fatalf("before: %q, %t", version.Name(), proved)
	}
	f.register("v2")
	f.deregister("i-1")
	f.update(0)
	left := f.now
	f.wait(2 * time.Second)
	g.setView(viewOf(2, 2*shorter))
	f.wait(time.Second)
	g.setView(viewOf(3, shorter))
	f.wait(historyPeriod)
	if version, proved := f.proof(0); proved {
		t.Fatalf("%v after v1 left, all streams are taken to have begun at %s, and they last for up to %v", f.now-left, version.Name(), streamAgeFactor*timeout)
	}
	f.wait(streamAgeFactor * timeout)
	if version, proved := f.proof(0); !proved || version.Name() != "v2" {
		t.Fatalf("after the longest life of a stream: %q, %t", version.Name(), proved)
	}
}

// A caller that waits longer than the timeouts of routes suggest may take its stream up when its version has long left.
func TestCallersThatWaitLongArePartOfTheProof(t *testing.T) {
	const wait = 3 * historyPeriod
	f := newHistoryFleet(1)
	f.register("v1")
	f.update(0)
	f.wait(2 * historyPeriod)
	f.gateways[0].recordCallerWait(f.now, historyService, wait)
	if version, proved := f.proof(0); proved {
		t.Fatalf("after %v all streams are taken to have begun at %s, and they last for up to %v", f.now, version.Name(), wait)
	}
	f.wait(historyPeriod)
	if version, proved := f.proof(0); !proved || version.Name() != "v1" {
		t.Fatalf("after the longest wait: %q, %t", version.Name(), proved)
	}
	f.register("v2")
	f.gateways[0].recordCallerWait(f.now, historyService, wait)
	f.deregister("i-1")
	f.update(0)
	f.wait(wait - time.Second)
	if version, proved := f.proof(0); proved {
		t.Fatalf("%v after v1 left, all streams are taken to have begun at %s, and one may last for %v", wait-time.Second, version.Name(), wait)
	}
	f.wait(time.Second)
	if version, proved := f.proof(0); !proved || version.Name() != "v2" {
		t.Fatalf("after the caller has left: %q, %t", version.Name(), proved)
	}
	f.gateways[0].recordCallerWait(f.now, historyService, 100*streamorigin.MaxTTL)
	f.wait(streamorigin.MaxTTL)
	if version, proved := f.proof(0); !proved || version.Name() != "v2" {
		t.Fatalf("after an absurd wait: %q, %t", version.Name(), proved)
	}
}

// Streams that began at another service, to which their requests went before a change of the configuration, are not taken to
// have begun at the only version of the service that gets the requests now.
func TestStreamsOfAMovedRouteAreNotTheNewServices(t *testing.T) {
	routeTo := func(prefix string, targets ...catalog.Target) catalog.Route {
		return catalog.Route{Host: "h", PathPrefix: prefix, Streaming: true, Resumable: true, Timeout: time.Second, Targets: targets}
	}
	here, there, nothing := catalog.Target{Service: historyService, Weight: 1}, catalog.Target{Service: "other", Weight: 1}, catalog.Target{Service: "other"}
	for name, test := range map[string]struct {
		before, after []catalog.Route
		moved         bool
	}{
		"moved":            {[]catalog.Route{routeTo("/a/", there)}, []catalog.Route{routeTo("/a/", here)}, true},
		"no longer split":  {[]catalog.Route{routeTo("/a/", here, there)}, []catalog.Route{routeTo("/a/", here)}, true},
		"weight 0":         {[]catalog.Route{routeTo("/a/", here, there)}, []catalog.Route{routeTo("/a/", here, nothing)}, true},
		"longer prefix":    {[]catalog.Route{routeTo("/a/", there)}, []catalog.Route{routeTo("/a/", there), routeTo("/a/b/", here)}, true},
		"removed":          {[]catalog.Route{routeTo("/a/", here), routeTo("/a/b/", there)}, []catalog.Route{routeTo("/a/", here)}, true},
		"unchanged":        {[]catalog.Route{routeTo("/a/", here), routeTo("/a/b/", there)}, []catalog.Route{routeTo("/a/", here), routeTo("/a/b/", there)}, false},
		"new route":        {[]catalog.Route{routeTo("/a/", here), routeTo("/b/", there)}, []catalog.Route{routeTo("/a/", here), routeTo("/c/", here)}, false},
		"moved elsewhere":  {[]catalog.Route{routeTo("/a/", here)}, []catalog.Route{routeTo("/a/", there)}, false},
		"never had weight": {[]catalog.Route{routeTo("/a/", here, nothing)}, []catalog.Route{routeTo("/a/", here)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			viewOf := func(revision uint64, routes []catalog.Route) *view {
				return newView(&catalog.Document{Revision: revision, Services: []catalog.Service{{Name: historyService}, {Name: "other"}}, Routes: routes}, nil)
			}
			f := newHistoryFleet(2)
			g := New(Settings{Name: "g", Zone: "z"}, nil, node.NopLog())
			g.now = func() time.Duration { return f.now }
			g.table.minStreamAge, f.gateways[0] = historyPeriod, g.table
			f.register("v1")
			g.setView(viewOf(1, test.before))
			f.updateAllBut(-1)
			f.wait(2 * historyPeriod)
			f.updateAllBut(-1)
			g.setView(viewOf(2, test.after))
			f.wait(historyPeriod - time.Second)
			_, proved := f.gateways[0].soleSoftware(f.now, historyService)
			_, vouches := f.gateways[0].vouchSoftware(f.now, historyService)
			if proved == test.moved || vouches == test.moved || f.gateways[0].needsRecords(f.now, historyService) != test.moved {
				t.Fatalf("proved %t, vouches %t, moved %t", proved, vouches, test.moved)
			}
			if _, proved := f.proof(0); proved == test.moved {
				t.Fatalf("proved by the word of others %t, moved %t", proved, test.moved)
			}
			f.wait(time.Second)
			if version, proved := f.gateways[0].soleSoftware(f.now, historyService); !proved || version.Name() != "v1" {
				t.Fatalf("after the longest life of a stream: %q, %t", version.Name(), proved)
			}
		})
	}
}
