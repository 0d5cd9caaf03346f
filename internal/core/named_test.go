package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/lab/window"
	"kitetiller/internal/pushback"
)

// advertisedLimit returns the event of an answer in which an engine advertises its rate limit.
func advertisedLimit(engine string, rate float64) EventPushback {
	return EventPushback{Name: engine, Incarnation: 1, Signals: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: rate}}}
}

// sendEvery sends a request every step for the given length, each of which completes at once, and returns the dispatch
// times by engine.
func (h *harness) sendEvery(step, length time.Duration, engines int) map[string][]time.Duration {
	sends := map[string][]time.Duration{}
	for end := h.now + length; h.now < end; {
		h.now += step
		for i := range engines {
			h.report(engineName(i), 1)
		}
		if sent, found := findAction[ActionDispatch](h.tick(EventRequest{promptRequest(int(h.now/time.Millisecond), 4)})); found {
			sends[sent.Backend] = append(sends[sent.Backend], h.now)
			h.tick(doneEvent(sent, 0))
		}
	}
	return sends
}

// TestAdvertisedLimitBindsRouter: a router must not exceed the rate limit that an engine advertises, and must use other
// engines instead.
func TestAdvertisedLimitBindsRouter(t *testing.T) {
	const rate = 2.0
	h := newHarness(t, 2)
	h.tick(advertisedLimit(engineName(0), rate))
	sends := h.sendEvery(50*time.Millisecond, 10*time.Second, 2)
	if most, allowed := window.MaxCount(sends[engineName(0)], 0), int(window.Allowed(rate)); most > allowed {
		t.Fatalf("%d requests within %v, want at most %d", most, window.Length, allowed)
	}
	if all := len(sends[engineName(0)]) + len(sends[engineName(1)]); all != 200 {
		t.Fatalf("%d of 200 requests were dispatched, want all: the other engine has no limit", all)
	}
}

// TestRoutersShareANamedLimit: for any limit, number of routers and sequence of membership changes, all routers
// together stay within the limit in every window. Without changes they use most of it.
func TestRoutersShareANamedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 30).Draw(t, "limit")
		routerCount := rapid.IntRange(1, 40).Draw(t, "routers")
		var routers []*Core
		var rows []*backend
		for i := range routerCount {
			c := New(Config{Router: fmt.Sprint("r", i), Seed: uint64(i)})
			c.pushback.ObserveLimit(0, backendIncarnation("e", 1), pushback.Limit{Advertised: true, Rate: limit})
			routers = append(routers, c)
			rows = append(rows, &backend{machine: Machine{Name: "e"}, incarnation: 1})
		}
		active := routerCount
		announcePeers := func() {
			for _, c := range routers[:active] {
				update := EventPeerRouters{}
				for _, other := range routers[:active] {
					if other != c {
						update.Names = append(update.Names, other.config.Router)
					}
				}
				c.observePeerRouters(update)
			}
		}
		announcePeers()
		const step, length = 20 * time.Millisecond, 20 * time.Second
		changes := map[time.Duration]int{}
		for range rapid.IntRange(0, 10).Draw(t, "changes") {
			at := time.Duration(rapid.IntRange(1, int(length/step)).Draw(t, "at")) * step
			changes[at] = rapid.IntRange(1, routerCount).Draw(t, "there")
		}
		var sends []time.Duration
		for now := step; now <= length; now += step {
			if changed, found := changes[now]; found {
				active = changed // the others lost their sessions and send nothing
				announcePeers()
			}
			for i, c := range routers[:active] {
				if c.now = now; c.rateLimitedFor(rows[i]) == 0 {
					c.takeRateToken(rows[i])
					sends = append(sends, now)
				}
			}
		}
		if most, allowed := window.MaxCount(sends, 0), window.Allowed(limit); float64(most) > allowed {
			t.Fatalf("%d routers sent %d requests within %v, want at most %.1f", routerCount, most, window.Length, allowed)
		}
		if used := float64(len(sends)) / length.Seconds(); len(changes) == 0 && used < 0.8*limit-1/length.Seconds() {
			t.Fatalf("%.2f requests/s sent, limit %.2f", used, limit)
		}
	})
}

// TestAdvertisedLimitEndsWithUnlimitedAnswer: only an answer to a request that was sent after the limit was received
// ends the limit. Until then the service refuses requests with ReasonLimited.
func TestAdvertisedLimitEndsWithUnlimitedAnswer(t *testing.T) {
	h := newHarness(t, 1)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	h.advance(time.Millisecond, advertisedLimit(engineName(0), 0.5))
	h.tick(EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Echo: sent.Attempt, Kind: AttemptStarted}) // sent before the limit
	if final := requireAction[ActionFinish](t, h.tick(EventRequest{promptRequest(2, 4)})); final.Reason != ReasonLimited || final.Run != RunNot || final.RetryAfter <= 0 {
		t.Fatalf("unexpected final answer: %+v", final)
	}
	for range 6 {
		h.advance(400 * time.Millisecond)
		h.report(engineName(0), 1)
	}
	sent = requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(3, 4)}))
	h.advance(time.Millisecond, EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Echo: sent.Attempt, Kind: AttemptStarted})
	for id := range 6 {
		requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(10+id, 4)}))
	}
}
