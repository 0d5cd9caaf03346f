package gateway

import (
	"testing"
	"time"

	"kitetiller/internal/mechanism"
)

// TestReportsOfTwoGatewaysCount: one gateway that is cut off by itself turns nobody else away; a back end that has spoken
// since is not avoided, and the avoidance ends.
func TestReportsOfTwoGatewaysCount(t *testing.T) {
	const at = 10 * time.Second
	for name, c := range map[string]struct {
		prepare func(*endpoint)
		from    []string
		avoided bool
	}{
		"one reporter, however often": {func(*endpoint) {}, []string{"a", "a", "a"}, false},
		"two reporters":               {func(*endpoint) {}, []string{"a", "b"}, true},
		"one, and an own failure":     {func(e *endpoint) { e.failures = 1 }, []string{"a"}, true},
		"it has spoken since":         {func(e *endpoint) { e.lastByteAt = at + time.Second }, []string{"a", "b"}, false},
	} {
		e := &endpoint{}
		c.prepare(e)
		for i, from := range c.from {
			e.recordPeerReport(at+time.Duration(i)*time.Millisecond, from)
		}
		if got := e.avoidUntil > at; got != c.avoided {
			t.Errorf("%s: avoided %v, wanted %v", name, got, c.avoided)
		}
		if e.avoidUntil > at+2*peerReportAvoidance {
			t.Errorf("%s: avoided for %v", name, e.avoidUntil-at)
		}
	}
	old := &endpoint{}
	old.recordPeerReport(at, "a")
	old.recordPeerReport(at+2*peerReportWindow, "b")
	if old.avoidUntil != 0 {
		t.Error("reports far apart count together")
	}
}

// TestUnreachableIsToldOnce: while a back end is avoided, further failures are no news.
func TestUnreachableIsToldOnce(t *testing.T) {
	tb, e := newTable(mechanism.Set{}), &endpoint{}
	if news := tb.recordUnreachable(time.Second, e); !news {
		t.Fatal("the first failure is no news")
	}
	if news := tb.recordUnreachable(time.Second+unreachableAvoidance/2, e); news {
		t.Fatal("a failure while it is avoided is news")
	}
	if news := tb.recordUnreachable(time.Minute, e); !news {
		t.Fatal("a failure long after is no news")
	}
}
