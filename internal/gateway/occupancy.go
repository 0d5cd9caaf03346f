package gateway

import "time"

// toldCounts is how long what another gateway told of its requests counts; each change is told, and no request is longer.
const toldCounts = 12 * time.Second

// load is what runs at one back end.
type load struct {
	running int // requests
	tokens  int // memory that their prompts take
}

func (l load) plus(other load) load {
	return load{running: l.running + other.running, tokens: l.tokens + other.tokens}
}

func (l load) minus(other load) load {
	return load{running: l.running - other.running, tokens: l.tokens - other.tokens}
}

// toldLoad is what another gateway has running, as of a time of this process's clock.
type toldLoad struct {
	load
	at time.Duration
}

// occupancy adds up what all gateways have running at one back end. Each gateway tells whole figures, not differences, so
// that a lost message is made good by the next one.
type occupancy struct {
	own    load                // of this gateway's callers
	placed load                // that this gateway placed for others
	told   map[string]toldLoad // by gateway
	sum    load                // of told
}

// total is what all gateways have running.
func (o *occupancy) total() load { return o.here().plus(o.sum) }

// here is what this gateway has running or placed, as it tells others.
func (o *occupancy) here() load { return o.own.plus(o.placed) }

// note takes what a gateway had running at a time; messages may overtake each other, and an older one changes nothing.
func (o *occupancy) note(from string, at time.Duration, l load) {
	before := o.told[from]
	if at < before.at {
		return
	}
	if o.told == nil {
		o.told = map[string]toldLoad{}
	}
	o.told[from] = toldLoad{load: l, at: at}
	o.sum = o.sum.plus(l).minus(before.load)
}

// sweep forgets what was told long ago.
func (o *occupancy) sweep(now time.Duration) {
	for from, l := range o.told {
		if now-l.at > toldCounts {
			o.sum = o.sum.minus(l.load)
			delete(o.told, from)
		}
	}
}

const (
	// stayFirst is how long a request is taken to stay at an engine before any has ended, and staySmoothing weighs the
	// newest one.
	stayFirst     = 1000.0
	staySmoothing = 0.05
)

// stays is the smoothed time that requests stay at the back ends of a service, in milliseconds.
type stays float64

func (s stays) next(length time.Duration) stays {
	return s + staySmoothing*(stays(length)/stays(time.Millisecond)-s)
}

// crowding predicts how long a request of so many tokens waits for a slot, or for memory, in milliseconds. Slots and memory
// come free evenly over the time that requests stay.
func crowding(held load, slots, memory, tokens int, stay stays) float64 {
	wait := 0.0
	if over := held.running + 1 - slots; slots > 0 && over > 0 {
		wait = float64(stay) * float64(over) / float64(slots)
	}
	if over := held.tokens + tokens - memory; memory > 0 && over > 0 && held.running > 0 {
		wait = max(wait, float64(stay)*float64(over)/float64(memory))
	}
	return wait
}
