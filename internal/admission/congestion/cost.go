package congestion

import "time"

// costSmoothing is the weight of the newest response in mean times.
const costSmoothing = 0.1

// ConnectionCost estimates by how much longer a request takes on a new connection to one service's back ends than on one that was
// used before.
type ConnectionCost struct {
	fresh, reused time.Duration // mean times until responses begin; 0 without any
}

// Record records the time until a response began.
func (c *ConnectionCost) Record(reused bool, took time.Duration) {
	mean := &c.fresh
	if reused {
		mean = &c.reused
	}
	if *mean == 0 {
		*mean = max(1, took)
	}
	*mean = max(1, *mean+time.Duration(costSmoothing*float64(took-*mean)))
}

// Reused returns the mean time until responses begin on connections that were used before, or 0.
func (c *ConnectionCost) Reused() time.Duration { return c.reused }

// Value returns the cost. As long as no connection was used again, a new one is taken to account for half of the time.
func (c *ConnectionCost) Value() time.Duration {
	if c.reused == 0 {
		return c.fresh / 2
	}
	return max(0, c.fresh-c.reused)
}
