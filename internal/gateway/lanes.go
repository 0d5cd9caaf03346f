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
	// longPromptTokens is how many prompt tokens an engine has to read for a request to count as long. While it reads them, the
	// streams that run there get their tokens late.
	longPromptTokens = 1500
	// demandDecayTime is how fast the measured demand of long and short requests is forgotten.
	demandDecayTime = 6 * time.Second
	// baseDemand is the demand, in prompt tokens, that both are taken to have from the start.
	baseDemand = 4000.0
	// minSlotDemand: a short request also keeps a slot while it generates; this many tokens of reading stand for that at least.
	// Where slots are few, the time that it keeps one of them counts as reading.
	minSlotDemand = 250.0
	// lanesOffUtilization is the share of a service's slots in use from which on there are no lanes: where slots are scarce, those that a
	// lane keeps free for one kind are missing to the other. Below it they count the less the more slots are in use, looked at each
	// roomEach.
	lanesOffUtilization = 0.5
	utilizationInterval = 50 * time.Millisecond
	// longOffLaneCost and shortAstray are what a request costs on an engine of the other lane, in milliseconds.
	longOffLaneCost  = 120.0
	shortOffLaneCost = 60.0
)

// lanes divides the engines of a service between long and short requests, in proportion to the demand that all gateways
// see alike, so that long prompts stay out of the short requests' way.
type lanes struct {
	long, short   float64 // decaying sums of demand, in prompt tokens
	at            time.Duration
	longFraction  float64        // of the engines that serve long requests, when they were divided last
	divided       []*endpoint    // as they were then
	members       [2][]*endpoint // of divided: those for short requests, and those for long ones
	utilization   float64        // share of the slots that are in use
	utilizationAt time.Duration  // when that was looked at
}

// measureUtilization looks how many of the slots are in use. Where slots are not known, none count as in use.
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

// weight is how much lanes count, from 0 to 1.
func (l *lanes) weight() float64 { return min(max(1-l.utilization/lanesOffUtilization, 0), 1) }

// recordDemand adds a send's demand; slotTime is the time that a request keeps a slot, as a part of an engine's time, in milliseconds.
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

// longDemandFraction returns the share of the engines for long requests.
func (l *lanes) longDemandFraction() float64 {
	return (l.long + baseDemand) / (l.long + l.short + 2*baseDemand)
}

// divide marks the engines of each zone for long requests: the first by hash, at least one of each kind where there are
// two or more. An engine changes sides only when the share has moved by more than half of one.
func (l *lanes) divide(rows []*endpoint) {
	share := l.longDemandFraction()
	moved := math.Abs(share-l.longFraction)*float64(len(rows)) > 0.5
	if !moved && slices.Equal(l.divided, rows) {
		return
	}
	if moved {
		l.longFraction = share
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

// of returns the engines for requests that read so many tokens, as they were divided last.
func (l *lanes) of(uncached int) []*endpoint {
	return l.members[laneIndex(uncached >= longPromptTokens)]
}

func laneIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// offLaneCost is what a request costs on an engine of the other lane, in milliseconds, where lanes are on.
func (g *Gateway) offLaneCost(e *endpoint, uncached int) float64 {
	if !g.on(mechanism.Lanes) {
		return 0
	}
	return g.table.lanesOf(e.entry.Service).weight() * e.fullOffLaneCost(uncached)
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
