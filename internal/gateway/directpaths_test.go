package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/mechanism"
)

// TestPathSuspicion: the path to a back end is suspected after consecutive attempts there without a byte; not for a single one, nor on
// account of other back ends.
func TestPathSuspicion(t *testing.T) {
	const a, b, c = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
	start := time.Minute
	newAttempt := func(address string) *attempt {
		row := &endpoint{waiting: map[*attempt]time.Duration{}}
		row.entry.Address = address
		return &attempt{row: row, startedAt: start, conn: &connection{}}
	}
	for _, test := range []struct {
		name    string
		prepare func(*table)
		want    bool
	}{
		{"nothing happened", func(*table) {}, false},
		{"one attempt without a byte", func(t *table) { t.recordUnanswered(start, a) }, false},
		{"two of them", func(t *table) {
			t.recordUnanswered(start, a)
			t.recordUnanswered(start, a)
		}, true},
		{"a byte in between", func(t *table) {
			t.recordUnanswered(start, a)
			t.recordBytes(start, newAttempt(a))
			t.recordUnanswered(start, a)
		}, false},
		{"two of them long ago", func(t *table) {
			t.recordUnanswered(start-unansweredTTL-1, a)
			t.recordUnanswered(start-unansweredTTL-1, a)
		}, false},
		{"two other back ends failed", func(t *table) {
			t.recordUnanswered(start, b)
			t.recordUnanswered(start, c)
		}, false},
		{"a probe was answered since", func(t *table) {
			t.recordUnanswered(start, a)
			t.recordUnanswered(start, a)
			t.recordPathRestored(a)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(mechanism.Set{})
			test.prepare(table)
			if got := table.pathSuspected(start, a); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// TestAttemptsThroughPeersDontMakeThePathSuspected: what a peer's tunnel shows tells nothing of the direct path.
func TestAttemptsThroughPeersDontMakeThePathSuspected(t *testing.T) {
	g := newScheduler(2)
	row := g.table.rows["i-0"]
	for range 2 * maxUnanswered {
		a := attemptAt(g, row)
		a.conn = &connection{peer: "10.0.1.1:1"}
		a.recordUnanswered()
	}
	if g.table.pathSuspected(g.now(), row.entry.Address) {
		t.Error("the direct path is suspected")
	}
}
