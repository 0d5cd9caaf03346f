package streamcopy

import "strconv"

// Order follows the IDs of a stream's events, so that a continuation can be held to go on exactly where the stream broke
// off. IDs are increasing decimal numbers, either of events or of tokens; in both cases all events of a stream but the
// last are equally far apart, and the last one is no further.
type Order struct {
	eventTokens uint64
	started     bool   // last is set
	last        uint64 // ID of the latest event
	step        uint64 // greatest distance between two events; 0 if unknown
	unnumbered  bool   // an event had no decimal ID
}

// NewOrder returns the order of a stream whose events carry a number of tokens each, 0 if unknown. lastEvent is the ID
// of the event after which the caller asked the stream to begin, or "".
func NewOrder(eventTokens int, lastEvent string) Order {
	o := Order{eventTokens: uint64(max(0, eventTokens))}
	if lastEvent != "" {
		o.last, o.started = parseID(lastEvent)
		o.unnumbered = !o.started
	}
	return o
}

func parseID(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// Relayed records the ID of an event that was relayed.
func (o *Order) Relayed(id string) {
	number, ok := parseID(id)
	switch {
	case !ok || o.started && number <= o.last:
		o.unnumbered = true
		return
	case o.started:
		o.step = max(o.step, number-o.last)
	case number <= 1:
		o.step = 1 // events are numbered from 0 or 1 on
	case number == o.eventTokens:
		o.step = number // tokens are numbered
	}
	o.last, o.started = number, true
}

// Numbered reports whether all events had IDs that tell their order.
func (o *Order) Numbered() bool { return !o.unnumbered }

// Continues reports whether an event with an ID follows the latest one, with none missing in between. Where that can't
// be told it returns false, and the stream stays broken: if the distance of events is unknown, only the next number
// follows, and before the first event only 0 and 1.
func (o *Order) Continues(id string) bool {
	number, ok := parseID(id)
	switch {
	case !ok || o.unnumbered:
		return false
	case !o.started:
		return number <= 1
	case number <= o.last:
		return false
	}
	return number-o.last <= max(1, o.step)
}
