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
		if first := leader.firstCheck(); first <= 0 || first > loadFirst {
			t.Fatalf("before any load: %v", first)
		}
		leader.noteLoad(loadTime, 0)
		if leader.smoothedLoadTime != 0 {
			t.Fatalf("learnt %v from nothing", leader.smoothedLoadTime)
		}
		leader.noteLoad(time.Second+5*time.Second, time.Second)
		for i := range 20 {
			acceptedAt := time.Duration(i+1) * time.Minute
			leader.noteLoad(acceptedAt+loadTime, acceptedAt)
		}
		first := leader.firstCheck()
		if want := time.Duration(checkShare * float64(loadTime)); first < want-nextCheck || first > want+nextCheck {
			t.Fatalf("loads of %v are first looked at after %v", loadTime, first)
		}
	}
}

// TestRolloutConcurrencyUnderCapacityLoss: while a third of the engines has crashed, as many load at once as before (ayni-
// lima-grown scale-2: one at a time of 90, and those left on old weights got no requests).
func TestRolloutConcurrencyUnderCapacityLoss(t *testing.T) {
	for _, engines := range []int{2, 9, 90, 300} {
		s := openFleet(t)
		var ids []string
		for i := range engines {
			ids = append(ids, fmt.Sprint("e-", i))
		}
		for _, id := range []string{"i-1", "i-2"} {
			s.ask(Request{Beat: &Beat{Instance: catalog.Instance{ID: id}, Leaves: true}})
		}
		s.beats(ids...)
		s.replica.leader.readyPeak, s.replica.leader.readyPeakAt = 2*engines, s.now // half have crashed
		if !s.replica.stressed(s.now) {
			t.Fatal("the fleet is not short of hands")
		}
		s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
		s.beats(ids...)
		s.orders(200 * time.Millisecond) // the reports
		s.beats(ids...)
		ordered := len(s.orders(time.Second))
		if want := max(1, engines/loadShare); ordered < want || ordered > max(1, engines/drainShare) {
			t.Errorf("%d of %d engines were ordered at once, wanted %d", ordered, engines, want)
		}
	}
}
