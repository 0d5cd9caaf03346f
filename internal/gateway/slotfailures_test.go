package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/slotqueue"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/transport"
)

// TestSilentSchedulerIsReplaced guards against requests that wait for a scheduler which is cut off: the next by hash is
// asked, later requests don't wait for the first, and it is asked again once it replies.
func TestSilentSchedulerIsReplaced(t *testing.T) {
	first, second := schedulerPair(t)
	s := newSmallGateway("s", 6)
	var silent atomic.Bool
	silent.Store(true)
	serveScheduler(t, first, s, func(transport.Request, transport.Respond) bool { return silent.Load() })
	other := newSmallGateway("s2", 6)
	serveScheduler(t, second, other, nil)
	g := newSmallGateway("g", 6)
	g.slots.setSchedulers([]string{first, second})
	startedAt := g.now()
	x := smallExchange(g)
	x.route = &catalog.Route{Objective: 1900 * time.Millisecond} // the bound of the wait, without a probe
	chosen := x.place()
	if chosen == nil || chosen.slot == nil || chosen.slot.scheduler != second {
		t.Fatalf("chosen %+v, want a slot of the second scheduler", chosen)
	}
	if took := g.now() - startedAt; took > time.Second {
		t.Fatalf("the silence of the first scheduler was noticed after %v", took)
	}
	startedAt = g.now()
	if again := smallExchange(g).place(); again == nil || again.slot.scheduler != second || g.now()-startedAt > slotProbeDelay+slotProbeTimeout {
		t.Fatalf("chosen %+v after %v", again, g.now()-startedAt)
	}
	silent.Store(false)
	eventually(t, "the first scheduler is not asked again", func() bool {
		x := smallExchange(g)
		chosen := x.place()
		return chosen != nil && chosen.slot != nil && chosen.slot.scheduler == first
	})
}

// TestCutOffGatewayLearnsOfAllSchedulersAtOnce guards against a gateway that waits for each scheduler in turn when it is
// cut off from all of them: after the first request, others use the equal part without waiting.
func TestCutOffGatewayLearnsOfAllSchedulersAtOnce(t *testing.T) {
	g := newSmallGateway("g", 6)
	var silent []string
	for range 5 {
		listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		silent = append(silent, listener.Addr().String())
	}
	g.slots.setSchedulers(silent)
	x := smallExchange(g)
	chosen := x.place()
	if chosen == nil || chosen.slot == nil || !chosen.slot.share {
		t.Fatalf("chosen %+v, want a slot of the equal part", chosen)
	}
	x.newAttempt(chosen).reportEnd()
	eventually(t, "a scheduler counts as replying", func() bool {
		usable, _ := g.slots.forBackEnd(0, "small", "b0")
		return len(usable) == 0
	})
	startedAt := g.now()
	if second := smallExchange(g).place(); second == nil || second.slot == nil || !second.slot.share || g.now()-startedAt > slotProbeTimeout {
		t.Fatalf("chosen %+v after %v, want the equal part at once", second, g.now()-startedAt)
	}
}

// TestWithoutSchedulersTheEqualPartIsUsed guards against gateways that overload the service when they are cut off from
// all schedulers: one request at a time runs, the rest is rejected, and gateways spread over the back ends.
func TestWithoutSchedulersTheEqualPartIsUsed(t *testing.T) {
	used := map[string]int{}
	for i := range 40 {
		g := newSmallGateway(fmt.Sprint("g", i), 6, 6, 6)
		g.slots.setSchedulers([]string{"127.0.0.1:1"}) // refuses connections
		x := smallExchange(g)
		chosen := x.place()
		if chosen == nil || chosen.slot == nil || !chosen.slot.share {
			t.Fatalf("chosen %+v, want a slot of the equal part", chosen)
		}
		used[chosen.row.entry.ID]++
		if second := smallExchange(g).place(); second == nil || second.retryAfter < minRetryAfter || second.row != nil {
			t.Fatalf("second request got %+v, want a rejection", second)
		}
		x.newAttempt(chosen).reportEnd()
		if third := smallExchange(g).place(); third == nil || third.row != chosen.row {
			t.Fatalf("after the end got %+v, want %s again", third, chosen.row.entry.ID)
		}
	}
	if len(used) != 3 {
		t.Fatalf("40 gateways use %v, want all three back ends", used)
	}
}

// TestExpiredGrantIsNotUsed guards against a send on a slot that the scheduler may have given to another request. The
// time in the queue does not count, since the scheduler states it.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 6)
	settleQueue(s)
	serveScheduler(t, address, s, nil)
	g := newSmallGateway("g", 6)
	now := time.Minute
	g.now = func() time.Duration { return now }
	x := smallExchange(g)
	grant := slotGrant{scheduler: address, placementID: "p"}
	in := selectionInput{service: x.service, call: &x.call}
	waitMS := int64(300)
	s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: "p", Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: "b0", TimeoutMS: 60_000}, func(wirePlacementReply) {})
	if n := runningAt(s); n != 1 {
		t.Fatalf("%d placements at the scheduler, want 1", n)
	}
	reply := &wirePlacementReply{Slot: true, Instance: "b0", WaitedMS: 250}
	if _, outcome := x.applySlotReply(reply, grant, now-449*time.Millisecond, in); outcome != slotGranted {
		t.Fatalf("outcome %d of a grant that is 199 ms old, want %d", outcome, slotGranted)
	}
	if _, outcome := x.applySlotReply(reply, grant, now-450*time.Millisecond, in); outcome != slotLate {
		t.Fatalf("outcome %d of a grant that is 200 ms old, want %d", outcome, slotLate)
	}
	eventually(t, "the end of the late grant is not reported", func() bool { return runningAt(s) == 0 })
	for _, absurd := range []int64{-1, 451, 1 << 62} {
		before := metricValue(t, g, "kitetiller_gateway_slot_values_invalid_total")
		_, outcome := x.applySlotReply(&wirePlacementReply{Slot: true, Instance: "b0", WaitedMS: absurd}, grant, now-450*time.Millisecond, in)
		if counted := metricValue(t, g, "kitetiller_gateway_slot_values_invalid_total") - before; outcome != slotLate || counted != 1 {
			t.Errorf("wait of %d ms: outcome %d, counted %v times", absurd, outcome, counted)
		}
	}
	granted, _ := x.applySlotReply(reply, grant, now-400*time.Millisecond, in)
	a := x.newAttempt(granted)
	x.quotaLease.acquired = true
	if cause := a.recheckConditions(); cause != "" {
		t.Fatalf("not sent: %s", cause)
	}
	now += 50 * time.Millisecond // while the connection was established
	if cause := a.recheckConditions(); cause != causeGrantExpired {
		t.Fatalf("cause %q right before the send, want %q", cause, causeGrantExpired)
	}
}

// TestCanceledCallLeavesTheQueue guards against slots granted to callers that have gone.
func TestCanceledCallLeavesTheQueue(t *testing.T) {
	for _, direct := range []bool{false, true} {
		address := freeAddress(t)
		s := newSmallGateway("s", 1)
		settleQueue(s)
		serveScheduler(t, address, s, nil)
		g := newSmallGateway("g", 1)
		if direct {
			g = s
			s.settings.PeerAddress = address
		}
		g.slots.setSchedulers([]string{address})
		held := smallExchange(g)
		held.deadline = held.arrived + time.Minute
		holder := held.place()
		if holder == nil || holder.slot == nil {
			t.Fatalf("got %+v, want a slot", holder)
		}
		x := smallExchange(g)
		x.route, x.deadline = &catalog.Route{}, x.arrived+time.Minute // only the cancellation ends the wait
		ctx, cancel := context.WithCancel(context.Background())
		x.ctx = ctx
		done := make(chan *candidate, 1)
		go func() { done <- x.place() }()
		waiting := func() int {
			s.slotDesk.mu.Lock()
			defer s.slotDesk.mu.Unlock()
			return len(s.slotDesk.backEnds["b0"].pending)
		}
		eventually(t, "the second request does not wait", func() bool { return waiting() == 1 })
		cancel()
		if chosen := <-done; chosen != nil {
			t.Fatalf("got %+v after the cancellation", chosen)
		}
		eventually(t, "the canceled request still waits", func() bool { return waiting() == 0 })
	}
}

// TestLostEndReportIsRepeated guards against a slot that stays blocked because one report was lost.
func TestLostEndReportIsRepeated(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 1)
	settleQueue(s)
	var reports atomic.Int64
	serveScheduler(t, address, s, func(request transport.Request, respond transport.Respond) bool {
		if request.Path != pathEnd || reports.Add(1) > 1 {
			return false
		}
		respond(http.StatusInternalServerError, nil)
		return true
	})
	g := newSmallGateway("g", 1)
	g.slots.setSchedulers([]string{address})
	x := smallExchange(g)
	x.newAttempt(x.place()).reportEnd()
	eventually(t, "the slot is still blocked", func() bool { return runningAt(s) == 0 })
	if reports.Load() != 2 {
		t.Fatalf("%d reports, want 2", reports.Load())
	}
}

// TestUnreportedEndFreesSlotAfterTimeout guards against slots that a gateway which ended holds for ever.
func TestUnreportedEndFreesSlotAfterTimeout(t *testing.T) {
	s := newSmallGateway("s", 1)
	settleQueue(s)
	waitMS := int64(1000)
	replies := make(chan wirePlacementReply, 2)
	for _, id := range []string{"lost", "next"} {
		s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: id, Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: "b0", TimeoutMS: 100}, func(reply wirePlacementReply) { replies <- reply })
	}
	<-replies
	startedAt := s.now()
	if reply := <-replies; reply.Instance != "b0" || s.now()-startedAt > 600*time.Millisecond {
		t.Fatalf("second request got %+v after %v, want the slot after 100 ms", reply, s.now()-startedAt)
	}
}

// TestRejectedRequestIsNeverSent guards against a request that runs although its caller was told to come back, and so
// twice. Each request that may run only once runs at most once.
func TestRejectedRequestIsNeverSent(t *testing.T) {
	b := &backEndServer{slots: 2, work: 150 * time.Millisecond}
	back := httptest.NewServer(b)
	defer back.Close()
	address := freeAddress(t)
	roster := smallRoster(2)
	roster.Entries[0].Address = back.Listener.Addr().String()
	s := newSmallGateway("s")
	s.table.applyRoster(0, roster, nil)
	settleQueue(s)
	serveScheduler(t, address, s, nil)
	var gateways []*Gateway
	for i := range 3 {
		g := newSmallGateway(fmt.Sprint("g", i))
		g.table.applyRoster(0, roster, nil)
		g.slots.setSchedulers([]string{address})
		gateways = append(gateways, g)
	}
	var answered, rejected atomic.Int64
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			response := serveSmall(gateways[i%3], fmt.Sprint("r", i))
			switch {
			case response.Code == http.StatusOK:
				answered.Add(1)
			case response.Code == http.StatusServiceUnavailable && response.Header().Get("Retry-After") != "":
				rejected.Add(1)
			default:
				t.Errorf("status %d, %v", response.Code, response.Header())
			}
		})
	}
	wg.Wait()
	if b.ran.Load() != answered.Load() || b.rejected.Load() != 0 || answered.Load() < 2 || rejected.Load() < 4 {
		t.Fatalf("%d answered, %d rejected; the back end ran %d and rejected %d", answered.Load(), rejected.Load(), b.ran.Load(), b.rejected.Load())
	}
	x := smallExchange(gateways[0])
	x.mayHaveRun = true
	if chosen := x.slotRejection(time.Second); chosen != nil {
		t.Fatalf("a request that may have run got %+v: 503 would promise that it has not", chosen)
	}
}

// TestBackEndRejectionCountsSlotsAsTaken guards against sending on to a back end that is full although the scheduler
// knows of nothing that runs there, and against avoiding it for longer than its requests take.
func TestBackEndRejectionCountsSlotsAsTaken(t *testing.T) {
	for name, end := range map[string]wirePlacementEnd{"rejected": {Outcome: outcomeRejected}, "unreached": {Unreached: true}} {
		s := newSmallGateway("s", 6, 6)
		now := time.Minute
		s.now = func() time.Duration { return now }
		settleQueue(s)
		waitMS := int64(0)
		ask := func(backEnd, id string) (got wirePlacementReply) {
			s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: id, Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: backEnd, TimeoutMS: 2000}, func(reply wirePlacementReply) { got = reply })
			return got
		}
		full, other := "b0", "b1"
		if got := ask(full, "p"); got.Instance != full {
			t.Fatalf("%s: got %+v, want a slot of %s", name, got, full)
		}
		end.PlacementID, end.Gateway, end.Service = "p", "g", "small"
		s.slotDesk.end(s.now(), s.applyPlacementEnd(s.now(), &end), &end)
		for i := range 3 {
			if got := ask(full, fmt.Sprint("q", i)); got.Instance != "" || got.RetryAfterMS == 0 || got.NextWaitMS == 0 {
				t.Fatalf("%s: request %d got %+v, want a rejection and a wait", name, i, got)
			}
			if got := ask(other, fmt.Sprint("r", i)); got.Instance != other || got.NextWaitMS != 0 {
				t.Fatalf("%s: request %d got %+v, want %s", name, i, got, other)
			}
		}
		if row := s.table.rows[full]; end.Outcome == outcomeRejected && row.avoidUntil > 0 {
			t.Fatalf("%s avoided after a rejection", full)
		}
		now += slotqueue.InitialWork
		if got := ask(full, "later"); got.Instance != full {
			t.Fatalf("%s: got %+v after the mean work time, want %s", name, got, full)
		}
	}
}

// TestOlderScheduler guards against requests that fail while schedulers of an earlier build, which ignore the new
// fields, answer at once and without them.
func TestOlderScheduler(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 6)
	s.settings.Mechanisms, _ = mechanism.Without(string(mechanism.SharedSlots))
	serveScheduler(t, address, s, nil)
	g := newSmallGateway("g", 6)
	g.slots.setSchedulers([]string{address})
	x := smallExchange(g)
	chosen := x.place()
	if chosen == nil || chosen.scheduled == nil || chosen.slot != nil || chosen.row.entry.ID != "b0" {
		t.Fatalf("chosen %+v, want the older scheduler's placement", chosen)
	}
	x.newAttempt(chosen).reportEnd()
	eventually(t, "the end is not reported", func() bool { return runningAt(s) == 0 })
}

// TestOlderGateway guards against a scheduler that grants slots which gateways of an earlier build use: these are
// answered as before, and what they run is counted.
func TestOlderGateway(t *testing.T) {
	s := newSmallGateway("s", 2)
	settleQueue(s)
	for i := range 3 {
		old := wirePlacementRequest{PlacementID: fmt.Sprint("old", i), Gateway: "g", Service: "small", TimeoutMS: 2000}
		if i == 2 { // from a build with one scheduler for the service
			held := int64(1000)
			old.WaitMS = &held
		}
		request, _ := json.Marshal(old)
		s.handlePeer(transport.Request{Path: pathPlace, Body: request}, func(status int, body any) {
			if reply := body.(wirePlacementReply); status != http.StatusOK || reply.Instance != "b0" || reply.Slot {
				t.Fatalf("status %d, reply %+v, want b0 as before", status, reply)
			}
		})
	}
	waitMS := int64(1000)
	replies := make(chan wirePlacementReply, 1)
	s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: "new", Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: "b0", TimeoutMS: 2000}, func(reply wirePlacementReply) { replies <- reply })
	for i := range 2 {
		if len(replies) > 0 {
			t.Fatalf("slot granted while %d requests run in 2 slots", 3-i)
		}
		end, _ := json.Marshal(wirePlacementEnd{PlacementID: fmt.Sprint("old", i), Gateway: "g", Outcome: outcomeSuccess})
		s.handlePeer(transport.Request{Path: pathEnd, Body: end}, func(int, any) {})
	}
	if reply := <-replies; reply.Instance != "b0" || !reply.Slot {
		t.Fatalf("got %+v after the ends of the older gateway's requests", reply)
	}
}

// separateSchedulers returns the addresses of two schedulers, the first of which is asked for the back end b0 and the
// second for b1.
func separateSchedulers(t *testing.T) (first, second string) {
	t.Helper()
	c := newSlotClient(nil)
	for {
		c.setSchedulers([]string{freeAddress(t), freeAddress(t)})
		b0, _ := c.forBackEnd(0, "small", "b0")
		b1, _ := c.forBackEnd(0, "small", "b1")
		if b0[0] != b1[0] {
			return b0[0], b1[0]
		}
	}
}

// TestLateSchedulerHoldsNoRequest guards against requests that are held without a reply while their scheduler answers
// probes but no calls: each is rejected, or gets a slot of another back end, by the end of its bound and 60 ms, and the
// scheduler is told that it has ended. No slot is taken without the scheduler.
func TestLateSchedulerHoldsNoRequest(t *testing.T) {
	const tolerance = 40 * time.Millisecond
	for _, backEnds := range []int{1, 2} {
		slots := slices.Repeat([]int{6}, backEnds)
		first, second := separateSchedulers(t)
		late, other := newSmallGateway("s", slots...), newSmallGateway("s2", slots...)
		settleQueue(late)
		settleQueue(other)
		var mu sync.Mutex
		var calls []transport.Request
		var ends atomic.Int64
		serveScheduler(t, first, late, func(request transport.Request, respond transport.Respond) bool {
			if request.Path == pathEnd {
				var end wirePlacementEnd
				_ = json.Unmarshal(request.Body, &end)
				late.handlePeer(request, respond)
				if end.PlacementID != "" { // no probe
					ends.Add(1)
				}
				return true
			}
			request.Body = slices.Clone(request.Body)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, request)
			return true
		})
		serveScheduler(t, second, other, nil)
		g := newSmallGateway("g", slots...)
		g.slots.setSchedulers([]string{first, second})
		g.slots.recordWait(g.now(), "b1", 10*time.Second) // so that b0 is asked for first
		for _, repeat := range []bool{false, true} {
			x := smallExchange(g)
			if repeat {
				g.slots.recordWait(g.now(), "b1", 10*time.Second)
				x.sentCount = 1
			}
			bound := x.slotBound(g.now(), backEnds > 1)
			chosen := x.place()
			took := g.now() - x.arrived
			if x.slot.waited < bound {
				t.Errorf("%d back ends, repeat %v: logged wait %v, want at least %v", backEnds, repeat, x.slot.waited, bound)
			}
			if took > bound+placementTimeout+tolerance {
				t.Errorf("%d back ends, repeat %v: held for %v, bound %v", backEnds, repeat, took, bound)
			}
			switch {
			case chosen == nil, backEnds == 1 && chosen.retryAfter < minRetryAfter, backEnds == 2 && (chosen.slot == nil || chosen.row.entry.ID != "b1" || chosen.slot.scheduler != second):
				t.Errorf("%d back ends, repeat %v: got %+v", backEnds, repeat, chosen)
			}
		}
		eventually(t, "the end of a canceled call is not reported", func() bool { return ends.Load() == 2 })
		mu.Lock()
		if len(calls) != 2 {
			t.Errorf("%d back ends: %d calls to the late scheduler, want 2", backEnds, len(calls))
		}
		for _, call := range calls { // the scheduler handles them now
			late.handlePeer(call, func(_ int, body any) {
				if reply := body.(wirePlacementReply); reply.Instance != "" {
					t.Errorf("%d back ends: the scheduler grants %+v after the end", backEnds, reply)
				}
			})
		}
		mu.Unlock()
		if n := runningAt(late); n != 0 {
			t.Errorf("%d back ends: %d slots of canceled calls are taken", backEnds, n)
		}
		x := smallExchange(g)
		if again := x.place(); backEnds == 2 && (again == nil || again.slot == nil || again.row.entry.ID != "b1" || g.now()-x.arrived > placementTimeout) {
			t.Errorf("the late scheduler's back end is asked for again: %+v after %v", again, g.now()-x.arrived)
		}
	}
}

// TestSchedulerThatStaysLateIsReplaced guards against a scheduler that blocks a back end for ever because it answers
// probes, and against replacing one that is busy for a moment, which would let two grant the same slots.
func TestSchedulerThatStaysLateIsReplaced(t *testing.T) {
	c := newSlotClient(nil)
	c.setSchedulers([]string{"a", "b"})
	if first, replace := c.recordLate(time.Second, "a"); !first || replace {
		t.Fatalf("first late call: %v, %v", first, replace)
	}
	if first, replace := c.recordLate(time.Second+slotLateLimit-1, "a"); first || replace {
		t.Fatalf("within the limit: %v, %v", first, replace)
	}
	c.recordReply("a")
	if first, replace := c.recordLate(time.Second+slotLateLimit, "a"); !first || replace {
		t.Fatalf("after a reply in time: %v, %v", first, replace)
	}
	if _, replace := c.recordLate(time.Second+2*slotLateLimit, "a"); !replace {
		t.Fatal("not replaced after the limit")
	}
}
