package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// TestFirstCheckFollowsLoadTime: whatever engines take for new weights, they are first looked at shortly before that; an order whose
// time is not known teaches nothing.
func TestFirstCheckFollowsLoadTime(t *testing.T) {
	for _, loadTime := range []time.Duration{250 * time.Millisecond, 760 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		leader := &leaderState{}
		if first := leader.firstLoadCheck(); first <= 0 || first > initialLoadTime {
			t.Fatalf("before any load: %v", first)
		}
		leader.observeLoadTime(loadTime, 0)
		if leader.smoothedLoadTime != 0 {
			t.Fatalf("learnt %v from nothing", leader.smoothedLoadTime)
		}
		leader.observeLoadTime(time.Second+5*time.Second, time.Second)
		for i := range 20 {
			acceptedAt := time.Duration(i+1) * time.Minute
			leader.observeLoadTime(acceptedAt+loadTime, acceptedAt)
		}
		first := leader.firstLoadCheck()
		if wanted := time.Duration(firstLoadCheckFraction * float64(loadTime)); first < wanted-loadCheckInterval || first > wanted+loadCheckInterval {
			t.Fatalf("loads of %v are first looked at after %v", loadTime, first)
		}
	}
}

// TestRolloutConcurrencyUnderCapacityLoss: while a third of the engines has crashed, as many load at once as before (ayni-
// lima-grown scale-2: one at a time of 90, and those left on old weights got no requests).
func TestRolloutConcurrencyUnderCapacityLoss(t *testing.T) {
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
