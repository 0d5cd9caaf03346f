package reservation

import "time"

// Request is a request with a chosen placement.
type Request struct {
	Key       string        // identifies the request when it returns; "" if it cannot be recognized
	Tenant    string        // "" if unknown: requests of all tenants from builds that don't name them
	Priority  int           // 0 is the most urgent
	Wait      time.Duration // forecast wait at its priority until its prompt is read
	Reading   time.Duration // forecast time to read its prompt; 0 if unknown
	Objective time.Duration // for the first event; 0 never rejects the request
	TimeLeft  time.Duration // until its deadline; 0 if unknown
	Tokens    int           // to prefill
	Random    float64       // uniform in [0, 1)
	// RejectedBefore is set if another scheduler rejected the request before.
	RejectedBefore bool
}

// Reason is why a request was rejected.
type Reason string

// Reasons of rejections.
const (
	ReasonQueue    Reason = "queue"    // the forecast wait
	ReasonPlaces   Reason = "places"   // the places of others, in addition to the wait
	ReasonShare    Reason = "share"    // its tenant has more than its fair share
	ReasonEarly    Reason = "early"    // it returned before its time
	ReasonDeadline Reason = "deadline" // it has a place, but no engine can start it before its deadline
)

// Known reports whether the reason is one of those above.
func (r Reason) Known() bool {
	return r == ReasonQueue || r == ReasonPlaces || r == ReasonShare || r == ReasonEarly || r == ReasonDeadline
}

// Return is what a request that was rejected before has when it returns.
type Return string

// Kinds of returning requests.
const (
	ReturnNone    Return = ""         // not known to have been rejected before
	ReturnInTime  Return = "place"    // within the window of its place
	ReturnEarly   Return = "early"    // before its place
	ReturnLate    Return = "lapsed"   // after the window of its place
	ReturnUnknown Return = "no-place" // rejected before without a place, or by another scheduler
)

// Known reports whether the kind is one of those above.
func (r Return) Known() bool {
	return r == ReturnNone || r == ReturnInTime || r == ReturnEarly || r == ReturnLate || r == ReturnUnknown
}

// Decision is the decision on a request.
type Decision struct {
	Rejected   bool
	RetryAfter time.Duration // if rejected
	Reason     Reason        // if rejected
	HasPlace   bool          // if rejected: RetryAfter is the time of a place
	Return     Return
}

// Counts are totals since the start.
type Counts struct {
	Admitted, Rejected    uint64 // decisions on requests with an objective
	ByReason              map[Reason]uint64
	ByReturn              map[Return]uint64 // returning requests
	Placed, Taken, Lapsed uint64            // places
	Invalid               uint64            // values that were clamped or dropped
	RecordsFull           uint64            // rejections without a record
	Outstanding           int               // current places
}

// returnKind returns what a request has that may have been rejected before.
func returnKind(now time.Duration, known *record, rejectedBefore bool) Return {
	switch {
	case known == nil && rejectedBefore:
		return ReturnUnknown
	case known == nil:
		return ReturnNone
	case known.hasPlace() && now < known.at-earlyTolerance:
		return ReturnEarly
	case known.hasPlace() && now < known.at+Window:
		return ReturnInTime
	case known.hasPlace() || known.lapsed:
		return ReturnLate
	}
	return ReturnUnknown
}

// limit returns the longest wait with which the request is on time.
func (r *Request) limit() time.Duration {
	return max(r.Objective-r.Reading, time.Duration(minLimit*float64(r.Objective)))
}

// sanitize clamps values that are out of range, and counts them.
func (c *Controller) sanitize(r Request) Request {
	clampTime := func(value *time.Duration) {
		if c.countInvalid(*value < 0 || *value > maxDuration) {
			*value = min(max(*value, 0), maxDuration)
		}
	}
	clampTime(&r.Wait)
	clampTime(&r.Reading)
	clampTime(&r.Objective)
	clampTime(&r.TimeLeft)
	if r.TimeLeft == 0 {
		r.TimeLeft = maxDuration // unknown
	}
	if c.countInvalid(r.Priority < 0 || r.Priority >= Levels) {
		r.Priority = min(max(r.Priority, 0), Levels-1)
	}
	if c.countInvalid(r.Tokens < 0 || r.Tokens > maxTokens) {
		r.Tokens = min(max(r.Tokens, 0), maxTokens)
	}
	r.Tokens = max(r.Tokens, 1)
	if c.countInvalid(len(r.Key) > maxKeyLength) {
		r.Key = ""
	}
	if c.countInvalid(len(r.Tenant) > maxKeyLength) {
		r.Tenant = ""
	}
	if c.countInvalid(!(r.Random >= 0 && r.Random < 1)) { // also true for NaN
		r.Random = 0
	}
	return r
}
