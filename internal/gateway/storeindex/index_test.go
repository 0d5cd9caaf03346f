package storeindex

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/prefix"
)

const testStore = "10.9.0.1:1"

func part(salt, id string, tokens int) belief.CachedPart {
	return belief.CachedPart{Salt: salt, Part: prefix.Part{ID: id, Tokens: tokens}}
}

func reportOf(boot, event uint64, parts ...belief.CachedPart) Report {
	return Report{Store: testStore, Epoch: Epoch{Boot: boot}, Event: event, Parts: parts}
}

// prompt returns shared parts of 100 tokens each.
func prompt(ids ...string) []prefix.Part {
	var parts []prefix.Part
	for _, id := range ids {
		parts = append(parts, prefix.Part{ID: id, Tokens: 100})
	}
	return parts
}

// Guards against counting parts after a missing one, of other salts, or held in part only.
func TestHeldCountsLeadingPartsOfOneSalt(t *testing.T) {
	x := New()
	x.ApplyRead(0, reportOf(1, 5, part("w1", "a", 100), part("w1", "b", 40), part("w1", "c", 100), part("w2", "a", 100), part("w2", "b", 100), part("w1/t", "a", 100)), true)
	for _, c := range []struct {
		salt  string
		parts []prefix.Part
		want  int
	}{
		{"w1", prompt("a", "b", "c"), 140}, {"w2", prompt("a", "b", "c"), 200}, {"w1/t", prompt("a", "b"), 100}, {"w3", prompt("a"), 0}, {"w1", prompt("x", "a"), 0}, {"w1", nil, 0},
	} {
		if got := x.Held(0, testStore, c.salt, c.parts); got != c.want {
			t.Errorf("%s %v: held %d tokens, want %d", c.salt, c.parts, got, c.want)
		}
	}
}

// What is known of a silent store counts for SilenceTTL, and again once the store answers.
func TestSilentStoreStopsCounting(t *testing.T) {
	x := New()
	if x.State(0, testStore) != Unread {
		t.Fatal("a store counts as read before any report")
	}
	x.ApplyRead(0, reportOf(1, 5, part("w1", "a", 100)), true)
	if x.Held(SilenceTTL, testStore, "w1", prompt("a")) != 100 {
		t.Error("the contents don't count until SilenceTTL has passed")
	}
	if x.Held(SilenceTTL+1, testStore, "w1", prompt("a")) != 0 || x.State(SilenceTTL+1, testStore) != Silent || x.PlanSave(SilenceTTL+1, testStore, "w1", prompt("b"), 0, Link{}) != SaveSilent {
		t.Error("a silent store is used")
	}
	x.ApplyRead(SilenceTTL+2, reportOf(1, 5), false)
	if x.Held(SilenceTTL+2, testStore, "w1", prompt("a")) != 100 {
		t.Error("the contents don't count after the store has answered again")
	}
}

// Guards against a store that stays silent, and so unused, for as long as there are requests after its last reader has
// stopped, as when control's reply comes from a build that assigns no stores.
func TestStoreWithoutReaderIsUnread(t *testing.T) {
	reader, peer := New(), New()
	reader.ApplyRead(0, reportOf(1, 5, part("w1", "a", 100)), true)
	peer.ApplyPeer(0, reportOf(1, 5, part("w1", "a", 100)))
	request := func(until time.Duration) {
		for now := until - sharedTTL; now <= until; now += time.Second {
			for _, x := range []*Index{reader, peer} {
				x.RecordRequest(now, testStore, "w1", prompt("a"))
				x.Sweep(now)
			}
		}
	}
	request(sharedTTL)
	if reader.State(sharedTTL, testStore) != Silent || peer.State(sharedTTL, testStore) != Silent {
		t.Errorf("after sharedTTL: state %d at the reader, %d at the other", reader.State(sharedTTL, testStore), peer.State(sharedTTL, testStore))
	}
	if got := reader.State(sharedTTL+1, testStore); got != Silent {
		t.Errorf("state %d of a store that this process still reads", got)
	}
	if got := peer.State(sharedTTL+1, testStore); got != Unread {
		t.Errorf("state %d after sharedTTL at a scheduler that does not read it", got)
	}
	reader.Release(sharedTTL, testStore)
	request(2 * sharedTTL)
	if got := reader.State(2*sharedTTL, testStore); got != Unread {
		t.Errorf("state %d at the former reader", got)
	}
	reader.ApplyPeer(2*sharedTTL, reportOf(1, 5, part("w1", "a", 100)))
	if got := reader.State(2*sharedTTL, testStore); got != Known {
		t.Errorf("state %d after another scheduler reported it", got)
	}
}

// A save is not started twice while it may still show up, and may be after saveTimeout or once the part was evicted.
func TestOneSaveOfAPartAtATime(t *testing.T) {
	x := New()
	x.ApplyRead(0, reportOf(1, 5, part("w1", "a", 100)), true)
	plan := func(now time.Duration, salt string, ids ...string) Save {
		return x.PlanSave(now, testStore, salt, prompt(ids...), 0, Link{})
	}
	if got := plan(0, "w1", "a", "b"); got != SaveStart {
		t.Fatalf("plan for a missing part: %s", got)
	}
	if missing := x.RecordSave(0, testStore, "w1", prompt("a", "b"), 0); missing != 100 {
		t.Fatalf("%d tokens to save, want the 100 that are missing", missing)
	}
	if got := plan(time.Second, "w1", "a", "b", "c"); got != SaveActive {
		t.Fatalf("plan while a part is being saved: %s", got)
	}
	if got := plan(time.Second, "w2", "a", "b"); got != SaveStart {
		t.Fatalf("plan under another salt: %s", got)
	}
	if got := plan(saveTimeout, "w1", "a", "b"); got != SaveStart {
		t.Fatalf("plan after the save did not show up: %s", got)
	}
	x.RecordSave(saveTimeout, testStore, "w1", prompt("a", "b"), 0)
	if got := plan(2*saveTimeout, "w1", "a", "b"); got != SaveActive {
		t.Fatalf("plan one timeout after the second save, which has two: %s", got)
	}
	x.ApplyRead(2*saveTimeout, reportOf(1, 5), false)
	if got := plan(3*saveTimeout, "w1", "a", "b"); got != SaveStart {
		t.Fatalf("plan two timeouts after the second save: %s", got)
	}
	x.ApplyRead(time.Second, reportOf(1, 6, part("w1", "b", 100)), false)
	if got := plan(time.Second, "w1", "a", "b"); got != SaveHeld {
		t.Fatalf("plan after the save showed up: %s", got)
	}
	x.ApplyRead(time.Second, reportOf(1, 7, part("w1", "b", 0)), false)
	if got := plan(time.Second, "w1", "a", "b"); got != SaveStart {
		t.Fatalf("plan after the part was evicted: %s", got)
	}
}

// While the link is busy, the parts requested most are saved first. The others are not forgotten: they are saved once
// the link is free, or once those have been.
func TestBusyLinkSavesMostRequestedFirst(t *testing.T) {
	x := New()
	x.ApplyRead(0, reportOf(1, 5), true)
	perToken := 200 * time.Microsecond // a prompt of 100 tokens takes 20 ms
	busy, free, full := Link{Wait: maxLinkWait - 35*time.Millisecond, TimePerToken: perToken}, Link{Wait: freeLinkWait - 1, TimePerToken: perToken}, Link{Wait: maxLinkWait, TimePerToken: perToken}
	for i := range 8 {
		for range i + 1 {
			x.RecordRequest(time.Second, testStore, "w1", prompt(fmt.Sprint("p", i)))
		}
	}
	now := time.Second
	plan := func(link Link, id string) Save { return x.PlanSave(now, testStore, "w1", prompt(id), 0, link) }
	if plan(busy, "p7") != SaveStart || plan(busy, "p6") != SaveStart || plan(busy, "p5") != SaveBusy || plan(busy, "p0") != SaveBusy {
		t.Errorf("busy link: p7 %s, p6 %s, p5 %s, p0 %s", plan(busy, "p7"), plan(busy, "p6"), plan(busy, "p5"), plan(busy, "p0"))
	}
	if plan(free, "p0") != SaveStart || plan(full, "p7") != SaveBusy {
		t.Errorf("free link: p0 %s; full link: p7 %s", plan(free, "p0"), plan(full, "p7"))
	}
	for _, id := range []string{"p7", "p6", "p5", "p4"} {
		x.RecordSave(now, testStore, "w1", prompt(id), 0)
	}
	now += recountInterval
	if plan(busy, "p3") != SaveStart {
		t.Errorf("p3 %s after all parts requested more often were saved", plan(busy, "p3"))
	}
	now += waitingTTL // the parts of replaced weights stop counting, their demand does not
	if got := x.PlanSave(now, testStore, "w2", prompt("p0"), 0, busy); got != SaveStart {
		t.Errorf("under a new salt, with none waiting: %s", got)
	}
	x.RecordRequest(now, testStore, "w2", prompt("p7"))
	x.RecordRequest(now, testStore, "w2", prompt("p6"))
	now += recountInterval
	if x.PlanSave(now, testStore, "w2", prompt("p0"), 0, busy) != SaveBusy || x.PlanSave(now, testStore, "w2", prompt("p7"), 0, busy) != SaveStart {
		t.Error("under a new salt, the parts requested most before are not first")
	}
}

// Requests older than the window don't count, nor do reports of them that arrive too late.
func TestDemandCountsTheWindow(t *testing.T) {
	d := demandTable{}
	for i := range 20 {
		d.record(time.Duration(i)*time.Second, "a")
	}
	if got := d.recent(19*time.Second, "a"); got < 8 || got > 10 {
		t.Errorf("%d requests in the last 10 s, want about 10", got)
	}
	before := d.recent(19*time.Second, "a")
	d.record(2*time.Second, "a")
	if got := d.recent(19*time.Second, "a"); got != before {
		t.Errorf("a request of 17 s ago counts")
	}
	if got := d.recent(40*time.Second, "a"); got != 0 {
		t.Errorf("%d requests after a pause of 20 s, want 0", got)
	}
}

// Reports with numbers that make no sense change nothing and are counted.
func TestAbsurdReportsAreIgnored(t *testing.T) {
	x := New()
	x.ApplyPeer(0, reportOf(1, 5, part("w1", "a", 100)))
	for name, r := range map[string]Report{
		"negative tokens": reportOf(1, 6, part("w1", "a", -1)), "too many tokens": reportOf(1, 6, part("w1", "a", math.MaxInt)),
		"no part": reportOf(1, 6, part("w1", "", 5)), "no salt": reportOf(1, 6, part("", "a", 5)), "event far ahead": reportOf(1, maxEventStep+6, part("w1", "a", 0)),
		"event out of range": reportOf(2, math.MaxUint64, part("w1", "a", 0)), "negative start": {Store: testStore, Epoch: Epoch{StartedMS: -1}, Event: 6}, "no store": {Event: 6},
	} {
		before := x.Counts().Invalid
		x.ApplyPeer(time.Second, r)
		if x.Counts().Invalid != before+1 || x.Held(time.Second, testStore, "w1", prompt("a")) != 100 {
			t.Errorf("%s: counted %d times, %d tokens held", name, x.Counts().Invalid-before, x.Held(time.Second, testStore, "w1", prompt("a")))
		}
	}
}

// Guards against the loss of a whole read, whose events are not sent again, by a single part that makes no sense.
func TestInvalidPartsOfAReadAreDropped(t *testing.T) {
	invalid := []belief.CachedPart{part("w1", "", 5), part("", "x", 5), part("w1", "x", -1), part("w1", "x", maxPartTokens+1)}
	for i, bad := range invalid {
		x := New()
		if !x.ApplyRead(0, reportOf(1, 5, part("w1", "a", 100), bad, part("w1", "b", 100)), true) || !x.ApplyRead(0, reportOf(1, 8, part("w1", "a", 0), bad, part("w1", "c", 100)), false) {
			t.Errorf("%d: a read with an invalid part was not accepted", i)
		}
		for id, want := range map[string]int{"a": 0, "b": 100, "c": 100, "x": 0} {
			if got := x.Held(0, testStore, "w1", prompt(id)); got != want {
				t.Errorf("%d: %d tokens of %s held, want %d", i, got, id, want)
			}
		}
		if x.Counts().Invalid != 2 || x.Parts(testStore) != 2 {
			t.Errorf("%d: %d invalid parts counted, %d parts held", i, x.Counts().Invalid, x.Parts(testStore))
		}
	}
	x := New()
	if x.ApplyRead(0, reportOf(1, maxEvent+1, part("w1", "a", 100)), true) || x.State(0, testStore) != Unread {
		t.Error("a read with an event number out of range was accepted")
	}
}

// A report of an earlier run of the store does not replace the known one, whether start times or only the times of the
// reports tell.
func TestReportsOfAnEarlierRunAreIgnored(t *testing.T) {
	for _, started := range []int64{0, 1000} {
		x := New()
		oldRun, newRun := Epoch{StartedMS: started, Boot: 9}, Epoch{StartedMS: 2 * started, Boot: 3}
		x.ApplyPeer(time.Second, Report{Store: testStore, Epoch: oldRun, Event: 50, Parts: []belief.CachedPart{part("w1", "a", 100)}})
		x.ApplyPeer(2*time.Second, Report{Store: testStore, Epoch: newRun, Event: 2, Parts: []belief.CachedPart{part("w1", "b", 100)}})
		x.ApplyPeer(1500*time.Millisecond, Report{Store: testStore, Epoch: oldRun, Event: 60, Parts: []belief.CachedPart{part("w1", "a", 100)}})
		if x.Held(2*time.Second, testStore, "w1", prompt("a")) != 0 || x.Held(2*time.Second, testStore, "w1", prompt("b")) != 100 || x.Counts().Stale != 1 {
			t.Errorf("start %d: a %d, b %d tokens held, %d stale", started, x.Held(2*time.Second, testStore, "w1", prompt("a")), x.Held(2*time.Second, testStore, "w1", prompt("b")), x.Counts().Stale)
		}
	}
}

// The reader sends only parts that requests share: private ones are held back until someone asks for them.
func TestOnlySharedPartsAreSent(t *testing.T) {
	x := New()
	x.RecordRequest(0, testStore, "w1", prompt("a"))
	x.ApplyRead(0, reportOf(1, 5, part("w1", "a", 100), part("w1", "own", 100)), true)
	sent := func(now time.Duration) string {
		text := ""
		for _, r := range x.Updates(now, testStore) {
			for _, p := range r.Parts {
				text += fmt.Sprintf("%s=%d ", p.ID, p.Tokens)
			}
		}
		return text
	}
	if got := sent(0); got != "a=100 " {
		t.Fatalf("sent %q first", got)
	}
	if got := sent(0); got != "" {
		t.Fatalf("sent %q again at once", got)
	}
	x.RecordRequest(0, testStore, "w1", prompt("a", "own"))
	if got := sent(0); got != "own=100 " {
		t.Fatalf("sent %q once the part is asked for", got)
	}
	x.ApplyRead(0, reportOf(1, 6, part("w1", "a", 0)), false)
	if got := sent(0); got != "a=0 " {
		t.Fatalf("sent %q after the removal", got)
	}
	if got := sent(refreshInterval); got != "own=100 " {
		t.Fatalf("repeated %q", got)
	}
	x.ApplyRead(refreshInterval, reportOf(1, 7, part("w1", "own", 0)), false)
	sent(refreshInterval)
	if reports := x.Updates(2*refreshInterval, testStore); len(reports) != 1 || len(reports[0].Parts) != 0 {
		t.Fatalf("a store that holds nothing is not reported as alive: %v", reports)
	}
}

// Whatever a store reports, the index stays bounded, and shared parts displace private ones.
func TestIndexIsBounded(t *testing.T) {
	x := New()
	for i := range 3 * maxParts {
		x.ApplyRead(0, reportOf(1, uint64(i), part("w1", fmt.Sprint("own", i), 10)), false)
	}
	x.RecordRequest(0, testStore, "w1", prompt("a"))
	x.ApplyRead(0, reportOf(1, 4*maxParts, part("w1", "a", 100)), false)
	if n := len(x.stores[testStore].parts); n > maxParts || x.Held(0, testStore, "w1", prompt("a")) != 100 {
		t.Errorf("%d parts known, %d tokens of the shared one", n, x.Held(0, testStore, "w1", prompt("a")))
	}
	for i := range 2 * maxShared {
		x.RecordRequest(0, testStore, "w1", prompt(fmt.Sprint("s", i)))
		x.RecordSave(0, testStore, "w1", prompt(fmt.Sprint("s", i)), 0)
		x.ApplyPeer(0, Report{Store: fmt.Sprint("other", i), Event: 1})
	}
	s := x.stores[testStore]
	if len(x.demand) > maxShared || len(s.saving) > maxParts || len(s.waiting.parts) > maxParts || len(x.stores) > maxStores {
		t.Errorf("%d shared, %d saving, %d waiting, %d stores", len(x.demand), len(s.saving), len(s.waiting.parts), len(x.stores))
	}
	x.Sweep(time.Hour)
	if len(x.demand)+len(x.salts)+len(s.saving)+len(s.waiting.parts) != 0 {
		t.Error("expired state is kept")
	}
}

// modelStore is a reference model of a store: what it holds, and its events.
type modelStore struct {
	epoch   Epoch
	held    map[partKey]int
	events  []belief.CachedPart
	dropped int // events no longer kept
}

func (m *modelStore) change(p belief.CachedPart) {
	if p.Tokens == 0 {
		delete(m.held, partKey{p.Salt, p.ID})
	} else {
		m.held[partKey{p.Salt, p.ID}] = p.Tokens
	}
	m.events = append(m.events, p)
}

func (m *modelStore) list() Report {
	r := Report{Store: testStore, Epoch: m.epoch, Event: uint64(len(m.events))}
	for key, tokens := range m.held {
		r.Parts = append(r.Parts, part(key.salt, key.id, tokens))
	}
	return r
}

// modelReader reads a modelStore as the gateway does.
type modelReader struct {
	index  *Index
	epoch  Epoch
	next   int
	listed bool
}

func (d *modelReader) read(now time.Duration, m *modelStore) {
	if d.listed && (d.epoch != m.epoch || d.next < m.dropped) {
		d.listed = false
	}
	if !d.listed {
		d.epoch, d.next, d.listed = m.epoch, len(m.events), true
		d.index.ApplyRead(now, m.list(), true)
		return
	}
	report := Report{Store: testStore, Epoch: m.epoch, Event: uint64(len(m.events)), Parts: m.events[d.next:]}
	d.next = len(m.events)
	d.index.ApplyRead(now, report, false)
}

// A reader that has read all events knows exactly what the store holds, and after a cycle of repetitions so does every
// other scheduler, whatever messages were lost, late, repeated or out of order before, and however often the store
// restarted or its reader changed. In between no scheduler takes parts of an earlier run of the store for held once it
// knows of the new one.
func TestIndexFollowsStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids, salts := []string{"a", "b", "c", "d"}, []string{"w1", "w2", "w2/t"}
		started := rapid.Bool().Draw(t, "start times")
		m := &modelStore{epoch: Epoch{Boot: 1}, held: map[partKey]int{}}
		if started {
			m.epoch.StartedMS = 1000
		}
		readers := []*modelReader{{index: New()}, {index: New()}}
		third := New() // reads nothing
		type message struct {
			at     time.Duration
			report Report
		}
		var inFlight []message
		now := time.Duration(0)
		active := []bool{true, false}
		everyone := []*Index{readers[0].index, readers[1].index, third}
		request := func() {
			for _, salt := range salts {
				for _, x := range everyone {
					x.RecordRequest(now, testStore, salt, prompt(ids...))
				}
			}
		}
		read := func(i int, loss bool) {
			readers[i].read(now, m)
			for _, r := range readers[i].index.Updates(now, testStore) {
				if !loss || rapid.IntRange(0, 3).Draw(t, "loss") > 0 {
					inFlight = append(inFlight, message{now, r})
				}
			}
		}
		deliver := func(i int, keep bool) {
			msg := inFlight[i]
			if !keep {
				inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
			}
			for _, x := range everyone {
				x.ApplyPeer(msg.at, msg.report)
			}
		}
		request()
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				m.change(part(rapid.SampledFrom(salts).Draw(t, "salt"), rapid.SampledFrom(ids).Draw(t, "id"), 100*rapid.IntRange(0, 1).Draw(t, "held")))
			case 3, 4, 5:
				for i, on := range active {
					if on {
						read(i, true)
					}
				}
			case 6, 7:
				if len(inFlight) > 0 {
					deliver(rapid.IntRange(0, len(inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "repeated"))
				}
			case 8: // the store restarts, or drops events
				if rapid.Bool().Draw(t, "restart") {
					m.epoch.Boot++
					if started {
						m.epoch.StartedMS += 10
					}
					m.held, m.events, m.dropped = map[partKey]int{}, nil, 0
				} else {
					m.dropped = len(m.events)
				}
			case 9: // another reader; both read for a while
				i := rapid.IntRange(0, 1).Draw(t, "reader")
				if active[i] && active[1-i] {
					active[i] = false
					readers[i].index.Release(now, testStore)
					readers[i].listed = false
				}
				active[1-i] = true
			}
			for _, x := range everyone {
				x.Sweep(now)
			}
		}
		// One reader remains, and messages arrive again.
		last := 0
		if !active[0] {
			last = 1
		}
		readers[1-last].index.Release(now, testStore)
		for len(inFlight) > 0 {
			deliver(len(inFlight)-1, false) // the latest first
		}
		check := func(x *Index, who string) {
			for _, salt := range salts {
				for _, id := range ids {
					want := m.held[partKey{salt, id}]
					if got := x.Held(now, testStore, salt, prompt(id)); got != want {
						t.Fatalf("%s: %d tokens of %s/%s, want %d", who, got, salt, id, want)
					}
				}
			}
		}
		read(last, false)
		read(last, false) // a listing if events were lost
		check(readers[last].index, "reader")
		for end := now + unreadTTL + refreshCycle; now < end; now += 500 * time.Millisecond {
			request()
			read(last, false)
			for len(inFlight) > 0 {
				deliver(0, false)
			}
			for _, x := range everyone {
				x.Sweep(now)
			}
		}
		check(readers[last].index, "reader")
		check(readers[1-last].index, "former reader")
		check(third, "third scheduler")
	})
}

// Of two reports about a part the one with the higher event number counts, in whatever order and however often they
// arrive; also if the older one is the first that mentions the part as held.
func TestLateReportsChangeNothing(t *testing.T) {
	added, removed, again := reportOf(1, 5, part("w1", "a", 100)), reportOf(1, 6, part("w1", "a", 0)), reportOf(1, 7, part("w1", "a", 100))
	for name, c := range map[string]struct {
		reports []Report
		want    int
	}{
		"in order": {[]Report{added, removed}, 0}, "reversed": {[]Report{removed, added}, 0}, "repeated": {[]Report{added, removed, added, removed, added}, 0},
		"added again": {[]Report{again, removed, added}, 100}, "only the last": {[]Report{again, added, removed, again}, 100},
	} {
		x := New()
		for i, r := range c.reports {
			x.ApplyPeer(time.Duration(i)*time.Millisecond, r)
		}
		if got := x.Held(time.Second, testStore, "w1", prompt("a")); got != c.want {
			t.Errorf("%s: %d tokens held, want %d", name, got, c.want)
		}
	}
}

// Engines may save only what they have prefilled. Once that is seen, what an engine has cached does not count as being
// saved, so that engines that prefill it save it, and it is tried again at times.
func TestCachedPartsAreNotTakenToBeSaved(t *testing.T) {
	x := New()
	now, event := time.Duration(0), uint64(5)
	read := func(parts ...belief.CachedPart) {
		event++
		x.ApplyRead(now, reportOf(1, event, parts...), false)
	}
	read()
	if x.PlanSave(now, testStore, "w1", prompt("a", "b"), 200, Link{}) != SaveStart {
		t.Fatal("cached parts are not tried first")
	}
	for i := range 20 {
		x.RecordSave(now, testStore, "w1", prompt(fmt.Sprint("x", i)), 100)
	}
	now += saveTimeout
	x.Sweep(now)
	read()
	x.RecordSave(now, testStore, "w1", prompt("a", "b"), 200)
	if got := x.PlanSave(now, testStore, "w1", prompt("a", "c"), 200, Link{}); got != SaveCached {
		t.Errorf("plan for parts that the engine has: %s", got)
	}
	if got := x.PlanSave(now, testStore, "w1", prompt("a", "b"), 100, Link{}); got != SaveStart {
		t.Errorf("plan for a part that the engine prefills: %s", got)
	}
	if tokens := x.RecordSave(now, testStore, "w1", prompt("a", "b"), 100); tokens != 100 {
		t.Errorf("%d tokens are taken to be saved, want those that are prefilled", tokens)
	}
	if got := x.PlanSave(now, testStore, "w1", prompt("a", "b"), 100, Link{}); got != SaveActive {
		t.Errorf("second plan for a part that an engine prefills: %s", got)
	}
	now += cachedSaveInterval
	read()
	if got := x.PlanSave(now, testStore, "w1", prompt("a", "d"), 200, Link{}); got != SaveStart {
		t.Errorf("cached parts are not tried again: %s", got)
	}
	for i := range 20 {
		id := fmt.Sprint("y", i)
		x.RecordSave(now, testStore, "w1", prompt(id), 100)
		read(part("w1", id, 100))
	}
	if got := x.PlanSave(now, testStore, "w1", prompt("e"), 100, Link{}); got != SaveStart {
		t.Errorf("plan once such saves have shown up: %s", got)
	}
}
