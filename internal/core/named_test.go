package core

import (
	"testing"
	"time"

	"kitetiller/internal/pushback"
)

const (
	// namedWindow, namedFactor and namedSlack are how a limit that a back end names is judged: in any window so many times what it allows, and
	// so many more.
	namedWindow = 4 * time.Second
	namedFactor = 1.5
	namedSlack  = 5
)

// named is what an engine says of its limit in an answer.
func named(engine string, rate float64) EventSaid {
	return EventSaid{Name: engine, Incarnation: 1, Said: pushback.Said{Limit: pushback.Limit{Named: true, Rate: rate}}}
}

// askEach lets requests come for so long, one each step, of which each ends at once, and returns when one was sent to an engine, by its name.
func (h *harness) askEach(step, length time.Duration, engines int) map[string][]time.Duration {
	sends := map[string][]time.Duration{}
	for end := h.now + length; h.now < end; {
		h.now += step
		for i := range engines {
			h.report(engineName(i), 1)
		}
		if sent, found := find[ActionDispatch](h.tick(EventRequest{prompt(int(h.now/time.Millisecond), 4)})); found {
			sends[sent.Backend] = append(sends[sent.Backend], h.now)
			h.tick(done(sent, 0))
		}
	}
	return sends
}

// fullest returns how many sends the fullest window holds.
func fullest(sends []time.Duration) (most int) {
	for i, end := range sends {
		count := 0
		for _, at := range sends[:i+1] {
			if at > end-namedWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// An engine named in its answers how many requests a second it takes, and got all that came: the router reads no such word. The same cause as
// at the gateways, whose engines got 59 requests in 4 s where 29 are allowed.
func TestNamedLimitBindsTheRouter(t *testing.T) {
	const rate = 2.0
	h := newHarness(t, 2)
	h.tick(named(engineName(0), rate))
	sends := h.askEach(50*time.Millisecond, 10*time.Second, 2)
	if most, allowed := fullest(sends[engineName(0)]), int(namedFactor*rate*namedWindow.Seconds()+namedSlack); most > allowed {
		t.Fatalf("%d requests in %v, allowed %d", most, namedWindow, allowed)
	}
	if all := len(sends[engineName(0)]) + len(sends[engineName(1)]); all != 200 {
		t.Fatalf("%d of 200 were sent although another engine takes all", all)
	}
}
