package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/lab/window"
	"kitetiller/internal/pushback"
)

// advertisedLimit is what an engine says of its limit in an answer.
func advertisedLimit(engine string, rate float64) EventPushback {
	return EventPushback{Name: engine, Incarnation: 1, Signals: pushback.Said{Limit: pushback.Limit{Named: true, Rate: rate}}}
}

// sendEvery lets requests come for so long, one each step, of which each ends at once, and returns when one was sent to an engine, by its name.
func (h *harness) sendEvery(step, length time.Duration, engines int) map[string][]time.Duration {
	sends := map[string][]time.Duration{}
	for end := h.now + length; h.now < end; {
		h.now += step
		for i := range engines {
			h.report(engineName(i), 1)
		}
		if sent, found := findAction[ActionDispatch](h.tick(EventRequest{promptRequest(int(h.now/time.Millisecond), 4)})); found {
			sends[sent.Backend] = append(sends[sent.Backend], h.now)
			h.tick(done(sent, 0))
		}
	}
	return sends
}

// An engine named in its answers how many requests a second it takes, and got all that came, 80 in 4 s where 17 are allowed: the router read no
// such word. The same cause as at the gateways, whose engines got 59 where 29 are allowed. It holds now since few routers, which all know without
// a word who they are, send to such an engine, each its part.
func TestAdvertisedLimitBindsRouter(t *testing.T) {
	const rate = 2.0
	h := newHarness(t, 2)
	h.tick(advertisedLimit(engineName(0), rate))
	sends := h.sendEvery(50*time.Millisecond, 10*time.Second, 2)
	if most, allowed := window.Fullest(sends[engineName(0)], 0), int(window.Allowed(rate)); most > allowed {
		t.Fatalf("%d requests in %v, allowed %d", most, window.Length, allowed)
	}
	if all := len(sends[engineName(0)]) + len(sends[engineName(1)]); all != 200 {
		t.Fatalf("%d of 200 were sent although another engine takes all", all)
	}
}

// TestRoutersShareANamedLimit: however many routers, whatever limits and however often it changes which of them there are, all together send no more
// in any window than the limit allows, and where more is asked and nothing changes most of it.
func TestRoutersShareANamedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 30).Draw(t, "limit")
		routerCount := rapid.IntRange(1, 40).Draw(t, "routers")
		var routers []*Core
		var rows []*backend
		for i := range routerCount {
			c := New(Config{Router: fmt.Sprint("r", i), Seed: uint64(i)})
			c.pushback.NoteLimit(0, backendIncarnation("e", 1), pushback.Limit{Named: true, Rate: limit})
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
				active = changed // the others have no session any more, and send nothing
				announcePeers()
			}
			for i, c := range routers[:active] {
				if c.now = now; c.rateLimitedFor(rows[i]) == 0 {
					c.takeRateToken(rows[i])
					sends = append(sends, now)
				}
			}
		}
		if most, allowed := window.Fullest(sends, 0), window.Allowed(limit); float64(most) > allowed {
			t.Fatalf("%d routers sent %d in %v, %.1f allowed", routerCount, most, window.Length, allowed)
		}
		if used := float64(len(sends)) / length.Seconds(); len(changes) == 0 && used < 0.8*limit-1/length.Seconds() {
			t.Fatalf("%.2f a second were sent of %.2f", used, limit)
		}
	})
}

// TestAdvertisedLimitEndsWithUnlimitedAnswer: with an answer that names none, to a request that was sent after the limit was heard; until then a service whose engines are
// all at their limits refuses at once, with a reason of its own.
func TestAdvertisedLimitEndsWithUnlimitedAnswer(t *testing.T) {
	h := newHarness(t, 1)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	h.advance(time.Millisecond, advertisedLimit(engineName(0), 0.5))
	h.tick(EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Echo: sent.Attempt, Kind: AttemptStarted}) // sent before
	if final := requireAction[ActionFinish](t, h.tick(EventRequest{promptRequest(2, 4)})); final.Reason != ReasonLimited || final.Run != RunNot || final.RetryAfter <= 0 {
		t.Fatalf("%+v", final)
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
