package belief

import "time"

// peerLoadTTL is how long the load reported by another gateway counts. Every change is reported, and no request
// runs longer.
const peerLoadTTL = 12 * time.Second

// Load is the work running at one back end.
type Load struct {
	Running int // requests
	Tokens  int // memory used by their prompts
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Running: l.Running + other.Running, Tokens: l.Tokens + other.Tokens}
}

// Minus returns the difference of two loads.
func (l Load) Minus(other Load) Load {
	return Load{Running: l.Running - other.Running, Tokens: l.Tokens - other.Tokens}
}

// peerLoad is the load reported by another gateway, as of a time of this process's clock.
type peerLoad struct {
	Load
	at time.Duration
}

// Occupancy sums the load of all gateways at one back end. Gateways report absolute loads rather than differences,
// so that the next message corrects a lost one.
type Occupancy struct {
	Own       Load                // of requests of this gateway's clients
	Placed    Load                // of requests that this gateway placed for other gateways
	peers     map[string]peerLoad // by gateway
	peerTotal Load                // sum of peers
}

// Total returns the load of all gateways.
func (o *Occupancy) Total() Load { return o.Local().Plus(o.peerTotal) }

// Local returns the load that this gateway reports to the others.
func (o *Occupancy) Local() Load { return o.Own.Plus(o.Placed) }

// RecordPeer records the load of another gateway at a time. A message older than the newest known one is ignored.
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

// Sweep removes loads reported longer than peerLoadTTL ago.
func (o *Occupancy) Sweep(now time.Duration) {
	for from, l := range o.peers {
		if now-l.at > peerLoadTTL {
			o.peerTotal = o.peerTotal.Minus(l.Load)
			delete(o.peers, from)
		}
	}
}

const (
	// InitialMeanDuration is the mean duration of requests, in milliseconds, assumed before one has ended.
	// durationSmoothing is the weight of the newest sample.
	InitialMeanDuration = 1000.0
	durationSmoothing   = 0.05
)

// MeanDuration is the exponentially smoothed duration of requests at the back ends of a service, in milliseconds.
type MeanDuration float64

// Observe returns the mean updated by the duration of one request.
func (s MeanDuration) Observe(length time.Duration) MeanDuration {
	return s + durationSmoothing*(MeanDuration(length)/MeanDuration(time.Millisecond)-s)
}

// CapacityWait predicts how long a request with the given prompt tokens waits for a free slot or for memory, in
// milliseconds. It assumes that slots and memory are released evenly over the mean duration of requests.
func CapacityWait(load Load, slots, memory, tokens int, meanDuration MeanDuration) float64 {
	wait := 0.0
	if over := load.Running + 1 - slots; slots > 0 && over > 0 {
		wait = float64(meanDuration) * float64(over) / float64(slots)
	}
	if over := load.Tokens + tokens - memory; memory > 0 && over > 0 && load.Running > 0 {
		wait = max(wait, float64(meanDuration)*float64(over)/float64(memory))
	}
	return wait
}
