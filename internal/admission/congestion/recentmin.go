package congestion

import "time"

// recentMin is the least of the values added in the last one or two periods.
type recentMin struct {
	current, previous time.Duration // 0 without values
	ends              time.Duration // of the current period
}

func (r *recentMin) add(now, value, period time.Duration) {
	if now >= r.ends {
		r.previous, r.current = r.current, 0
		if now >= r.ends+period {
			r.previous = 0
		}
		r.ends = now + period
	}
	if r.current == 0 || value < r.current {
		r.current = max(1, value)
	}
}

// value returns the least value, or 0 without any.
func (r *recentMin) value() time.Duration {
	if r.previous > 0 && (r.current == 0 || r.previous < r.current) {
		return r.previous
	}
	return r.current
}
