// Package membership follows the back ends' lives as their state polls show them.
package membership

import "kitetiller/internal/core"

// Cursor remembers how far the cache events of one back end were read. The zero value starts at its first event.
type Cursor struct {
	next        uint64
	incarnation uint64
	weights     string
}

// Next returns the sequence from which events are wanted.
func (c *Cursor) Next() uint64 { return c.next }

// Advance moves the cursor past a report. The events of a report that shows another life, or other weights, belong
// to a sequence that was not asked for; they are dropped and the next poll starts from the first.
func (c *Cursor) Advance(report *core.BackendReport) {
	if report.Incarnation != c.incarnation || report.Weights != c.weights {
		*c = Cursor{incarnation: report.Incarnation, weights: report.Weights}
		report.Events, report.NextSequence = nil, 0
		return
	}
	c.next = max(c.next, report.NextSequence)
}
