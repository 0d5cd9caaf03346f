package slotqueue

import "time"

// BackEnd is a back end as known when a method is called.
type BackEnd struct {
	ID, Zone string
	Slots    int
	Eligible bool // it may get requests
	Avoided  bool // it gets requests only if every eligible back end is avoided
}

// backEnd is the state of a back end.
type backEnd struct {
	BackEnd
	running int
	// assumed slots were taken by others at assumedAt. Their number decreases to 0 over the mean work.
	assumed   int
	assumedAt time.Duration
	lastGrant uint64 // sequence number of the latest grant
	// rejectedAt is when the back end last rejected a granted request, and halvedUntil until when half of its slots count
	// as taken by another scheduler.
	rejectedAt, halvedUntil time.Duration
}

// SetBackEnds replaces the back ends. The requests running at one that is gone stay counted until they end. One with
// absurd slots is left as it was.
func (q *Queue) SetBackEnds(now time.Duration, current []BackEnd) []Answer {
	if q.updateBackEnds(current) {
		return q.Tick(now)
	}
	next := make([]*backEnd, 0, len(current))
	for _, b := range current {
		known := q.backEnd(b.ID)
		switch {
		case b.Slots < 0 || b.Slots > MaxSlots:
			q.stats.Invalid++
			if known == nil {
				continue
			}
			b.Slots = known.Slots
			known.BackEnd = b
		case known == nil:
			known = &backEnd{BackEnd: b}
			for _, r := range q.running {
				if r.backEnd == b.ID {
					known.running++
				}
			}
		default:
			known.BackEnd = b
		}
		next = append(next, known)
	}
	q.backEnds = next
	return q.Tick(now)
}

// updateBackEnds updates the back ends in place. It returns false, having changed nothing, if they are not the same ones
// in the same order or have invalid slots.
func (q *Queue) updateBackEnds(current []BackEnd) bool {
	if len(current) != len(q.backEnds) {
		return false
	}
	for i, b := range current {
		if b.ID != q.backEnds[i].ID || b.Slots < 0 || b.Slots > MaxSlots {
			return false
		}
	}
	for i, b := range current {
		q.backEnds[i].BackEnd = b
	}
	return true
}

// taken returns the slots of a back end that count as taken.
func (q *Queue) taken(now time.Duration, b *backEnd) int {
	taken := b.running + b.assumedNow(now, q.work)
	if now < max(q.startedAt+takeoverTime, b.halvedUntil) {
		taken += b.Slots / 2
	}
	return min(taken, max(b.Slots, b.running))
}

// assumedNow returns how many slots are still assumed to be taken by others.
func (b *backEnd) assumedNow(now, work time.Duration) int {
	left := work - (now - b.assumedAt)
	if b.assumed == 0 || left <= 0 {
		return 0
	}
	return int((int64(b.assumed)*int64(left) + int64(work) - 1) / int64(work))
}

func (q *Queue) backEnd(id string) *backEnd {
	for _, b := range q.backEnds {
		if b.ID == id {
			return b
		}
	}
	return nil
}
