package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
)

// cachedPart returns a part of which an engine has so many tokens cached.
func cachedPart(id string, tokens int) belief.CachedPart {
	return belief.CachedPart{Salt: "w1", Part: prefix.Part{ID: id, Tokens: tokens}}
}

// scriptedCache is a CacheReader that returns the given answers in order, and then errors.
type scriptedCache struct {
	mu      sync.Mutex
	answers []any // CacheReport or error; guarded by mu
	lists   int   // guarded by mu
	drained chan struct{}
}

func (s *scriptedCache) next(ctx context.Context) (CacheReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		select {
		case <-s.drained:
		default:
			close(s.drained)
		}
		return CacheReport{}, eris.New("no more answers")
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	if err, failed := answer.(error); failed {
		return CacheReport{}, err
	}
	return answer.(CacheReport), nil
}

func (s *scriptedCache) Events(ctx context.Context, _ string, _ uint64) (CacheReport, error) {
	return s.next(ctx)
}

func (s *scriptedCache) List(ctx context.Context, _ string) (CacheReport, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.next(ctx)
}

// read calls readCache the given number of times.
func (s *scriptedCache) read(g *Gateway, at *cacheCursor, times int) {
	for range times {
		at.listedAt = -cacheListInterval // allow consecutive listings
		_, _ = g.readCache(context.Background(), "i-1", at)
	}
}

// TestCacheIsListedAgain tests that lost events, a new incarnation, and event numbers that go backwards cause a new
// listing, and that a failed read changes nothing.
func TestCacheIsListedAgain(t *testing.T) {
	for name, gap := range map[string]CacheReport{
		"events lost": {Incarnation: 1, NextEvent: 9, EventsLost: true}, "another incarnation": {Incarnation: 2, NextEvent: 9}, "another start time": {Incarnation: 1, StartedMS: 7, NextEvent: 9}, "event numbers go back": {Incarnation: 1, NextEvent: 3},
	} {
		script := &scriptedCache{drained: make(chan struct{}), answers: []any{
			CacheReport{Incarnation: 1, NextEvent: 5, Parts: []belief.CachedPart{cachedPart("a", 10), cachedPart("b", 10)}}, // first listing
			eris.New("cut off"),
			CacheReport{Incarnation: 1, NextEvent: 6, Parts: []belief.CachedPart{cachedPart("b", 0)}},
			gap,
			CacheReport{Incarnation: gap.Incarnation, StartedMS: gap.StartedMS, NextEvent: 20, Parts: []belief.CachedPart{cachedPart("c", 10)}}, // listing after the gap
		}}
		g := New(Settings{Control: []string{"127.0.0.1:1"}}, nil, node.NopLog())
		g.UseCacheReader(script)
		g.table.applyRoster(0, &control.RosterUpdate{Full: true, Entries: []control.RosterEntry{{Instance: catalog.Instance{ID: "i-1", Address: "a"}}}}, nil)
		at := &cacheCursor{}
		checkCached := func(wanted string) {
			t.Helper()
			held := ""
			for _, id := range []string{"a", "b", "c"} {
				if g.table.rows["i-1"].cache.Holds(id) {
					held += id
				}
			}
			if held != wanted {
				t.Fatalf("%s: cached parts %q, want %q", name, held, wanted)
			}
		}
		script.read(g, at, 2)
		checkCached("ab")
		script.read(g, at, 1)
		checkCached("a")
		script.read(g, at, 2)
		checkCached("c")
		if script.lists != 2 {
			t.Fatalf("%s: %d listings, want 2", name, script.lists)
		}
	}
}

// TestFollowersMatchAssignment tests that one goroutine reads each assigned engine, and ends when the engine is
// assigned to another gateway.
func TestFollowersMatchAssignment(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newCacheFollowers()
	var mu sync.Mutex
	reading := map[string]int{}
	read := func(ctx context.Context, id string) {
		mu.Lock()
		reading[id]++
		mu.Unlock()
		<-ctx.Done()
		mu.Lock()
		reading[id]--
		mu.Unlock()
	}
	waitForReaders := func(wanted map[string]int) {
		t.Helper()
		for range 2000 {
			mu.Lock()
			same := len(wanted) == 0
			total := 0
			for id, n := range reading {
				total += n
				same = same || n == wanted[id] && wanted[id] > 0
			}
			mu.Unlock()
			if same && total == len(wanted) {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatalf("reading %v, want %v", reading, wanted)
	}
	f.assign(ctx, []string{"i-1", "i-2"}, read)
	f.assign(ctx, []string{"i-1", "i-2"}, read)
	waitForReaders(map[string]int{"i-1": 1, "i-2": 1})
	f.assign(ctx, []string{"i-2", "i-3"}, read)
	waitForReaders(map[string]int{"i-2": 1, "i-3": 1})
	cancel()
	f.threads.Wait()
	waitForReaders(nil)
}
