package belief

import "time"

// peerLoadTTL is how long what another gateway told of its requests counts; each change is told, and no request is longer.
const peerLoadTTL = 12 * time.Second

// Load is what runs at one back end.
type Load struct {
	Running int // requests
	Tokens  int // memory that their prompts take
}

// Plus adds loads.
func (l Load) Plus(other Load) Load {
	return Load{Running: l.Running + other.Running, Tokens: l.Tokens + other.Tokens}
}

// Minus takes a load off.
func (l Load) Minus(other Load) Load {
	return Load{Running: l.Running - other.Running, Tokens: l.Tokens - other.Tokens}
}

// peerLoad is what another gateway has running, as of a time of this process's clock.
type peerLoad struct {
	Load
	at time.Duration
}

// Occupancy adds up what all gateways have running at one back end. Each gateway tells whole figures, not differences, so
// that a lost message is made good by the next one.
type Occupancy struct {
	Own       Load                // of this gateway's callers
	Placed    Load                // that this gateway placed for others
	peers     map[string]peerLoad // by gateway
	peerTotal Load                // of told
}

// Total is what all gateways have running.
func (o *Occupancy) Total() Load { return o.Local().Plus(o.peerTotal) }

// Local is what this gateway has running or placed, as it tells others.
func (o *Occupancy) Local() Load { return o.Own.Plus(o.Placed) }

// RecordPeer takes what a gateway had running at a time; messages may overtake each other, and an older one changes nothing.
func (o *Occupancy) RecordPeer(from string, at time.Duration, l Load) {
	before := o.peers[from]
	if at < before.at {
		return
	}
	if o.peers == nil {
		o.peers = map[string]peerLoad{}
	}
	o.peers[from] = peerLoad{Load: l, at: at}
	o.peerTotal = o.peerTotal.Plus(l).Minus(before.Load)
}

// Sweep forgets what was told long ago.
func (o *Occupancy) Sweep(now time.Duration) {
	for from, l := range o.peers {
		if now-l.at > peerLoadTTL {
			o.peerTotal = o.peerTotal.Minus(l.Load)
			delete(o.peers, from)
		}
	}
}

const (
	// InitialMeanDuration is how long a request is taken to stay at an engine before any has ended, and staySmoothing weighs the
	// newest one.
	InitialMeanDuration = 1000.0
	durationSmoothing   = 0.05
)

// MeanDuration is the smoothed time that requests stay at the back ends of a service, in milliseconds.
type MeanDuration float64

// Observe takes the stay of one more request.
func (s MeanDuration) Observe(length time.Duration) MeanDuration {
	return s + durationSmoothing*(MeanDuration(length)/MeanDuration(time.Millisecond)-s)
}

// CapacityWait predicts how long a request of so many tokens waits for a slot, or for memory, in milliseconds. Slots and memory
// come free evenly over the time that requests stay.
func CapacityWait(held Load, slots, memory, tokens int, stay MeanDuration) float64 {
	wait := 0.0
	if over := held.Running + 1 - slots; slots > 0 && over > 0 {
		wait = float64(stay) * float64(over) / float64(slots)
	}
	if over := held.Tokens + tokens - memory; memory > 0 && over > 0 && held.Running > 0 {
		wait = max(wait, float64(stay)*float64(over)/float64(memory))
	}
	return wait
}
