package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kitetiller/internal/events"
)

// backoffGauge tells how many back ends of each service want rest, when it is asked.
type backoffGauge struct {
	gateway     *Gateway
	description *prometheus.Desc
}

func newBackoffGauge(g *Gateway) backoffGauge {
	return backoffGauge{g, prometheus.NewDesc("kitetiller_gateway_back_ends_resting", "Back ends that want rest from this gateway.", []string{"service"}, nil)}
}

// Describe implements prometheus.Collector.
func (r backoffGauge) Describe(out chan<- *prometheus.Desc) { out <- r.description }

// Collect implements prometheus.Collector.
func (r backoffGauge) Collect(out chan<- prometheus.Metric) {
	for service, n := range r.gateway.table.resting(r.gateway.now()) {
		out <- prometheus.MustNewConstMetric(r.description, prometheus.GaugeValue, float64(n), service)
	}
}

// advertisedLimitGauge tells how many back ends of each service name a limit and what these come to, when it is asked.
type advertisedLimitGauge struct {
	gateway    *Gateway
	count, sum *prometheus.Desc
}

func newAdvertisedLimitGauge(g *Gateway) advertisedLimitGauge {
	return advertisedLimitGauge{
		g,
		prometheus.NewDesc("kitetiller_gateway_back_ends_limited", "Back ends that name a limit of requests.", []string{"service"}, nil),
		prometheus.NewDesc("kitetiller_gateway_back_ends_limit_sum", "Sum of the limits that back ends name, in requests a second.", []string{"service"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (l advertisedLimitGauge) Describe(out chan<- *prometheus.Desc) { out <- l.count; out <- l.sum }

// Collect implements prometheus.Collector.
func (l advertisedLimitGauge) Collect(out chan<- prometheus.Metric) {
	counts, sums := l.gateway.table.limited()
	for service, n := range counts {
		out <- prometheus.MustNewConstMetric(l.count, prometheus.GaugeValue, float64(n), service)
		out <- prometheus.MustNewConstMetric(l.sum, prometheus.GaugeValue, sums[service], service)
	}
}

// firstEventBuckets are the bounds of times to the first event, in seconds.
var firstEventBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// metrics are a gateway's figures. Labels hold reasons, kinds of results and services only, so their number does not
// grow with tenants or back ends.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec // by outcome: answered, or the reason of the refusal
	attempts          *prometheus.CounterVec // that failed, by result
	firstEvent        prometheus.Histogram
	recheckFailures   *prometheus.CounterVec // sends whose back end turned out at the last look to leave, to want rest or to be at their limits, by cause
	limitLeases       *prometheus.CounterVec // of back ends that name a limit, by outcome
	unknownHeaders    prometheus.Counter     // words of back ends that nothing reads
	retries           prometheus.Counter
	cacheReadFailures prometheus.Counter // questions for engines' cache events that failed
	schedulerFailures prometheus.Counter // questions for a placement that no scheduler answered in time
	uncachedTokens    prometheus.Counter // prompt tokens that engines were sent to read
	cachedTokens      prometheus.Counter // prompt tokens that were taken to be cached or copied
}

const outcomeAnswered = "answered"

func newMetrics(g *Gateway) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "kitetiller_gateway_" + name, Help: help})
	}
	made := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_requests_total", Help: "Requests that ended, by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_attempts_failed_total", Help: "Attempts that failed, by result.",
		}, []string{"result"}),
		recheckFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_sends_put_off_total", Help: "Sends whose back end turned out to leave, to want rest or to be at its limit after it was chosen, by cause.",
		}, []string{"cause"}),
		limitLeases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_permits_total", Help: "Questions for a part of a limit that a back end names, by outcome.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kitetiller_gateway_first_event_seconds", Help: "Time to the first event of streams.", Buckets: firstEventBuckets,
		}),
		unknownHeaders:    counter("unknown_words_total", "Headers in which back ends speak of themselves and that nothing reads."),
		retries:           counter("repeats_total", "Requests sent to a further back end."),
		cacheReadFailures: counter("cache_questions_failed_total", "Questions for engines' cache events that failed."),
		schedulerFailures: counter("scheduler_questions_failed_total", "Questions for a placement that a scheduler did not answer in time."),
		uncachedTokens:    counter("prompt_tokens_read_total", "Prompt tokens that engines were sent to read."),
		cachedTokens:      counter("prompt_tokens_cached_total", "Prompt tokens that were taken to be cached or copied."),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kitetiller_gateway_" + name, Help: help}, value)
	}
	made.registry.MustRegister(made.requests, made.attempts, made.recheckFailures, made.limitLeases, made.firstEvent, made.unknownHeaders, made.retries, made.cacheReadFailures, made.schedulerFailures, made.uncachedTokens, made.cachedTokens, newBackoffGauge(g), newAdvertisedLimitGauge(g),
		gauge("limit_questions_total", "Questions to the leader for amounts of what is limited.", func() float64 { asked, _ := g.leases.RequestCounts(); return float64(asked) }),
		gauge("limit_questions_failed_total", "Such questions that got no answer.", func() float64 { _, failed := g.leases.RequestCounts(); return float64(failed) }),
		gauge("suspected_requests", "Requests under which more than one back end ended, as control tells.", func() float64 { told, _ := g.quarantine.SuspectCounts(); return float64(told) }),
		gauge("held_back_requests", "Those of them that are held back.", func() float64 { _, held := g.quarantine.SuspectCounts(); return float64(held) }),
		gauge("view_age_seconds", "Time since control confirmed the view; -1 never.", g.viewAge),
		gauge("held_bytes", "Bodies and answers held for callers and back ends.", func() float64 { return float64(g.buffered.bytes.Load()) }),
		gauge("active_requests", "Requests in progress.", func() float64 { return float64(g.active.Load()) }),
		gauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(g.log.out.Dropped()) }),
	)
	return made
}

// recordOutcome counts a request by how it recordOutcome.
func (m *metrics) recordOutcome(event, reason string) {
	if event == events.RequestAnswered {
		reason = outcomeAnswered
	}
	m.requests.WithLabelValues(reason).Inc()
}

// recordPrompt counts the tokens of a prompt that an engine was sent.
func (m *metrics) recordPrompt(uncached, prompt int) {
	m.uncachedTokens.Add(float64(uncached))
	m.cachedTokens.Add(float64(max(0, prompt-uncached)))
}

// Active returns the requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// viewAge returns how long ago the view was confirmed, in seconds.
func (g *Gateway) viewAge() float64 {
	confirmed := time.Duration(g.confirmedAt.Load())
	if confirmed == 0 {
		return -1
	}
	return (g.now() - confirmed).Seconds()
}

// Metrics returns the registry of the gateway's figures.
func (g *Gateway) Metrics() *prometheus.Registry { return g.metrics.registry }
