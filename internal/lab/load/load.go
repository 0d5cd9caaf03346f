// Package load is the callers of both users against real processes: nested prompts, streamed and not, small
// service requests with resends, callers that hang up. It checks every answer and counts what callers saw.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/plan"
	"kitetiller/internal/lab/traffic"
)

const (
	requestTimeout    = 60 * time.Second
	histogramMax      = int64(60 * time.Second / time.Microsecond)
	histogramDigits   = 3
	progressInterval  = 2 * time.Second
	maxInFlight       = 2500
	serviceRatio      = 0.2  // of requests that go to the small service
	duplicateRatio    = 0.3  // of small service requests that are sent twice at once
	disconnectRatio   = 0.02 // of streams whose caller hangs up
	streamRatio       = 0.7  // of completions that are streamed
	serviceBodyFormat = `{"stop":%d,"bags":%d}`
)

// Options describe a run.
type Options struct {
	Deployment             *plan.Deployment
	Routers                []string
	Keys                   []string // API keys; requests are spread over them
	Backends               []string // small services, to read their runs afterwards; may be empty
	Duration               time.Duration
	Rate                   float64 // requests a second
	Seed                   uint64
	AllowBrokenConnections bool // broken connections are expected, because a process is killed on purpose
	Progress               io.Writer
	ClientDisconnects      bool
	SkipService            bool
}

// Result counts what callers saw.
type Result struct {
	Requests          int            `json:"requests"`
	Complete          int            `json:"complete"`
	Rejected          int            `json:"refused"`
	ErrorEvents       int            `json:"errors"` // error events in streams, and answers that say unknown
	BrokenConnections int            `json:"broken_connections"`
	ClientDisconnects int            `json:"hung_up"`
	Lost              int            `json:"lost"` // no answer, or an end that was neither complete nor an error
	Duplicated        int            `json:"duplicated"`
	OutOfOrder        int            `json:"out_of_order"`
	WrongAnswer       int            `json:"wrong_answer"`
	FalseNotRun       int            `json:"false_not_run"` // refused as not run, yet the back end ran it
	Reasons           map[string]int `json:"reasons"`
	FirstTokens       Quantiles      `json:"first_token_ms"`
	Service           Quantiles      `json:"service_ms"`
}

// Quantiles are milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Passed reports whether nothing was lost, doubled, reordered or wrong.
func (r Result) Passed(allowBroken bool) bool {
	violations := r.Lost + r.Duplicated + r.OutOfOrder + r.WrongAnswer + r.FalseNotRun
	if !allowBroken {
		violations += r.BrokenConnections
	}
	return violations == 0 && r.Complete > 0
}

// runner is a run in progress.
type runner struct {
	options    Options
	client     *http.Client
	mutex      sync.Mutex
	result     Result
	firstToken *hdrhistogram.Histogram
	service    *hdrhistogram.Histogram
	notRun     map[string]bool // keys whose last answer said not run
	sent       map[string]bool // keys ever sent
}

// Run sends requests until the duration has passed and every answer is in.
func Run(ctx context.Context, options Options) (Result, error) {
	if len(options.Routers) == 0 || len(options.Keys) == 0 {
		return Result{}, eris.New("at least one router and one API key are needed")
	}
	r := &runner{
		options:    options,
		client:     &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		service:    hdrhistogram.New(1, histogramMax, histogramDigits),
		notRun:     map[string]bool{}, sent: map[string]bool{},
		result: Result{Reasons: map[string]int{}},
	}
	r.generate(ctx)
	if err := r.checkServiceRuns(); err != nil {
		return r.result, err
	}
	r.result.FirstTokens, r.result.Service = quantiles(r.firstToken), quantiles(r.service)
	return r.result, nil
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// generate sends requests at the wanted rate.
func (r *runner) generate(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 3))
	scale := r.options.Rate / r.options.Deployment.Traffic.RequestsPerSecond
	prompts := traffic.New(r.options.Deployment, r.options.Seed, scale)
	inFlight := make(chan struct{}, maxInFlight)
	start := time.Now()
	lastProgress := start
	var running sync.WaitGroup
	for number := 0; ctx.Err() == nil; number++ {
		prompt := prompts.Next()
		if prompt.At > r.options.Duration {
			break
		}
		time.Sleep(time.Until(start.Add(prompt.At)))
		if time.Since(lastProgress) > progressInterval {
			lastProgress = time.Now()
			r.printProgress(time.Since(start))
		}
		inFlight <- struct{}{}
		seed := random.Uint64()
		running.Go(func() {
			defer func() { <-inFlight }()
			r.sendRequest(ctx, number, prompt, rand.New(rand.NewPCG(seed, 5)))
		})
	}
	running.Wait()
}

func (r *runner) printProgress(elapsed time.Duration) {
	if r.options.Progress == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.options.Progress, "%5.0fs requests=%d complete=%d refused=%d errors=%d first-token p50=%.0fms p99=%.0fms\n",
		elapsed.Seconds(), r.result.Requests, r.result.Complete, r.result.Rejected, r.result.ErrorEvents+r.result.BrokenConnections,
		quantiles(r.firstToken).P50, quantiles(r.firstToken).P99)
}

func (r *runner) sendRequest(ctx context.Context, number int, prompt traffic.Prompt, random *rand.Rand) {
	if !r.options.SkipService && random.Float64() < serviceRatio {
		r.sendServiceRequest(ctx, number, random)
		return
	}
	r.completion(ctx, number, prompt, random)
}

// updateResult changes the result under the lock.
func (r *runner) updateResult(update func(*Result)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	update(&r.result)
}

func (r *runner) randomRouter(random *rand.Rand) string {
	return r.options.Routers[random.IntN(len(r.options.Routers))]
}

func (r *runner) randomKey(random *rand.Rand) string {
	return r.options.Keys[random.IntN(len(r.options.Keys))]
}
