package congestion

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A window grows with prompt responses and halves with late ones.
func TestWindowFollowsFirstResponses(t *testing.T) {
	const routers = 100
	w := NewConnectionWindow(routers)
	now := time.Duration(0)
	respond := func(took time.Duration) {
		o := w.Open(now, 0)
		now += took
		w.Responded(now, o)
	}
	if w.Open(now, 0); w.Allows(now) {
		t.Fatal("a second connection may be opened before the first proves useful")
	}
	for range maxWindow {
		respond(promptResponse / 10)
	}
	if w.Size() != maxWindow || !w.Allows(now) {
		t.Fatalf("size %v after prompt responses, want %v", w.Size(), maxWindow)
	}
	for range maxWindow {
		respond(2 * promptResponse)
	}
	if w.Size() != 1 {
		t.Fatalf("size %v after late responses, want 1", w.Size())
	}
}

// Connections without a response are opened at longer and longer intervals, until one proves useful.
func TestConnectionsThatFailAreSpaced(t *testing.T) {
	w := NewConnectionWindow(100)
	var opened []time.Duration
	var last *Opening
	now := time.Duration(0)
	for ; now < 20*time.Second; now += 10 * time.Millisecond {
		if w.Allows(now) {
			opened, last = append(opened, now), w.Open(now, 0)
		}
	}
	if len(opened) < 3 || len(opened) > 6 || opened[1] > 2*maxOpeningTime {
		t.Fatalf("opened at %v", opened)
	}
	w.Responded(now, last)
	if !w.Allows(now) || w.Size() != 1 {
		t.Errorf("none may be opened after a response, size %v", w.Size())
	}
}

// One back end that accepts connections and never responds doesn't keep others from being connected to.
func TestOneFailedConnectionDelaysNoOther(t *testing.T) {
	w := NewConnectionWindow(100)
	w.Failed(maxOpeningTime/2, w.Open(0, 0))
	if !w.Allows(maxOpeningTime / 2) {
		t.Error("no connection may be opened after one has failed")
	}
}

// A service that takes long by itself isn't bounded once a question has been answered promptly.
func TestPromptReplyEndsTheBound(t *testing.T) {
	w := NewConnectionWindow(100)
	w.Open(0, 0)
	now := 2 * maxOpeningTime
	if !w.Allows(now) || !w.NeedsCheck() {
		t.Fatal("no question is asked after a connection without a response")
	}
	o := w.Open(now, 0)
	w.Checked(now+promptResponse/10, o)
	for range 3 * maxWindow {
		if !w.Allows(now + promptResponse) {
			t.Fatal("the window bounds a service whose back ends reply promptly")
		}
		w.Open(now+promptResponse, 0)
	}
}

// coldFleet is routers without connections before back ends that take turns for one capacity.
type coldFleet struct {
	request, connection time.Duration // what these take of the capacity
	bounded             bool          // whether windows bound the connections being opened; else late ones are closed and others opened
	routers             []*coldRouter
	now, freeAt         time.Duration
	events              eventQueue
	served              int
}

type coldRouter struct {
	window  *ConnectionWindow
	idle    int
	waiting []time.Duration // deadlines of requests without a connection
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *coldFleet) after(delay time.Duration, do func()) {
	heap.Push(&f.events, event{f.now + delay, do})
}

// use adds work and returns how long it takes until it is done.
func (f *coldFleet) use(work time.Duration) time.Duration {
	f.freeAt = max(f.freeAt, f.now) + work
	return f.freeAt - f.now
}

// serve sends requests that wait, on idle connections first.
func (f *coldFleet) serve(r *coldRouter) {
	for len(r.waiting) > 0 {
		deadline := r.waiting[0]
		switch {
		case deadline <= f.now:
		case r.idle > 0:
			r.idle--
			f.send(r, deadline, nil)
		case !f.bounded:
			f.openUnbounded(r, deadline, 1)
		case r.window.Allows(f.now):
			opening := r.window.Open(f.now, 0)
			f.after(f.use(f.connection), func() { f.send(r, deadline, opening) })
		default:
			return
		}
		r.waiting = r.waiting[1:]
	}
}

// openUnbounded opens a connection, and up to three further ones while none is established.
func (f *coldFleet) openUnbounded(r *coldRouter, deadline time.Duration, attempt int) {
	established := false
	f.after(f.use(f.connection), func() {
		if established = f.now <= deadline; established {
			f.send(r, deadline, nil)
		}
	})
	f.after(promptResponse, func() {
		if !established && attempt < 4 && f.now < deadline {
			f.openUnbounded(r, deadline, attempt+1)
		}
	})
}

// send sends a request on a connection, which is kept.
func (f *coldFleet) send(r *coldRouter, deadline time.Duration, opening *Opening) {
	f.after(f.use(f.request), func() {
		if opening != nil {
			r.window.Responded(f.now, opening)
		}
		switch {
		case f.now <= deadline:
			f.served++
		case !f.bounded:
			return
		}
		r.idle++
		f.serve(r)
	})
}

// run sends a number of requests a second to random routers, and returns the fraction served of those that end in the second half.
func (f *coldFleet) run(random *rand.Rand, rate float64, length time.Duration) float64 {
	sent := 0
	var arrive func()
	arrive = func() {
		if f.now < length {
			r := f.routers[random.IntN(len(f.routers))]
			r.waiting = append(r.waiting, f.now+deadline)
			f.serve(r)
			sent++
			f.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	arrive()
	half := length / 2
	f.after(half, func() { f.served, sent = 0, 0 })
	for _, r := range f.routers {
		f.poll(r, length)
	}
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		if f.now = next.at; f.now > length {
			break
		}
		next.do()
	}
	return float64(f.served) / float64(sent)
}

// poll looks regularly whether waiting requests may be sent.
func (f *coldFleet) poll(r *coldRouter, until time.Duration) {
	f.serve(r)
	if f.now < until {
		f.after(50*time.Millisecond, func() { f.poll(r, until) })
	}
}

// Many routers without connections before back ends whose capacity bears the requests, but not a connection for each, come to serve
// them, also ten times as many before ten times the capacity. Without windows none does.
func TestColdFleetOpensFewConnections(t *testing.T) {
	const length = 20 * time.Second
	for _, c := range []struct {
		routers             int
		rate                float64
		request, connection time.Duration
	}{
		{24, 100, 8 * time.Millisecond, 12 * time.Millisecond}, {76, 100, 5 * time.Millisecond, 15 * time.Millisecond},
		{760, 1000, 500 * time.Microsecond, 1500 * time.Microsecond},
	} {
		for seed := range uint64(3) {
			for _, bounded := range []bool{true, false} {
				f := &coldFleet{request: c.request, connection: c.connection, bounded: bounded}
				for range c.routers {
					f.routers = append(f.routers, &coldRouter{window: NewConnectionWindow(c.routers)})
				}
				served := f.run(rand.New(rand.NewPCG(seed, 0)), c.rate, length)
				t.Run(fmt.Sprint(c.routers, bounded, seed), func(t *testing.T) {
					if bounded && served < 0.9 || !bounded && served > 0.5 {
						t.Errorf("%.2f served", served)
					}
				})
			}
		}
	}
}

// A new connection costs what responses take longer on one.
func TestCostIsTheDifference(t *testing.T) {
	var c ConnectionCost
	if c.Record(false, 100*time.Millisecond); c.Value() != 50*time.Millisecond {
		t.Errorf("cost %v before a connection was used again, want half of the time", c.Value())
	}
	if c.Record(true, 70*time.Millisecond); c.Value() != 30*time.Millisecond {
		t.Errorf("cost %v, want 30ms", c.Value())
	}
}
