package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// TestLoadTimeIsLearnt: whatever engines take for new weights, they are first looked at shortly before that; an order whose
// time is not known teaches nothing.
func TestLoadTimeIsLearnt(t *testing.T) {
	for _, length := range []time.Duration{250 * time.Millisecond, 760 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		lead := &leaderState{}
		if first := lead.firstLoadCheck(); first <= 0 || first > initialLoadTime {
			t.Fatalf("before any load: %v", first)
		}
		lead.observeLoadTime(length, 0)
		if lead.smoothedLoadTime != 0 {
			t.Fatalf("learnt %v from nothing", lead.smoothedLoadTime)
		}
		lead.observeLoadTime(time.Second+5*time.Second, time.Second)
		for i := range 20 {
			taken := time.Duration(i+1) * time.Minute
			lead.observeLoadTime(taken+length, taken)
		}
		first := lead.firstLoadCheck()
		if wanted := time.Duration(firstLoadCheckFraction * float64(length)); first < wanted-loadCheckInterval || first > wanted+loadCheckInterval {
			t.Fatalf("loads of %v are first looked at after %v", length, first)
		}
	}
}

// TestLargeFleetRollsOutWhileItIsShortOfHands: while a third of the engines has crashed, as many load at once as before (ayni-
// lima-grown scale-2: one at a time of 90, and those left on old weights got no requests).
func TestLargeFleetRollsOutWhileItIsShortOfHands(t *testing.T) {
	for _, engines := range []int{2, 9, 90, 300} {
		s := openWithEngines(t)
		var ids []string
		for i := range engines {
			ids = append(ids, fmt.Sprint("e-", i))
		}
		for _, id := range []string{"i-1", "i-2"} {
			s.ask(Request{Beat: &BackendHeartbeat{Instance: catalog.Instance{ID: id}, Leaving: true}})
		}
		s.sendHeartbeats(ids...)
		s.replica.leader.readyPeak, s.replica.leader.readyPeakAt = 2*engines, s.now // half have crashed
		if !s.replica.lacksCapacity(s.now) {
			t.Fatal("the fleet is not short of hands")
		}
		s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
		s.sendHeartbeats(ids...)
		s.weightsOrders(200 * time.Millisecond) // the reports
		s.sendHeartbeats(ids...)
		ordered := len(s.weightsOrders(time.Second))
		if wanted := max(1, engines/loadDivisor); ordered < wanted || ordered > max(1, engines/drainDivisor) {
			t.Errorf("%d of %d engines were ordered at once, wanted %d", ordered, engines, wanted)
		}
	}
}
