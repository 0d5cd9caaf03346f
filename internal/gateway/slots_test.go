package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/node"
	"kitetiller/internal/quota"
	"kitetiller/internal/transport"
)

// slotDialect is a Dialect with a header for each property that the tests need.
type slotDialect struct{}

func (slotDialect) ReadEventVersion([]byte) (uint64, bool) { return 0, false }
func (slotDialect) SingleHeaders() []string                { return nil }
func (slotDialect) StatePath() string                      { return "/" }
func (slotDialect) ReadStartTime([]byte) (int64, error)    { return 0, nil }

func (slotDialect) ReadCall(header http.Header) Call                          { return Call{ID: header.Get("X-Id")} }
func (slotDialect) WriteForwarding(header http.Header, forwarding Forwarding) {}
func (slotDialect) ReadResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{ID: header.Get("X-Id"), Signed: header.Get("X-Signed") != "", NotRun: header.Get("X-Not-Run") != ""}
}

// newSmallGateway returns a gateway of a fleet of 79 with a confirmed view and a small service "small", whose back ends
// b0, b1 and so on have the given slots and are in the zones z0, z1 and so on.
func newSmallGateway(name string, slots ...int) *Gateway {
	log, err := node.NewLogger("error", name)
	if err != nil {
		panic(err)
	}
	g := New(Settings{Name: name, Zone: "z0", OldWeightsStartLimit: time.Minute, ViewTTL: time.Hour, Quota: quota.Policy{RetryWindow: time.Second}}, slotDialect{}, log)
	g.view.Store(newView(&catalog.Document{
		Services: []catalog.Service{{Name: "small"}},
		Routes:   []catalog.Route{{Name: "r", Host: "h", PathPrefix: "/", Targets: []catalog.Target{{Service: "small", Weight: 1}}, Objective: 300 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 1}},
	}, nil))
	g.confirmedAt.Store(1)
	g.gatewayCount.Store(79)
	g.table.applyRoster(0, smallRoster(slots...), nil)
	return g
}

func smallRoster(slots ...int) *control.RosterUpdate {
	update := &control.RosterUpdate{Full: true}
	for i, n := range slots {
		update.Entries = append(update.Entries, control.RosterEntry{
			Instance: catalog.Instance{ID: fmt.Sprint("b", i), Service: "small", Address: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i), Slots: n, State: catalog.StateReady},
		})
	}
	return update
}

// settleQueue makes the queues of the small service's back ends old enough that no slots count as taken by an earlier
// scheduler.
func settleQueue(g *Gateway) {
	early := g.now() - 500*time.Millisecond
	waitMS := int64(0)
	for id := range g.table.rows {
		g.slotDesk.ask(early, &wirePlacementRequest{PlacementID: "settle", Gateway: "x", Service: "small", WaitMS: &waitMS, BackEnd: id, TimeoutMS: 1}, func(wirePlacementReply) {})
		end := &wirePlacementEnd{PlacementID: "settle"}
		g.slotDesk.end(early, g.applyPlacementEnd(early, end), end)
	}
}

// smallExchange returns a request to the small service.
func smallExchange(g *Gateway) *exchange {
	current := g.view.Load()
	return &exchange{
		gateway: g, ctx: context.Background(), request: httptest.NewRequest(http.MethodPost, "http://h/", nil), service: current.services["small"], view: current, route: &current.document.Routes[0],
		arrived: g.now(), deadline: g.now() + 2*time.Second,
	}
}

// serveScheduler serves a scheduler on an address. intercept may answer a request in its place by returning true.
func serveScheduler(t *testing.T, address string, g *Gateway, intercept func(transport.Request, transport.Respond) bool) {
	t.Helper()
	server, err := transport.Listen(address, "", func(request transport.Request, respond transport.Respond) {
		if intercept == nil || !intercept(request, respond) {
			g.handlePeer(request, respond)
		}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close(context.Background()) })
}

// schedulerPair returns two free addresses, the one that requests for the back end b0 go to first.
func schedulerPair(t *testing.T) (first, second string) {
	t.Helper()
	c := newSlotClient(nil)
	c.setSchedulers([]string{freeAddress(t), freeAddress(t)})
	usable, _ := c.forBackEnd(0, "small", "b0")
	return usable[0], usable[1]
}

// runningAt returns the requests that a scheduler counts at its back ends.
func runningAt(g *Gateway) int {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	return len(g.table.placed)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// TestSharedSlotsTakeEffectForFewSlotsOnly guards against changes of the decisions for all other services: those with
// as many slots as gateways, with engines, with unknown slots, in small fleets, and with the mechanism off.
func TestSharedSlotsTakeEffectForFewSlotsOnly(t *testing.T) {
	for name, c := range map[string]struct {
		slots  []int
		change func(*Gateway)
		shared bool
	}{
		"few slots":                {slots: []int{6, 6, 6}, shared: true},
		"one slot less":            {slots: []int{39, 39}, shared: true},
		"as many slots":            {slots: []int{39, 40}},
		"many slots":               {slots: []int{600}},
		"slots unknown":            {slots: []int{6, 0}},
		"slots negative":           {slots: []int{6, -1}},
		"no back ends":             {},
		"fleet of unknown size":    {slots: []int{6}, change: func(g *Gateway) { g.gatewayCount.Store(0) }},
		"every gateway schedules":  {slots: []int{6}, change: func(g *Gateway) { g.slots.setSchedulers(nil) }},
		"engines":                  {slots: []int{6}, change: func(g *Gateway) { g.view.Load().services["small"].Engine = true }},
		"only draining are enough": {slots: []int{6, 90}, change: func(g *Gateway) { g.table.rows["b1"].entry.State = catalog.StateDraining }, shared: true},
		"mechanism off": {slots: []int{6}, change: func(g *Gateway) {
			g.settings.Mechanisms, _ = mechanism.Without(string(mechanism.SharedSlots))
		}},
	} {
		g := newSmallGateway("g", c.slots...)
		g.slots.setSchedulers([]string{freeAddress(t)})
		if c.change != nil {
			c.change(g)
		}
		if _, shared := g.sharedSlots(g.view.Load().services["small"]); shared != c.shared {
			t.Errorf("%s: takes effect %v, want %v", name, shared, c.shared)
		}
		if c.shared || len(c.slots) == 0 {
			continue
		}
		for id, row := range g.table.rows {
			if id != "b0" {
				row.occupancy.Own.Running = 1000 // so that one back end costs least
			}
		}
		x := smallExchange(g)
		if chosen := x.place(); chosen == nil || chosen.slot != nil || chosen.row.entry.ID != "b0" || x.slot.source != "" {
			t.Errorf("%s: chosen %+v, want b0 as before", name, chosen)
		}
	}
	g := newSmallGateway("g", 6, -1)
	g.slots.setSchedulers([]string{"a"})
	before := metricValue(t, g, "kitetiller_gateway_slot_values_invalid_total")
	g.sharedSlots(g.view.Load().services["small"])
	if got := metricValue(t, g, "kitetiller_gateway_slot_values_invalid_total"); got != before+1 {
		t.Errorf("negative slots counted %v times, want once", got-before)
	}
}

// metricValue returns the sum of a metric's values.
func metricValue(t *testing.T, g *Gateway, name string) (sum float64) {
	t.Helper()
	families, err := g.Metrics().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			for _, m := range family.GetMetric() {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// TestSlotsAreNeverExceeded guards against schedulers that send to back ends whose slots are taken: with requests of
// many gateways at once, some of which are the scheduler itself, no more than the slots run, and all are served.
func TestSlotsAreNeverExceeded(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 2, 2)
	s.settings.PeerAddress = address
	settleQueue(s)
	serveScheduler(t, address, s, nil)
	gateways := []*Gateway{s, newSmallGateway("g1", 2, 2), newSmallGateway("g2", 2, 2)}
	var mu sync.Mutex
	running, most, served := map[string]int{}, 0, 0
	var wg sync.WaitGroup
	for i := range 30 {
		g := gateways[i%len(gateways)]
		g.slots.setSchedulers([]string{address})
		wg.Go(func() {
			x := smallExchange(g)
			x.deadline = g.now() + 10*time.Second
			x.route = &catalog.Route{}
			chosen := x.place()
			if chosen == nil || chosen.slot == nil {
				t.Errorf("request %d got %+v", i, chosen)
				return
			}
			mu.Lock()
			running[chosen.row.entry.ID]++
			most = max(most, running[chosen.row.entry.ID])
			served++
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			running[chosen.row.entry.ID]--
			mu.Unlock()
			a := x.newAttempt(chosen)
			a.outcome = outcomeSuccess
			a.reportEnd()
		})
	}
	wg.Wait()
	if most != 2 || served != 30 {
		t.Fatalf("%d requests at once at a back end of 2 slots, %d of 30 served", most, served)
	}
	eventually(t, "placements are left at the scheduler", func() bool { return runningAt(s) == 0 })
}

// backEndServer is a back end that counts the requests it runs and rejects those beyond its slots.
type backEndServer struct {
	running, ran, rejected atomic.Int64
	slots                  int64
	work                   time.Duration
}

func (b *backEndServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	defer b.running.Add(-1)
	if b.running.Add(1) > b.slots {
		b.rejected.Add(1)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.ran.Add(1)
	time.Sleep(b.work)
	w.Header().Set("X-Signed", "1")
	_, _ = w.Write([]byte("ok"))
}

// serveSmall sends a caller's request to a gateway.
func serveSmall(g *Gateway, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h/", nil)
	request.Header.Set("X-Id", id)
	recorder := httptest.NewRecorder()
	g.serve(recorder, request)
	return recorder
}

// TestBackEndsThatMayNotBeUsedAreLeftOut guards against slots at back ends that drain, load, or were excluded by the
// gateway, and against a grant that the gateway may not use.
func TestBackEndsThatMayNotBeUsedAreLeftOut(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 6, 6, 6)
	settleQueue(s)
	serveScheduler(t, address, s, nil)
	place := func(g *Gateway) string {
		g.slots.setSchedulers([]string{address})
		chosen := smallExchange(g).place()
		if chosen == nil || chosen.row == nil {
			t.Fatalf("chosen %+v", chosen)
		}
		return chosen.row.entry.ID
	}
	s.table.rows["b0"].entry.State = catalog.StateDraining
	s.table.rows["b1"].entry.Loading = true
	if got := place(newSmallGateway("g", 6, 6, 6)); got != "b2" {
		t.Errorf("chosen %s, want b2: the others drain and load", got)
	}
	s.table.rows["b1"].entry.Loading = false
	g := newSmallGateway("g", 6, 6, 6)
	reportBackoff(g, "b1", time.Second)
	if got := place(g); got != "b2" {
		t.Errorf("chosen %s, want b2: b1 asked this gateway for a backoff", got)
	}
	g = newSmallGateway("g", 6, 6, 6)
	g.table.rows["b2"].entry.State = catalog.StateDraining // the scheduler does not know yet
	if got := place(g); got != "b1" {
		t.Errorf("chosen %s, want b1: b2 drains and the scheduler knows that b0 does", got)
	}
	x := smallExchange(g)
	before := runningAt(s)
	waitMS := int64(300)
	s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: "granted", Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: "b2", TimeoutMS: 60_000}, func(wirePlacementReply) {})
	if n := runningAt(s); n != before+1 {
		t.Fatalf("%d placements at the scheduler, want %d", n, before+1)
	}
	grant := slotGrant{scheduler: address, placementID: "granted", backEnd: "b2"}
	if _, outcome := x.applySlotReply(&wirePlacementReply{Slot: true, Instance: "b2"}, grant, g.now(), selectionInput{service: x.service, call: &x.call}); outcome != slotUnusable {
		t.Errorf("outcome %d of a grant of b2, want %d", outcome, slotUnusable)
	}
	eventually(t, "the grant of b2 is not returned", func() bool { return runningAt(s) == before })
	g = newSmallGateway("g", 6, 6, 6)
	for _, row := range g.table.rows {
		row.avoidUntil = time.Hour
	}
	if got := place(g); got != "b1" && got != "b2" {
		t.Errorf("chosen %s, want a slot although the gateway avoids all back ends", got)
	}
}

// TestInvalidSlotRequestChangesNothing guards against state corrupted by absurd waits and priorities; they are counted,
// and the gateway is answered at once.
func TestInvalidSlotRequestChangesNothing(t *testing.T) {
	s := newSmallGateway("s", 2)
	settleQueue(s)
	absurd := []func(*wirePlacementRequest){
		func(r *wirePlacementRequest) { *r.WaitMS = -5 }, func(r *wirePlacementRequest) { *r.WaitMS = 1 << 62 },
		func(r *wirePlacementRequest) { r.Priority = -1 }, func(r *wirePlacementRequest) { r.Priority = 1 << 40 },
		func(r *wirePlacementRequest) { r.TimeoutMS = -1 }, func(r *wirePlacementRequest) { r.TimeoutMS = 1 << 62 },
	}
	for i, change := range absurd {
		waitMS := int64(100)
		request := &wirePlacementRequest{PlacementID: fmt.Sprint("p", i), Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: "b0", TimeoutMS: 1000}
		change(request)
		body, _ := json.Marshal(request)
		answered := false
		s.handlePeer(transport.Request{Path: pathPlace, Body: body}, func(status int, body any) {
			answered = true
			if reply := body.(wirePlacementReply); reply != (wirePlacementReply{}) {
				t.Errorf("case %d: got %+v", i, reply)
			}
		})
		if !answered || runningAt(s) != 0 {
			t.Errorf("case %d: answered %v, %d running", i, answered, runningAt(s))
		}
	}
	if got := s.slotDesk.backEnds["b0"].queue.Stats().Invalid; got != len(absurd) {
		t.Errorf("%d counted, want %d", got, len(absurd))
	}
	unknown, _ := json.Marshal(wirePlacementEnd{PlacementID: "unknown", Service: "none", BackEnd: "none", DurationMS: -1})
	s.handlePeer(transport.Request{Path: pathEnd, Body: unknown}, func(int, any) {})
	waitMS := int64(100)
	for _, request := range []wirePlacementRequest{{Service: "small", BackEnd: "none"}, {Service: "none", BackEnd: "b0"}} {
		request.PlacementID, request.Gateway, request.WaitMS, request.TimeoutMS = "p", "g", &waitMS, 1000
		answered := false
		s.slotDesk.ask(s.now(), &request, func(reply wirePlacementReply) { answered = reply == wirePlacementReply{} })
		if !answered {
			t.Errorf("request for %s of %s is not answered without a decision", request.BackEnd, request.Service)
		}
	}
	if len(s.slotDesk.backEnds) != 1 {
		t.Errorf("%d queues after messages for unknown back ends", len(s.slotDesk.backEnds))
	}
}

// TestSchedulersAreOrderedAlikeEverywhere guards against gateways that ask different schedulers for one back end, and
// against one scheduler for all back ends of a service.
func TestSchedulersAreOrderedAlikeEverywhere(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	first := map[string]int{}
	for i := range 50 {
		service, backEnd := "small", fmt.Sprint("b", i)
		c := newSlotClient(nil)
		c.setSchedulers(addresses)
		want, _ := c.forBackEnd(0, service, backEnd)
		other := newSlotClient(nil)
		reversed := slices.Clone(addresses)
		slices.Reverse(reversed)
		other.setSchedulers(reversed)
		if got, _ := other.forBackEnd(0, service, backEnd); !slices.Equal(got, want) {
			t.Fatalf("%s: order %v, and %v at another gateway", backEnd, want, got)
		}
		other.setSchedulers(slices.DeleteFunc(reversed, func(a string) bool { return a == want[0] }))
		if got, _ := other.forBackEnd(0, service, backEnd); got[0] != want[1] {
			t.Fatalf("%s: without %s the first is %s, want %s", backEnd, want[0], got[0], want[1])
		}
		first[want[0]]++
	}
	if len(first) != len(addresses) {
		t.Fatalf("first schedulers %v, want all used", first)
	}
}

// TestSlotLogFieldsAndMetrics guards against requests whose refusal or lateness can't be traced to the queue.
func TestSlotLogFieldsAndMetrics(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 1)
	settleQueue(s)
	serveScheduler(t, address, s, nil)
	g := newSmallGateway("g", 1)
	g.slots.setSchedulers([]string{address})
	core, lines := observer.New(zap.InfoLevel)
	g.log = newDecisionLog(&node.Log{Logger: zap.New(core)})
	holder := smallExchange(g).place()
	if holder == nil || holder.slot == nil {
		t.Fatalf("got %+v, want a slot", holder)
	}
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() { done <- serveSmall(g, "r") }()
	eventually(t, "no request is shown as waiting", func() bool { return metricValue(t, s, "kitetiller_gateway_slot_requests_waiting") == 1 })
	if response := <-done; response.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want a rejection at the end of the objective", response.Code)
	}
	ended := lines.FilterMessage(events.RequestRejected).All()
	if len(ended) != 1 {
		t.Fatalf("lines %v", lines.All())
	}
	fields := ended[0].ContextMap()
	if waited, _ := fields[events.FieldSlotWait].(time.Duration); fields[events.FieldSlotSource] != address || waited < 100*time.Millisecond || fields[events.FieldReason] != reasonOverload {
		t.Errorf("fields %v", fields)
	}
	for name, least := range map[string]float64{"granted_total": 2, "rejected_total": 1, "wait_longest_seconds": 0.1} {
		if got := metricValue(t, s, "kitetiller_gateway_slot_"+name); got < least {
			t.Errorf("%s is %v, want at least %v", name, got, least)
		}
	}
}

// BenchmarkSlotDecision compares the scheduler's decision for a small service by the queue with the one without shared
// slots, each with the end of the request.
func BenchmarkSlotDecision(b *testing.B) {
	for _, backEnds := range []int{3, 6} {
		slots := slices.Repeat([]int{6}, backEnds)
		for name, shared := range map[string]bool{"queue": true, "as-before": false} {
			b.Run(fmt.Sprintf("%s-%d", name, backEnds), func(b *testing.B) {
				s := newSmallGateway("s", slots...)
				s.peers.disabled = true
				settleQueue(s)
				waitMS := int64(300)
				req := wirePlacementRequest{Gateway: "g", Service: "small", TimeoutMS: 2000, FirstAttempt: true, Zone: "z1", BackEnd: "b1"}
				end := wirePlacementEnd{Gateway: "g", Outcome: outcomeSuccess, DurationMS: 60, Service: "small"}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := s.now()
					asked := req
					asked.PlacementID = fmt.Sprint(i)
					end.PlacementID = asked.PlacementID
					if shared {
						asked.WaitMS = &waitMS
						s.slotDesk.ask(now, &asked, func(wirePlacementReply) {})
						s.slotDesk.end(now, s.applyPlacementEnd(now, &end), &end)
						continue
					}
					s.placeForPeer(now, &asked)
					s.applyPlacementEnd(now, &end)
				}
			})
		}
	}
}

// TestFullBackEndSendsRequestToOther guards against rejections while another back end has a free slot, and against a
// retry time longer than the shortest of those given.
func TestFullBackEndSendsRequestToOther(t *testing.T) {
	address := freeAddress(t)
	s := newSmallGateway("s", 1, 1)
	settleQueue(s)
	serveScheduler(t, address, s, nil)
	fill := func(backEnd string, count int) {
		for i := range count {
			waitMS := int64(60_000)
			s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: fmt.Sprint(backEnd, "-", i), Gateway: "x", Service: "small", WaitMS: &waitMS, BackEnd: backEnd, FirstAttempt: true, TimeoutMS: 60_000}, func(wirePlacementReply) {})
		}
	}
	fill("b0", 10)
	for i := range 10 { // the choice is random
		g := newSmallGateway(fmt.Sprint("g", i), 1, 1)
		g.slots.setSchedulers([]string{address})
		x := smallExchange(g)
		chosen := x.place()
		if chosen == nil || chosen.slot == nil || chosen.row.entry.ID != "b1" {
			t.Fatalf("request %d got %+v after %v, want b1", i, chosen, g.now()-x.arrived)
		}
		g.endSlot(chosen.slot, wirePlacementEnd{Service: "small"})
		eventually(t, "the slot of b1 is not free again", func() bool { return runningAt(s) == 1 })
	}
	fill("b1", 30)
	longer := int64(0)
	for i := range 10 {
		g := newSmallGateway(fmt.Sprint("h", i), 1, 1)
		g.slots.setSchedulers([]string{address})
		x := smallExchange(g)
		chosen := x.place()
		if chosen == nil || chosen.row != nil || chosen.retryAfter < minRetryAfter || g.now()-x.arrived > 200*time.Millisecond {
			t.Fatalf("got %+v after %v, want a rejection at once", chosen, g.now()-x.arrived)
		}
		waitMS := int64(0)
		s.slotDesk.ask(s.now(), &wirePlacementRequest{PlacementID: fmt.Sprint("l", i), Gateway: "x", Service: "small", WaitMS: &waitMS, BackEnd: "b1", FirstAttempt: true, TimeoutMS: 1000}, func(reply wirePlacementReply) { longer = reply.RetryAfterMS })
		if chosen.retryAfter >= durationFromMS(longer) {
			t.Fatalf("told to come back after %v, though b0 has room earlier than b1 after %d ms", chosen.retryAfter, longer)
		}
	}
}

// TestSlotBound guards against requests, repeats included, that wait for a slot until their deadline: the bound is what
// the objective leaves beside the mean work, at least 50 ms, within the deadline.
func TestSlotBound(t *testing.T) {
	g := newSmallGateway("g", 6)
	for name, c := range map[string]struct {
		elapsed, objective, deadline, want time.Duration
		sent                               int
		alternative                        bool
	}{
		"first try":                {objective: 300 * time.Millisecond, deadline: 2 * time.Second, want: 240 * time.Millisecond},
		"repeat":                   {elapsed: 100 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second, sent: 1, want: 140 * time.Millisecond},
		"objective nearly passed":  {elapsed: 235 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second, want: minSlotBound},
		"objective passed":         {elapsed: 900 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second, sent: 1, want: minSlotBound},
		"deadline is near":         {elapsed: 1920 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second, want: 20 * time.Millisecond},
		"two back ends are left":   {objective: 300 * time.Millisecond, deadline: 2 * time.Second, alternative: true, want: 60 * time.Millisecond},
		"less than the work left":  {elapsed: 1950 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second},
		"route has no objective":   {deadline: 2 * time.Second, want: 1940 * time.Millisecond},
		"objective after deadline": {objective: 5 * time.Second, deadline: time.Second, want: 940 * time.Millisecond},
	} {
		x := smallExchange(g)
		x.route = &catalog.Route{Objective: c.objective}
		x.arrived, x.deadline, x.sentCount = time.Minute, time.Minute+c.deadline, c.sent
		if got := x.slotBound(time.Minute+c.elapsed, c.alternative); got != c.want {
			t.Errorf("%s: bound %v, want %v", name, got, c.want)
		}
	}
}

// TestSlotChoice guards against gateways that all choose the same back end, that ignore the waits told, and that keep
// to a wait which is long over.
func TestSlotChoice(t *testing.T) {
	c := newSlotClient(nil)
	rng := mathrand.New(mathrand.NewPCG(1, 2))
	now := time.Minute
	options := func() []slotOption {
		return []slotOption{{id: "b0", zone: "z0", slots: 6}, {id: "b1", zone: "z1", slots: 6}, {id: "b2", zone: "z2", slots: 12}}
	}
	firsts := func(zone string, change func([]slotOption)) map[string]int {
		counts := map[string]int{}
		for range 4000 {
			o := options()
			if change != nil {
				change(o)
			}
			picked := c.pick(now, zone, o, rng.IntN)
			counts[picked[0].id]++
			if len(picked) > 1 && picked[0].id == picked[1].id {
				t.Fatalf("picked %+v", picked)
			}
		}
		return counts
	}
	if got := firsts("none", nil); got["b0"] < 800 || got["b0"] > 1200 || got["b1"] < 800 || got["b1"] > 1200 {
		t.Errorf("picked %v, want a quarter each for b0 and b1 and half for b2", got)
	}
	if got := firsts("z0", nil); got["b0"] < 2200 {
		t.Errorf("picked %v from the zone of b0", got)
	}
	c.recordWait(now, "b0", 40*time.Millisecond)
	if got := firsts("z0", nil); got["b0"] != 0 {
		t.Errorf("picked %v although b0 has a wait", got)
	}
	if got := firsts("z0", func(o []slotOption) { o[1].avoided, o[2].avoided = true, true }); got["b0"] != 4000 {
		t.Errorf("picked %v although the others are avoided", got)
	}
	if got := firsts("z0", func(o []slotOption) { o[0].avoided, o[1].avoided, o[2].avoided = true, true, true }); got["b0"] != 0 || got["b1"] == 0 {
		t.Errorf("picked %v while all are avoided", got)
	}
	c.recordWait(now, "b1", 30*time.Millisecond)
	now += slotWaitTTL / 2
	c.recordWait(now, "b0", 10*time.Millisecond) // b1 counts as 15 ms now
	if got := firsts("none", func(o []slotOption) { o[2].avoided = true }); got["b0"] != 4000 {
		t.Errorf("picked %v, want b0 with the shorter wait", got)
	}
	now += slotWaitTTL
	if got := firsts("z0", nil); got["b0"] < 2200 {
		t.Errorf("picked %v after the waits have passed", got)
	}
}

// TestQueueOfRemovedBackEndIsRemoved guards against queues that are kept for ever, and against counters that decrease.
func TestQueueOfRemovedBackEndIsRemoved(t *testing.T) {
	s := newSmallGateway("s", 1, 1)
	now := time.Minute
	s.now = func() time.Duration { return now }
	settleQueue(s)
	waitMS := int64(0)
	s.slotDesk.ask(now, &wirePlacementRequest{PlacementID: "p", Gateway: "g", Service: "small", WaitMS: &waitMS, BackEnd: "b1", TimeoutMS: 2000}, func(wirePlacementReply) {})
	before := metricValue(t, s, "kitetiller_gateway_slot_granted_total")
	s.table.applyRoster(now, smallRoster(1), nil)
	s.slotDesk.sweep(now)
	if len(s.slotDesk.backEnds) != 2 {
		t.Fatalf("%d queues while a request runs at b1, want 2", len(s.slotDesk.backEnds))
	}
	end := &wirePlacementEnd{PlacementID: "p", Gateway: "g", BackEnd: "b1"}
	s.slotDesk.end(now, s.applyPlacementEnd(now, end), end)
	now += 2 * time.Second
	s.slotDesk.sweep(now)
	if len(s.slotDesk.backEnds) != 1 || s.slotDesk.backEnds["b0"] == nil {
		t.Fatalf("%d queues, want that of b0", len(s.slotDesk.backEnds))
	}
	if after := metricValue(t, s, "kitetiller_gateway_slot_granted_total"); after != before {
		t.Fatalf("granted total %v, was %v", after, before)
	}
}
