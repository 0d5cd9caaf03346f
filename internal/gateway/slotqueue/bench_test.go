package slotqueue

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkDecision asks for a slot and ends the request, with most slots taken and with requests waiting.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct{ backEnds, slots, waiting int }{{3, 6, 0}, {6, 6, 0}, {3, 6, 30}, {90, 6, 0}, {90, 6, 100}} {
		b.Run(fmt.Sprintf("%dx%d-%d-waiting", c.backEnds, c.slots, c.waiting), func(b *testing.B) {
			sizes := make([]int, c.backEnds)
			for i := range sizes {
				sizes[i] = c.slots
			}
			current := backEnds(sizes...)
			q := New()
			q.started, q.lastAskAt = true, settled
			q.SetBackEnds(settled, current)
			busy := c.backEnds*c.slots - 1
			if c.waiting > 0 {
				busy++
			}
			r := Request{Bound: time.Minute, Timeout: time.Hour, Zone: "z1"}
			for i := range busy + c.waiting {
				r.ID = strconv.Itoa(-i - 1)
				q.Ask(settled, r)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.ID = strconv.Itoa(i)
				q.SetBackEnds(settled, current)
				q.Ask(settled, r)
				q.End(settled, r.ID, Success, 60*ms)
			}
		})
	}
}
