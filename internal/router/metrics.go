package router

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
)

const namespace = "kitetiller"

// metrics holds the Prometheus metrics of a router. They are documented in docs/OPERATIONS.md.
type metrics struct {
	registry     *prometheus.Registry
	firstToken   *prometheus.HistogramVec
	claimSeconds prometheus.Histogram
	rejections   *prometheus.CounterVec
	promptTokens prometheus.Counter
	hitTokens    prometheus.Counter
	server       *Server
	coreCounters []coreCounter
}

// coreCounter exposes a counter maintained by the core.
type coreCounter struct {
	description *prometheus.Desc
	read        func(core.Counters) uint64
}

func newMetrics(server *Server) *metrics {
	m := &metrics{registry: prometheus.NewRegistry(), server: server}
	m.firstToken = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "first_token_seconds", Help: "Time from a request's arrival to its first token.",
		Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 20),
	}, []string{"service"})
	m.claimSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "claim_seconds", Help: "Time of a claim in the run ledger.",
		Buckets: prometheus.ExponentialBuckets(0.001, 1.8, 14),
	})
	m.rejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "rejected_total", Help: "Requests refused before a decision, by reason.",
	}, []string{"reason"})
	m.promptTokens = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "prompt_tokens_total", Help: "Prompt tokens of started attempts."})
	m.hitTokens = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "hit_tokens_total", Help: "Prompt tokens that engines reused."})
	m.coreCounters = newCoreCounters()
	m.registry.MustRegister(m.firstToken, m.claimSeconds, m.rejections, m.promptTokens, m.hitTokens, m)
	return m
}

func newCoreCounters() []coreCounter {
	define := func(name, help string, read func(core.Counters) uint64) coreCounter {
		return coreCounter{prometheus.NewDesc(namespace+"_"+name, help, nil, nil), read}
	}
	return []coreCounter{
		define("requests_total", "Requests received by the core.", func(c core.Counters) uint64 { return c.Requests }),
		define("complete_total", "Requests answered completely.", func(c core.Counters) uint64 { return c.Completed }),
		define("attempts_total", "Attempts sent to back ends.", func(c core.Counters) uint64 { return c.Attempts }),
		define("retries_total", "Attempts after a failed one.", func(c core.Counters) uint64 { return c.Retries }),
		define("hedges_total", "Second attempts of silent requests.", func(c core.Counters) uint64 { return c.Hedges }),
		define("recomputed_tokens_total", "Prompt tokens believed cached that engines computed again.", func(c core.Counters) uint64 { return c.RecomputedTokens }),
		define("repeated_chunks_total", "Stream chunks dropped as repeated.", func(c core.Counters) uint64 { return c.RepeatedChunks }),
		define("foreign_answers_total", "Answers dropped because they belong to another attempt.", func(c core.Counters) uint64 { return c.UnmatchedAnswers }),
		define("event_gaps_total", "Gaps noticed in engines' cache events.", func(c core.Counters) uint64 { return c.CacheEventGaps }),
		define("cache_snapshots_total", "Cache snapshots read after gaps.", func(c core.Counters) uint64 { return c.Snapshots }),
	}
}

var (
	refusedDescription = prometheus.NewDesc(namespace+"_refused_total", "Requests refused or failed, by reason.", []string{"reason"}, nil)
	gaugeDescription   = prometheus.NewDesc(namespace+"_state", "Current sizes and states of the router.", []string{"name"}, nil)
)

// Describe implements prometheus.Collector.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, counter := range m.coreCounters {
		descriptions <- counter.description
	}
	descriptions <- refusedDescription
	descriptions <- gaugeDescription
}

// Collect implements prometheus.Collector. It reads the counters of the core in the event loop.
func (m *metrics) Collect(collected chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	m.server.inspect(ctx, func(c *core.Core) {
		counters := c.Counters()
		for _, counter := range m.coreCounters {
			collected <- prometheus.MustNewConstMetric(counter.description, prometheus.CounterValue, float64(counter.read(counters)))
		}
		for reason, count := range counters.Refused {
			collected <- prometheus.MustNewConstMetric(refusedDescription, prometheus.CounterValue, float64(count), string(reason))
		}
		m.collectGauges(c, collected)
	})
}

func (m *metrics) collectGauges(c *core.Core, collected chan<- prometheus.Metric) {
	lease := 0.0
	if c.LeaseValid() {
		lease = 1
	}
	gauges := []struct {
		name  string
		value float64
	}{
		{"active_requests", float64(c.ActiveRequests())},
		{"beliefs", float64(c.IndexedBlocks())},
		{"settings_version", float64(c.SettingsVersion())},
		{"lease_valid", lease},
		{"event_ring_depth", float64(len(m.server.events))},
		{"event_ring_shed", float64(m.server.droppedEvents.Load())},
	}
	for _, gauge := range gauges {
		collected <- prometheus.MustNewConstMetric(gaugeDescription, prometheus.GaugeValue, gauge.value, gauge.name)
	}
}

// recordStarted counts the prompt tokens of an attempt that an engine started.
func (m *metrics) recordStarted(a *activeAttempt, event api.GenerateEvent) {
	m.promptTokens.Add(float64(a.exchange.request.PromptTokens))
	m.hitTokens.Add(float64(event.Cached))
}
