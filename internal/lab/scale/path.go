package scale

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/api"
)

const (
	pathEngines         = 20
	promptTokens        = 2000
	latencyRate         = 100
	engineTokenInterval = 20 * time.Millisecond
	directAttemptID     = 1 << 40 // does not collide with the router's attempt IDs
)

// dataPath is a real router in front of emulated engines, with a client.
type dataPath struct {
	engines *emulatedEngines
	router  string
	client  *http.Client
	prompt  string
}

func startDataPath(ctx context.Context, g *group, folder string) (*dataPath, error) {
	engines, err := startEmulatedEngines(ctx, pathEngines, 0)
	if err != nil {
		return nil, err
	}
	address, err := startRouter(ctx, g, folder, engines.platform, pathEngines)
	if err != nil {
		return nil, err
	}
	return &dataPath{engines: engines, router: address, prompt: strings.Repeat("text ", promptTokens*4/5),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}, nil
}

// routed returns a function that sends a request through the router.
func (p *dataPath) routed(tokens int) func(int) (time.Duration, error) {
	headers := map[string]string{"Authorization": "Bearer " + apiKey}
	return func(number int) (time.Duration, error) {
		body := api.CompletionRequest{Model: serviceName, Prompt: fmt.Sprint(number%50, p.prompt), MaxTokens: tokens, Stream: true}
		return stream(p.client, p.router, "/v1/completions", body, headers, nil)
	}
}

// direct returns a function that sends the same prompt directly to an engine.
func (p *dataPath) direct(tokens int) func(int) (time.Duration, error) {
	return func(number int) (time.Duration, error) {
		body := api.GenerateRequest{Attempt: directAttemptID, Prompt: fmt.Sprint(number%50, p.prompt), MaxTokens: tokens, PromptTokens: promptTokens}
		return stream(p.client, p.engines.machines[number%pathEngines].Address, api.PathGenerate, body, nil, nil)
	}
}

// measureLatency compares the time to first token with and without the router, in alternating rounds.
func (p *dataPath) measureLatency(report *Report, rounds int, roundDuration time.Duration) error {
	const tokens = 5
	sendAtRate(latencyRate, roundDuration/2, p.routed(tokens)) // warm up connections
	sendAtRate(latencyRate, roundDuration/2, p.direct(tokens))
	var routedMedians, routedTails, directMedians, directTails float64
	for range rounds {
		direct, directFailed := sendAtRate(latencyRate, roundDuration, p.direct(tokens))
		routed, routedFailed := sendAtRate(latencyRate, roundDuration, p.routed(tokens))
		if directFailed+routedFailed > 0 {
			return eris.Errorf("%d direct and %d routed requests failed", directFailed, routedFailed)
		}
		directMedians, directTails = directMedians+quantile(direct, 0.5), directTails+quantile(direct, 0.99)
		routedMedians, routedTails = routedMedians+quantile(routed, 0.5), routedTails+quantile(routed, 0.99)
	}
	n := float64(rounds)
	report.addFigure(roleRouter, "first token through the router, median, 100 requests/s", "ms", routedMedians/n)
	report.addFigure(roleRouter, "first token direct, median", "ms", directMedians/n)
	report.addFigure(roleRouter, "added to the first token, median", "ms", (routedMedians-directMedians)/n)
	report.addFigure(roleRouter, "added to the first token, p99", "ms", (routedTails-directTails)/n)
	return nil
}

// measureTokenIntervals measures the time between tokens through the router when engines send one every
// engineTokenInterval.
func (p *dataPath) measureTokenIntervals(report *Report, rate int, duration time.Duration) error {
	p.engines.tokenInterval = engineTokenInterval
	defer func() { p.engines.tokenInterval = 0 }()
	var mutex sync.Mutex
	var intervals []time.Duration
	headers := map[string]string{"Authorization": "Bearer " + apiKey}
	_, failed := sendAtRate(rate, duration, func(number int) (time.Duration, error) {
		body := api.CompletionRequest{Model: serviceName, Prompt: fmt.Sprint(number, p.prompt), MaxTokens: 40, Stream: true}
		var last time.Time
		return stream(p.client, p.router, "/v1/completions", body, headers, func() {
			now := time.Now()
			if !last.IsZero() {
				mutex.Lock()
				intervals = append(intervals, now.Sub(last))
				mutex.Unlock()
			}
			last = now
		})
	})
	if failed > 0 {
		return eris.Errorf("%d streams failed", failed)
	}
	slices.Sort(intervals)
	report.addFigure(roleRouter, fmt.Sprintf("between tokens through the router, engines give one every %v, median", engineTokenInterval), "ms", quantile(intervals, 0.5))
	report.addFigure(roleRouter, "between tokens through the router, p95", "ms", quantile(intervals, 0.95))
	return nil
}

// measureProcessorTime measures the router's processor time by requests and tokens per second.
func (p *dataPath) measureProcessorTime(report *Report, rates, tokens []int, duration time.Duration) error {
	var byRate, byTokens []Point
	phase := func(rate, count int) (float64, error) {
		failed := 0
		usage, err := measure(duration, func() { _, failed = sendAtRate(rate, duration, p.routed(count)) })
		if err == nil && failed > 0 {
			err = eris.Errorf("%d requests failed at %d a second", failed, rate)
		}
		return usage.Cores[roleRouter], err
	}
	for _, rate := range rates {
		cores, err := phase(rate, tokens[0])
		if err != nil {
			return err
		}
		byRate = append(byRate, Point{float64(rate), cores})
	}
	for _, count := range tokens {
		cores, err := phase(rates[1], count)
		if err != nil {
			return err
		}
		byTokens = append(byTokens, Point{float64(rates[1] * count), cores})
	}
	report.addSlope(roleRouter, fmt.Sprintf("processor time, prompts of %d tokens, answers of %d", promptTokens, tokens[0]), "cores", "request/s", byRate)
	report.addSlope(roleRouter, "processor time of streams", "cores", "token/s", byTokens)
	return nil
}

// measureStreams measures the heap memory of open streams, including their callers and engines in this process.
func (p *dataPath) measureStreams(report *Report, sizes []int, openDuration time.Duration) error {
	const tokenInterval, settleTime = 100 * time.Millisecond, 500 * time.Millisecond
	// The first stream stays open until the last one has been opened.
	tokens := int((openDuration + 2*settleTime) / tokenInterval)
	var points []Point
	for _, size := range sizes {
		p.engines.tokenInterval = tokenInterval
		before := heapInUse()
		done := make(chan int, 1)
		go func() {
			_, failed := sendAtRate(int(float64(size)/openDuration.Seconds()), openDuration, p.routed(tokens))
			done <- failed
		}()
		time.Sleep(openDuration + settleTime)
		points = append(points, Point{float64(size), heapInUse() - before})
		if failed := <-done; failed > 0 {
			return eris.Errorf("%d of %d streams failed", failed, size)
		}
	}
	p.engines.tokenInterval = 0
	report.addSlope(roleRouter, "heap of open streams, their callers and engines included", "bytes", "stream", points)
	return nil
}

// measureHeapGrowth sends count requests and reports the heap after a tenth of them and after all.
func (p *dataPath) measureHeapGrowth(report *Report, rate, count int) error {
	tenth := time.Duration(count/10) * time.Second / time.Duration(rate)
	if _, failed := sendAtRate(rate, tenth, p.routed(2)); failed > 0 {
		return eris.Errorf("%d requests failed", failed)
	}
	early := heapInUse()
	if _, failed := sendAtRate(rate, 9*tenth, p.routed(2)); failed > 0 {
		return eris.Errorf("%d requests failed", failed)
	}
	late := heapInUse()
	report.addFigure(roleRouter, fmt.Sprintf("heap after %d requests, whole process", count/10), "bytes", early)
	report.addFigure(roleRouter, fmt.Sprintf("heap after %d requests, whole process", count), "bytes", late)
	return nil
}
