package gateway

import (
	"context"
	"net"
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

// Guards against avoiding a healthy back end because the caller left while the connection to it was made. A back end
// that refuses the connection is avoided.
func TestCanceledConnectDoesNotAvoidBackEnd(t *testing.T) {
	for name, c := range map[string]struct{ canceled, avoided bool }{"caller left": {true, false}, "refused": {false, true}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g := newScheduler(1)
		row := g.table.rows["i-0"]
		row.entry.Address = listener.Addr().String()
		a := attemptAt(g, row)
		if c.canceled {
			a.cancel(context.Canceled)
		} else {
			_ = listener.Close()
		}
		if got := a.perform(); got.kind != resultUnreachable || a.unreachable != c.avoided {
			t.Errorf("%s: result %+v, reported as unreachable: %v", name, got, a.unreachable)
		}
		if newlyAvoided := g.table.recordUnreachable(g.now(), row); newlyAvoided == c.avoided {
			t.Errorf("%s: back end avoided: %v", name, !newlyAvoided)
		}
		_ = listener.Close()
	}
}
