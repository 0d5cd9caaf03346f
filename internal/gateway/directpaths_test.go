package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/mechanism"
)

// TestPathSuspicion: paths are suspected after consecutive attempts without a byte at one back end, or while several back
// ends are silent and none sends anything; not for a single slow back end, nor on account of tunnels.
func TestPathSuspicion(t *testing.T) {
	const a, b, c = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
	start := time.Minute
	newAttempt := func(address, peer string, at time.Duration) *attempt {
		row := &endpoint{waiting: map[*attempt]time.Duration{}}
		row.entry.Address = address
		return &attempt{row: row, startedAt: at, conn: &connection{peer: peer}}
	}
	for _, test := range []struct {
		name    string
		prepare func(*table)
		want    bool
	}{
		{"nothing happened", func(*table) {}, false},
		{"one attempt without a byte", func(t *table) { t.recordUnanswered(start, newAttempt(a, "", start)) }, false},
		{"two of them", func(t *table) {
			t.recordUnanswered(start, newAttempt(a, "", start))
			t.recordUnanswered(start, newAttempt(a, "", start))
		}, true},
		{"a byte in between", func(t *table) {
			t.recordUnanswered(start, newAttempt(a, "", start))
			t.recordBytes(start, newAttempt(a, "", start))
			t.recordUnanswered(start, newAttempt(a, "", start))
		}, false},
		{"two of them long ago", func(t *table) {
			t.recordUnanswered(start-unansweredTTL-1, newAttempt(a, "", start))
			t.recordUnanswered(start-unansweredTTL-1, newAttempt(a, "", start))
		}, false},
		{"two through a tunnel", func(t *table) {
			t.recordUnanswered(start, newAttempt(a, "peer", start))
			t.recordUnanswered(start, newAttempt(a, "peer", start))
		}, false},
		{"two other back ends failed", func(t *table) {
			t.recordUnanswered(start, newAttempt(b, "", start))
			t.recordUnanswered(start, newAttempt(c, "", start))
		}, true},
		{"two other back ends are silent", func(t *table) {
			t.waiting[newAttempt(b, "", start-directSilence)] = struct{}{}
			t.waiting[newAttempt(c, "", start-directSilence)] = struct{}{}
		}, true},
		{"they are silent for a short time", func(t *table) {
			t.waiting[newAttempt(b, "", start-directSilence+1)] = struct{}{}
			t.waiting[newAttempt(c, "", start-directSilence+1)] = struct{}{}
		}, false},
		{"another one sends", func(t *table) {
			t.waiting[newAttempt(b, "", start-2*directSilence)] = struct{}{}
			t.waiting[newAttempt(c, "", start-2*directSilence)] = struct{}{}
			t.recordBytes(start-directSilence+1, newAttempt(a, "", start))
		}, false},
		{"a probe was answered since", func(t *table) {
			t.recordUnanswered(start, newAttempt(a, "", start))
			t.recordUnanswered(start, newAttempt(a, "", start))
			t.recordPathRestored(start, a)
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
