package control

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// TestFirstCheckFollowsLoadTime checks that a load is first queried shortly before its expected end, and that an order
// whose time is unknown does not change the expectation.
func TestFirstCheckFollowsLoadTime(t *testing.T) {
	for _, loadTime := range []time.Duration{250 * time.Millisecond, 760 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		leader := &leaderState{}
		if first := leader.firstLoadCheck(); first <= 0 || first > initialLoadTime {
			t.Fatalf("first check %v before any load, want at most the default", first)
		}
		leader.observeLoadTime(loadTime, 0)
		if leader.smoothedLoadTime != 0 {
			t.Fatalf("load time %v from an order of unknown time, want 0", leader.smoothedLoadTime)
		}
		leader.observeLoadTime(time.Second+5*time.Second, time.Second)
		for i := range 20 {
			acceptedAt := time.Duration(i+1) * time.Minute
			leader.observeLoadTime(acceptedAt+loadTime, acceptedAt)
		}
		first := leader.firstLoadCheck()
		if want := time.Duration(firstLoadCheckFraction * float64(loadTime)); first < want-loadCheckInterval || first > want+loadCheckInterval {
			t.Fatalf("loads of %v are first queried after %v", loadTime, first)
		}
	}
}

// TestRolloutConcurrencyUnderCapacityLoss checks that as many engines load at once while others have crashed: engines
// left on old weights get no requests.
func TestRolloutConcurrencyUnderCapacityLoss(t *testing.T) {
	for _, engines := range []int{2, 9, 90, 300} {
		s := openWithEngines(t)
		var ids []string
		for i := range engines {
			ids = append(ids, fmt.Sprint("e-", i))
		}
		for _, id := range []string{"i-1", "i-2"} {
			s.ask(Request{BackendHeartbeat: &BackendHeartbeat{Instance: catalog.Instance{ID: id}, Leaving: true}})
		}
		s.sendHeartbeats(ids...)
		s.replica.leader.readyPeak, s.replica.leader.readyPeakAt = 2*engines, s.now // half have crashed
		if !s.replica.lacksCapacity(s.now) {
			t.Fatal("the fleet does not count as under capacity")
		}
		s.ask(Request{Catalog: &catalog.Command{PublishWeights: &catalog.WeightsVersion{Model: "m", Version: 2}}})
		s.sendHeartbeats(ids...)
		s.weightsOrders(200 * time.Millisecond) // collects the reports
		s.sendHeartbeats(ids...)
		ordered := len(s.weightsOrders(time.Second))
		if want := max(1, engines/loadDivisor); ordered < want || ordered > max(1, engines/drainDivisor) {
			t.Errorf("%d of %d engines were ordered at once, want at least %d", ordered, engines, want)
		}
	}
}
