package belief

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Messages may be lost, duplicated or reordered. The total is right once each gateway's newest message has
// arrived, and expired loads are removed.
func TestOccupancyTotalWithLostOrReorderedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Occupancy
		type message struct {
			from string
			at   time.Duration
			load Load
		}
		var sent []message
		newest := map[string]message{}
		for at := range rapid.IntRange(1, 60).Draw(t, "messages") {
			m := message{
				from: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "gateway")), at: time.Duration(at+1) * time.Millisecond,
				load: Load{Running: rapid.IntRange(0, 20).Draw(t, "running"), Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens")},
			}
			sent, newest[m.from] = append(sent, m), m
			if overtakenBy := rapid.IntRange(0, min(5, len(sent)-1)).Draw(t, "overtaken"); rapid.Bool().Draw(t, "arrives") {
				late := sent[len(sent)-1-overtakenBy]
				o.RecordPeer(late.from, late.at, late.load)
			}
		}
		var want Load
		for _, m := range newest {
			o.RecordPeer(m.from, m.at, m.load)
			want = want.Plus(m.load)
		}
		if o.Total() != want {
			t.Fatalf("total %+v, want %+v", o.Total(), want)
		}
		if o.Sweep(time.Second + peerLoadTTL); o.Total() != (Load{}) || len(o.peers) > 0 {
			t.Fatalf("after peerLoadTTL without messages: %+v", o)
		}
	})
}

// The wait is 0 while there are free slots and memory, and grows with each request beyond them.
func TestCapacityWaitStartsAtSlotOrMemoryLimit(t *testing.T) {
	const slots, memory, stay = 16, 80_000, 2000
	for _, c := range []struct {
		load   Load
		tokens int
		want   float64
	}{
		{Load{15, 70_000}, 10_000, 0}, {Load{16, 0}, 10, 125}, {Load{23, 0}, 10, 1000}, {Load{8, 80_000}, 20_000, 500},
		{Load{0, 0}, 90_000, 0}, {Load{31, 80_000}, 20_000, 2000},
	} {
		if got := CapacityWait(c.load, slots, memory, c.tokens, stay); got != c.want {
			t.Errorf("load %+v and %d tokens: wait %.0f ms, want %.0f", c.load, c.tokens, got, c.want)
		}
	}
	if got := CapacityWait(Load{Running: 50, Tokens: 1e9}, 0, 0, 10, stay); got != 0 {
		t.Errorf("unknown capacity: wait %.0f ms, want 0", got)
	}
}
