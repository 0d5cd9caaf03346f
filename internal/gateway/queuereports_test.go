package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/transport"
)

// TestUnreportedFirstEventsAreNotOverdue guards against an engine that counts as up to 4 times slower because nobody
// reports the first event of a request sent there: the requesting gateway is of an older build, or the route is buffered.
func TestUnreportedFirstEventsAreNotOverdue(t *testing.T) {
	for what, send := range map[string]func(*Gateway, time.Duration){
		"placed for an older gateway": func(g *Gateway, now time.Duration) {
			asked := shortPrompt("old", 0)
			asked.PromptTokens, asked.PartTokens, asked.ReportsFirstEvent = 800, []int{800}, false
			if reply := g.placeForPeer(now, asked); reply.ReportFirstEvent {
				t.Error("asked an older gateway for a report")
			}
		},
		"buffered, placed by itself": func(g *Gateway, now time.Duration) {
			x := newModelRequest(g)
			x.route = &catalog.Route{Name: "buffered"}
			x.call.Parts, x.call.PromptTokens = nil, 800
			a := x.newAttempt(x.place())
			g.table.begin(now, a)
		},
	} {
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		row := g.table.rows["i-0"]
		g.placeForPeer(*now, shortPrompt("reported", 0))
		*now += 50 * time.Millisecond
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "reported", Running: true, FirstEventMS: 40})
		send(g, *now)
		if n := row.queue.Outstanding(); n != 1 {
			t.Errorf("%s: %d requests outstanding, want 1", what, n)
		}
		*now += 190 * time.Millisecond
		scored := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
		if scored.slowness != 1 || !scored.engineIdle {
			t.Errorf("%s: slowness %v after 190 ms, idle %v; want 1 and an idle engine", what, scored.slowness, scored.engineIdle)
		}
	}
}

// TestQueueMessagesTwiceLateOrUnknown guards against messages that change the queue a second time, after the end, or
// for requests that nobody knows.
func TestQueueMessagesTwiceLateOrUnknown(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row := g.table.rows["i-0"]
	sent := announcement{Gateway: "b", Instance: "i-0", Salt: "w1", Uncached: 9000, Queue: queueAnnouncement{Number: 4, Priority: 1}}
	first := announcement{Gateway: "b", Instance: "i-0", Queue: queueAnnouncement{Number: 4, FirstEvent: true}}
	report := &wirePlacementEnd{PlacementID: "t0", Running: true, FirstEventMS: 60}
	g.placeForPeer(*now, newPlacementRequest("t0", 0))
	g.table.applySends(*now, []announcement{sent, sent})
	if n := row.queue.Outstanding(); n != 2 {
		t.Fatalf("%d requests outstanding after an announcement that came twice, want 2", n)
	}
	*now += 100 * time.Millisecond
	g.handleFirstEvent(*now, report)
	g.table.applySends(*now, []announcement{first})
	g.placeForPeer(*now, newPlacementRequest("t1", 0))
	in := inputOf(g, shortPrompt("x", 1))
	want := g.score(*now, row, in, false, nil)
	for range 2 {
		g.handleFirstEvent(*now, report)
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "unknown", Running: true, FirstEventMS: 60})
		g.table.applySends(*now, []announcement{first, {Gateway: "c", Instance: "i-0", Queue: queueAnnouncement{Number: 4, Removed: true}}, {Gateway: "b", Instance: "gone", Queue: first.Queue}})
	}
	if got := g.score(*now, row, in, false, nil); got.cost != want.cost || row.queue.Outstanding() != 1 || g.table.queueRates["s"].Dropped() != 0 {
		t.Fatalf("cost %v, want %v; %d requests outstanding", got.cost, want.cost, row.queue.Outstanding())
	}
	if _, _, known := g.table.endPlacement(*now, &wirePlacementEnd{PlacementID: "t0", Outcome: outcomeSuccess, FirstEventMS: 60, DurationMS: 100}); !known {
		t.Fatal("placement ended by the report of its first event")
	}
	g.handleFirstEvent(*now, report)
	if row.queue.Outstanding() != 1 {
		t.Fatal("a late report changed the queue")
	}
}

// TestAbsurdQueueMessages guards against numbers that make predictions infinite or negative: they are clamped or
// dropped, and counted.
func TestAbsurdQueueMessages(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row, rates := g.table.rows["i-0"], g.table.queueRates["s"]
	dropped := uint64(0)
	for i, w := range []wireAnnouncement{
		{QueuePriority: -5, Uncached: 100, Salt: "w1"}, {QueuePriority: math.MaxInt, Uncached: 100, Salt: "w1"}, {Uncached: math.MaxInt, Salt: "w1"},
		{FirstEvent: true, FirstEventAgeMS: -5}, {FirstEvent: true, FirstEventAgeMS: math.MaxInt64}, {FirstEvent: true, FirstEventAgeMS: math.MinInt64},
	} {
		w.Gateway, w.Instance, w.QueueNumber = "b", "i-0", uint64(i%3+1)
		g.table.applySends(*now, []announcement{w.announcement()})
		if rates.Dropped() <= dropped {
			t.Errorf("message %d was not counted", i)
		}
		dropped = rates.Dropped()
	}
	for i, first := range []int64{-5, 0, math.MaxInt64} {
		id := fmt.Sprint("t", i)
		g.placeForPeer(*now, shortPrompt(id, 0))
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: id, Running: true, FirstEventMS: first})
		if rates.Dropped() <= dropped {
			t.Errorf("report of a first event after %d ms was not counted", first)
		}
		dropped = rates.Dropped()
		g.table.endPlacement(*now, &wirePlacementEnd{PlacementID: id, FirstEventMS: first, DurationMS: math.MaxInt64, PauseMS: math.MaxInt64})
	}
	for number := range uint64(3) { // the third has a prompt of the maximum size
		scored := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
		if !(scored.cost >= 0 && scored.cost < 110_000 && scored.queueWait >= 0) {
			t.Fatalf("score %+v", scored)
		}
		g.table.applySends(*now, []announcement{{Gateway: "b", Instance: "i-0", Queue: queueAnnouncement{Number: number + 1, Removed: true}}})
	}
	scored := g.score(*now, row, inputOf(g, shortPrompt("x", 0)), false, nil)
	if !(scored.cost >= 0 && scored.cost < 1000 && scored.queueWait >= 0) || row.queue.Outstanding() != 0 {
		t.Fatalf("%d requests outstanding after their ends, score %+v", row.queue.Outstanding(), scored)
	}
}

// TestAbsurdFirstEventsCompleteNothing guards against a report whose time is absurd: it must not remove the requests that
// were sent before, nor be announced, and the end of the request removes only the request.
func TestAbsurdFirstEventsCompleteNothing(t *testing.T) {
	for _, first := range []int64{-1, math.MinInt64, math.MaxInt64, 30 * time.Minute.Milliseconds(), 0} {
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		row, rates := g.table.rows["i-0"], g.table.queueRates["s"]
		for i := range 3 {
			g.placeForPeer(*now, shortPrompt(fmt.Sprint("t", i), 0))
			*now += time.Millisecond
		}
		*now += 20 * time.Millisecond
		g.handleFirstEvent(*now, &wirePlacementEnd{PlacementID: "t2", Running: true, FirstEventMS: first})
		if row.queue.Outstanding() != 3 || rates.Dropped() != 1 || row.queue.Work() != 0 {
			t.Errorf("first event after %d ms: %d requests outstanding, %d dropped", first, row.queue.Outstanding(), rates.Dropped())
		}
		p, _, _ := g.table.endPlacement(*now, &wirePlacementEnd{PlacementID: "t2", FirstEventMS: first, DurationMS: 20})
		if row.queue.Outstanding() != 2 || row.queue.Work() != 0 || !p.ended.Removed || p.ended.FirstEvent || first != 0 && rates.Dropped() != 2 {
			t.Errorf("end with a first event after %d ms: %d requests outstanding, %d dropped, announced %+v", first, row.queue.Outstanding(), rates.Dropped(), p.ended)
		}
	}
}

// TestFirstEventReportsLeaveRoomForEnds guards against reports of first events that displace reports of ends: the load of
// a request whose end is dropped counts at its scheduler until the placement expires.
func TestFirstEventReportsLeaveRoomForEnds(t *testing.T) {
	unanswered := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := newSchedulers(transport.NewClientWithDialer("", unanswered))
	for range 2 * maxPendingEnds {
		s.reportEnd("scheduler", wirePlacementEnd{Running: true})
	}
	if n := len(s.endSlots); n < maxPendingEnds/2 || n > maxPendingEnds/2+1 {
		t.Errorf("%d reports of first events in flight, want about half of %d", n, maxPendingEnds)
	}
	for range 2 * maxPendingEnds {
		s.reportEnd("scheduler", wirePlacementEnd{})
	}
	if n := len(s.endSlots); n != maxPendingEnds {
		t.Errorf("%d reports in flight, want %d", n, maxPendingEnds)
	}
}

// TestFirstEventsDuringRosterUpdates guards, under the race detector, against entries that are read without the mutex while
// a roster update replaces them.
func TestFirstEventsDuringRosterUpdates(t *testing.T) {
	g, now := newQueueScheduler(1, 400*time.Millisecond)
	row := g.table.rows["i-0"]
	update := &control.RosterUpdate{Full: true, Entries: []control.RosterEntry{row.entry}}
	for i := range 50 {
		g.placeForPeer(*now, shortPrompt(fmt.Sprint("t", i), 0))
	}
	at := *now + 50*time.Millisecond
	var updates sync.WaitGroup
	updates.Go(func() {
		for range 500 {
			g.table.applyRoster(at, update, nil)
		}
	})
	for i := range 50 {
		g.handleFirstEvent(at, &wirePlacementEnd{PlacementID: fmt.Sprint("t", i), Running: true, FirstEventMS: 40})
		g.announceFirstEvent(at, at, row, queueAnnouncement{Number: uint64(i + 1), FirstEvent: true})
	}
	updates.Wait()
	if n := row.queue.Outstanding(); n != 0 {
		t.Errorf("%d requests outstanding", n)
	}
}

// TestAbsurdAgesLeaveQueuesAsTheyAre guards against an announcement whose age overflows or is negative: the time of sending
// would lie in the future, and the queues of the whole service would take that for the present.
func TestAbsurdAgesLeaveQueuesAsTheyAre(t *testing.T) {
	for _, ms := range []int64{1e13, math.MaxInt64, math.MaxInt64 / 1_000_000, 2 * time.Hour.Milliseconds(), math.MinInt64, -1e12} {
		if d := durationFromMS(ms); d < 0 || d+d < 0 {
			t.Errorf("%d ms is converted to %v", ms, d)
		}
		g, now := newQueueScheduler(1, 400*time.Millisecond)
		row, rates := g.table.rows["i-0"], g.table.queueRates["s"]
		for i := range 4 {
			g.placeForPeer(*now, newPlacementRequest(fmt.Sprint("t", i), i))
		}
		want := g.score(*now, row, inputOf(g, shortPrompt("x", 1)), false, nil)
		sent := announcement{Gateway: "b", Instance: "i-0", Salt: "w1", Uncached: 100, Queue: queueAnnouncement{Number: 7, Priority: 9}}
		sent.Age = wireAnnouncement{AgeMS: ms}.announcement().Age
		g.table.applySends(*now, []announcement{sent})
		if ms > 0 && (rates.Dropped() != 1 || row.queue.Outstanding() != 4) {
			t.Errorf("%d ms: %d dropped, %d requests outstanding; want 1 and 4", ms, rates.Dropped(), row.queue.Outstanding())
		}
		sent.Age = -time.Hour // the sum of an age and its wait may overflow
		sent.Queue.Number++
		g.table.applySends(*now, []announcement{sent})
		*now += time.Millisecond
		got := g.score(*now, row, inputOf(g, shortPrompt("x", 1)), false, nil)
		if row.queue.Outstanding() < 4 || got.queueWait < want.queueWait-20 {
			t.Errorf("%d ms: %d requests outstanding, predicted wait %.0f ms; want that of the placed requests, %.0f ms", ms, row.queue.Outstanding(), got.queueWait, want.queueWait)
		}
		*now += time.Minute
		if row.queue.Sweep(*now); row.queue.Outstanding() != 0 {
			t.Errorf("%d ms: %d requests outstanding after a minute", ms, row.queue.Outstanding())
		}
	}
}

// TestFirstEventReports tests over the network that a scheduler hears of a first event while the stream goes on, and
// only by the report of the end if the stream ends at once; and that a gateway which places its requests itself feeds
// its own queue and its reservations. It guards against a resumed attempt whose whole stream counts as a wait, since the
// first event of the request came before the attempt.
func TestFirstEventReports(t *testing.T) {
	for what, c := range map[string]struct {
		pause     time.Duration
		scheduled bool
		reports   int // of first events
		resumed   bool
	}{
		"stream goes on":             {120 * time.Millisecond, true, 1, false},
		"stream ends at once":        {0, true, 0, false},
		"resumed, goes on":           {120 * time.Millisecond, true, 1, true},
		"resumed, ends at once":      {0, true, 0, true},
		"placed by itself, goes on":  {120 * time.Millisecond, false, 0, false},
		"placed by itself, at once ": {0, false, 0, false},
		"placed by itself, resumed":  {120 * time.Millisecond, false, 0, true},
	} {
		t.Run(what, func(t *testing.T) {
			s, _ := newQueueScheduler(1, 400*time.Millisecond)
			s.now = newScheduler(1).now
			var mu sync.Mutex
			var reports []wirePlacementEnd
			ended := make(chan struct{}, 8)
			address := freeAddress(t)
			server, err := transport.Listen(address, "", func(request transport.Request, respond transport.Respond) {
				s.handlePeer(request, respond)
				if request.Path == pathEnd {
					var end wirePlacementEnd
					_ = json.Unmarshal(request.Body, &end)
					mu.Lock()
					reports = append(reports, end)
					mu.Unlock()
					if !end.Running {
						ended <- struct{}{}
					}
				}
			}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close(context.Background()) }()
			g, _ := newQueueScheduler(1, 400*time.Millisecond)
			g.now, g.dialect = newScheduler(1).now, plainDialect{}
			row := g.table.rows["i-0"]
			row.entry.Address = streamingEngine(t, c.pause)
			if c.scheduled {
				g.schedulers.setAddresses([]string{address})
			}
			x := newModelRequest(g)
			x.route = &g.view.Load().document.Routes[0]
			x.call.Parts, x.call.PromptTokens = promptParts("own"), 9190
			x.request, x.writer = httptest.NewRequest(http.MethodPost, "/x", nil), httptest.NewRecorder()
			chosen := x.place()
			if chosen == nil || (chosen.scheduled != nil) != c.scheduled {
				t.Fatalf("chosen %+v", chosen)
			}
			reservations := g.table.reservationController("s")
			if c.resumed {
				x.firstEventAt = g.now()
			}
			if got := x.newAttempt(chosen).perform(); got.kind != resultAnswered {
				t.Fatalf("result %+v", got)
			}
			if !c.scheduled {
				if row.queue.Outstanding() != 0 || row.queue.Work() == 0 {
					t.Fatalf("own queue: %d requests outstanding, work %v", row.queue.Outstanding(), row.queue.Work())
				}
				if reflect.ValueOf(reservations).Elem().FieldByName("peakRate").Float() == 0 {
					t.Fatal("reservations: the prompt does not count as read")
				}
				return
			}
			<-ended
			mu.Lock()
			defer mu.Unlock()
			running := 0
			for _, report := range reports {
				if report.Running {
					running++
				}
			}
			last := reports[len(reports)-1]
			if running != c.reports || len(reports) != c.reports+1 || last.FirstEventMS == 0 || c.pause > 0 && last.PauseMS < 100 {
				t.Fatalf("reports %+v", reports)
			}
			if queue := s.table.rows["i-0"].queue; queue.Outstanding() != 0 {
				t.Fatalf("%d requests outstanding at the scheduler", queue.Outstanding())
			}
		})
	}
}
