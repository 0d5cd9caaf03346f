package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
)

// storeFixture is a scheduler that reads a scripted store in virtual time.
type storeFixture struct {
	*Gateway
	at     time.Duration
	script *scriptedCache
	cursor storeCursor
}

func newStoreFixture(answers ...any) *storeFixture {
	f := &storeFixture{Gateway: newStoreScheduler(1, 400*time.Millisecond), at: time.Second, script: &scriptedCache{drained: make(chan struct{}), answers: answers}, cursor: storeCursor{listedAt: -cacheListInterval}}
	f.now = func() time.Duration { return f.at }
	f.UseCacheReader(f.script)
	return f
}

// read reads the store the given number of times, 100 ms apart.
func (f *storeFixture) read(times int) (err error) {
	for range times {
		f.at += 100 * time.Millisecond
		_, err = f.readStore(context.Background(), testStoreAddress, &f.cursor)
	}
	return err
}

func (f *storeFixture) held(ids ...string) int {
	var parts []prefix.Part
	for _, id := range ids {
		parts = append(parts, prefix.Part{ID: id, Tokens: 10})
	}
	f.table.mutex.Lock()
	defer f.table.mutex.Unlock()
	return f.table.stores.Held(f.at, testStoreAddress, "w1", parts)
}

// A store that has restarted or has lost events is listed again, at most once per cacheListInterval. What a restarted
// store held before does not count.
func TestStoreIsListedAgain(t *testing.T) {
	for name, gap := range map[string]CacheReport{
		"events lost": {Incarnation: 1, NextEvent: 9, EventsLost: true}, "restart": {Incarnation: 2, NextEvent: 9}, "other start time": {Incarnation: 1, StartedMS: 7, NextEvent: 9}, "numbers go back": {Incarnation: 1, NextEvent: 3},
	} {
		f := newStoreFixture(
			CacheReport{Incarnation: 1, NextEvent: 5, Parts: []belief.CachedPart{cachedPart("a", 10), cachedPart("b", 10)}},
			CacheReport{Incarnation: 1, NextEvent: 6, Parts: []belief.CachedPart{cachedPart("b", 0)}},
			gap,
			CacheReport{Incarnation: gap.Incarnation, StartedMS: gap.StartedMS, NextEvent: 20, Parts: []belief.CachedPart{cachedPart("c", 10)}},
		)
		_ = f.read(2)
		if f.held("a") != 10 || f.held("b") != 0 {
			t.Errorf("%s: before, a %d, b %d", name, f.held("a"), f.held("b"))
		}
		for range 18 {
			_ = f.read(1)
			if f.script.lists > 1 {
				t.Fatalf("%s: listed again after %v", name, f.at-f.cursor.listedAt)
			}
		}
		_ = f.read(2)
		if f.script.lists != 2 || f.held("a") != 0 || f.held("c") != 10 {
			t.Errorf("%s: %d listings, a %d, c %d", name, f.script.lists, f.held("a"), f.held("c"))
		}
	}
}

// Guards against a reader that goes on with changes to contents that the index did not accept: the store is listed
// again, and the listing is not logged.
func TestStoreIsListedAgainAfterAnIgnoredRead(t *testing.T) {
	valid := CacheReport{Incarnation: 1, NextEvent: 5, Parts: []belief.CachedPart{cachedPart("a", 10)}}
	absurd := CacheReport{Incarnation: 1, NextEvent: 1 << 63, Parts: []belief.CachedPart{cachedPart("b", 10)}}
	f := newStoreFixture(absurd, valid, absurd, valid)
	core, logged := observer.New(zap.InfoLevel)
	f.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	for step, want := range []struct {
		lists, logged int
		listed        bool
	}{{1, 0, false}, {2, 1, true}, {2, 1, false}, {3, 2, true}} {
		f.at += cacheListInterval
		_ = f.read(1)
		if got := logged.FilterMessage(events.StoreListed).Len(); f.script.lists != want.lists || got != want.logged || f.cursor.listed != want.listed {
			t.Errorf("read %d: %d listings, %d logged, listed %v; want %+v", step, f.script.lists, got, f.cursor.listed, want)
		}
	}
	if f.held("a") != 10 || f.held("b") != 0 {
		t.Errorf("a %d, b %d tokens held", f.held("a"), f.held("b"))
	}
}

// A store that does not answer counts for 4 s more, is not asked then, and is listed once it answers again.
func TestSilentStoreIsListedWhenItAnswers(t *testing.T) {
	cut := eris.New("cut off")
	answers := []any{CacheReport{Incarnation: 1, NextEvent: 5, Parts: []belief.CachedPart{cachedPart("a", 10)}}}
	for range 41 {
		answers = append(answers, cut)
	}
	f := newStoreFixture(append(answers, CacheReport{Incarnation: 1, NextEvent: 9, Parts: []belief.CachedPart{cachedPart("b", 10)}})...)
	_ = f.read(1)
	if err := f.read(39); err == nil || f.held("a") != 10 {
		t.Errorf("silent for 3.9 s: %d tokens held, error %v", f.held("a"), err)
	}
	_ = f.read(2)
	if f.held("a") != 0 || f.table.stores.State(f.at, testStoreAddress) != storeindex.Silent {
		t.Errorf("silent for 4.1 s: %d tokens held", f.held("a"))
	}
	f.at += cacheListInterval // a failed listing counts as one
	_ = f.read(1)
	if f.held("a") != 0 || f.held("b") != 10 || f.script.lists < 2 {
		t.Errorf("after it has answered: a %d, b %d, %d listings", f.held("a"), f.held("b"), f.script.lists)
	}
}

// The successor of a reader that has ended lists the store and sends the others what it holds. Messages of the former
// reader that arrive late change nothing.
func TestSuccessorListsStore(t *testing.T) {
	shared := announcement{Instance: "i-0", Salt: "w1", Parts: []prefix.Part{{ID: "preamble", Tokens: 10}, {ID: "own", Tokens: 10}}}
	first := newStoreFixture(CacheReport{Incarnation: 1, NextEvent: 5, Parts: []belief.CachedPart{cachedPart("preamble", 10), cachedPart("private", 10)}})
	second := newStoreFixture(CacheReport{Incarnation: 1, NextEvent: 8})
	third := newStoreScheduler(1, 400*time.Millisecond)
	for _, g := range []*Gateway{first.Gateway, second.Gateway, third} {
		g.table.recordOwnSend(time.Second, shared)
	}
	reports := func(f *storeFixture, report CacheReport) []announcement {
		f.at += 100 * time.Millisecond
		var sent []announcement
		updates, _ := f.table.applyStoreRead(f.at, storeindex.Report{Store: testStoreAddress, Epoch: epochOf(report), Event: report.NextEvent, Parts: report.Parts}, true)
		for _, r := range updates {
			sent = append(sent, announcement{StoreReport: &r}.toWire(0).announcement())
		}
		return sent
	}
	held := func(g *Gateway) int {
		return g.table.stores.Held(1200*time.Millisecond, testStoreAddress, "w1", shared.Parts[:1])
	}
	early := reports(first, first.script.answers[0].(CacheReport))
	if len(early) != 1 || len(early[0].StoreReport.Parts) != 1 {
		t.Fatalf("sent %+v, want the shared part only", early)
	}
	third.table.applySends(1100*time.Millisecond, early)
	second.table.applySends(1100*time.Millisecond, early)
	if held(third) != 10 || held(second.Gateway) != 10 {
		t.Fatal("the part is not known at the others")
	}
	late := reports(second, second.script.answers[0].(CacheReport)) // the part was evicted meanwhile
	third.table.applySends(1200*time.Millisecond, late)
	third.table.applySends(1200*time.Millisecond, early)
	second.table.applySends(1200*time.Millisecond, early)
	if held(third) != 0 || held(second.Gateway) != 0 {
		t.Errorf("an evicted part counts: %d at the others, %d at the reader", held(third), held(second.Gateway))
	}
}

// A gateway that control no longer confirms stops reading: at once if the store answers one reader at a time only.
func TestReaderCutOffFromControlStops(t *testing.T) {
	f := newStoreFixture()
	f.settings.ViewTTL = 3 * time.Second
	f.confirmedAt.Store(int64(f.at))
	sole := newView(storeDocument(400*time.Millisecond), map[string]catalog.Offer{"k": {CacheReaders: 1}})
	for _, c := range []struct {
		after   time.Duration
		several bool
		one     bool
	}{{time.Second, true, true}, {soleReaderTTL, true, false}, {3 * time.Second, false, false}} {
		f.at = time.Second + c.after
		f.view.Store(newView(storeDocument(400*time.Millisecond), nil))
		if got := f.mayReadStore(testStoreAddress); got != c.several {
			t.Errorf("%v after the last confirmation: reads %v", c.after, got)
		}
		f.view.Store(sole)
		if got := f.mayReadStore(testStoreAddress); got != c.one {
			t.Errorf("%v after the last confirmation, one reader allowed: reads %v", c.after, got)
		}
	}
}

// unresponsiveStore answers no call before its context ends, or for 3 s.
type unresponsiveStore struct {
	bounded  bool          // the context of the last call had a deadline
	timeLeft time.Duration // until that deadline, when the call began
	canceled bool          // the context ended within 3 s
}

func (u *unresponsiveStore) call(ctx context.Context) (CacheReport, error) {
	deadline, bounded := ctx.Deadline()
	u.bounded, u.timeLeft = bounded, time.Until(deadline)
	select {
	case <-ctx.Done():
		u.canceled = true
	case <-time.After(3 * time.Second):
	}
	return CacheReport{Incarnation: 1, NextEvent: 5}, ctx.Err()
}

func (u *unresponsiveStore) Events(ctx context.Context, _ string, _ uint64) (CacheReport, error) {
	return u.call(ctx)
}
func (u *unresponsiveStore) List(ctx context.Context, _ string) (CacheReport, error) {
	return u.call(ctx)
}

// Guards against a read of a store that answers one reader at a time that goes on when control has assigned the next
// reader: it ends successorDelay after the last confirmation, whenever it began.
func TestSoleReadEndsBeforeSuccessorStarts(t *testing.T) {
	sole := map[string]catalog.Offer{"k": {CacheReaders: 1}}
	for _, listed := range []bool{false, true} {
		f, store := newStoreFixture(), &unresponsiveStore{}
		f.UseCacheReader(store)
		f.view.Store(newView(storeDocument(400*time.Millisecond), sole))
		f.confirmedAt.Store(int64(f.at))
		f.at += soleReaderTTL - time.Millisecond
		f.cursor.listed, f.cursor.answeredAt = listed, f.at
		_, err := f.readStore(context.Background(), testStoreAddress, &f.cursor)
		if want := successorDelay - soleReaderTTL + time.Millisecond; !store.bounded || !store.canceled || store.timeLeft > want || err == nil {
			t.Errorf("listed %v: bounded %v, canceled %v with %v left, want at most %v; error %v", listed, store.bounded, store.canceled, store.timeLeft, want, err)
		}
	}
}

// countingStore counts the calls in progress.
type countingStore struct {
	mu             sync.Mutex
	now, max, done int
}

func (c *countingStore) call(ctx context.Context) (CacheReport, error) {
	c.mu.Lock()
	c.now++
	c.max = max(c.max, c.now)
	c.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
	c.mu.Lock()
	c.now--
	c.done++
	c.mu.Unlock()
	return CacheReport{Incarnation: 1, NextEvent: 5, Pushback: pushback.Signals{}}, nil
}

func (c *countingStore) Events(ctx context.Context, _ string, _ uint64) (CacheReport, error) {
	return c.call(ctx)
}
func (c *countingStore) List(ctx context.Context, _ string) (CacheReport, error) { return c.call(ctx) }

// An assigned store is read by one call at a time, and no longer once it is assigned to another gateway.
func TestAssignedStoreIsReadByOneCallAtATime(t *testing.T) {
	g, store := newStoreScheduler(1, 400*time.Millisecond), &countingStore{}
	g.UseCacheReader(store)
	g.confirmedAt.Store(int64(g.now()) + 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 20 {
		g.assignStores(ctx, storeSources(testStoreAddress))
		time.Sleep(10 * time.Millisecond)
	}
	g.assignStores(ctx, storeSources())
	g.storeFollowers.threads.Wait()
	if store.max != 1 || store.done < 2 {
		t.Errorf("%d calls at once, %d in all", store.max, store.done)
	}
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	if g.table.stores.State(g.now(), testStoreAddress) != storeindex.Known || len(g.table.stores.Updates(g.now()+time.Hour, testStoreAddress)) != 0 {
		t.Error("the store is not known, or still counts as read by this gateway")
	}
}
