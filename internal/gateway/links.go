package gateway

import "time"

// move is cached tokens on their way from one place to another, as the others are told of it.
type move struct {
	from string        // address of the engine or store whose link carries it, or "" of none
	time time.Duration // that it takes there
}

// links tells until when the link of each engine or store is taken to be busy with moves, by address: moves over one link
// run one after another, so a store that many engines ask keeps each waiting.
type links map[string]time.Duration

// wait is how long a move from an address would wait for its turn.
func (l links) wait(now time.Duration, address string) time.Duration {
	return max(0, l[address]-now)
}

// note adds a move.
func (l links) note(now time.Duration, m move) {
	if m.from != "" && m.time > 0 {
		l[m.from] = max(now, l[m.from]) + m.time
	}
}

// sweep forgets links that are free.
func (l links) sweep(now time.Duration) {
	for address, busyTo := range l {
		if busyTo < now {
			delete(l, address)
		}
	}
}

// milliseconds returns a time as the decision counts it.
func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// fromMilliseconds is the reverse.
func fromMilliseconds(t float64) time.Duration { return time.Duration(t * float64(time.Millisecond)) }
