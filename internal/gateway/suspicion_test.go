package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/mechanism"
)

// TestPeerReports tests that reports of one gateway alone do not make a back end avoided, that bytes received since the
// report prevent avoidance, and that avoidance is bounded.
func TestPeerReports(t *testing.T) {
	const at = 10 * time.Second
	for name, c := range map[string]struct {
		prepare func(*endpoint)
		from    []string
		avoided bool
	}{
		"one reporter, however often":      {func(*endpoint) {}, []string{"a", "a", "a"}, false},
		"two reporters":                    {func(*endpoint) {}, []string{"a", "b"}, true},
		"one reporter and a local failure": {func(e *endpoint) { e.failures = 1 }, []string{"a"}, true},
		"bytes received since":             {func(e *endpoint) { e.lastByteAt = at + time.Second }, []string{"a", "b"}, false},
	} {
		e := &endpoint{}
		c.prepare(e)
		for i, from := range c.from {
			e.recordPeerReport(at+time.Duration(i)*time.Millisecond, from)
		}
		if got := e.avoidUntil > at; got != c.avoided {
			t.Errorf("%s: avoided %v, want %v", name, got, c.avoided)
		}
		if e.avoidUntil > at+2*peerReportAvoidance {
			t.Errorf("%s: avoided for %v", name, e.avoidUntil-at)
		}
	}
	old := &endpoint{}
	old.recordPeerReport(at, "a")
	old.recordPeerReport(at+2*peerReportWindow, "b")
	if old.avoidUntil != 0 {
		t.Error("back end avoided after two reports further apart than peerReportWindow")
	}
}

// TestUnreachableIsReportedOnce tests that failures of a back end that is avoided already are not to be reported to
// other gateways.
func TestUnreachableIsReportedOnce(t *testing.T) {
	tb, e := newTable(mechanism.Set{}), &endpoint{}
	if newlyAvoided := tb.recordUnreachable(time.Second, e); !newlyAvoided {
		t.Fatal("the first failure is not reported")
	}
	if newlyAvoided := tb.recordUnreachable(time.Second+unreachableAvoidance/2, e); newlyAvoided {
		t.Fatal("a failure of an avoided back end is reported")
	}
	if newlyAvoided := tb.recordUnreachable(time.Minute, e); !newlyAvoided {
		t.Fatal("a failure after the avoidance is not reported")
	}
}
