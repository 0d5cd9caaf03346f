// Package membership tracks the incarnations of backends by their state polls.
package membership

import "kitetiller/internal/core"

// Cursor is the read position in the cache events of a backend. The zero value starts at the first event.
type Cursor struct {
	next        uint64
	incarnation uint64
	weights     string
}

// Next returns the sequence number of the next event to request.
func (c *Cursor) Next() uint64 { return c.next }

// Advance moves the cursor past a report. If the report is of another incarnation or of other weights, its events
// belong to a different sequence: they are dropped, and the next poll starts at the first event.
func (c *Cursor) Advance(report *core.BackendReport) {
	if report.Incarnation != c.incarnation || report.Weights != c.weights {
		*c = Cursor{incarnation: report.Incarnation, weights: report.Weights}
		report.Events, report.NextSequence = nil, 0
		return
	}
	c.next = max(c.next, report.NextSequence)
}
