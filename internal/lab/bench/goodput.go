package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"kitetiller/internal/admission"
)

// A stand-in of an engine fleet under overload: engines that serve one request after the other, deciders that know queues a
// moment late, callers with an objective and a deadline that come back when they are told to. It shows what refusing in time is
// worth; how well a router places is measured elsewhere.
const (
	goodputEngines     = 30
	goodputServiceTime = 120 * time.Millisecond // mean, exponential
	goodputStaleness   = 40 * time.Millisecond  // by which deciders know queues late: twice what gateways take to tell each other
	goodputObjective   = 800 * time.Millisecond
	goodputDeadline    = 5 * time.Second
	goodputDuration    = 40 * time.Second
	goodputCandidates  = 4 // engines that are looked at for a request
	goodputMaxRetries  = 2 // times that a caller comes back
)

// GoodputPoint is what callers got at one load.
type GoodputPoint struct {
	Load              float64 `json:"load"` // arrivals against what the engines can serve
	Refusal           bool    `json:"refusal"`
	InTime            float64 `json:"in_time"` // answers within the objective, from the caller's newest try, as a share of what the engines can serve
	Late              float64 `json:"late"`
	Refused           float64 `json:"refused"` // callers that ended so
	Lost              float64 `json:"lost"`    // callers that reached their deadline
	MeanTimeToOutcome float64 `json:"word_ms"` // mean time until callers knew how it ended
}

// GoodputLoads are the loads of the curve.
var GoodputLoads = []float64{0.5, 0.75, 0.9, 1, 1.25, 1.5, 2, 2.5, 3}

// Goodput plays one load, with or without refusing in time.
func Goodput(load float64, refusal bool, seed uint64) GoodputPoint {
	f := &goodputFleet{random: rand.New(rand.NewPCG(seed, seed)), refusal: refusal, freeAt: make([]time.Duration, goodputEngines)}
	f.knownFreeAt = make([]time.Duration, goodputEngines)
	f.point = GoodputPoint{Load: load, Refusal: refusal}
	capacity := float64(goodputEngines) / goodputServiceTime.Seconds() // a second, by all engines
	for at := time.Duration(0); at < goodputDuration; {
		at += time.Duration(f.random.ExpFloat64() / (load * capacity) * float64(time.Second))
		heap.Push(&f.attempts, goodputAttempt{at: at, first: at, key: fmt.Sprint(len(f.attempts), at)})
	}
	for f.attempts.Len() > 0 {
		f.place(heap.Pop(&f.attempts).(goodputAttempt))
	}
	totalCapacity := capacity * goodputDuration.Seconds()
	p := f.point
	return GoodputPoint{
		Load: load, Refusal: refusal, InTime: p.InTime / totalCapacity, Late: p.Late / totalCapacity, Refused: p.Refused / totalCapacity, Lost: p.Lost / totalCapacity,
		MeanTimeToOutcome: float64(f.totalTimeToOutcome.Milliseconds()) / max(1, p.InTime+p.Late+p.Refused+p.Lost),
	}
}

// goodputAttempt is a caller's try.
type goodputAttempt struct {
	at, first time.Duration // of this try, and of the first one
	key       string
	retries   int
}

// goodputQueue is a heap by time.
type goodputQueue []goodputAttempt

func (c goodputQueue) Len() int           { return len(c) }
func (c goodputQueue) Less(i, j int) bool { return c[i].at < c[j].at }
func (c goodputQueue) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *goodputQueue) Push(x any)        { *c = append(*c, x.(goodputAttempt)) }
func (c *goodputQueue) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

type goodputFleet struct {
	random             *rand.Rand
	refusal            bool
	freeAt             []time.Duration // by engine
	knownFreeAt        []time.Duration // freeAt as deciders know it
	knownAt            time.Duration
	admission          admission.Controller
	attempts           goodputQueue
	point              GoodputPoint
	totalTimeToOutcome time.Duration
}

// place places one try, or turns it away.
func (f *goodputFleet) place(c goodputAttempt) {
	if c.at >= f.knownAt+goodputStaleness {
		copy(f.knownFreeAt, f.freeAt)
		f.knownAt = c.at
	}
	engine := f.random.IntN(goodputEngines)
	for range goodputCandidates - 1 {
		if other := f.random.IntN(goodputEngines); f.knownFreeAt[other] < f.knownFreeAt[engine] {
			engine = other
		}
	}
	predicted := max(0, f.knownFreeAt[engine]-c.at)
	request := admission.Request{Key: c.key, PredictedWait: predicted, Objective: goodputObjective, Random: f.random.Float64()}
	if retryAfter, rejected := f.admission.Decide(c.at, request); rejected && f.refusal {
		f.reject(c, retryAfter)
		return
	}
	f.serve(c, engine, predicted)
}

// reject lets a caller come back, unless it has no time left for that.
func (f *goodputFleet) reject(c goodputAttempt, retryAfter time.Duration) {
	const maxWaitDivisor = 3 // callers wait for a third of the time that they have remaining, at most
	remaining := c.first + goodputDeadline - c.at
	if c.retries >= goodputMaxRetries || remaining <= 0 {
		f.point.Refused++
		f.totalTimeToOutcome += c.at - c.first
		return
	}
	heap.Push(&f.attempts, goodputAttempt{at: c.at + min(retryAfter, remaining/maxWaitDivisor), first: c.first, key: c.key, retries: c.retries + 1})
}

// serve runs a try on an engine; work on one whose caller leaves meanwhile is lost.
func (f *goodputFleet) serve(c goodputAttempt, engine int, predicted time.Duration) {
	start := max(f.freeAt[engine], c.at)
	deadline := c.first + goodputDeadline
	if start >= deadline {
		f.point.Lost++
		f.totalTimeToOutcome += goodputDeadline
		return
	}
	f.admission.ObserveWait(0, predicted, start-c.at)
	work := time.Duration(f.random.ExpFloat64() * float64(goodputServiceTime))
	end := start + work
	f.freeAt[engine] = min(end, deadline)
	f.totalTimeToOutcome += min(end, deadline) - c.first
	switch {
	case end > deadline:
		f.point.Lost++
	case end-c.at > goodputObjective:
		f.point.Late++
	default:
		f.point.InTime++
	}
}

// GoodputCurve plays all loads with and without refusing in time.
func GoodputCurve(seed uint64) []GoodputPoint {
	var points []GoodputPoint
	for _, refusal := range []bool{false, true} {
		for _, load := range GoodputLoads {
			points = append(points, Goodput(load, refusal, seed))
		}
	}
	return points
}

// GoodputMarkdown returns the curve as a table.
func GoodputMarkdown(points []GoodputPoint) string {
	var text strings.Builder
	text.WriteString("| load | refusing in time | in time | late | refused | lost | mean time to the final word, ms |\n|---|---|---|---|---|---|---|\n")
	for _, p := range points {
		fmt.Fprintf(&text, "| %.2f | %t | %.3f | %.3f | %.3f | %.3f | %.0f |\n", p.Load, p.Refusal, p.InTime, p.Late, p.Refused, p.Lost, p.MeanTimeToOutcome)
	}
	return text.String()
}

// PlotGoodput draws the curve.
func PlotGoodput(folder string, points []GoodputPoint) error {
	p := plot.New()
	p.Title.Text = "answers in time under overload"
	p.X.Label.Text, p.Y.Label.Text = "load, of what the engines can serve", "answers in time, of what the engines can serve"
	p.Y.Min = 0
	p.Legend.Top = true
	for index, refusal := range []bool{false, true} {
		var line plotter.XYs
		for _, point := range points {
			if point.Refusal == refusal {
				line = append(line, plotter.XY{X: point.Load, Y: point.InTime})
			}
		}
		name := "everything is sent"
		if refusal {
			name = "refusing in time"
		}
		if err := addLine(p, index, name, line); err != nil {
			return err
		}
	}
	return save(p, folder, "goodput.png")
}
