package belief

import "time"

// Transfer is cached tokens on their way from one place to another, as the others are told of it.
type Transfer struct {
	From string        // address of the engine or store whose link carries it, or "" of none
	Time time.Duration // that it takes there
}

// Links tells until when the link of each engine or store is taken to be busy with moves, by address: moves over one link
// run one after another, so a store that many engines ask keeps each waiting.
type Links map[string]time.Duration

// Wait is how long a move from an address would wait for its turn.
func (l Links) Wait(now time.Duration, address string) time.Duration {
	return max(0, l[address]-now)
}

// Record adds a move.
func (l Links) Record(now time.Duration, m Transfer) {
	if m.From != "" && m.Time > 0 {
		l[m.From] = max(now, l[m.From]) + m.Time
	}
}

// sweep forgets links that are free.
func (l Links) Sweep(now time.Duration) {
	for address, busyTo := range l {
		if busyTo < now {
			delete(l, address)
		}
	}
}

// Milliseconds returns a time as the decision counts it.
func Milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// FromMilliseconds is the reverse.
func FromMilliseconds(t float64) time.Duration { return time.Duration(t * float64(time.Millisecond)) }
