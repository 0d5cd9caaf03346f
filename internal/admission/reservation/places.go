package reservation

import "time"

// record is what is kept of a rejected request.
type record struct {
	priority   int
	use        *tenantUse
	tokens     float64
	at         time.Duration // of the place
	spans      []span        // of the place; nil if it has none
	lapsed     bool
	rejections int // in a row for others' places
	keptUntil  time.Duration
}

// hasPlace reports whether the place is outstanding.
func (r *record) hasPlace() bool { return r.spans != nil }

// placesAhead returns how much the places of others that are due soon add to the wait, in nanoseconds. A request that
// another scheduler rejected is not made to wait for places, since its own may have been lost with that scheduler.
func (c *Controller) placesAhead(now time.Duration, r Request, known *record) float64 {
	if known == nil && r.RejectedBefore || c.counts.Outstanding == 0 {
		return 0
	}
	rate := c.rate(now)
	due := c.calendar.due(now, now+r.limit(), r.Priority, bookedPart*rate*slotWidth.Seconds())
	if known != nil && known.hasPlace() {
		due = max(0, due-known.tokens) // its own place
	}
	return placeLoad * max(minTakenPart, 1-c.unused) * due / rate * float64(time.Second)
}

// reserve gives a rejected request a place, if there is one within the time that the caller waits. If not, retryAfter is
// the time at which the queue will be short.
func (c *Controller) reserve(now time.Duration, r Request, lvl *level, use *tenantUse, reason Reason) (retryAfter time.Duration, hasPlace bool) {
	expected := time.Duration(lvl.ratios.medianAt(now) * float64(r.Wait))
	delay := max(minPlaceDelay, expected-time.Duration(targetWait*float64(r.limit())))
	if r.Tenant != "" {
		delay = max(delay, lvl.shares.delay(now, use, c.servedPart(now)))
	}
	record := c.recordOf(now, r, use)
	if record != nil {
		if record.hasPlace() {
			c.endPlace(record)
		}
		if reason == ReasonPlaces {
			record.rejections++
		}
		// More urgent requests that arrive in the meantime leave the rest of the rate.
		capacity := bookedPart * c.rate(now) / c.stretch(now, r.Priority) * slotWidth.Seconds()
		latest := now + min(MaxLead, r.TimeLeft/leadDivisor-returnMargin)
		at, spans, booked := c.calendar.book(r.Key, now+delay, latest, r.Priority, float64(r.Tokens), capacity)
		if booked {
			record.at, record.spans, record.lapsed, record.keptUntil = at, spans, false, at+recordTTL
			record.tokens, record.priority, record.use = float64(r.Tokens), r.Priority, use
			use.reserved += record.tokens
			c.counts.Placed++
			c.counts.Outstanding++
			return at - now, true
		}
	}
	delay = max(delay, minRetryAfter)
	return min(delay+time.Duration(retryAfterJitter*r.Random*float64(delay)), maxRetryAfter), false
}

// queueTime returns the time until the queue of a request is short, without a place.
func (c *Controller) queueTime(now time.Duration, lvl *level, r Request) time.Duration {
	expected := time.Duration(lvl.ratios.medianAt(now)*float64(r.Wait)) - time.Duration(targetWait*float64(r.limit()))
	return min(max(expected, minRetryAfter), maxRetryAfter)
}

// recordOf returns the record of a rejected request, or nil if it cannot be recognized or there are too many.
func (c *Controller) recordOf(now time.Duration, r Request, use *tenantUse) *record {
	if r.Key == "" {
		return nil
	}
	found := c.records[r.Key]
	if found == nil {
		if len(c.records) >= maxRecords {
			c.counts.RecordsFull++
			return nil
		}
		if c.records == nil {
			c.records = map[string]*record{}
		}
		found = &record{use: use}
		c.records[r.Key] = found
	}
	found.keptUntil = now + recordTTL
	return found
}

// lapse ends a place that nobody took.
func (c *Controller) lapse(r *record) {
	c.endPlace(r)
	r.lapsed = true
	c.counts.Lapsed++
	c.unused += takenStep * (1 - c.unused)
}

// endPlace frees the place of a record.
func (c *Controller) endPlace(r *record) {
	c.calendar.release(r.spans, r.priority)
	r.spans = nil
	r.use.reserved = max(0, r.use.reserved-r.tokens)
	c.counts.Outstanding--
}
