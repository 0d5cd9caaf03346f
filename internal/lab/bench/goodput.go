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

// Model of an engine fleet under overload. Engines serve one request at a time, admission sees delayed queue state, and
// callers with a latency objective and a deadline retry when told to. The model measures the effect of early rejection
// on goodput, not the quality of placement.
const (
	goodputEngines     = 30
	goodputServiceTime = 120 * time.Millisecond // mean, exponential
	goodputStaleness   = 40 * time.Millisecond  // delay of the queue state that admission sees: twice what gateways take to announce a request
	goodputObjective   = 800 * time.Millisecond
	goodputDeadline    = 5 * time.Second
	goodputDuration    = 40 * time.Second
	goodputCandidates  = 4 // random engines compared for a request
	goodputMaxRetries  = 2 // of a caller
)

// GoodputPoint holds the outcomes at one load. Counts are fractions of what the engines can serve.
type GoodputPoint struct {
	Load              float64 `json:"load"` // arrival rate divided by the engines' capacity
	EarlyRejection    bool    `json:"refusal"`
	InTime            float64 `json:"in_time"` // responses within the objective, measured from the caller's last attempt
	Late              float64 `json:"late"`
	Rejected          float64 `json:"refused"` // callers whose last attempt was rejected
	Lost              float64 `json:"lost"`    // callers whose deadline passed
	MeanTimeToOutcome float64 `json:"word_ms"` // mean time from the first attempt to the outcome
}

// GoodputLoads lists the loads of the curve.
var GoodputLoads = []float64{0.5, 0.75, 0.9, 1, 1.25, 1.5, 2, 2.5, 3}

// Goodput simulates one load, with or without early rejection.
func Goodput(load float64, earlyRejection bool, seed uint64) GoodputPoint {
	f := &goodputFleet{random: rand.New(rand.NewPCG(seed, seed)), earlyRejection: earlyRejection, freeAt: make([]time.Duration, goodputEngines)}
	f.knownFreeAt = make([]time.Duration, goodputEngines)
	f.point = GoodputPoint{Load: load, EarlyRejection: earlyRejection}
	capacity := float64(goodputEngines) / goodputServiceTime.Seconds() // requests per second of all engines
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
		Load: load, EarlyRejection: earlyRejection, InTime: p.InTime / totalCapacity, Late: p.Late / totalCapacity, Rejected: p.Rejected / totalCapacity, Lost: p.Lost / totalCapacity,
		MeanTimeToOutcome: float64(f.totalTimeToOutcome.Milliseconds()) / max(1, p.InTime+p.Late+p.Rejected+p.Lost),
	}
}

// goodputAttempt is one attempt of a caller.
type goodputAttempt struct {
	at, first time.Duration // time of this attempt and of the caller's first one
	key       string
	retries   int
}

// goodputQueue is a heap ordered by time.
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
	earlyRejection     bool
	freeAt             []time.Duration // by engine: when its queue is empty
	knownFreeAt        []time.Duration // freeAt as admission sees it
	knownAt            time.Duration
	admission          admission.Controller
	attempts           goodputQueue
	point              GoodputPoint
	totalTimeToOutcome time.Duration
}

// place sends an attempt to an engine, or rejects it.
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
	if retryAfter, rejected := f.admission.Decide(c.at, request); rejected && f.earlyRejection {
		f.reject(c, retryAfter)
		return
	}
	f.serve(c, engine, predicted)
}

// reject schedules the caller's retry, unless its retries or its time are used up.
func (f *goodputFleet) reject(c goodputAttempt, retryAfter time.Duration) {
	const maxWaitDivisor = 3 // callers wait at most a third of their remaining time
	remaining := c.first + goodputDeadline - c.at
	if c.retries >= goodputMaxRetries || remaining <= 0 {
		f.point.Rejected++
		f.totalTimeToOutcome += c.at - c.first
		return
	}
	heap.Push(&f.attempts, goodputAttempt{at: c.at + min(retryAfter, remaining/maxWaitDivisor), first: c.first, key: c.key, retries: c.retries + 1})
}

// serve runs an attempt on an engine. Work on it is wasted if the caller's deadline passes first.
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

// GoodputCurve simulates all loads, with and without early rejection.
func GoodputCurve(seed uint64) []GoodputPoint {
	var points []GoodputPoint
	for _, earlyRejection := range []bool{false, true} {
		for _, load := range GoodputLoads {
			points = append(points, Goodput(load, earlyRejection, seed))
		}
	}
	return points
}

// GoodputMarkdown returns the curve as a table.
func GoodputMarkdown(points []GoodputPoint) string {
	var text strings.Builder
	text.WriteString("| load | refusing in time | in time | late | refused | lost | mean time to the final word, ms |\n|---|---|---|---|---|---|---|\n")
	for _, p := range points {
		fmt.Fprintf(&text, "| %.2f | %t | %.3f | %.3f | %.3f | %.3f | %.0f |\n", p.Load, p.EarlyRejection, p.InTime, p.Late, p.Rejected, p.Lost, p.MeanTimeToOutcome)
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
	for index, earlyRejection := range []bool{false, true} {
		var line plotter.XYs
		for _, point := range points {
			if point.EarlyRejection == earlyRejection {
				line = append(line, plotter.XY{X: point.Load, Y: point.InTime})
			}
		}
		name := "everything is sent"
		if earlyRejection {
			name = "refusing in time"
		}
		if err := addLine(p, index, name, line); err != nil {
			return err
		}
	}
	return save(p, folder, "goodput.png")
}
