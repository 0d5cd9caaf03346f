package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
)

const (
	// longPromptTokens is the number of prompt tokens to prefill from which a request counts as long. Its prefill
	// delays the tokens of the streams running at the engine.
	longPromptTokens = 1500
	// demandDecayTime is the time constant of the decaying demand of long and short requests.
	demandDecayTime = 6 * time.Second
	// baseDemand is the initial demand of each kind, in prompt tokens.
	baseDemand = 4000.0
	// minSlotDemand is the minimum demand, in prompt tokens, added to a short request for the slot it occupies while
	// it generates. If slots are few, its time in a slot counts instead.
	minSlotDemand = 250.0
	// lanesOffUtilization is the slot utilization from which on lanes are ignored, since slots that a lane keeps free
	// for one kind of request would be missing for the other. Below it their weight falls linearly. Utilization is
	// computed every utilizationInterval.
	lanesOffUtilization = 0.5
	utilizationInterval = 50 * time.Millisecond
	// longOffLaneCost and shortOffLaneCost are the costs of a request at an engine of the other lane, in
	// milliseconds.
	longOffLaneCost  = 120.0
	shortOffLaneCost = 60.0
)

// lanes divides the engines of a service between long and short requests in proportion to their demand, so that
// long prefills do not delay short requests. All gateways see about the same demand.
type lanes struct {
	long, short   float64 // decaying sums of demand, in prompt tokens
	at            time.Duration
	longFraction  float64        // fraction of the engines for long requests at the last division
	divided       []*endpoint    // engines at the last division
	members       [2][]*endpoint // engines of the short lane and of the long lane
	utilization   float64        // fraction of slots in use
	utilizationAt time.Duration  // when utilization was computed
	// strict lanes, of latency-critical services, keep apart prompts by their size rather than by what is uncached, and
	// have the full weight at every utilization. They are divided by the time that requests take of an engine: short
	// prompts may generate for seconds, so that slots run out long before prefills do.
	strict    bool
	durations [2]belief.MeanDuration // of requests of the short lane and of the long lane; 0 before one has ended
}

// duration returns the mean duration of requests of a lane.
func (l *lanes) duration(long bool) belief.MeanDuration {
	if known := l.durations[laneIndex(long)]; known > 0 {
		return known
	}
	return belief.InitialMeanDuration
}

// observeDuration records the duration of a request with a prompt of the given size.
func (l *lanes) observeDuration(promptTokens int, length time.Duration) {
	long := promptTokens >= longPromptTokens
	l.durations[laneIndex(long)] = l.duration(long).Observe(length)
}

// isLong reports whether a request with a prompt of the given size, of which some tokens are uncached, belongs to the long
// lane.
func (l *lanes) isLong(promptTokens, uncached int) bool {
	if l.strict {
		return promptTokens >= longPromptTokens
	}
	return uncached >= longPromptTokens
}

// measureUtilization computes the slot utilization; it is 0 if the slots are not known.
func (l *lanes) measureUtilization(now time.Duration, rows []*endpoint) {
	if now < l.utilizationAt+utilizationInterval && l.utilizationAt > 0 {
		return
	}
	running, slots := 0, 0
	for _, row := range rows {
		running += row.occupancy.Total().Running
		slots += row.entry.Slots
	}
	l.utilization, l.utilizationAt = 0, now
	if slots > 0 {
		l.utilization = float64(running) / float64(slots)
	}
}

// weight returns the factor applied to off-lane costs, from 0 to 1. Streams of latency-critical services pause during
// the prefills of long requests also while slots are scarce, so their lanes keep the full weight.
func (l *lanes) weight() float64 {
	if l.strict {
		return 1
	}
	return min(max(1-l.utilization/lanesOffUtilization, 0), 1)
}

// recordEngineTime adds the demand of a request of strict lanes: the time of its prefill, or its duration times the part
// of an engine's slots or memory that it takes if that is more, in milliseconds.
func (l *lanes) recordEngineTime(now time.Duration, long bool, prefillTime, heldTime float64) {
	l.decay(now)
	demand := max(prefillTime, heldTime) * belief.PrefillRate
	if long {
		l.long += demand
		return
	}
	l.short += demand
}

// recordDemand adds the demand of a request. slotTime is how long it occupies a slot, divided by the engine's slots, in
// milliseconds.
func (l *lanes) recordDemand(now time.Duration, uncached int, slotTime float64) {
	l.decay(now)
	if uncached >= longPromptTokens {
		l.long += float64(uncached)
		return
	}
	l.short += float64(uncached) + max(minSlotDemand, slotTime*belief.PrefillRate)
}

func (l *lanes) decay(now time.Duration) {
	if now <= l.at {
		return
	}
	factor := math.Exp(-float64(now-l.at) / float64(demandDecayTime))
	l.long, l.short, l.at = l.long*factor, l.short*factor, now
}

// longDemandFraction returns the fraction of the demand that is of long requests.
func (l *lanes) longDemandFraction() float64 {
	return (l.long + baseDemand) / (l.long + l.short + 2*baseDemand)
}

// divide assigns the engines of each zone, ordered by hash, to the long and short lanes, with at least one in each
// if the zone has two. It changes the fraction only by more than half an engine.
func (l *lanes) divide(rows []*endpoint) {
	fraction := l.longDemandFraction()
	moved := math.Abs(fraction-l.longFraction)*float64(len(rows)) > 0.5
	if !moved && slices.Equal(l.divided, rows) {
		return
	}
	if moved {
		l.longFraction = fraction
	}
	l.divided = rows
	zones := map[string][]*endpoint{}
	for _, row := range rows {
		zones[row.entry.Zone] = append(zones[row.entry.Zone], row)
	}
	l.members = [2][]*endpoint{}
	for _, members := range zones {
		slices.SortFunc(members, func(a, b *endpoint) int {
			return cmp.Compare(a.hash, b.hash)
		})
		count := int(math.Round(l.longFraction * float64(len(members))))
		count = min(max(count, 1), max(1, len(members)-1))
		for at, member := range members {
			member.longLane = at < count
			l.members[laneIndex(member.longLane)] = append(l.members[laneIndex(member.longLane)], member)
		}
	}
}

// of returns the engines for requests of a lane.
func (l *lanes) of(long bool) []*endpoint { return l.members[laneIndex(long)] }

func laneIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// offLaneCost returns the cost of a request at an engine of the other lane, in milliseconds, scaled by the weight
// of the service's lanes, or 0 if lanes are disabled.
func (g *Gateway) offLaneCost(e *endpoint, in *selectionInput, uncached int) float64 {
	if !g.enabled(mechanism.Lanes) {
		return 0
	}
	lanes := g.table.lanesOf(e.entry.Service)
	if lanes.strict {
		return strictLaneCost(e.longLane, in.promptTokens(), uncached, in.latencyTarget)
	}
	return lanes.weight() * e.fullOffLaneCost(uncached)
}

// strictLaneCost returns the cost of a request at an engine of the other lane of a latency-critical service. A long
// prefill delays all streams of a short lane, which costs as much as missing the objective once. A short stream in the long
// lane is late by a pause in one of four cases, less often if the engine has little to read, which costs half as much. A
// long prompt of which little is uncached delays nobody, and goes where its cached parts are.
func strictLaneCost(longLane bool, promptTokens, uncached int, objective time.Duration) float64 {
	long := promptTokens >= longPromptTokens
	switch {
	case long == longLane:
		return 0
	case !long:
		return max(shortOffLaneCost, belief.Milliseconds(objective)/2)
	case uncached < longPromptTokens:
		return shortOffLaneCost
	}
	return max(longOffLaneCost, belief.Milliseconds(objective))
}

func (e *endpoint) fullOffLaneCost(uncached int) float64 {
	switch {
	case uncached >= longPromptTokens && !e.longLane:
		return longOffLaneCost
	case uncached < longPromptTokens && e.longLane:
		return shortOffLaneCost
	}
	return 0
}
