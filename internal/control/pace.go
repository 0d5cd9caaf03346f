package control

import (
	"time"

	"kitetiller/internal/catalog"
)

const (
	// At most one in loadDivisor engines may load weights at the same time, and at most one in drainDivisor may be
	// drained for it.
	loadDivisor  = 4
	drainDivisor = 3
	// minReadyFraction is the fraction of the peak of ready engines within capacityWindow below which capacity is
	// lacking.
	minReadyFraction = 0.9
	capacityWindow   = 10 * time.Second
	// initialLoadTime is the estimate of the load time before the first load, and loadTimeSmoothing the weight of a new
	// sample. The first check for the end of a load comes after firstLoadCheckFraction of the estimate, but not before
	// minFirstLoadCheck; further checks follow every loadCheckInterval.
	initialLoadTime        = 600 * time.Millisecond
	loadTimeSmoothing      = 0.3
	firstLoadCheckFraction = 0.9
	minFirstLoadCheck      = 200 * time.Millisecond
	loadCheckInterval      = 60 * time.Millisecond
)

// loadCount is the number of weights loads in progress and its limit.
type loadCount struct{ running, limit int }

// countLoads counts the engines with a weights order that was sent or is being carried out.
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

// maxConcurrent returns how many engines may be taken out of service at the same time. It does not depend on spare
// capacity, since engines whose weights stay outdated for too long get no requests at all.
func maxConcurrent(engines, divisor int) int { return max(1, engines/divisor) }

// lacksCapacity reports whether too few engines are ready or a weights order was lost recently. No engine is then kept
// idle while its running requests end.
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

// firstLoadCheck returns how long after an order its load is first checked.
func (l *leaderState) firstLoadCheck() time.Duration {
	expected := l.smoothedLoadTime
	if expected == 0 {
		expected = initialLoadTime
	}
	return max(minFirstLoadCheck, time.Duration(firstLoadCheckFraction*float64(expected)))
}

// observeLoadTime updates the load time estimate with a load that started when the engine accepted the order at
// acceptedAt. An acceptedAt of 0 is ignored.
func (l *leaderState) observeLoadTime(now, acceptedAt time.Duration) {
	switch {
	case acceptedAt == 0:
	case l.smoothedLoadTime == 0:
		l.smoothedLoadTime = now - acceptedAt
	default:
		l.smoothedLoadTime += time.Duration(loadTimeSmoothing * float64(now-acceptedAt-l.smoothedLoadTime))
	}
}
