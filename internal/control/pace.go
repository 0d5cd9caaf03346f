package control

import (
	"time"

	"kitetiller/internal/catalog"
)

// How many engines are taken out of service together for new weights, and how long a load is taken to last.
const (
	// loadDivisor and drainShare: one of so many back ends may load, or be turned away from, at the same time.
	loadDivisor  = 4
	drainDivisor = 3
	// minReadyFraction of the engines that were ready within stressMemory must still be, for any to be kept idle.
	minReadyFraction = 0.9
	capacityWindow   = 10 * time.Second
	// initialLoadTime is how long a load is taken to last before one was seen, and loadSmoothing weighs the newest. It is first
	// looked for after checkShare of that, checkLeast at least, and then each nextCheck.
	initialLoadTime        = 600 * time.Millisecond
	loadTimeSmoothing      = 0.3
	firstLoadCheckFraction = 0.9
	minFirstLoadCheck      = 200 * time.Millisecond
	loadCheckInterval      = 60 * time.Millisecond
)

// loadCount tells how many loads run, and how many may.
type loadCount struct{ running, limit int }

// countLoads counts the back ends whose order is on its way or being carried out.
func (r *Replica) countLoads() loadCount {
	count := loadCount{}
	engines := 0
	for id := range r.machine.catalog.Instances() {
		state := r.leader.fleet[id]
		if !state.isEngine() {
			continue
		}
		engines++
		if state.rollout.phase == phaseOrderSent || state.rollout.phase == phaseLoading {
			count.running++
		}
	}
	count.limit = maxConcurrent(engines, loadDivisor)
	return count
}

// maxConcurrent returns how many engines may be taken out of service together: one of so many, also while they are short of hands,
// since those whose weights stay old for too long get no requests at all.
func maxConcurrent(engines, share int) int { return max(1, engines/share) }

// lacksCapacity reports whether the engines are short of hands, or orders get lost: then none is kept idle for its requests to
// end.
func (r *Replica) lacksCapacity(now time.Duration) bool {
	ready := 0
	for id, instance := range r.machine.catalog.Instances() {
		state := r.leader.fleet[id]
		if state.isEngine() && !state.silent && instance.State == catalog.StateReady {
			ready++
		}
	}
	if ready >= r.leader.readyPeak {
		r.leader.readyPeak, r.leader.readyPeakAt = ready, now
	}
	if now > r.leader.readyPeakAt+capacityWindow {
		r.leader.readyPeak, r.leader.readyPeakAt = ready, now
	}
	return float64(ready) < minReadyFraction*float64(r.leader.readyPeak) || now < r.leader.orderLostAt+capacityWindow
}

// firstLoadCheck is how long after its order a load is first looked for.
func (l *leaderState) firstLoadCheck() time.Duration {
	expected := l.smoothedLoadTime
	if expected == 0 {
		expected = initialLoadTime
	}
	return max(minFirstLoadCheck, time.Duration(firstLoadCheckFraction*float64(expected)))
}

// observeLoadTime learns how long a load lasts, from when its order was taken until a report shows the weights.
func (l *leaderState) observeLoadTime(now, takenAt time.Duration) {
	switch {
	case takenAt == 0:
	case l.smoothedLoadTime == 0:
		l.smoothedLoadTime = now - takenAt
	default:
		l.smoothedLoadTime += time.Duration(loadTimeSmoothing * float64(now-takenAt-l.smoothedLoadTime))
	}
}
