package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"kitetiller/internal/admission"
	"kitetiller/internal/admission/reservation"
	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/transport"
)

const criticalObjective = 400 * time.Millisecond

// newCriticalScheduler returns a gateway whose service is latency-critical.
func newCriticalScheduler(engines int) *Gateway {
	g := newScheduler(engines)
	g.view.Store(newView(&catalog.Document{
		Services: []catalog.Service{{Name: "s", Engine: true, CacheTokens: 80_000}},
		Routes:   []catalog.Route{{Name: "r", Streaming: true, Objective: criticalObjective, Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
	}, nil))
	return g
}

// newCriticalRequest returns a first request for a placement at a latency-critical service.
func newCriticalRequest(key string) *wirePlacementRequest {
	asked := newPlacementRequest(key, 1)
	asked.FirstAttempt, asked.Priority, asked.LatencyTargetMS, asked.Tenant, asked.TimeoutMS = true, 1, criticalObjective.Milliseconds(), "t", 6000
	return asked
}

// rejectWithPlace makes the engines busy, and returns the time of the place that a request gets.
func rejectWithPlace(t *testing.T, g *Gateway, now time.Duration, key string) (at time.Duration) {
	t.Helper()
	setPrefillBusy(g, now, time.Second)
	got := g.placeForPeer(now, newCriticalRequest(key))
	if got.RetryAfterMS == 0 || !got.HasPlace || got.Rejection != string(reservation.ReasonQueue) {
		t.Fatalf("request beyond its objective: %+v, want a rejection with a place", got)
	}
	return now + durationFromMS(got.RetryAfterMS)
}

// TestOtherServicesDecideAsBefore guards against an effect of reservations on services that are not latency-critical, and
// where they are switched off: each decision must be possible for admission.Controller in the same state.
func TestOtherServicesAdmitAsBefore(t *testing.T) {
	off, err := mechanism.Without(string(mechanism.Reservations))
	if err != nil {
		t.Fatal(err)
	}
	for name, newGateway := range map[string]func() *Gateway{
		"not latency-critical": func() *Gateway { return newScheduler(4) },
		"switched off": func() *Gateway {
			g := newCriticalScheduler(4)
			g.settings.Mechanisms = off
			return g
		},
	} {
		for wait := time.Duration(0); wait < 2*time.Second; wait += 10 * time.Millisecond {
			g, now := newGateway(), time.Second
			setPrefillBusy(g, now, wait)
			asked := newCriticalRequest("a")
			asked.LatencyTargetMS = 800
			got := g.placeForPeer(now, asked)
			expect := func(random float64) (time.Duration, bool) {
				return (&admission.Controller{}).Decide(now, admission.Request{Priority: 1, PredictedWait: wait, Objective: 800 * time.Millisecond, Random: random})
			}
			shortest, rejectedFirst := expect(0)
			longest, rejectedLast := expect(0.999999)
			if rejectedFirst == rejectedLast && (got.RetryAfterMS > 0) != rejectedFirst {
				t.Fatalf("%s, wait %v: %+v, want rejected %t", name, wait, got, rejectedFirst)
			}
			if got.RetryAfterMS > 0 && (got.RetryAfterMS < shortest.Milliseconds() || rejectedLast && got.RetryAfterMS > longest.Milliseconds()) {
				t.Fatalf("%s, wait %v: %+v, want a time from %v to %v", name, wait, got, shortest, longest)
			}
			if len(g.table.reservations) > 0 || got.HasPlace || got.Rejection != "" || got.Return != "" {
				t.Fatalf("%s: reservations used: %+v", name, got)
			}
		}
	}
}

// TestReturningRequestIsPlaced tests a request that is rejected with a place, is told the time left when it returns early,
// and is placed when it returns at its time, although a new request is rejected then.
func TestReturningRequestIsPlaced(t *testing.T) {
	g := newCriticalScheduler(4)
	at := rejectWithPlace(t, g, time.Second, "a")
	setPrefillBusy(g, time.Second, 5*time.Second)
	early := g.placeForPeer(at-200*time.Millisecond, newCriticalRequest("a"))
	if early.RetryAfterMS != 200 || early.Return != string(reservation.ReturnEarly) || !early.HasPlace {
		t.Fatalf("200ms early: %+v", early)
	}
	if got := g.placeForPeer(at, newCriticalRequest("b")); got.RetryAfterMS == 0 {
		t.Fatalf("new request: %+v, want a rejection", got)
	}
	if got := g.placeForPeer(at, newCriticalRequest("a")); got.RetryAfterMS > 0 || got.Instance == "" || got.Return != string(reservation.ReturnInTime) {
		t.Fatalf("returned at its time: %+v, want a placement", got)
	}
	if counts := g.table.reservationCounts()["s"]; counts.Taken != 1 || counts.Admitted != 1 {
		t.Fatalf("%+v, want one place taken", counts)
	}
}

// TestReturnThatCannotBeStartedIsRejected tests that a place does not put a request into a queue that is longer than its
// deadline.
func TestReturnThatCannotBeStartedIsRejected(t *testing.T) {
	g := newCriticalScheduler(4)
	at := rejectWithPlace(t, g, time.Second, "a")
	setPrefillBusy(g, at, 10*time.Second)
	if got := g.placeForPeer(at, newCriticalRequest("a")); got.RetryAfterMS == 0 || got.Rejection != string(reservation.ReasonDeadline) {
		t.Fatalf("%+v, want a rejection", got)
	}
}

// TestReturnToAnotherScheduler tests that a place ends with its scheduler: the request is judged like a new one at the next,
// which recognizes it if the rejection was announced.
func TestReturnToAnotherScheduler(t *testing.T) {
	at := rejectWithPlace(t, newCriticalScheduler(4), time.Second, "a")
	for _, announced := range []bool{true, false} {
		next, kind := newCriticalScheduler(4), reservation.ReturnNone
		if announced {
			next.table.applySends(at, []announcement{announcement{Gateway: "gone", Instance: "i-0", RejectedRequest: "a"}.toWire(0).announcement()})
			kind = reservation.ReturnUnknown
		}
		setPrefillBusy(next, at, 3*criticalObjective)
		if got := next.placeForPeer(at, newCriticalRequest("a")); got.RetryAfterMS == 0 || got.Return != string(kind) {
			t.Fatalf("announced %t, long queue: %+v, want a rejection", announced, got)
		}
		setPrefillBusy(next, at, 0)
		next.table.reservations = map[string]*reservation.Controller{}
		if got := next.placeForPeer(at, newCriticalRequest("a")); got.RetryAfterMS > 0 {
			t.Fatalf("announced %t, no queue: %+v, want a placement", announced, got)
		}
	}
}

// TestRepeatedMessages tests that a request for a placement that arrives twice is told the same place, and that an end that
// is reported twice, late or for an unknown placement is recorded once or not at all.
func TestRepeatedMessages(t *testing.T) {
	g := newCriticalScheduler(4)
	at := rejectWithPlace(t, g, time.Second, "a")
	again := g.placeForPeer(time.Second+20*time.Millisecond, newCriticalRequest("a"))
	if time.Second+20*time.Millisecond+durationFromMS(again.RetryAfterMS) != at {
		t.Fatalf("%+v, want the place at %v", again, at)
	}

	g = newCriticalScheduler(4)
	state := func() string { return fmt.Sprintf("%+v", *g.table.reservations["s"]) }
	report := func(id string) {
		body, err := json.Marshal(wirePlacementEnd{PlacementID: id, Gateway: "a", Outcome: outcomeSuccess, FirstEventMS: 100, DurationMS: 200})
		if err != nil {
			t.Fatal(err)
		}
		g.handlePlacementEnd(transport.Request{Path: pathEnd, Body: body}, func(int, any) {})
	}
	if got := g.placeForPeer(g.now(), newCriticalRequest("b")); got.RetryAfterMS > 0 {
		t.Fatalf("no queue: %+v", got)
	}
	before := state()
	report("b")
	once := state()
	if once == before {
		t.Fatal("the end was not recorded")
	}
	report("b")
	report("unknown")
	g.table.addPlacement(g.now(), "late", placement{row: g.table.rows["i-0"], load: belief.Load{Running: 1}, expiresAt: g.now() + time.Second, queueWait: 100, uncached: 2890})
	g.table.mutex.Lock()
	g.table.expirePlacements(g.now() + 2*time.Second)
	g.table.mutex.Unlock()
	report("late")
	if state() != once {
		t.Fatal("a repeated, unknown or late end changed the state")
	}
}

// TestRetryWithAnotherKeyIsNew tests that a caller who returns with a changed prompt has no claim to the place, and that the
// place is free after its window.
func TestRetryWithAnotherKeyIsNew(t *testing.T) {
	g := newCriticalScheduler(4)
	at := rejectWithPlace(t, g, time.Second, "a")
	setPrefillBusy(g, at, time.Second)
	if got := g.placeForPeer(at, newCriticalRequest("changed")); got.RetryAfterMS == 0 || got.Return != "" {
		t.Fatalf("%+v, want a rejection", got)
	}
	g.table.sweep(at + 4*time.Second)
	if counts := g.table.reservationCounts()["s"]; counts.Taken != 0 || counts.Lapsed != 2 || counts.Outstanding != 0 {
		t.Fatalf("%+v, want both places lapsed", counts)
	}
}

// TestGatewayWithoutSchedulersReserves tests that a gateway that places its own requests decides by the same code.
func TestGatewayWithoutSchedulersReserves(t *testing.T) {
	g := newCriticalScheduler(4)
	v := g.view.Load()
	x := &exchange{
		gateway: g, route: &v.document.Routes[0], ctx: context.Background(), service: v.services["s"], view: v, tenant: &catalog.Tenant{Name: "t"},
		call: Call{Model: "m", Parts: promptParts("own")}, deadline: g.now() + 6*time.Second,
	}
	setPrefillBusy(g, g.now(), time.Second)
	chosen := x.place()
	if chosen == nil || chosen.retryAfter <= 0 || !chosen.reserved.HasPlace {
		t.Fatalf("%+v, want a rejection with a place", chosen)
	}
	if got := x.placementRequest(selectionInput{service: x.service, tenantName: "t"}); got.Tenant != "t" || got.TimeoutMS <= 0 {
		t.Fatalf("message to schedulers %+v, want the tenant and the time left", got)
	}
}

// TestAbsurdPlacementRequests tests that absurd numbers of a message from a faulty or newer build are counted and don't
// break the decisions on others.
func TestAbsurdPlacementRequests(t *testing.T) {
	g := newCriticalScheduler(4)
	for i, change := range []func(*wirePlacementRequest){
		func(q *wirePlacementRequest) { q.Priority = -3 },
		func(q *wirePlacementRequest) { q.Priority = 1 << 40 },
		func(q *wirePlacementRequest) { q.TimeoutMS = 1 << 42 },
	} {
		asked := newCriticalRequest(fmt.Sprint("a", i))
		change(asked)
		g.placeForPeer(time.Second, asked)
		if counts := g.table.reservationCounts()["s"]; counts.Invalid != uint64(i)+1 {
			t.Fatalf("message %d: %+v", i, counts)
		}
	}
	reply := wirePlacementReply{Instance: "i-0", RetryAfterMS: 5, Rejection: "whim", Return: "thrice"}
	if d := reply.reserved(); d.Reason != "" || d.Return != reservation.ReturnNone {
		t.Fatalf("unknown causes of a reply were taken: %+v", d)
	}
}

// TestReservationLogFieldsAndMetrics tests that a refused or returning request can be traced to its decision, and that the
// metrics are by service.
func TestReservationLogFieldsAndMetrics(t *testing.T) {
	g := newCriticalScheduler(4)
	x := &exchange{gateway: g}
	if fields := x.reservationFields(); len(fields) > 0 {
		t.Fatalf("fields %v before a placement", fields)
	}
	at := rejectWithPlace(t, g, time.Second, "a")
	early := g.placeForPeer(at-200*time.Millisecond, newCriticalRequest("a"))
	x.placement = g.candidateFromReply(&early, schedulerPlacement{}, selectionInput{})
	logged := zapcore.NewMapObjectEncoder()
	for _, field := range x.reservationFields() {
		field.AddTo(logged)
	}
	if want := map[string]any{"refused_for": "early", "place": true, "returned": "early"}; !maps.Equal(logged.Fields, want) {
		t.Fatalf("fields %v, want %v", logged.Fields, want)
	}
	g.placeForPeer(at-200*time.Millisecond, newCriticalRequest("b"))
	g.placeForPeer(at, newCriticalRequest("a"))
	families, err := g.Metrics().Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		name, isReservation := strings.CutPrefix(family.GetName(), "kitetiller_gateway_reservation_")
		for _, metric := range family.GetMetric() {
			if !isReservation {
				continue
			}
			for _, label := range metric.GetLabel() {
				name += " " + label.GetValue()
			}
			got[name] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
			name, _, _ = strings.Cut(name, " ")
		}
	}
	want := map[string]float64{
		"decisions_total admitted s": 1, "decisions_total early s": 1, "decisions_total queue s": 2, "returns_total early s": 1, "returns_total place s": 1,
		"places_total s given": 2, "places_total s taken": 1, "places_total s lapsed": 0, "places s": 1, "faults_total invalid s": 0, "faults_total records-full s": 0,
	}
	if !maps.Equal(got, want) {
		t.Fatalf("metrics %v, want %v", got, want)
	}
}

// BenchmarkAdmittedPlacement chooses a back end and decides on admission, as a scheduler does for each request, with today's
// admission control and with reservations. Queues are short, or so long that most requests are rejected.
func BenchmarkAdmittedPlacement(b *testing.B) {
	for _, engines := range []int{90, 3100} {
		for _, queue := range []time.Duration{0, 600 * time.Millisecond} {
			for _, kind := range []string{"today", "reservations"} {
				b.Run(fmt.Sprint(engines, "/queue=", queue, "/", kind), func(b *testing.B) {
					g := newCriticalScheduler(engines)
					g.peers.disabled = true
					if kind == "today" {
						g.settings.Mechanisms, _ = mechanism.Without(string(mechanism.Reservations))
					}
					keys := make([]string, 4096)
					for i := range keys {
						keys[i] = fmt.Sprint("own-", i)
					}
					call := Call{Model: "m", Parts: promptParts("own")}
					in := selectionInput{
						service: g.view.Load().services["s"], call: &call, trusted: true, sentByPeer: true, latencyCritical: true, firstAttempt: true,
						priority: 1, latencyTarget: criticalObjective, timeLeft: 4 * time.Second,
					}
					now := time.Second
					b.ReportAllocs()
					i := 0
					for b.Loop() {
						now += 2 * time.Millisecond
						if i%128 == 0 { // queues shrink by 256 ms in between
							setPrefillBusy(g, now, queue)
						}
						call.Parts[2].ID, in.tenantName = keys[i%len(keys)], keys[i%82]
						if chosen := g.choose(now, in); chosen != nil {
							g.checkAdmission(now, chosen, in)
						}
						i++
					}
				})
			}
		}
	}
}

// Guards against one tenant's request taking the place of another tenant's with the same prompt, whose promise would then
// be broken.
func TestTenantsHavePlacesOfTheirOwn(t *testing.T) {
	if a, b := reservationKey("a", "k"), reservationKey("b", "k"); a == b || a == "" {
		t.Errorf("keys %q and %q", a, b)
	}
	if got := reservationKey("a", ""); got != "" {
		t.Errorf("a request that cannot be recognized has the key %q", got)
	}
}
