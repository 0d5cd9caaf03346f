package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kitetiller/internal/events"
)

// backoffGauge collects how many back ends of each service have requested a backoff from this gateway.
type backoffGauge struct {
	gateway     *Gateway
	description *prometheus.Desc
}

func newBackoffGauge(g *Gateway) backoffGauge {
	return backoffGauge{g, prometheus.NewDesc("kitetiller_gateway_back_ends_resting", "Back ends that want rest from this gateway.", []string{"service"}, nil)}
}

// Describe implements prometheus.Collector.
func (g backoffGauge) Describe(out chan<- *prometheus.Desc) { out <- g.description }

// Collect implements prometheus.Collector.
func (g backoffGauge) Collect(out chan<- prometheus.Metric) {
	for service, n := range g.gateway.table.backingOffCounts(g.gateway.now()) {
		out <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, float64(n), service)
	}
}

// advertisedLimitGauge collects the number and sum of the limits that back ends of each service advertise.
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
	counts, sums := l.gateway.table.advertisedLimits()
	for service, n := range counts {
		out <- prometheus.MustNewConstMetric(l.count, prometheus.GaugeValue, float64(n), service)
		out <- prometheus.MustNewConstMetric(l.sum, prometheus.GaugeValue, sums[service], service)
	}
}

// queueGauge collects the state of the engines' queues of each latency-critical service.
type queueGauge struct {
	gateway                        *Gateway
	outstanding, slowness, dropped *prometheus.Desc
}

func newQueueGauge(g *Gateway) queueGauge {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("kitetiller_gateway_queue_"+name, help, []string{"service"}, nil)
	}
	return queueGauge{
		g, describe("outstanding", "Requests known to be at engines without a first event."),
		describe("slowness", "Factor of the predicted time within which 9 of 10 recent first events stayed."),
		describe("dropped_total", "Implausible values in reports of first events and pauses that were clamped or dropped."),
	}
}

// Describe implements prometheus.Collector.
func (q queueGauge) Describe(out chan<- *prometheus.Desc) {
	out <- q.outstanding
	out <- q.slowness
	out <- q.dropped
}

// Collect implements prometheus.Collector.
func (q queueGauge) Collect(out chan<- prometheus.Metric) {
	for service, stats := range q.gateway.table.queueStats() {
		out <- prometheus.MustNewConstMetric(q.outstanding, prometheus.GaugeValue, float64(stats.outstanding), service)
		out <- prometheus.MustNewConstMetric(q.slowness, prometheus.GaugeValue, stats.slowness, service)
		out <- prometheus.MustNewConstMetric(q.dropped, prometheus.CounterValue, float64(stats.dropped), service)
	}
}

// firstEventRatioBuckets are the histogram buckets of the ratio of the time to the first event to the predicted one.
var firstEventRatioBuckets = []float64{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 4}

// firstEventBuckets are the histogram buckets of the time to the first event, in seconds.
var firstEventBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// metrics holds the gateway's metrics. Label values are reasons, result kinds, causes, outcomes and services only, so
// that their number does not grow with tenants or back ends.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec // by outcome: answered, or the reason of the rejection
	attempts          *prometheus.CounterVec // failed attempts, by result
	firstEvent        prometheus.Histogram
	firstEventRatio   *prometheus.HistogramVec // to the predicted time, by latency-critical service
	recheckFailures   *prometheus.CounterVec   // attempts not sent since the back end became unavailable after placement, by cause
	limitLeases       *prometheus.CounterVec   // lease requests for advertised limits of back ends, by outcome
	unknownHeaders    prometheus.Counter       // unknown headers in back ends' responses
	retries           prometheus.Counter
	cacheReadFailures prometheus.Counter     // failed requests for engines' cache events
	sharingEpochs     prometheus.Counter     // changes after which nothing cached before is shared
	schedulerFailures prometheus.Counter     // placement requests that no scheduler answered in time
	slotInvalid       prometheus.Counter     // absurd values in messages about slots of small services
	uncachedTokens    prometheus.Counter     // prompt tokens sent to engines that they have to prefill
	cachedTokens      prometheus.Counter     // prompt tokens sent to engines that are expected to be cached or copied there
	streamCopies      *prometheus.CounterVec // streams to be copied, by whether an engine was asked to keep the copy
	continuations     *prometheus.CounterVec // such streams that broke off, by outcome: the result of the continuation, or why there was none
	tunnelRequests    *prometheus.CounterVec // requests to peers to open tunnels, by peer and outcome
	tunnelsServed     *prometheus.CounterVec // requests of peers to open tunnels, by outcome
	lateLifeReplies   prometheus.Counter     // replies to the question for the incarnation that came after the attempt had ended
	lateResponses     prometheus.Counter     // responses that came after the deadline, and whose connections were kept
	congestions       *prometheus.CounterVec // times that a service became congested
	disconnections    *prometheus.CounterVec // times that the direct paths to all back ends were lost
	givenUp           *prometheus.CounterVec // attempts given up after they were sent, by service
	connections       *prometheus.CounterVec // connections that attempts got, by service and whether they were new
	takeUps           *prometheus.CounterVec // streams that callers took up, by who knew at which software version they began
	stores            *storeMetrics
}

// Outcomes of the choice of an engine for a copy, as metric labels.
const (
	streamCopyAsked = "asked"
	streamCopyNone  = "none" // no engine qualified, or the stream is too short
)

const outcomeAnswered = "answered"

func newMetrics(g *Gateway) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "kitetiller_gateway_" + name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_requests_total", Help: "Requests that ended, by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_attempts_failed_total", Help: "Attempts that failed, by result.",
		}, []string{"result"}),
		lateResponses: counter("late_responses_total", "Responses of back ends that came after the deadlines of their requests, and whose connections were kept."),
		disconnections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_paths_all_lost_total", Help: "Times that no back end answered directly any more, or none on new connections, while it answered other gateways.",
		}, []string{"state"}),
		congestions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_congestions_total", Help: "Times that most back ends of a service answered late, so that requests were limited.",
		}, []string{"service"}),
		connections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_connections_total", Help: "Connections to back ends that attempts got, by whether they were new or used before.",
		}, []string{"service", "kind"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_attempts_given_up_total", Help: "Attempts given up after they were sent and before a response began.",
		}, []string{"service"}),
		takeUps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_streams_taken_up_total", Help: "Streams that callers took up, by who knew at which software version they had begun.",
		}, []string{"origin"}),
		streamCopies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_stream_copies_total", Help: "Streams that can't be resumed elsewhere, by whether another engine was asked to keep a copy of the run.",
		}, []string{"outcome"}),
		tunnelRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_tunnel_requests_total", Help: "Tunnels to back ends requested from other gateways, by gateway and outcome.",
		}, []string{"peer", "outcome"}),
		tunnelsServed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_tunnels_served_total", Help: "Tunnels that other gateways requested here, by outcome.",
		}, []string{"outcome"}),
		continuations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_streams_continued_total", Help: "Such streams that broke off, by the result of the continuation or why there was none.",
		}, []string{"outcome"}),
		recheckFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_sends_put_off_total", Help: "Sends whose back end turned out to leave, to want rest or to be at its limit after it was chosen, by cause.",
		}, []string{"cause"}),
		limitLeases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kitetiller_gateway_permits_total", Help: "Questions for a part of a limit that a back end names, by outcome.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kitetiller_gateway_first_event_seconds", Help: "Time to the first event of streams.", Buckets: firstEventBuckets,
		}),
		firstEventRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kitetiller_gateway_first_event_ratio", Help: "Time to the first event, as a ratio to the predicted one.", Buckets: firstEventRatioBuckets,
		}, []string{"service"}),
		lateLifeReplies:   counter("late_incarnation_replies_total", "Replies of back ends to the question for their incarnation that came after the attempt had ended."),
		unknownHeaders:    counter("unknown_words_total", "Headers in which back ends speak of themselves and that nothing reads."),
		retries:           counter("repeats_total", "Requests sent to a further back end."),
		cacheReadFailures: counter("cache_questions_failed_total", "Questions for engines' cache events that failed."),
		sharingEpochs:     counter("shared_prompts_withdrawn_total", "Changes of the document after which no prompt that was cached before is shared."),
		schedulerFailures: counter("scheduler_questions_failed_total", "Questions for a placement that a scheduler did not answer in time."),
		slotInvalid:       counter("slot_values_invalid_total", "Absurd slots, waits and times in messages about small services; they change nothing."),
		uncachedTokens:    counter("prompt_tokens_read_total", "Prompt tokens that engines were sent to read."),
		cachedTokens:      counter("prompt_tokens_cached_total", "Prompt tokens that were taken to be cached or copied."),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kitetiller_gateway_" + name, Help: help}, value)
	}
	m.registry.MustRegister(m.requests, m.lateResponses, m.congestions, m.disconnections, m.givenUp, m.connections, newCongestionGauge(g), m.lateLifeReplies, m.attempts, m.recheckFailures, m.limitLeases, m.firstEvent, m.firstEventRatio, newQueueGauge(g), m.unknownHeaders, m.retries, m.cacheReadFailures, m.schedulerFailures, m.sharingEpochs, m.slotInvalid, m.uncachedTokens, m.cachedTokens, m.streamCopies, m.continuations, g.startup, newBackoffGauge(g), newAdvertisedLimitGauge(g), newReservationMetrics(g), newSlotCollector(g),
		gauge("limit_questions_total", "Questions to the leader for amounts of what is limited.", func() float64 { sent, _ := g.leases.RequestCounts(); return float64(sent) }),
		gauge("limit_questions_failed_total", "Such questions that got no answer.", func() float64 { _, failed := g.leases.RequestCounts(); return float64(failed) }),
		gauge("suspected_requests", "Requests under which more than one back end ended, as control tells.", func() float64 { suspected, _ := g.quarantine.SuspectCounts(); return float64(suspected) }),
		gauge("held_back_requests", "Those of them that are held back.", func() float64 { _, quarantined := g.quarantine.SuspectCounts(); return float64(quarantined) }),
		gauge("view_age_seconds", "Time since control confirmed the view; -1 never.", g.viewAge),
		gauge("held_bytes", "Bodies and answers held for callers and back ends.", func() float64 { return float64(g.held.total.used.Load()) }),
		gauge("active_requests", "Requests in progress.", func() float64 { return float64(g.active.Load()) }),
		m.tunnelRequests, m.tunnelsServed, m.takeUps,
		gauge("stream_records", "Records of streams held, of own streams and of others'.", func() float64 { return float64(g.streams.Stats().Records) }),
		gauge("stream_records_dropped", "Records of streams for which there was no room.", func() float64 { return float64(g.streams.Stats().Dropped) }),
		gauge("stream_records_lost", "Records of streams that could not be sent to the gateways that keep them.", func() float64 { return float64(g.streams.Stats().Lost) }),
		gauge("paths_lost", "Back ends that are reached through other gateways only.", func() float64 { return float64(g.dialer.LostCount()) }),
		gauge("tunnels_carried", "Tunnels that are open for other gateways.", func() float64 { return float64(g.tunnels.Carried()) }),
		gauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(g.log.out.Dropped()) }),
	)
	m.stores = newStoreMetrics(m.registry, g)
	return m
}

// recordOutcome counts a completed request by its outcome.
func (m *metrics) recordOutcome(event, reason string) {
	if event == events.RequestAnswered {
		reason = outcomeAnswered
	}
	m.requests.WithLabelValues(reason).Inc()
}

// recordConnection counts a connection that an attempt got.
func (m *metrics) recordConnection(service string, reused bool) {
	kind := "new"
	if reused {
		kind = "used"
	}
	m.connections.WithLabelValues(service, kind).Inc()
}

// recordPrompt counts the tokens of a prompt sent to an engine.
func (m *metrics) recordPrompt(uncached, prompt int) {
	m.uncachedTokens.Add(float64(uncached))
	m.cachedTokens.Add(float64(max(0, prompt-uncached)))
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// viewAge returns the time since the view was last confirmed, in seconds, or -1 if it never was.
func (g *Gateway) viewAge() float64 {
	confirmed := time.Duration(g.confirmedAt.Load())
	if confirmed == 0 {
		return -1
	}
	return (g.now() - confirmed).Seconds()
}

// Metrics returns the registry of the gateway's metrics.
func (g *Gateway) Metrics() *prometheus.Registry { return g.metrics.registry }
