package engine

import (
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
)

// maxLoadSamples bounds the load history that delayed reports are taken from.
const maxLoadSamples = 64

// sampleLoad records the current load, at most every 5 ms.
func (m *Model) sampleLoad() {
	if n := len(m.loadHistory); n > 0 && m.now < m.loadHistory[n-1].at+5*time.Millisecond {
		return
	}
	m.loadHistory = append(m.loadHistory, loadSample{at: m.now, load: m.CurrentLoad()})
	if len(m.loadHistory) > maxLoadSamples {
		m.loadHistory = m.loadHistory[1:]
	}
}

// CurrentLoad returns the load without the delay of reports.
func (m *Model) CurrentLoad() core.Load {
	load := core.Load{
		Running: len(m.running), Waiting: len(m.waiting), PrefillRate: m.rates.PrefillTokensPerSecond, EvictionAge: m.cache.evictionAge(),
	}
	addTokens := func(tokens int, lane core.Lane) {
		load.WaitingTokens += tokens
		if lane == core.LaneInteractive {
			load.InteractiveTokens += tokens
		}
	}
	for _, seq := range m.running {
		addTokens(seq.promptTokensLeft, seq.job.Lane)
	}
	for _, seq := range m.waiting {
		cachedTokens := 0
		if seq.reuse {
			cachedTokens = m.cache.peek(seq.job.Blocks) * m.blockTokens
		}
		addTokens(max(1, seq.job.PromptTokens-cachedTokens), seq.job.Lane)
	}
	return load
}

// laggedLoad returns the newest recorded load that is at least LoadLag old, or else the oldest.
func (m *Model) laggedLoad() core.Load {
	for i := len(m.loadHistory) - 1; i >= 0; i-- {
		if age := m.now - m.loadHistory[i].at; age >= m.rates.LoadLag || i == 0 {
			load := m.loadHistory[i].load
			load.Age = age
			return load
		}
	}
	return m.CurrentLoad()
}

// Report returns the reply to a state poll, with the cache events from the given sequence number on.
func (m *Model) Report(now time.Duration, after uint64) core.BackendReport {
	m.now = max(m.now, now)
	m.sampleLoad()
	events, next := m.cache.eventsAfter(after, m.now-m.rates.EventLag)
	return core.BackendReport{
		Incarnation: m.Incarnation, Weights: m.Weights, Software: m.Software, Loading: m.loadEndsAt > 0, Leaving: m.draining,
		Load: m.laggedLoad(), Events: events, NextSequence: next,
	}
}

// Fence returns the fence of the last accepted call.
func (m *Model) Fence() control.Fence { return m.fence }

// Loading reports whether weights are being loaded.
func (m *Model) Loading() bool { return m.loadEndsAt > 0 }

// HandleCall applies a fenced call and reports whether it was accepted. Calls with a fence lower than an earlier one
// and orders for another incarnation are rejected. loadTime is how long the weights take to load.
func (m *Model) HandleCall(now time.Duration, call control.EngineCall, loadTime time.Duration) bool {
	m.now = max(m.now, now)
	if m.guards.On(guard.FenceCheck) && call.Fence.Less(m.fence) {
		return false
	}
	if call.Order != nil && call.Order.Incarnation != m.Incarnation {
		return false
	}
	m.fence = call.Fence
	if call.Order == nil || call.Order.Weights == m.Weights || m.loadEndsAt > 0 {
		return true
	}
	m.loadingWeights = call.Order.Weights
	m.loadEndsAt = m.now + loadTime
	return true
}

// finishLoad switches to the new weights once they are loaded and no job is left on the old ones.
func (m *Model) finishLoad() {
	if m.loadEndsAt == 0 || m.now < m.loadEndsAt || m.UnfinishedJobs() > 0 {
		return
	}
	m.Weights = m.loadingWeights
	m.loadEndsAt = 0
}

// AbortLoad abandons a load in progress; the current weights stay in use.
func (m *Model) AbortLoad() { m.loadEndsAt = 0 }

// ContendedLoadTime returns the time to load weights while count engines load at once from a store that serves
// fullSpeedLimit engines at full speed.
func ContendedLoadTime(uncontended time.Duration, count, fullSpeedLimit int) time.Duration {
	if count <= fullSpeedLimit {
		return uncontended
	}
	return time.Duration(float64(uncontended) * float64(count) / float64(fullSpeedLimit))
}

// CompleteLoad marks a load as done whose duration was not known in advance.
func (m *Model) CompleteLoad(now time.Duration) {
	m.now = max(m.now, now)
	if m.loadEndsAt > 0 {
		m.loadEndsAt = m.now
		m.finishLoad()
	}
}
