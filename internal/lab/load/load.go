// Package load generates client load against running router processes: completions with nested shared prompts, streamed
// and not, service requests with duplicates and retries, and clients that disconnect. It verifies every response.
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
	serviceRatio      = 0.2  // fraction of requests that go to the small service
	duplicateRatio    = 0.3  // fraction of service requests that are sent twice concurrently
	disconnectRatio   = 0.02 // fraction of streams whose client disconnects early
	streamRatio       = 0.7  // fraction of completions that are streamed
	serviceBodyFormat = `{"stop":%d,"bags":%d}`
)

// Options configure a load run.
type Options struct {
	Deployment             *plan.Deployment
	Routers                []string
	Keys                   []string // API keys; requests are spread over them
	Backends               []string // small services whose run records are checked at the end; may be empty
	Duration               time.Duration
	Rate                   float64 // requests per second
	Seed                   uint64
	AllowBrokenConnections bool      // set if processes are killed during the run
	Progress               io.Writer // receives progress lines; may be nil
	ClientDisconnects      bool      // some clients disconnect during a stream
	SkipService            bool      // send completions only
}

// Result counts outcomes as the clients saw them.
type Result struct {
	Requests          int            `json:"requests"`
	Complete          int            `json:"complete"`
	Rejected          int            `json:"refused"`
	ErrorEvents       int            `json:"errors"` // streams that ended with an error event
	BrokenConnections int            `json:"broken_connections"`
	ClientDisconnects int            `json:"hung_up"`
	Lost              int            `json:"lost"` // streams that ended incomplete without an error event
	Duplicated        int            `json:"duplicated"`
	OutOfOrder        int            `json:"out_of_order"`
	WrongAnswer       int            `json:"wrong_answer"`
	FalseNotRun       int            `json:"false_not_run"` // rejected as not run, but recorded as run by the back end
	Reasons           map[string]int `json:"reasons"`
	FirstTokens       Quantiles      `json:"first_token_ms"`
	Service           Quantiles      `json:"service_ms"`
}

// Quantiles summarize a latency distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Passed reports whether there were completions and no response was lost, duplicated, out of order or wrong.
func (r Result) Passed(allowBroken bool) bool {
	violations := r.Lost + r.Duplicated + r.OutOfOrder + r.WrongAnswer + r.FalseNotRun
	if !allowBroken {
		violations += r.BrokenConnections
	}
	return violations == 0 && r.Complete > 0
}

// runner is the state of a load run.
type runner struct {
	options    Options
	client     *http.Client
	mutex      sync.Mutex
	result     Result
	firstToken *hdrhistogram.Histogram
	service    *hdrhistogram.Histogram
	notRun     map[string]bool // idempotency keys of requests rejected as not run
	sent       map[string]bool // idempotency keys of all service requests
}

// Run sends requests for the configured duration, waits for all responses, and checks the runs of the small services.
func Run(ctx context.Context, options Options) (Result, error) {
	if len(options.Routers) == 0 || len(options.Keys) == 0 {
		return Result{}, eris.New("load: Options need at least one router and one API key")
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

// generate sends requests at the configured rate and waits for their responses.
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
	r.sendCompletion(ctx, number, prompt, random)
}

// updateResult changes the result with the mutex locked.
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
