package reservation

import "time"

const (
	// slotWidth is the resolution of the calendar. At the rates of a scheduler's share of a fleet, a slot holds a few
	// prompts.
	slotWidth = 50 * time.Millisecond
	// slotCount is the length of the calendar: the window of the past places, and more than 5 s ahead, which is a
	// third of the longest usual deadline.
	slotCount = 128
	pastSlots = int64(Window/slotWidth) + 1
	// maxUrgentShare is the largest part of a slot that more urgent places take from the view of a less urgent
	// request, so that the least urgent one still gets places.
	maxUrgentShare = 0.85
	// minStartShare is the part of a slot that must be free for a place to start there.
	minStartShare = 0.1
	// maxSpread is how many times longer a place may take, from its start on, than with all the capacity that more urgent
	// places leave. One that starts in a small gap and gets most of its capacity much later is promised too early.
	maxSpread = 1.5
	// maxSlotPlaces bounds the places that start in one slot.
	maxSlotPlaces = 2048
)

// calendar holds the tokens of the outstanding places by time. A place takes the free capacity of consecutive slots from
// its time on, so that places never exceed the capacity that their priority had when they were given.
type calendar struct {
	first int64 // number of the earliest slot that is kept
	slots [slotCount]slot
}

type slot struct {
	tokens [Levels]float64 // of places of this priority or more urgent ones
	keys   []string        // of the places that start here
}

func slotAt(at time.Duration) int64 { return int64(at / slotWidth) }

func slotStart(number int64) time.Duration { return time.Duration(number) * slotWidth }

func (c *calendar) slot(number int64) *slot { return &c.slots[number%slotCount] }

// advance drops the slots whose window has ended, and passes the keys of the places that started there to lapse.
func (c *calendar) advance(now time.Duration, lapse func(key string)) {
	first := max(0, slotAt(now)-pastSlots)
	for number := c.first; number < min(first, c.first+slotCount); number++ {
		s := c.slot(number)
		for _, key := range s.keys {
			lapse(key)
		}
		clear(s.keys) // releases the strings
		*s = slot{keys: s.keys[:0]}
	}
	c.first = max(c.first, first)
}

// urgent returns the tokens of more urgent places that are not available to a priority. They are bounded.
func (s *slot) urgent(priority int, capacity float64) float64 {
	if priority == 0 {
		return 0
	}
	return min(s.tokens[priority-1], maxUrgentShare*capacity)
}

// taken returns the tokens of a slot that are not available to a priority.
func (s *slot) taken(priority int, capacity float64) float64 {
	if priority == 0 {
		return s.tokens[0]
	}
	return s.tokens[priority] - s.tokens[priority-1] + s.urgent(priority, capacity)
}

// due returns the tokens of the places that are due until a time, as the given priority sees them. A place whose time
// has passed counts in proportion to the rest of its window: most return near the start of the window.
func (c *calendar) due(now, until time.Duration, priority int, capacity float64) float64 {
	sum := 0.0
	current, last := slotAt(now), slotAt(until)
	for number := c.first; number <= min(last, c.first+slotCount-1); number++ {
		tokens := c.slot(number).taken(priority, capacity)
		if tokens <= 0 {
			continue
		}
		if number < current {
			tokens *= max(0, 1-float64(now-slotStart(number+1))/float64(Window))
		}
		sum += tokens
	}
	return sum
}

// span is the part of a place in one slot.
type span struct {
	slot   int64
	tokens float64
}

// book takes tokens for a place at the earliest time from earliest to latest, and returns that time.
func (c *calendar) book(key string, earliest, latest time.Duration, priority int, tokens, capacity float64) (at time.Duration, spans []span, booked bool) {
	for start := slotAt(earliest); start < c.first+slotCount && slotStart(start) <= latest; start++ {
		s := c.slot(start)
		free := capacity - s.taken(priority, capacity)
		if free < min(tokens, minStartShare*capacity) || len(s.keys) >= maxSlotPlaces {
			continue
		}
		at = max(earliest, slotStart(start)+time.Duration((1-free/capacity)*float64(slotWidth)))
		if at > latest {
			break
		}
		if spans = c.fit(start, priority, tokens, capacity); spans == nil {
			continue
		}
		c.add(spans, priority, 1)
		s.keys = append(s.keys, key)
		return at, spans, true
	}
	return 0, nil, false
}

// fit returns the free capacity from a slot on that adds up to the tokens, or nil if it is spread too far.
func (c *calendar) fit(start int64, priority int, tokens, capacity float64) (spans []span) {
	reach := maxSpread*tokens + 2*capacity // of what more urgent places leave
	for number := start; number < c.first+slotCount && tokens > 0 && reach > 0; number++ {
		s := c.slot(number)
		if free := min(tokens, capacity-s.taken(priority, capacity)); free > 0 {
			spans = append(spans, span{number, free})
			tokens -= free
		}
		reach -= capacity - s.urgent(priority, capacity)
	}
	if tokens > 0 {
		return nil
	}
	return spans
}

// release frees what is left of a place.
func (c *calendar) release(spans []span, priority int) { c.add(spans, priority, -1) }

func (c *calendar) add(spans []span, priority int, sign float64) {
	for _, part := range spans {
		if part.slot < c.first {
			continue
		}
		s := c.slot(part.slot)
		for level := priority; level < Levels; level++ {
			s.tokens[level] = max(0, s.tokens[level]+sign*part.tokens)
		}
	}
}
