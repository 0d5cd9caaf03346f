package gateway

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
)

// setPrefillBusy lets every engine have so much to read from a time on.
func setPrefillBusy(g *Gateway, now, length time.Duration) {
	for _, row := range g.table.rows {
		row.prefillBusyUntil = now + length
	}
}

// newObjectiveRequest is a question of a route with an objective.
func newObjectiveRequest(ticket string, first bool) *wirePlacementRequest {
	asked := newPlacementRequest(ticket, 1)
	asked.FirstAttempt, asked.Priority, asked.LatencyTargetMS = first, 1, 800
	return asked
}

// TestWhatWouldWaitTooLongIsTurnedAway: with the time to come back, and without being counted anywhere; what was sent once, what
// has no objective, and everything while engines are free, is placed.
func TestWhatWouldWaitTooLongIsTurnedAway(t *testing.T) {
	g := newScheduler(4)
	now := time.Second
	if got := g.placeForPeer(now, newObjectiveRequest("free", true)); got.Instance == "" || got.RetryAfterMS > 0 {
		t.Fatalf("engines are free: %+v", got)
	}
	setPrefillBusy(g, now, 3*time.Second)
	got := g.placeForPeer(now, newObjectiveRequest("new", true))
	if got.RetryAfterMS < 1000 {
		t.Fatalf("three seconds of reading: %+v", got)
	}
	for id, row := range g.table.rows {
		if n := row.occupancy.Placed.Running; n > 1 || n == 1 && g.table.placed["free"].row != row {
			t.Fatalf("%d requests are counted at %s", n, id)
		}
	}
	if got := g.placeForPeer(now, newObjectiveRequest("repeat", false)); got.RetryAfterMS > 0 {
		t.Fatalf("sent before: %+v", got)
	}
	if got := g.placeForPeer(now, newPlacementRequest("no objective", 1)); got.RetryAfterMS > 0 {
		t.Fatalf("no objective: %+v", got)
	}
	g.settings.Mechanisms, _ = mechanism.Without(string(mechanism.Refusal))
	if got := g.placeForPeer(now, newObjectiveRequest("off", true)); got.RetryAfterMS > 0 {
		t.Fatalf("without the mechanism: %+v", got)
	}
}

// TestLongPromptsAreNotTurnedAwayForTheirReading: only the queue before it counts.
func TestLongPromptsAreNotTurnedAwayForTheirReading(t *testing.T) {
	g := newScheduler(2)
	asked := newObjectiveRequest("long", true)
	asked.PartTokens[2], asked.PromptTokens = 60_000, 66_300 // over a second and a half of reading
	if got := g.placeForPeer(time.Second, asked); got.RetryAfterMS > 0 {
		t.Fatalf("%+v", got)
	}
}

// TestUrgentRequestsAreJudgedByWhatTheyWait: once it is seen that engines let them in first, others' queue is no reason to turn
// them away; their scheduler learns it from the ends that it is told of.
func TestUrgentRequestsAreJudgedByWhatTheyWait(t *testing.T) {
	g := newScheduler(4)
	now := time.Second
	setPrefillBusy(g, now, time.Hour)
	for i := range 400 {
		ticket := fmt.Sprint("t", i)
		made := placement{row: g.table.rows["i-0"], load: belief.Load{Running: 1}, expiresAt: now + time.Second, queueWait: 1500}
		g.table.addPlacement(now, ticket, made)
		g.table.observeQueueWait("s", 0, made.queueWait, 0, 50*time.Millisecond, 0)
		g.table.observeQueueWait("s", 1, made.queueWait, 0, 1500*time.Millisecond, 0)
	}
	setPrefillBusy(g, now, 1500*time.Millisecond)
	urgent := newObjectiveRequest("urgent", true)
	urgent.Priority = 0
	if got := g.placeForPeer(now, urgent); got.RetryAfterMS > 0 {
		t.Fatalf("the urgent one: %+v", got)
	}
	if got := g.placeForPeer(now, newObjectiveRequest("other", true)); got.RetryAfterMS == 0 {
		t.Fatalf("the other one: %+v", got)
	}
}

// TestRefusalOfASchedulerIsPassedOn by the gateway that asked, which does not place the request by itself then.
func TestRefusalOfASchedulerIsPassedOn(t *testing.T) {
	g := newScheduler(2)
	chosen := g.candidateFromReply(&wirePlacementReply{Instance: "i-0", WaitMS: 3000, RetryAfterMS: 1200}, schedulerPlacement{}, selectionInput{})
	if chosen == nil || chosen.retryAfter != 1200*time.Millisecond {
		t.Fatalf("%+v", chosen)
	}
}

// TestWhoComesBackIsKnownElsewhere: a request that another gateway turned away goes before new ones here as well.
func TestWhoComesBackIsKnownElsewhere(t *testing.T) {
	countPlaced := func(refusalKnown bool) (placed int) {
		for range 200 {
			g, now := newScheduler(4), time.Second
			if refusalKnown {
				g.table.applySends(now, []send{send{Gateway: "other", Instance: "i-0", Refused: "back"}.wire(0).send()})
			}
			setPrefillBusy(g, now, 720*time.Millisecond) // 0.9 of the objective
			if got := g.placeForPeer(now, newObjectiveRequest("back", true)); got.RetryAfterMS == 0 {
				placed++
			}
		}
		return placed
	}
	if known, unknown := countPlaced(true), countPlaced(false); known != 200 || unknown > 190 {
		t.Fatalf("%d of 200 are let in where the refusal is known, %d where it is not", known, unknown)
	}
}
