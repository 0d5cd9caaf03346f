package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
)

// kept is a part that an engine says it keeps so many tokens of.
func kept(id string, tokens int) KeptPart {
	return KeptPart{Salt: "w1", Part: prefix.Part{ID: id, Tokens: tokens}}
}

// TestEnginesWordPutsBeliefsRight: parts that gave way are no longer counted on, parts held in part count as far as they go,
// and what the engine never confirms is given up.
func TestEnginesWordPutsBeliefsRight(t *testing.T) {
	h := newHoldings(100_000)
	prompt := []prefix.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 200}, {ID: "own", Tokens: 50}}
	h.use(time.Second, "w1", prompt)
	shared := prefix.Shared(prompt)
	if got := h.cached("w1", shared); got != 300 {
		t.Fatalf("after the send %d tokens", got)
	}
	if differ := h.tell(1100*time.Millisecond, []KeptPart{kept("a", 100), kept("b", 200), kept("own", 50)}, false); len(differ) > 0 {
		t.Fatalf("what all believe is told again: %v", differ)
	}
	differ := h.tell(1200*time.Millisecond, []KeptPart{kept("b", 64), kept("own", 0)}, false)
	if len(differ) != 1 || differ[0] != kept("b", 64) {
		t.Fatalf("told: %v", differ)
	}
	if got := h.cached("w1", shared); got != 164 {
		t.Fatalf("with a part held in part %d tokens", got)
	}
	h.use(2*time.Second, "w1", prompt)
	h.tell(3*time.Second, nil, false)
	if got := h.cached("w1", shared); got != 300 {
		t.Fatalf("a moment after another send %d tokens", got)
	}
	differ = h.tell(2*time.Second+unsureFor+time.Millisecond, nil, false)
	if got := h.cached("w1", shared); got != 100 || len(differ) != 1 || differ[0] != kept("b", 0) {
		t.Fatalf("never confirmed: %d tokens, told %v", got, differ)
	}
}

// TestListReplacesWhatWasTold: what a list does not name is gone, but for what was sent since.
func TestListReplacesWhatWasTold(t *testing.T) {
	h := newHoldings(100_000)
	h.tell(0, []KeptPart{kept("a", 10), kept("b", 10)}, false)
	h.use(time.Second, "w1", []prefix.Part{{ID: "c", Tokens: 10}, {ID: "own", Tokens: 1}})
	h.tell(1100*time.Millisecond, []KeptPart{kept("b", 10)}, true)
	for id, wanted := range map[string]int{"a": 0, "b": 10, "c": 10} {
		if got := h.cached("w1", []prefix.Part{{ID: id, Tokens: 10}}); got != wanted {
			t.Errorf("%s: %d tokens, wanted %d", id, got, wanted)
		}
	}
}

// engineCache is an engine's cache as the oracle of the tests below sees it.
type engineCache map[string]int

// TestBeliefsFollowAnEngine: whatever is sent and gives way, with events lost and lists after a gap, a reader that has heard
// everything believes what the engine keeps, and so does one that is only told of what the reader believed otherwise.
func TestBeliefsFollowAnEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine, pending := engineCache{}, []KeptPart{}
		reader, other := newHoldings(1000), newHoldings(1000)
		now := time.Duration(0)
		lost := false
		tell := func(whole bool) {
			news := pending
			if whole {
				news = nil
				for id, tokens := range engine {
					news = append(news, kept(id, tokens))
				}
			}
			pending = nil
			other.hear(now) // others are told every second that the engine is read
			for _, p := range reader.tell(now, news, whole) {
				other.keep(now, p.Salt, []prefix.Part{p.Part})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				now += time.Millisecond
				id := fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "part"))
				parts := []prefix.Part{{ID: id, Tokens: 100}, {ID: fmt.Sprint("own", now), Tokens: 10}}
				reader.use(now, "w1", parts)
				other.use(now, "w1", parts)
				engine[id] = 100
				pending = append(pending, kept(id, 100))
			},
			"give way": func(t *rapid.T) {
				id := fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "part"))
				left := rapid.SampledFrom([]int{0, 16, 64}).Draw(t, "left")
				if engine[id] <= left {
					return
				}
				engine[id] = left
				if left == 0 {
					delete(engine, id)
				}
				pending = append(pending, kept(id, left))
			},
			"lose": func(*rapid.T) { pending, lost = nil, true },
			"read": func(*rapid.T) { now += 100 * time.Millisecond; tell(lost); lost = false },
		})
		now += unsureFor + time.Second
		tell(lost)
		now += unsureFor + time.Second
		tell(true)
		for i := range 10 {
			id := fmt.Sprint("p", i)
			part := []prefix.Part{{ID: id, Tokens: 100}}
			if got := reader.cached("w1", part); got != engine[id] {
				t.Fatalf("the reader believes %d tokens of %s, the engine keeps %d", got, id, engine[id])
			}
			if got := other.cached("w1", part); got != engine[id] {
				t.Fatalf("another gateway believes %d tokens of %s, the engine keeps %d", got, id, engine[id])
			}
		}
	})
}

// scriptedCache is a cache reader that gives one answer after the other, and then waits.
type scriptedCache struct {
	mu      sync.Mutex
	answers []any // CacheNews or error; guarded by mu
	lists   int   // guarded by mu
	drained chan struct{}
}

func (s *scriptedCache) next(ctx context.Context) (CacheNews, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		select {
		case <-s.drained:
		default:
			close(s.drained)
		}
		return CacheNews{}, eris.New("no more answers")
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	if err, failed := answer.(error); failed {
		return CacheNews{}, err
	}
	return answer.(CacheNews), nil
}

func (s *scriptedCache) Events(ctx context.Context, _ string, _ uint64) (CacheNews, error) {
	return s.next(ctx)
}

func (s *scriptedCache) List(ctx context.Context, _ string) (CacheNews, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.next(ctx)
}

// read passes one answer after the other to a gateway's cursor.
func (s *scriptedCache) read(g *Gateway, at *cacheCursor, times int) {
	for range times {
		at.listedAt = -listPause // lists may follow each other here
		_, _ = g.readCache(context.Background(), "i-1", at)
	}
}

// TestGapsAndRestartsAreReadAnew: after events were lost, in another life of the engine, or when its numbers go back, the
// list is read; an exchange that fails changes nothing.
func TestGapsAndRestartsAreReadAnew(t *testing.T) {
	for name, gap := range map[string]CacheNews{
		"lost": {Life: 1, Next: 9, Lost: true}, "another life": {Life: 2, Next: 9}, "numbers go back": {Life: 1, Next: 3},
	} {
		script := &scriptedCache{drained: make(chan struct{}), answers: []any{
			CacheNews{Life: 1, Next: 5, Parts: []KeptPart{kept("a", 10), kept("b", 10)}}, // the first list
			eris.New("cut off"),
			CacheNews{Life: 1, Next: 6, Parts: []KeptPart{kept("b", 0)}},
			gap,
			CacheNews{Life: gap.Life, Next: 20, Parts: []KeptPart{kept("c", 10)}}, // the list after it
		}}
		g := New(Settings{Control: []string{"127.0.0.1:1"}}, nil, node.NopLog())
		g.UseCacheReader(script)
		g.table.takeRoster(0, &control.RosterNews{Whole: true, Entries: []control.RosterEntry{{Instance: catalog.Instance{ID: "i-1", Address: "a"}}}}, nil)
		at := &cacheCursor{}
		holds := func(wanted string) {
			t.Helper()
			held := ""
			for _, id := range []string{"a", "b", "c"} {
				if g.table.rows["i-1"].held.holds(id) {
					held += id
				}
			}
			if held != wanted {
				t.Fatalf("%s: holds %q, wanted %q", name, held, wanted)
			}
		}
		script.read(g, at, 2)
		holds("ab")
		script.read(g, at, 1)
		holds("a")
		script.read(g, at, 2)
		holds("c")
		if script.lists != 2 {
			t.Fatalf("%s: %d lists", name, script.lists)
		}
	}
}

// TestFollowersFollowTheAssignment: one thread an engine, ended when the engine is another gateway's.
func TestFollowersFollowTheAssignment(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFollowers()
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
	settled := func(wanted map[string]int) {
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
		t.Fatalf("reading %v, wanted %v", reading, wanted)
	}
	f.use(ctx, []string{"i-1", "i-2"}, read)
	f.use(ctx, []string{"i-1", "i-2"}, read)
	settled(map[string]int{"i-1": 1, "i-2": 1})
	f.use(ctx, []string{"i-2", "i-3"}, read)
	settled(map[string]int{"i-2": 1, "i-3": 1})
	cancel()
	f.threads.Wait()
	settled(nil)
}
