package gateway

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
)

// setPrefillBusy makes every engine busy with prefills for a duration.
func setPrefillBusy(g *Gateway, now, length time.Duration) {
	for _, row := range g.table.rows {
		row.prefillBusyUntil = now + length
	}
}

// newObjectiveRequest returns a placement request for a route with a latency objective.
func newObjectiveRequest(placementID string, first bool) *wirePlacementRequest {
	asked := newPlacementRequest(placementID, 1)
	asked.FirstAttempt, asked.Priority, asked.LatencyTargetMS = first, 1, 800
	return asked
}

// TestAdmissionByPredictedWait tests that a request whose predicted wait is too long is rejected with a retry time and
// adds no load. Requests that were sent once, have no objective, or find idle engines are placed.
func TestAdmissionByPredictedWait(t *testing.T) {
	g := newScheduler(4)
	now := time.Second
	if got := g.placeForPeer(now, newObjectiveRequest("free", true)); got.Instance == "" || got.RetryAfterMS > 0 {
		t.Fatalf("idle engines: %+v", got)
	}
	setPrefillBusy(g, now, 3*time.Second)
	got := g.placeForPeer(now, newObjectiveRequest("new", true))
	if got.RetryAfterMS < 1000 {
		t.Fatalf("three seconds of prefills queued: %+v, want a rejection", got)
	}
	for id, row := range g.table.rows {
		if n := row.occupancy.Placed.Running; n > 1 || n == 1 && g.table.placed["free"].row != row {
			t.Fatalf("%d requests in the load of %s", n, id)
		}
	}
	if got := g.placeForPeer(now, newObjectiveRequest("repeat", false)); got.RetryAfterMS > 0 {
		t.Fatalf("retried request: %+v", got)
	}
	if got := g.placeForPeer(now, newPlacementRequest("no objective", 1)); got.RetryAfterMS > 0 {
		t.Fatalf("request without an objective: %+v", got)
	}
	g.settings.Mechanisms, _ = mechanism.Without(string(mechanism.EarlyRejection))
	if got := g.placeForPeer(now, newObjectiveRequest("off", true)); got.RetryAfterMS > 0 {
		t.Fatalf("mechanism disabled: %+v", got)
	}
}

// TestAdmissionIgnoresOwnPrefill tests that a long prompt is not rejected for its own prefill time, but only for the
// queue before it.
func TestAdmissionIgnoresOwnPrefill(t *testing.T) {
	g := newScheduler(2)
	asked := newObjectiveRequest("long", true)
	asked.PartTokens[2], asked.PromptTokens = 60_000, 66_300 // over 1.5 s of prefill
	if got := g.placeForPeer(time.Second, asked); got.RetryAfterMS > 0 {
		t.Fatalf("long prompt at idle engines: %+v", got)
	}
}

// TestAdmissionLearnsWaitByPriority tests that the queue is no reason to reject urgent requests once reported waits
// show that engines schedule them first.
func TestAdmissionLearnsWaitByPriority(t *testing.T) {
	g := newScheduler(4)
	now := time.Second
	setPrefillBusy(g, now, time.Hour)
	for i := range 400 {
		placementID := fmt.Sprint("t", i)
		made := placement{row: g.table.rows["i-0"], load: belief.Load{Running: 1}, expiresAt: now + time.Second, queueWait: 1500}
		g.table.addPlacement(now, placementID, made)
		g.table.observeQueueWait("s", 0, made.queueWait, 0, 50*time.Millisecond, 0)
		g.table.observeQueueWait("s", 1, made.queueWait, 0, 1500*time.Millisecond, 0)
	}
	setPrefillBusy(g, now, 1500*time.Millisecond)
	urgent := newObjectiveRequest("urgent", true)
	urgent.Priority = 0
	if got := g.placeForPeer(now, urgent); got.RetryAfterMS > 0 {
		t.Fatalf("urgent request: %+v", got)
	}
	if got := g.placeForPeer(now, newObjectiveRequest("other", true)); got.RetryAfterMS == 0 {
		t.Fatalf("other request: %+v, want a rejection", got)
	}
}

// TestSchedulerRejection tests that a scheduler's rejection becomes a candidate with a retry time, so that the gateway
// does not place the request itself.
func TestSchedulerRejection(t *testing.T) {
	g := newScheduler(2)
	chosen := g.candidateFromReply(&wirePlacementReply{Instance: "i-0", WaitMS: 3000, RetryAfterMS: 1200}, schedulerPlacement{}, selectionInput{})
	if chosen == nil || chosen.retryAfter != 1200*time.Millisecond {
		t.Fatalf("candidate %+v, want one with a retry time of 1.2s", chosen)
	}
}

// TestRetryIsKnownToPeers tests that a request which another gateway rejected is accepted before new ones.
func TestRetryIsKnownToPeers(t *testing.T) {
	countPlaced := func(refusalKnown bool) (placed int) {
		for range 200 {
			g, now := newScheduler(4), time.Second
			if refusalKnown {
				g.table.applySends(now, []announcement{announcement{Gateway: "other", Instance: "i-0", RejectedRequest: "back"}.toWire(0).announcement()})
			}
			setPrefillBusy(g, now, 720*time.Millisecond) // 0.9 of the objective
			if got := g.placeForPeer(now, newObjectiveRequest("back", true)); got.RetryAfterMS == 0 {
				placed++
			}
		}
		return placed
	}
	if known, unknown := countPlaced(true), countPlaced(false); known != 200 || unknown > 190 {
		t.Fatalf("accepted %d of 200 with the rejection known, %d without", known, unknown)
	}
}
