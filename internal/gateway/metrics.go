package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kitetiller/internal/events"
)

// restingGauge tells how many back ends of each service want rest, when it is asked.
type restingGauge struct {
	gateway     *Gateway
	description *prometheus.Desc
}

func newRestingGauge(g *Gateway) restingGauge {
	return restingGauge{g, prometheus.NewDesc("kitetiller_gateway_back_ends_resting", "Back ends that want rest from this gateway.", []string{"service"}, nil)}
}

// Describe implements prometheus.Collector.
func (r restingGauge) Describe(out chan<- *prometheus.Desc) { out <- r.description }

// Collect implements prometheus.Collector.
func (r restingGauge) Collect(out chan<- prometheus.Metric) {
	for service, n := range r.gateway.table.backingOffCounts(r.gateway.now()) {
		out <- prometheus.MustNewConstMetric(r.description, prometheus.GaugeValue, float64(n), service)
	}
}

// limitedGauge tells how many back ends of each service name a limit and what these come to, when it is asked.
type limitedGauge struct {
	gateway    *Gateway
	count, sum *prometheus.Desc
}

func newLimitedGauge(g *Gateway) limitedGauge {
	return limitedGauge{
		g,
		prometheus.NewDesc("kitetiller_gateway_back_ends_limited", "Back ends that name a limit of requests.", []string{"service"}, nil),
		prometheus.NewDesc("kitetiller_gateway_back_ends_limit_sum", "Sum of the limits that back ends name, in requests a second.", []string{"service"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (l limitedGauge) Describe(out chan<- *prometheus.Desc) { out <- l.count; out <- l.sum }

// Collect implements prometheus.Collector.
func (l limitedGauge) Collect(out chan<- prometheus.Metric) {
	counts, sums := l.gateway.table.advertisedLimits()
	for service, n := range counts {
		out <- prometheus.MustNewConstMetric(l.count, prometheus.GaugeValue, float64(n), service)
		out <- prometheus.MustNewConstMetric(l.sum, prometheus.GaugeValue, sums[service], service)
	}
}

// firstBuckets are the bounds of times to the first event, in seconds.
var firstBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// metrics are a gateway's figures. Labels hold reasons, kinds of results and services only, so their number does not
// grow with tenants or back ends.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec // by outcome: answered, or the reason of the refusal
	attempts *prometheus.CounterVec // that failed, by result
	first    prometheus.Histogram
	putOff   *prometheus.CounterVec // sends whose back end turned out at the last look to leave, to want rest or to be at their limits, by cause
	permits  *prometheus.CounterVec // of back ends that name a limit, by outcome
	strange  prometheus.Counter     // words of back ends that nothing reads
	repeats  prometheus.Counter
	unread   prometheus.Counter // questions for engines' cache events that failed
	unasked  prometheus.Counter // questions for a placement that no scheduler answered in time
	read     prometheus.Counter // prompt tokens that engines were sent to read
	cached   prometheus.Counter // prompt tokens that were taken to be cached or copied
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
		putOff: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_sends_put_off_total", Help: "Sends whose back end turned out to leave, to want rest or to be at its limit after it was chosen, by cause.",
		}, []string{"cause"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_permits_total", Help: "Questions for a part of a limit that a back end names, by outcome.",
		}, []string{"outcome"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kitetiller_gateway_first_event_seconds", Help: "Time to the first event of streams.", Buckets: firstBuckets,
		}),
		strange: counter("unknown_words_total", "Headers in which back ends speak of themselves and that nothing reads."),
		repeats: counter("repeats_total", "Requests sent to a further back end."),
		unread:  counter("cache_questions_failed_total", "Questions for engines' cache events that failed."),
		unasked: counter("scheduler_questions_failed_total", "Questions for a placement that a scheduler did not answer in time."),
		read:    counter("prompt_tokens_read_total", "Prompt tokens that engines were sent to read."),
		cached:  counter("prompt_tokens_cached_total", "Prompt tokens that were taken to be cached or copied."),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kitetiller_gateway_" + name, Help: help}, value)
	}
	made.registry.MustRegister(made.requests, made.attempts, made.putOff, made.permits, made.first, made.strange, made.repeats, made.unread, made.unasked, made.read, made.cached, newRestingGauge(g), newLimitedGauge(g),
		gauge("limit_questions_total", "Questions to the leader for amounts of what is limited.", func() float64 { asked, _ := g.desk.RequestCounts(); return float64(asked) }),
		gauge("limit_questions_failed_total", "Such questions that got no answer.", func() float64 { _, failed := g.desk.RequestCounts(); return float64(failed) }),
		gauge("suspected_requests", "Requests under which more than one back end ended, as control tells.", func() float64 { told, _ := g.quarantine.SuspectCounts(); return float64(told) }),
		gauge("held_back_requests", "Those of them that are held back.", func() float64 { _, held := g.quarantine.SuspectCounts(); return float64(held) }),
		gauge("view_age_seconds", "Time since control confirmed the view; -1 never.", g.viewAge),
		gauge("held_bytes", "Bodies and answers held for callers and back ends.", func() float64 { return float64(g.held.used.Load()) }),
		gauge("active_requests", "Requests in progress.", func() float64 { return float64(g.active.Load()) }),
		gauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(g.log.out.Dropped()) }),
	)
	return made
}

// ended counts a request by how it ended.
func (m *metrics) ended(event, reason string) {
	if event == events.RequestAnswered {
		reason = outcomeAnswered
	}
	m.requests.WithLabelValues(reason).Inc()
}

// placed counts the tokens of a prompt that an engine was sent.
func (m *metrics) placed(uncached, prompt int) {
	m.read.Add(float64(uncached))
	m.cached.Add(float64(max(0, prompt-uncached)))
}

// Active returns the requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// viewAge returns how long ago the view was confirmed, in seconds.
func (g *Gateway) viewAge() float64 {
	confirmed := time.Duration(g.confirm.Load())
	if confirmed == 0 {
		return -1
	}
	return (g.now() - confirmed).Seconds()
}

// Metrics returns the registry of the gateway's figures.
func (g *Gateway) Metrics() *prometheus.Registry { return g.metrics.registry }
