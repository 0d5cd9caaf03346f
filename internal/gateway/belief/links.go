package belief

import "time"

// Transfer is a copy of cached tokens over the network, as announced to other gateways.
type Transfer struct {
	From string        // address of the engine or store whose link carries it, or ""
	Time time.Duration // duration of the transfer
}

// Links holds, by address, until when the link of each engine or store is estimated to be busy. Transfers over one
// link are assumed to run one after another.
type Links map[string]time.Duration

// Wait returns how long a transfer from an address would wait for its link.
func (l Links) Wait(now time.Duration, address string) time.Duration {
	return max(0, l[address]-now)
}

// Record adds a transfer to the link that carries it.
func (l Links) Record(now time.Duration, m Transfer) {
	if m.From != "" && m.Time > 0 {
		l[m.From] = max(now, l[m.From]) + m.Time
	}
}

// Sweep removes idle links.
func (l Links) Sweep(now time.Duration) {
	for address, busyUntil := range l {
		if busyUntil < now {
			delete(l, address)
		}
	}
}

// Milliseconds returns a duration in milliseconds, the unit of costs.
func Milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// FromMilliseconds returns a number of milliseconds as a duration.
func FromMilliseconds(t float64) time.Duration { return time.Duration(t * float64(time.Millisecond)) }
