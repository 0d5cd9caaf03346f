package gateway

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOccupancyFollowsEveryGateway: messages may be lost, come twice or overtake each other; once the newest one of each
// gateway has come, the sum is right, and what is told no more is forgotten.
func TestOccupancyFollowsEveryGateway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o occupancy
		type message struct {
			from string
			at   time.Duration
			load load
		}
		var sent []message
		newest := map[string]message{}
		for at := range rapid.IntRange(1, 60).Draw(t, "messages") {
			m := message{
				from: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "gateway")), at: time.Duration(at+1) * time.Millisecond,
				load: load{running: rapid.IntRange(0, 20).Draw(t, "running"), tokens: rapid.IntRange(0, 9000).Draw(t, "tokens")},
			}
			sent, newest[m.from] = append(sent, m), m
			if back := rapid.IntRange(0, min(5, len(sent)-1)).Draw(t, "overtaken"); rapid.Bool().Draw(t, "arrives") {
				late := sent[len(sent)-1-back]
				o.note(late.from, late.at, late.load)
			}
		}
		var wanted load
		for _, m := range newest {
			o.note(m.from, m.at, m.load)
			wanted = wanted.plus(m.load)
		}
		if o.total() != wanted {
			t.Fatalf("total %+v, wanted %+v", o.total(), wanted)
		}
		if o.sweep(time.Second + toldCounts); o.total() != (load{}) || len(o.told) > 0 {
			t.Fatalf("after a long silence: %+v", o)
		}
	})
}

// TestCrowdingStartsWhereSlotsOrMemoryEnd: nothing while there is room; more with each request that has to go first.
func TestCrowdingStartsWhereSlotsOrMemoryEnd(t *testing.T) {
	const slots, memory, stay = 16, 80_000, 2000
	for _, c := range []struct {
		held   load
		tokens int
		wanted float64
	}{
		{load{15, 70_000}, 10_000, 0}, {load{16, 0}, 10, 125}, {load{23, 0}, 10, 1000}, {load{8, 80_000}, 20_000, 500},
		{load{0, 0}, 90_000, 0}, {load{31, 80_000}, 20_000, 2000},
	} {
		if got := crowding(c.held, slots, memory, c.tokens, stay); got != c.wanted {
			t.Errorf("%+v and %d tokens: %.0f ms, wanted %.0f", c.held, c.tokens, got, c.wanted)
		}
	}
	if got := crowding(load{running: 50, tokens: 1e9}, 0, 0, 10, stay); got != 0 {
		t.Errorf("unknown limits give %.0f ms", got)
	}
}
